package fakes

import (
	"fmt"
	"slices"
	"time"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// AddJob makes a job known to the checks.
func (c *WorkerSet) AddJob(j *steps.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.ID] = j
}

// RecordCancel makes a cancellation known to the checks.
func (c *WorkerSet) RecordCancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[id] = time.Now()
}

// Violations returns the promises that were broken.
func (c *WorkerSet) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.faults)
}

// MaxFailures returns how often the subtask of a job that failed most has failed.
func (c *WorkerSet) MaxFailures(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for t, fails := range c.fails {
		if t.Job == job {
			n = max(n, fails)
		}
	}
	return n
}

// Fault notes a promise that a test found broken.
func (c *WorkerSet) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// check holds a start against what was promised.
func (c *WorkerSet) check(w *workerState, s runs.Start, j *steps.Job, step *steps.Step) {
	for id, o := range c.workers {
		if r := o.running[s.Task]; r != nil && o.up {
			c.fault("TWICE %s run %d on %s while run %d is on %s", s.Task, s.Run, w.ID, r.run, id)
		}
	}
	if c.done[s.Task] {
		c.fault("TWICE %s run %d on %s after its end", s.Task, s.Run, w.ID)
	}
	if !step.Fills && w.used.CPU+step.CPU > w.Capacity.CPU || w.used.Mem+step.Mem > w.Capacity.Mem {
		c.fault("LIMIT %s on %s", s.Task, w.ID)
	}
	for _, a := range step.After {
		if !c.stepEnded(j, s.Task.Occur, a) {
			c.fault("ORDER %s before step %d", s.Task, a)
		}
	}
	if time.Now().Before(j.Due(s.Task.Occur).Add(-early)) {
		c.fault("ORDER %s before its time", s.Task)
	}
	if w.Draining && time.Since(w.drained) > drainBound {
		c.fault("DRAIN %s on %s, which leaves", s.Task, w.ID)
	}
	if s.Payload != j.Payload {
		c.fault("UNASKED %s with another payload", s.Task)
	}
	same := 0
	for t := range w.running {
		if t.Job == s.Task.Job && t.Step == s.Task.Step && t.Occur == s.Task.Occur {
			same++
		}
	}
	if step.MaxPerWorker > 0 && same >= step.MaxPerWorker {
		c.fault("ROUTE %s beyond the limit of one worker", s.Task)
	}
	if !step.LongRunning && j.MaxAttempts > 0 && c.failed[s.Task] >= j.MaxAttempts {
		c.fault("BUDGET %s", s.Task)
	}
	if at, ok := c.cancels[j.ID]; ok && time.Since(at) > cancelBound {
		c.fault("UNASKED %s after its cancellation", s.Task)
	}
}

// stepEnded tells whether every subtask of a step has ended done; one end
// stands for all of a gang.
func (c *WorkerSet) stepEnded(j *steps.Job, occur, step int) bool {
	n := 0
	for i := range j.Steps[step].Count {
		if c.ended[runs.Task{Job: j.ID, Occur: occur, Step: step, Index: i}] {
			n++
		}
	}
	return n == j.Steps[step].Count || n > 0 && j.Steps[step].Gang
}

// Bounds of the checks.
const (
	early       = 250 * time.Millisecond
	cancelBound = 3 * time.Second
	drainBound  = 2 * time.Second
)

// note takes in that a worker is told to forget an end.
func (c *WorkerSet) note(w *workerState, e runs.End) {
	if c.OnAckedEnd != nil {
		if fault := c.OnAckedEnd(e); fault != "" {
			c.fault("%s", fault)
		}
	}
	switch e.Outcome {
	case runs.Done:
		c.done[e.Task] = true
		at := w.endedAt[e.Number]
		if c.begun[e.Task].After(at) && !w.lapsed.After(at) {
			c.fault("TWICE %s started again after run %d had ended on %s, and that end is taken note of", e.Task, e.Run, w.ID)
		}
	case runs.Failed:
		c.failed[e.Task]++
	}
}
