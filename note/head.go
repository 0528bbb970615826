package note

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"shallotpaddle/table"
)

const (
	// MaxHistory is the number of accepted notes that a Head remembers.
	MaxHistory = 32
	// MaxSummaryLines is the number of summary lines kept of one note.
	MaxSummaryLines = 32
	// MaxSummaryLineBytes is the length to which a summary line is cut, in bytes.
	MaxSummaryLineBytes = 200
	// MaxDocBytes is the largest encoded Head, in bytes; it leaves room below the
	// platform's limit for one value.
	MaxDocBytes = 900 << 10
)

// ConfigDoc is the configuration document as the platform stores it. It is a value:
// Accept returns a new one.
type ConfigDoc struct {
	Config table.Config `json:"config"`
	// Notes are the last accepted notes, oldest first, at most MaxHistory; the
	// last one's Rev is Config.Rev.
	Notes []Accepted `json:"notes"`
}

// Accepted is the record of one accepted note.
type Accepted struct {
	ID       string    `json:"id"`
	Rev      int64     `json:"rev"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	// Lines sum up what the note changed, at most MaxSummaryLines.
	Lines []string `json:"lines"`
	// Digest identifies the note's text.
	Digest string `json:"digest"`
}

// ConflictError is the error of a note against another revision than the one in
// force; it matches ErrConflict.
type ConflictError struct {
	Note    string
	Against int64
	Rev     int64 // revision in force
	// Since are the notes accepted after Against, as far as they are known.
	Since []Accepted
}

// Error tells what changed between the two revisions, one line a change.
func (c *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "note %s is against revision %d, in force is %d", c.Note, c.Against, c.Rev)
	if first := c.Rev - int64(len(c.Since)); c.Against < first {
		fmt.Fprintf(&b, "\nchanges up to revision %d are no longer kept", first)
	}
	for _, a := range c.Since {
		fmt.Fprintf(&b, "\nrevision %d, note %s, %s, %s", a.Rev, a.ID, a.Operator, a.Time.UTC().Format(time.RFC3339))
		for _, l := range a.Lines {
			b.WriteString("\n  " + l)
		}
	}
	return b.String()
}

// Is tells that the error is ErrConflict.
func (c *ConflictError) Is(target error) bool { return target == ErrConflict }

// Find returns the record of an accepted note that is still remembered.
func (h *ConfigDoc) Find(id string) (Accepted, bool) {
	for i := range h.Notes {
		if h.Notes[i].ID == id {
			return h.Notes[i], true
		}
	}
	return Accepted{}, false
}

// Accept returns the Head that follows h when n is accepted at now, which
// records n.Operator; h stays as it is. A note that h has accepted already
// returns h itself. The error is ErrConflict, with what changed, when n is
// against another revision or its id was used for another note, or ErrInvalid
// as of Apply.
func (h *ConfigDoc) Accept(n *Note, now time.Time) (ConfigDoc, error) {
	if a, ok := h.Find(n.ID); ok {
		if a.Digest != n.digest {
			return ConfigDoc{}, fmt.Errorf("%w: id %s was used for revision %d by %s", ErrConflict, n.ID, a.Rev, a.Operator)
		}
		return *h, nil
	}
	if n.Against != h.Config.Rev {
		return ConfigDoc{}, &ConflictError{Note: n.ID, Against: n.Against, Rev: h.Config.Rev, Since: h.acceptedAfter(n.Against)}
	}
	next, err := Apply(&h.Config, n)
	if err != nil {
		return ConfigDoc{}, err
	}
	out := ConfigDoc{Config: *next}
	out.Notes = append(out.Notes, h.Notes[max(0, len(h.Notes)+1-MaxHistory):]...)
	out.Notes = append(out.Notes, Accepted{
		ID: n.ID, Rev: next.Rev, Operator: n.Operator, Time: now.UTC(),
		Lines: summarize(Diff(&h.Config, next)), Digest: n.digest,
	})
	return out, out.checkSize(n)
}

func (h *ConfigDoc) acceptedAfter(rev int64) []Accepted {
	for i := range h.Notes {
		if h.Notes[i].Rev > rev {
			return h.Notes[i:]
		}
	}
	return nil
}

// checkSize reports a configuration that the platform could not store.
func (h *ConfigDoc) checkSize(n *Note) error {
	b, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	if len(b) > MaxDocBytes {
		return n.doc.ErrorAt("", fmt.Errorf("the configuration would take %d bytes, limit %d", len(b), MaxDocBytes))
	}
	return nil
}

func summarize(lines []RowDiff) []string {
	out := make([]string, 0, min(len(lines), MaxSummaryLines))
	for i, l := range lines {
		if i == MaxSummaryLines-1 && len(lines) > MaxSummaryLines {
			return append(out, fmt.Sprintf("and %d more", len(lines)-i))
		}
		s := l.String()
		if len(s) > MaxSummaryLineBytes {
			s = strings.ToValidUTF8(s[:MaxSummaryLineBytes-3], "") + "..."
		}
		out = append(out, s)
	}
	return out
}
