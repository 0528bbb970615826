package fakes

import (
	"fmt"
	"math"
	"slices"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// AddJob adds a job whose runs may be started; a start of another job is a violation.
func (ws *WorkerSet) AddJob(j *steps.Job) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.jobs[j.ID] = j
}

// RecordCancel records that a job is cancelled now; runs of it must not start later
// than cancelGrace after this.
func (ws *WorkerSet) RecordCancel(id string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.cancelledAt[id] = time.Now()
}

// Violations returns a text for each rule that was broken, beginning with the rule's
// name.
func (ws *WorkerSet) Violations() []string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return slices.Clone(ws.violations)
}

// MaxFailures returns the largest number of failed runs of one subtask of a job.
func (ws *WorkerSet) MaxFailures(job string) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	most := 0
	for t, n := range ws.failures {
		if t.Job == job {
			most = max(most, n)
		}
	}
	return most
}

// Violate records the text of a broken rule that another stand-in has found.
func (ws *WorkerSet) Violate(text string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.violations = append(ws.violations, text)
}

// Up tells whether a worker is up.
func (ws *WorkerSet) Up(id string) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.workers[id]
	return w != nil && w.up
}

// JobDone tells whether reports have listed an end as Done for every subtask of a job.
func (ws *WorkerSet) JobDone(id string) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	j := ws.jobs[id]
	for occur := range j.Occurrences() {
		for step := range j.Steps {
			if !ws.stepDone(j, occur, step) {
				return false
			}
		}
	}
	return true
}

// recordViolation adds the text of a broken rule; ws.mu is held.
func (ws *WorkerSet) recordViolation(format string, args ...any) {
	ws.violations = append(ws.violations, fmt.Sprintf(format, args...))
}

// checkStart checks the start of a run on a worker against the rules.
func (ws *WorkerSet) checkStart(w *workerState, s runs.Start, j *steps.Job, step *steps.Step) {
	for id, o := range ws.workers {
		if r := o.running[s.Task]; r != nil && o.up {
			ws.recordViolation("TWICE %s run %d on %s while run %d is on %s", s.Task, s.Run, w.ID, r.run, id)
		}
	}
	if ws.ackedDone[s.Task] {
		ws.recordViolation("TWICE %s run %d on %s after its acknowledged end", s.Task, s.Run, w.ID)
	}
	room := w.allowedCapacity()
	if !step.Fills && w.used.CPU+step.CPU > room.CPU || w.used.Mem+step.Mem > room.Mem || w.used.GPU+step.GPU > room.GPU {
		ws.recordViolation("LIMIT %s exceeds the capacity of %s", s.Task, w.ID)
	}
	if j.Workspace != "" && ws.CheckQuota != nil {
		running, sent := ws.use(j.Workspace)
		if own := ws.firstSent[sentStart{s.Task, s.Run}]; own.After(sent) {
			sent = own
		}
		if text := ws.CheckQuota(j.Workspace, running, hosts.Resources{CPU: step.CPU, Mem: step.Mem, GPU: step.GPU}, sent); text != "" {
			ws.recordViolation("QUOTA %s run %d on %s: %s", s.Task, s.Run, w.ID, text)
		}
	}
	for _, a := range step.After {
		if !ws.stepDone(j, s.Task.Occur, a) {
			ws.recordViolation("ORDER %s before the end of step %d", s.Task, a)
		}
	}
	if time.Now().Before(j.Due(s.Task.Occur).Add(-earlyTolerance)) {
		ws.recordViolation("ORDER %s before its due time", s.Task)
	}
	if w.Draining && time.Since(w.drainedAt) > drainGrace {
		ws.recordViolation("DRAIN %s on draining worker %s", s.Task, w.ID)
	}
	if s.Payload != j.Payload {
		ws.recordViolation("UNASKED %s with a payload that is not the job's", s.Task)
	}
	same := 0
	for t := range w.running {
		if t.Job == s.Task.Job && t.Step == s.Task.Step && t.Occur == s.Task.Occur {
			same++
		}
	}
	if pool := ws.PoolOf[j.Queue]; pool != "" && pool != w.Pool {
		ws.recordViolation("ROUTE %s on %s, a worker of %s", s.Task, w.ID, w.Pool)
	}
	if step.MaxPerWorker > 0 && same >= step.MaxPerWorker {
		ws.recordViolation("ROUTE %s exceeds the number of subtasks per worker", s.Task)
	}
	if !step.LongRunning && j.MaxAttempts > 0 && ws.ackedFailures[s.Task] >= j.MaxAttempts {
		ws.recordViolation("BUDGET %s after its last attempt failed", s.Task)
	}
	ws.checkCrashes(s.Task)
	if at, ok := ws.cancelledAt[j.ID]; ok && time.Since(at) > cancelGrace && ws.heardFor(s.Fence) > cancelGrace {
		ws.recordViolation("UNASKED %s after its cancellation", s.Task)
	}
}

// SetWorkspace sets the workspace of a job.
func (ws *WorkerSet) SetWorkspace(job, workspace string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if j := ws.jobs[job]; j != nil {
		j.Workspace = workspace
	}
}

// Use returns what the jobs of a workspace have running.
func (ws *WorkerSet) Use(workspace string) hosts.Resources {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	sum, _ := ws.use(workspace)
	return sum
}

// use returns what the jobs of a workspace have running, and when the start of the last of these
// runs was sent.
func (ws *WorkerSet) use(workspace string) (sum hosts.Resources, sent time.Time) {
	for _, w := range ws.workers {
		for t, r := range w.running {
			if j := ws.jobs[t.Job]; j != nil && j.Workspace == workspace && w.up {
				sum.CPU, sum.Mem, sum.GPU = sum.CPU+r.step.CPU, sum.Mem+r.step.Mem, sum.GPU+r.step.GPU
				if r.sent.After(sent) {
					sent = r.sent
				}
			}
		}
	}
	return sum, sent
}

// heardFor returns for how long the sender with a fencing token has been able to hear of
// cancellations.
func (ws *WorkerSet) heardFor(fence int64) time.Duration {
	if ws.InTouchSince == nil {
		return math.MaxInt64
	}
	return time.Since(ws.InTouchSince(fence))
}

// stepDone tells whether a report has listed an end as Done for every subtask of a
// step, or for one subtask if the step is a gang.
func (ws *WorkerSet) stepDone(j *steps.Job, occur, step int) bool {
	n := 0
	for i := range j.Steps[step].Count {
		if ws.reportedDone[runs.Task{Job: j.ID, Occur: occur, Step: step, Index: i}] {
			n++
		}
	}
	return n == j.Steps[step].Count || n > 0 && j.Steps[step].Gang
}

// Tolerances of the checks.
const (
	earlyTolerance = 250 * time.Millisecond // for starts before the due time
	cancelGrace    = 3 * time.Second        // for starts after a cancellation
	drainGrace     = 2 * time.Second        // for starts after the begin of draining
)

// ackEnd checks and counts an end that is acknowledged to a worker; ws.mu is held.
func (ws *WorkerSet) ackEnd(w *workerState, e runs.End) {
	endedAt := w.endedAt[e.Number]
	lapsed := w.leaseExpiredAt.After(endedAt)
	if ws.OnAckedEnd != nil {
		if violation := ws.OnAckedEnd(e, lapsed); violation != "" {
			ws.recordViolation("%s", violation)
		}
	}
	switch e.Outcome {
	case runs.Done:
		if lapsed {
			return
		}
		ws.ackedDone[e.Task] = true
		if ws.lastStarts[e.Task].After(endedAt) {
			ws.recordViolation("TWICE %s started again after run %d ended on %s, and that end is acknowledged", e.Task, e.Run, w.ID)
		}
	case runs.Failed:
		if lapsed {
			return
		}
		ws.ackedFailures[e.Task]++
		ws.ackedFailedAt[e.Task] = append(ws.ackedFailedAt[e.Task], endedAt)
		ws.checkBudget(e)
	}
}

// checkBudget checks that no run of a subtask started after its last attempt had
// failed, counting the failures that are acknowledged by now.
func (ws *WorkerSet) checkBudget(e runs.End) {
	j := ws.jobs[e.Task.Job]
	step := &j.Steps[e.Task.Step]
	if step.LongRunning || step.Gang || j.MaxAttempts == 0 {
		return
	}
	before := 0
	for _, at := range ws.ackedFailedAt[e.Task] {
		if at.Before(ws.lastStarts[e.Task]) {
			before++
		}
	}
	if before >= j.MaxAttempts {
		ws.recordViolation("BUDGET %s started again after %d runs had failed, and the end of run %d is acknowledged", e.Task, before, e.Run)
	}
}
