package owner

import (
	"time"

	"shallotpaddle/steps"
)

// applyFleetPlan takes in what the steward wants of the workers.
func (o *Owner) applyFleetPlan(w PoolPlan) {
	if w.Rev < o.fleetPlan.Rev {
		return
	}
	o.fleetPlan = w
	for id := range w.Ended {
		if h := o.hosts[id]; h != nil {
			o.endIncarnation(h, "its host was moved or maintained")
		}
	}
	for _, h := range o.hosts {
		task := w.Release[h.id]
		if task == h.releaseTask {
			continue
		}
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int64("task", task).Int64("rev", w.Rev).
			Int("runs", len(h.runs)).Msg("release of worker changed")
		h.releaseTask = task
		o.passNeeded, o.digestDue = true, true
		if task == 0 && h.failingSince.IsZero() {
			// The task may have been carried out, which ends the worker's life: it
			// must answer before it gets work again.
			h.failingSince, h.nextPoll = o.Clock.Now(), time.Time{}
		}
	}
}

// isEmpty tells whether nothing of the worker is left to be run or stored.
func (h *host) isEmpty() bool {
	return len(h.runs) == 0 && len(h.unacked) == 0 && h.ackable <= h.acked && !h.polling
}

// countLongRunning returns the number of countLongRunning subtasks on the worker.
func (h *host) countLongRunning() int {
	n := 0
	for _, p := range h.runs {
		if p.task.Step.LongRunning {
			n++
		}
	}
	return n
}

// stopOnReleased stops lasting subtasks on workers that are to be emptied, as
// many at a time as their steps allow to be away. Others end by themselves.
func (o *Owner) stopOnReleased(now time.Time) {
	// An earlier owner's stops may still be under way and its subtasks listed as
	// at work.
	if now.Sub(o.startedAt) < o.Bounds.StopTime+maxReportAge {
		return
	}
	for _, h := range o.hosts {
		if h.releaseTask == 0 {
			continue
		}
		for _, p := range h.runs {
			if p.task.Step.LongRunning && !p.stopping && p.task.Phase == steps.Running && o.mayStop(p.task, now) {
				o.stopRun(h, p, "worker is released")
			}
		}
	}
}

// mayStop tells whether a lasting subtask may be stopped without more of its
// step being away than it allows.
func (o *Owner) mayStop(t *steps.Task, now time.Time) bool {
	away := 0
	for _, other := range t.Siblings() {
		if other != t && !o.isServing(other, now) {
			away++
		}
	}
	return away < max(t.Step.MaxUnavailable, 1)
}

// maxReportAge is the age up to which a worker's report says what is at work;
// looks that wait for an end answer within lookWait.
const maxReportAge = pollWait + 500*time.Millisecond

// isServing tells whether a lasting subtask is known to be at work: a worker that
// has gone silent may have taken it along.
func (o *Owner) isServing(t *steps.Task, now time.Time) bool {
	h := o.hosts[t.WorkerID]
	return t.Serving() && h != nil && h.failingSince.IsZero() && now.Sub(h.lastReport) < maxReportAge
}
