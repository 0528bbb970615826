package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the result of a soak.
type Report struct {
	Seed    uint64         `json:"seed"`
	Entries int            `json:"entries"`
	Workers int            `json:"workers"`
	Took    time.Duration  `json:"took_ns"`
	Jobs    map[string]int `json:"jobs"` // by what their callers know of them
	Starts  int            `json:"starts"`
	Orders  int            `json:"orders"` // moves and maintenance of machines
	// Throttled is the number of calls beyond the store's rates.
	Throttled int            `json:"throttled"`
	Faults    map[string]int `json:"faults"` // by kind
	// Skipped is the number of faults that others excluded, Excused of those violations
	// that don't count because of a fault.
	Skipped int `json:"skipped"`
	Excused int `json:"excused"`
	// Lost is the number of calls and answers that pool splits lost, by pool and group of
	// entries.
	Lost map[string]int `json:"lost"`
	// Stalled is for how long nothing ran on the machine.
	Stalled         time.Duration  `json:"stalled_ns"`
	SlowestRecovery time.Duration  `json:"slowest_recovery_ns"`
	Checks          map[string]int `json:"checks"` // by promise
	Violations      []Violation    `json:"violations"`
	Interrupted     bool           `json:"interrupted,omitempty"`
}

// counts returns counts as text, ordered by name.
func counts(m map[string]int) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(out, ", ")
}

// line returns the counts as one line, for progress.
func (r *Report) line() string {
	n := 0
	for _, c := range r.Faults {
		n += c
	}
	return fmt.Sprintf("%s: jobs %s; %d starts, %d faults, %d violations", r.Took.Round(time.Second), counts(r.Jobs), r.Starts, n, len(r.Violations))
}

// writeText writes the report as text.
func (r *Report) writeText(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d entries, %d workers, %s\n", r.Seed, r.Entries, r.Workers, r.Took.Round(100*time.Millisecond))
	fmt.Fprintf(w, "jobs: %s; %d starts, %.1f a second; %d orders on machines\n", counts(r.Jobs), r.Starts, float64(r.Starts)/r.Took.Seconds(), r.Orders)
	fmt.Fprintf(w, "faults: %s; %d skipped\n", counts(r.Faults), r.Skipped)
	if len(r.Lost) > 0 {
		fmt.Fprintf(w, "lost in splits: %s\n", counts(r.Lost))
	}
	fmt.Fprintf(w, "slowest recovery: %s; excused: %d; throttled: %d; stalled: %s\n\n",
		r.SlowestRecovery.Round(time.Millisecond), r.Excused, r.Throttled, r.Stalled.Round(time.Millisecond))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "PROMISE\tCHECKED\tBROKEN\t")
	for _, p := range promises {
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", p.name, r.Checks[p.name], r.broken(p.name), p.text)
	}
	_ = t.Flush() // w reports its errors itself
	if r.Interrupted {
		fmt.Fprintln(w, "\ninterrupted")
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "\n%s at %s: %s", v.Promise, v.At.Round(time.Millisecond), v.Text)
	}
	if len(r.Violations) > 0 {
		fmt.Fprintln(w)
	}
}

// broken returns how often a promise was broken.
func (r *Report) broken(promise string) int {
	n := 0
	for _, v := range r.Violations {
		if v.Promise == promise {
			n++
		}
	}
	return n
}

// save writes the report as text and as JSON into a directory.
func (r *Report) save(dir string) error {
	var text strings.Builder
	r.writeText(&text)
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	for name, content := range map[string][]byte{"report.txt": []byte(text.String()), "report.json": append(b, '\n')} {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
	}
	return nil
}
