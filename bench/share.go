package main

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotpaddle/demand"
	"shallotpaddle/sched"
	"shallotpaddle/share"
	"shallotpaddle/table"
)

func init() { experiments["share"] = benchShare }

// oneWay is the time of a message between an entry and a worker, tick the time
// between looks at waiting work, detect the time until a dead steward is
// replaced.
const (
	oneWay = time.Millisecond
	tick   = 50 * time.Millisecond
	detect = 3 * time.Second
)

// variant is one way to share slots under one fault.
type variant struct {
	name    string
	entries int
	grants  bool
	subset  bool    // each entry knows a fixed part of the hosts only
	skew    float64 // share of the work that the first entry gets; 0 is even
	fault   string  // of the steward: killed, paused or doubled
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
	n  int // order among events of one time
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].n < e[j].n)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// node is one entry.
type node struct {
	name   string
	queue  *sched.Queue
	holder *share.Picker
	work   map[*sched.Item]*task
	full   [2]bool // the steward needs a full report
	bytes  int     // of reports sent
}

// group is the entries and workers of one pool.
type group struct {
	variant
	clock    *clock
	rng      *rand.Rand
	end      time.Time
	nodes    []*node
	hosts    int
	busy     map[string]int // slots in use by host
	running  int            // slots in use
	events   events
	seq      int
	stewards [2]*share.Allocator
	acts     [2]bool // which stewards act now

	starts, refusals, samples, inversions int
	backlog, used                         float64 // slot-seconds with work waiting: all, used
	last                                  time.Time
	granted                               int // bytes of grants sent
	out                                   outcome
}

func newGroup(v variant, hosts int, start, end time.Time, seed uint64) *group {
	g := &group{
		variant: v, clock: &clock{now: start}, rng: rand.New(rand.NewPCG(seed, 7)), end: end,
		hosts: hosts, busy: map[string]int{}, last: start, out: outcome{urgent: hdrhistogram.New(1, 24*3600*1000, 3)},
	}
	list := make([]share.Host, hosts)
	for i := range list {
		list[i] = share.Host{Name: "h" + strconv.Itoa(i), Slots: table.WorkerSlots}
	}
	for i := range g.stewards {
		g.stewards[i] = share.NewAllocator()
		g.stewards[i].SetHosts(list)
	}
	g.acts = [2]bool{v.grants, v.fault == "doubled"}
	for i := range v.entries {
		n := &node{
			name: "e" + strconv.Itoa(i), queue: sched.New(sched.Yield, g.clock),
			holder: share.NewPicker(seed + uint64(i)), work: map[*sched.Item]*task{}, full: [2]bool{true, true},
		}
		n.holder.SetHosts(g.known(list, i))
		g.nodes = append(g.nodes, n)
	}
	return g
}

// known returns the hosts that an entry may use: all, or a part that two
// entries or more have in common.
func (g *group) known(list []share.Host, entry int) []share.Host {
	if !g.subset {
		return list
	}
	size := min(max(3, 2*len(list)/g.entries+1), len(list))
	out := make([]share.Host, 0, size)
	for k := range size {
		out = append(out, list[(entry*len(list)/g.entries+k)%len(list)])
	}
	return out
}

func (g *group) at(t time.Time, do func()) {
	g.seq++
	heap.Push(&g.events, event{at: t, do: do, n: g.seq})
}

func (g *group) run(arrivals []demand.Arrival) {
	for i, n := range g.nodes {
		g.every(tick, time.Duration(i)*tick/time.Duration(g.entries), func() { g.fill(n) })
	}
	if g.grants {
		g.every(share.ReportInterval, 0, g.control)
		g.plant()
	}
	next := 0
	for {
		if next < len(arrivals) && (len(g.events) == 0 || arrivals[next].At.Before(g.events[0].at)) {
			g.advance(arrivals[next].At)
			g.arrive(&arrivals[next], uint64(next))
			next++
			continue
		}
		if len(g.events) == 0 || g.events[0].at.After(g.end) {
			return
		}
		e := heap.Pop(&g.events).(event)
		g.advance(e.at)
		e.do()
	}
}

func (g *group) every(d, after time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		g.at(g.clock.now.Add(d), again)
	}
	g.at(g.clock.now.Add(after), again)
}

// plant plans the fault of the steward at a third of the time.
func (g *group) plant() {
	third := g.clock.now.Add(g.end.Sub(g.clock.now) / 3)
	swap := func() {
		g.acts = [2]bool{false, true}
		for _, n := range g.nodes {
			n.full[1] = true
		}
	}
	switch g.fault {
	case "killed":
		g.at(third, func() { g.acts[0] = false })
		g.at(third.Add(detect), swap)
	case "paused":
		g.at(third, func() { g.acts[0] = false })
		g.at(third.Add(detect), swap)
		// The paused steward wakes up with what it knew and sends once.
		g.at(third.Add(2*detect), func() { g.send(0, third) })
	}
}

// advance moves the clock and sums up the use of slots while work waits.
func (g *group) advance(to time.Time) {
	waits := 0
	for _, n := range g.nodes {
		waits += n.queue.Len()
	}
	if waits > 0 {
		d := to.Sub(g.last).Seconds()
		g.backlog += d * float64(g.hosts*table.WorkerSlots)
		g.used += d * float64(g.running)
	}
	g.last, g.clock.now = to, to
}

// control carries reports to the acting stewards and grants to the entries.
func (g *group) control() {
	for s := range g.stewards {
		if !g.acts[s] {
			continue
		}
		for i, n := range g.nodes {
			if g.fault == "doubled" && i%2 != s {
				continue
			}
			msg := n.holder.AppendReport(nil, n.queue.DemandByBand(), n.full[s])
			n.full[s] = g.stewards[s].ApplyReport(n.name, msg, g.clock.now) != nil
			n.bytes += len(msg)
		}
		g.send(s, g.clock.now)
	}
}

func (g *group) send(s int, now time.Time) {
	g.stewards[s].Grants(now, func(entry string, msg []byte) {
		i, _ := strconv.Atoi(entry[1:])
		g.granted += len(msg)
		copied := append([]byte(nil), msg...)
		g.at(g.clock.now.Add(oneWay), func() {
			_ = g.nodes[i].holder.ApplyGrants(copied, g.clock.now)
			g.fill(g.nodes[i])
		})
	})
}

func (g *group) arrive(a *demand.Arrival, id uint64) {
	n := g.nodes[g.rng.IntN(len(g.nodes))]
	if g.skew > 0 && g.rng.Float64() < g.skew {
		n = g.nodes[0]
	}
	it := sched.NewItem(id, sched.Spec{
		Queue: a.Queue.Name, Customer: a.Customer.Name, Kind: a.Queue.Kind,
		CustomerRank: a.Customer.Rank, JobRank: a.Queue.Rank, RunTime: a.Declared,
		Due: a.Due, Arrived: a.At, Target: a.Queue.Target, Quota: a.Customer.Quota,
	})
	if n.queue.Push(it) != nil {
		g.out.refused++
		return
	}
	n.work[it] = &task{Arrival: a, item: it}
	g.fill(n)
}

// fill starts what an entry may start.
func (g *group) fill(n *node) {
	total := max(g.hosts*table.WorkerSlots/g.entries, 1)
	for n.holder.Free(g.clock.now) > 0 {
		it := n.queue.Pop(g.clock.now, 1, total)
		if it == nil {
			return
		}
		host, ok := n.holder.Take(g.clock.now, 1)
		if !ok {
			n.queue.Requeue(it)
			return
		}
		g.at(g.clock.now.Add(oneWay), func() { g.reach(n, it, host) })
	}
}

// reach is a task's arrival at its worker.
func (g *group) reach(n *node, it *sched.Item, host string) {
	if g.busy[host] >= table.WorkerSlots {
		g.refusals++
		g.at(g.clock.now.Add(oneWay), func() {
			n.holder.Refused(g.clock.now, host, 1)
			n.queue.Requeue(it)
			g.fill(n)
		})
		return
	}
	w := n.work[it]
	delete(n.work, it)
	g.busy[host]++
	g.running++
	g.sample(w)
	g.out.add(w, g.clock.now)
	g.at(g.clock.now.Add(w.Run), func() {
		g.busy[host]--
		g.running--
		g.at(g.clock.now.Add(oneWay), func() {
			n.holder.Release(host, 1)
			n.queue.Done(it, w.Run)
			g.fill(n)
		})
	})
}

// sampleEvery is the number of starts of which one is compared with all that
// waits, inversionWait the wait from which work that should have gone first
// counts.
const (
	sampleEvery   = 20
	inversionWait = 100 * time.Millisecond
)

// sample counts a start as an inversion when work of a better rank and an
// earlier due time waits at any entry.
func (g *group) sample(w *task) {
	g.starts++
	if g.starts%sampleEvery != 0 {
		return
	}
	g.samples++
	for _, n := range g.nodes {
		for it, o := range n.work {
			waited := g.clock.now.Sub(o.At) >= inversionWait
			if it.Waiting() && waited && it.Rank() < w.item.Rank() && o.Due.Before(w.Due) {
				g.inversions++
				return
			}
		}
	}
}

func variants() []variant {
	var out []variant
	for _, n := range []int{6, 9, 64} {
		out = append(out,
			variant{name: "two choices", entries: n},
			variant{name: "steward", entries: n, grants: true},
			variant{name: "subsets", entries: n, subset: true},
			variant{name: "two choices, skewed", entries: n, skew: 0.4},
			variant{name: "steward, skewed", entries: n, skew: 0.4, grants: true},
			variant{name: "subsets, skewed", entries: n, skew: 0.4, subset: true})
		for _, f := range []string{"killed", "paused", "doubled"} {
			out = append(out, variant{name: "steward " + f, entries: n, grants: true, fault: f})
		}
	}
	return out
}

// shareTime and largeTime are lengths of runs, shareHosts the size of a pool of
// today.
const (
	shareTime  = 10 * time.Minute
	largeTime  = 2 * time.Minute
	shareHosts = 8
)

func benchShare(w io.Writer, seed uint64) error {
	s := scenes()[0]
	s.duration = shareTime
	all := append([]variant{{name: "one entry", entries: 1}}, variants()...)
	if err := shareTable(w, s, shareHosts, all, seed); err != nil {
		return err
	}
	large := largeScene(largeTime)
	return shareTable(w, large, scaleHosts, []variant{
		{name: "one entry", entries: 1},
		{name: "two choices", entries: 64},
		{name: "steward", entries: 64, grants: true},
		{name: "steward killed", entries: 64, grants: true, fault: "killed"},
		{name: "steward doubled", entries: 64, grants: true, fault: "doubled"},
	}, seed)
}

// shareTable measures each variant on the same arrivals.
func shareTable(w io.Writer, s scene, hosts int, all []variant, seed uint64) error {
	_, arrivals, err := s.load(seed)
	if err != nil {
		return err
	}
	start := arrivals[0].At
	fmt.Fprintf(w, "\n%s/%s, %d hosts, %d items over %s\n", s.fleet.Name, s.pool, hosts, len(arrivals), s.duration)
	fmt.Fprintln(w, "| way | entries | slots used while work waits | refusals per start | inversions | misses/rank | urgent p99 s | report B/s per entry | grant B/s per entry |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	for _, v := range all {
		g := newGroup(v, hosts, start, start.Add(s.duration), seed)
		g.run(arrivals)
		g.print(w, s.duration)
	}
	return nil
}

func (g *group) print(w io.Writer, d time.Duration) {
	bytes := 0
	for _, n := range g.nodes {
		bytes += n.bytes
	}
	per := d.Seconds() * float64(g.entries)
	fmt.Fprintf(w, "| %s | %d | %.1f%% | %.3f | %.1f%% | %.3f%% | %.2f | %.1f | %.1f |\n", g.name, g.entries,
		100*g.used/g.backlog, float64(g.refusals)/float64(g.starts), 100*float64(g.inversions)/float64(g.samples),
		100*g.out.weighted/g.out.weight, float64(g.out.urgent.ValueAtQuantile(99))/1000,
		float64(bytes)/per, float64(g.granted)/per)
}
