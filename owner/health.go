package owner

import (
	"time"

	"shallotpaddle/pack"
	"shallotpaddle/runs"
)

const (
	// overdueSlack is how long beyond its expected time a run is at work before it
	// is looked at for progress, and slowFactor the multiple of that time that must
	// be left: run times spread by half of their size, declared ones by more.
	overdueSlack = 700 * time.Millisecond
	slowFactor   = 3
)

// recordHealth takes an end into the worker's record.
func (o *Owner) recordHealth(h *host, how runs.Outcome, now time.Time) {
	switch how {
	case runs.Done:
		h.health.AddSuccess(now)
	case runs.Failed:
		h.health.AddFailure(now)
	}
}

// markUnhealthy marks the candidates that should get no work.
func (o *Owner) markUnhealthy(cands []pack.Worker, candHosts []*host, now time.Time) {
	records := make([]*pack.Health, len(candHosts))
	for i, h := range candHosts {
		records[i] = &h.health
	}
	for i, sick := range pack.Unhealthy(records, now) {
		cands[i].Unhealthy = sick
		if h := candHosts[i]; h.unhealthy != sick {
			h.unhealthy = sick
			o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Bool("sick", sick).Msg("judgement of worker changed")
		}
	}
}

// stopIfSlow moves a run that makes too little progress to another worker, once for
// each subtask: one that is long everywhere must end somewhere.
func (o *Owner) stopIfSlow(h *host, p *placement, now time.Time) {
	t := p.task
	if t.Step.LongRunning || t.Step.Fills || t.Step.Gang || t.StoppedAsSlow || p.stopping || p.confirmedAt.IsZero() || t.Run != p.run {
		return
	}
	expected := o.expectedRunTime(p.job, t.Step)
	elapsed := now.Sub(p.confirmedAt)
	if elapsed < expected+overdueSlack {
		return
	}
	if p := time.Duration(t.Percent); p > 0 && elapsed*(100-p)/p < slowFactor*expected+overdueSlack {
		return
	}
	t.StoppedAsSlow, t.AvoidWorker = true, h.id
	h.health.AddFailure(now)
	o.Log.Info().Str("task", t.ID.String()).Int("run", p.run).Str("host", h.id).Int("percent", t.Percent).
		Dur("elapsed", elapsed).Dur("expected", expected).Msg("run makes too little progress")
	o.stopRun(h, p, "too little progress")
}
