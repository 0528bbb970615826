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

// clock is a clock that the measurement sets.
type clock struct {
	quartz.Clock
	now time.Time
}

func (c *clock) Now(...string) time.Time { return c.now }

// task is an arrival with the item that stands for it.
type task struct {
	*demand.Arrival
	item *sched.Item
	ends time.Time
}

// ends orders running work by its end.
type ends []*task

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].ends.Before(e[j].ends) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(*task)) }
func (e *ends) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// outcome sums up one run.
type outcome struct {
	items, refused  int
	hopeless        int    // would miss even if started at once; no miss
	misses          [4]int // by rank: 1 to 2, 3 to 4, 5 to 6, more
	ranked          [4]int
	weighted        float64 // misses, each divided by its rank
	weight          float64
	nightMisses     int
	night           int
	urgent          *hdrhistogram.Histogram // start delay in milliseconds
	worst           time.Duration           // longest wait past the due time
	busy, available float64                 // slot-seconds
	spent           time.Duration           // processor time of the queue
}

func tier(rank int) int { return min((rank-1)/2, 3) }

// urgentDue is the longest time to the due time of urgent work, urgentRank the
// last place of its kind.
const (
	urgentDue  = time.Minute
	urgentRank = 2
)

func (o *outcome) add(w *task, started time.Time) {
	o.items++
	r := w.item.Rank()
	o.ranked[tier(r)]++
	o.weight += 1 / float64(r)
	if w.Queue.DueAt == "" && w.Queue.Due <= urgentDue && w.Queue.Rank <= urgentRank {
		_ = o.urgent.RecordValue(started.Sub(w.At).Milliseconds())
	}
	o.worst = max(o.worst, started.Sub(w.Due))
	late := started.Add(w.Run).After(w.Due)
	if w.At.Add(w.Run).After(w.Due) {
		o.hopeless++
		late = false
	}
	if w.Queue.DueAt != "" {
		o.night++
	}
	if !late {
		return
	}
	o.misses[tier(r)]++
	o.weighted += 1 / float64(r)
	if w.Queue.DueAt != "" {
		o.nightMisses++
	}
}

// sim drives one queue with slots as a counter.
type sim struct {
	q       *sched.Queue
	clock   *clock
	running ends
	byItem  map[*sched.Item]*task
	slots   int
	free    int
	window  map[string]*sched.Window
	last    time.Time
	out     outcome
	control *admit.Control // refuses work early; nil admits all

	shrinkAt time.Time // when shrink slots go out of service
	shrink   int
	most     int // most items that waited at once
}

func newSim(policy sched.Policy, start time.Time, slots int) *sim {
	c := &clock{now: start}
	return &sim{
		q: sched.New(policy, c), clock: c, byItem: map[*sched.Item]*task{},
		slots: slots, free: slots, last: start, window: map[string]*sched.Window{},
		out: outcome{urgent: hdrhistogram.New(1, 24*3600*1000, 3)},
	}
}

// run takes in all arrivals and goes on until everything has ended.
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
	for limit := s.clock.now.Add(48 * time.Hour); (s.q.Len() > 0 || len(s.running) > 0) && s.clock.now.Before(limit); {
		s.endUntil(s.clock.now.Add(time.Second))
		s.advance(s.clock.now.Add(time.Second))
		s.fill()
	}
	if n := s.q.Len(); n > 0 {
		return nil, fmt.Errorf("%d items never started", n)
	}
	s.out.spent = time.Since(began)
	return &s.out, nil
}

func (s *sim) push(f *demand.Fleet, a *demand.Arrival, id uint64) error {
	w, ok := s.window[a.Queue.Hours]
	if !ok {
		var err error
		if w, err = sched.ParseWindow(a.Queue.Hours, f.Zone); err != nil {
			return err
		}
		s.window[a.Queue.Hours] = w
	}
	if s.late(a) {
		s.out.refused++
		return nil
	}
	it := sched.NewItem(id, sched.Spec{
		Queue: a.Queue.Name, Customer: a.Customer.Name, Kind: a.Queue.Kind,
		CustomerRank: a.Customer.Rank, JobRank: a.Queue.Rank, RunTime: a.Declared, Slots: a.Queue.Slots,
		Due: a.Due, Arrived: a.At, Target: a.Queue.Target, Quota: a.Customer.Quota, Window: w,
	})
	if err := s.q.Push(it); err != nil {
		s.out.refused++
		return nil
	}
	s.byItem[it] = &task{Arrival: a, item: it}
	return nil
}

// late tells whether early refusal turns the work away.
func (s *sim) late(a *demand.Arrival) bool {
	if s.control == nil {
		return false
	}
	now := s.clock.now
	rank := sched.Rank(0, a.Customer.Rank, a.Queue.Rank)
	return s.control.Admit(now, &admit.Request{
		Delay:   s.q.Delay(now, s.slots, rank, a.Due),
		RunTime: s.q.RunTimes().Mean(a.Queue.Name, a.Queue.Kind, a.Declared), Due: a.Due,
	}) != nil
}

// advance moves the clock and sums up the time of busy slots.
func (s *sim) advance(to time.Time) {
	d := to.Sub(s.last).Seconds()
	s.out.busy += d * float64(s.slots-s.free)
	s.out.available += d * float64(s.slots)
	s.last, s.clock.now = to, to
	s.most = max(s.most, s.q.Len())
	if s.shrink > 0 && !to.Before(s.shrinkAt) {
		s.slots, s.free, s.shrink = s.slots-s.shrink, s.free-s.shrink, 0
	}
}

// endUntil ends the runs that are over by then, and fills the slots.
func (s *sim) endUntil(to time.Time) {
	for len(s.running) > 0 && !s.running[0].ends.After(to) {
		w := heap.Pop(&s.running).(*task)
		s.advance(w.ends)
		s.free += w.item.Spec().Slots
		s.q.Done(w.item, w.Run)
		s.fill()
	}
}

func (s *sim) fill() {
	for s.free > 0 {
		it := s.q.Pop(s.clock.now, s.free, s.slots)
		if it == nil {
			return
		}
		w := s.byItem[it]
		delete(s.byItem, it)
		w.ends = s.clock.now.Add(w.Run)
		s.free -= it.Spec().Slots
		heap.Push(&s.running, w)
		s.out.add(w, s.clock.now)
	}
}

// scene is one pool's demand over a span of time.
type scene struct {
	fleet    *demand.Fleet
	pool     string
	from     string // RFC 3339
	duration time.Duration
}

func scenes() []scene {
	d, b := demand.Diaries(), demand.Badges()
	return []scene{
		{d, "logs", "2026-06-01T10:00:00+12:00", 2 * time.Hour},
		{d, "photos", "2026-06-01T10:00:00+12:00", 23 * time.Hour},
		{b, "proofs", "2026-06-01T17:00:00-04:00", 18 * time.Hour},
		{b, "badges", "2026-06-01T07:00:00-04:00", 12 * time.Hour},
	}
}

// load returns the scene's pool and its arrivals.
func (s *scene) load(seed uint64) (*demand.Pool, []demand.Arrival, error) {
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
	for _, s := range scenes() {
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
	fmt.Fprintf(w, "| %s | %.3f%% |", policy, 100*o.weighted/o.weight)
	for i := range o.misses {
		fmt.Fprintf(w, " %s |", share(o.misses[i], o.ranked[i]))
	}
	fmt.Fprintf(w, " %d/%d | %.2f | %.0f | %.1f%% | %d | %d | %d |\n", o.nightMisses, o.night,
		float64(o.urgent.ValueAtQuantile(99))/1000, math.Max(o.worst.Seconds(), 0),
		100*o.busy/o.available, o.refused, o.hopeless, o.spent.Nanoseconds()/int64(max(o.items, 1)))
}
