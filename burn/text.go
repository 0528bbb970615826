package burn

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as aligned tables of plain text.
func WriteText(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "burn at %s, %d entries\n\n", r.Time.Format(time.RFC3339), r.Entries)
	fmt.Fprint(t, "QUEUE\tCUSTOMER\tOBJECTIVE\tALERT\tLEFT\tLASTS")
	for _, win := range windows {
		fmt.Fprintf(t, "\t%s", strings.ToUpper(formatMinutes(win.span)))
	}
	fmt.Fprint(t, "\tGOOD\tLATE\tREFUSED\tUNKNOWN\n")
	for i := range r.Queues {
		q := &r.Queues[i]
		writeRow(t, q.Name, "", q.Objective, &q.Row)
		for k := range q.Customers {
			writeRow(t, "", q.Customers[k].Name, q.Objective, &q.Customers[k].Row)
		}
	}
	writeMeasures(t, &r.Measures)
	return t.Flush()
}

func writeRow(w io.Writer, queue, customer string, objective float64, r *Row) {
	fmt.Fprintf(w, "%s\t%s\t%g\t%s\t%s\t%s", queue, customer, objective, r.Alert, r.LeftText(), r.LastsText())
	for i := range r.Windows {
		fmt.Fprintf(w, "\t%.2f", r.Windows[i].Rate)
	}
	fmt.Fprintf(w, "\t%d\t%d\t%d\t%d\n", r.Good, r.Late, r.Refused, r.Unknown)
}

func writeMeasures(w io.Writer, s *Sums) {
	fmt.Fprintf(w, "\nMOVES\thosts %d\tjobs %d\n", s.Hosts, s.Jobs)
	fmt.Fprint(w, "\nPOOL\tBUFFER COST (host-seconds)\n")
	for _, pool := range slices.Sorted(maps.Keys(s.Buffer)) {
		fmt.Fprintf(w, "%s\t%.0f\n", pool, s.Buffer[pool])
	}
	fmt.Fprint(w, "\nREV\tACCEPTED\tIN FORCE AFTER\tFULL EFFECT AFTER\n")
	for _, rollout := range s.Rollouts {
		force, effect := rollout.Delays()
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", rollout.Rev, formatTime(rollout.Accepted), formatSeconds(force), formatSeconds(effect))
	}
}

// formatTime formats a time in UTC; a zero time, not known, as "-".
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// LeftText returns Left in percent, such as "97.5%".
func (r *Row) LeftText() string { return fmt.Sprintf("%.1f%%", 100*r.Left) }

// LastsText returns Lasts in whole minutes, such as "4h30m"; "-" if it is nil.
func (r *Row) LastsText() string {
	if r.Lasts == nil {
		return "-"
	}
	return formatMinutes(r.Lasts.Std().Round(time.Minute))
}

// formatMinutes formats a duration in hours and minutes, without a part that is zero.
func formatMinutes(d time.Duration) string {
	h, m := int(d.Hours()), int(d.Minutes())%60
	switch {
	case h == 0:
		return fmt.Sprintf("%dm", m)
	case m == 0:
		return fmt.Sprintf("%dh", h)
	}
	return fmt.Sprintf("%dh%dm", h, m)
}
