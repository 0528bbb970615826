package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// pendingAck is an end that may be acknowledged to its worker once the job's record
// is stored at the version, and from notBefore on. job is nil if the end belongs to no
// known job.
type pendingAck struct {
	number    int64
	job       *job
	task      *steps.Task // nil if the end belongs to no known subtask
	version   int
	notBefore time.Time
	// withheld tells that the worker must not hear that the end is read, as its run does not
	// count: not before the worker's lease has lapsed.
	withheld bool
}

// stored reports whether nothing is lost if the worker forgets the end.
func (a *pendingAck) stored() bool { return a.job == nil || a.job.stored >= a.version }

// pollResult is the result of a poll: a worker's report or an error.
type pollResult struct {
	host    *host
	address string // that was called
	report  runs.Report
	sent    time.Time
	begun   time.Duration // sent, by SinceBoot
	wait    time.Duration // that the worker was allowed
	acked   int64         // the highest end acknowledged by the poll
	leased  bool          // the poll extended the lease
	copies  copies
	err     error
}

// pollDue reports whether a worker is to be polled now.
func (h *host) pollDue(now time.Time) bool {
	if h.polling || now.Before(h.nextPoll) {
		return false
	}
	return !h.answered || h.confirming || h.awaitsJobs || h.awaitsStarts || h.proofDue || len(h.runs) > 0 || h.ackable > h.acked || len(h.unacked) > 0 || !h.failingSince.IsZero() || now.Sub(h.clockAt) > maxClockAge
}

// pollHosts polls the workers that are due.
func (o *Owner) pollHosts(now time.Time) {
	o.markLosses(now)
	o.hostsAtWork = 0
	for _, h := range o.hosts {
		if len(h.runs) > 0 {
			o.hostsAtWork++
		}
		o.askClaimant(h, now)
		h.awaitsStarts = len(o.unanswered[h.id]) > 0
		h.proofDue = o.inDoubt && now.Sub(h.clockAt) >= doubtPollInterval || o.formerOrdersMayCome(now) && now.Sub(h.clockAt) >= formerPollInterval
		if h.pollDue(now) {
			o.poll(h, now)
		}
	}
}

// poll renews a worker's lease, acknowledges ends and asks for a report.
func (o *Owner) poll(h *host, now time.Time) {
	h.polling = true
	n := runs.Renew{Fence: o.Fence}
	if h.failingSince.IsZero() && h.ackable > h.acked && !h.hasUnprovenStart() {
		// Each incarnation numbers its ends from 1. A worker that does not answer may
		// have been replaced by another incarnation, which would drop ends that no
		// owner has read.
		n.AckedThrough = h.ackable
	}
	if h.answered && h.failingSince.IsZero() && h.needsLease() && o.mayLease(h) {
		// The lease of a worker that does not answer is not extended: otherwise each
		// poll would postpone the time at which it expires.
		n.UntilMs = h.workerClock(now) + o.leaseLength().Milliseconds()
		h.leaseUntil = max(h.leaseUntil, n.UntilMs)
		o.countLease()
	}
	if h.failingSince.IsZero() && h.answered && !h.confirming && (len(h.runs) > 0 || h.awaitsStarts) && len(h.unacked) == 0 {
		wait := pollWait
		switch trial := o.trialWait(h); {
		case trial > 0:
			wait = trial
		case h.startsLongRunning():
			wait = startPollWait
		case h.servesAndFills():
			wait = mixedPollWait
		}
		if o.inDoubt {
			wait = min(wait, doubtPollWait)
		}
		if h.losesCalls(now) {
			wait = min(wait, lossyPollWait)
		}
		n.WaitMs = int(wait.Milliseconds())
	}
	h.polledAt, h.pollAcks = now, n.AckedThrough > 0
	o.Stats.Polls.Inc(1)
	to, wait, begun := h.target(), time.Duration(n.WaitMs)*time.Millisecond, o.roundAt
	delay := h.copyDelay(now)
	within := wait + tryTimeout(h.failedPolls+1, delay)
	if n.UntilMs > 0 {
		h.leasedBy = now.Add(within)
	}
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, within)
		defer cancel()
		r, c, err := callWorker(ctx, o.Clock, wait, delay, func(ctx context.Context, number int) (runs.Report, error) {
			if number > 0 {
				// As after a poll without an answer: no lease, no acknowledgement, no wait.
				return o.Workers.Renew(ctx, to, runs.Renew{Fence: n.Fence})
			}
			return o.Workers.Renew(ctx, to, n)
		})
		o.post(pollResult{h, to.Address, r, now, begun, wait, n.AckedThrough, n.UntilMs > 0, c, err})
	}()
}

// hasUnprovenStart reports whether a start may have been carried out by an incarnation that nobody
// has heard of, whose ends an acknowledgement to the former one would drop.
func (h *host) hasUnprovenStart() bool {
	for _, p := range h.runs {
		if p.origin != originMeant && p.startSentAt.After(h.lastReport) {
			return true
		}
	}
	return false
}

// startsLongRunning reports whether a long-running subtask on the worker is not in
// service yet.
func (h *host) startsLongRunning() bool {
	for _, p := range h.runs {
		if p.task.Step.LongRunning && p.task.Phase == steps.Running && !p.task.Serving() {
			return true
		}
	}
	return false
}

// handlePoll applies a worker's report.
func (o *Owner) handlePoll(m pollResult) {
	h, now := m.host, o.Clock.Now()
	h.polling = false
	if o.hosts[h.id] != h {
		return // the incarnation ended meanwhile
	}
	if h.confirming && m.wait == 0 {
		h.confirming, o.passNeeded = false, true
	}
	h.noteAnswer(m.copies)
	if m.copies.answered > 0 {
		h.unansweredAt = now
		o.recordLateOrder(h, m.sent, m.acked > 0)
		m.acked, m.copies = 0, copies{}
	}
	if m.err != nil {
		o.pollFailed(m, now)
		return
	}
	o.handleReport(m, now)
}

// handleReport applies the report of a worker that has answered a poll.
func (o *Owner) handleReport(m pollResult, now time.Time) {
	h := m.host
	if m.report.StartedMs != 0 && h.startedMs != 0 && m.report.StartedMs != h.startedMs {
		o.takeIncarnation(h, m)
		return
	}
	if !h.besideAt.Before(m.sent) && m.report.ClockMs < h.clock {
		return // older than the last one that was read
	}
	o.refuteByPoll(h, m.sent)
	if now.Sub(m.sent)-m.wait < minAnswerTimeout {
		h.failedPolls = 0 // else it is slow, and the next calls may take as long
	}
	if !h.failingSince.IsZero() {
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Dur("away", now.Sub(h.failingSince)).Msg("worker is answering again")
		h.failingSince = time.Time{}
		o.electorates.changed = o.electorates.changed || h.givenUp
		h.givenUp = false
		o.leaveUnblocked(h, now)
		o.passNeeded = true
	}
	lapsed, first := false, !h.answered
	if first {
		lapsed = o.lapsedBefore(h, &m)
		h.answered, h.firstClock = true, m.report.ClockMs
		o.enterRoster(h)
		o.passNeeded = true
		h.leaseUntil = max(h.leaseUntil, m.report.ClockMs+o.inheritedLease(h, now).Milliseconds())
	}
	if m.report.StartedMs != 0 {
		h.startedMs = m.report.StartedMs
	}
	// The worker read its clock when it answered, which may be long after the poll
	// was sent. Counting from the sending would let the lease seem to expire early.
	h.clock, h.clockAt, h.lastReport, h.obeyedAt = m.report.ClockMs, now, later(h.lastReport, m.sent), max(h.obeyedAt, m.begun)
	h.unconfirmed = false
	o.noteFenced(h.id, h.startedMs)
	h.acked = max(h.acked, m.acked)
	h.endsLeftOut = !listsAllEnds(&m.report)
	h.idle = len(m.report.Running) == 0 && !listsAllEnds(&m.report)
	h.recordLapse(&m.report, lapsed)
	h.awaitsJobs, h.endsBlocked = false, false
	o.handleEnds(h, m.report.Ended)
	o.reconcileRuns(h, m.report, m.sent, now)
	o.noteReported(h, m.sent)
	if first {
		o.blockUnansweredStarts(h)
	}
	o.observeTails(h, now)
	o.adjustFillShare(h)
	o.ackStoredEnds()
	o.digestDue = o.digestDue || h.releaseTask != 0 && o.isEmpty(h)
	h.nextPoll = now.Add(o.pollPause())
	switch {
	case h.endsUnstored():
		h.nextPoll = now.Add(pollGapUnstored)
	case len(h.unacked) > 0:
		h.nextPoll = now.Add(pollGapWithheld)
	}
}

// pollPause returns the pause after a poll.
func (o *Owner) pollPause() time.Duration {
	return max(pollGap, min(pollGap*time.Duration(o.hostsAtWork)/hostsPerPollGap, maxPollGap))
}

// pollFailed handles a poll that returned an error.
func (o *Owner) pollFailed(m pollResult, now time.Time) {
	h, err := m.host, m.err
	o.Stats.PollsFailed.Inc(1)
	if errors.Is(err, plat.ErrUnknown) {
		o.recordLateOrder(h, m.sent, m.acked > 0)
	}
	h.failedPolls++
	h.nextPoll, h.unansweredAt = now.Add(retryDelay(h.failedPolls, pollRetryDelay)), now
	switch {
	case errors.Is(err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	case errors.Is(err, runs.ErrIncarnation):
		o.evictIncarnation(h)
	case errors.Is(err, context.Canceled):
	case h.failingSince.IsZero():
		h.failingSince = now
		o.blockUnansweredStarts(h) // it may restart before that is noticed
		o.storeDoubts(h)
		if connectionBroken(err) {
			o.recordBreak(h, err, now)
		}
		o.Log.Warn().Str("pool", o.Pool).Str("host", h.id).Int("runs", len(h.runs)).Err(err).Msg("worker does not answer polls")
	}
}

// handleEnds handles the new ends of a report, in order of their numbers.
func (o *Owner) handleEnds(h *host, ends []runs.End) {
	slices.SortFunc(ends, func(a, b runs.End) int { return int(a.Number - b.Number) })
	o.releaseWithheld(h)
	for _, e := range ends {
		if e.Number <= h.lastEnd {
			continue
		}
		if o.awaitSpilled(h, e.Task.Job) {
			h.endsBlocked = true
			return // the worker lists its ends again
		}
		h.lastEnd = e.Number
		// A run that ended as done before a lapse saves the one that has replaced it. One that
		// failed would use up an attempt.
		if o.superseded(e) && (e.Number > h.lapsedThrough || e.Outcome == runs.Failed) {
			o.ignoreEnd(h, e)
			continue
		}
		o.handleEnd(h, e)
	}
}

// superseded reports whether the end of a run must not count, as its subtask has
// started again since: the worker had been given up before the end was read. That
// is so for a run that ended as done, and for a failure after which the subtask had
// no attempt left.
func (o *Owner) superseded(e runs.End) bool {
	j := o.jobs[e.Task.Job]
	if j == nil {
		return false
	}
	t := j.progress.Task(e.Task)
	if t == nil || t.Step.LongRunning || t.Step.Speculative {
		return false
	}
	switch e.Outcome {
	case runs.Done:
		return e.Run < t.Run || e.Run <= t.HighestVoidRun
	case runs.Failed:
		return t.ExceedsAttempts(e.Run)
	default:
		return false
	}
}

// ignoreEnd ignores the end of a superseded run: the later run counts. The end is not
// acknowledged before the worker's lease has lapsed, as both runs would count then.
func (o *Owner) ignoreEnd(h *host, e runs.End) {
	withhold := e.Number > h.lapsedThrough
	if j := o.jobs[e.Task.Job]; j != nil {
		if t := j.progress.Task(e.Task); t != nil {
			defer t.Release()
			o.withholdEnds(j, t)
		}
	}
	h.unacked = append(h.unacked, pendingAck{number: e.Number, withheld: withhold})
	if withhold {
		o.countWithheld(h, 1)
	}
	o.identify(o.Log.Warn()).Str("task", e.Task.String()).Int("run", e.Run).Str("host", h.id).Int64("number", e.Number).Bool("withheld", withhold).
		Msg("ignoring the end of a superseded run")
	if p := h.runs[e.Task]; p != nil && p.run == e.Run {
		o.freeRoom(h, p)
	}
}

// withholdEnds withholds the ends of a subtask that wait for late copies of its starts: one has been
// carried out, and perhaps after them. They are acknowledged once their workers' leases have lapsed. If the
// subtask has ended by one of them, that is recorded as a run that doesn't count, so that this and later
// owners withhold it wherever it is listed.
func (o *Owner) withholdEnds(j *job, t *steps.Task) {
	if !o.Clock.Now().Before(t.LateUntil) {
		return
	}
	if t.Phase == steps.Finished && t.HighestVoidRun < t.Run {
		t.HighestVoidRun = t.Run
		o.markChanged(&j.doc)
	}
	for _, h := range o.hosts {
		for i := range h.unacked {
			if a := &h.unacked[i]; a.task != nil && a.task.ID == t.ID && !a.notBefore.IsZero() && !a.withheld && a.number > h.lapsedThrough {
				a.withheld = true
				o.countWithheld(h, 1)
				o.identify(o.Log.Warn()).Str("task", t.ID.String()).Str("host", h.id).Int64("number", a.number).
					Msg("withholding the end of a subtask: a late copy of its start was carried out")
			}
		}
	}
}

// endsUnstored reports whether the worker has an end that must not be lost.
func (h *host) endsUnstored() bool {
	return slices.ContainsFunc(h.unacked, func(a pendingAck) bool { return !a.stored() })
}

// ackStoredEnds marks the ends whose records are stored as acknowledgeable.
func (o *Owner) ackStoredEnds() {
	now := o.Clock.Now()
	for _, h := range o.hosts {
		for len(h.unacked) > 0 {
			e := h.unacked[0]
			if e.withheld || !e.stored() || now.Before(e.notBefore) {
				break
			}
			h.ackable = e.number
			h.unacked = h.unacked[1:]
		}
	}
}

// reconcileRuns compares the runs that a worker reports with those ordered. sent is
// when the poll was sent: later changes may be missing from the report.
func (o *Owner) reconcileRuns(h *host, r runs.Report, sent, now time.Time) {
	present := make(map[runs.Task]int, len(r.Running))
	for _, v := range r.Running {
		present[v.Task] = v.Run
		o.reconcileRun(h, v, now)
	}
	for id, p := range h.runs {
		if present[id] == p.run || h.endsBlocked {
			continue
		}
		if p.startRuledOut(r.ClockMs) {
			o.runVanished(h, p)
			continue
		}
		if !listsAllEnds(&r) {
			continue // its end may be among those that are left out
		}
		if p.confirmedAt.IsZero() || !p.confirmedAt.Before(sent) {
			continue
		}
		if p.stopping && (p.stoppedAt.IsZero() || !p.stoppedAt.Before(sent)) {
			continue
		}
		o.runVanished(h, p)
	}
}

// startRuledOut reports whether a long-running run without an answer to its start can't be
// active any more, as a report at clockMs of the worker's clock doesn't list it: the worker
// refuses starts whose lease is over.
func (p *placement) startRuledOut(clockMs int64) bool {
	return p.task.Step.LongRunning && p.confirmedAt.IsZero() && !p.stopping && clockMs > p.leaseUntil
}

// reconcileRun applies the report of one active run.
func (o *Owner) reconcileRun(h *host, v runs.Running, now time.Time) {
	if p := h.runs[v.Task]; p != nil && p.run == v.Run {
		p.origin = originMeant
		if !p.startInFlight() { // else a copy may be under way
			o.settleDoubt(p.task, h.id, p.run)
		}
		p.observe(h.clock)
		o.recordWork(h, p)
		if p.confirmedAt.IsZero() {
			o.confirmStart(p, now)
		}
		if p.task.Run == v.Run {
			p.task.Percent, p.task.TailOrCPU = v.Percent, v.TailOrCPU
			p.task.SaveCheckpoint(v.Run, v.Percent, v.Checkpoint)
			o.stopIfSlow(h, p, now)
		}
		return
	}
	o.handleUnknownRun(h, v, now)
}

// handleUnknownRun handles a run that this owner has not ordered. A run of an earlier
// owner is adopted if the subtask has no other run, else it is stopped.
func (o *Owner) handleUnknownRun(h *host, v runs.Running, now time.Time) {
	if h.runs[v.Task] != nil {
		return // the report is older than the current run
	}
	if o.awaitSpilled(h, v.Task.Job) {
		return
	}
	j := o.jobs[v.Task.Job]
	var t *steps.Task
	if j != nil {
		t = j.progress.Task(v.Task)
	}
	if t == nil {
		o.identify(o.Log.Error()).Str("task", v.Task.String()).Int("run", v.Run).Str("host", h.id).Msg("worker reports a run of an unknown job; stopping it")
		o.stopUnknownRun(h, v.Task, v.Run)
		return
	}
	o.settleDoubt(t, h.id, v.Run)
	p := &placement{task: t, job: j, run: v.Run, confirmedAt: now, origin: originMeant, leaseUntil: h.leaseUntil, startClock: h.clock, startSentAt: o.startedAt}
	o.reserveRoom(h, p)
	o.adoptShare(h, p)
	if j.progress.Outcome == steps.Open && t.Phase == steps.Waiting && v.Run >= t.Run {
		t.Phase, t.WorkerID, t.Run, t.PhaseSince, t.HeldUntil = steps.Running, h.id, v.Run, now, time.Time{}
		t.Percent, t.TailOrCPU = v.Percent, v.TailOrCPU
		if v.Run <= t.HighestVoidRun {
			// The order reached the worker's next incarnation. This run's end counts.
			t.HighestVoidRun = v.Run - 1
			o.markChanged(&j.doc)
		}
		t.SaveCheckpoint(v.Run, v.Percent, v.Checkpoint)
		j.progress.Started = true
		o.identify(o.Log.Info()).Str("task", v.Task.String()).Int("run", v.Run).Str("host", h.id).Msg("adopted a run of an earlier owner")
		return
	}
	o.identify(o.Log.Warn()).Str("task", v.Task.String()).Int("run", v.Run).Str("host", h.id).Int64("born", h.startedMs).Int("current", t.Run).
		Str("currentHost", t.WorkerID).Msg("worker reports a run that is not current; stopping it")
	p.stray = true
	o.strays[t]++
	o.withholdEnds(j, t)
	o.stopRun(h, p, "stray run")
}

// runVanished handles a confirmed run that a report lists neither as active nor as
// ended: its subtask may start again.
func (o *Owner) runVanished(h *host, p *placement) {
	o.freeRoom(h, p)
	t := p.task
	o.retractCrash(p.job, t, p.run)
	if t.WorkerID == h.id && t.Run == p.run && t.Phase != steps.Finished {
		t.Phase, t.WorkerID = steps.Waiting, ""
	}
	o.passNeeded = true
	o.Log.Info().Str("task", t.ID.String()).Int("run", p.run).Str("host", h.id).Bool("stopping", p.stopping).Msg("worker no longer reports the run")
}
