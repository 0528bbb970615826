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

func init() { experiments["moves"] = moving }

const (
	moveStep = time.Second
	moveDay  = 24 * time.Hour
	// meanLoad is a pool's mean demand as a share of its slots.
	meanLoad = 0.35
	// high and low are a queue's demand in and between its turns, as multiples
	// of its mean; turnShare is the part of the time in which it is its turn.
	high, low = 5.0, 0.05
	turnShare = (1 - low) / (high - low)
	// startTarget is the start delay past which work counts as late.
	startTarget = 30 * time.Second
	// taskTime is the run time of one task; one task takes one slot.
	taskTime = 4.0
	// demandWindow smooths a pool's demand.
	demandWindow = 30.0
	// lendable is the number of hosts that a pool may borrow.
	lendable = 3
)

// workload gives the demand of a queue at a time, in multiples of its mean.
type workload struct {
	name string
	// turn is the mean length of one queue's turn.
	turn time.Duration
	// peak is the demand in a turn.
	peak float64
}

// queue is the work of one pool as a fluid, in slots and slot-seconds.
type queue struct {
	mean    float64
	backlog float64
	demand  float64
	late    time.Duration
	running float64
	slots   float64
}

type moveRun struct {
	w      *drive.World
	e      *drive.Entry
	rng    *rand.Rand
	load   workload
	queues map[string]*queue
	names  []string
	turn   int // the queue whose turn it is
	until  time.Time
	counts map[string]drive.Pool

	asked, lateWork float64 // slot-seconds
	idle            float64 // host-seconds in service without work
	transit         float64 // host-seconds out for moves
	lateFor         time.Duration
}

// policy is a way to decide on moves.
type policy struct {
	name string
	set  moves.Settings
	lend int
	// eager takes a pool as late as soon as it wants more slots than it has.
	eager bool
	// extra is the number of hosts that every pool but the spare one has more.
	extra int
}

func moving(out io.Writer, seed uint64) error {
	loads := []workload{
		{"turns of seconds", 20 * time.Second, high},
		{"turns of 20 min", 20 * time.Minute, 3.2},
	}
	always := moves.DefaultSettings()
	always.LendAfter, always.ReturnAfter, always.ReturnShare, always.KeepFactor = moveStep, moveStep, 1, 0
	policies := []policy{
		{name: "never", set: moves.DefaultSettings()},
		{name: "never, +1", set: moves.DefaultSettings(), extra: 1},
		{name: "never, +2", set: moves.DefaultSettings(), extra: 2},
		{name: "policy", set: moves.DefaultSettings(), lend: lendable},
		{name: "every burst", set: always, lend: lendable, eager: true},
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
	f.Layout.Hosts += pol.extra * (len(f.Sizes) - 1)
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
			p.Size += pol.extra
			p.Max = p.Size + pol.lend
		}
	}
	r.e = drive.NewEntry(r.w, "a")
	r.e.Moves = moves.New(pol.set)
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
		r.nextTurn()
		for i, name := range r.names {
			r.serve(name, i == r.turn)
		}
		r.busy()
	}
}

// nextTurn ends a queue's turn after a random time and gives it to the next.
// With five queues one of them has its turn nearly all the time.
func (r *moveRun) nextTurn() {
	if r.w.Now.Before(r.until) {
		return
	}
	share := turnShare * float64(len(r.names))
	if r.turn < len(r.names) && r.rng.Float64() > share {
		r.turn = len(r.names) // nobody's turn
	} else {
		r.turn = r.rng.IntN(len(r.names))
	}
	r.until = r.w.Now.Add(time.Duration(float64(r.load.turn) * (0.5 + r.rng.Float64())))
}

// serve moves one pool's queue on by a step.
func (r *moveRun) serve(name string, turn bool) {
	q, p := r.queues[name], r.counts[name]
	sec := moveStep.Seconds()
	asks := q.mean * low
	if turn {
		asks = q.mean * r.load.peak
	}
	open := p.Hosts - p.Out
	slots := float64(open * table.WorkerSlots)
	q.slots = slots
	delay := time.Duration(q.backlog / max(slots, 1) * float64(time.Second))
	r.asked += asks * sec
	if delay > startTarget {
		r.lateWork += asks * sec
		r.lateFor += moveStep
		q.late += moveStep
	} else {
		q.late = 0
	}
	q.running = min(slots, asks+q.backlog/sec)
	q.backlog = max(0, q.backlog+(asks-q.running)*sec)
	wanted := q.running + q.backlog/taskTime
	q.demand += (wanted - q.demand) * sec / demandWindow
	r.idle += (float64(open) - math.Ceil(q.running/table.WorkerSlots)) * sec
	r.transit += float64(p.Planned) * sec
}

// busy spreads each pool's running tasks over its hosts.
func (r *moveRun) busy() {
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
		fleet, r.load.name, policy, r.e.Moves.Completed(), 100*r.lateWork/r.asked, r.lateFor, r.idle/secs, r.transit/secs)
}
