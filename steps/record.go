package steps

import (
	"math"

	"shallotpaddle/runs"
)

// Record is the durable progress of a job. It is stored as JSON.
type Record struct {
	Queue     string  `json:"queue"`
	Workspace string  `json:"space,omitempty"`
	State     Outcome `json:"state,omitempty"`
	// Started tells that a subtask has started.
	Started bool `json:"began,omitempty"`
	// Tasks has the state of subtasks that a later owner can't read from the workers.
	Tasks []TaskRecord `json:"tasks,omitempty"`
	// Ranges has what is known of many subtasks in a row. Only records with more than maxSingle
	// such subtasks have any: earlier builds don't read them.
	Ranges []Range `json:"ranges,omitempty"`
}

// maxSingle is the largest number of subtasks without more than a Range has that a record lists one
// by one. The store takes values of up to 1 MiB, and a subtask that is done takes 30 bytes.
const maxSingle = 1024

// Range is the state of subtasks of one step and occurrence with indexes in a row: all are done,
// or nobody has begun any of them.
type Range struct {
	Occur int  `json:"k,omitempty"`
	Step  int  `json:"s,omitempty"`
	First int  `json:"i,omitempty"`
	Count int  `json:"n"`
	Done  bool `json:"d,omitempty"`
	Run   int  `json:"r,omitempty"`
	Void  int  `json:"v,omitempty"`
	// Lost tells that RecordLoss was called for them.
	Lost bool `json:"lost,omitempty"`
}

// TaskRecord is the state of a subtask that is done, has failed, has a checkpoint,
// has runs that don't count or are in doubt, or may have crashed a worker.
type TaskRecord struct {
	Occur          int     `json:"k,omitempty"`
	Step           int     `json:"s,omitempty"`
	Index          int     `json:"i,omitempty"`
	Done           bool    `json:"d,omitempty"`
	FailedRuns     []int   `json:"failed,omitempty"`
	Run            int     `json:"r,omitempty"`
	Checkpoint     string  `json:"c,omitempty"`
	HighestVoidRun int     `json:"v,omitempty"`
	Crashes        []Crash `json:"crashed,omitempty"`
	Doubts         []Doubt `json:"doubts,omitempty"`
	// Failures and LastFailedRun stand in records of earlier builds, in place of
	// FailedRuns.
	Failures      int `json:"f,omitempty"`
	LastFailedRun int `json:"l,omitempty"`
}

// failedRuns returns the failed runs. In place of those that an earlier build didn't
// record it has negative numbers.
func (v *TaskRecord) failedRuns() []int {
	if v.Failures == 0 {
		return v.FailedRuns
	}
	out := []int{v.LastFailedRun}
	for n := 1; n < v.Failures; n++ {
		out = append(out, -n)
	}
	return out
}

// Record returns the durable progress. For a job that has ended it has only the
// subtasks with runs that don't count, or with starts of which a copy may be carried out.
func (p *Progress) Record() Record {
	r := Record{Queue: p.Job.Queue, Workspace: p.Job.Workspace, State: p.Outcome, Started: p.Started}
	if p.inRanges() > maxSingle {
		p.eachRange(func(v Range) { r.Ranges = append(r.Ranges, v) })
		p.Each(func(t *Task) { r.add(p, t) })
		return r
	}
	for k, o := range p.occurrences {
		if o == nil {
			continue
		}
		for s := range o.groups {
			p.recordGroup(&r, runs.Task{Job: p.Job.ID, Occur: k, Step: s}, &o.groups[s])
		}
	}
	return r
}

// inRanges returns the number of subtasks that ranges would list; 0 if the job has no more than
// maxSingle.
func (p *Progress) inRanges() int {
	n := 0
	for i := range p.Job.Steps {
		n += p.Job.Steps[i].Count * p.Job.Occurrences()
	}
	if n <= maxSingle {
		return 0
	}
	n = 0
	p.eachRange(func(v Range) { n += v.Count })
	return n
}

// recordGroup adds the subtasks of a group one by one.
func (p *Progress) recordGroup(r *Record, id runs.Task, g *group) {
	if !g.known(p.Outcome) {
		g.each(func(t *Task) bool {
			r.add(p, t)
			return true
		})
		return
	}
	open := p.Outcome == Open
	for i := range p.Job.Steps[id.Step].Count {
		if t := g.task(i); t != nil {
			r.add(p, t)
			continue
		}
		v := TaskRecord{Occur: id.Occur, Step: id.Step, Index: i, HighestVoidRun: g.void}
		switch {
		case g.isDone(i):
			e := g.page(i).endAt(i % pageSize)
			v.Done, v.Run, v.HighestVoidRun = true, int(e.run), int(e.void)
		case g.lost:
			v.Crashes = []Crash{lostCrash}
		}
		if open && (v.Done || g.lost) || v.HighestVoidRun > 0 {
			r.Tasks = append(r.Tasks, v)
		}
	}
}

// known reports whether a record has subtasks of a group that have no state of their own.
func (g *group) known(o Outcome) bool {
	if g.void > 0 || g.lost && o == Open {
		return true
	}
	for i := -1; i < len(g.more); i++ {
		pg := &g.first
		if i >= 0 {
			pg = g.more[i]
		}
		if pg != nil && pg.done != 0 && (o == Open || pg.ends != nil || pg.end.void > 0) {
			return true
		}
	}
	return false
}

// add adds a subtask, if there is anything to record of it.
func (r *Record) add(p *Progress, task *Task) {
	done := task.Phase == Finished
	needed := p.Outcome == Open && (done || len(task.FailedRuns) > 0 || len(task.Crashes) > 0 || len(task.Doubts) > 0 || task.Checkpoint != "")
	doubts := task.Doubts
	if p.Outcome != Open {
		doubts = task.copiesInDoubt()
	}
	if !needed && task.HighestVoidRun == 0 && len(doubts) == 0 {
		return
	}
	r.Tasks = append(r.Tasks, TaskRecord{
		Occur: task.ID.Occur, Step: task.ID.Step, Index: task.ID.Index,
		Done: done, FailedRuns: task.FailedRuns, Run: task.Run, Checkpoint: task.Checkpoint, HighestVoidRun: task.HighestVoidRun,
		Crashes: task.Crashes, Doubts: doubts,
	})
}

// eachRange calls f for the longest ranges of subtasks that have no state of their own and of which
// a record has something, in order.
func (p *Progress) eachRange(f func(Range)) {
	for k, o := range p.occurrences {
		if o == nil {
			continue
		}
		for s := range o.groups {
			g := &o.groups[s]
			if g.known(p.Outcome) {
				p.rangesOf(g, Range{Occur: k, Step: s}, f)
			}
		}
	}
}

func (p *Progress) rangesOf(g *group, now Range, f func(Range)) {
	flush := func() {
		if now.Count > 0 && (p.Outcome == Open && (now.Done || now.Lost) || now.Void > 0) {
			f(now)
		}
		now.Count = 0
	}
	for i := range p.Job.Steps[now.Step].Count {
		if g.task(i) != nil {
			flush()
			continue
		}
		next := Range{Occur: now.Occur, Step: now.Step, First: i, Count: 1, Void: g.void, Lost: g.lost}
		if g.isDone(i) {
			e := g.page(i).endAt(i % pageSize)
			next.Done, next.Run, next.Void, next.Lost = true, int(e.run), int(e.void), false
		}
		if now.Count > 0 && now.Done == next.Done && now.Run == next.Run && now.Void == next.Void && now.Lost == next.Lost {
			now.Count++
			continue
		}
		flush()
		now = next
	}
	flush()
}

// Restore applies what an earlier owner recorded.
func (p *Progress) Restore(r Record) {
	p.Started = r.Started
	for _, v := range r.Tasks {
		task := p.Task(runs.Task{Job: p.Job.ID, Occur: v.Occur, Step: v.Step, Index: v.Index})
		if task == nil {
			continue
		}
		task.Run = max(task.Run, v.Run)
		task.FailedRuns, task.HighestVoidRun = v.failedRuns(), v.HighestVoidRun
		task.SaveCheckpoint(0, 0, v.Checkpoint) // earlier builds have one for each member of a gang
		task.Crashes, task.Doubts = v.Crashes, v.Doubts
		for _, c := range v.Crashes {
			task.Run = max(task.Run, c.Run) // an announced run may have started since
		}
		if v.Done && task.Phase != Finished {
			p.finish(task)
		}
		p.compact(task)
	}
	for _, v := range r.Ranges {
		p.restoreRange(v)
	}
	if r.State != Open {
		p.Outcome = r.State
	}
}

// restoreRange applies a range of a record.
func (p *Progress) restoreRange(v Range) {
	if min(v.Occur, v.Step, v.First, v.Run, v.Void) < 0 || max(v.Run, v.Void) > math.MaxInt32 || v.Occur >= p.Job.Occurrences() || v.Step >= len(p.Job.Steps) {
		return
	}
	step := &p.Job.Steps[v.Step]
	g := &p.occurrence(v.Occur).groups[v.Step]
	if !v.Done {
		g.void, g.lost = max(g.void, v.Void), g.lost || v.Lost
		return
	}
	for i := v.First; i < min(v.First+v.Count, step.Count); i++ {
		task := p.Task(runs.Task{Job: p.Job.ID, Occur: v.Occur, Step: v.Step, Index: i})
		task.Run, task.HighestVoidRun, task.Crashes = max(task.Run, v.Run), v.Void, nil
		if task.Phase != Finished {
			p.finish(task)
		}
		p.compact(task)
	}
}
