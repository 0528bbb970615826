package main

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/coder/quartz"

	"shallotpaddle/admit"
	"shallotpaddle/demand"
	"shallotpaddle/sched"
	"shallotpaddle/table"
)

func init() { experiments["sched"] = benchSched }

// clock is a clock whose time the simulation sets.
type clock struct {
	quartz.Clock
	now time.Time
}

func (c *clock) Now(...string) time.Time { return c.now }

// task is an arrival with its item in the queue.
type task struct {
	*demand.Arrival
	item   *sched.Item
	endsAt time.Time
}

// runningHeap is a heap of running tasks by the time at which they end.
type runningHeap []*task

func (e runningHeap) Len() int           { return len(e) }
func (e runningHeap) Less(i, j int) bool { return e[i].endsAt.Before(e[j].endsAt) }
func (e runningHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *runningHeap) Push(x any)        { *e = append(*e, x.(*task)) }
func (e *runningHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// outcome is the measurements of one run.
type outcome struct {
	items, refused  int
	infeasible      int    // items that would miss their due time even if started on arrival; not counted as misses
	missesByTier    [4]int // by tier, see tier
	itemsByTier     [4]int
	weightedMisses  float64 // misses, each weighted by 1/rank
	totalWeight     float64
	nightMisses     int
	nightItems      int
	urgent          *hdrhistogram.Histogram // start delay in milliseconds
	maxLateness     time.Duration           // longest time from the due time to a later start
	busy, available float64                 // slot-seconds
	wallTime        time.Duration           // elapsed real time of the run
}

// tier returns the index of a rank's tier: ranks 1 to 2, 3 to 4, 5 to 6, and above.
func tier(rank int) int { return min((rank-1)/2, 3) }

// Work is urgent when it is due at most urgentDue after its arrival and its
// queue's rank is at most urgentRank.
const (
	urgentDue  = time.Minute
	urgentRank = 2
)

func (o *outcome) add(w *task, started time.Time) {
	o.items++
	r := w.item.Rank()
	o.itemsByTier[tier(r)]++
	o.totalWeight += 1 / float64(r)
	if w.Queue.DueAt == "" && w.Queue.Due <= urgentDue && w.Queue.Rank <= urgentRank {
		_ = o.urgent.RecordValue(started.Sub(w.At).Milliseconds())
	}
	o.maxLateness = max(o.maxLateness, started.Sub(w.Due))
	late := started.Add(w.Run).After(w.Due)
	if w.At.Add(w.Run).After(w.Due) {
		o.infeasible++
		late = false
	}
	if w.Queue.DueAt != "" {
		o.nightItems++
	}
	if !late {
		return
	}
	o.missesByTier[tier(r)]++
	o.weightedMisses += 1 / float64(r)
	if w.Queue.DueAt != "" {
		o.nightMisses++
	}
}

// sim simulates one queue; the pool's slots are a counter.
type sim struct {
	queue         *sched.Queue
	clock         *clock
	running       runningHeap
	taskByItem    map[*sched.Item]*task
	slots         int
	free          int
	windowByHours map[string]*sched.Window
	lastAdvance   time.Time
	out           outcome
	admission     *admit.Control // early refusal; nil admits all work

	reduceAt    time.Time // when reduceSlots slots go out of service
	reduceSlots int
	maxWaiting  int // largest number of waiting items
}

func newSim(policy sched.Policy, start time.Time, slots int) *sim {
	c := &clock{now: start}
	return &sim{
		queue: sched.New(policy, c), clock: c, taskByItem: map[*sched.Item]*task{},
		slots: slots, free: slots, lastAdvance: start, windowByHours: map[string]*sched.Window{},
		out: outcome{urgent: hdrhistogram.New(1, 24*3600*1000, 3)},
	}
}

// run submits all arrivals and continues until all work has ended.
func (s *sim) run(f *demand.Fleet, arrivals []demand.Arrival) (*outcome, error) {
	began := time.Now()
	for i := range arrivals {
		a := &arrivals[i]
		s.endUntil(a.At)
		s.advance(a.At)
		if err := s.push(f, a, uint64(i)); err != nil {
			return nil, err
		}
		s.fill()
	}
	for limit := s.clock.now.Add(48 * time.Hour); (s.queue.Len() > 0 || len(s.running) > 0) && s.clock.now.Before(limit); {
		s.endUntil(s.clock.now.Add(time.Second))
		s.advance(s.clock.now.Add(time.Second))
		s.fill()
	}
	if n := s.queue.Len(); n > 0 {
		return nil, fmt.Errorf("%d items never started", n)
	}
	s.out.wallTime = time.Since(began)
	return &s.out, nil
}

func (s *sim) push(f *demand.Fleet, a *demand.Arrival, id uint64) error {
	w, ok := s.windowByHours[a.Queue.Hours]
	if !ok {
		var err error
		if w, err = sched.ParseWindow(a.Queue.Hours, f.Zone); err != nil {
			return err
		}
		s.windowByHours[a.Queue.Hours] = w
	}
	if s.refusedEarly(a) {
		s.out.refused++
		return nil
	}
	it := sched.NewItem(id, sched.Spec{
		Queue: a.Queue.Name, Customer: a.Customer.Name, Kind: a.Queue.Kind,
		CustomerRank: a.Customer.Rank, JobRank: a.Queue.Rank, RunTime: a.Declared, Slots: a.Queue.Slots,
		Due: a.Due, Arrived: a.At, Target: a.Queue.Target, Quota: a.Customer.Quota, Window: w,
	})
	if err := s.queue.Push(it); err != nil {
		s.out.refused++
		return nil
	}
	s.taskByItem[it] = &task{Arrival: a, item: it}
	return nil
}

// refusedEarly reports whether early refusal rejects the work.
func (s *sim) refusedEarly(a *demand.Arrival) bool {
	if s.admission == nil {
		return false
	}
	now := s.clock.now
	rank := sched.Rank(0, a.Customer.Rank, a.Queue.Rank)
	return s.admission.Admit(now, &admit.Request{
		Delay:   s.queue.Delay(now, s.slots, rank, a.Due),
		RunTime: s.queue.RunTimes().Mean(a.Queue.Name, a.Queue.Kind, a.Declared), Due: a.Due,
	}) != nil
}

// advance moves the clock to a time and adds up busy and available slot-seconds.
func (s *sim) advance(to time.Time) {
	d := to.Sub(s.lastAdvance).Seconds()
	s.out.busy += d * float64(s.slots-s.free)
	s.out.available += d * float64(s.slots)
	s.lastAdvance, s.clock.now = to, to
	s.maxWaiting = max(s.maxWaiting, s.queue.Len())
	if s.reduceSlots > 0 && !to.Before(s.reduceAt) {
		s.slots, s.free, s.reduceSlots = s.slots-s.reduceSlots, s.free-s.reduceSlots, 0
	}
}

// endUntil ends the runs that are over by a time and refills their slots.
func (s *sim) endUntil(to time.Time) {
	for len(s.running) > 0 && !s.running[0].endsAt.After(to) {
		w := heap.Pop(&s.running).(*task)
		s.advance(w.endsAt)
		s.free += w.item.Spec().Slots
		s.queue.Done(w.item, w.Run)
		s.fill()
	}
}

func (s *sim) fill() {
	for s.free > 0 {
		it := s.queue.Pop(s.clock.now, s.free, s.slots)
		if it == nil {
			return
		}
		w := s.taskByItem[it]
		delete(s.taskByItem, it)
		w.endsAt = s.clock.now.Add(w.Run)
		s.free -= it.Spec().Slots
		heap.Push(&s.running, w)
		s.out.add(w, s.clock.now)
	}
}

// scenario is one pool's demand over a span of time.
type scenario struct {
	fleet    *demand.Fleet
	pool     string
	from     string // RFC 3339
	duration time.Duration
}

func scenarios() []scenario {
	d, b := demand.Diaries(), demand.Badges()
	return []scenario{
		{d, "logs", "2026-06-01T10:00:00+12:00", 2 * time.Hour},
		{d, "photos", "2026-06-01T10:00:00+12:00", 23 * time.Hour},
		{b, "proofs", "2026-06-01T17:00:00-04:00", 18 * time.Hour},
		{b, "badges", "2026-06-01T07:00:00-04:00", 12 * time.Hour},
	}
}

// load returns the scenario's pool and its arrivals.
func (s *scenario) load(seed uint64) (*demand.Pool, []demand.Arrival, error) {
	from, err := time.Parse(time.RFC3339, s.from)
	if err != nil {
		return nil, nil, err
	}
	for i := range s.fleet.Pools {
		if p := &s.fleet.Pools[i]; p.Name == s.pool {
			a, err := s.fleet.Arrivals(p, from, from.Add(s.duration), seed)
			return p, a, err
		}
	}
	return nil, nil, fmt.Errorf("no pool %q", s.pool)
}

func benchSched(w io.Writer, seed uint64) error {
	for _, s := range scenarios() {
		p, arrivals, err := s.load(seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "\n### %s/%s, %d items over %s\n", s.fleet.Name, s.pool, len(arrivals), s.duration)
		for _, hosts := range []int{p.Hosts, p.Hosts - 3} {
			fmt.Fprintf(w, "\n%d hosts\n", hosts)
			fmt.Fprintln(w, "| policy | misses/rank | rank 1-2 | 3-4 | 5-6 | 7+ | night | urgent p99 s | worst past due s | busy | refused | hopeless | ns/item |")
			fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
			for _, policy := range []sched.Policy{sched.Strict, sched.Earliest, sched.Yield} {
				o, err := newSim(policy, arrivals[0].At, hosts*table.WorkerSlots).run(s.fleet, arrivals)
				if err != nil {
					return err
				}
				o.print(w, policy)
			}
		}
	}
	return nil
}

func (o *outcome) print(w io.Writer, policy sched.Policy) {
	share := func(a, b int) string {
		if b == 0 {
			return "-"
		}
		return fmt.Sprintf("%.2f%%", 100*float64(a)/float64(b))
	}
	fmt.Fprintf(w, "| %s | %.3f%% |", policy, 100*o.weightedMisses/o.totalWeight)
	for i := range o.missesByTier {
		fmt.Fprintf(w, " %s |", share(o.missesByTier[i], o.itemsByTier[i]))
	}
	fmt.Fprintf(w, " %d/%d | %.2f | %.0f | %.1f%% | %d | %d | %d |\n", o.nightMisses, o.nightItems,
		float64(o.urgent.ValueAtQuantile(99))/1000, math.Max(o.maxLateness.Seconds(), 0),
		100*o.busy/o.available, o.refused, o.infeasible, o.wallTime.Nanoseconds()/int64(max(o.items, 1)))
}
