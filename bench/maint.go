package main

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotpaddle/bench/drive"
	"shallotpaddle/table"
)

func init() { experiments["maint"] = maintenance }

const (
	// maintStep is the time between ticks of the long runs.
	maintStep = 30 * time.Second
	// failuresPerDay and restartsPerDay are for every 3,400 hosts.
	failuresPerDay = 23.0
	restartsPerDay = 250.0
	fleetHosts     = 3400.0
	// mendTime, restartTime and rackTime are how long a failed host, a
	// restarted host and a lost rack stay down.
	mendTime    = 4 * time.Hour
	restartTime = 3 * time.Minute
	rackTime    = 2 * time.Hour
)

// run is one long run and what it measured.
type maintRun struct {
	w    *drive.World
	e    *drive.Entry
	rng  *rand.Rand
	hist *hdrhistogram.Histogram

	counts   map[string]drive.Pool
	steps    int
	planned  float64 // hosts out by plan, summed over steps
	out      float64
	peak     int // most hosts of a pool out at once
	peakPlan int
	peakAll  int // most hosts of the fleet out at once
	planAll  int // most hosts of the fleet out by plan at once
	over     int // pool-steps past the budget with a planned outage among them
	overFail int // pool-steps past the budget by failures alone
}

func maintenance(out io.Writer, seed uint64) error {
	for _, f := range drive.Fleets() {
		for _, b := range budgets(f) {
			f.Budget, f.Reserve = b[0], b[1]
			spread(out, f, seed)
			atOnce(out, f)
		}
		loseCentre(out, f, table.Draining)
		loseCentre(out, f, table.Rebooting)
	}
	return tickTime(out)
}

// budgets returns the pairs of budget and reserve that are tried.
func budgets(f drive.Fleet) [][2]int {
	if f.Layout.Hosts > 100 {
		return [][2]int{{4, 2}, {f.Budget, f.Reserve}}
	}
	return [][2]int{{1, 0}, {2, 0}, {f.Budget, f.Reserve}}
}

func newMaintRun(f drive.Fleet, seed uint64) *maintRun {
	r := &maintRun{
		w: f.World(), rng: rand.New(rand.NewPCG(seed, 1)),
		hist: hdrhistogram.New(1, int64(time.Second), 3), counts: map[string]drive.Pool{},
	}
	r.e = drive.NewEntry(r.w, "a")
	for range 20 {
		r.e.Tick()
		r.w.Advance(maintStep)
	}
	return r
}

func (r *maintRun) step() {
	r.e.Refresh()
	begin := time.Now()
	changes := r.e.Run()
	_ = r.hist.RecordValue(int64(time.Since(begin)))
	for _, c := range changes {
		_ = r.e.CarryOut(c)
	}
	r.w.Advance(maintStep)
	r.count()
}

func (r *maintRun) count() {
	r.w.CountPools(r.counts)
	r.steps++
	all, plan := 0, 0
	for _, spec := range r.w.Config.Pools {
		p := r.counts[spec.Name]
		all += p.Out
		plan += p.Planned
		r.planned += float64(p.Planned)
		r.out += float64(p.Out)
		r.peak, r.peakPlan = max(r.peak, p.Out), max(r.peakPlan, p.Planned)
		switch {
		case p.Failed > spec.Budget:
			r.overFail++
		case p.Out > spec.Budget:
			r.over++
		}
	}
	r.peakAll, r.planAll = max(r.peakAll, all), max(r.planAll, plan)
}

// hurt takes hosts down at the day's rates.
func (r *maintRun) hurt() {
	part := float64(len(r.w.Machines)) / fleetHosts * maintStep.Hours() / 24
	r.hit(failuresPerDay*part, mendTime)
	r.hit(restartsPerDay*part, restartTime)
}

// hit takes a host down for a while with the given chance.
func (r *maintRun) hit(chance float64, d time.Duration) {
	if r.rng.Float64() >= chance {
		return
	}
	if m := r.w.Machines[r.rng.IntN(len(r.w.Machines))]; m.Up {
		r.w.TakeDown(m, d)
	}
}

// loseRack takes a rack down in which no host is out of service by plan, while
// a drain is under way elsewhere in the fleet.
func (r *maintRun) loseRack() bool {
	if r.planned == 0 {
		return false
	}
	rack := r.w.Machines[r.rng.IntN(len(r.w.Machines))].Rack
	for _, m := range r.w.Machines {
		if m.Rack == rack && m.Up {
			r.w.TakeDown(m, rackTime)
		}
	}
	return true
}

// spread measures the waves of a whole period with the letter's failures and
// one rack lost.
func spread(out io.Writer, f drive.Fleet, seed uint64) {
	r := newMaintRun(f, seed)
	placed := r.w.Now
	lost := false
	for r.w.Now.Sub(placed) < drive.Period {
		r.hurt()
		if !lost && r.w.Now.Sub(placed) > drive.Period/2 {
			lost = r.loseRack()
		}
		r.step()
	}
	late := 0
	for _, m := range r.w.Machines {
		if !r.w.Placement(m.Name).MaintainedAt.After(placed) {
			late++
		}
	}
	hosts := float64(len(r.w.Machines))
	line := func(format string, a ...any) {
		fmt.Fprintf(out, "%-8s budget %d-%d spread: ", f.Name, f.Budget, f.Reserve)
		fmt.Fprintf(out, format+"\n", a...)
	}
	line("hosts %d, not maintained in the period %d, reboots %d, store writes %d",
		len(r.w.Machines), late, r.w.Reboots(), r.w.Store.Writes())
	line("peak out of a pool %d, by plan %d; whole fleet at once %d, by plan %d", r.peak, r.peakPlan, r.peakAll, r.planAll)
	line("time past budget with a planned outage %s, by failures alone %s (pool-time); wrong reboots %d",
		time.Duration(r.over)*maintStep, time.Duration(r.overFail)*maintStep, len(r.w.Violations()))
	line("mean out by plan %.3f hosts (%.4f %%), all causes %.3f",
		r.planned/float64(r.steps), 100*r.planned/float64(r.steps)/hosts, r.out/float64(r.steps))
	line("tick p50 %s, p99 %s, max %s",
		time.Duration(r.hist.ValueAtQuantile(50)), time.Duration(r.hist.ValueAtQuantile(99)), time.Duration(r.hist.Max()))
}

// atOnce measures a wave over the whole fleet as fast as the budget allows.
func atOnce(out io.Writer, f drive.Fleet) {
	r := newMaintRun(f, 1)
	for i := range r.w.Config.Pools {
		r.w.Config.Pools[i].Period = table.Duration(time.Minute)
	}
	r.w.Config.Rev++
	begin := r.w.Now
	left := len(r.w.Machines)
	for left > 0 && r.w.Now.Sub(begin) < drive.Period {
		for range 10 {
			r.step()
		}
		left = 0
		for _, m := range r.w.Machines {
			if !r.w.Placement(m.Name).MaintainedAt.After(begin) {
				left++
			}
		}
	}
	fmt.Fprintf(out, "%-8s budget %d-%d at once: wave time %s, peak out by plan %d of a pool, whole fleet %d, mean %.2f hosts\n",
		f.Name, f.Budget, f.Reserve, r.w.Now.Sub(begin), r.peakPlan, r.planAll, r.planned/float64(r.steps))
}

// loseCentre takes a data centre down for two hours when a wave at full budget
// has come to the phase, with drains that take three minutes, and measures what
// the plan adds to the failures.
func loseCentre(out io.Writer, f drive.Fleet, phase table.Phase) {
	r := newMaintRun(f, 1)
	for i := range r.w.Config.Pools {
		r.w.Config.Pools[i].Period = table.Duration(time.Minute)
	}
	r.w.Config.Rev++
	for _, m := range r.w.Machines {
		m.DrainTime = 3 * time.Minute
	}
	for range 30 {
		r.step()
	}
	for r.in(phase) > 0 {
		r.step()
	}
	for r.in(phase) == 0 { // some have just come to it
		r.step()
	}
	running, recalls := r.in(phase), r.e.CountByKind[table.CancelPermit]
	for _, m := range r.w.Machines {
		if m.DC == "dc1" && m.Up {
			r.w.TakeDown(m, rackTime)
		}
	}
	grown := 0 // pools that lost a host more to the plan while past the budget
	before := map[string]drive.Pool{}
	for range int(rackTime / maintStep) {
		maps.Copy(before, r.counts)
		r.step()
		for name, p := range r.counts {
			if was := before[name]; was.Out >= f.Budget && p.Planned > was.Planned {
				grown++
			}
		}
	}
	fmt.Fprintf(out, "%-8s data centre lost, hosts %s: peak out of a pool %d, budget %d; past budget with a planned outage %s, by failures alone %s (pool-time); in that phase %d, called off %d, planned outages added at or past the budget %d, wrong reboots %d\n",
		f.Name, phase, r.peak, f.Budget, time.Duration(r.over)*maintStep, time.Duration(r.overFail)*maintStep,
		running, r.e.CountByKind[table.CancelPermit]-recalls, grown, len(r.w.Violations()))
}

// in returns the number of hosts that the entry knows to be in a phase.
func (r *maintRun) in(phase table.Phase) int {
	n := 0
	for id := range table.HostID(r.e.Tables.Hosts()) {
		if r.e.Tables.Host(id).Phase() == phase {
			n++
		}
	}
	return n
}

// tickTime measures ticks in which nothing is due, and their allocations.
func tickTime(out io.Writer) error {
	const ticks = 2000
	fleets := drive.Fleets()
	r := newMaintRun(fleets[len(fleets)-1], 1)
	h := hdrhistogram.New(1, int64(time.Second), 3)
	r.e.Refresh()
	r.e.Run()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range ticks {
		begin := time.Now()
		r.e.Run()
		if err := h.RecordValue(int64(time.Since(begin))); err != nil {
			return err
		}
	}
	runtime.ReadMemStats(&after)
	fmt.Fprintf(out, "tick of maint, moves and eject together, 3,400 hosts, nothing due: p50 %s, p99 %s, allocations a tick %.3f\n",
		time.Duration(h.ValueAtQuantile(50)), time.Duration(h.ValueAtQuantile(99)),
		float64(after.Mallocs-before.Mallocs)/ticks)
	return nil
}
