package owner

import (
	"time"

	"shallotpaddle/runs"
)

// origin tells which incarnation of a worker has carried out an order. Calls name the worker, not
// the incarnation, and only reports say which one they come from.
type origin string

const (
	originUnknown origin = "unknown"
	originMeant   origin = "meant" // the incarnation for which the order was meant
	originNext    origin = "next"  // a later one
)

// clockRounding is the largest error of the difference of two readings of a worker's clock.
const clockRounding = 2 * time.Millisecond

// originOf returns the origin of an answer, received at now, to an order sent at sent. The clock of
// an incarnation that began after the last report was asked for has advanced by no more than the
// time since then, if each begins at the same reading.
func (h *host) originOf(r runs.Reply, sent, now time.Time) origin {
	advanced := time.Duration(r.ClockMs-h.firstClock)*time.Millisecond - clockRounding
	switch {
	case r.StartedMs != 0 && h.startedMs != 0:
		if r.StartedMs == h.startedMs {
			return originMeant
		}
		return originNext
	case r.ClockMs == 0 || !h.answered:
		return originUnknown
	case r.ClockMs < h.clockAtLeast(sent)-clockRounding.Milliseconds():
		return originNext
	case advanced > now.Sub(h.lastReport):
		return originMeant
	default:
		return originUnknown
	}
}

// clockAtLeast returns a lower bound of the incarnation's clock at a time, which may be before
// the last report.
func (h *host) clockAtLeast(t time.Time) int64 {
	if t.Before(h.clockAt) {
		return h.clock - h.clockAt.Sub(t).Milliseconds()
	}
	return h.workerClock(t)
}

// noteOrigin records which incarnation has answered a start.
func (o *Owner) noteOrigin(h *host, p *placement, r runs.Reply, now time.Time) {
	switch from := h.originOf(r, p.startSentAt, now); from {
	case originMeant:
		p.origin = from
		if !p.mayHaveStarted() {
			o.settleDoubt(p.task, h.id, p.run)
		}
	case originNext:
		p.origin = from
		o.Stats.AnsweredByNext.Inc(1)
		o.identify(o.Log.Warn()).Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Int64("born", h.startedMs).
			Int64("clock", r.ClockMs).Int64("clockMeant", h.clockAtLeast(p.startSentAt)).Dur("sinceAnswer", now.Sub(h.clockAt)).
			Msg("start answered by a later incarnation of the worker than was meant")
		o.doubtIncarnation(h, now)
	}
}
