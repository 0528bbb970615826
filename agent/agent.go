// Package agent runs one entry on the users' platform: it answers callers,
// follows the configuration, takes part in elections, and runs the owners of the
// pools that it leads, and the fleet controller if elected.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"shallotpaddle/advice"
	"shallotpaddle/elect"
	"shallotpaddle/fleet"
	"shallotpaddle/hedge"
	"shallotpaddle/intake"
	"shallotpaddle/owner"
	"shallotpaddle/plat"
	"shallotpaddle/platform"
	"shallotpaddle/policy"
	"shallotpaddle/spill"
)

const (
	// leaseTTL is the least TTL of the entry's lease: the pools of an entry that
	// fails have no leader for that long.
	leaseTTL = 1500 * time.Millisecond
	// quietMargin is added to the shortest time that must lie between orders of two
	// fleet controllers.
	quietMargin = 200 * time.Millisecond
	// balancerNotice is how long a stopping entry still accepts requests: until the
	// load balancer has seen two probes fail, at one a second.
	balancerNotice = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is kept for stopping after
	// the last request.
	stopMargin = 500 * time.Millisecond
	// defaultRequestTimeout is how long a request without a deadline may take.
	defaultRequestTimeout = 3 * time.Second
	// Timeouts of a caller's connection.
	readHeaderTimeout = 3 * time.Second
	readTimeout       = 5 * time.Second
	idleTimeout       = 30 * time.Second
	// Percentages for debug.SetGCPercent, without and with an owner or the fleet controller. At 100,
	// the collector took a tenth of a busy owner's CPU.
	idleGCPercent   = 100
	runnerGCPercent = 300
)

// Agent is one entry process.
type Agent struct {
	settings atomic.Pointer[platform.Settings]
	// metricsAddress, IP:port, is where metrics are served besides the readiness
	// address; empty for nowhere.
	metricsAddress string
	clock          quartz.Clock
	log            *log.Logger
	registry       metrics.Registry
	gate           *intake.Gate // of all listeners

	store   *platform.Store
	reads   storeReads    // of the store, for prefixes that are followed
	writer  *hedge.Writer // of the store
	workers *platform.Workers
	fleet   *platform.Fleet
	advisor *platform.Advisor
	advice  *advice.Line // for the advisor
	room    *spill.Room  // for the jobs of all owners
	stats   *owner.Stats
	jobAPI  *jobAPI
	// registrations is used by the goroutine of pollWorkers only.
	registrations *registrations
	elector       *elect.Elector

	version atomic.Pointer[policy.Version]
	// policyReadAt is when the operators' keys were last asked for with success, in Unix
	// nanoseconds.
	policyReadAt atomic.Int64
	// policyRead ends the read of the operators' keys that is under way.
	policyRead atomic.Pointer[context.CancelFunc]
	// storeBackAt is when the store last served this entry again after a silence, in Unix
	// nanoseconds.
	storeBackAt atomic.Int64
	stopping    atomic.Bool
	// hostsIncoming is true while hosts move into a pool that this entry leads.
	hostsIncoming atomic.Bool

	mu         sync.Mutex
	runners    map[string]*runner    // by pool; the fleet controller by fleet.ElectionName
	ownerAdded chan struct{}         // receives a value when an owner was added
	waves      map[string]fleet.Wave // by key
}

// runner is what this entry runs for an election that it won: a pool's owner or
// the fleet controller.
type runner struct {
	owner *owner.Owner // nil for the fleet controller
	fence int64
	stop  context.CancelFunc
}

// New returns an agent; Run starts it. Metrics are served at metricsAddress,
// IP:port, besides the readiness address, unless it is empty.
func New(set *platform.Settings, metricsAddress string, clock quartz.Clock, logger *log.Logger) *Agent {
	a := &Agent{
		metricsAddress: metricsAddress, clock: clock, log: logger, registry: metrics.NewRegistry(),
		store: platform.NewStore(set.StoreAddress, clock), workers: platform.NewWorkers(), fleet: platform.NewFleet(set.FleetAddress),
		advisor: platform.NewAdvisor(set.AdvisorAddress), advice: advice.New(clock), room: spill.NewRoom(set.MemoryBytes),
		runners: map[string]*runner{}, waves: map[string]fleet.Wave{}, ownerAdded: make(chan struct{}, 1),
	}
	a.settings.Store(set)
	a.reads = storeReads{
		list: func(ctx context.Context, prefix string) ([]plat.Item, int64, error) { return a.store.List(ctx, prefix) },
		watch: func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error) {
			return a.store.Watch(ctx, prefix, after, wait)
		},
	}
	a.gate = intake.New(set.Intake, clock, logger, a.registry)
	a.registrations = newRegistrations(logger, set.Bounds.Heartbeat)
	a.writer = hedge.New(hedge.Params{
		Commit: a.store.Commit, Grant: a.store.Grant, Renew: a.store.Renew, Clock: clock, Timeout: platform.StoreTimeout,
		Repeats: metrics.NewRegisteredCounter("store.repeats", a.registry),
	})
	a.store.OnReturn(unreachableAfter, a.storeReturned)
	a.stats = owner.NewStats(a.registry)
	a.jobAPI = newJobAPI(a)
	return a
}

// currentSettings returns the settings in force; Reload changes them.
func (a *Agent) currentSettings() *platform.Settings { return a.settings.Load() }

// Reload replaces the settings. Changed bounds apply to pools that this entry
// takes over from now on; changed addresses apply after a restart only.
func (a *Agent) Reload(set *platform.Settings) {
	old := a.settings.Swap(set)
	a.log.Info().Str("entry", set.Name).Bool("changed", *old != *set).
		Bool("moved", old.CallersAddress != set.CallersAddress || old.ReadinessAddress != set.ReadinessAddress || old.StoreAddress != set.StoreAddress).Msg("settings reloaded")
}

// Run serves until stop ends, then stops within the platform's grace period.
func (a *Agent) Run(stop context.Context) error {
	callers, err := a.gate.Listen(a.currentSettings().CallersAddress)
	if err != nil {
		return fmt.Errorf("listening on the callers' address failed: %w", err)
	}
	ready, err := a.gate.Listen(a.currentSettings().ReadinessAddress)
	if err != nil {
		return errors.Join(fmt.Errorf("listening on the readiness address failed: %w", err), callers.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	handlers := a.jobAPI.handlers()
	callerServer := &http.Server{Handler: handlers.Callers(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	probeServer := &http.Server{Handler: a.probeHandler(handlers), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	a.elector = a.newElector(ctx)
	go a.elector.Run(ctx)
	go a.watchOperatorKeys(ctx)
	go a.pollWorkers(ctx)
	go a.watchPlan(ctx)
	go a.watchLoads(ctx)
	go a.watchQuotas(ctx)
	go a.probeSilentStore(ctx)
	go a.serve(callerServer, a.gate.Callers(callerServer, callers))
	go a.serve(probeServer, a.gate.Probes(probeServer, ready))
	a.serveMetrics(ctx)
	a.log.Info().Str("entry", a.currentSettings().Name).Str("callers", a.currentSettings().CallersAddress).Float64("cores", a.currentSettings().Cores).
		Int64("memory", a.currentSettings().MemoryBytes).Msg("started")
	<-stop.Done()
	a.shutDown(callerServer)
	cancel()
	return errors.Join(callerServer.Close(), probeServer.Close())
}

func (a *Agent) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		a.log.Error().Err(err).Msg("listener failed")
	}
}

// serveMetrics serves metrics on their own address, if there is one. A failure is
// only logged, as the entry can work without them.
func (a *Agent) serveMetrics(ctx context.Context) {
	if a.metricsAddress == "" {
		return
	}
	l, err := a.gate.Listen(a.metricsAddress)
	if err != nil {
		a.log.Error().Str("address", a.metricsAddress).Err(err).Msg("listening on the metrics address failed")
		return
	}
	s := &http.Server{Handler: a.metricsHandler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	go a.serve(s, a.gate.Probes(s, l))
	go func() {
		<-ctx.Done()
		if err := s.Close(); err != nil {
			a.log.Warn().Err(err).Msg("closing the metrics server failed")
		}
	}()
}

// metricsHandler returns a handler that serves the entry's metrics as text.
func (a *Agent) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(a.registry, w) })
	return mux
}

// shutDown gives up all pools, fails the readiness probes until the load balancer
// sends no more requests, and waits for requests under way.
func (a *Agent) shutDown(callerServer *http.Server) {
	a.stopping.Store(true)
	a.log.Info().Str("entry", a.currentSettings().Name).Msg("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), a.currentSettings().Bounds.GracePeriod-stopMargin)
	defer cancel()
	a.elector.Resign(ctx)
	callerServer.SetKeepAlivesEnabled(false)
	a.pause(ctx, balancerNotice)
	if err := callerServer.Shutdown(ctx); err != nil {
		a.log.Warn().Str("entry", a.currentSettings().Name).Err(err).Msg("stopped with requests in flight")
		return
	}
	a.log.Info().Str("entry", a.currentSettings().Name).Msg("stopped")
}

// pause waits for d, or until the context ends.
func (a *Agent) pause(ctx context.Context, d time.Duration) {
	t := a.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// probeHandler returns a handler that answers the platform's probes and serves
// metrics.
func (a *Agent) probeHandler(handlers *platform.Handlers) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", handlers.Readiness())
	mux.Handle("GET /metrics", a.metricsHandler())
	return mux
}

// ready reports whether this entry can serve callers.
func (a *Agent) ready() bool {
	return !a.stopping.Load() && a.version.Load() != nil && !a.storeUnreachable()
}

// unreachableAfter is the time without a served call after which the store counts
// as unreachable. Calls are frequent enough: renewals of the lease alone come at least
// each 0.4 s.
const unreachableAfter = time.Second

// storeUnreachable reports whether this entry can't reach the store.
func (a *Agent) storeUnreachable() bool {
	return a.clock.Since(a.store.LastServed()) > unreachableAfter
}

func (a *Agent) newElector(ctx context.Context) *elect.Elector {
	return elect.New(elect.Params{
		Name: a.currentSettings().Name, Cores: a.currentSettings().Cores, Clock: a.clock, SinceBoot: sinceBoot, Log: a.log, TTL: max(leaseTTL, a.currentSettings().Bounds.MinStoreLease),
		Store: elect.Store{
			List: a.store.List, Watch: a.store.Watch, Commit: a.writer.Commit, Get: a.store.Get,
			Grant: a.writer.Grant, Renew: a.writer.Renew, Revoke: a.store.Revoke,
		},
		Won: func(t elect.Term) {
			if t.Pool == fleet.ElectionName {
				a.startController(ctx, t)
				return
			}
			a.startOwner(ctx, t)
		},
		Lost: func(t elect.Term, _ string) { a.stopRunner(t) }, Surplus: a.surplus,
	})
}

// startOwner runs the owner of a pool for a term.
func (a *Agent) startOwner(ctx context.Context, t elect.Term) {
	run, stop := context.WithCancel(ctx)
	o := owner.New(owner.Params{
		Pool: t.Pool, ElectionKey: elect.Key(t.Pool), Fence: t.Fence, Term: t.Number,
		Bounds: owner.Bounds{MaxLease: a.currentSettings().Bounds.MaxLease, StopTime: a.currentSettings().Bounds.StopTime, Drain: a.currentSettings().Bounds.DrainNotice, StatusRetention: a.currentSettings().Bounds.StatusRetention, QuotaWindow: a.currentSettings().Bounds.QuotaWindow},
		Store:  owner.Store{List: a.store.List, Pages: a.store.Pages, Watch: a.store.Watch, Commit: a.writer.Commit},
		Workers: owner.Workers{
			Start: a.workers.Start, Stop: a.workers.Stop, Renew: a.workers.Renew, Pace: a.workers.Pace,
		},
		Room:       a.room,
		Policy:     a.version.Load,
		ReadPlan:   func(ctx context.Context) (owner.PoolPlan, error) { return a.readPoolPlan(ctx, t.Pool) },
		AskAdvisor: a.advisor.Ask, Advice: a.advice, Proven: a.elector.Proven, ProvenAt: a.elector.ProvenAt,
		FormerEnded: func() bool { return a.elector.FormerEnded(t) }, Settled: func() { a.elector.Settle(t) },
		SettledAt: func(term int) (time.Duration, bool) { return a.elector.SettledAt(t.Pool, term) }, SinceBoot: sinceBoot,
		Clock: a.clock, Log: a.log, Stats: a.stats,
	})
	a.addRunner(t, o, stop)
	select {
	case a.ownerAdded <- struct{}{}:
	default:
	}
	go func() {
		defer stop()
		if err := o.Run(run); errors.Is(err, owner.ErrDeposed) {
			a.elector.GiveUp(t.Pool)
		}
	}()
}

// addRunner records what runs for a term; owner is nil for the fleet controller.
func (a *Agent) addRunner(t elect.Term, o *owner.Owner, stop context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runners[t.Pool] = &runner{o, t.Fence, stop}
	a.setGCPercent()
}

// newSweeper returns what removes old cancellations. One entry runs it at a time, to save calls.
func (a *Agent) newSweeper() *sweeper {
	return &sweeper{
		list: a.store.List, commit: a.writer.Commit, pause: a.pause, clock: a.clock, log: a.log,
		keep: a.jobAPI.cancelled.keepTime, removed: metrics.GetOrRegisterCounter("desk.cancelled.removed", a.registry),
	}
}

// startController runs the fleet controller, and the sweeper, for a term.
func (a *Agent) startController(ctx context.Context, t elect.Term) {
	run, stop := context.WithCancel(ctx)
	s := fleet.New(fleet.Params{
		Name: a.currentSettings().Name, ElectionKey: elect.Key(t.Pool), Fence: t.Fence, QuietPeriod: a.currentSettings().Bounds.QuietPeriod + quietMargin,
		SinceBoot: sinceBoot, MinDowntime: a.currentSettings().Bounds.MaintenanceTime, Clock: a.clock, Log: a.log, Policy: a.version.Load, Waves: a.requestedWaves,
		List: a.store.List, Commit: a.writer.Commit, Hosts: a.fleet.Hosts, OrderMove: a.fleet.Move, OrderMaintenance: a.fleet.Maintain,
		WaveStatus: platform.WaveStatus,
	})
	a.addRunner(t, nil, stop)
	go a.newSweeper().run(run)
	go func() {
		defer stop()
		if err := s.Run(run); errors.Is(err, fleet.ErrDeposed) {
			a.elector.GiveUp(t.Pool)
		}
	}()
}

// stopRunner stops what runs for a term.
func (a *Agent) stopRunner(t elect.Term) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.runners[t.Pool]; r != nil && r.fence == t.Fence {
		r.stop()
		delete(a.runners, t.Pool)
		a.setGCPercent()
	}
}

// setGCPercent sets how much the heap may grow between two garbage collections: further while the
// entry runs an owner, whose calls to workers allocate much and keep little. The limit of the memory
// holds in any case. a.mu is held.
func (a *Agent) setGCPercent() {
	percent := idleGCPercent
	if len(a.runners) > 0 {
		percent = runnerGCPercent
	}
	debug.SetGCPercent(percent)
}

// ownerCount returns the number of owners that run at this entry.
func (a *Agent) ownerCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, r := range a.runners {
		if r.owner != nil {
			n++
		}
	}
	return n
}

// surplus returns the pool with the least work of those that this entry owns, if one of its owners
// can't keep up: first of those that can, as the others lose more by a takeover. It returns an empty
// name if there is no reason. Pools without jobs cost little and stay.
func (a *Agent) surplus() string {
	least, names, behind := [2]int{}, [2]string{}, 0
	a.eachOwner(func(pool string, o *owner.Owner) {
		d, i := o.Demand(), 0
		if o.Behind() {
			i = 1
			behind++
		}
		if d > 0 && (names[i] == "" || d < least[i]) {
			least[i], names[i] = d, pool
		}
	})
	switch {
	case behind > 0 && names[0] != "":
		return names[0]
	case behind > 1:
		return names[1]
	default:
		return ""
	}
}

// eachOwner calls f for every owner that runs at this entry.
func (a *Agent) eachOwner(f func(pool string, o *owner.Owner)) {
	a.mu.Lock()
	list := make(map[string]*owner.Owner, len(a.runners))
	for pool, r := range a.runners {
		if r.owner != nil {
			list[pool] = r.owner
		}
	}
	a.mu.Unlock()
	for pool, o := range list {
		f(pool, o)
	}
}
