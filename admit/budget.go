package admit

import "time"

// Budget is a token bucket that limits the retries of one pool in proportion to
// its successes. When everything fails, there are no successes and retries
// stop, except for one per refillInterval, which lets a pool with little work
// retry at all. It is not safe for concurrent use.
type Budget struct {
	perSuccess     float64       // retries earned per success
	burst          float64       // maximum of tokens
	refillInterval time.Duration // time in which one retry is earned without successes
	tokens         float64       // retries available, 0 to burst
	refilledAt     time.Time     // latest time passed to Allow
	// Counts since NewBudget.
	dispatches, retries, refused int64
}

const (
	// RetryShare is the default number of retries earned per success.
	RetryShare = 0.1
	// RetryBurst is the maximum number of retries saved up.
	RetryBurst = 10
	// RetryEvery is the time in which one retry is earned without any success.
	RetryEvery = 10 * time.Second
)

// NewBudget returns a full budget: burst retries are available at once, and
// each success earns perSuccess more, up to burst. One more is earned per
// refillInterval.
func NewBudget(perSuccess float64, burst int, refillInterval time.Duration) *Budget {
	return &Budget{perSuccess: perSuccess, burst: float64(burst), refillInterval: refillInterval, tokens: float64(burst)}
}

// OnDispatch counts the first dispatch of a piece of work.
func (b *Budget) OnDispatch() { b.dispatches++ }

// OnSuccess adds the fraction of a retry that a success earns.
func (b *Budget) OnSuccess() { b.tokens = min(b.tokens+b.perSuccess, b.burst) }

// Allow takes one retry from the budget; it returns false if none is available.
func (b *Budget) Allow(now time.Time) bool {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		earned := float64(now.Sub(b.refilledAt)) / float64(b.refillInterval)
		b.tokens = min(b.tokens+earned, b.burst)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
	if b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	b.retries++
	return true
}

// Counts returns the numbers of first dispatches, retries and refused retries
// since NewBudget.
func (b *Budget) Counts() (dispatches, retries, refused int64) {
	return b.dispatches, b.retries, b.refused
}
