package owner

import (
	"errors"
	"time"

	"shallotpaddle/pack"
	"shallotpaddle/runs"
)

const (
	// mixedPollWait is how long a look waits on a worker where filling work may harm
	// serving work: the workers' figures are those of the last half second.
	mixedPollWait = 500 * time.Millisecond
	// adoptedShare is the share at which an earlier owner's filling work goes on
	// beside serving work.
	adoptedShare = 25
	// shareUnknown is the share of a run of which no word is known.
	shareUnknown = -1
	// fullShare is the share of a run at its start, in percent.
	fullShare = 100
)

// paceResult is the word on an order to pace a run.
type paceResult struct {
	host      *host
	placement *placement
	share     int
	err       error
}

// servesAndFills tells whether a worker has both serving and filling subtasks.
func (h *host) servesAndFills() bool {
	serves, fills := false, false
	for _, p := range h.runs {
		serves = serves || p.task.Step.TailBoundMs > 0
		fills = fills || p.task.Step.Fills
	}
	return serves && fills
}

// worstTail returns the worst tail of the serving subtasks on a worker, as a part
// of its bound.
func (h *host) worstTail() float64 {
	worst := 0.0
	for _, p := range h.runs {
		if s := p.task.Step; s.TailBoundMs > 0 && p.task.Serving() {
			worst = max(worst, p.task.TailOrCPU/float64(s.TailBoundMs))
		}
	}
	return worst
}

// adjustFillShare has the filling subtasks on a worker leave room for the serving ones,
// after a report.
func (o *Owner) adjustFillShare(h *host) {
	share, worst := fullShare, 0.0
	if h.servesAndFills() {
		worst = h.worstTail()
		share = pack.Pace(h.fillShare, worst)
	}
	if share != h.fillShare {
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int("share", share).Int("before", h.fillShare).
			Float64("worst", worst).Msg("share of filling work changed")
	}
	h.fillShare = share
	for _, p := range h.runs {
		if p.task.Step.Fills && p.share != share && !p.confirmedAt.IsZero() && !p.paceInFlight && !p.stopping {
			o.sendPace(h, p, share)
		}
	}
}

func (o *Owner) sendPace(h *host, p *placement, share int) {
	p.paceInFlight = true
	o.Stats.Paces.Inc(1)
	to, order := h.target(), runs.Pace{Task: p.task.ID, Run: p.run, Percent: share, Fence: o.Fence}
	go func() {
		_, err := o.Workers.Pace(o.ctx, to, order)
		o.post(paceResult{h, p, share, err})
	}()
}

// handlePaced takes in the word on a pace. An order without an answer is given
// anew after the next report: which one holds is not known.
func (o *Owner) handlePaced(m paceResult) {
	m.placement.paceInFlight = false
	switch {
	case m.err == nil:
		m.placement.share = m.share
	case errors.Is(m.err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	default:
		m.placement.share = shareUnknown
		o.Log.Warn().Str("task", m.placement.task.ID.String()).Int("run", m.placement.run).Str("host", m.host.id).
			Int("share", m.share).Err(m.err).Msg("pace not confirmed")
	}
}

// adoptShare lets an earlier owner's filling subtask go on with care: its share
// is not known.
func (o *Owner) adoptShare(h *host, p *placement) {
	if !p.task.Step.Fills {
		return
	}
	p.share = shareUnknown
	if h.servesAndFills() {
		h.fillShare = min(h.fillShare, adoptedShare)
	}
}
