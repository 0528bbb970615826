package steps

import (
	"time"

	"shallotpaddle/runs"
)

// Phase is where a subtask stands.
type Phase uint8

// Phases of a subtask.
const (
	Waiting  Phase = iota
	Starting       // ordered, not confirmed
	Running
	Stopping // stop ordered, or its end not yet known
	Finished // ended done; a lasting subtask never gets here
)

// Task is one subtask as its owner knows it.
type Task struct {
	ID       runs.Task
	Step     *Step
	Progress *Progress

	Phase Phase
	// Run is the highest run number that may have been used.
	Run int
	// Failures counts ends by failure; FailedRun is the last run that failed.
	Failures      int
	LastFailedRun int
	// Checkpoint is the newest checkpoint, empty if there is none.
	Checkpoint string
	// WorkerID is the worker that has the run, in the phases between Waiting and Finished.
	WorkerID string
	// PhaseSince is when the phase began.
	PhaseSince time.Time
	// Percent and Figure are the worker's last word on the run.
	Percent   int
	TailOrCPU float64
	// HeldUntil bars a start until this time: an earlier owner's run may still be there.
	HeldUntil time.Time
	// StoppedAsSlow tells that a run was stopped for want of progress.
	StoppedAsSlow bool
	// AvoidWorker is the worker on which the subtask failed last.
	AvoidWorker string
	// HighestVoidRun is the highest run that doesn't count: it may have ended unseen on a
	// worker that was given up.
	HighestVoidRun int
}

// Active tells whether the subtask holds room on a worker.
func (t *Task) Active() bool { return t.Phase == Starting || t.Phase == Running || t.Phase == Stopping }

// Serving tells whether a lasting subtask serves.
func (t *Task) Serving() bool { return t.Phase == Running && t.Percent >= 100 }

// Outcome is the way in which a job ended.
type Outcome string

// Ends of a job; Open is none.
const (
	Open      Outcome = ""
	Completed Outcome = "completed"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
)

// Progress is the progress of one job.
type Progress struct {
	Job     *Job
	Outcome Outcome
	// Started tells whether any run was ever confirmed.
	Started     bool
	occurrences []*occurrence
	unfinished  int // occurrences not yet done
}

// occurrence is one execution of the steps.
type occurrence struct {
	tasks      [][]*Task
	unfinished []int // subtasks not done, by step
	openSteps  int   // steps not done
}

// NewProgress returns the progress of a job of which nothing has run.
func NewProgress(j *Job) *Progress {
	return &Progress{Job: j, occurrences: make([]*occurrence, j.Occurrences()), unfinished: j.Occurrences()}
}

// occurrence returns an occurrence, made when first needed.
func (t *Progress) occurrence(k int) *occurrence {
	if o := t.occurrences[k]; o != nil {
		return o
	}
	o := &occurrence{openSteps: len(t.Job.Steps)}
	for s := range t.Job.Steps {
		step := &t.Job.Steps[s]
		list := make([]*Task, step.Count)
		block := make([]Task, step.Count)
		for i := range list {
			block[i] = Task{ID: runs.Task{Job: t.Job.ID, Occur: k, Step: s, Index: i}, Step: step, Progress: t}
			list[i] = &block[i]
		}
		o.tasks = append(o.tasks, list)
		o.unfinished = append(o.unfinished, step.Count)
	}
	t.occurrences[k] = o
	return o
}

// Task returns a subtask by name, or nil if the job has none of that name.
func (t *Progress) Task(id runs.Task) *Task {
	if id.Occur >= len(t.occurrences) || id.Step >= len(t.Job.Steps) || id.Index >= t.Job.Steps[id.Step].Count {
		return nil
	}
	return t.occurrence(id.Occur).tasks[id.Step][id.Index]
}

// Siblings returns the subtasks of the same step and occurrence.
func (t *Task) Siblings() []*Task { return t.Progress.occurrence(t.ID.Occur).tasks[t.ID.Step] }

// Each calls f for every subtask that exists so far.
func (t *Progress) Each(f func(*Task)) {
	for _, o := range t.occurrences {
		if o == nil {
			continue
		}
		for _, list := range o.tasks {
			for _, task := range list {
				f(task)
			}
		}
	}
}

// EachReady calls f for each subtask that waits and whose turn has come, in order
// of occurrence and step, until f returns false.
func (t *Progress) EachReady(now time.Time, f func(*Task) bool) {
	if t.Outcome != Open {
		return
	}
	for k := range t.occurrences {
		if now.Before(t.Job.Due(k)) {
			return
		}
		o := t.occurrence(k)
		if o.openSteps > 0 && !o.eachReady(t.Job, f) {
			return
		}
	}
}

func (o *occurrence) eachReady(j *Job, f func(*Task) bool) bool {
	for s, list := range o.tasks {
		if o.unfinished[s] == 0 || !o.dependenciesDone(&j.Steps[s]) {
			continue
		}
		for _, task := range list {
			if task.Phase == Waiting && !f(task) {
				return false
			}
		}
	}
	return true
}

// EachUpcoming calls f for one subtask that waits of each step whose turn has come, or
// comes when what is at work now has ended.
func (t *Progress) EachUpcoming(now time.Time, f func(task *Task, reached bool)) {
	for k := range t.occurrences {
		if t.Outcome != Open || now.Before(t.Job.Due(k)) {
			return
		}
		o := t.occurrence(k)
		for s := range o.tasks {
			first := o.firstWaiting(s)
			if step := &t.Job.Steps[s]; first != nil && o.dependenciesStarted(step) {
				f(first, o.dependenciesDone(step))
			}
		}
	}
}

// firstWaiting returns the first subtask of a step that waits, or nil.
func (o *occurrence) firstWaiting(step int) *Task {
	for _, task := range o.tasks[step] {
		if task.Phase == Waiting {
			return task
		}
	}
	return nil
}

// dependenciesStarted tells whether all that a step comes after is done or at work.
func (o *occurrence) dependenciesStarted(s *Step) bool {
	for _, a := range s.After {
		if o.firstWaiting(a) != nil {
			return false
		}
	}
	return true
}

// dependenciesDone tells whether all that a step comes after is done.
func (o *occurrence) dependenciesDone(s *Step) bool {
	for _, a := range s.After {
		if o.unfinished[a] > 0 {
			return false
		}
	}
	return true
}

// NextDue returns when the next occurrence is due after now, or the zero time.
func (t *Progress) NextDue(now time.Time) time.Time {
	for k := range t.occurrences {
		if due := t.Job.Due(k); due.After(now) {
			return due
		}
	}
	return time.Time{}
}

// RecordEnd takes in the end of a subtask's run and tells whether the job as a
// whole has ended by it. An end of an older run than the one that is active
// changes nothing but counts.
func (t *Progress) RecordEnd(task *Task, run int, how runs.Outcome, saved string) bool {
	if task.Phase == Finished {
		return false
	}
	if saved != "" {
		task.Checkpoint = saved
	}
	switch {
	case how == runs.Done && !task.Step.LongRunning:
		t.finish(task)
	case how == runs.Failed:
		t.recordFailure(task, run)
	}
	if task.Run == run && task.Phase != Finished {
		task.Phase, task.WorkerID = Waiting, ""
	}
	return t.Outcome != Open
}

func (t *Progress) finish(task *Task) {
	o := t.occurrence(task.ID.Occur)
	members := []*Task{task}
	if task.Step.Gang {
		members = task.Siblings() // one end stands for all of a gang
	}
	for _, m := range members {
		if m.Phase == Finished {
			continue
		}
		m.Phase = Finished
		m.Checkpoint = ""
		if o.unfinished[m.ID.Step]--; o.unfinished[m.ID.Step] == 0 {
			o.openSteps--
		}
	}
	if o.openSteps == 0 && o.unfinished[task.ID.Step] == 0 {
		if t.unfinished--; t.unfinished == 0 && t.Outcome == Open {
			t.Outcome = Completed
		}
	}
}

func (t *Progress) recordFailure(task *Task, run int) {
	if task.Step.Gang {
		task = task.Siblings()[0] // a gang fails as one
	}
	if run <= task.LastFailedRun {
		return // counted already, perhaps by an earlier owner that could not acknowledge it
	}
	task.Failures++
	task.LastFailedRun = max(task.LastFailedRun, run)
	if !task.Step.LongRunning && t.Job.MaxAttempts > 0 && task.Failures >= t.Job.MaxAttempts && t.Outcome == Open {
		t.Outcome = Failed
	}
}

// CriticalPath returns the longest chain of work that is left, given the expected run
// time of a step.
func (t *Progress) CriticalPath(expect func(*Step) time.Duration) time.Duration {
	var longest time.Duration
	for _, o := range t.occurrences {
		if o == nil {
			o = t.occurrence(0)
		}
		ends := make([]time.Duration, len(t.Job.Steps))
		for s := range t.Job.Steps {
			step := &t.Job.Steps[s]
			for _, a := range step.After {
				ends[s] = max(ends[s], ends[a])
			}
			if o.unfinished[s] > 0 {
				ends[s] += expect(step)
			}
			longest = max(longest, ends[s])
		}
		break // occurrences don't wait for each other
	}
	return longest
}

// Begun tells whether any subtask has run or runs.
func (t *Progress) Begun() bool { return t.Started }
