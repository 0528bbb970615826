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

// messageDelay is the delay of a message between an entry and a worker,
// fillInterval the interval at which an entry tries to start waiting work,
// failoverTime the time until a failed steward is replaced.
const (
	messageDelay = time.Millisecond
	fillInterval = 50 * time.Millisecond
	failoverTime = 3 * time.Second
)

// variant is one way to share slots among entries, under one fault.
type variant struct {
	name    string
	entries int
	grants  bool
	subset  bool    // each entry uses only a fixed subset of the hosts
	skew    float64 // share of the work sent to the first entry; 0 for a uniform distribution
	fault   string  // of the steward: killed, paused, doubled, or empty for none
}

// event is an action at a time.
type event struct {
	at time.Time
	do func()
	n  int // order of events at the same time
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

// simEntry is one simulated entry.
type simEntry struct {
	name        string
	queue       *sched.Queue
	picker      *share.Picker
	waiting     map[*sched.Item]*task
	needsFull   [2]bool // the steward needs a full report
	reportBytes int     // of reports sent
}

// poolSim simulates the entries, workers and stewards of one pool.
type poolSim struct {
	variant
	clock      *clock
	rng        *rand.Rand
	end        time.Time
	members    []*simEntry
	hosts      int
	busyByHost map[string]int // slots in use by host
	running    int            // slots in use
	events     events
	seq        int
	stewards   [2]*share.Allocator
	acting     [2]bool // whether each steward is active

	starts, refusals, samples, inversions int
	contended, used                       float64 // slot-seconds while work waits: available, used
	last                                  time.Time
	grantBytes                            int // bytes of grants sent by stewards
	out                                   outcome
}

func newPoolSim(v variant, hosts int, start, end time.Time, seed uint64) *poolSim {
	g := &poolSim{
		variant: v, clock: &clock{now: start}, rng: rand.New(rand.NewPCG(seed, 7)), end: end,
		hosts: hosts, busyByHost: map[string]int{}, last: start, out: outcome{urgent: hdrhistogram.New(1, 24*3600*1000, 3)},
	}
	list := make([]share.Host, hosts)
	for i := range list {
		list[i] = share.Host{Name: "h" + strconv.Itoa(i), Slots: table.WorkerSlots}
	}
	for i := range g.stewards {
		g.stewards[i] = share.NewAllocator()
		g.stewards[i].SetHosts(list)
	}
	g.acting = [2]bool{v.grants, v.fault == "doubled"}
	for i := range v.entries {
		n := &simEntry{
			name: "e" + strconv.Itoa(i), queue: sched.New(sched.Yield, g.clock),
			picker: share.NewPicker(seed + uint64(i)), waiting: map[*sched.Item]*task{}, needsFull: [2]bool{true, true},
		}
		n.picker.SetHosts(g.knownHosts(list, i))
		g.members = append(g.members, n)
	}
	return g
}

// knownHosts returns the hosts that an entry may use: all, or a subset that
// overlaps with those of other entries.
func (g *poolSim) knownHosts(list []share.Host, entry int) []share.Host {
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

func (g *poolSim) schedule(t time.Time, do func()) {
	g.seq++
	heap.Push(&g.events, event{at: t, do: do, n: g.seq})
}

func (g *poolSim) run(arrivals []demand.Arrival) {
	for i, n := range g.members {
		g.repeat(fillInterval, time.Duration(i)*fillInterval/time.Duration(g.entries), func() { g.fill(n) })
	}
	if g.grants {
		g.repeat(share.ReportInterval, 0, g.exchange)
		g.scheduleFault()
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

func (g *poolSim) repeat(d, after time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		g.schedule(g.clock.now.Add(d), again)
	}
	g.schedule(g.clock.now.Add(after), again)
}

// scheduleFault schedules the steward's fault after a third of the run.
func (g *poolSim) scheduleFault() {
	third := g.clock.now.Add(g.end.Sub(g.clock.now) / 3)
	swap := func() {
		g.acting = [2]bool{false, true}
		for _, n := range g.members {
			n.needsFull[1] = true
		}
	}
	switch g.fault {
	case "killed":
		g.schedule(third, func() { g.acting[0] = false })
		g.schedule(third.Add(failoverTime), swap)
	case "paused":
		g.schedule(third, func() { g.acting[0] = false })
		g.schedule(third.Add(failoverTime), swap)
		// The paused steward resumes with stale state and sends grants once.
		g.schedule(third.Add(2*failoverTime), func() { g.sendGrants(0, third) })
	}
}

// advance moves the clock to a time and adds up the use of slots while work waits.
func (g *poolSim) advance(to time.Time) {
	waits := 0
	for _, n := range g.members {
		waits += n.queue.Len()
	}
	if waits > 0 {
		d := to.Sub(g.last).Seconds()
		g.contended += d * float64(g.hosts*table.WorkerSlots)
		g.used += d * float64(g.running)
	}
	g.last, g.clock.now = to, to
}

// exchange delivers reports to the active stewards and sends grants to the entries.
func (g *poolSim) exchange() {
	for s := range g.stewards {
		if !g.acting[s] {
			continue
		}
		for i, n := range g.members {
			if g.fault == "doubled" && i%2 != s {
				continue
			}
			msg := n.picker.AppendReport(nil, n.queue.DemandByBand(), n.needsFull[s])
			n.needsFull[s] = g.stewards[s].ApplyReport(n.name, msg, g.clock.now) != nil
			n.reportBytes += len(msg)
		}
		g.sendGrants(s, g.clock.now)
	}
}

func (g *poolSim) sendGrants(s int, now time.Time) {
	g.stewards[s].Grants(now, func(entry string, msg []byte) {
		i, _ := strconv.Atoi(entry[1:])
		g.grantBytes += len(msg)
		copied := append([]byte(nil), msg...)
		g.schedule(g.clock.now.Add(messageDelay), func() {
			_ = g.members[i].picker.ApplyGrants(copied, g.clock.now)
			g.fill(g.members[i])
		})
	})
}

func (g *poolSim) arrive(a *demand.Arrival, id uint64) {
	n := g.members[g.rng.IntN(len(g.members))]
	if g.skew > 0 && g.rng.Float64() < g.skew {
		n = g.members[0]
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
	n.waiting[it] = &task{Arrival: a, item: it}
	g.fill(n)
}

// fill starts the work for which an entry has slots.
func (g *poolSim) fill(n *simEntry) {
	total := max(g.hosts*table.WorkerSlots/g.entries, 1)
	for n.picker.Free(g.clock.now) > 0 {
		it := n.queue.Pop(g.clock.now, 1, total)
		if it == nil {
			return
		}
		host, ok := n.picker.Take(g.clock.now, 1)
		if !ok {
			n.queue.Requeue(it)
			return
		}
		g.schedule(g.clock.now.Add(messageDelay), func() { g.arriveAtWorker(n, it, host) })
	}
}

// arriveAtWorker handles a task's arrival at its worker, which refuses it if all
// its slots are in use.
func (g *poolSim) arriveAtWorker(n *simEntry, it *sched.Item, host string) {
	if g.busyByHost[host] >= table.WorkerSlots {
		g.refusals++
		g.schedule(g.clock.now.Add(messageDelay), func() {
			n.picker.Refused(g.clock.now, host, 1)
			n.queue.Requeue(it)
			g.fill(n)
		})
		return
	}
	w := n.waiting[it]
	delete(n.waiting, it)
	g.busyByHost[host]++
	g.running++
	g.countInversion(w)
	g.out.add(w, g.clock.now)
	g.schedule(g.clock.now.Add(w.Run), func() {
		g.busyByHost[host]--
		g.running--
		g.schedule(g.clock.now.Add(messageDelay), func() {
			n.picker.Release(host, 1)
			n.queue.Done(it, w.Run)
			g.fill(n)
		})
	})
}

// One start in sampleEvery is compared with all waiting work, and only work that
// has waited for at least inversionWait counts as an inversion.
const (
	sampleEvery   = 20
	inversionWait = 100 * time.Millisecond
)

// countInversion counts a sampled start as an inversion when work of a better rank
// and an earlier due time waits at any entry.
func (g *poolSim) countInversion(w *task) {
	g.starts++
	if g.starts%sampleEvery != 0 {
		return
	}
	g.samples++
	for _, n := range g.members {
		for it, o := range n.waiting {
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

// shareTime and largeShareTime are lengths of runs, shareHosts the size of one of
// today's pools.
const (
	shareTime      = 10 * time.Minute
	largeShareTime = 2 * time.Minute
	shareHosts     = 8
)

func benchShare(w io.Writer, seed uint64) error {
	s := scenarios()[0]
	s.duration = shareTime
	all := append([]variant{{name: "one entry", entries: 1}}, variants()...)
	if err := shareTable(w, s, shareHosts, all, seed); err != nil {
		return err
	}
	large := largeScenario(largeShareTime)
	return shareTable(w, large, scaleHosts, []variant{
		{name: "one entry", entries: 1},
		{name: "two choices", entries: 64},
		{name: "steward", entries: 64, grants: true},
		{name: "steward killed", entries: 64, grants: true, fault: "killed"},
		{name: "steward doubled", entries: 64, grants: true, fault: "doubled"},
	}, seed)
}

// shareTable measures each variant on the same arrivals and prints a table.
func shareTable(w io.Writer, s scenario, hosts int, all []variant, seed uint64) error {
	_, arrivals, err := s.load(seed)
	if err != nil {
		return err
	}
	start := arrivals[0].At
	fmt.Fprintf(w, "\n%s/%s, %d hosts, %d items over %s\n", s.fleet.Name, s.pool, hosts, len(arrivals), s.duration)
	fmt.Fprintln(w, "| way | entries | slots used while work waits | refusals per start | inversions | misses/rank | urgent p99 s | report B/s per entry | grant B/s per entry |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	for _, v := range all {
		g := newPoolSim(v, hosts, start, start.Add(s.duration), seed)
		g.run(arrivals)
		g.print(w, s.duration)
	}
	return nil
}

func (g *poolSim) print(w io.Writer, d time.Duration) {
	bytes := 0
	for _, n := range g.members {
		bytes += n.reportBytes
	}
	per := d.Seconds() * float64(g.entries)
	fmt.Fprintf(w, "| %s | %d | %.1f%% | %.3f | %.1f%% | %.3f%% | %.2f | %.1f | %.1f |\n", g.name, g.entries,
		100*g.used/g.contended, float64(g.refusals)/float64(g.starts), 100*float64(g.inversions)/float64(g.samples),
		100*g.out.weightedMisses/g.out.totalWeight, float64(g.out.urgent.ValueAtQuantile(99))/1000,
		float64(bytes)/per, float64(g.grantBytes)/per)
}
