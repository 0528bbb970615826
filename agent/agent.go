// Package agent runs one entry on the users' platform: it answers callers,
// follows the configuration, takes part in elections and runs the owners of the
// pools that it was elected for.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/net/netutil"

	"shallotpaddle/elect"
	"shallotpaddle/fleet"
	"shallotpaddle/owner"
	"shallotpaddle/platform"
	"shallotpaddle/policy"
)

const (
	// leaseTTL is the length of the entry's lease: pools of a lost entry are
	// vacant for that long.
	leaseTTL = 1500 * time.Millisecond
	// quietMargin is added to the shortest pause between two stewards' orders.
	quietMargin = 200 * time.Millisecond
	// notice is how long a stopping entry still takes requests, until the
	// balancer has missed two probes of a second each.
	notice = 2500 * time.Millisecond
	// stopMargin is left of the grace period after the last request.
	stopMargin = 500 * time.Millisecond
	// callerWait is how long a request may take that names no time.
	callerWait = 3 * time.Second
	// readHeader and idle bound a caller's connection.
	readHeader = 3 * time.Second
	readBody   = 5 * time.Second
	idle       = 30 * time.Second
	// callersShare is the divisor of the descriptors that callers may use: the rest
	// is for the store and the workers.
	callersShare = 2
)

// Agent is one entry process.
type Agent struct {
	settings atomic.Pointer[platform.Settings]
	// metrics is where counters are served besides the readiness address; empty
	// for nowhere.
	metrics string
	clock   quartz.Clock
	log     *log.Logger
	reg     metrics.Registry

	store   *platform.Store
	workers *platform.Workers
	fleet   *platform.Fleet
	advisor *platform.Advisor
	stats   *owner.Stats
	desk    *desk
	elector *elect.Elector

	version  atomic.Pointer[policy.Version]
	stopping atomic.Bool
	// coming tells that hosts are on their way into a pool that is owned here.
	coming atomic.Bool

	mu     sync.Mutex
	owners map[string]*running // by pool
	wake   chan struct{}       // an owner was added
	waves  map[string]fleet.Wave
}

// running is an owner that this entry runs.
type running struct {
	owner *owner.Owner
	fence int64
	stop  context.CancelFunc
}

// New returns an agent that does nothing yet. Metrics, IP:port, is where counters
// are served besides the readiness address, unless empty.
func New(set *platform.Settings, metricsAddr string, clock quartz.Clock, logger *log.Logger) *Agent {
	a := &Agent{
		metrics: metricsAddr, clock: clock, log: logger, reg: metrics.NewRegistry(),
		store: platform.NewStore(set.Store, clock), workers: platform.NewWorkers(), fleet: platform.NewFleet(set.Fleet),
		advisor: platform.NewAdvisor(set.Advisor),
		owners:  map[string]*running{}, waves: map[string]fleet.Wave{}, wake: make(chan struct{}, 1),
	}
	a.settings.Store(set)
	a.stats = owner.NewStats(a.reg)
	a.desk = newDesk(a)
	return a
}

// set returns the settings in force.
func (a *Agent) set() *platform.Settings { return a.settings.Load() }

// Reload takes in changed settings. Bounds hold for pools that are taken over
// from now on; addresses are those of the start.
func (a *Agent) Reload(set *platform.Settings) {
	old := a.settings.Swap(set)
	a.log.Info().Str("entry", set.Name).Bool("changed", *old != *set).
		Bool("moved", old.Callers != set.Callers || old.Ready != set.Ready || old.Store != set.Store).Msg("settings reloaded")
}

// Run serves until stop ends, then stops within the platform's grace period.
func (a *Agent) Run(stop context.Context) error {
	callers, err := net.Listen("tcp", a.set().Callers)
	if err != nil {
		return fmt.Errorf("callers' address: %w", err)
	}
	ready, err := net.Listen("tcp", a.set().Ready)
	if err != nil {
		return errors.Join(fmt.Errorf("readiness address: %w", err), callers.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	desk := a.desk.desk()
	front := &http.Server{Handler: desk.Callers(), ReadHeaderTimeout: readHeader, ReadTimeout: readBody, IdleTimeout: idle}
	probes := &http.Server{Handler: a.probes(desk), ReadHeaderTimeout: readHeader, IdleTimeout: idle}
	a.elector = a.newElector(ctx)
	go a.elector.Run(ctx)
	go a.followPolicy(ctx)
	go a.followWorkers(ctx)
	go a.followPlan(ctx)
	go a.serve(front, netutil.LimitListener(callers, a.set().Files/callersShare))
	go a.serve(probes, ready)
	a.serveMetrics(ctx)
	a.log.Info().Str("entry", a.set().Name).Str("callers", a.set().Callers).Float64("cores", a.set().Cores).
		Int64("memory", a.set().Memory).Msg("started")
	<-stop.Done()
	a.drain(front)
	cancel()
	return errors.Join(front.Close(), probes.Close())
}

func (a *Agent) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		a.log.Error().Err(err).Msg("listener failed")
	}
}

// serveMetrics serves counters on an address of their own. An entry without them
// is still of use.
func (a *Agent) serveMetrics(ctx context.Context) {
	if a.metrics == "" {
		return
	}
	l, err := net.Listen("tcp", a.metrics)
	if err != nil {
		a.log.Error().Str("address", a.metrics).Err(err).Msg("metrics not served")
		return
	}
	s := &http.Server{Handler: a.counters(), ReadHeaderTimeout: readHeader, IdleTimeout: idle}
	go a.serve(s, l)
	go func() {
		<-ctx.Done()
		if err := s.Close(); err != nil {
			a.log.Warn().Err(err).Msg("metrics not closed")
		}
	}()
}

// counters serves the entry's metrics as text.
func (a *Agent) counters() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(a.reg, w) })
	return mux
}

// drain gives up the pools, lets the balancer notice, and finishes requests.
func (a *Agent) drain(front *http.Server) {
	a.stopping.Store(true)
	a.log.Info().Str("entry", a.set().Name).Msg("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), a.set().Bounds.Grace-stopMargin)
	defer cancel()
	a.elector.Resign(ctx)
	front.SetKeepAlivesEnabled(false)
	a.pause(ctx, notice)
	if err := front.Shutdown(ctx); err != nil {
		a.log.Warn().Str("entry", a.set().Name).Err(err).Msg("stopped with requests in flight")
		return
	}
	a.log.Info().Str("entry", a.set().Name).Msg("stopped")
}

func (a *Agent) pause(ctx context.Context, d time.Duration) {
	t := a.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// probes answers the platform's probes and serves metrics.
func (a *Agent) probes(d *platform.Desk) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", d.Readiness())
	mux.Handle("GET /metrics", a.counters())
	return mux
}

// ready tells whether callers may be sent here.
func (a *Agent) ready() bool {
	return !a.stopping.Load() && a.version.Load() != nil && !a.cutOff()
}

// silence is how long the store may serve no call of this entry before it counts
// as out of reach; the lease alone is renewed four times in its length.
const silence = time.Second

// cutOff tells whether the store is out of this entry's reach.
func (a *Agent) cutOff() bool { return a.clock.Since(a.store.Heard()) > silence }

func (a *Agent) newElector(ctx context.Context) *elect.Elector {
	return elect.New(elect.Params{
		Name: a.set().Name, Cores: a.set().Cores, Clock: a.clock, Log: a.log, TTL: max(leaseTTL, a.set().Bounds.LeaseMin),
		Store: elect.Store{
			List: a.store.List, Watch: a.store.Watch, Commit: a.store.Commit, Get: a.store.Get,
			Grant: a.store.Grant, Renew: a.store.Renew, Revoke: a.store.Revoke,
		},
		Won: func(t elect.Term) {
			if t.Pool == fleet.ElectionName {
				a.startSteward(ctx, t)
				return
			}
			a.startOwner(ctx, t)
		},
		Lost: func(t elect.Term, _ string) { a.stopOwner(t) },
	})
}

func (a *Agent) startOwner(ctx context.Context, t elect.Term) {
	run, stop := context.WithCancel(ctx)
	o := owner.New(owner.Params{
		Pool: t.Pool, ElectionKey: elect.Key(t.Pool), Fence: t.Fence, Term: t.Number,
		Bounds: owner.Bounds{MaxLease: a.set().Bounds.HoldMax, StopTime: a.set().Bounds.Stop, Drain: a.set().Bounds.Drain, StatusRetention: a.set().Bounds.Status},
		Store:  owner.Store{List: a.store.List, Watch: a.store.Watch, Commit: a.store.Commit},
		Workers: owner.Workers{
			Start: a.workers.Start, Stop: a.workers.Stop, Renew: a.workers.Renew, Pace: a.workers.Pace,
		},
		ReadPlan:   func(ctx context.Context) (owner.PoolPlan, error) { return a.wishes(ctx, t.Pool) },
		AskAdvisor: a.advisor.Ask,
		Clock:      a.clock, Log: a.log, Stats: a.stats,
	})
	a.keep(t, o, stop)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	go func() {
		defer stop()
		if err := o.Run(run); errors.Is(err, owner.ErrDeposed) {
			a.elector.GiveUp(t.Pool)
		}
	}()
}

// keep notes what runs for a seat; owner is nil for the steward.
func (a *Agent) keep(t elect.Term, o *owner.Owner, stop context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owners[t.Pool] = &running{o, t.Fence, stop}
}

func (a *Agent) startSteward(ctx context.Context, t elect.Term) {
	run, stop := context.WithCancel(ctx)
	s := fleet.New(fleet.Params{
		Name: a.set().Name, ElectionKey: elect.Key(t.Pool), Fence: t.Fence, QuietPeriod: a.set().Bounds.Lease + quietMargin,
		MinDowntime: a.set().Bounds.Upkeep, Clock: a.clock, Log: a.log, Policy: a.version.Load, Waves: a.waveList,
		List: a.store.List, Commit: a.store.Commit, Hosts: a.fleet.Hosts, OrderMove: a.fleet.Move, OrderMaintenance: a.fleet.Maintain,
		WaveStatus: platform.WaveStatus,
	})
	if t.Number == 1 {
		s.QuietPeriod = 0 // nobody can have given an order before
	}
	a.keep(t, nil, stop)
	go func() {
		defer stop()
		if err := s.Run(run); errors.Is(err, fleet.ErrDeposed) {
			a.elector.GiveUp(t.Pool)
		}
	}()
}

func (a *Agent) stopOwner(t elect.Term) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.owners[t.Pool]; r != nil && r.fence == t.Fence {
		r.stop()
		delete(a.owners, t.Pool)
	}
}

// owned returns the number of pools that are owned here.
func (a *Agent) owned() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, r := range a.owners {
		if r.owner != nil {
			n++
		}
	}
	return n
}

// each calls f for every owner that runs here.
func (a *Agent) each(f func(pool string, o *owner.Owner)) {
	a.mu.Lock()
	list := make(map[string]*owner.Owner, len(a.owners))
	for pool, r := range a.owners {
		if r.owner != nil {
			list[pool] = r.owner
		}
	}
	a.mu.Unlock()
	for pool, o := range list {
		f(pool, o)
	}
}
