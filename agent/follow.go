package agent

import (
	"context"
	"errors"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/owner"
	"shallotpaddle/plat"
	"shallotpaddle/platform"
)

const (
	// watchWait is how long a watch of the operators' keys waits; a connection
	// that has gone silent is noticed after that time.
	watchWait = 1500 * time.Millisecond
	// workersEvery is how often an entry with owners reads the registered
	// workers: a leaving one must be known well within its notice.
	workersEvery = 700 * time.Millisecond
	// retryPause is the pause after a call to the store that failed.
	retryPause = 100 * time.Millisecond
)

// followPolicy keeps the configuration in force up to date.
func (a *Agent) followPolicy(ctx context.Context) {
	var rev int64
	lost := false
	for ctx.Err() == nil {
		var items []plat.Item
		var next int64
		var err error
		if rev == 0 {
			items, next, err = a.store.List(ctx, platform.OperatorPrefix)
		} else {
			items, next, err = a.store.Watch(ctx, platform.OperatorPrefix, rev, watchWait)
		}
		if errors.Is(err, plat.ErrCompacted) {
			a.log.Info().Int64("rev", rev).Msg("history of the operators' keys is gone")
			rev = 0
			continue
		}
		if err != nil {
			if !lost {
				a.log.Warn().Err(err).Msg("store lost")
			}
			lost = true
			a.pause(ctx, retryPause)
			continue
		}
		if lost {
			a.log.Info().Msg("store regained")
			lost = false
		}
		rev = next
		for _, it := range items {
			a.takeOperator(it)
		}
	}
}

// takeOperator takes in a key that operators write. A configuration never goes
// back to a lower number.
func (a *Agent) takeOperator(it plat.Item) {
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
	a.elector.SetPools(names)
	a.each(func(_ string, o *owner.Owner) { o.SetPolicy(v) })
}

// followWorkers tells owners which workers are registered.
func (a *Agent) followWorkers(ctx context.Context) {
	t := a.clock.NewTicker(workersEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-t.C:
		}
		a.readWorkers(ctx)
	}
}

func (a *Agent) readWorkers(ctx context.Context) {
	a.mu.Lock()
	n := len(a.owners)
	a.mu.Unlock()
	if n == 0 {
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
