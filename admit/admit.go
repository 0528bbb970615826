// Package admit is admission control: it decides which work is accepted and
// which failed work may be retried, and keeps track of work that can't run at
// all.
package admit

import (
	"errors"
	"time"
)

var (
	// ErrLate is returned for work that is predicted to end after its due time.
	ErrLate = errors.New("would be late")
	// ErrNeverRuns is returned for work that needs more slots than any host
	// has.
	ErrNeverRuns = errors.New("can never run")
	// ErrFull is returned when the queue is at its depth limit.
	ErrFull = errors.New("queue full")
)

// Refusal is an error that says after what time the same request may succeed.
type Refusal struct {
	err   error
	after time.Duration // 0 if a later request can't succeed either
}

// NewRefusal returns a refusal because of err, after which the request may succeed.
func NewRefusal(err error, after time.Duration) *Refusal { return &Refusal{err: err, after: after} }

// Error returns the text of the cause.
func (r *Refusal) Error() string { return r.err.Error() }

// Unwrap returns the sentinel error of the cause.
func (r *Refusal) Unwrap() error { return r.err }

// After returns the time after which the request may succeed; 0 means that a
// later request can't succeed either.
func (r *Refusal) After() time.Duration { return r.after }

// RetryAfter returns After of the first Refusal in err's chain, or 0 if there
// is none.
func RetryAfter(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.after
	}
	return 0
}

// Request describes work that is to be admitted or refused.
type Request struct {
	// Delay is the predicted wait before the work starts, RunTime its expected
	// run time.
	Delay, RunTime time.Duration
	// Due is when the work should be finished; zero means no due time.
	Due time.Time
	// OpensAt is when the queue's opening hours next allow a start; zero means
	// now.
	OpensAt time.Time
	// Slots is the number of slots that the work takes, MaxSlots that of the
	// largest host of the pool; a MaxSlots of 0 means unknown.
	Slots, MaxSlots int
	// Waiting is the number of items in the queue, Depth its maximum; a Depth
	// of 0 means no maximum.
	Waiting, Depth int
}

// Limits are the settings of a Control.
type Limits struct {
	// Slack is how far a predicted end may lie after the due time, as a
	// fraction of the time left until then. Predictions may be too high as well
	// as too low.
	Slack float64
	// MinRetryAfter and MaxRetryAfter are the bounds of Refusal.After, if not
	// 0.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultLimits returns the default settings.
func DefaultLimits() Limits {
	return Limits{Slack: 0.25, MinRetryAfter: time.Second, MaxRetryAfter: 5 * time.Minute}
}

// Control refuses work that can't run in time before it is queued. It is
// stateless and safe for concurrent use.
type Control struct {
	limits Limits
}

// New returns a control with the given limits.
func New(limits Limits) *Control { return &Control{limits: limits} }

// Admit returns nil for work to accept, and otherwise a *Refusal that wraps
// ErrNeverRuns, ErrFull or ErrLate.
func (c *Control) Admit(now time.Time, r *Request) error {
	if r.MaxSlots > 0 && r.Slots > r.MaxSlots {
		return &Refusal{err: ErrNeverRuns}
	}
	if r.Depth > 0 && r.Waiting >= r.Depth {
		return &Refusal{err: ErrFull, after: c.clampRetryAfter(r.Delay)}
	}
	if r.Due.IsZero() {
		return nil
	}
	timeLeft := r.Due.Sub(now)
	if timeLeft <= 0 {
		return &Refusal{err: ErrLate}
	}
	startDelay := max(r.Delay, r.OpensAt.Sub(now))
	late := startDelay + r.RunTime - timeLeft - time.Duration(c.limits.Slack*float64(timeLeft))
	if late <= 0 {
		return nil
	}
	if r.RunTime > timeLeft {
		return &Refusal{err: ErrLate}
	}
	return &Refusal{err: ErrLate, after: c.clampRetryAfter(late)}
}

func (c *Control) clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, c.limits.MinRetryAfter), c.limits.MaxRetryAfter)
}
