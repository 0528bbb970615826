package fakes

import (
	"context"
	"time"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// Start starts a run.
func (ws *WorkerSet) Start(ctx context.Context, to runs.Target, s runs.Start) (r runs.Reply, err error) {
	ws.recordSent(s)
	err = ws.call(ctx, to, "start", func(w *workerState) error {
		r = w.reply()
		return ws.start(w, s)
	})
	return r, err
}

// recordSent records when a start was sent. Further tries and copies don't count: the run is under
// way from the first one on.
func (ws *WorkerSet) recordSent(s runs.Start) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	key := sentStart{s.Task, s.Run}
	if _, ok := ws.firstSent[key]; !ok {
		ws.firstSent[key] = time.Now()
	}
}

func (ws *WorkerSet) start(w *workerState, s runs.Start) error {
	if err := w.checkFence(s.Fence); err != nil {
		return err
	}
	if s.UntilMs <= w.clock() {
		return runs.ErrLeaseOver
	}
	if r := w.running[s.Task]; r != nil && r.run == s.Run {
		ws.extend(w, s.UntilMs)
		return nil
	}
	if s.Run <= w.staleThrough[s.Task] || w.running[s.Task] != nil {
		ws.extend(w, s.UntilMs)
		return runs.ErrStaleRun
	}
	j := ws.jobs[s.Task.Job]
	if j == nil {
		ws.recordViolation("UNASKED %s", s.Task)
		return nil
	}
	if err := ws.checkTicket(w, s); err != nil {
		return err // without taking the lease, unlike the other refusals
	}
	ws.extend(w, s.UntilMs)
	step := &j.Steps[s.Task.Step]
	if err := ws.checkCheckpoint(s, step); err != nil {
		return err
	}
	if ws.ChecksRoom && !w.fits(step) {
		return runs.ErrNoCapacity
	}
	ws.checkStart(w, s, j, step)
	ws.starts++
	ws.lastStarts[s.Task] = time.Now()
	length, outcome := ws.DecideRun(s.Task, s.Run)
	r := &activeRun{task: s.Task, run: s.Run, step: step, started: time.Now(), sent: ws.firstSent[sentStart{s.Task, s.Run}], resumed: s.Checkpoint}
	r.timer = time.AfterFunc(length, func() {
		ws.mu.Lock()
		defer ws.mu.Unlock()
		ws.end(w, s.Task, r, outcome)
		if step.Gang {
			ws.endGang(s.Task, s.Run, outcome)
		}
	})
	if step.LongRunning {
		r.timer.Stop()
	}
	if ws.CrashesWorker != nil && ws.CrashesWorker(s.Task) {
		time.AfterFunc(crashDelay, func() { ws.crashUnder(w, s.Task, r) })
	}
	if step.Gang {
		time.AfterFunc(gangWait, func() { ws.endIfGangIncomplete(w, s.Task, r) })
	}
	w.running[s.Task] = r
	if !step.Fills {
		w.used.CPU += step.CPU
	}
	w.used.Mem += step.Mem
	w.used.GPU += step.GPU
	return nil
}

// fits reports whether the worker has room for a subtask of the step.
func (w *workerState) fits(step *steps.Step) bool {
	return (step.Fills || w.used.CPU+step.CPU <= w.Capacity.CPU) && w.used.Mem+step.Mem <= w.Capacity.Mem && w.used.GPU+step.GPU <= w.Capacity.GPU
}

// Stop ends a run after stopTime, and makes the worker refuse a start of it that
// arrives later.
func (ws *WorkerSet) Stop(ctx context.Context, to runs.Target, s runs.Stop) (r runs.Reply, err error) {
	err = ws.call(ctx, to, "stop", func(w *workerState) error {
		r = w.reply()
		if err := w.checkFence(s.Fence); err != nil {
			return err
		}
		w.staleThrough[s.Task] = max(w.staleThrough[s.Task], s.Run)
		if run := w.running[s.Task]; run != nil && run.run == s.Run {
			time.AfterFunc(stopTime, func() {
				ws.mu.Lock()
				defer ws.mu.Unlock()
				ws.end(w, s.Task, run, runs.Stopped)
			})
		}
		return nil
	})
	return r, err
}

// Pace checks the fencing token; the run's speed does not change.
func (ws *WorkerSet) Pace(ctx context.Context, to runs.Target, p runs.Pace) (r runs.Reply, err error) {
	err = ws.call(ctx, to, "pace", func(w *workerState) error {
		r = w.reply()
		return w.checkFence(p.Fence)
	})
	return r, err
}
