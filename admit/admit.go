// Package admit decides which work is taken in, which failed work may be tried
// again, and which can never run.
package admit

import (
	"errors"
	"time"
)

var (
	// ErrLate is returned for work that would end after its due time.
	ErrLate = errors.New("would be late")
	// ErrNeverRuns is returned for work that no host can run.
	ErrNeverRuns = errors.New("can never run")
	// ErrFull is returned when no more work may wait.
	ErrFull = errors.New("queue full")
)

// Refusal is an error that tells when the same request may succeed.
type Refusal struct {
	err   error
	after time.Duration // 0 when waiting does not help
}

// Error returns the cause.
func (r *Refusal) Error() string { return r.err.Error() }

// Unwrap returns the sentinel error of the cause.
func (r *Refusal) Unwrap() error { return r.err }

// After returns the time after which the request may succeed; 0 means that
// waiting does not help.
func (r *Refusal) After() time.Duration { return r.after }

// RetryAfter returns the time that a refusal in err's chain tells, or 0.
func RetryAfter(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.after
	}
	return 0
}

// Request describes work that asks to be taken in.
type Request struct {
	// Delay is the predicted delay of its start, RunTime its expected run time.
	Delay, RunTime time.Duration
	// Due is when the run should have ended; zero means no due time.
	Due time.Time
	// OpensAt is when the queue's hours next allow a start; zero means now.
	OpensAt time.Time
	// Slots is what one run takes, MaxSlots what the largest host of the pool has;
	// a MaxSlots of 0 means not known.
	Slots, MaxSlots int
	// Waiting and Depth are the queue's length and its limit; a Depth of 0
	// means no limit.
	Waiting, Depth int
}

// Limits are the settings of a Control.
type Limits struct {
	// Slack widens the time left before a predicted end counts as late, as a
	// share of that time: predictions err both ways.
	Slack float64
	// MinRetryAfter and MaxRetryAfter bound the time told to callers.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultLimits returns the settings used when none are given.
func DefaultLimits() Limits {
	return Limits{Slack: 0.25, MinRetryAfter: time.Second, MaxRetryAfter: 5 * time.Minute}
}

// Control refuses work early. It holds no state and is safe for concurrent use.
type Control struct {
	limits Limits
}

// New returns a control with the given limits.
func New(limits Limits) *Control { return &Control{limits: limits} }

// Admit returns nil for work to take in. Otherwise it returns a *Refusal of
// ErrNeverRuns, ErrFull or ErrLate; refused work has not been queued.
func (c *Control) Admit(now time.Time, r *Request) error {
	if r.MaxSlots > 0 && r.Slots > r.MaxSlots {
		return &Refusal{err: ErrNeverRuns}
	}
	if r.Depth > 0 && r.Waiting >= r.Depth {
		return &Refusal{err: ErrFull, after: c.bound(r.Delay)}
	}
	if r.Due.IsZero() {
		return nil
	}
	left := r.Due.Sub(now)
	if left <= 0 {
		return &Refusal{err: ErrLate}
	}
	start := max(r.Delay, r.OpensAt.Sub(now))
	over := start + r.RunTime - left - time.Duration(c.limits.Slack*float64(left))
	if over <= 0 {
		return nil
	}
	if r.RunTime > left {
		return &Refusal{err: ErrLate}
	}
	return &Refusal{err: ErrLate, after: c.bound(over)}
}

func (c *Control) bound(d time.Duration) time.Duration {
	return min(max(d, c.limits.MinRetryAfter), c.limits.MaxRetryAfter)
}
