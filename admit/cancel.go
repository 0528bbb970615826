package admit

// CancelQueue spreads a wave of cancellations over ticks, so that the loop which
// carries them out keeps its tick short.
type CancelQueue[T any] struct {
	limit   int // most cancellations a tick
	waiting []T
}

// CancelsPerTick is the number of cancellations carried out in one tick.
const CancelsPerTick = 2000

// NewCancelQueue returns a wave that gives out at most limit cancellations a tick.
func NewCancelQueue[T any](limit int) *CancelQueue[T] { return &CancelQueue[T]{limit: limit} }

// Add appends cancellations.
func (w *CancelQueue[T]) Add(items ...T) { w.waiting = append(w.waiting, items...) }

// Next returns the cancellations of this tick, in the order of Add. The slice
// is valid until the next call of Add.
func (w *CancelQueue[T]) Next() []T {
	n := min(w.limit, len(w.waiting))
	out := w.waiting[:n]
	w.waiting = w.waiting[n:]
	return out
}

// Len returns the number of cancellations that still wait.
func (w *CancelQueue[T]) Len() int { return len(w.waiting) }
