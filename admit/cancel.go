package admit

// CancelQueue spreads a burst of cancellations over several ticks, so that each
// tick of the loop that carries them out stays short. It is not safe for
// concurrent use.
type CancelQueue[T any] struct {
	perTick int // maximum number that Next returns
	waiting []T
}

// CancelsPerTick is the maximum number of cancellations carried out in one
// tick.
const CancelsPerTick = 2000

// NewCancelQueue returns a queue that releases at most perTick cancellations
// per tick.
func NewCancelQueue[T any](perTick int) *CancelQueue[T] { return &CancelQueue[T]{perTick: perTick} }

// Add appends cancellations.
func (q *CancelQueue[T]) Add(items ...T) { q.waiting = append(q.waiting, items...) }

// Next removes and returns the cancellations of this tick, in the order of Add.
// The slice is valid until the next call of Add.
func (q *CancelQueue[T]) Next() []T {
	n := min(q.perTick, len(q.waiting))
	out := q.waiting[:n]
	q.waiting = q.waiting[n:]
	return out
}

// Len returns the number of waiting cancellations.
func (q *CancelQueue[T]) Len() int { return len(q.waiting) }
