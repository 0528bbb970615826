package entry

import (
	"context"
	"errors"

	"shallotpaddle/endpt"
	"shallotpaddle/route"
)

var (
	// ErrNoJob is returned for a job that was not found.
	ErrNoJob = errors.New("no such job")
	// ErrMismatch is returned for an Idempotency-Key that was used for another
	// request.
	ErrMismatch = errors.New("key was used for another request")
	// ErrTooLarge is returned for a body or result that exceeds its limit.
	ErrTooLarge = errors.New("body too large")
)

// NewID returns an id for a request or job, unique over entries and restarts.
func (e *Entry) NewID() string { return e.newOpID() }

// Stop waits until the requests and tasks in flight have ended, or until ctx ends,
// and hands the jobs over to other entries. It returns the number still in flight.
// BeginStop must have been called.
func (e *Entry) Stop(ctx context.Context) int64 {
	// Stop both concurrently: otherwise new requests would still be accepted while a
	// long job ends.
	jobs := make(chan int64, 1)
	go func() { jobs <- int64(e.jobs.Stop(ctx)) }()
	left := e.router.Stop(ctx)
	return max(left, <-jobs)
}

// IsStopping tells whether BeginStop has been called.
func (e *Entry) IsStopping() bool { return e.stopping.Load() }

// Request runs a request, under its Idempotency-Key if key is not nil. The error
// is one of package route, or ErrMismatch or ErrRunning for a key already in use.
func (e *Entry) Request(ctx context.Context, w route.Work, body *endpt.Body, key *string) (*route.Answer, error) {
	if key != nil {
		return e.requestWithKey(ctx, w, body, *key)
	}
	return e.router.Do(ctx, w, body)
}

// Metrics returns this entry's metrics by name.
func (e *Entry) Metrics() map[string]map[string]any { return e.metrics.GetAll() }
