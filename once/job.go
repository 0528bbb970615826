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
	// Retention is how long an outcome is kept that nobody has fetched.
	Retention = 24 * time.Hour
)

// State tells how far a job has come.
type State string

// States of a job.
const (
	Accepted  State = "accepted"  // durable, not started
	Started   State = "started"   // a dispatch is recorded, no outcome yet
	Done      State = "done"      // ended well
	Failed    State = "failed"    // ended badly or attempts used up
	Cancelled State = "cancelled" // ended by the caller
	Unknown   State = "unknown"   // may have run; never dispatched again
	Parked    State = "parked"    // can never run; cause says why
)

// Ended tells whether the state is final.
func (s State) Ended() bool { return s != Accepted && s != Started }

// Job is one accepted job. It is a document: the fields are exported for the
// codec.
type Job struct {
	// ID is ENTRY-INCARNATION-NUMBER of the accepting entry, unique.
	ID       string `json:"id"`
	Queue    string `json:"queue"`
	Customer string `json:"customer"`
	Kind     string `json:"kind"`
	// Due is zero when there is no due time.
	Due       time.Time `json:"due,omitzero"`
	Submitted time.Time `json:"at"`
	// Idempotent tells that the job may be dispatched again without proof that
	// it has not run.
	Idempotent bool `json:"again,omitempty"`
	// Body is empty once the job has ended.
	Body  []byte `json:"body,omitempty"`
	State State  `json:"state"`
	// Attempts counts recorded starts, at most MaxAttempts. Starts that are proved not
	// to have run are not counted.
	Attempts    int `json:"tries,omitempty"`
	MaxAttempts int `json:"cap,omitempty"`
	// Starts counts all recorded starts; it makes task ids unique.
	Starts int `json:"starts,omitempty"`
	// Host and Boot are those of the last start.
	Host string `json:"host,omitempty"`
	Boot string `json:"boot,omitempty"`
	// AdoptedFrom is the log that the job was adopted from, empty if accepted here.
	AdoptedFrom string `json:"via,omitempty"`
	// AdoptionPending tells that the adoption is not complete: the job is not yet the
	// holder's to run.
	AdoptionPending bool `json:"held,omitempty"`
	// CancelRequested tells that the caller wants the job stopped.
	CancelRequested bool      `json:"cancel,omitempty"`
	Cause           string    `json:"cause,omitempty"`
	Ended           time.Time `json:"ended,omitzero"`
	Result          *Result   `json:"result,omitempty"`
}

// TaskID returns the id under which the worker knows the last start.
func (j *Job) TaskID() string { return j.ID + "." + strconv.Itoa(j.Starts) }

// Result is the small answer of a job or keyed request.
type Result struct {
	Status int    `json:"status"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Dropped tells that the body was too large to keep, or that no room was
	// left for it.
	Dropped bool `json:"dropped,omitempty"`
}

// Outcome ends a job.
type Outcome struct {
	State  State
	Cause  string
	Result *Result // may be nil
}

// bounded returns r with a body that may be kept; room tells whether any may.
func (r *Result) bounded(hasRoom bool) *Result {
	if r == nil || (len(r.Body) <= MaxResult && len(r.Type) <= maxText && (hasRoom || len(r.Body) == 0)) {
		return r
	}
	return &Result{Status: r.Status, Dropped: true}
}

// validate refuses a job that the ledger cannot hold.
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

// encodedSize approximates the encoded encodedSize of the job's full state.
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

// LogName returns the name of the log of an entry's incarnation, which must not
// contain "-" and must not be used twice.
func LogName(entry, incarnation string) string { return entry + "-" + incarnation }

// LogOf returns the log that a job was accepted in.
func LogOf(id string) (string, error) {
	i := strings.LastIndexByte(id, '-')
	if i <= 0 || !strings.Contains(id[:i], "-") {
		return "", fmt.Errorf("job id %q: %w", id, ErrNotFound)
	}
	return id[:i], nil
}

// EntryOf returns the entry of a log.
func EntryOf(log string) string {
	if i := strings.LastIndexByte(log, '-'); i >= 0 {
		return log[:i]
	}
	return log
}
