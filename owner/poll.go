package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// pendingAck is an end that may be forgotten when its job is stored at a version.
type pendingAck struct {
	number  int64
	job     *job
	version int
}

// pollResult is a worker's report, or the lack of it.
type pollResult struct {
	host       *host
	report     runs.Report
	sent       time.Time
	acked      int64
	leaseUntil int64
	err        error
}

// pollDue tells whether a worker is to be asked now.
func (h *host) pollDue(now time.Time) bool {
	if h.polling || now.Before(h.nextPoll) {
		return false
	}
	return !h.answered || len(h.runs) > 0 || h.ackable > h.acked || len(h.unacked) > 0 || !h.failingSince.IsZero()
}

// pollHosts renews leases and asks for reports.
func (o *Owner) pollHosts(now time.Time) {
	for _, h := range o.hosts {
		if h.pollDue(now) {
			o.poll(h, now)
		}
	}
}

func (o *Owner) poll(h *host, now time.Time) {
	h.polling = true
	n := runs.Renew{Fence: o.Fence}
	if h.failingSince.IsZero() {
		// Numbers of ends start anew with an incarnation: one that does not answer
		// may be another, which would forget ends that nobody has read.
		n.AckedThrough = h.ackable
	}
	if h.answered && h.failingSince.IsZero() && len(h.runs) > 0 {
		// A worker that does not answer gets no longer lease, or its end would
		// move away with each look.
		n.UntilMs = h.clockAtTime(now) + o.leaseLength().Milliseconds()
	}
	if h.failingSince.IsZero() && h.answered && len(h.runs) > 0 && len(h.unacked) == 0 {
		n.WaitMs = int(pollWait.Milliseconds())
		if h.servesAndFills() {
			n.WaitMs = int(mixedPollWait.Milliseconds())
		}
	}
	o.Stats.Polls.Inc(1)
	to := h.target()
	go func() {
		r, err := o.Workers.Renew(o.ctx, to, n)
		o.post(pollResult{h, r, now, n.AckedThrough, n.UntilMs, err})
	}()
}

func (o *Owner) handlePoll(m pollResult) {
	h, now := m.host, o.Clock.Now()
	h.polling = false
	h.leaseUntil = max(h.leaseUntil, m.leaseUntil)
	if o.hosts[h.id] != h {
		return // its life was over meanwhile
	}
	if m.err != nil {
		o.pollFailed(h, m.err, now)
		return
	}
	if m.report.StartedMs != 0 && h.startedMs != 0 && m.report.StartedMs != h.startedMs {
		w := h.worker
		o.endIncarnation(h, "another incarnation answers")
		w.StartedMs = m.report.StartedMs
		o.updateWorker(w, now)
		return
	}
	if !h.failingSince.IsZero() {
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Dur("away", now.Sub(h.failingSince)).Msg("worker answers again")
		h.failingSince = time.Time{}
		o.passNeeded = true
	}
	if !h.answered {
		h.answered = true
		o.passNeeded = true
	}
	if m.report.StartedMs != 0 {
		h.startedMs = m.report.StartedMs
	}
	// The clock was read when the worker answered, which for a look that waits is
	// long after it was sent: a lease must not be taken to end before it does.
	h.clock, h.clockAt, h.lastReport = m.report.ClockMs, now, m.sent
	h.acked = max(h.acked, m.acked)
	o.handleEnds(h, m.report.Ended)
	o.reconcileRuns(h, m.report, m.sent, now)
	o.adjustFillShare(h)
	o.ackStoredEnds()
	o.digestDue = o.digestDue || h.releaseTask != 0 && h.isEmpty()
	h.nextPoll = now.Add(pollGap)
	switch {
	case len(h.unacked) > 0:
		h.nextPoll = now.Add(pollGapUnstored)
	case h.firstWithheld != 0:
		h.nextPoll = now.Add(pollGapWithheld)
	}
}

func (o *Owner) pollFailed(h *host, err error, now time.Time) {
	o.Stats.PollsFailed.Inc(1)
	h.nextPoll = now.Add(pollRetryDelay)
	switch {
	case errors.Is(err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	case errors.Is(err, runs.ErrIncarnation):
		o.endIncarnation(h, "another worker answers at the address")
	case errors.Is(err, context.Canceled):
	case h.failingSince.IsZero():
		h.failingSince = now
		o.Log.Warn().Str("pool", o.Pool).Str("host", h.id).Int("runs", len(h.runs)).Err(err).Msg("worker does not answer")
	}
}

// handleEnds takes in the ends that are new, in their order.
func (o *Owner) handleEnds(h *host, ends []runs.End) {
	slices.SortFunc(ends, func(a, b runs.End) int { return int(a.Number - b.Number) })
	lapse := int64(0) // the last end by a lease
	for _, e := range ends {
		if e.Outcome == runs.LeaseExpired {
			lapse = e.Number
		}
	}
	for _, e := range ends {
		if e.Number <= h.lastEnd {
			continue
		}
		h.lastEnd = e.Number
		if h.firstWithheld != 0 {
			h.withheld++
		}
		if o.superseded(e) && e.Number > lapse {
			o.withholdAck(h, e)
			continue
		}
		o.handleEnd(h, e)
	}
}

// superseded tells whether a run ended done after its subtask was, or may have
// been, begun anew: its worker had been given up, and nobody had read the end.
func (o *Owner) superseded(e runs.End) bool {
	j := o.jobs[e.Task.Job]
	if j == nil || e.Outcome != runs.Done {
		return false
	}
	t := j.progress.Task(e.Task)
	return t != nil && !t.Step.LongRunning && !t.Step.Speculative && (e.Run < t.Run || e.Run <= t.HighestVoidRun)
}

// withholdAck leaves an end unread: the later run counts, and a worker that is told
// to forget the end could take both for done.
func (o *Owner) withholdAck(h *host, e runs.End) {
	if h.firstWithheld == 0 {
		h.firstWithheld, h.withheld = e.Number, 1
	}
	o.Log.Warn().Str("task", e.Task.String()).Int("run", e.Run).Str("host", h.id).Int64("number", e.Number).
		Msg("end of a run that does not count is left unread")
	if p := h.runs[e.Task]; p != nil && p.run == e.Run {
		o.freeRoom(h, p)
	}
}

// ackStoredEnds lets workers forget the ends that are stored.
func (o *Owner) ackStoredEnds() {
	for _, h := range o.hosts {
		for len(h.unacked) > 0 {
			e := h.unacked[0]
			if h.firstWithheld != 0 && e.number >= h.firstWithheld {
				h.unacked = nil
				break
			}
			if e.job != nil && e.job.stored < e.version {
				break
			}
			h.ackable = e.number
			h.unacked = h.unacked[1:]
		}
	}
}

// reconcileRuns compares what a worker runs with what it should.
func (o *Owner) reconcileRuns(h *host, r runs.Report, sent, now time.Time) {
	present := make(map[runs.Task]int, len(r.Running))
	for _, v := range r.Running {
		present[v.Task] = v.Run
		o.reconcileRun(h, v, now)
	}
	for id, p := range h.runs {
		if present[id] == p.run || p.confirmedAt.IsZero() || !p.confirmedAt.Before(sent) {
			continue
		}
		if p.stopping && (p.stoppedAt.IsZero() || !p.stoppedAt.Before(sent)) {
			continue
		}
		o.runVanished(h, p)
	}
}

// reconcileRun takes in one run at work.
func (o *Owner) reconcileRun(h *host, v runs.Running, now time.Time) {
	if p := h.runs[v.Task]; p != nil && p.run == v.Run {
		if p.confirmedAt.IsZero() {
			o.confirmStart(p, now)
		}
		if p.task.Run == v.Run {
			p.task.Percent, p.task.TailOrCPU = v.Percent, v.TailOrCPU
			if v.Checkpoint != "" {
				p.task.Checkpoint = v.Checkpoint
			}
			o.stopIfSlow(h, p, now)
		}
		return
	}
	o.handleUnknownRun(h, v, now)
}

// handleUnknownRun takes in a run that the owner has not ordered in this term: an
// earlier owner's is kept if the subtask has no other, else it is stopped.
func (o *Owner) handleUnknownRun(h *host, v runs.Running, now time.Time) {
	if h.runs[v.Task] != nil {
		return // the report is older than the order in the table
	}
	j := o.jobs[v.Task.Job]
	var t *steps.Task
	if j != nil {
		t = j.progress.Task(v.Task)
	}
	if t == nil {
		o.Log.Error().Str("task", v.Task.String()).Int("run", v.Run).Str("host", h.id).Msg("a run that no job names")
		o.stopUnknownRun(h, v.Task, v.Run)
		return
	}
	p := &placement{task: t, job: j, run: v.Run, confirmedAt: now, leaseUntil: h.leaseUntil}
	o.takeRoom(h, p)
	o.adoptShare(h, p)
	if j.progress.Outcome == steps.Open && t.Phase == steps.Waiting && v.Run >= t.Run {
		t.Phase, t.WorkerID, t.Run, t.PhaseSince = steps.Running, h.id, v.Run, now
		t.Percent, t.TailOrCPU = v.Percent, v.TailOrCPU
		if v.Checkpoint != "" {
			t.Checkpoint = v.Checkpoint
		}
		j.progress.Started = true
		o.Log.Info().Str("task", v.Task.String()).Int("run", v.Run).Str("host", h.id).Msg("run adopted")
		return
	}
	o.Log.Warn().Str("task", v.Task.String()).Int("run", v.Run).Str("host", h.id).Int("current", t.Run).Msg("stray run")
	o.stopRun(h, p, "stray run")
}

// runVanished takes in that a confirmed run is neither at work nor listed as ended.
func (o *Owner) runVanished(h *host, p *placement) {
	o.freeRoom(h, p)
	t := p.task
	if t.WorkerID == h.id && t.Run == p.run && t.Phase != steps.Finished {
		t.Phase, t.WorkerID = steps.Waiting, ""
	}
	o.passNeeded = true
	o.Log.Info().Str("task", t.ID.String()).Int("run", p.run).Str("host", h.id).Bool("stopping", p.stopping).Msg("run is gone")
}
