// Package hedge repeats writes to the platform's store whose answers are overdue, each
// time by another call, so that a lost answer costs no more than a few usual answer
// times.
//
// The copies of a transaction have the same conditions. The first that is carried out
// makes the conditions of the others false, so that a copy that the store carries out
// late changes nothing, and the answer to a later copy tells what became of the earlier
// ones.
package hedge

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/coder/quartz"
	metrics "github.com/rcrowley/go-metrics"

	"shallotpaddle/plat"
)

// Params are the parameters of New.
type Params struct {
	Commit func(ctx context.Context, t plat.Txn) (int64, []plat.Item, error)
	Grant  func(ctx context.Context, ttl time.Duration) (int64, error)
	Renew  func(ctx context.Context, lease int64) error
	Clock  quartz.Clock
	// Timeout bounds a write with all its copies.
	Timeout time.Duration
	// Repeats counts the calls that were made again.
	Repeats metrics.Counter
}

// Writer makes writes to the store. It is safe for concurrent use.
type Writer struct {
	Params

	mu sync.Mutex
	// usualTime is the usual time to an answer: it follows a slower answer at once and
	// faster ones gradually.
	usualTime time.Duration
	// repeatsLeft is the number of repeats that are allowed before the next answer.
	repeatsLeft int
	// returned is closed, and replaced, when the store is back.
	returned chan struct{}
}

const (
	// maxCopies is the largest number of calls made for one write. If the store loses
	// half of the answers, one write in a thousand stays without any.
	maxCopies = 10
	// overdueFactor is the time without an answer after which a call is repeated, in
	// usual answer times.
	overdueFactor = 3
	// minOverdue is the shortest time after which a call is repeated. The store
	// usually answers in 4 ms.
	minOverdue = 20 * time.Millisecond
	// usualTimeDecay divides the difference by which a faster answer lowers the usual
	// time.
	usualTimeDecay = 4
	// repeatsPerAnswer is the number of repeats that each answer allows. It is enough
	// if the store loses two answers of three, while one that answers nothing is not
	// flooded.
	repeatsPerAnswer = 2
	// maxRepeats is the largest number of repeats that are allowed without an answer.
	maxRepeats = 4 * maxCopies
	// maxReturns is how often a write is repeated at most because the store is back.
	maxReturns = 2
)

// New returns a writer.
func New(p Params) *Writer {
	return &Writer{Params: p, repeatsLeft: maxRepeats, returned: make(chan struct{})}
}

// Returned repeats the writes under way at once, once each. It is called when the store
// answers after a time in which it answered nothing: what was sent to it then is lost.
func (w *Writer) Returned() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.returned)
	w.returned = make(chan struct{})
}

// nextReturn returns a channel that is closed when the store is back the next time.
func (w *Writer) nextReturn() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.returned
}

// answer is the answer to one call.
type answer[T any] struct {
	value T
	err   error
	took  time.Duration
}

// answered reports whether the store has carried out the call or found that it can't.
func (a *answer[T]) answered() bool {
	return !errors.Is(a.err, plat.ErrUnknown) && !errors.Is(a.err, plat.ErrUnavailable)
}

// repeat makes a call, and makes it again whenever the answer is overdue. It returns the
// first answer and the number of calls made, and cancels the other calls. A refusal ends
// the repeats. The error matches plat.ErrUnavailable only if no call can have been
// carried out.
func repeat[T any](ctx context.Context, w *Writer, call func(context.Context) (T, error)) (T, int, error) {
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	answers := make(chan answer[T], maxCopies+maxReturns)
	send := func() {
		begun := w.Clock.Now()
		v, err := call(ctx)
		answers <- answer[T]{v, err, w.Clock.Since(begun)}
	}
	returned, returns := w.nextReturn(), 0
	go send()
	sent, pending, refused := 1, 1, false
	timer := w.Clock.NewTimer(w.overdue())
	defer timer.Stop()
	var failure error
	for {
		select {
		case a := <-answers:
			if a.answered() {
				w.noteAnswer(a.took)
				return a.value, sent, a.err
			}
			pending--
			refused = refused || errors.Is(a.err, plat.ErrUnavailable)
			if failure == nil || errors.Is(a.err, plat.ErrUnknown) {
				failure = a.err
			}
			if pending == 0 {
				return a.value, sent, failure
			}
		case <-returned:
			returned = w.nextReturn()
			if returns < maxReturns && !refused {
				returns++
				w.Repeats.Inc(1)
				sent, pending = sent+1, pending+1
				go send()
			}
		case <-timer.C:
			if sent-returns < maxCopies && !refused {
				if w.takeRepeat() {
					sent, pending = sent+1, pending+1
					go send()
				}
				timer.Reset(w.overdue())
			}
		}
	}
}

// overdue returns the time without an answer after which a call is repeated.
func (w *Writer) overdue() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(overdueFactor*w.usualTime, minOverdue)
}

// noteAnswer updates the usual time to an answer, and allows more repeats.
func (w *Writer) noteAnswer(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usualTime = max(took, w.usualTime-(w.usualTime-took)/usualTimeDecay)
	w.repeatsLeft = min(w.repeatsLeft+repeatsPerAnswer, maxRepeats)
}

// takeRepeat reports whether a repeat is allowed now, and counts it.
func (w *Writer) takeRepeat() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.repeatsLeft == 0 {
		return false
	}
	w.repeatsLeft--
	w.Repeats.Inc(1)
	return true
}

type committed struct {
	rev   int64
	items []plat.Item
}

// Commit applies a transaction as the store's call does. A conflict with an earlier copy
// of the same transaction counts as success.
func (w *Writer) Commit(ctx context.Context, t plat.Txn) (int64, []plat.Item, error) {
	c, sent, err := repeat(ctx, w, func(ctx context.Context) (committed, error) {
		rev, items, err := w.Params.Commit(ctx, t)
		return committed{rev, items}, err
	})
	if sent > 1 && errors.Is(err, plat.ErrConflict) {
		if rev := appliedRev(t, c.items); rev != 0 {
			return rev, nil, nil
		}
	}
	return c.rev, c.items, err
}

// appliedRev returns the revision at which a transaction was applied, from the items of
// its conditions afterwards; 0 if they don't show that it was, or if another of its
// conditions no longer holds.
func appliedRev(t plat.Txn, items []plat.Item) int64 {
	byKey := make(map[string]plat.Item, len(items))
	for _, it := range items {
		byKey[it.Key] = it
	}
	written := make(map[string][]byte, len(t.Puts))
	for _, p := range t.Puts {
		written[p.Key] = p.Value
	}
	var rev int64
	for _, c := range t.Expect {
		it := byKey[c.Key]
		value, put := written[c.Key]
		switch {
		case !put && it.Rev == c.Rev:
		case put && it.Rev > c.Rev && (rev == 0 || rev == it.Rev) && bytes.Equal(it.Value, value):
			rev = it.Rev
		default:
			return 0
		}
	}
	return rev
}

// Grant opens a lease as the store's call does. A lease that a copy without an answer
// opens ends by itself.
func (w *Writer) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	id, _, err := repeat(ctx, w, func(ctx context.Context) (int64, error) { return w.Params.Grant(ctx, ttl) })
	return id, err
}

// Renew extends a lease as the store's call does.
func (w *Writer) Renew(ctx context.Context, lease int64) error {
	_, _, err := repeat(ctx, w, func(ctx context.Context) (struct{}, error) { return struct{}{}, w.Params.Renew(ctx, lease) })
	return err
}
