package fakes

import (
	"fmt"
	"time"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// checkpointInterval is the work after which a run that saves checkpoints has a new one.
const checkpointInterval = 250 * time.Millisecond

// checkpoint returns the newest checkpoint of a run, empty if there is none; ws.mu is held.
func (ws *WorkerSet) checkpoint(r *activeRun) string {
	n := int(time.Since(r.started) / checkpointInterval)
	if !r.step.Checkpointing || n == 0 {
		return r.resumed
	}
	return ws.saveCheckpoint(r, fmt.Sprint(n))
}

// finalCheckpoint returns the checkpoint of a run that ends; ws.mu is held.
func (ws *WorkerSet) finalCheckpoint(r *activeRun, how runs.Outcome) string {
	if !r.step.Checkpointing || how == runs.Done {
		return ""
	}
	return ws.saveCheckpoint(r, "end")
}

// saveCheckpoint returns a checkpoint of a run, which is valid for its step from now on.
func (ws *WorkerSet) saveCheckpoint(r *activeRun, suffix string) string {
	value := fmt.Sprintf("%s/%d/%s", r.task, r.run, suffix)
	ws.checkpoints[value] = r.task.ParentStep()
	return value
}

// checkCheckpoint checks the checkpoint of a start. It returns runs.ErrInvalid for a member of a
// gang that carries another one than the members of its run that are there; ws.mu is held.
func (ws *WorkerSet) checkCheckpoint(s runs.Start, step *steps.Step) error {
	if s.Checkpoint != "" && (!step.Checkpointing || ws.checkpoints[s.Checkpoint] != s.Task.ParentStep()) {
		ws.recordViolation("GANG %s started from %q, which is no checkpoint of its step", s.Task, s.Checkpoint)
	}
	if !step.Gang {
		return nil
	}
	for _, w := range ws.workers {
		for t, r := range w.running {
			if t.ParentStep() == s.Task.ParentStep() && r.run == s.Run && r.resumed != s.Checkpoint {
				ws.recordViolation("GANG %s started from %q, and %s from %q", s.Task, s.Checkpoint, t, r.resumed)
				return runs.ErrInvalid
			}
		}
	}
	return nil
}
