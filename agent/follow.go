package agent

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"shallotpaddle/fleet"
	"shallotpaddle/owner"
	"shallotpaddle/plat"
	"shallotpaddle/platform"
	"shallotpaddle/quota"
)

const (
	// watchTimeout is how long the store holds a watch of the operators' keys without
	// a change; a dead connection is detected after that time.
	watchTimeout = 1500 * time.Millisecond
	// keysWatchTimeout takes the place of watchTimeout while keys are required. With 1.5 s, a
	// version was in force up to 3.5 s after its write if one watch hung.
	keysWatchTimeout = 500 * time.Millisecond
	// keysRetryTimeout is the same after a failure: what was missed is reported at once.
	keysRetryTimeout = 20 * time.Millisecond
	// keysWatchGrace is how long the answer to such a watch may be overdue: 0.24 s at the slowest
	// known store, and 0.4 s for a configuration with 1,844 more queues on a link of 10 Mbit/s.
	keysWatchGrace = 800 * time.Millisecond
	// planWatchTimeout is how long the store holds a watch of the fleet plan without
	// a change.
	planWatchTimeout = time.Second
	// workersPeriod is how often an entry with owners reads the registered workers: a
	// leaving worker must be known well within its notice period.
	workersPeriod = 700 * time.Millisecond
	// workersPeriodIncoming is how often it reads them while hosts move into one of
	// its pools.
	workersPeriodIncoming = 175 * time.Millisecond
	// idleDelay is how often a prefix that is not needed is checked for being needed
	// again; until then, an owner that takes over reads the plan itself.
	idleDelay = 100 * time.Millisecond
	// retryDelay is the pause after a failed call to the store.
	retryDelay = 100 * time.Millisecond
)

// prefixWatch is a prefix of the store's keys that is watched.
type prefixWatch struct {
	prefix string
	// timing returns the times of the next watch after a number of failed reads in a row.
	timing func(failures int) watchTiming
	apply  func(plat.Item)
	// applyAll is called with all items that were read at once, instead of apply; nil for not.
	applyAll func([]plat.Item)
	// idle reports whether the prefix is not needed now; nil if it always is.
	idle func() bool
	// readAt receives the time as of which the prefix was last read, in Unix nanoseconds; nil for
	// nothing.
	readAt *atomic.Int64
	// read receives the function that ends the read under way; nil for nothing.
	read *atomic.Pointer[context.CancelFunc]
}

// watchTiming has the times of one watch.
type watchTiming struct {
	wait  time.Duration // for which the store holds the watch without a change
	grace time.Duration // for which the answer may be overdue after that
	// prompt tells to retry without a pause after a failure that took long.
	prompt bool
}

// steadyTiming returns a timing that doesn't depend on failures.
func steadyTiming(wait time.Duration) func(int) watchTiming {
	return func(int) watchTiming { return watchTiming{wait: wait, grace: platform.StoreTimeout} }
}

// storeReads are the calls by which prefixes are followed.
type storeReads struct {
	list  func(ctx context.Context, prefix string) ([]plat.Item, int64, error)
	watch func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error)
}

// watchPrefix applies the items of a prefix, and each change to them, until the
// context ends. It logs when the store becomes unreachable and reachable again.
func (a *Agent) watchPrefix(ctx context.Context, w prefixWatch) {
	var rev int64
	failures := 0
	for ctx.Err() == nil {
		if w.idle != nil && w.idle() {
			rev = 0
			a.pause(ctx, idleDelay)
			continue
		}
		begun := a.clock.Now()
		timing := w.timing(failures)
		reading, cancel := context.WithCancel(ctx)
		if w.read != nil {
			w.read.Store(&cancel)
		}
		items, next, err := a.readChanges(reading, w.prefix, rev, timing)
		cancel()
		if errors.Is(err, plat.ErrCompacted) {
			a.log.Info().Str("prefix", w.prefix).Int64("rev", rev).Msg("store history compacted; listing the prefix again")
			rev = 0
			continue
		}
		if (err != nil) != (failures > 0) {
			a.log.Warn().Str("prefix", w.prefix).Bool("lost", err != nil).Err(err).Msg("reachability of the store changed")
		}
		if err != nil {
			failures++
			if !timing.prompt || a.clock.Since(begun) < retryDelay {
				a.pause(ctx, retryDelay)
			}
			continue
		}
		failures = 0
		asOf := begun
		if rev != 0 && len(items) == 0 && a.clock.Since(begun) >= timing.wait {
			asOf = begun.Add(timing.wait) // the store has held the watch that long
		}
		rev = next
		if w.applyAll != nil {
			w.applyAll(items)
		} else {
			for _, it := range items {
				w.apply(it)
			}
		}
		if w.readAt != nil {
			w.readAt.Store(asOf.UnixNano())
		}
	}
}

// readChanges returns the items that changed after a revision, or all items if it
// is 0, and the revision to go on from.
func (a *Agent) readChanges(ctx context.Context, prefix string, rev int64, timing watchTiming) ([]plat.Item, int64, error) {
	if rev == 0 {
		return a.reads.list(ctx, prefix)
	}
	ctx, cancel := context.WithTimeout(ctx, timing.wait+timing.grace)
	defer cancel()
	return a.reads.watch(ctx, prefix, rev, timing.wait)
}

// watchOperatorKeys keeps the configuration and the maintenance waves up to date.
func (a *Agent) watchOperatorKeys(ctx context.Context) {
	a.watchPrefix(ctx, prefixWatch{prefix: platform.OperatorPrefix, timing: a.operatorTiming, apply: a.applyOperatorKey, readAt: &a.policyReadAt, read: &a.policyRead})
}

// operatorTiming returns the times of the next watch of the operators' keys. While keys are
// required, a watch that hangs must be found out early enough for a removed key to be refused
// within 3 s. After two failures in a row an answer has the full time, so that a large
// configuration on a slow link arrives.
func (a *Agent) operatorTiming(failures int) watchTiming {
	v := a.version.Load()
	if v == nil || !v.KeysRequired {
		return watchTiming{wait: watchTimeout, grace: platform.StoreTimeout}
	}
	switch failures {
	case 0:
		return watchTiming{wait: keysWatchTimeout, grace: keysWatchGrace, prompt: true}
	case 1:
		return watchTiming{wait: keysRetryTimeout, grace: keysWatchGrace, prompt: true}
	default:
		return watchTiming{wait: keysRetryTimeout, grace: platform.StoreTimeout, prompt: true}
	}
}

// watchPlan passes the fleet plan to the owners. An entry without owners doesn't
// watch it, as it changes several times a second.
func (a *Agent) watchPlan(ctx context.Context) {
	idle := func() bool { return a.ownerCount() == 0 }
	a.watchPrefix(ctx, prefixWatch{prefix: fleet.PlanPrefix, timing: steadyTiming(planWatchTimeout), idle: idle, apply: func(it plat.Item) {
		p, err := decodePlan(it)
		if err != nil {
			a.log.Error().Str("key", it.Key).Int64("rev", it.Rev).Err(err).Msg("fleet plan cannot be decoded")
			return
		}
		incoming := 0
		a.eachOwner(func(pool string, o *owner.Owner) {
			plan := p.ForPool(pool, it.Rev)
			incoming += plan.Incoming
			o.SetPlan(plan)
		})
		a.hostsIncoming.Store(incoming > 0)
	}})
}

// watchQuotas passes the grants of workspaces to the owners. They are not watched without owners,
// nor while no workspace has a quota.
func (a *Agent) watchQuotas(ctx context.Context) {
	idle := func() bool { return !a.version.Load().Limited() || a.ownerCount() == 0 }
	a.watchPrefix(ctx, prefixWatch{prefix: quota.Prefix, timing: steadyTiming(watchTimeout), idle: idle, applyAll: func(items []plat.Item) {
		if len(items) > 0 {
			a.eachOwner(func(_ string, o *owner.Owner) { o.SetQuotas(items) })
		}
	}})
}

// decodePlan returns the plan of an item; a removed one is empty.
func decodePlan(it plat.Item) (*fleet.Plan, error) {
	p := &fleet.Plan{}
	if it.Deleted {
		return p, nil
	}
	return p, json.Unmarshal(it.Value, p)
}

// readPoolPlan reads the part of the fleet plan for one pool. A plan that can't be decoded
// asks for nothing: the pool needs an owner before the fleet controller writes it anew.
func (a *Agent) readPoolPlan(ctx context.Context, pool string) (owner.PoolPlan, error) {
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
			a.log.Error().Str("key", it.Key).Int64("rev", it.Rev).Err(err).Msg("fleet plan cannot be decoded")
			return owner.PoolPlan{}, nil
		}
		return p.ForPool(pool, it.Rev), nil
	}
	return owner.PoolPlan{}, nil
}

// applyWave adds, or removes, a requested maintenance wave.
func (a *Agent) applyWave(it plat.Item) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if it.Deleted {
		delete(a.waves, it.Key)
		return
	}
	w, err := platform.DecodeWave(it)
	if err != nil {
		a.log.Error().Str("key", it.Key).Int64("rev", it.Rev).Err(err).Msg("maintenance wave cannot be decoded")
		return
	}
	old, known := a.waves[it.Key]
	switch {
	case !known:
		a.waves[it.Key] = fleet.Wave{Wave: w, FirstSeen: a.clock.Now()}
		a.log.Info().Str("wave", w.Number).Int("hosts", len(w.Hosts)).Int("most", w.MaxDown).Dur("within", w.Within).Msg("maintenance wave requested")
	case w.Rev > old.Rev:
		a.waves[it.Key] = fleet.Wave{Wave: w, FirstSeen: old.FirstSeen}
		a.log.Info().Str("wave", w.Number).Int("hosts", len(w.Hosts)).Int("most", w.MaxDown).Dur("within", w.Within).Msg("maintenance wave changed")
	}
}

// requestedWaves returns the requested maintenance waves, ordered by key.
func (a *Agent) requestedWaves() []fleet.Wave {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]fleet.Wave, 0, len(a.waves))
	for _, k := range slices.Sorted(maps.Keys(a.waves)) {
		out = append(out, a.waves[k])
	}
	return out
}

// applyOperatorKey applies a key that operators write: a maintenance wave or the
// configuration. A configuration with a lower number than the current one is
// ignored.
func (a *Agent) applyOperatorKey(it plat.Item) {
	if platform.IsWave(it.Key) {
		a.applyWave(it)
		return
	}
	if it.Deleted || !platform.IsConfig(it.Key) {
		return
	}
	v, err := platform.DecodeConfig(it.Value)
	if err != nil {
		a.log.Error().Str("key", it.Key).Int64("rev", it.Rev).Err(err).Msg("configuration cannot be decoded")
		return
	}
	if old := a.version.Load(); old != nil && old.Number >= v.Number {
		return
	}
	v.Follow(a.version.Load(), a.clock.Now())
	a.version.Store(v)
	a.log.Info().Int64("version", v.Number).Int64("rev", it.Rev).Int("queues", len(v.Queues)).Msg("configuration in force")
	names := make([]string, 0, len(v.Pools))
	for _, p := range v.Pools {
		names = append(names, p.Name)
	}
	a.elector.SetPools(append(names, fleet.ElectionName))
}

// pollWorkers reads the registered workers regularly and passes them to the
// owners; at once when an owner was added.
func (a *Agent) pollWorkers(ctx context.Context) {
	t := a.clock.NewTicker(workersPeriodIncoming)
	defer t.Stop()
	var last time.Time
	for {
		added := false
		select {
		case <-ctx.Done():
			return
		case <-a.ownerAdded:
			added = true
		case <-t.C:
		}
		if now := a.clock.Now(); added || a.hostsIncoming.Load() || now.Sub(last) >= workersPeriod {
			last = now
			a.readWorkers(ctx)
		}
	}
}

// readWorkers reads the registered workers and passes them to the owners.
func (a *Agent) readWorkers(ctx context.Context) {
	if a.ownerCount() == 0 {
		return
	}
	list, err := a.listWorkers(ctx)
	if err != nil {
		a.log.Warn().Err(err).Msg("reading the registered workers failed")
		return
	}
	a.eachOwner(func(pool string, o *owner.Owner) { o.SetWorkers(list.workers[pool], list.unreadable[pool]) })
}

// listWorkers returns the registered workers by pool.
func (a *Agent) listWorkers(ctx context.Context) (workerList, error) {
	items, _, err := a.store.List(ctx, platform.WorkerPrefix)
	if err != nil {
		return workerList{}, err
	}
	return a.registrations.byPool(items, a.clock.Now(), func() (map[string][]string, error) {
		rosters, _, err := a.store.List(ctx, owner.RosterPrefix)
		return owner.RosterPools(rosters), err
	})
}
