package note

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"shallotpaddle/table"
)

const (
	// MaxHistory is the number of accepted notes that a ConfigDoc keeps.
	MaxHistory = 32
	// MaxSummaryLines is the number of summary lines kept for one note.
	MaxSummaryLines = 32
	// MaxSummaryLineBytes is the length to which a summary line is cut, in bytes.
	MaxSummaryLineBytes = 200
	// MaxDocBytes is the largest size of an encoded ConfigDoc, in bytes. It
	// leaves room below the platform's limit for one value.
	MaxDocBytes = 900 << 10
)

// ConfigDoc is the document in which the platform's store holds the configuration
// in force and the last accepted notes. It is not changed in place: Accept returns
// a new one.
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
	// Lines summarize what the note changed, in at most MaxSummaryLines lines.
	Lines []string `json:"lines"`
	// Digest is the SHA-256 of the note's text, in hexadecimal.
	Digest string `json:"digest"`
}

// ConflictError reports a note that was written against another revision than the
// one in force. It matches ErrConflict.
type ConflictError struct {
	Note    string
	Against int64
	Rev     int64 // revision in force
	// Since holds the notes accepted after revision Against, without those that
	// the document no longer keeps.
	Since []Accepted
}

// Error names the two revisions and lists what changed between them, one change
// per line.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "note %s is against revision %d, in force is %d", e.Note, e.Against, e.Rev)
	if first := e.Rev - int64(len(e.Since)); e.Against < first {
		fmt.Fprintf(&b, "\nchanges up to revision %d are no longer kept", first)
	}
	for _, a := range e.Since {
		fmt.Fprintf(&b, "\nrevision %d, note %s, %s, %s", a.Rev, a.ID, a.Operator, a.Time.UTC().Format(time.RFC3339))
		for _, l := range a.Lines {
			b.WriteString("\n  " + l)
		}
	}
	return b.String()
}

// Is makes errors.Is match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Find returns the record of an accepted note that is still in the history.
func (d *ConfigDoc) Find(id string) (Accepted, bool) {
	for i := range d.Notes {
		if d.Notes[i].ID == id {
			return d.Notes[i], true
		}
	}
	return Accepted{}, false
}

// Accept applies n and returns the new document, with n recorded as accepted at now
// by n.Operator. If n is in the history already, Accept returns d unchanged. The
// error is a ConflictError when n is against another revision, one that matches
// ErrConflict when its id was used for another note, and that of Apply when n is
// invalid.
func (d *ConfigDoc) Accept(n *Note, now time.Time) (ConfigDoc, error) {
	if a, ok := d.Find(n.ID); ok {
		if a.Digest != n.digest {
			return ConfigDoc{}, fmt.Errorf("%w: id %s was used for revision %d by %s", ErrConflict, n.ID, a.Rev, a.Operator)
		}
		return *d, nil
	}
	if n.Against != d.Config.Rev {
		return ConfigDoc{}, &ConflictError{Note: n.ID, Against: n.Against, Rev: d.Config.Rev, Since: d.acceptedAfter(n.Against)}
	}
	next, err := Apply(&d.Config, n)
	if err != nil {
		return ConfigDoc{}, err
	}
	out := ConfigDoc{Config: *next}
	out.Notes = append(out.Notes, d.Notes[max(0, len(d.Notes)+1-MaxHistory):]...)
	out.Notes = append(out.Notes, Accepted{
		ID: n.ID, Rev: next.Rev, Operator: n.Operator, Time: now.UTC(),
		Lines: summarize(Diff(&d.Config, next)), Digest: n.digest,
	})
	return out, out.checkSize(n)
}

// acceptedAfter returns the notes in the history that were accepted after a revision.
func (d *ConfigDoc) acceptedAfter(rev int64) []Accepted {
	for i := range d.Notes {
		if d.Notes[i].Rev > rev {
			return d.Notes[i:]
		}
	}
	return nil
}

// checkSize returns an error that matches ErrInvalid if the encoded document is
// larger than MaxDocBytes.
func (d *ConfigDoc) checkSize(n *Note) error {
	b, err := json.Marshal(d)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	if len(b) > MaxDocBytes {
		return n.doc.ErrorAt("", fmt.Errorf("the configuration would take %d bytes, limit %d", len(b), MaxDocBytes))
	}
	return nil
}

// summarize returns the differences as text, within MaxSummaryLines and
// MaxSummaryLineBytes.
func summarize(diffs []RowDiff) []string {
	out := make([]string, 0, min(len(diffs), MaxSummaryLines))
	for i, d := range diffs {
		if i == MaxSummaryLines-1 && len(diffs) > MaxSummaryLines {
			return append(out, fmt.Sprintf("and %d more", len(diffs)-i))
		}
		s := d.String()
		if len(s) > MaxSummaryLineBytes {
			s = strings.ToValidUTF8(s[:MaxSummaryLineBytes-3], "") + "..."
		}
		out = append(out, s)
	}
	return out
}
