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

func init() { experiments["maint"] = benchMaint }

const (
	// maintStep is the simulated time between ticks.
	maintStep = 30 * time.Second
	// failuresPerDay and restartsPerDay are the rates of a fleet of fleetHosts hosts.
	failuresPerDay = 23.0
	restartsPerDay = 250.0
	fleetHosts     = 3400.0
	// repairTime, restartTime and outageTime are how long a failed host, a
	// restarted host, and a lost rack or data centre stay down.
	repairTime  = 4 * time.Hour
	restartTime = 3 * time.Minute
	outageTime  = 2 * time.Hour
)

// maintRun is one simulated run and its measurements.
type maintRun struct {
	w         *drive.World
	e         *drive.Entry
	rng       *rand.Rand
	tickNanos *hdrhistogram.Histogram

	counts           map[string]drive.Pool
	steps            int
	planned          float64 // planned outages, summed over hosts and steps
	out              float64
	peak             int // most hosts of one pool out at once
	peakPlanned      int
	peakFleet        int // most hosts of the fleet out at once
	peakFleetPlanned int // most planned outages of the fleet at once
	over             int // pool-steps over the budget with a planned outage among those out
	overByFailures   int // pool-steps over the budget by failures alone
}

func benchMaint(out io.Writer, seed uint64) error {
	for _, f := range drive.Fleets() {
		for _, b := range budgets(f) {
			f.Budget, f.Reserve = b[0], b[1]
			benchSpreadWave(out, f, seed)
			benchFastWave(out, f)
		}
		benchLostDC(out, f, table.Draining)
		benchLostDC(out, f, table.Rebooting)
	}
	return benchIdleTick(out)
}

// budgets returns the pairs of budget and reserve to measure.
func budgets(f drive.Fleet) [][2]int {
	if f.Layout.Hosts > 100 {
		return [][2]int{{4, 2}, {f.Budget, f.Reserve}}
	}
	return [][2]int{{1, 0}, {2, 0}, {f.Budget, f.Reserve}}
}

func newMaintRun(f drive.Fleet, seed uint64) *maintRun {
	r := &maintRun{
		w: f.World(), rng: rand.New(rand.NewPCG(seed, 1)),
		tickNanos: hdrhistogram.New(1, int64(time.Second), 3), counts: map[string]drive.Pool{},
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
	_ = r.tickNanos.RecordValue(int64(time.Since(begin)))
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
		r.peak, r.peakPlanned = max(r.peak, p.Out), max(r.peakPlanned, p.Planned)
		switch {
		case p.Failed > spec.Budget:
			r.overByFailures++
		case p.Out > spec.Budget:
			r.over++
		}
	}
	r.peakFleet, r.peakFleetPlanned = max(r.peakFleet, all), max(r.peakFleetPlanned, plan)
}

// injectFailures takes hosts down at the daily rates of failures and restarts.
func (r *maintRun) injectFailures() {
	perStep := float64(len(r.w.Machines)) / fleetHosts * maintStep.Hours() / 24
	r.takeDownRandomHost(failuresPerDay*perStep, repairTime)
	r.takeDownRandomHost(restartsPerDay*perStep, restartTime)
}

// takeDownRandomHost takes a random host down for d with the given probability.
func (r *maintRun) takeDownRandomHost(probability float64, d time.Duration) {
	if r.rng.Float64() >= probability {
		return
	}
	if m := r.w.Machines[r.rng.IntN(len(r.w.Machines))]; m.Up {
		r.w.TakeDown(m, d)
	}
}

// loseRack takes a random rack down and returns true, or returns false if the run
// has had no planned outage yet.
func (r *maintRun) loseRack() bool {
	if r.planned == 0 {
		return false
	}
	rack := r.w.Machines[r.rng.IntN(len(r.w.Machines))].Rack
	for _, m := range r.w.Machines {
		if m.Rack == rack && m.Up {
			r.w.TakeDown(m, outageTime)
		}
	}
	return true
}

// benchSpreadWave measures a maintenance wave that is spread over a whole period,
// with failures and restarts at the daily rates and one lost rack.
func benchSpreadWave(out io.Writer, f drive.Fleet, seed uint64) {
	r := newMaintRun(f, seed)
	placed := r.w.Now
	lost := false
	for r.w.Now.Sub(placed) < drive.Period {
		r.injectFailures()
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
	line("peak out of a pool %d, by plan %d; whole fleet at once %d, by plan %d", r.peak, r.peakPlanned, r.peakFleet, r.peakFleetPlanned)
	line("time past budget with a planned outage %s, by failures alone %s (pool-time); wrong reboots %d",
		time.Duration(r.over)*maintStep, time.Duration(r.overByFailures)*maintStep, len(r.w.Violations()))
	line("mean out by plan %.3f hosts (%.4f %%), all causes %.3f",
		r.planned/float64(r.steps), 100*r.planned/float64(r.steps)/hosts, r.out/float64(r.steps))
	line("tick p50 %s, p99 %s, max %s",
		time.Duration(r.tickNanos.ValueAtQuantile(50)), time.Duration(r.tickNanos.ValueAtQuantile(99)), time.Duration(r.tickNanos.Max()))
}

// benchFastWave measures a wave over the whole fleet as fast as the budget allows.
func benchFastWave(out io.Writer, f drive.Fleet) {
	r := newMaintRun(f, 1)
	for i := range r.w.Config.Pools {
		r.w.Config.Pools[i].Period = table.Duration(time.Minute)
	}
	r.w.Config.Rev++
	begin := r.w.Now
	remaining := len(r.w.Machines)
	for remaining > 0 && r.w.Now.Sub(begin) < drive.Period {
		for range 10 {
			r.step()
		}
		remaining = 0
		for _, m := range r.w.Machines {
			if !r.w.Placement(m.Name).MaintainedAt.After(begin) {
				remaining++
			}
		}
	}
	fmt.Fprintf(out, "%-8s budget %d-%d at once: wave time %s, peak out by plan %d of a pool, whole fleet %d, mean %.2f hosts\n",
		f.Name, f.Budget, f.Reserve, r.w.Now.Sub(begin), r.peakPlanned, r.peakFleetPlanned, r.planned/float64(r.steps))
}

// benchLostDC takes a data centre down while a wave at full budget has hosts in the
// given phase, with drains of three minutes, and measures the planned outages that
// are added to the failures.
func benchLostDC(out io.Writer, f drive.Fleet, phase table.Phase) {
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
	for r.hostsInPhase(phase) > 0 {
		r.step()
	}
	for r.hostsInPhase(phase) == 0 { // until the first hosts enter it
		r.step()
	}
	inPhase, cancelled := r.hostsInPhase(phase), r.e.CountByKind[table.CancelPermit]
	for _, m := range r.w.Machines {
		if m.DC == "dc1" && m.Up {
			r.w.TakeDown(m, outageTime)
		}
	}
	added := 0 // steps in which a pool at or over its budget got another planned outage
	before := map[string]drive.Pool{}
	for range int(outageTime / maintStep) {
		maps.Copy(before, r.counts)
		r.step()
		for name, p := range r.counts {
			if was := before[name]; was.Out >= f.Budget && p.Planned > was.Planned {
				added++
			}
		}
	}
	fmt.Fprintf(out, "%-8s data centre lost, hosts %s: peak out of a pool %d, budget %d; past budget with a planned outage %s, by failures alone %s (pool-time); in that phase %d, called off %d, planned outages added at or past the budget %d, wrong reboots %d\n",
		f.Name, phase, r.peak, f.Budget, time.Duration(r.over)*maintStep, time.Duration(r.overByFailures)*maintStep,
		inPhase, r.e.CountByKind[table.CancelPermit]-cancelled, added, len(r.w.Violations()))
}

// hostsInPhase returns the number of hosts in a phase by the entry's tables.
func (r *maintRun) hostsInPhase(phase table.Phase) int {
	n := 0
	for id := range table.HostID(r.e.Tables.Hosts()) {
		if r.e.Tables.Host(id).Phase() == phase {
			n++
		}
	}
	return n
}

// benchIdleTick measures the time and allocations of ticks with no maintenance due.
func benchIdleTick(out io.Writer) error {
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
