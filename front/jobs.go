package front

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"shallotpaddle/entry"
	"shallotpaddle/gen/work"
	"shallotpaddle/once"
	"shallotpaddle/route"
)

// Submit accepts a job.
func (s *Work) Submit(ctx context.Context, p *work.SubmitPayload, body io.ReadCloser) (*work.Job, error) {
	defer body.Close()
	w, err := s.newRouteWork(p.Queue, p.Customer, p.Kind, p.Due, p.Idempotent)
	if err != nil {
		return nil, err
	}
	if p.Key != nil {
		return nil, workRefusal(fmt.Errorf("%w: header Idempotency-Key is for requests; a job's id serves its purpose", route.ErrInvalid), "")
	}
	b, err := io.ReadAll(io.LimitReader(body, once.MaxBody+1))
	if err != nil {
		return nil, workRefusal(fmt.Errorf("%w: body: %w", route.ErrNotRun, err), "")
	}
	j, err := s.entry.Submit(ctx, w, b)
	if err != nil {
		return nil, workRefusal(err, j.ID)
	}
	return apiJob(&j), nil
}

// Follow returns the state of a job.
func (s *Work) Follow(ctx context.Context, p *work.FollowPayload) (*work.Job, error) {
	var wait time.Duration
	if p.Wait != nil {
		d, err := time.ParseDuration(*p.Wait)
		if err != nil || d < 0 {
			return nil, workRefusal(fmt.Errorf("%w: wait %q is not a duration", route.ErrInvalid, *p.Wait), p.ID)
		}
		wait = d
	}
	j, err := s.entry.Job(ctx, p.ID, wait)
	if err != nil {
		return nil, workRefusal(err, p.ID)
	}
	return apiJob(&j), nil
}

// Fetch returns the result of a job that has ended.
func (s *Work) Fetch(ctx context.Context, p *work.FetchPayload) (*work.FetchResult, io.ReadCloser, error) {
	j, err := s.entry.Job(ctx, p.ID, 0)
	switch {
	case err != nil:
		return nil, nil, workRefusal(err, p.ID)
	case !j.State.Ended():
		return nil, nil, workRefusal(fmt.Errorf("%w: job is %s", route.ErrInvalid, apiState(&j)), p.ID)
	case j.Result == nil:
		return nil, nil, workRefusal(fmt.Errorf("%w: job is %s and has no result", route.ErrInvalid, apiState(&j)), p.ID)
	case j.Result.Dropped:
		return nil, nil, workRefusal(fmt.Errorf("%w: result, limit %d bytes", entry.ErrTooLarge, once.MaxResult), p.ID)
	}
	body := &resultReader{body: bytes.NewReader(j.Result.Body), onFullyRead: func() {
		s.clock.AfterFunc(fetchedRetention, func() { s.entry.DropJob(context.WithoutCancel(ctx), p.ID) })
	}}
	return &work.FetchResult{ID: j.ID, State: apiState(&j)}, body, nil
}

// fetchedRetention is how long a job is kept after its result has been fetched,
// for a caller that lost the response and fetches it again.
const fetchedRetention = 5 * time.Minute

// resultReader reads a job's result and, when closed, calls onFullyRead if the
// result was read to its end.
type resultReader struct {
	body        *bytes.Reader
	onFullyRead func()
}

// Read reads the next bytes of the result.
func (r *resultReader) Read(p []byte) (int, error) { return r.body.Read(p) }

// Close calls onFullyRead if no byte is left.
func (r *resultReader) Close() error {
	if r.body.Len() == 0 {
		r.onFullyRead()
	}
	return nil
}

// Cancel cancels a job.
func (s *Work) Cancel(ctx context.Context, p *work.CancelPayload) (*work.Job, error) {
	j, err := s.entry.CancelJob(ctx, p.ID)
	if err != nil {
		return nil, workRefusal(err, p.ID)
	}
	return apiJob(&j), nil
}

// apiState returns the API's name of a job's state.
func apiState(j *once.Job) string {
	switch j.State {
	case once.Accepted:
		return "waiting"
	case once.Started:
		return "running"
	default:
		return string(j.State)
	}
}

// apiJob converts a job for the API.
func apiJob(j *once.Job) *work.Job {
	out := &work.Job{
		ID: j.ID, Queue: j.Queue, Customer: j.Customer, Kind: j.Kind, State: apiState(j), Attempts: j.Attempts,
	}
	if j.Cause != "" {
		out.Cause = &j.Cause
	}
	at := j.Submitted.Format(time.RFC3339Nano)
	out.Submitted = &at
	if !j.Due.IsZero() {
		due := j.Due.Format(time.RFC3339Nano)
		out.Due = &due
	}
	return out
}
