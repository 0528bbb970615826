package agent

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"shallotpaddle/fleet"
	"shallotpaddle/hosts"
	"shallotpaddle/owner"
	"shallotpaddle/plat"
	"shallotpaddle/platform"
)

const (
	// watchWait is how long a watch of the operators' keys waits; a connection
	// that has gone silent is noticed after that time.
	watchWait = 1500 * time.Millisecond
	// planWait is how long a watch of the steward's plan waits.
	planWait = 5 * time.Second
	// workersEvery is how often an entry with owners reads the registered
	// workers: a leaving one must be known well within its notice.
	workersEvery = 700 * time.Millisecond
	// workersSoon is how often it reads them while hosts are on their way into one
	// of its pools.
	workersSoon = 175 * time.Millisecond
	// idlePause is the pause before a prefix that is of no use is looked at again;
	// an owner reads the plan itself when it takes over.
	idlePause = 100 * time.Millisecond
	// retryPause is the pause after a call to the store that failed.
	retryPause = 100 * time.Millisecond
)

// watch is one prefix of the store that is followed.
type watch struct {
	prefix string
	wait   time.Duration
	take   func(plat.Item)
	// idle tells that the prefix is of no use now; nil stands for never.
	idle func() bool
}

// follow passes on the items of a prefix as they are and as they change. It
// logs when the store is lost and regained.
func (a *Agent) follow(ctx context.Context, w watch) {
	var rev int64
	lost := false
	for ctx.Err() == nil {
		if w.idle != nil && w.idle() {
			rev = 0
			a.pause(ctx, idlePause)
			continue
		}
		items, next, err := a.next(ctx, w, rev)
		if errors.Is(err, plat.ErrCompacted) {
			a.log.Info().Str("prefix", w.prefix).Int64("rev", rev).Msg("history is gone")
			rev = 0
			continue
		}
		if (err != nil) != lost {
			lost = err != nil
			a.log.Warn().Str("prefix", w.prefix).Bool("lost", lost).Err(err).Msg("contact with the store changed")
		}
		if err != nil {
			a.pause(ctx, retryPause)
			continue
		}
		rev = next
		for _, it := range items {
			w.take(it)
		}
	}
}

// next returns what has changed after a revision; all there is after 0.
func (a *Agent) next(ctx context.Context, w watch, rev int64) ([]plat.Item, int64, error) {
	if rev == 0 {
		return a.store.List(ctx, w.prefix)
	}
	return a.store.Watch(ctx, w.prefix, rev, w.wait)
}

// followPolicy keeps the configuration and the waves up to date.
func (a *Agent) followPolicy(ctx context.Context) {
	a.follow(ctx, watch{prefix: platform.OperatorPrefix, wait: watchWait, take: a.takeOperator})
}

// followPlan tells owners which workers the steward wants emptied. An entry
// without owners leaves the plan alone: it changes several times a second.
func (a *Agent) followPlan(ctx context.Context) {
	idle := func() bool { return a.owned() == 0 }
	a.follow(ctx, watch{prefix: fleet.PlanPrefix, wait: planWait, idle: idle, take: func(it plat.Item) {
		p, err := decodePlan(it)
		if err != nil {
			a.log.Error().Str("key", it.Key).Err(err).Msg("plan not readable")
			return
		}
		coming := 0
		a.each(func(pool string, o *owner.Owner) {
			w := p.ForPool(pool, it.Rev)
			coming += w.Incoming
			o.SetPlan(w)
		})
		a.coming.Store(coming > 0)
	}})
}

func decodePlan(it plat.Item) (*fleet.Plan, error) {
	p := &fleet.Plan{}
	if it.Gone {
		return p, nil
	}
	return p, json.Unmarshal(it.Value, p)
}

// wishes reads the steward's plan for one pool.
func (a *Agent) wishes(ctx context.Context, pool string) (owner.PoolPlan, error) {
	items, _, err := a.store.List(ctx, fleet.PlanKey)
	if err != nil {
		return owner.PoolPlan{}, err
	}
	for _, it := range items {
		if it.Key != fleet.PlanKey {
			continue
		}
		p, err := decodePlan(it)
		if err != nil {
			return owner.PoolPlan{}, err
		}
		return p.ForPool(pool, it.Rev), nil
	}
	return owner.PoolPlan{}, nil
}

// takeWave takes in a wave of maintenance.
func (a *Agent) takeWave(it plat.Item) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if it.Gone {
		delete(a.waves, it.Key)
		return
	}
	w, err := platform.DecodeWave(it)
	if err != nil {
		a.log.Error().Err(err).Msg("wave not readable")
		return
	}
	if _, known := a.waves[it.Key]; !known {
		a.waves[it.Key] = fleet.Wave{Wave: w, FirstSeen: a.clock.Now()}
		a.log.Info().Str("wave", w.Number).Int("hosts", len(w.Hosts)).Int("most", w.MaxDown).Dur("within", w.Within).Msg("wave asked for")
	}
}

// waveList returns the waves that were asked for, in order.
func (a *Agent) waveList() []fleet.Wave {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]fleet.Wave, 0, len(a.waves))
	for _, k := range slices.Sorted(maps.Keys(a.waves)) {
		out = append(out, a.waves[k])
	}
	return out
}

// takeOperator takes in a key that operators write. A configuration never goes
// back to a lower number.
func (a *Agent) takeOperator(it plat.Item) {
	if platform.IsWave(it.Key) {
		a.takeWave(it)
		return
	}
	if it.Gone || !platform.IsConfig(it.Key) {
		return
	}
	v, err := platform.DecodeConfig(it.Value)
	if err != nil {
		a.log.Error().Int64("rev", it.Rev).Err(err).Msg("configuration not readable")
		return
	}
	if old := a.version.Load(); old != nil && old.Number >= v.Number {
		return
	}
	a.version.Store(v)
	a.log.Info().Int64("version", v.Number).Int64("rev", it.Rev).Int("queues", len(v.Queues)).Msg("configuration in force")
	names := make([]string, 0, len(v.Pools))
	for _, p := range v.Pools {
		names = append(names, p.Name)
	}
	a.elector.SetPools(append(names, fleet.ElectionName))
}

// followWorkers tells owners which workers are registered.
func (a *Agent) followWorkers(ctx context.Context) {
	t := a.clock.NewTicker(workersSoon)
	defer t.Stop()
	var last time.Time
	for {
		woken := false
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
			woken = true
		case <-t.C:
		}
		if now := a.clock.Now(); woken || a.coming.Load() || now.Sub(last) >= workersEvery {
			last = now
			a.readWorkers(ctx)
		}
	}
}

func (a *Agent) readWorkers(ctx context.Context) {
	if a.owned() == 0 {
		return
	}
	items, _, err := a.store.List(ctx, platform.WorkerPrefix)
	if err != nil {
		a.log.Warn().Err(err).Msg("registered workers not readable")
		return
	}
	byPool := map[string][]hosts.Worker{}
	for _, it := range items {
		w, err := platform.DecodeWorker(it)
		if err != nil {
			a.log.Warn().Err(err).Msg("entry names no worker")
			continue
		}
		byPool[w.Pool] = append(byPool[w.Pool], w)
	}
	a.each(func(pool string, o *owner.Owner) { o.SetWorkers(byPool[pool]) })
}
