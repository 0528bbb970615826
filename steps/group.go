package steps

import (
	"math"
	"time"

	"shallotpaddle/runs"
)

// pageSize is the number of subtasks of a page.
const pageSize = 64

// group has the subtasks of a step in one occurrence. A subtask that nobody has begun, and of
// which nothing else is known, is fresh and has no state of its own: the largest legal job has
// 65,536 subtasks of 320 bytes each. One that is done, and of which only its run is known,
// is a bit of its page.
type group struct {
	first page
	// more has the pages after the first; nil for those of which all subtasks are fresh.
	more []*page
	// begun is the number of subtasks that are not fresh.
	begun int
	// unfinished is the number of subtasks that are not done.
	unfinished int
	// void is the HighestVoidRun of the fresh subtasks, and lost tells that RecordLoss was called
	// for them.
	void int
	lost bool
}

// page has the subtasks of a group at pageSize indexes.
type page struct {
	// tasks has the subtasks with a state of their own, nil for others; it is nil if there is none.
	tasks []*Task
	// done has a bit for each subtask that is done and has no state of its own.
	done uint64
	// end is the end of all subtasks in done while ends is nil, else ends has that of each.
	end  end
	ends []end
}

// end is what is kept of a subtask that is done.
type end struct{ run, void int32 }

// endOf returns what is kept of a subtask once it is done; false if that isn't all that is known
// of it.
func endOf(t *Task) (end, bool) {
	only := t.Phase == Finished && len(t.FailedRuns) == 0 && t.Checkpoint == "" && len(t.Crashes) == 0 && len(t.Doubts) == 0 && t.LateUntil.IsZero()
	fits := min(t.Run, t.HighestVoidRun) >= 0 && max(t.Run, t.HighestVoidRun) <= math.MaxInt32
	if !only || !fits {
		return end{}, false
	}
	return end{int32(t.Run), int32(t.HighestVoidRun)}, true
}

// page returns the page of a subtask, nil if all of its subtasks are fresh.
func (g *group) page(index int) *page {
	at := index/pageSize - 1
	switch {
	case at < 0:
		return &g.first
	case at < len(g.more):
		return g.more[at]
	default:
		return nil
	}
}

// makePage returns the page of a subtask, which it creates if necessary.
func (g *group) makePage(index, count int) *page {
	if pg := g.page(index); pg != nil {
		return pg
	}
	if g.more == nil {
		g.more = make([]*page, (count-1)/pageSize)
	}
	pg := &page{}
	g.more[index/pageSize-1] = pg
	return pg
}

// task returns the state of a subtask, or nil if it has none of its own.
func (g *group) task(index int) *Task {
	if pg := g.page(index); pg != nil && pg.tasks != nil {
		return pg.tasks[index%pageSize]
	}
	return nil
}

// isDone reports whether a subtask is done and has no state of its own.
func (g *group) isDone(index int) bool {
	pg := g.page(index)
	return pg != nil && pg.done&(1<<(index%pageSize)) != 0
}

// fresh returns the number of fresh subtasks.
func (g *group) fresh(count int) int { return count - g.begun }

// put gives a subtask a state of its own.
func (g *group) put(t *Task) {
	at, count := t.ID.Index, t.Step.Count
	pg := g.makePage(at, count)
	switch bit := uint64(1) << (at % pageSize); {
	case pg.done&bit != 0:
		pg.done &^= bit
	case pg.tasks == nil || pg.tasks[at%pageSize] == nil:
		g.begun++
	}
	if pg.tasks == nil {
		pg.tasks = make([]*Task, min(count-at/pageSize*pageSize, pageSize))
	}
	pg.tasks[at%pageSize] = t
}

// putDone keeps nothing but the end of a subtask that is done.
func (g *group) putDone(index, count int, e end) {
	pg, at := g.makePage(index, count), index%pageSize
	bit := uint64(1) << at
	if pg.done&bit == 0 && g.task(index) == nil {
		g.begun++
	}
	if pg.tasks != nil {
		pg.tasks[at] = nil
		pg.dropEmpty()
	}
	if pg.done == 0 {
		pg.end, pg.ends = e, nil
	}
	if pg.ends == nil && e != pg.end {
		pg.ends = make([]end, min(count-index/pageSize*pageSize, pageSize))
		for i := range pg.ends {
			pg.ends[i] = pg.end
		}
	}
	if pg.ends != nil {
		pg.ends[at] = e
	}
	pg.done |= bit
}

// dropEmpty frees the room for states if there is none.
func (pg *page) dropEmpty() {
	for _, t := range pg.tasks {
		if t != nil {
			return
		}
	}
	pg.tasks = nil
}

// endAt returns the end of a subtask in done.
func (pg *page) endAt(at int) end {
	if pg.ends != nil {
		return pg.ends[at]
	}
	return pg.end
}

// each calls f for each subtask that has a state of its own, in order. It ends when f returns
// false, and reports whether that was not so.
func (g *group) each(f func(*Task) bool) bool {
	if !g.first.each(f) {
		return false
	}
	for _, pg := range g.more {
		if pg != nil && !pg.each(f) {
			return false
		}
	}
	return true
}

func (pg *page) each(f func(*Task) bool) bool {
	for _, t := range pg.tasks {
		if t != nil && !f(t) {
			return false
		}
	}
	return true
}

// countWaiting returns the number of subtasks that wait.
func (g *group) countWaiting(count int) int {
	n := g.fresh(count)
	g.each(func(t *Task) bool {
		if t.Phase == Waiting {
			n++
		}
		return true
	})
	return n
}

// waits reports whether a subtask waits.
func (g *group) waits(count int) bool {
	return g.fresh(count) > 0 || !g.each(func(t *Task) bool { return t.Phase != Waiting })
}

// occurrence is one execution of all steps.
type occurrence struct {
	groups    []group // by step
	openSteps int     // number of steps that are not done
	// shared tells that the occurrence is done and stands for others with the same ends.
	shared bool
}

func newOccurrence(j *Job) *occurrence {
	o := &occurrence{groups: make([]group, len(j.Steps)), openSteps: len(j.Steps)}
	for s := range o.groups {
		o.groups[s].unfinished = j.Steps[s].Count
	}
	return o
}

// endOfAll returns the end of all subtasks of an occurrence that is done; false if they differ, or if
// any has a state of its own.
func (o *occurrence) endOfAll(j *Job) (end, bool) {
	if o.openSteps > 0 {
		return end{}, false
	}
	all := o.groups[0].first.end
	for s := range o.groups {
		g := &o.groups[s]
		for i := 0; i < j.Steps[s].Count; i += pageSize {
			if pg := g.page(i); pg == nil || pg.tasks != nil || pg.ends != nil || pg.end != all {
				return end{}, false
			}
		}
	}
	return all, true
}

// find returns an occurrence, or nil if all its subtasks are fresh.
func (p *Progress) find(k int) *occurrence {
	if k < len(p.occurrences) {
		return p.occurrences[k]
	}
	return nil
}

// group returns the subtasks of a step in an occurrence, or nil if all are fresh.
func (p *Progress) group(id runs.Task) *group {
	if o := p.find(id.Occur); o != nil {
		return &o.groups[id.Step]
	}
	return nil
}

// occurrence returns an occurrence whose state may be changed.
func (p *Progress) occurrence(k int) *occurrence {
	for len(p.occurrences) <= k {
		p.occurrences = append(p.occurrences, nil)
	}
	o := p.occurrences[k]
	if o != nil && !o.shared {
		return o
	}
	own := newOccurrence(p.Job)
	if o != nil {
		all := o.groups[0].first.end
		for s := range own.groups {
			for i := range p.Job.Steps[s].Count {
				own.groups[s].putDone(i, p.Job.Steps[s].Count, all)
			}
			own.groups[s].unfinished = 0
		}
		own.openSteps = 0
	}
	p.occurrences[k] = own
	return own
}

// share replaces an occurrence that is done by one that stands for all with the same ends: a job
// may have 65,536.
func (p *Progress) share(k int) {
	o := p.occurrences[k]
	if p.Job.Occurrences() == 1 {
		return
	}
	all, alike := o.endOfAll(p.Job)
	if !alike {
		return
	}
	if p.over == nil {
		p.over = map[end]*occurrence{}
	}
	if same := p.over[all]; same != nil {
		p.occurrences[k] = same
		return
	}
	o.shared = true
	p.over[all] = o
}

// reset makes t the fresh subtask with an ID; g is nil if all subtasks of its group are fresh.
func (p *Progress) reset(t *Task, id runs.Task, g *group) {
	*t = Task{ID: id, Step: &p.Job.Steps[id.Step], Progress: p}
	if g != nil {
		t.HighestVoidRun = g.void
	}
	if g != nil && g.lost {
		t.Crashes = []Crash{lostCrash}
	}
}

// isFresh reports whether nothing is known of a subtask that isn't known of all fresh ones of its
// group.
func (t *Task) isFresh(g *group) bool {
	void, lost := 0, false
	if g != nil {
		void, lost = g.void, g.lost
	}
	crashes := len(t.Crashes) == 0 && !lost || len(t.Crashes) == 1 && lost && t.Crashes[0] == lostCrash
	return t.Phase == Waiting && t.Run == 0 && t.HighestVoidRun == void && crashes && len(t.FailedRuns) == 0 && len(t.Doubts) == 0 &&
		t.Checkpoint == "" && t.WorkerID == "" && t.AvoidWorker == "" && !t.StoppedAsSlow && t.HeldUntil.IsZero() && t.LateUntil.IsZero() && t.RestartAt.IsZero()
}

// compact drops the state of a subtask that is done if only its end is known.
func (p *Progress) compact(t *Task) {
	e, ok := endOf(t)
	if !ok {
		return
	}
	if g := p.group(t.ID); g != nil && g.task(t.ID.Index) == t {
		g.putDone(t.ID.Index, t.Step.Count, e)
		p.share(t.ID.Occur)
	}
}

// EndLate clears LateUntil once it is over. A subtask that is done needs no state for it then.
func (t *Task) EndLate(now time.Time) {
	if now.Before(t.LateUntil) {
		return
	}
	t.LateUntil = time.Time{}
	t.Progress.compact(t)
}

// Release drops the state of a subtask that is done if only its end is known, after Task has made
// one.
func (t *Task) Release() { t.Progress.compact(t) }

// Void records the highest run whose completion doesn't count. For a fresh subtask it does so for
// all fresh ones of its step and occurrence: those that an owner finds waiting have it in common.
func (t *Task) Void(run int) {
	if t == t.Progress.probe {
		t.Progress.occurrence(t.ID.Occur).groups[t.ID.Step].void = run
	}
	t.HighestVoidRun = run
}

// ReleaseFresh drops the states of those of a gang's members that Visit has shown and that were
// left as they were, if the gang is larger than a page: a pool may have many that wait.
func (p *Progress) ReleaseFresh(members []*Task) {
	for _, t := range members {
		g := p.group(t.ID)
		if t.Step.Count <= pageSize || g == nil || g.task(t.ID.Index) != t || !t.isFresh(g) {
			continue
		}
		pg := g.page(t.ID.Index)
		pg.tasks[t.ID.Index%pageSize] = nil
		pg.dropEmpty()
		g.begun--
	}
}

// Untouched reports whether nobody has begun any subtask of the job, and nothing else is known of any.
func (p *Progress) Untouched() bool {
	if p.Outcome != Open || p.Started {
		return false
	}
	for _, o := range p.occurrences {
		for s := range o.steps() {
			g := &o.groups[s]
			shown := 0
			fresh := g.each(func(t *Task) bool {
				shown++
				return t.isFresh(g)
			})
			if !fresh || shown < g.begun || g.void > 0 || g.lost {
				return false
			}
		}
	}
	return true
}

// steps returns the number of steps of an occurrence, 0 of nil.
func (o *occurrence) steps() int {
	if o == nil {
		return 0
	}
	return len(o.groups)
}
