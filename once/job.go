package once

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"shallotpaddle/table"
)

const (
	// MaxBody is the largest body of a job, in bytes.
	MaxBody = 64 << 10
	// MaxResult is the largest result or answer that is kept, in bytes.
	MaxResult = 32 << 10
	// maxText is the longest name, cause or type in a record, in bytes.
	maxText = 256
	// Retention is how long an outcome is kept if nobody fetches it.
	Retention = 24 * time.Hour
)

// State is the state of a job.
type State string

// States of a job.
const (
	Accepted  State = "accepted"  // durable, not started
	Started   State = "started"   // a dispatch is recorded, no outcome yet
	Done      State = "done"      // ended successfully
	Failed    State = "failed"    // ended with an error, or attempts used up
	Cancelled State = "cancelled" // cancelled by the caller
	Unknown   State = "unknown"   // may have run; never dispatched again
	Parked    State = "parked"    // can never run; Cause says why
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s != Accepted && s != Started }

// Job is an accepted job. It is stored as JSON, hence the exported fields.
type Job struct {
	// ID is unique: ENTRY-INCARNATION-NUMBER, named after the entry that
	// accepted the job.
	ID       string `json:"id"`
	Queue    string `json:"queue"`
	Customer string `json:"customer"`
	Kind     string `json:"kind"`
	// Due is zero when there is no due time.
	Due       time.Time `json:"due,omitzero"`
	Submitted time.Time `json:"at"`
	// Idempotent means that the job may be dispatched again without proof that
	// it has not run.
	Idempotent bool `json:"again,omitempty"`
	// Body is empty once the job has ended.
	Body  []byte `json:"body,omitempty"`
	State State  `json:"state"`
	// Attempts counts the recorded starts, at most MaxAttempts; 0 stands for
	// table.DefaultAttempts. Starts that are proved not to have run are not
	// counted.
	Attempts    int `json:"tries,omitempty"`
	MaxAttempts int `json:"cap,omitempty"`
	// Starts counts all recorded starts; it makes task ids unique.
	Starts int `json:"starts,omitempty"`
	// Host and Boot are the host of the last start and its boot id.
	Host string `json:"host,omitempty"`
	Boot string `json:"boot,omitempty"`
	// AdoptedFrom is the log that the job was copied from, empty if it was
	// accepted in this log.
	AdoptedFrom string `json:"via,omitempty"`
	// AdoptionPending is true until the adoption of AdoptedFrom is complete.
	// Until then the holder must not run the job.
	AdoptionPending bool `json:"held,omitempty"`
	// CancelRequested is true when the caller wants the job stopped.
	CancelRequested bool      `json:"cancel,omitempty"`
	Cause           string    `json:"cause,omitempty"`
	Ended           time.Time `json:"ended,omitzero"`
	Result          *Result   `json:"result,omitempty"`
}

// TaskID returns the id that the last start has at the worker.
func (j *Job) TaskID() string { return j.ID + "." + strconv.Itoa(j.Starts) }

// Result is the answer of a job or keyed request, small enough to be stored.
type Result struct {
	Status int    `json:"status"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Dropped is true when the body was too large to store or the log had no
	// space left for it.
	Dropped bool `json:"dropped,omitempty"`
}

// Outcome is how a job ended.
type Outcome struct {
	State  State
	Cause  string
	Result *Result // may be nil
}

// bounded returns r if it may be stored, and only its status marked as Dropped
// otherwise. hasRoom tells whether the log has space for the body.
func (r *Result) bounded(hasRoom bool) *Result {
	if r == nil || (len(r.Body) <= MaxResult && len(r.Type) <= maxText && (hasRoom || len(r.Body) == 0)) {
		return r
	}
	return &Result{Status: r.Status, Dropped: true}
}

// validate returns ErrTooLarge for a job that is too large for the ledger.
func (j *Job) validate() error {
	if len(j.Body) > MaxBody {
		return fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, len(j.Body), MaxBody)
	}
	for _, s := range []string{j.Queue, j.Customer, j.Kind, j.Cause} {
		if len(s) > maxText {
			return fmt.Errorf("%w: name of %d bytes, limit %d", ErrTooLarge, len(s), maxText)
		}
	}
	return nil
}

// encodedSize returns the approximate size of the encoded job, in bytes.
func (j *Job) encodedSize() int {
	const fixed = 300 // field names, times and ids
	n := fixed + len(j.Body)*4/3 + len(j.Cause) + len(j.Customer) + len(j.Queue) + len(j.Kind)
	if j.Result != nil {
		n += 64 + len(j.Result.Body)*4/3
	}
	return n
}

func (j *Job) attemptLimit() int {
	if j.MaxAttempts > 0 {
		return j.MaxAttempts
	}
	return table.DefaultAttempts
}

// LogName returns the name of the log of an entry's incarnation. The
// incarnation must not contain "-" and must not be used twice.
func LogName(entry, incarnation string) string { return entry + "-" + incarnation }

// LogOf returns the name of the log that a job was accepted in, or ErrNotFound
// for an id that names none.
func LogOf(id string) (string, error) {
	i := strings.LastIndexByte(id, '-')
	if i <= 0 || !strings.Contains(id[:i], "-") {
		return "", fmt.Errorf("job id %q: %w", id, ErrNotFound)
	}
	return id[:i], nil
}

// EntryOf returns the name of the entry that a log belongs to.
func EntryOf(log string) string {
	if i := strings.LastIndexByte(log, '-'); i >= 0 {
		return log[:i]
	}
	return log
}
