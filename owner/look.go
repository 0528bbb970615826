package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// noted is an end that may be forgotten when its job is stored at a version.
type noted struct {
	number  int64
	job     *job
	version int
}

// looked is a worker's report, or the lack of it.
type looked struct {
	host   *host
	report runs.Report
	sent   time.Time
	told   int64
	until  int64
	err    error
}

// needsLook tells whether a worker is to be asked now.
func (h *host) needsLook(now time.Time) bool {
	if h.looking || now.Before(h.nextLook) {
		return false
	}
	return !h.answered || len(h.runs) > 0 || h.note > h.told || len(h.ends) > 0 || !h.failing.IsZero()
}

// look renews leases and asks for reports.
func (o *Owner) look(now time.Time) {
	for _, h := range o.hosts {
		if h.needsLook(now) {
			o.lookAt(h, now)
		}
	}
}

func (o *Owner) lookAt(h *host, now time.Time) {
	h.looking = true
	n := runs.Renew{Fence: o.Fence}
	if h.failing.IsZero() {
		// Numbers of ends start anew with an incarnation: one that does not answer
		// may be another, which would forget ends that nobody has read.
		n.AckedThrough = h.note
	}
	if h.answered && h.failing.IsZero() && len(h.runs) > 0 {
		// A worker that does not answer gets no longer lease, or its end would
		// move away with each look.
		n.UntilMs = h.now(now) + o.lease().Milliseconds()
	}
	if h.failing.IsZero() && h.answered && len(h.runs) > 0 && len(h.ends) == 0 {
		n.WaitMs = int(lookWait.Milliseconds())
		if h.mixed() {
			n.WaitMs = int(paceWait.Milliseconds())
		}
	}
	o.Stats.Polls.Inc(1)
	to := h.target()
	go func() {
		r, err := o.Workers.Renew(o.ctx, to, n)
		o.post(looked{h, r, now, n.AckedThrough, n.UntilMs, err})
	}()
}

func (o *Owner) takeLook(m looked) {
	h, now := m.host, o.Clock.Now()
	h.looking = false
	h.until = max(h.until, m.until)
	if o.hosts[h.id] != h {
		return // its life was over meanwhile
	}
	if m.err != nil {
		o.lookFailed(h, m.err, now)
		return
	}
	if m.report.StartedMs != 0 && h.born != 0 && m.report.StartedMs != h.born {
		w := h.w
		o.over(h, "another incarnation answers")
		w.StartedMs = m.report.StartedMs
		o.takeWorker(w, now)
		return
	}
	if !h.failing.IsZero() {
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Dur("away", now.Sub(h.failing)).Msg("worker answers again")
		h.failing = time.Time{}
		o.dirty = true
	}
	if !h.answered {
		h.answered = true
		o.dirty = true
	}
	if m.report.StartedMs != 0 {
		h.born = m.report.StartedMs
	}
	// The clock was read when the worker answered, which for a look that waits is
	// long after it was sent: a lease must not be taken to end before it does.
	h.clock, h.clockAt, h.reported = m.report.ClockMs, now, m.sent
	h.told = max(h.told, m.told)
	o.takeEnds(h, m.report.Ended)
	o.takeRunning(h, m.report, m.sent, now)
	o.pace(h)
	o.noteEnds()
	o.released = o.released || h.release != 0 && h.empty()
	h.nextLook = now.Add(lookGap)
	switch {
	case len(h.ends) > 0:
		h.nextLook = now.Add(lookGapUnstored)
	case h.kept != 0:
		h.nextLook = now.Add(lookGapKept)
	}
}

func (o *Owner) lookFailed(h *host, err error, now time.Time) {
	o.Stats.PollsFailed.Inc(1)
	h.nextLook = now.Add(lookRetry)
	switch {
	case errors.Is(err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	case errors.Is(err, runs.ErrIncarnation):
		o.over(h, "another worker answers at the address")
	case errors.Is(err, context.Canceled):
	case h.failing.IsZero():
		h.failing = now
		o.Log.Warn().Str("pool", o.Pool).Str("host", h.id).Int("runs", len(h.runs)).Err(err).Msg("worker does not answer")
	}
}

// takeEnds takes in the ends that are new, in their order.
func (o *Owner) takeEnds(h *host, ends []runs.End) {
	slices.SortFunc(ends, func(a, b runs.End) int { return int(a.Number - b.Number) })
	lapse := int64(0) // the last end by a lease
	for _, e := range ends {
		if e.Outcome == runs.LeaseExpired {
			lapse = e.Number
		}
	}
	for _, e := range ends {
		if e.Number <= h.seen {
			continue
		}
		h.seen = e.Number
		if h.kept != 0 {
			h.unread++
		}
		if o.superseded(e) && e.Number > lapse {
			o.keepEnd(h, e)
			continue
		}
		o.end(h, e)
	}
}

// superseded tells whether a run ended done after its subtask was, or may have
// been, begun anew: its worker had been given up, and nobody had read the end.
func (o *Owner) superseded(e runs.End) bool {
	j := o.jobs[e.Task.Job]
	if j == nil || e.Outcome != runs.Done {
		return false
	}
	t := j.track.Task(e.Task)
	return t != nil && !t.Step.LongRunning && !t.Step.Speculative && (e.Run < t.Run || e.Run <= t.HighestVoidRun)
}

// keepEnd leaves an end unread: the later run counts, and a worker that is told
// to forget the end could take both for done.
func (o *Owner) keepEnd(h *host, e runs.End) {
	if h.kept == 0 {
		h.kept, h.unread = e.Number, 1
	}
	o.Log.Warn().Str("task", e.Task.String()).Int("run", e.Run).Str("host", h.id).Int64("number", e.Number).
		Msg("end of a run that does not count is left unread")
	if p := h.runs[e.Task]; p != nil && p.run == e.Run {
		o.release(h, p)
	}
}

// noteEnds lets workers forget the ends that are stored.
func (o *Owner) noteEnds() {
	for _, h := range o.hosts {
		for len(h.ends) > 0 {
			e := h.ends[0]
			if h.kept != 0 && e.number >= h.kept {
				h.ends = nil
				break
			}
			if e.job != nil && e.job.stored < e.version {
				break
			}
			h.note = e.number
			h.ends = h.ends[1:]
		}
	}
}

// takeRunning compares what a worker runs with what it should.
func (o *Owner) takeRunning(h *host, r runs.Report, sent, now time.Time) {
	present := make(map[runs.Task]int, len(r.Running))
	for _, v := range r.Running {
		present[v.Task] = v.Run
		o.takeRun(h, v, now)
	}
	for id, p := range h.runs {
		if present[id] == p.run || p.confirmed.IsZero() || !p.confirmed.Before(sent) {
			continue
		}
		if p.stopping && (p.stopped.IsZero() || !p.stopped.Before(sent)) {
			continue
		}
		o.vanished(h, p)
	}
}

// takeRun takes in one run at work.
func (o *Owner) takeRun(h *host, v runs.Running, now time.Time) {
	if p := h.runs[v.Task]; p != nil && p.run == v.Run {
		if p.confirmed.IsZero() {
			o.confirm(p, now)
		}
		if p.task.Run == v.Run {
			p.task.Percent, p.task.TailOrCPU = v.Percent, v.TailOrCPU
			if v.Checkpoint != "" {
				p.task.Checkpoint = v.Checkpoint
			}
			o.hurry(h, p, now)
		}
		return
	}
	o.takeForeign(h, v, now)
}

// takeForeign takes in a run that the owner has not ordered in this term: an
// earlier owner's is kept if the subtask has no other, else it is stopped.
func (o *Owner) takeForeign(h *host, v runs.Running, now time.Time) {
	if h.runs[v.Task] != nil {
		return // the report is older than the order in the table
	}
	j := o.jobs[v.Task.Job]
	var t *steps.Task
	if j != nil {
		t = j.track.Task(v.Task)
	}
	if t == nil {
		o.Log.Error().Str("task", v.Task.String()).Int("run", v.Run).Str("host", h.id).Msg("a run that no job names")
		o.bar(h, v.Task, v.Run)
		return
	}
	p := &placement{task: t, job: j, run: v.Run, confirmed: now, until: h.until}
	o.reserve(h, p)
	o.adoptShare(h, p)
	if j.track.Outcome == steps.Open && t.Phase == steps.Waiting && v.Run >= t.Run {
		t.Phase, t.WorkerID, t.Run, t.PhaseSince = steps.Running, h.id, v.Run, now
		t.Percent, t.TailOrCPU = v.Percent, v.TailOrCPU
		if v.Checkpoint != "" {
			t.Checkpoint = v.Checkpoint
		}
		j.track.Started = true
		o.Log.Info().Str("task", v.Task.String()).Int("run", v.Run).Str("host", h.id).Msg("run adopted")
		return
	}
	o.Log.Warn().Str("task", v.Task.String()).Int("run", v.Run).Str("host", h.id).Int("current", t.Run).Msg("stray run")
	o.stopRun(h, p, "stray run")
}

// vanished takes in that a confirmed run is neither at work nor listed as ended.
func (o *Owner) vanished(h *host, p *placement) {
	o.release(h, p)
	t := p.task
	if t.WorkerID == h.id && t.Run == p.run && t.Phase != steps.Finished {
		t.Phase, t.WorkerID = steps.Waiting, ""
	}
	o.dirty = true
	o.Log.Info().Str("task", t.ID.String()).Int("run", p.run).Str("host", h.id).Bool("stopping", p.stopping).Msg("run is gone")
}
