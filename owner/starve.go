package owner

import (
	"maps"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// starvation finds subtasks and gangs that wait while smaller ones take each part of the room, or of
// the quota of their workspace, as soon as it becomes free. It is nil in pools of configurations
// without workspaces.
//
// Only the first in line counts as passed over: those behind it wait for their turn. So at most one
// job of each line comes to its bound at a time, and an overloaded pool goes on serving its jobs in
// their order.
type starvation struct {
	// waits has what was first in line while smaller subtasks were started.
	waits map[lineHead]*roomWait
	// turns has the jobs that have waited for longer than their bounds, at most one of each
	// workspace, until they have had their turn in this pass.
	turns map[*job]*roomWait
	// hosts has the first in line for room in this pass, and tried how many were compared with the
	// workers for that. quotas has the first in line for the quota of each workspace.
	hosts  map[line]lineHead
	tried  map[line]int
	quotas map[line]lineHead
	// started has what was started in this pass by rank, and startedIn by rank and workspace.
	started   map[int]*pack.Smallest
	startedIn map[rankOf]*pack.Smallest
	// kept tells that room on workers is kept in this pass. That is done for one job at a time, as
	// what is kept is idle until it suffices.
	kept bool
}

type rankOf struct {
	rank      int
	workspace string
}

// line is what waits for room, or for the quota of a workspace, in the same class of the order: jobs
// of one class may wait for those of a better one without end, as long as these come faster than
// they can be served.
type line struct {
	rankOf
	excess bool
	class  int
}

// maxLineTries limits how many subtasks that no worker could ever take are passed over in a scheduling
// pass to find the first in a line.
const maxLineTries = 8

// lineHead is a step whose subtasks wait.
type lineHead struct {
	job  *job
	step runs.Step
}

// roomWait is the wait of a step's subtasks for room or quota.
type roomWait struct {
	step   runs.Step
	demand hosts.Resources // of the next subtask, or of a gang as a whole
	quota  bool            // it waits for the quota of its workspace
	// passed is for how long smaller subtasks were started while this was the first in line, until
	// passedAt; that is zero while it isn't.
	passed   time.Duration
	passedAt time.Time
	// overSince is since when the next room is kept, as passed has come to the bound; zero while it
	// isn't. That lasts for turn at most, and not before restUntil.
	overSince, restUntil time.Time
	turn                 time.Duration
}

// The next room is kept for firstTurn, the next time for twice that, and so on, with restFactor times as
// long between. It may never become free: long-running subtasks may have too much of a quota, also
// in other pools. What waits behind must not wait without end instead.
const (
	firstTurn  = 10 * time.Second
	restFactor = 4
)

// beginStarve begins a pass, and gives the next turns to the jobs that have waited for longer than
// their bounds: the one of each workspace that has waited longest.
func (o *Owner) beginStarve(list []pack.WaitingJob, now time.Time) {
	if o.shares == nil {
		o.starve = nil
		return
	}
	if o.starve == nil {
		o.starve = &starvation{waits: map[lineHead]*roomWait{}}
	}
	s := o.starve
	s.turns, s.kept = map[*job]*roomWait{}, false
	s.hosts, s.quotas, s.tried = map[line]lineHead{}, map[line]lineHead{}, map[line]int{}
	s.started, s.startedIn = map[int]*pack.Smallest{}, map[rankOf]*pack.Smallest{}
	byJob := map[*job][]lineHead{}
	for h := range s.waits {
		byJob[h.job] = append(byJob[h.job], h)
	}
	known, next := map[*job]bool{}, map[string]lineHead{}
	for i := range list {
		w := &list[i]
		j := o.openJobs[w.Index]
		j.class = pack.Class(w, now)
		for _, h := range byJob[j] {
			known[j] = true
			wait := s.waits[h]
			if !o.isOver(wait, w, now) {
				continue
			}
			space := j.progress.Job.Workspace
			if other, ok := next[space]; !ok || wait.overSince.Before(s.waits[other].overSince) {
				next[space] = h
			}
		}
	}
	maps.DeleteFunc(s.waits, func(h lineHead, _ *roomWait) bool { return !known[h.job] })
	for _, h := range next {
		s.turns[h.job] = s.waits[h]
	}
	for i := range list {
		if wait := s.turns[o.openJobs[list[i].Index]]; wait != nil {
			list[i].StarvesSince = wait.overSince
		}
	}
}

// isOver reports whether a wait has come to its bound, and doesn't rest.
func (o *Owner) isOver(wait *roomWait, w *pack.WaitingJob, now time.Time) bool {
	if !wait.overSince.IsZero() && now.Sub(wait.overSince) >= wait.turn {
		wait.overSince, wait.restUntil = time.Time{}, now.Add(restFactor*wait.turn)
		wait.turn *= 2
	}
	if wait.overSince.IsZero() && !now.Before(wait.restUntil) && wait.passed >= pack.WaitBound(w, now) {
		j := o.openJobs[w.Index]
		wait.overSince, wait.turn = now, max(wait.turn, firstTurn)
		o.Stats.Starving.Inc(1)
		o.Log.Info().Str("pool", o.Pool).Str("workspace", j.progress.Job.Workspace).Str("job", j.id()).Str("step", wait.step.String()).Bool("quota", wait.quota).
			Int("cpu", wait.demand.CPU).Int("mem", wait.demand.Mem).Int("gpu", wait.demand.GPU).Dur("passed", wait.passed).
			Msg("smaller subtasks were started for too long; keeping the next room")
	}
	return !wait.overSince.IsZero()
}

// turnOf returns the wait of a subtask, or of its gang, that gets the next room; nil if it does not.
func (o *Owner) turnOf(j *job, t *steps.Task) *roomWait {
	if o.starve == nil {
		return nil
	}
	if w := o.starve.turns[j]; w != nil && w.step == t.ID.ParentStep() {
		return w
	}
	return nil
}

// noteNoRoom notes that subtasks which start together find no room on workers. If the next room is
// theirs, it is kept, and with it the quota.
func (o *Owner) noteNoRoom(j *job, first *steps.Task, cands []pack.Worker, candHosts []*host, demands ...*pack.Demand) {
	if o.starve == nil {
		return
	}
	count := func(i int) int { return candHosts[i].runsOfStep(first) }
	if w := o.turnOf(j, first); w != nil {
		delete(o.starve.turns, j)
		if !o.starve.kept && pack.Keep(demands, cands, count) {
			o.starve.kept = true
			o.keepQuota(j, sumOf(demands), len(demands) > 1, w)
		}
		return
	}
	l := roomLine(j)
	if !o.starve.seeksHead(l) {
		return
	}
	o.starve.tried[l]++
	if pack.CanKeep(demands, cands, count) {
		o.starve.hosts[l] = o.headOf(j, first, sumOf(demands), false)
	}
}

// skipNoRoom notes that a subtask finds no room on workers, and returns how the pass goes on: fresh ones of
// its step find none either. If the next room is kept for this one, the one after it may be the first
// in line.
func (o *Owner) skipNoRoom(j *job, t *steps.Task, cands []pack.Worker, candHosts []*host, demand *pack.Demand) steps.Next {
	hadTurn := o.turnOf(j, t) != nil
	o.noteNoRoom(j, t, cands, candHosts, demand)
	if hadTurn {
		return steps.More
	}
	return steps.SkipFresh
}

// roomLine returns the line in which a job waits for room on workers.
func roomLine(j *job) line { return line{rankOf{rank: j.progress.Job.Rank}, j.excess, j.class} }

// seeksHead reports whether the first of a line for room is not known yet in this pass, and may be found.
func (s *starvation) seeksHead(l line) bool {
	_, known := s.hosts[l]
	return !known && s.tried[l] < maxLineTries
}

// waitsFor reports whether a job is first in line while smaller subtasks are started, or has its turn. One
// whose turn was in vain counts only in the next one: it may never start.
func (s *starvation) waitsFor(j *job) bool {
	if s == nil {
		return false
	}
	for h, w := range s.waits {
		if h.job == j && (!w.overSince.IsZero() || !w.passedAt.IsZero() && w.restUntil.IsZero()) {
			return true
		}
	}
	return false
}

// noteNoQuota notes that subtasks which start together need more of the quota of their workspace
// than is left. It reports whether the next room is theirs, and is kept.
func (o *Owner) noteNoQuota(j *job, first *steps.Task, demand hosts.Resources, gang bool) bool {
	if o.starve == nil {
		return false
	}
	if w := o.turnOf(j, first); w != nil {
		delete(o.starve.turns, j)
		o.keepQuota(j, demand, gang, w)
		return true
	}
	l := line{rankOf{j.progress.Job.Rank, j.progress.Job.Workspace}, j.excess, j.class}
	if _, ok := o.starve.quotas[l]; !ok && o.quotas.ledger.Possible(l.workspace, demand, gang) {
		o.starve.quotas[l] = o.headOf(j, first, demand, true)
	}
	return false
}

// headOf returns a step as the first in line. Its wait, if there is one, is that of what it needs now.
func (o *Owner) headOf(j *job, t *steps.Task, demand hosts.Resources, quota bool) lineHead {
	h := lineHead{j, t.ID.ParentStep()}
	if w := o.starve.waits[h]; w != nil {
		w.demand, w.quota = demand, quota
		return h
	}
	o.starve.waits[h] = &roomWait{step: h.step, demand: demand, quota: quota}
	return h
}

// noteStart notes that a subtask is started. Further ones of its step wait anew.
func (o *Owner) noteStart(j *job, t *steps.Task) {
	s := o.starve
	if s == nil {
		return
	}
	h := lineHead{j, t.ID.ParentStep()}
	if w := s.waits[h]; w != nil && s.turns[j] == w {
		delete(s.turns, j)
	}
	delete(s.waits, h)
	d := &pack.Demand{Resources: resourcesOf(t.Step), Fills: t.Step.Fills}
	rank := rankOf{j.progress.Job.Rank, j.progress.Job.Workspace}
	if s.started[rank.rank] == nil {
		s.started[rank.rank] = &pack.Smallest{}
	}
	if s.startedIn[rank] == nil {
		s.startedIn[rank] = &pack.Smallest{}
	}
	s.started[rank.rank].Add(d)
	s.startedIn[rank].Add(d)
}

// endStarve ends a pass: it adds to the waits of the first in line.
func (o *Owner) endStarve(now time.Time) {
	s := o.starve
	if s == nil {
		return
	}
	first := map[lineHead]bool{}
	for l, h := range s.hosts {
		if w := s.waits[h]; w != nil {
			first[h] = true
			w.pass(s.started[l.rank].Below(w.demand), now)
		}
	}
	for l, h := range s.quotas {
		if w := s.waits[h]; w != nil && !first[h] {
			first[h] = true
			// What becomes free may go to other pools.
			w.pass(s.startedIn[l.rankOf].Below(w.demand) || o.quotas.ledger.ExceedsPart(l.workspace, w.demand), now)
		}
	}
	maps.DeleteFunc(s.waits, func(h lineHead, w *roomWait) bool {
		if !first[h] {
			w.passedAt = time.Time{}
		}
		return w.passed == 0 && w.passedAt.IsZero()
	})
}

// pass adds the time since the last pass to the wait of the first in line, if smaller subtasks have
// been started since it became that.
func (w *roomWait) pass(smaller bool, now time.Time) {
	switch {
	case !w.passedAt.IsZero():
		w.passed += now.Sub(w.passedAt)
	case !smaller:
		return
	}
	w.passedAt = now
}

// keepQuota keeps the quota of a job's workspace for a start that has waited for longer than its
// bound.
func (o *Owner) keepQuota(j *job, demand hosts.Resources, gang bool, w *roomWait) {
	if space := j.progress.Job.Workspace; space != "" && o.quotas.ledger.Active() {
		o.quotas.ledger.WantFirst(space, demand, gang, w.overSince)
	}
}

// sumOf returns what subtasks that start together need.
func sumOf(demands []*pack.Demand) hosts.Resources {
	var sum hosts.Resources
	for _, d := range demands {
		sum = plus(sum, d.Resources)
	}
	return sum
}
