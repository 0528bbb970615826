package owner

import (
	"time"

	"shallotpaddle/noise"
	"shallotpaddle/pack"
	"shallotpaddle/steps"
)

const (
	// tailSettling is how long nothing may have started, ended or changed its share on a worker
	// before its tail latencies are used: they are those of the last half second. Reports to a
	// change come about half a second after it.
	tailSettling = 400 * time.Millisecond
	// tailInterval is the shortest time between two samples of a worker: more frequent ones
	// would be of the same half second.
	tailInterval = 450 * time.Millisecond
	// refreshInterval is how often harm is computed from the samples.
	refreshInterval = 500 * time.Millisecond
	// maxPairLines limits the lines of the log about pairs that have changed in one refresh.
	maxPairLines = 10
)

// disturbs reports whether a subtask is a neighbour in the sense of package noise. The CPU of
// all others is reserved.
func disturbs(s *steps.Step) bool { return s.Fills || s.TailBoundMs > 0 }

// neighbours returns the serving and filling subtasks on a worker for package pack; none if
// no pair of images is known.
func (o *Owner) neighbours(h *host) []pack.Neighbour {
	if o.noise.Known() == 0 {
		return nil
	}
	var out []pack.Neighbour
	for _, p := range h.runs {
		if s := p.task.Step; disturbs(s) {
			out = append(out, pack.Neighbour{Image: s.Image, Fills: s.Fills, Serves: s.TailBoundMs > 0})
		}
	}
	return out
}

// learnedHarm returns the harm between images for package pack; nil if no pair is known.
func (o *Owner) learnedHarm(now time.Time) func(victim, neighbour string) (float64, bool) {
	if o.IgnoreInterference || o.noise.Known() == 0 {
		return nil
	}
	return func(victim, neighbour string) (float64, bool) { return o.noise.Harm(victim, neighbour, now) }
}

// chooseHost returns the index of the candidate to run a subtask on, or -1.
func (o *Owner) chooseHost(t *steps.Task, demand *pack.Demand, cands []pack.Worker, candHosts []*host) int {
	if !demand.LongRunning && demand.MaxPerWorker == 0 {
		return pack.Choose(demand, cands, func(int) int { return 0 })
	}
	return pack.Choose(demand, cands, func(i int) int { return candHosts[i].runsOfStep(t) })
}

// countMoved counts a start on another worker than the one that would be chosen without
// knowledge of the harm between images.
func (o *Owner) countMoved(t *steps.Task, demand *pack.Demand, chosen int, cands []pack.Worker, candHosts []*host) {
	if demand.Harm == nil || !disturbs(t.Step) {
		return
	}
	plain := *demand
	plain.Harm = nil
	if o.chooseHost(t, &plain, cands, candHosts) != chosen {
		o.Stats.NoiseMoved.Inc(1)
	}
}

// noteMix records that a run has ended on a worker, or has got another share there.
func (h *host) noteMix(p *placement, now time.Time) {
	if disturbs(p.task.Step) {
		h.mixedAt = now
	}
}

// observeTails adds the tail latencies that a worker has just reported to the table of harm
// between images.
func (o *Owner) observeTails(h *host, now time.Time) {
	if now.Sub(h.sampledAt) < tailInterval || now.Sub(h.mixedAt) < tailSettling {
		return
	}
	var list []noise.Neighbour
	var serving []*placement
	for _, p := range h.runs {
		s := p.task.Step
		if !disturbs(s) {
			continue
		}
		if p.confirmedAt.IsZero() || now.Sub(p.confirmedAt) < tailSettling || p.stopping || p.paceInFlight || s.Fills && p.share == shareUnknown {
			return
		}
		weight := 0.0
		switch {
		case s.Fills:
			weight = float64(p.share) / fullShare
		case p.task.Serving():
			weight = 1
		}
		if s.TailBoundMs > 0 && p.task.Serving() && p.task.Run == p.run && p.task.TailOrCPU > 0 {
			serving = append(serving, p)
		}
		list = append(list, noise.Neighbour{Image: s.Image, Weight: weight})
	}
	for _, p := range serving {
		h.sampledAt = now
		o.Stats.NoiseSamples.Inc(1)
		o.noise.Observe(noise.Sample{
			Victim: p.task.Step.Image, Host: h.id, Tail: p.tail(), Neighbours: withoutOne(list, p.task.Step.Image),
		}, now)
	}
}

// tail returns the tail latency of a serving run as a fraction of its bound.
func (p *placement) tail() float64 { return p.task.TailOrCPU / float64(p.task.Step.TailBoundMs) }

// withoutOne returns the neighbours without one subtask of an image that serves.
func withoutOne(list []noise.Neighbour, image string) []noise.Neighbour {
	out := make([]noise.Neighbour, 0, len(list))
	found := false
	for _, n := range list {
		if !found && n.Image == image && n.Weight == 1 {
			found = true
			continue
		}
		out = append(out, n)
	}
	return out
}

// refreshNoise computes the harm between images, and logs which pairs have become known or were
// forgotten.
func (o *Owner) refreshNoise(now time.Time) {
	if now.Sub(o.noiseAt) < refreshInterval {
		return
	}
	o.noiseAt = now
	before := o.noise.Known()
	changes := o.noise.Refresh(now)
	o.Stats.NoisePairs.Inc(int64(o.noise.Known() - before))
	for i, c := range changes {
		if i == maxPairLines {
			o.Log.Info().Str("pool", o.Pool).Int("pairs", len(changes)-i).Msg("interference of more images is known or was forgotten")
			break
		}
		what := "interference of two images was forgotten"
		if c.Known {
			what = "interference of two images is known"
		}
		o.Log.Info().Str("pool", o.Pool).Str("image", c.Victim).Str("neighbour", c.Neighbour).Float64("harm", c.Harm).Int("samples", c.Samples).Msg(what)
	}
}

// forgetNoise takes the pairs of an owner that ends from the metrics.
func (o *Owner) forgetNoise() { o.Stats.NoisePairs.Dec(int64(o.noise.Known())) }

// limitStart sets the share at which a filling subtask starts on a worker, if it is known to
// disturb serving ones there. Other filling subtasks that have started since the last report
// count as well.
func (o *Owner) limitStart(h *host, p *placement, now time.Time) {
	harm := o.learnedHarm(now)
	if harm == nil || !p.task.Step.Fills {
		return
	}
	limit := fullShare
	for _, v := range h.runs {
		if v.task.Step.TailBoundMs == 0 || !v.task.Serving() {
			continue
		}
		own, _ := harm(v.task.Step.Image, p.task.Step.Image)
		if own == 0 {
			continue
		}
		for _, n := range h.runs {
			if n.task.Step.Fills && n.unsettled(now) {
				other, _ := harm(v.task.Step.Image, n.task.Step.Image)
				own += other
			}
		}
		limit = min(limit, pack.StartPace(v.tail(), own))
	}
	if limit == fullShare {
		return
	}
	p.withheld = fullShare - limit
	o.Stats.NoisePaced.Inc(1)
	o.Log.Info().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Int("share", limit).Msg("filling run is known to disturb; starting it at a share")
}

// paceAtStart orders the share of a filling run that has just started at less than full speed.
func (o *Owner) paceAtStart(h *host, p *placement) {
	if p.withheld > 0 {
		o.setShares(h)
	}
}

// unsettled reports whether the last report doesn't show the effect of a run.
func (p *placement) unsettled(now time.Time) bool {
	return p.confirmedAt.IsZero() || now.Sub(p.confirmedAt) < tailSettling
}
