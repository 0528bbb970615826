package steps

import "shallotpaddle/runs"

// Record is the durable progress of a job. It is a document.
type Record struct {
	Queue string  `json:"queue"`
	State Outcome `json:"state,omitempty"`
	// Started tells that a subtask has started.
	Started bool `json:"began,omitempty"`
	// Tasks has what a later owner can't learn from the workers.
	Tasks []TaskRecord `json:"tasks,omitempty"`
}

// TaskRecord is a subtask that is done, has failed or saved something, or has runs
// that don't count.
type TaskRecord struct {
	Occur          int    `json:"k,omitempty"`
	Step           int    `json:"s,omitempty"`
	Index          int    `json:"i,omitempty"`
	Done           bool   `json:"d,omitempty"`
	Failures       int    `json:"f,omitempty"`
	LastFailedRun  int    `json:"l,omitempty"` // last run that failed
	Run            int    `json:"r,omitempty"`
	Checkpoint     string `json:"c,omitempty"`
	HighestVoidRun int    `json:"v,omitempty"`
}

// Record returns the durable progress. A job that has ended keeps no subtasks but
// those with runs that don't count.
func (t *Progress) Record() Record {
	r := Record{Queue: t.Job.Queue, State: t.Outcome, Started: t.Started}
	t.Each(func(task *Task) {
		done := task.Phase == Finished
		counts := t.Outcome == Open && (done || task.Failures > 0 || task.Checkpoint != "")
		if !counts && task.HighestVoidRun == 0 {
			return
		}
		r.Tasks = append(r.Tasks, TaskRecord{
			Occur: task.ID.Occur, Step: task.ID.Step, Index: task.ID.Index,
			Done: done, Failures: task.Failures, LastFailedRun: task.LastFailedRun, Run: task.Run, Checkpoint: task.Checkpoint, HighestVoidRun: task.HighestVoidRun,
		})
	})
	return r
}

// Restore takes in what an earlier owner recorded.
func (t *Progress) Restore(r Record) {
	t.Started = r.Started
	for _, v := range r.Tasks {
		task := t.Task(runs.Task{Job: t.Job.ID, Occur: v.Occur, Step: v.Step, Index: v.Index})
		if task == nil {
			continue
		}
		task.Run = max(task.Run, v.Run)
		task.Failures, task.LastFailedRun, task.Checkpoint, task.HighestVoidRun = v.Failures, v.LastFailedRun, v.Checkpoint, v.HighestVoidRun
		if v.Done && task.Phase != Finished {
			t.finish(task)
		}
	}
	if r.State != Open {
		t.Outcome = r.State
	}
}
