package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/coder/quartz"

	"shallotpaddle/admit"
	"shallotpaddle/endpt"
	"shallotpaddle/entry"
	"shallotpaddle/gen/work"
	"shallotpaddle/route"
)

// Outcomes of a call as the API reports them. outcomeUnknown means that the work
// may have run.
const (
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
	outcomeAnswered = "answered"
)

// Work implements the callers' service of the API: requests and jobs.
type Work struct {
	entry *entry.Entry
	clock quartz.Clock
}

// NewWork returns the callers' service of an entry.
func NewWork(e *entry.Entry, clock quartz.Clock) *Work { return &Work{entry: e, clock: clock} }

// Request runs a request and streams its response.
func (s *Work) Request(ctx context.Context, p *work.RequestPayload, body io.ReadCloser) (*work.RequestResult, io.ReadCloser, error) {
	w, err := s.newRouteWork(p.Queue, p.Customer, p.Kind, p.Due, p.Idempotent)
	if err != nil {
		return nil, nil, err
	}
	a, err := s.entry.Request(ctx, w, endpt.NewBody(body, bodyLength(ctx)), p.Key)
	if err != nil {
		return nil, nil, workRefusal(err, w.ID)
	}
	out, err := newResponseStream(a.Body, a.Length)
	if err != nil {
		return nil, nil, workRefusal(err, w.ID)
	}
	res := &work.RequestResult{ID: w.ID, Outcome: outcomeAnswered, Status: a.Status, Type: &a.Type}
	if a.Length >= 0 {
		res.Length = &a.Length
	}
	return res, out, nil
}

// newRouteWork returns the work that a call describes, with a new id.
func (s *Work) newRouteWork(queue, customer, kind string, due *string, idempotent *bool) (route.Work, error) {
	w := route.Work{ID: s.entry.NewID(), Queue: queue, Customer: customer, Kind: kind, Idempotent: idempotent}
	if due == nil || *due == "" {
		return w, nil
	}
	at, err := parseDue(*due, s.clock.Now())
	if err != nil {
		return w, workRefusal(fmt.Errorf("%w: header Due: %w", route.ErrInvalid, err), w.ID)
	}
	w.Due = at
	return w, nil
}

// parseDue parses an RFC 3339 time or a duration from now.
func parseDue(s string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(s); err == nil {
		return now.Add(d), nil
	}
	return time.Parse(time.RFC3339, s)
}

// workRefusal converts an error to the work service's error of the API.
func workRefusal(err error, id string) *work.Refusal {
	r := &work.Refusal{Message: err.Error(), Outcome: outcomeNotRun}
	if id != "" {
		r.ID = &id
	}
	if after := admit.RetryAfter(err); after > 0 {
		secs := int(math.Ceil(after.Seconds()))
		r.Retry = &secs
	}
	switch {
	case errors.Is(err, route.ErrUnknown):
		r.Name, r.Outcome = "unknown", outcomeUnknown
	case errors.Is(err, route.ErrNoQueue), errors.Is(err, entry.ErrNoJob):
		r.Name = "not_found"
	case errors.Is(err, entry.ErrRunning):
		retry := 1
		r.Name, r.Outcome, r.Retry = "running", outcomeUnknown, &retry
	case errors.Is(err, entry.ErrMismatch):
		r.Name = "mismatch"
	case errors.Is(err, entry.ErrTooLarge):
		r.Name = "too_large"
	case errors.Is(err, route.ErrInvalid):
		r.Name = "invalid"
	default:
		r.Name = "not_run"
	}
	return r
}
