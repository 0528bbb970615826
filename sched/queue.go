package sched

import (
	"time"

	"github.com/coder/quartz"

	"shallotpaddle/table"
)

// Policy is the order in which waiting items start.
type Policy uint8

// Policies.
const (
	// Strict starts the item with the highest rank, then the earliest arrival.
	Strict Policy = iota
	// Earliest starts the item with the earliest due time, regardless of rank.
	Earliest
	// Yield starts the item with the earliest due time as long as all can be on
	// time. When an overload is predicted, low ranks wait for high ranks. Items
	// with much slack yield to items with little, and no item starves.
	Yield
)

var policyNames = [...]string{"strict", "earliest", "yield"}

// String returns the policy's name.
func (p Policy) String() string { return policyNames[p] }

// Queue holds the items of one pool that wait at one entry, and accounts for those
// that run.
type Queue struct {
	policy   Policy
	clock    quartz.Clock
	runTimes *RunTimes

	laneSets       [numClasses][2]laneSet // by class; index 0 within the quota, 1 over it
	lanes          map[laneKey]*lane
	customers      map[string]*customer
	waitingByQueue map[string]*int // number of waiting items by queue name
	closedLanes    []*lane         // lanes whose window is closed

	waitingCount int    // number of waiting items
	demand       int    // slots that waiting items want
	seq          uint64 // number of items pushed since New
	starts       int    // number of items started since New

	demandByClass  [numClasses]int // slots that waiting items of open lanes want
	demandByBand   [RankBands]int  // the same by band
	heldSlots      int             // slots of running items
	backgroundHeld int             // slots of running background items
	weightedEnds   float64         // sum of weightedEnd of the running items
	epoch          int64           // origin of weightedEnd, in Unix nanoseconds
	plan           plan
}

// New returns an empty queue.
func New(policy Policy, clock quartz.Clock) *Queue {
	return &Queue{
		policy: policy, clock: clock, runTimes: NewRunTimes(), epoch: clock.Now().UnixNano(),
		lanes: map[laneKey]*lane{}, customers: map[string]*customer{}, waitingByQueue: map[string]*int{},
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.waitingCount }

// Demand returns the number of slots that all waiting items want.
func (q *Queue) Demand() int { return q.demand }

// DemandByBand returns the number of slots that waiting items want, by band of
// ranks, without the items whose window is closed. The array changes with later
// calls of the Queue's methods.
func (q *Queue) DemandByBand() *[RankBands]int { return &q.demandByBand }

// Held returns the number of slots that running items hold.
func (q *Queue) Held() int { return q.heldSlots }

// RunTimes returns the queue's record of run times, which Done updates.
func (q *Queue) RunTimes() *RunTimes { return q.runTimes }

// Waiting returns the number of waiting items whose Spec names the given queue.
func (q *Queue) Waiting(queue string) int {
	if n := q.waitingByQueue[queue]; n != nil {
		return *n
	}
	return 0
}

// Push adds an idle item. It returns ErrFull if the number of waiting items in the
// item's queue has reached its depth, and ErrWaiting if the item is already waiting
// or running.
func (q *Queue) Push(it *Item) error {
	if it.state != idle {
		return ErrWaiting
	}
	n := q.waitingCounter(it.spec.Queue)
	depth := it.spec.Depth
	if depth <= 0 {
		depth = table.DefaultDepth
	}
	if *n >= depth {
		return ErrFull
	}
	it.waitingInQueue = n
	it.runStats = q.runTimes.statsOf(it.spec.Queue, it.spec.Kind, it.spec.RunTime)
	it.customer = q.customer(it.spec.Customer)
	it.customer.quota = it.spec.Quota
	it.customer.items++
	now := q.clock.Now()
	if it.spec.Arrived.IsZero() {
		it.spec.Arrived = now
	}
	it.due = it.spec.Due
	if it.due.IsZero() {
		run := time.Duration(it.runStats.mean * float64(time.Second))
		it.due = it.spec.Arrived.Add(it.spec.Target + run)
	}
	q.seq++
	it.seq = q.seq
	q.enqueue(it, now)
	return nil
}

// Requeue returns an item to the queue that Pop has returned but that was not run.
// It keeps its place in the order and is not subject to the queue's depth.
func (q *Queue) Requeue(it *Item) {
	if it.state != started {
		return
	}
	q.release(it)
	it.waitingInQueue = q.waitingCounter(it.spec.Queue)
	q.enqueue(it, q.clock.Now())
}

// Remove removes a waiting item and reports whether the item was waiting.
func (q *Queue) Remove(it *Item) bool {
	if it.state != waiting {
		return false
	}
	q.dequeue(it)
	it.state = idle
	it.customer.items--
	return true
}

// Pop removes and returns the item to start now, or nil if none may start. free is
// the largest number of slots available to one run now; total is the number of the
// pool's slots that this entry divides among its customers. The caller must later
// pass the item to Done or Requeue.
func (q *Queue) Pop(now time.Time, free, total int) *Item {
	it := q.Peek(now, free, total)
	if it == nil {
		return nil
	}
	return q.start(it, now)
}

// Done records that a popped item's run ended after ran. For a run that failed or
// did not take place, ran must be 0; its time is then not recorded.
func (q *Queue) Done(it *Item, ran time.Duration) {
	if it.state != started {
		return
	}
	if ran > 0 {
		it.runStats.record(ran)
	}
	q.release(it)
	it.state = idle
	it.customer.items--
}

// Delay predicts how long a new item of the given rank and due time would wait for
// its start if this entry has total slots. A zero due time means now plus
// DefaultTarget.
func (q *Queue) Delay(now time.Time, total, rank int, due time.Time) time.Duration {
	total = max(total, 1)
	q.refreshPlan(now, total)
	if due.IsZero() {
		due = now.Add(DefaultTarget)
	}
	work := q.workAhead(bandOf(rank), due.Sub(now))
	if q.heldSlots >= total {
		work += q.remainingWork(now) / float64(q.heldSlots)
	}
	return time.Duration(work / float64(total) * float64(time.Second))
}

// workAhead returns the waiting work that starts before a new item of the given
// band with the given time left until its due time, in slot-seconds.
func (q *Queue) workAhead(band int, left time.Duration) float64 {
	p, bucket := &q.plan, slackBucket(int64(left))
	switch {
	case q.policy == Strict:
		return p.sumOnTime(band, slackBuckets-1)
	case q.policy == Earliest:
		return p.sumOnTime(RankBands-1, bucket)
	case left >= BackgroundSlack:
		return p.sumOnTime(p.cutoff, bucket) + p.sumBackground(bucket)
	case band <= p.cutoff:
		return p.sumOnTime(p.cutoff, bucket)
	default:
		return p.sumOnTime(band, slackBuckets-1) + p.sumLate(band)
	}
}

// remainingWork returns the expected remaining work of the running items, in
// slot-seconds.
func (q *Queue) remainingWork(now time.Time) float64 {
	return max(q.weightedEnds-float64(q.heldSlots)*q.sinceEpoch(now), 0)
}

// sinceEpoch returns the seconds since the queue's epoch.
func (q *Queue) sinceEpoch(now time.Time) float64 {
	return time.Duration(now.UnixNano() - q.epoch).Seconds()
}

// waitingCounter returns the counter of waiting items for a queue name and creates
// it if necessary.
func (q *Queue) waitingCounter(queue string) *int {
	n := q.waitingByQueue[queue]
	if n == nil {
		n = new(int)
		q.waitingByQueue[queue] = n
	}
	return n
}

// customer returns the state of a customer and creates it if necessary.
func (q *Queue) customer(name string) *customer {
	c := q.customers[name]
	if c == nil {
		c = &customer{}
		q.customers[name] = c
	}
	return c
}
