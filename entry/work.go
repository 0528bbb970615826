package entry

import (
	"context"
	"errors"

	"shallotpaddle/endpt"
	"shallotpaddle/route"
)

var (
	// ErrNoJob is returned for a job that is not known.
	ErrNoJob = errors.New("no such job")
	// ErrMismatch is returned for a key that was used for another request.
	ErrMismatch = errors.New("key was used for another request")
	// ErrTooLarge is returned for a body above the limit of its use.
	ErrTooLarge = errors.New("body too large")
)

// NewID returns an id for a piece of work, unique over entries and restarts.
func (e *Entry) NewID() string { return e.newOpID() }

// Stop waits until the work that was taken in has ended, or until ctx ends,
// hands over the jobs, and returns the number of pieces of work still in
// flight. BeginStop must have been called.
func (e *Entry) Stop(ctx context.Context) int64 {
	// Side by side: a long job must not keep requests from being refused.
	jobs := make(chan int64, 1)
	go func() { jobs <- int64(e.jobs.Stop(ctx)) }()
	left := e.router.Stop(ctx)
	return max(left, <-jobs)
}

// IsStopping tells whether the entry takes no more work because it stops.
func (e *Entry) IsStopping() bool { return e.stopping.Load() }

// Request runs a request. The error is one of package route's.
func (e *Entry) Request(ctx context.Context, w route.Work, body *endpt.Body, key *string) (*route.Answer, error) {
	if key != nil {
		return e.requestWithKey(ctx, w, body, *key)
	}
	return e.router.Do(ctx, w, body)
}

// Metrics returns this entry's metrics by name.
func (e *Entry) Metrics() map[string]map[string]any { return e.metrics.GetAll() }
