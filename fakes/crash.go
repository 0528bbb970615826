package fakes

import (
	"fmt"
	"strings"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
)

// Times of workers that crash.
const (
	crashDelay   = 10 * time.Millisecond // from the start of a run that crashes its worker
	restartDelay = 3 * time.Second       // until a crashed worker is back
)

// Limits of the rule on subtasks that crash workers: after maxCrashes workers have
// crashed under a subtask, it may start fewer than maxStartsAfter times.
const (
	maxCrashes     = 3
	maxStartsAfter = 3
)

// crashUnder ends the worker that has a run, which its subtask has caused. The worker
// is back after restartDelay, as another incarnation at the same address.
func (ws *WorkerSet) crashUnder(w *workerState, t runs.Task, r *activeRun) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if !w.up || w.running[t] != r {
		return
	}
	ws.crashes[t]++
	ws.crashedAt[t] = time.Now()
	ws.crash(w)
	ws.restarts++
	next := w.Worker
	name, _, _ := strings.Cut(next.ID, "+")
	next.ID = fmt.Sprintf("%s+%d", name, ws.restarts)
	time.AfterFunc(restartDelay, func() { ws.Join(next) })
}

// crash ends the worker and its runs, without a report, which ends the gangs that had
// members there. Calls that wait there end at once, unless the worker can't be reached. ws.mu is
// held.
func (ws *WorkerSet) crash(w *workerState) {
	w.up = false
	lost := w.running
	w.running = map[runs.Task]*activeRun{}
	if !w.unreachable {
		close(w.changed)
		w.changed = make(chan struct{})
	}
	for t, r := range lost {
		r.timer.Stop()
		if r.step.Gang {
			ws.endGang(t, r.run, runs.GangBroken)
		}
	}
}

// Bounds on long-running subtasks that crash each worker that starts them, which are restarted
// however they end: after slowCrashes crashes, a start comes slowRestart after the last one, and
// while no other one with as many crashes runs.
const (
	slowCrashes = 7
	slowRestart = 3500 * time.Millisecond
)

// checkCrashes checks the number of starts of a subtask under which workers have
// crashed, or their times if it is long-running; ws.mu is held.
func (ws *WorkerSet) checkCrashes(t runs.Task) {
	if ws.crashes[t] < maxCrashes {
		return
	}
	if ws.jobs[t.Job].Steps[t.Step].LongRunning {
		ws.checkRestart(t)
		return
	}
	if ws.startsAfter[t]++; ws.startsAfter[t] == maxStartsAfter {
		ws.recordViolation("BUDGET %s started %d times more after %d workers had crashed under it", t, maxStartsAfter, maxCrashes)
	}
}

// checkRestart checks the start of a long-running subtask that crashes workers; ws.mu is held.
func (ws *WorkerSet) checkRestart(t runs.Task) {
	since := time.Since(ws.crashedAt[t])
	if ws.crashes[t] >= slowCrashes && since < slowRestart {
		ws.recordViolation("BUDGET long-running %s started %s after it had crashed its worker for the %dth time", t, since, ws.crashes[t])
	}
	if ws.crashes[t] < slowCrashes {
		return
	}
	for _, w := range ws.workers {
		for other := range w.running {
			if other != t && ws.crashes[other] >= slowCrashes {
				ws.recordViolation("BUDGET long-running %s started beside %s, which crashes workers as well", t, other)
			}
		}
	}
}

// Crashes returns the number of workers that have crashed under a subtask, which has
// caused it.
func (ws *WorkerSet) Crashes(t runs.Task) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.crashes[t]
}

// shrinkGrace is how long after a worker's capacity has shrunk starts may still rely on
// the former one.
const shrinkGrace = 4500 * time.Millisecond

// formerCapacity is a larger capacity that a worker had until it shrank.
type formerCapacity struct {
	hosts.Resources
	allowedUntil time.Time
}

// SetCapacity changes the capacity of a worker, and what Registered says of it.
func (ws *WorkerSet) SetCapacity(id string, to hosts.Resources) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.workers[id]
	w.former = append(w.former, formerCapacity{w.Capacity, time.Now().Add(shrinkGrace)})
	w.Capacity = to
}

// allowedCapacity returns the largest capacity that a start may rely on.
func (w *workerState) allowedCapacity() hosts.Resources {
	out := w.Capacity
	for _, f := range w.former {
		if time.Now().Before(f.allowedUntil) {
			out = hosts.Resources{CPU: max(out.CPU, f.CPU), Mem: max(out.Mem, f.Mem), GPU: max(out.GPU, f.GPU)}
		}
	}
	return out
}

// addressTaken tells whether another worker than w, which may be nil, is up at an address and
// can be reached.
func (ws *WorkerSet) addressTaken(w *workerState, address string) bool {
	for _, other := range ws.workers {
		if other != w && other.up && !other.unreachable && other.Address == address {
			return true
		}
	}
	return false
}
