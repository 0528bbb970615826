package owner

import (
	"slices"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
	"shallotpaddle/steps"
)

// scheduleGangs starts each gang of a job whose members are all ready and fit at
// once.
func (o *Owner) scheduleGangs(j *job, ready []*steps.Task, cands []pack.Worker, candHosts []*host, now time.Time) {
	for len(ready) > 0 {
		peers := ready[0].Step.Count
		if len(ready) < peers || ready[peers-1].ID.ParentStep() != ready[0].ID.ParentStep() {
			ready = skipStep(ready)
			continue
		}
		o.startGang(j, ready[:peers], cands, candHosts, now)
		ready = ready[peers:]
	}
}

// skipStep drops the subtasks of the first step: not all members of its gang are
// ready.
func skipStep(ready []*steps.Task) []*steps.Task {
	first := ready[0].ID
	for len(ready) > 0 && ready[0].ID.Step == first.Step && ready[0].ID.Occur == first.Occur {
		ready = ready[1:]
	}
	return ready
}

func (o *Owner) startGang(j *job, members []*steps.Task, cands []pack.Worker, candHosts []*host, now time.Time) {
	demands := make([]*pack.Demand, len(members))
	run := 0
	for i, t := range members {
		demands[i] = o.advisedDemandOf(t, now)
		run = max(run, o.nextRun(j, t))
	}
	first := members[0]
	places := pack.Gang(demands, cands, first.Step.OneRack, func(k int) int { return candHosts[k].runsOfStep(first) })
	if places == nil {
		o.noteNoRoom(j, first, cands, candHosts, demands...)
		return
	}
	if !o.takeQuota(j, first, now, demands...) || !o.mayOrderAll(places, candHosts, now) || o.announceGang(j, members, run) {
		return
	}
	for i, at := range places {
		o.startRun(candHosts[at], j, members[i], run, now)
	}
}

// mayOrderAll reports whether starts may be sent to all workers on which a gang finds room.
func (o *Owner) mayOrderAll(places []int, candHosts []*host, now time.Time) bool {
	all := true
	for _, at := range places {
		all = o.mayOrder(candHosts[at], now) && all
	}
	return all
}

// announceGang announces a run of the members that may have crashed a worker, and reports
// whether the gang has to wait until that is stored.
func (o *Owner) announceGang(j *job, members []*steps.Task, run int) bool {
	wait := false
	for _, t := range members {
		wait = o.announce(j, t, run, false) || wait
	}
	return wait
}

// gangMayFit reports whether what is free on all workers together is enough for a gang. A gang that
// is too large for its pool waits without a state for each member.
func gangMayFit(s *steps.Step, cands []pack.Worker) bool {
	var free hosts.Resources
	for i := range cands {
		f := cands[i].Free
		free = plus(free, hosts.Resources{CPU: max(f.CPU, 0), Mem: max(f.Mem, 0), GPU: max(f.GPU, 0)})
	}
	need := reserved(s)
	return need.CPU*s.Count <= free.CPU && need.Mem*s.Count <= free.Mem && need.GPU*s.Count <= free.GPU
}

// isWaitingGang reports whether a member is the first of a gang whose others are all fresh.
func isWaitingGang(t *steps.Task) bool {
	return t.ID.Index == 0 && t.FreshSiblings() == t.Step.Count-1
}

// noteNoGang does the same as noteNoRoom for a gang for which not enough is free on all workers
// together, given the first of its members, all of which need the same.
func (o *Owner) noteNoGang(j *job, first *steps.Task, cands []pack.Worker, candHosts []*host, now time.Time) {
	if o.starve == nil || o.turnOf(j, first) == nil && !o.starve.seeksHead(roomLine(j)) {
		return
	}
	demands := slices.Repeat([]*pack.Demand{o.advisedDemandOf(first, now)}, first.Step.Count)
	o.noteNoRoom(j, first, cands, candHosts, demands...)
}
