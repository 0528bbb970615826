package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// maxOrderDelay is how long after it was sent a start without an answer may still
// be carried out: the platform may carry out a call up to 12 seconds after it was
// sent.
const maxOrderDelay = 12 * time.Second

// forgetInterval is how often orders are dropped that can't be carried out any more: there
// may be thousands of them.
const forgetInterval = 200 * time.Millisecond

// stopSlack is added to Bounds.StopTime, which the worker measures by its own clock.
const stopSlack = 20 * time.Millisecond

const (
	// minAnswerTimeout is how long each of the first quickTries tries of a call to a
	// worker may take: it normally takes milliseconds. Each further one may take twice as
	// long, so that slow workers are heard as well, up to maxAnswerTimeout.
	minAnswerTimeout = 150 * time.Millisecond
	maxAnswerTimeout = 700 * time.Millisecond
	quickTries       = 4
	quickRetryDelay  = 25 * time.Millisecond
	// lossyPollWait replaces pollWait until lossyPeriod after a call to the worker got no
	// answer: a poll whose answer is lost is found out only when its wait is over.
	lossyPollWait = 100 * time.Millisecond
	lossyPeriod   = 5 * time.Second
	// maxBlocksInDoubt limits the calls under way that block starts at a worker that may be
	// up: its other calls need connections and CPU too.
	maxBlocksInDoubt = 4
)

// answerTimeout returns how long the answer to the given try of a call may take, from 1.
func answerTimeout(try int) time.Duration {
	d := minAnswerTimeout
	for ; try > quickTries && d < maxAnswerTimeout; try-- {
		d *= 2
	}
	return min(d, maxAnswerTimeout)
}

// retryDelay returns the delay before a call whose given try got no answer is made again;
// usual is the delay after the quick tries.
func retryDelay(try int, usual time.Duration) time.Duration {
	if try < quickTries {
		return quickRetryDelay
	}
	return usual
}

// unansweredStart is a start without an answer, or one that a later incarnation of the worker
// may have answered. The worker, or a later incarnation with the same ID, may still carry it out.
type unansweredStart struct {
	task *steps.Task
	run  int
	sent time.Time // of the last try
	to   runs.Target
	// leaseUntil is when the lease is over of a later incarnation that has carried the start out
	// already; zero until the worker is lost.
	leaseUntil time.Time
	// blocking tells that a call to block the start is under way, and blocked that the
	// worker that answers at the address refuses it.
	blocking, blocked bool
	// toBlock tells that a call to block the start is to be sent, and blockTries counts those
	// without an answer.
	toBlock    bool
	blockTries int
	// overtaken tells that the call under way may be answered by an incarnation that is gone.
	overtaken bool
	born      int64 // start of the incarnation for which it is meant
}

// mayArriveUntil is when the start can't be carried out any more.
func (u *unansweredStart) mayArriveUntil() time.Time { return u.sent.Add(maxOrderDelay) }

// mayRunUntil is when the run can't be at work any more.
func (u *unansweredStart) mayRunUntil() time.Time { return later(u.mayArriveUntil(), u.leaseUntil) }

// blockResult is the result of the stop that makes a worker refuse an unanswered
// start.
type blockResult struct {
	start *unansweredStart
	err   error
}

// recordUnanswered records a start without an answer.
func (o *Owner) recordUnanswered(h *host, p *placement) {
	o.recordLateOrder(h, p.lastSentAt(), false)
	h.unansweredAt = o.Clock.Now()
	t := p.task
	if j := o.jobs[t.ID.Job]; j != nil {
		t = j.progress.Task(t.ID) // one that is done may have got another state since the run was ordered
	}
	t.LateUntil = later(t.LateUntil, p.lastSentAt().Add(maxOrderDelay))
	if u := o.unansweredStart(h.id, t, p.run); u != nil {
		u.sent, u.blocked = p.lastSentAt(), false
		return
	}
	o.unanswered[h.id] = append(o.unanswered[h.id], &unansweredStart{task: t, run: p.run, sent: p.lastSentAt(), to: h.target(), born: h.startedMs})
}

// unansweredStart returns the start of a run at a worker that has got no answer, or nil.
func (o *Owner) unansweredStart(worker string, t *steps.Task, run int) *unansweredStart {
	for _, u := range o.unanswered[worker] {
		if u.task.ID == t.ID && u.run == run {
			return u
		}
	}
	return nil
}

// lateStartUntil returns until when a later incarnation of a worker may start the subtask of an
// end: once the end is acknowledged, the subtask must not start again. That a start is refused binds
// one incarnation only.
func lateStartUntil(t *steps.Task, e runs.End) time.Time {
	if t.Step.LongRunning || e.Outcome != runs.Done && e.Outcome != runs.Failed {
		return time.Time{}
	}
	return t.LateUntil
}

// forgetUnanswered drops the starts and other orders that can't be carried out any more.
func (o *Owner) forgetUnanswered(now time.Time) {
	if now.Sub(o.forgottenAt) < forgetInterval {
		return
	}
	o.forgottenAt = now
	o.forgetLateOrders(now)
	o.forgetLapsed(now)
	o.forgetRemoved(now)
	o.refreshLongerLeases(now)
	o.refreshDoubts(now)
	o.dropIntents(now)
	for id, list := range o.unanswered {
		list = slices.DeleteFunc(list, func(u *unansweredStart) bool {
			over := now.After(u.mayRunUntil())
			if over {
				o.settleDoubt(u.task, id, u.run)
				u.task.EndLate(now)
			}
			return over
		})
		o.unanswered[id] = list
		if len(list) == 0 {
			delete(o.unanswered, id)
		}
	}
}

// holdBack delays the next start of a subtask whose worker is gone, if a start there may
// still be carried out, or a later incarnation may have: that knows nothing of what this one has
// run or refused, and has taken its longest lease.
func (o *Owner) holdBack(h *host, p *placement) {
	if p.origin != originMeant || p.startInFlight() {
		o.recordUnanswered(h, p)
	}
	for _, u := range o.unanswered[h.id] {
		if u.task.ID != p.task.ID {
			continue
		}
		u.leaseUntil = later(u.leaseUntil, o.nextLeaseUntil(h, p))
		if !u.mayRunUntil().After(o.Clock.Now()) {
			continue
		}
		p.task.HeldUntil = later(p.task.HeldUntil, u.mayRunUntil())
		o.storeDoubt(u.task, u)
		o.Log.Info().Str("task", p.task.ID.String()).Int("run", u.run).Str("host", h.id).Dur("age", o.Clock.Since(u.sent)).
			Msg("subtask held back: its last start may still be carried out")
	}
}

// nextLeaseUntil returns until when a later incarnation that has carried out the start of a run by now
// holds its lease at the latest. If it may have answered the start, all orders since may reach
// it, else only those that are not late.
func (o *Owner) nextLeaseUntil(h *host, p *placement) time.Time {
	last := later(p.lastSentAt(), h.leasedBy)
	if !p.confirmedAt.IsZero() && p.origin != originMeant {
		for _, l := range o.lateOrders[h.id] {
			last = later(last, l.lease)
		}
	}
	return last.Add(o.longestLease())
}

// blockUnansweredStarts makes whatever answers next at the address of a worker refuse the
// starts that this one has not answered, but for those of runs that it has.
func (o *Owner) blockUnansweredStarts(h *host) {
	for _, u := range o.unanswered[h.id] {
		if p := h.runs[u.task.ID]; p != nil && p.run == u.run {
			continue
		}
		u.blocked, u.toBlock, u.blockTries, u.overtaken = false, true, 0, u.blocking
	}
	o.sendBlocks(h.id)
}

// sendBlocks sends the calls that block starts at a worker. While the worker may be up, only a
// few are under way at a time.
func (o *Owner) sendBlocks(worker string) {
	list, now := o.unanswered[worker], o.Clock.Now()
	atOnce := maxBlocksInDoubt
	if h := o.hosts[worker]; h == nil || slices.ContainsFunc(list, func(u *unansweredStart) bool { return u.born != h.startedMs }) {
		atOnce = len(list)
	}
	for _, u := range list {
		if u.blocking {
			atOnce--
		}
	}
	for _, u := range list {
		if atOnce <= 0 {
			return
		}
		if u.toBlock && !u.blocking && u.mayRunUntil().After(now) {
			o.blockStart(u)
			atOnce--
		}
	}
}

// leaveUnblocked takes back the calls that are to block the starts at a worker that is up
// after all, but for those that hold a subtask back.
func (o *Owner) leaveUnblocked(h *host, now time.Time) {
	for _, u := range o.unanswered[h.id] {
		if u.born == h.startedMs && !u.task.HeldUntil.After(now) {
			u.toBlock = false
		}
	}
}

// blockStart stops the run of an unanswered start, after which the worker refuses
// to start it.
func (o *Owner) blockStart(u *unansweredStart) {
	u.blocking = true
	u.blockTries++
	to, s := u.to, runs.Stop{Task: u.task.ID, Run: u.run, Fence: o.Fence}
	within, pause := answerTimeout(u.blockTries), retryDelay(u.blockTries, orderRetryDelay)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, within)
		defer cancel()
		_, err := o.Workers.Stop(ctx, to, s)
		if err != nil {
			o.sleep(o.ctx, pause)
		}
		o.post(blockResult{u, err})
	}()
}

// handleBlocked lets a subtask start again if its unanswered start can't be carried out
// any more, else retries the stop unless the worker has turned out to be up.
func (o *Owner) handleBlocked(m blockResult) {
	u, now := m.start, o.Clock.Now()
	u.blocking = false
	overtaken := u.overtaken
	u.overtaken = false
	switch {
	case errors.Is(m.err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	case overtaken:
	case m.err == nil:
		// The start may have been carried out before the stop.
		o.endHold(u, now.Add(o.Bounds.StopTime+stopSlack), "the worker refuses it")
	case errors.Is(m.err, runs.ErrStaleRun):
		o.endHold(u, now, "the worker refuses it")
	case errors.Is(m.err, runs.ErrIncarnation):
		o.endHold(u, now, "another worker answers at the address")
	}
	o.sendBlocks(u.to.ID)
}

// endHold lets the subtask of a blocked start begin again at the given time, unless another
// start may still be carried out.
func (o *Owner) endHold(u *unansweredStart, at time.Time, why string) {
	u.blocked, u.toBlock = true, false
	o.Log.Info().Str("task", u.task.ID.String()).Int("run", u.run).Str("host", u.to.ID).Dur("age", o.Clock.Since(u.sent)).
		Str("cause", why).Msg("unanswered start can't be carried out any more")
	o.settleDoubt(u.task, u.to.ID, u.run)
	for _, other := range o.unanswered[u.to.ID] {
		if other.task.ID == u.task.ID && !other.blocked {
			return
		}
	}
	u.task.HeldUntil = later(at, o.heldElsewhere(u))
	o.passNeeded = true
}

// heldElsewhere returns until when starts at other workers hold the subtask of a blocked one back.
func (o *Owner) heldElsewhere(blocked *unansweredStart) time.Time {
	var until time.Time
	for id, list := range o.unanswered {
		for _, u := range list {
			if id != blocked.to.ID && u.task.ID == blocked.task.ID && !u.blocked && !u.leaseUntil.IsZero() {
				until = later(until, u.mayRunUntil())
			}
		}
	}
	return until
}
