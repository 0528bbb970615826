// Package burn counts good and bad work per queue and customer, and reports the
// error budgets of the queues' service-level objectives and their burn rates.
//
// Work is good if its start delay is within its queue's target and, if it has a
// due time, it ended by then. The burn rate of a window is the share of bad work
// divided by the share that the objective allows: a rate of 1 spends the budget
// in exactly the budget period, a rate of 10 in a tenth of it.
package burn

import (
	"sync"
	"time"

	"github.com/coder/quartz"

	"shallotpaddle/table"
)

// Outcome classifies a piece of work for the service-level objective.
type Outcome uint8

// Outcomes. All but Good are bad.
const (
	Good    Outcome = iota
	Late            // started past the target, or ended past its due time
	Refused         // refused because it would have been late
	Unknown         // may or may not have run
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"good", "late", "refused", "unknown"}

// String returns the outcome's name as logs print it.
func (o Outcome) String() string { return outcomeNames[o] }

// Classify returns the outcome of work that ran: Late if its start delay exceeds
// target or if it ended after due, else Good. A zero due means no due time.
func Classify(target, delay time.Duration, due, ended time.Time) Outcome {
	if delay > target || (!due.IsZero() && ended.After(due)) {
		return Late
	}
	return Good
}

const (
	// MaxSeries is the maximum number of pairs of queue and customer with counts of
	// their own; work of further pairs is counted under OtherCustomer.
	MaxSeries = 10000
	// OtherCustomer is the name under which the work of further customers is
	// counted; see MaxSeries and Report.TrimCustomers.
	OtherCustomer = "other"

	fineWidth     = time.Minute
	fineBuckets   = 60 // one hour
	coarseWidth   = 30 * time.Minute
	coarseBuckets = 144 // three days
)

// Recorder counts outcomes per queue and customer. It is safe for concurrent use.
// Its memory is bounded by MaxSeries and does not depend on the amount of work.
type Recorder struct {
	clock quartz.Clock
	// created is when the recorder was created. Bucket times are created plus the
	// monotonic time elapsed since, so that steps of the wall clock don't affect them.
	created time.Time

	mu     sync.Mutex
	series map[seriesKey]*series
}

type seriesKey struct{ queue, customer string }

// series holds the counts of one queue and customer.
type series struct {
	fine   ring
	coarse ring
	totals [outcomeCount]int64 // by outcome, since the recorder was created
}

// bucket counts the work recorded in one interval of time.
type bucket struct{ good, bad uint32 }

// ring is a ring buffer of the newest buckets, all of the same width.
type ring struct {
	width   time.Duration
	buckets []bucket
	// newest is the number of the newest bucket, which counts widths since the Unix
	// epoch; bucket n is at index n modulo len(buckets).
	newest int64
}

// New returns a recorder with all counts zero.
func New(clock quartz.Clock) *Recorder {
	return &Recorder{clock: clock, created: clock.Now(), series: map[seriesKey]*series{}}
}

// Now returns the recorder's time, which steps of the wall clock don't affect.
func (r *Recorder) Now() time.Time { return r.created.Add(r.clock.Since(r.created)) }

// Record counts one piece of work.
func (r *Recorder) Record(queue, customer string, o Outcome) {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.findOrCreate(seriesKey{queue, customer}, now)
	s.totals[o]++
	s.fine.add(now, o)
	s.coarse.add(now, o)
}

// findOrCreate returns the series of key, and creates it if it is missing. Once there
// are MaxSeries series, the work of a new key goes to the queue's OtherCustomer. r.mu
// must be held.
func (r *Recorder) findOrCreate(key seriesKey, now time.Time) *series {
	if s := r.series[key]; s != nil {
		return s
	}
	if len(r.series) >= MaxSeries && key.customer != OtherCustomer {
		return r.findOrCreate(seriesKey{key.queue, OtherCustomer}, now)
	}
	s := &series{fine: newRing(fineWidth, fineBuckets, now), coarse: newRing(coarseWidth, coarseBuckets, now)}
	r.series[key] = s
	return s
}

// deleteUnknownQueues deletes the series of queues that are not in the
// configuration. r.mu must be held.
func (r *Recorder) deleteUnknownQueues(c *table.Config) {
	known := make(map[string]bool, len(c.Queues))
	for i := range c.Queues {
		known[c.Queues[i].Name] = true
	}
	for key := range r.series {
		if !known[key.queue] {
			delete(r.series, key)
		}
	}
}

func newRing(width time.Duration, n int, now time.Time) ring {
	return ring{width: width, buckets: make([]bucket, n), newest: bucketNumber(now, width)}
}

// bucketNumber returns the number of the bucket of t; see ring.newest.
func bucketNumber(t time.Time, width time.Duration) int64 { return t.UnixNano() / int64(width) }

// advance makes the bucket of t the newest one and clears the buckets that it
// skips.
func (g *ring) advance(t time.Time) {
	n := int64(len(g.buckets))
	to := bucketNumber(t, g.width)
	for g.newest = max(g.newest, to-n); g.newest < to; {
		g.newest++
		g.buckets[g.newest%n] = bucket{}
	}
}

// add counts one piece of work at t, which becomes the time of the newest bucket.
func (g *ring) add(t time.Time, o Outcome) {
	g.advance(t)
	b := &g.buckets[g.newest%int64(len(g.buckets))]
	if o == Good {
		b.good++
		return
	}
	b.bad++
}

// sum returns the counts of good and bad work in the newest n buckets.
func (g *ring) sum(n int) (good, bad int64) {
	for i := range n {
		b := g.bucketAt(i)
		good += int64(b.good)
		bad += int64(b.bad)
	}
	return good, bad
}

// bucketAt returns the bucket that is i places older than the newest.
func (g *ring) bucketAt(i int) bucket {
	return g.buckets[(g.newest-int64(i))%int64(len(g.buckets))]
}
