// Package burn counts good and bad work per queue and customer, and reports how
// fast each queue spends the error budget of its service level.
//
// Work is good when it started within its queue's target and, if it has a due
// time, ended by then. The burn rate of a window is the share of bad work
// divided by the share that the objective allows: at 1 the budget is spent
// exactly over the budget period, at 10 in a tenth of it.
package burn

import (
	"sync"
	"time"

	"github.com/coder/quartz"

	"shallotpaddle/table"
)

// Outcome is how a piece of work counts.
type Outcome uint8

// Outcomes. All but Good are bad.
const (
	Good    Outcome = iota
	Late            // started past the target, or ended past its due time
	Refused         // refused because it would have been late
	Unknown         // may or may not have run
	outcomes
)

var outcomeNames = [outcomes]string{"good", "late", "refused", "unknown"}

// String returns the outcome in the form used by logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Classify returns how work counts that ran: it waited for delay before its start,
// where the queue's target allows target, and ended at ended, where a zero due
// sets no limit.
func Classify(target, delay time.Duration, due, ended time.Time) Outcome {
	if delay > target || (!due.IsZero() && ended.After(due)) {
		return Late
	}
	return Good
}

const (
	// MaxSeries is the most pairs of queue and customer that are counted apart;
	// work of further pairs counts under the customer Other.
	MaxSeries = 10000
	// OtherCustomer stands for customers beyond MaxSeries.
	OtherCustomer = "other"

	fineStep    = time.Minute
	fineCount   = 60 // one hour
	coarseStep  = 30 * time.Minute
	coarseCount = 144 // three days
)

// Recorder counts outcomes. It is safe for concurrent use. Its memory is bounded
// by MaxSeries and does not depend on the amount of work.
type Recorder struct {
	clock quartz.Clock
	// start is when the recorder was made; times are start plus the monotonic
	// time since, so that steps of the wall clock move no bucket.
	start time.Time

	mu     sync.Mutex
	series map[pair]*series
}

type pair struct{ queue, customer string }

// series is the history of one pair.
type series struct {
	fine   ring
	coarse ring
	totals [outcomes]int64 // since the recorder was made
}

// count is the work of one bucket.
type count struct{ good, bad uint32 }

// ring holds the latest buckets of one width.
type ring struct {
	step    time.Duration
	buckets []count
	// last is the number of the newest bucket, counted in steps since 1970;
	// bucket n is at n modulo the number of buckets.
	last int64
}

// New returns a recorder without counts.
func New(clock quartz.Clock) *Recorder {
	return &Recorder{clock: clock, start: clock.Now(), series: map[pair]*series{}}
}

// Now returns the recorder's time, which does not step with the wall clock.
func (r *Recorder) Now() time.Time { return r.start.Add(r.clock.Since(r.start)) }

// Record counts one piece of work.
func (r *Recorder) Record(queue, customer string, o Outcome) {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.find(pair{queue, customer}, now)
	s.totals[o]++
	s.fine.add(now, o)
	s.coarse.add(now, o)
}

func (r *Recorder) find(p pair, now time.Time) *series {
	if s := r.series[p]; s != nil {
		return s
	}
	if len(r.series) >= MaxSeries && p.customer != OtherCustomer {
		return r.find(pair{p.queue, OtherCustomer}, now)
	}
	s := &series{fine: newRing(fineStep, fineCount, now), coarse: newRing(coarseStep, coarseCount, now)}
	r.series[p] = s
	return s
}

// prune forgets queues that the configuration does not have.
func (r *Recorder) prune(c *table.Config) {
	known := make(map[string]bool, len(c.Queues))
	for i := range c.Queues {
		known[c.Queues[i].Name] = true
	}
	for p := range r.series {
		if !known[p.queue] {
			delete(r.series, p)
		}
	}
}

func newRing(step time.Duration, n int, now time.Time) ring {
	return ring{step: step, buckets: make([]count, n), last: number(now, step)}
}

func number(t time.Time, step time.Duration) int64 { return t.UnixNano() / int64(step) }

// advance makes the bucket of t the newest one.
func (g *ring) advance(t time.Time) {
	n := int64(len(g.buckets))
	to := number(t, g.step)
	for g.last = max(g.last, to-n); g.last < to; {
		g.last++
		g.buckets[g.last%n] = count{}
	}
}

func (g *ring) add(t time.Time, o Outcome) {
	g.advance(t)
	b := &g.buckets[g.last%int64(len(g.buckets))]
	if o == Good {
		b.good++
		return
	}
	b.bad++
}

// sum returns the work of the newest n buckets.
func (g *ring) sum(n int) (good, bad int64) {
	for i := range n {
		b := g.at(i)
		good += int64(b.good)
		bad += int64(b.bad)
	}
	return good, bad
}

// at returns the bucket that is i steps older than the newest.
func (g *ring) at(i int) count {
	return g.buckets[(g.last-int64(i))%int64(len(g.buckets))]
}
