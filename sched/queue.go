package sched

import (
	"time"

	"github.com/coder/quartz"

	"shallotpaddle/table"
)

// Policy tells in which order work starts.
type Policy uint8

// Policies.
const (
	// Strict starts the first rank first, then the earliest arrival.
	Strict Policy = iota
	// Earliest starts the earliest due time first, whatever its rank.
	Earliest
	// Yield starts the earliest due time first while all can be on time; when
	// an overload is predicted, the last ranks wait for the others. Work with
	// much time to spare gives way to work with little, and nothing starves.
	Yield
)

var policyNames = [...]string{"strict", "earliest", "yield"}

// String returns the policy's name.
func (p Policy) String() string { return policyNames[p] }

// Queue holds the work of one pool that waits at one entry.
type Queue struct {
	policy   Policy
	clock    quartz.Clock
	runTimes *RunTimes

	laneSets       [numClasses][2]laneSet // by class; 0 within the quota, 1 over it
	lanes          map[laneKey]*lane
	customers      map[string]*customer
	waitingByQueue map[string]*int // waiting items by queue
	closedLanes    []*lane         // lanes with items whose window is closed

	waitingCount int // waiting items
	demand       int // slots that waiting items want
	seq          uint64
	starts       int // items started since New

	demandByClass  [numClasses]int // slots that waiting items on shelves want
	demandByBand   [RankBands]int  // the same by band
	heldSlots      int             // slots of running items
	backgroundHeld int             // slots of running background items
	weightedEnds   float64         // sum of the running items' ends
	epoch          int64           // origin of ends, in Unix nanoseconds
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

// Demand returns the number of slots that waiting items want.
func (q *Queue) Demand() int { return q.demand }

// DemandByBand returns the slots that waiting items want by band of ranks, those
// outside their hours left out. The array is valid until the next call.
func (q *Queue) DemandByBand() *[RankBands]int { return &q.demandByBand }

// Held returns the number of slots of running items.
func (q *Queue) Held() int { return q.heldSlots }

// RunTimes returns the run times learnt so far.
func (q *Queue) RunTimes() *RunTimes { return q.runTimes }

// Waiting returns the number of waiting items of a queue by name.
func (q *Queue) Waiting(queue string) int {
	if n := q.waitingByQueue[queue]; n != nil {
		return *n
	}
	return 0
}

// Push adds an item. It returns ErrFull when the item's queue is at its depth
// and ErrWaiting when the item waits or runs already.
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

// Requeue puts back an item that Pop returned and that was not run. It keeps
// its place in the order and passes the queue's depth.
func (q *Queue) Requeue(it *Item) {
	if it.state != started {
		return
	}
	q.release(it)
	it.waitingInQueue = q.waitingCounter(it.spec.Queue)
	q.enqueue(it, q.clock.Now())
}

// Remove takes a waiting item out; it tells whether the item was waiting.
func (q *Queue) Remove(it *Item) bool {
	if it.state != waiting {
		return false
	}
	q.dequeue(it)
	it.state = idle
	it.customer.items--
	return true
}

// Pop returns the item to start now, or nil when none may start. Free is the
// most slots that one run can get now; total is the number of the pool's slots
// that this entry shares out among its customers. The caller passes the item
// to Done or Requeue later.
func (q *Queue) Pop(now time.Time, free, total int) *Item {
	it := q.Peek(now, free, total)
	if it == nil {
		return nil
	}
	return q.start(it, now)
}

// Done tells that a popped item's run ended after ran. A run that failed or
// did not happen passes 0: nothing is learnt from it.
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

// Delay predicts how long a new item of the given rank and due time would wait
// for its start when this entry has total slots. A zero due time stands for
// DefaultTarget from now on.
func (q *Queue) Delay(now time.Time, total, rank int, due time.Time) time.Duration {
	total = max(total, 1)
	q.refreshPlan(now, total)
	if due.IsZero() {
		due = now.Add(DefaultTarget)
	}
	ahead := q.workAhead(bandOf(rank), due.Sub(now))
	if q.heldSlots >= total {
		ahead += q.remainingWork(now) / float64(q.heldSlots)
	}
	return time.Duration(ahead / float64(total) * float64(time.Second))
}

// workAhead returns the work that goes before a new item with some time left, in
// slot-seconds.
func (q *Queue) workAhead(band int, left time.Duration) float64 {
	p, span := &q.plan, slackBucket(int64(left))
	switch {
	case q.policy == Strict:
		return p.sumOnTime(band, slackBuckets-1)
	case q.policy == Earliest:
		return p.sumOnTime(RankBands-1, span)
	case left >= BackgroundSlack:
		return p.sumOnTime(p.cutoff, span) + p.sumBackground(span)
	case band <= p.cutoff:
		return p.sumOnTime(p.cutoff, span)
	default:
		return p.sumOnTime(band, slackBuckets-1) + p.sumLate(band)
	}
}

// remainingWork returns the expected remainingWork of the running items, in slot-seconds.
func (q *Queue) remainingWork(now time.Time) float64 {
	return max(q.weightedEnds-float64(q.heldSlots)*q.sinceEpoch(now), 0)
}

// sinceEpoch returns the time since the queue's base.
func (q *Queue) sinceEpoch(now time.Time) float64 {
	return time.Duration(now.UnixNano() - q.epoch).Seconds()
}

func (q *Queue) waitingCounter(queue string) *int {
	n := q.waitingByQueue[queue]
	if n == nil {
		n = new(int)
		q.waitingByQueue[queue] = n
	}
	return n
}

func (q *Queue) customer(name string) *customer {
	c := q.customers[name]
	if c == nil {
		c = &customer{}
		q.customers[name] = c
	}
	return c
}
