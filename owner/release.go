package owner

import (
	"time"

	"shallotpaddle/steps"
)

// takeWishes takes in what the steward wants of the workers.
func (o *Owner) takeWishes(w PoolPlan) {
	if w.Rev < o.wishes.Rev {
		return
	}
	o.wishes = w
	for id := range w.Ended {
		if h := o.hosts[id]; h != nil {
			o.over(h, "its host was moved or maintained")
		}
	}
	for _, h := range o.hosts {
		task := w.Release[h.id]
		if task == h.release {
			continue
		}
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int64("task", task).Int64("rev", w.Rev).
			Int("runs", len(h.runs)).Msg("release of worker changed")
		h.release = task
		o.dirty, o.released = true, true
		if task == 0 && h.failing.IsZero() {
			// The task may have been carried out, which ends the worker's life: it
			// must answer before it gets work again.
			h.failing, h.nextLook = o.Clock.Now(), time.Time{}
		}
	}
}

// empty tells whether nothing of the worker is left to be run or stored.
func (h *host) empty() bool {
	return len(h.runs) == 0 && len(h.ends) == 0 && h.note <= h.told && !h.looking
}

// lasting returns the number of lasting subtasks on the worker.
func (h *host) lasting() int {
	n := 0
	for _, p := range h.runs {
		if p.task.Step.LongRunning {
			n++
		}
	}
	return n
}

// emptyReleased stops lasting subtasks on workers that are to be emptied, as
// many at a time as their steps allow to be away. Others end by themselves.
func (o *Owner) emptyReleased(now time.Time) {
	// An earlier owner's stops may still be under way and its subtasks listed as
	// at work.
	if now.Sub(o.began) < o.Bounds.StopTime+freshReport {
		return
	}
	for _, h := range o.hosts {
		if h.release == 0 {
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
		if other != t && !o.serves(other, now) {
			away++
		}
	}
	return away < max(t.Step.MaxUnavailable, 1)
}

// freshReport is the age up to which a worker's report says what is at work;
// looks that wait for an end answer within lookWait.
const freshReport = lookWait + 500*time.Millisecond

// serves tells whether a lasting subtask is known to be at work: a worker that
// has gone silent may have taken it along.
func (o *Owner) serves(t *steps.Task, now time.Time) bool {
	h := o.hosts[t.WorkerID]
	return t.Serving() && h != nil && h.failing.IsZero() && now.Sub(h.reported) < freshReport
}
