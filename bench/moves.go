package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"shallotpaddle/bench/drive"
	"shallotpaddle/moves"
	"shallotpaddle/table"
)

func init() { experiments["moves"] = benchMoves }

const (
	moveStep = time.Second
	moveDay  = 24 * time.Hour
	// meanLoad is a pool's mean demand as a share of its slots.
	meanLoad = 0.35
	// burstDemand and quietDemand are a queue's demand during and between its bursts,
	// as multiples of its mean; burstShare is the share of the time that it is
	// in a burst, which gives that mean.
	burstDemand, quietDemand = 5.0, 0.05
	burstShare               = (1 - quietDemand) / (burstDemand - quietDemand)
	// startTarget is the start delay above which work counts as late.
	startTarget = 30 * time.Second
	// taskTime is the run time of one task in seconds; a task uses one slot.
	taskTime = 4.0
	// demandWindow is the time constant, in seconds, by which a pool's demand is smoothed.
	demandWindow = 30.0
	// maxBorrowed is the number of hosts that a pool may borrow.
	maxBorrowed = 3
)

// workload is a load of queues that have bursts in random order.
type workload struct {
	name string
	// burst is the mean length of a burst.
	burst time.Duration
	// peak is the demand in a burst, as a multiple of the mean.
	peak float64
}

// queue is the work of one pool, modelled as a fluid: demand in slots, backlog in
// slot-seconds.
type queue struct {
	mean    float64
	backlog float64
	demand  float64
	late    time.Duration
	running float64
	slots   float64
}

type moveRun struct {
	w          *drive.World
	e          *drive.Entry
	rng        *rand.Rand
	load       workload
	queues     map[string]*queue
	names      []string
	burstQueue int // index of the queue in a burst; len(names) if none is
	burstEnd   time.Time
	counts     map[string]drive.Pool

	demanded, lateWork float64 // slot-seconds
	idle               float64 // host-seconds in service without work
	transit            float64 // host-seconds out of service for moves
	lateFor            time.Duration
}

// policy is a set of rules for moves that is measured.
type policy struct {
	name        string
	settings    moves.Settings
	borrowLimit int
	// eager reports a pool as late as soon as it wants more slots than it has.
	eager bool
	// extraHosts is the number of hosts added to every pool but the spare one.
	extraHosts int
}

func benchMoves(out io.Writer, seed uint64) error {
	loads := []workload{
		{"turns of seconds", 20 * time.Second, burstDemand},
		{"turns of 20 min", 20 * time.Minute, 3.2},
	}
	always := moves.DefaultSettings()
	always.LendAfter, always.ReturnAfter, always.ReturnShare, always.KeepFactor = moveStep, moveStep, 1, 0
	policies := []policy{
		{name: "never", settings: moves.DefaultSettings()},
		{name: "never, +1", settings: moves.DefaultSettings(), extraHosts: 1},
		{name: "never, +2", settings: moves.DefaultSettings(), extraHosts: 2},
		{name: "policy", settings: moves.DefaultSettings(), borrowLimit: maxBorrowed},
		{name: "every burst", settings: always, borrowLimit: maxBorrowed, eager: true},
	}
	for _, f := range drive.Fleets()[:2] {
		for _, load := range loads {
			for _, p := range policies {
				r := newMoveRun(f, load, p, seed)
				r.run()
				r.print(out, f.Name, p.name)
			}
		}
	}
	return nil
}

func newMoveRun(f drive.Fleet, load workload, pol policy, seed uint64) *moveRun {
	f.Layout.Hosts += pol.extraHosts * (len(f.Sizes) - 1)
	r := &moveRun{
		w: f.World(), rng: rand.New(rand.NewPCG(seed, 2)), load: load,
		queues: map[string]*queue{}, counts: map[string]drive.Pool{},
	}
	for i := range r.w.Config.Pools {
		p := &r.w.Config.Pools[i]
		p.Period = 0
		r.names = append(r.names, p.Name)
		r.queues[p.Name] = &queue{mean: meanLoad * float64(p.Size*table.WorkerSlots)}
		if !p.Spare {
			p.Size += pol.extraHosts
			p.Max = p.Size + pol.borrowLimit
		}
	}
	r.e = drive.NewEntry(r.w, "a")
	r.e.Moves = moves.New(pol.settings)
	r.e.Demand = func(pool string) (float64, time.Duration) {
		q := r.queues[pool]
		if wanted := q.running + q.backlog/taskTime; pol.eager && wanted > q.slots {
			return wanted, time.Hour
		}
		return q.demand, q.late
	}
	for range 60 {
		r.e.Tick()
		r.w.Advance(moveStep)
	}
	return r
}

func (r *moveRun) run() {
	for end := r.w.Now.Add(moveDay); r.w.Now.Before(end); r.w.Advance(moveStep) {
		r.e.Tick()
		r.w.CountPools(r.counts)
		r.nextBurst()
		for i, name := range r.names {
			r.serve(name, i == r.burstQueue)
		}
		r.setHostLoad()
	}
}

// nextBurst ends a burst after a random time and starts one of a random queue. With
// five queues one of them is in a burst nearly all the time.
func (r *moveRun) nextBurst() {
	if r.w.Now.Before(r.burstEnd) {
		return
	}
	share := burstShare * float64(len(r.names))
	if r.burstQueue < len(r.names) && r.rng.Float64() > share {
		r.burstQueue = len(r.names) // no queue
	} else {
		r.burstQueue = r.rng.IntN(len(r.names))
	}
	r.burstEnd = r.w.Now.Add(time.Duration(float64(r.load.burst) * (0.5 + r.rng.Float64())))
}

// serve advances one pool's queue by a step.
func (r *moveRun) serve(name string, inBurst bool) {
	q, p := r.queues[name], r.counts[name]
	sec := moveStep.Seconds()
	demand := q.mean * quietDemand
	if inBurst {
		demand = q.mean * r.load.peak
	}
	inService := p.Hosts - p.Out
	slots := float64(inService * table.WorkerSlots)
	q.slots = slots
	delay := time.Duration(q.backlog / max(slots, 1) * float64(time.Second))
	r.demanded += demand * sec
	if delay > startTarget {
		r.lateWork += demand * sec
		r.lateFor += moveStep
		q.late += moveStep
	} else {
		q.late = 0
	}
	q.running = min(slots, demand+q.backlog/sec)
	q.backlog = max(0, q.backlog+(demand-q.running)*sec)
	wanted := q.running + q.backlog/taskTime
	q.demand += (wanted - q.demand) * sec / demandWindow
	r.idle += (float64(inService) - math.Ceil(q.running/table.WorkerSlots)) * sec
	r.transit += float64(p.Planned) * sec
}

// setHostLoad distributes each pool's running tasks evenly over its hosts.
func (r *moveRun) setHostLoad() {
	for _, m := range r.w.Machines {
		pool := r.w.Placement(m.Name).Pool
		p := r.counts[pool]
		if q := r.queues[pool]; q != nil {
			m.BusySlots = int(math.Ceil(q.running / float64(max(1, p.Hosts-p.Out))))
		}
		m.DrainTime = time.Duration(taskTime * float64(time.Second))
	}
}

func (r *moveRun) print(out io.Writer, fleet, policy string) {
	secs := moveDay.Seconds()
	fmt.Fprintf(out, "%-8s %-16s %-11s moves a day %5d, late work %6.3f %%, late time %8s, idle %5.2f hosts, in transit %5.3f hosts\n",
		fleet, r.load.name, policy, r.e.Moves.Completed(), 100*r.lateWork/r.demanded, r.lateFor, r.idle/secs, r.transit/secs)
}
