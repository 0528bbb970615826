package owner

import (
	"errors"
	"time"

	"shallotpaddle/pack"
	"shallotpaddle/runs"
)

const (
	// mixedPollWait replaces pollWait on a worker that runs both serving and filling
	// subtasks: workers report tail latencies of the last half second.
	mixedPollWait = 500 * time.Millisecond
	// adoptedShare is the share, in percent, at which filling runs adopted from an
	// earlier owner go on next to serving ones.
	adoptedShare = 25
	// shareUnknown stands for the share of a run whose share is not known.
	shareUnknown = -1
	// fullShare is the share, in percent, at which a run starts.
	fullShare = 100
)

// paceResult is the result of a call to set the share of a run.
type paceResult struct {
	host      *host
	placement *placement
	share     int
	err       error
}

// servesAndFills reports whether a worker runs both serving subtasks, which have a
// bound on their tail latency, and filling ones, which use spare CPU.
func (h *host) servesAndFills() bool {
	serves, fills := false, false
	for _, p := range h.runs {
		serves = serves || p.task.Step.TailBoundMs > 0
		fills = fills || p.task.Step.Fills
	}
	return serves && fills
}

// worstTail returns the worst tail latency of the serving subtasks on a worker, as
// a fraction of its bound.
func (h *host) worstTail() float64 {
	worst := 0.0
	for _, p := range h.runs {
		if s := p.task.Step; s.TailBoundMs > 0 && p.task.Serving() {
			worst = max(worst, p.task.TailOrCPU/float64(s.TailBoundMs))
		}
	}
	return worst
}

// adjustFillShare sets the share of the filling subtasks on a worker after a
// report, so that the serving ones keep their bounds.
func (o *Owner) adjustFillShare(h *host) {
	share, worst := fullShare, 0.0
	if h.servesAndFills() {
		worst = h.worstTail()
		share = pack.Pace(h.fillShare, worst)
	}
	if share != h.fillShare {
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int("share", share).Int("before", h.fillShare).
			Float64("worst", worst).Msg("changing the share of filling runs")
	}
	h.fillShare = share
	now := o.Clock.Now()
	for _, p := range h.runs {
		switch {
		case p.withheld == 0:
		case !h.servesAndFills():
			p.withheld = 0
		case worst > 1 || !p.unsettled(now):
			p.withheld = fullShare - pack.Pace(fullShare-p.withheld, worst)
		}
	}
	o.setShares(h)
}

// setShares orders the shares of the filling subtasks on a worker that have another one.
func (o *Owner) setShares(h *host) {
	for _, p := range h.runs {
		share := min(h.fillShare, fullShare-p.withheld)
		if p.task.Step.Fills && p.share != share && !p.confirmedAt.IsZero() && !p.paceInFlight && !p.stopping {
			o.sendPace(h, p, share)
		}
	}
}

// sendPace orders a worker to run a filling subtask at a share in percent.
func (o *Owner) sendPace(h *host, p *placement, share int) {
	p.paceInFlight = true
	o.Stats.Paces.Inc(1)
	to, order := h.target(), runs.Pace{Task: p.task.ID, Run: p.run, Percent: share, Fence: o.Fence}
	go func() {
		_, err := o.Workers.Pace(o.ctx, to, order)
		o.post(paceResult{h, p, share, err})
	}()
}

// handlePaced handles the result of a call to set a share. After an error the share
// is unknown, and adjustFillShare sets it again after the next report.
func (o *Owner) handlePaced(m paceResult) {
	m.placement.paceInFlight = false
	m.host.noteMix(m.placement, o.Clock.Now())
	switch {
	case m.err == nil:
		m.placement.share = m.share
	case errors.Is(m.err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	default:
		m.placement.share = shareUnknown
		o.Log.Warn().Str("task", m.placement.task.ID.String()).Int("run", m.placement.run).Str("host", m.host.id).
			Int("share", m.share).Err(m.err).Msg("share of a filling run not confirmed; retrying after the next report")
	}
}

// adoptShare limits the share of filling runs on a worker after one of them was
// adopted from an earlier owner, because its share is not known.
func (o *Owner) adoptShare(h *host, p *placement) {
	if !p.task.Step.Fills {
		return
	}
	p.share = shareUnknown
	if h.servesAndFills() {
		h.fillShare = min(h.fillShare, adoptedShare)
	}
}
