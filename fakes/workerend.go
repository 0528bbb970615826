package fakes

import (
	"time"

	"shallotpaddle/runs"
)

// end ends a run, unless it has ended before, and adds its end to the worker's
// reports; ws.mu is held.
func (ws *WorkerSet) end(w *workerState, t runs.Task, r *activeRun, outcome runs.Outcome) {
	if w.running[t] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, t)
	w.staleThrough[t] = max(w.staleThrough[t], r.run)
	if !r.step.Fills {
		w.used.CPU -= r.step.CPU
	}
	w.used.Mem -= r.step.Mem
	w.used.GPU -= r.step.GPU
	w.lastEnd++
	if outcome == runs.Failed {
		ws.failures[t]++
	}
	w.endedAt[w.lastEnd] = time.Now()
	w.unackedEnds = append(w.unackedEnds, runs.End{Number: w.lastEnd, Task: t, Run: r.run, Outcome: outcome, Checkpoint: ws.finalCheckpoint(r, outcome)})
	close(w.changed)
	w.changed = make(chan struct{})
}

// endIfGangIncomplete ends the run of a gang's member if other members have not
// started.
func (ws *WorkerSet) endIfGangIncomplete(w *workerState, t runs.Task, r *activeRun) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w.running[t] != r {
		return
	}
	members := 0
	for _, o := range ws.workers {
		for other, v := range o.running {
			if other.ParentStep() == t.ParentStep() && v.run == r.run {
				members++
			}
		}
	}
	if members < r.step.Count {
		ws.gangTimeouts++
		ws.end(w, t, r, runs.GangIncomplete)
	}
}

// endGang ends the other members of a gang when one member has ended.
func (ws *WorkerSet) endGang(ended runs.Task, run int, outcome runs.Outcome) {
	if outcome != runs.Done {
		outcome = runs.GangBroken
	}
	for _, w := range ws.workers {
		for t, r := range w.running {
			if t.Job == ended.Job && t.Occur == ended.Occur && t.Step == ended.Step && r.run == run {
				ws.end(w, t, r, outcome)
			}
		}
	}
}
