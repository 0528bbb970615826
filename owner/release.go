package owner

import (
	"shallotpaddle/steps"
)

// takeReleases takes in which workers the steward wants emptied.
func (o *Owner) takeReleases(m releasing) {
	if m.rev < o.planRev {
		return
	}
	o.planRev, o.releases = m.rev, m.workers
	for _, h := range o.hosts {
		task := m.workers[h.id]
		if task == h.release {
			continue
		}
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int64("task", task).Int("runs", len(h.runs)).Msg("release of worker changed")
		h.release = task
		o.dirty, o.released = true, true
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
		if p.task.Step.Lasting {
			n++
		}
	}
	return n
}

// emptyReleased stops lasting subtasks on workers that are to be emptied, as
// many at a time as their steps allow to be away. Others end by themselves.
func (o *Owner) emptyReleased() {
	for _, h := range o.hosts {
		if h.release == 0 {
			continue
		}
		for _, p := range h.runs {
			if p.task.Step.Lasting && !p.stopping && p.task.Phase == steps.Running && mayStop(p.task) {
				o.stopRun(h, p, "worker is released")
			}
		}
	}
}

// mayStop tells whether a lasting subtask may be stopped without more of its
// step being away than it allows.
func mayStop(t *steps.Task) bool {
	away := 0
	for _, other := range t.Peers() {
		if other != t && !other.AtWork() {
			away++
		}
	}
	return away < max(t.Step.MayMiss, 1)
}
