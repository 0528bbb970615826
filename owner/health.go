package owner

import (
	"time"

	"shallotpaddle/pack"
	"shallotpaddle/runs"
)

const (
	// A run counts as slow if it has taken overdueSlack longer than expected and,
	// by its progress so far, will take at least slowFactor times the expected time
	// more. Run times vary by half, and declared estimates are further off.
	overdueSlack = 700 * time.Millisecond
	slowFactor   = 3
)

// recordHealth counts the end of a run in the worker's health record.
func (o *Owner) recordHealth(h *host, outcome runs.Outcome, now time.Time) {
	switch outcome {
	case runs.Done:
		h.health.AddSuccess(now)
	case runs.Failed:
		h.health.AddFailure(now)
	}
}

// markUnhealthy marks the candidates that should get no work because runs fail on
// them.
func (o *Owner) markUnhealthy(cands []pack.Worker, candHosts []*host, now time.Time) {
	records := make([]*pack.Health, len(candHosts))
	for i, h := range candHosts {
		records[i] = &h.health
	}
	for i, unhealthy := range pack.Unhealthy(records, now) {
		cands[i].Unhealthy = unhealthy
		if h := candHosts[i]; h.unhealthy != unhealthy {
			h.unhealthy = unhealthy
			o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Bool("sick", unhealthy).Msg("health of worker changed")
		}
	}
}

// stopIfSlow stops a run that makes too little progress, so that its subtask starts
// on another worker. It does so once for each subtask: one that is slow everywhere
// must end somewhere.
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
		Dur("elapsed", elapsed).Dur("expected", expected).Msg("run is too slow; moving it to another worker")
	o.stopRun(h, p, "too little progress")
}
