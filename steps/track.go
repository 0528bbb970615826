package steps

import (
	"slices"
	"time"

	"shallotpaddle/runs"
)

// Phase is the phase of a subtask.
type Phase uint8

// Phases of a subtask.
const (
	Waiting  Phase = iota
	Starting       // the start was ordered, but the worker has not confirmed it
	Running
	Stopping // a stop was ordered, or the run's end has not been reported
	Finished // a run completed; never the phase of a long-running subtask
)

// Task is a subtask and what the owner of its pool knows of it.
type Task struct {
	ID       runs.Task
	Step     *Step
	Progress *Progress

	Phase Phase
	// Run is the highest run number that may have been used.
	Run int
	// FailedRuns has the failed runs, in the order in which their ends were read. Each
	// is listed once. Long-running subtasks, which may fail any number of times, and
	// members of a gang but the first have none.
	FailedRuns []int
	// Checkpoint is the newest checkpoint, empty if there is none. Of a gang, the first member
	// has it.
	Checkpoint string
	// checkpointRun and checkpointPercent are the run that saved it and its progress then.
	checkpointRun, checkpointPercent int
	// WorkerID is the worker that has the run, in the phases Starting, Running and
	// Stopping.
	WorkerID string
	// PhaseSince is when the phase began.
	PhaseSince time.Time
	// Percent and TailOrCPU are from the worker's last report, see runs.Running.
	Percent   int
	TailOrCPU float64
	// HeldUntil is the time before which the subtask must not start, as a run that
	// was ordered earlier may still start or be running; zero if there is none.
	HeldUntil time.Time
	// LateUntil is the time until which a copy of an earlier start may be carried out, by an
	// incarnation of a worker that has not refused it; zero if there is none. It doesn't hold the
	// subtask back.
	LateUntil time.Time
	// RestartAt is the time before which the subtask must not start, as workers crashed under
	// it; zero if there is none.
	RestartAt time.Time
	// StoppedAsSlow tells that a run was stopped because it made too little progress.
	StoppedAsSlow bool
	// AvoidWorker is the worker on which the subtask failed last.
	AvoidWorker string
	// HighestVoidRun is the highest run whose completion doesn't count: its worker
	// was given up before its end was read, and a later run may have started since.
	// 0 if there is none.
	HighestVoidRun int
	// Crashes has the runs under which a worker crashed, or was given up, without those
	// that a later run has outlasted, and the runs that are announced. Each is listed
	// once.
	Crashes []Crash
	// Doubts has the runs that may be at work, or may start, where nobody can ask. Each is listed
	// once.
	Doubts []Doubt
}

// Held tells whether the subtask must not start yet.
func (t *Task) Held(now time.Time) bool { return now.Before(t.HeldUntil) || now.Before(t.RestartAt) }

// Active tells whether resources of a worker are reserved for the subtask.
func (t *Task) Active() bool { return t.Phase == Starting || t.Phase == Running || t.Phase == Stopping }

// Serving tells whether a long-running subtask is in service.
func (t *Task) Serving() bool { return t.Phase == Running && t.Percent >= 100 }

// Outcome tells how a job ended.
type Outcome string

// Outcomes of a job. Open is that of a job that has not ended.
const (
	Open      Outcome = ""
	Completed Outcome = "completed"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
)

// Progress is the progress of a job. It is not safe for concurrent use.
//
// Subtasks that nobody has begun have no state of their own, see group.
type Progress struct {
	Job     *Job
	Outcome Outcome
	// Started tells whether a worker has ever confirmed a run.
	Started bool
	// occurrences has those of which a subtask is not fresh, nil for others, up to the last one.
	occurrences []*occurrence
	unfinished  int // occurrences that are not done
	// firstOpen is the number of occurrences that are done before the first that isn't.
	firstOpen int
	// over has an occurrence that is done, with the given end of all its subtasks.
	over map[end]*occurrence
	// probe stands for the fresh subtask that EachReady and Visit show.
	probe *Task
}

// NewProgress returns the progress of a job that has not started.
func NewProgress(j *Job) *Progress { return &Progress{Job: j, unfinished: j.Occurrences()} }

// Task returns a subtask, or nil if the job has none with that ID. The subtask has a state of its
// own from then on.
func (p *Progress) Task(id runs.Task) *Task {
	if min(id.Occur, id.Step, id.Index) < 0 || id.Occur >= p.Job.Occurrences() || id.Step >= len(p.Job.Steps) || id.Index >= p.Job.Steps[id.Step].Count {
		return nil
	}
	if g := p.group(id); g != nil {
		if t := g.task(id.Index); t != nil {
			return t
		}
	}
	g := &p.occurrence(id.Occur).groups[id.Step]
	t := &Task{}
	id.Job = p.Job.ID
	p.reset(t, id, g)
	if g.isDone(id.Index) {
		e := g.page(id.Index).endAt(id.Index % pageSize)
		t.Phase, t.Run, t.HighestVoidRun, t.Crashes = Finished, int(e.run), int(e.void), nil
	}
	g.put(t)
	return t
}

// EachSibling calls f for each subtask of the same step and occurrence that is not fresh and not
// done, including t. Fresh ones wait; FreshSiblings is their number.
func (t *Task) EachSibling(f func(*Task)) {
	if g := t.Progress.group(t.ID); g != nil {
		g.each(func(other *Task) bool {
			if other.Phase != Finished {
				f(other)
			}
			return true
		})
	}
}

// FreshSiblings returns the number of subtasks of the same step and occurrence that nobody has
// begun and of which nothing else is known.
func (t *Task) FreshSiblings() int {
	if g := t.Progress.group(t.ID); g != nil {
		return g.fresh(t.Step.Count)
	}
	return t.Step.Count
}

// Each calls f for every subtask that has a state of its own: all that were begun and are not
// done, and some that are done.
func (p *Progress) Each(f func(*Task)) {
	for _, o := range p.occurrences {
		if o == nil {
			continue
		}
		for s := range o.groups {
			o.groups[s].each(func(t *Task) bool {
				f(t)
				return true
			})
		}
	}
}

// Next tells Visit how to go on.
type Next uint8

// How Visit goes on.
const (
	More Next = iota
	// SkipFresh, for a fresh subtask, leaves out those of the same step and occurrence that come
	// later: all of them need the same. For any other it is the same as More.
	SkipFresh
	Stop
)

// EachReady calls f for each subtask that can start: it waits, its occurrence is
// due, and its dependencies are done. The order is by occurrence, step and index.
// It ends when f returns false. See Visit for what f may do.
func (p *Progress) EachReady(now time.Time, f func(*Task) bool) {
	p.Visit(now, func(t *Task) Next {
		if f(t) {
			return More
		}
		return Stop
	})
}

// Visit does the same as EachReady, for a function that tells how to go on. The function must not
// keep a subtask that it leaves as it was: if it is fresh, the same object stands for the next one as
// well. Members of gangs may be kept if f doesn't return SkipFresh.
func (p *Progress) Visit(now time.Time, f func(*Task) Next) {
	p.eachReadyGroup(now, func(k, s int) bool { return p.visit(k, s, f) })
}

// eachReadyGroup calls f for the steps, by occurrence, of which subtasks can start. It ends when f
// returns false.
func (p *Progress) eachReadyGroup(now time.Time, f func(k, s int) bool) {
	if p.Outcome != Open {
		return
	}
	for k := p.firstOpen; k < p.Job.Occurrences(); k++ {
		if now.Before(p.Job.Due(k)) {
			return
		}
		o := p.find(k)
		if o != nil && o.openSteps == 0 {
			if k == p.firstOpen {
				p.firstOpen++
			}
			continue
		}
		for s := range p.Job.Steps {
			if o != nil && o.groups[s].unfinished == 0 || !p.dependenciesDone(o, s) {
				continue
			}
			if !f(k, s) {
				return
			}
			o = p.find(k) // f may have created it
		}
	}
}

// visit calls f for the waiting subtasks of a step in an occurrence, and reports whether f did not
// stop it.
func (p *Progress) visit(k, s int, f func(*Task) Next) bool {
	step, skip := &p.Job.Steps[s], false
	for i := 0; i < step.Count; i++ {
		var g *group
		if o := p.find(k); o != nil { // f may have created it
			g = &o.groups[s]
		}
		if skip || g != nil && g.fresh(step.Count) == 0 {
			return g == nil || g.eachFrom(i, f)
		}
		var t *Task
		if g != nil {
			if g.isDone(i) {
				continue
			}
			t = g.task(i)
		}
		next := More
		switch {
		case t != nil && t.Phase != Waiting:
			continue
		case t != nil:
			if next = f(t); next == SkipFresh && !t.isFresh(g) {
				next = More
			}
		default:
			next = p.visitFresh(runs.Task{Job: p.Job.ID, Occur: k, Step: s, Index: i}, f)
		}
		if next == Stop {
			return false
		}
		skip = next == SkipFresh
	}
	return true
}

// eachFrom calls f for each waiting subtask from an index on that has a state of its own, and
// reports whether f did not stop it.
func (g *group) eachFrom(index int, f func(*Task) Next) bool {
	return g.each(func(t *Task) bool { return t.ID.Index < index || t.Phase != Waiting || f(t) != Stop })
}

// visitFresh calls f for a fresh subtask, and gives it a state of its own if f has changed it.
func (p *Progress) visitFresh(id runs.Task, f func(*Task) Next) Next {
	if p.Job.Steps[id.Step].Gang {
		member := p.Task(id)
		next := f(member)
		if next == SkipFresh {
			p.ReleaseFresh([]*Task{member})
		}
		return next
	}
	if p.probe == nil {
		p.probe = &Task{}
	}
	t := p.probe
	p.reset(t, id, p.group(id))
	next := f(t)
	if !t.isFresh(p.group(id)) {
		p.occurrence(id.Occur).groups[id.Step].put(t)
		p.probe = nil
	}
	return next
}

// EachReadyStep calls f for each step, by occurrence, with the number of its subtasks that can
// start, if there are any. It ends when f returns false.
func (p *Progress) EachReadyStep(now time.Time, f func(s, n int) bool) {
	p.eachReadyGroup(now, func(k, s int) bool {
		n := p.Job.Steps[s].Count
		if o := p.find(k); o != nil {
			n = o.groups[s].countWaiting(n)
		}
		return n == 0 || f(s, n)
	})
}

// EachUpcoming calls f for the first waiting subtask of each step whose
// dependencies are done or under way. Ready tells whether they are done.
func (p *Progress) EachUpcoming(now time.Time, f func(task *Task, ready bool)) {
	for k := p.firstOpen; k < p.Job.Occurrences(); k++ {
		if p.Outcome != Open || now.Before(p.Job.Due(k)) {
			return
		}
		for s := range p.Job.Steps {
			o := p.find(k)
			if !p.dependenciesStarted(o, s) {
				continue
			}
			if first := p.firstWaiting(k, s); first != nil {
				f(first, p.dependenciesDone(o, s))
			}
		}
	}
}

// firstWaiting returns the first waiting subtask of a step, or nil.
func (p *Progress) firstWaiting(k, s int) *Task {
	id := runs.Task{Job: p.Job.ID, Occur: k, Step: s}
	g := p.group(id)
	for ; id.Index < p.Job.Steps[s].Count; id.Index++ {
		if g != nil && g.isDone(id.Index) {
			continue
		}
		if g == nil || g.task(id.Index) == nil || g.task(id.Index).Phase == Waiting {
			return p.Task(id)
		}
	}
	return nil
}

// dependenciesStarted tells whether no subtask of the steps before a step is waiting, in an
// occurrence that is nil if all its subtasks are fresh.
func (p *Progress) dependenciesStarted(o *occurrence, s int) bool {
	for _, a := range p.Job.Steps[s].After {
		if o == nil || o.groups[a].waits(p.Job.Steps[a].Count) {
			return false
		}
	}
	return true
}

// dependenciesDone tells whether all subtasks of the steps before a step are done, in an
// occurrence that is nil if all its subtasks are fresh.
func (p *Progress) dependenciesDone(o *occurrence, s int) bool {
	for _, a := range p.Job.Steps[s].After {
		if o == nil || o.groups[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// CountWaiting returns the number of waiting subtasks of a step, in the first occurrence and those
// that are due or were begun.
func (p *Progress) CountWaiting(step int, now time.Time) int {
	count, n := p.Job.Steps[step].Count, 0
	for k := p.firstOpen; k < p.Job.Occurrences(); k++ {
		switch o := p.find(k); {
		case o != nil:
			n += o.groups[step].countWaiting(count)
		case k == 0 || !now.Before(p.Job.Due(k)):
			n += count
		case k >= len(p.occurrences):
			return n
		}
	}
	return n
}

// NextDue returns the due time of the next occurrence after now, or the zero time
// if there is none.
func (p *Progress) NextDue(now time.Time) time.Time {
	k := 0
	if p.Job.Repetitions > 0 && !now.Before(p.Job.Due(0)) {
		if p.Job.IntervalMs <= 0 {
			return time.Time{} // all are due at once
		}
		k = int((now.UnixMilli()-p.Job.FirstMs)/p.Job.IntervalMs) + 1
	}
	if due := p.Job.Due(k); k < p.Job.Occurrences() && due.After(now) {
		return due
	}
	return time.Time{}
}

// RecordEnd records the end of a subtask's run and tells whether the job has ended.
// The end of a run before the latest one is counted, but the subtask doesn't return
// to Waiting. An empty checkpoint leaves the earlier one.
func (p *Progress) RecordEnd(task *Task, run int, outcome runs.Outcome, checkpoint string) bool {
	defer p.compact(task)
	if task.Phase == Finished {
		return false
	}
	task.SaveCheckpoint(run, finalPercent, checkpoint)
	switch {
	case outcome == runs.Done && !task.Step.LongRunning:
		task.Crashes = nil
		p.finish(task)
	case outcome == runs.Failed:
		p.recordFailure(task, run)
	}
	if task.Run == run && task.Phase != Finished {
		task.Phase, task.WorkerID = Waiting, ""
	}
	return p.Outcome != Open
}

// finish records that a subtask is done: the members of a gang complete together.
func (p *Progress) finish(task *Task) {
	o := p.occurrence(task.ID.Occur)
	g, count := &o.groups[task.ID.Step], task.Step.Count
	if task.Step.Gang {
		for i := range count {
			switch t := g.task(i); {
			case t != nil:
				g.finish(t)
			case !g.isDone(i):
				g.putDone(i, count, end{void: int32(g.void)})
				g.unfinished--
			}
		}
	} else {
		g.finish(task)
	}
	if g.unfinished > 0 {
		return
	}
	if o.openSteps--; o.openSteps > 0 {
		return
	}
	if p.unfinished--; p.unfinished == 0 && p.Outcome == Open {
		p.Outcome = Completed
	}
}

func (g *group) finish(t *Task) {
	if t.Phase != Finished {
		t.Phase, t.Checkpoint = Finished, ""
		g.unfinished--
	}
}

func (p *Progress) recordFailure(task *Task, run int) {
	if task.Step.LongRunning {
		return
	}
	task = task.failureCounter()
	if slices.Contains(task.FailedRuns, run) {
		return // an earlier owner may have recorded it without acknowledging it to the worker
	}
	task.FailedRuns = append(task.FailedRuns, run)
	if p.Job.MaxAttempts > 0 && len(task.FailedRuns) >= p.Job.MaxAttempts && p.Outcome == Open {
		p.Outcome = Failed
	}
}

// finalPercent is the progress of a checkpoint that was saved at the end of a run.
const finalPercent = 101

// SaveCheckpoint records a checkpoint of a run at a progress in percent, unless it is empty or
// older than the one that is known. A checkpoint of any member is valid for all of its gang.
func (t *Task) SaveCheckpoint(run, percent int, checkpoint string) {
	h := t.checkpointHolder()
	if checkpoint == "" || run < h.checkpointRun || run == h.checkpointRun && percent < h.checkpointPercent {
		return
	}
	h.Checkpoint, h.checkpointRun, h.checkpointPercent = checkpoint, run, percent
}

// StartCheckpoint returns the checkpoint from which the next run starts, empty if there is none.
// It is the same for all members of a gang.
func (t *Task) StartCheckpoint() string { return t.checkpointHolder().Checkpoint }

// checkpointHolder returns the subtask that has the checkpoints of t: the first member of its
// gang, or t itself.
func (t *Task) checkpointHolder() *Task {
	return t.firstOfGang()
}

// failureCounter returns the subtask at which failures of t are counted: the first
// member of its gang, or t itself.
func (t *Task) failureCounter() *Task {
	return t.firstOfGang()
}

// firstOfGang returns the first member of the gang of t, or t itself.
func (t *Task) firstOfGang() *Task {
	if !t.Step.Gang || t.ID.Index == 0 {
		return t
	}
	id := t.ID
	id.Index = 0
	return t.Progress.Task(id)
}

// ExceedsAttempts tells whether a later run may have started after the last allowed
// attempt had failed, if the failure of an earlier run were counted now. That happens
// if the worker of the earlier run was given up before its end was read.
func (t *Task) ExceedsAttempts(run int) bool {
	most := t.Progress.Job.MaxAttempts
	if t.Step.LongRunning || most == 0 || !t.superseded(run) {
		return false
	}
	earlier := 1
	for _, failed := range t.failureCounter().FailedRuns {
		if failed == run {
			return false
		}
		if t.superseded(failed) {
			earlier++
		}
	}
	return earlier >= most
}

// superseded tells whether a later run may have started.
func (t *Task) superseded(run int) bool { return run < t.Run || run <= t.HighestVoidRun }

// CriticalPath returns the time of the longest chain of unfinished steps, from the
// expected run time of each step.
func (p *Progress) CriticalPath(expected func(*Step) time.Duration) time.Duration {
	var longest time.Duration
	o := p.find(0) // occurrences don't wait for each other
	ends := make([]time.Duration, len(p.Job.Steps))
	for s := range p.Job.Steps {
		step := &p.Job.Steps[s]
		for _, a := range step.After {
			ends[s] = max(ends[s], ends[a])
		}
		if o == nil || o.groups[s].unfinished > 0 {
			ends[s] += expected(step)
		}
		longest = max(longest, ends[s])
	}
	return longest
}

// Begun tells whether a subtask runs or has run.
func (p *Progress) Begun() bool { return p.Started }
