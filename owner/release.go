package owner

import (
	"time"

	"shallotpaddle/steps"
)

// PoolPlan is the part of the fleet plan that concerns one pool.
type PoolPlan struct {
	// Release has the workers to empty, with the ID of the plan's task for each.
	Release map[string]int64
	// Stop has those of them whose long-running subtasks are to be stopped, because
	// their hosts are due for maintenance. Hosts with such subtasks don't move.
	Stop map[string]bool
	// StopAll has those of them all of whose subtasks are to be stopped, because the
	// time for their maintenance is nearly over.
	StopAll map[string]bool
	// Due has the workers that will have to be emptied soon for maintenance.
	Due map[string]bool
	// Ended has the workers that a move or a maintenance has ended.
	Ended map[string]bool
	// Incoming is the number of hosts that are being moved to the pool or returned
	// to it from maintenance.
	Incoming int
	// Rev is the revision of the fleet plan.
	Rev int64
}

// SetPlan gives the owner the pool's part of the fleet plan. A plan older than
// the current one is ignored.
func (o *Owner) SetPlan(p PoolPlan) { o.post(planChanged{p}) }

// applyFleetPlan applies a revision of the pool's part of the fleet plan.
func (o *Owner) applyFleetPlan(plan PoolPlan) {
	if plan.Rev < o.fleetPlan.Rev {
		return
	}
	o.fleetPlan = plan
	for id := range plan.Ended {
		if h := o.hosts[id]; h != nil {
			o.noteFenced(h.id, h.startedMs)
			o.endIncarnation(h, "its host was moved or maintained")
		}
		o.endHoldsAt(id)
	}
	for _, h := range o.hosts {
		task := plan.Release[h.id]
		if task == h.releaseTask {
			continue
		}
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int64("task", task).Int64("rev", plan.Rev).
			Int("runs", len(h.runs)).Msg("fleet plan changed the release of a worker")
		h.releaseTask = task
		o.passNeeded, o.digestDue = true, true
		if task == 0 && h.failingSince.IsZero() {
			// The task may have been carried out, which ends the incarnation: the worker
			// must answer a poll before it gets work again.
			h.failingSince, h.nextPoll = o.Clock.Now(), time.Time{}
		}
	}
}

// endHoldsAt lets the subtasks start again that unanswered starts at a worker hold back, as the
// move or the maintenance of its host has ended the worker for good. Without this, a subtask of
// a worker that was given up waits for 22 s.
func (o *Owner) endHoldsAt(worker string) {
	now := o.Clock.Now()
	for _, u := range o.unanswered[worker] {
		if !u.blocked && u.mayRunUntil().After(now) {
			o.endHold(u, now, "its host was moved or maintained")
		}
	}
}

// isEmpty reports whether a worker is known to have no runs, no ends to store or
// acknowledge, and no poll under way. One that has not answered may have runs of an
// earlier owner until the takeover is done.
func (o *Owner) isEmpty(h *host) bool {
	return (h.answered || o.takeoverDone) && len(h.runs) == 0 && !h.awaitsJobs && !h.endsUnstored() && h.ackable <= h.acked && !h.polling
}

// countLongRunning returns the number of long-running subtasks on the worker.
func (h *host) countLongRunning() int {
	n := 0
	for _, p := range h.runs {
		if p.task.Step.LongRunning {
			n++
		}
	}
	return n
}

// stopOnReleased stops long-running subtasks on workers that are to be emptied for
// maintenance, as many at a time as their steps allow to be unavailable. Other subtasks
// end by themselves, unless the time for the maintenance is nearly over: then they are
// stopped as well, and start again elsewhere, if possible from their checkpoints. A worker whose host is to move had no long-running subtasks when
// that was planned; if one has started there since, the move is withdrawn.
func (o *Owner) stopOnReleased(now time.Time) {
	// An earlier owner's stops may still be under way while reports list their
	// subtasks as serving.
	if now.Sub(o.startedAt) < o.Bounds.StopTime+maxReportAge {
		return
	}
	for _, h := range o.hosts {
		if h.resting {
			o.stopOnResting(h, now)
		}
		if h.releaseTask == 0 || !o.fleetPlan.Stop[h.id] {
			continue
		}
		for _, p := range h.runs {
			switch {
			case p.stopping || p.task.Phase != steps.Running:
			case p.task.Step.LongRunning && o.mayStop(p.task, now):
				o.stopRun(h, p, "worker is released")
			case !p.task.Step.LongRunning && o.fleetPlan.StopAll[h.id]:
				o.stopRun(h, p, "maintenance of the host is urgent")
			}
		}
	}
}

// mayStop reports whether a long-running subtask may be stopped without exceeding
// the number of unavailable subtasks that its step allows. A later owner may have stopped others.
func (o *Owner) mayStop(t *steps.Task, now time.Time) bool {
	if !o.inCharge() {
		return false
	}
	unavailable := t.FreshSiblings()
	t.EachSibling(func(other *steps.Task) {
		if other != t && !o.isServing(other, now) {
			unavailable++
		}
	})
	return unavailable < max(t.Step.MaxUnavailable, 1)
}

// maxReportAge is the age, from the sending of the poll, up to which a worker's last
// report counts as current. Just before a poll that waits for an end returns, the
// report of the one before it is two waits old. A subtask that has been down for no
// longer than this doesn't count as unavailable yet.
const maxReportAge = 2*pollWait + 500*time.Millisecond

// isServing reports whether a long-running subtask is known to serve. On a worker
// that does not answer, it may be down as well.
func (o *Owner) isServing(t *steps.Task, now time.Time) bool {
	h := o.hosts[t.WorkerID]
	return t.Serving() && h != nil && h.failingSince.IsZero() && now.Sub(h.lastReport) < maxReportAge
}
