package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"shallotpaddle/burn"
	"shallotpaddle/cache"
	"shallotpaddle/conf"
	"shallotpaddle/endpt"
	"shallotpaddle/jobs"
	"shallotpaddle/once"
	"shallotpaddle/peers"
	"shallotpaddle/plat"
	"shallotpaddle/route"
)

// Keys and key prefixes of the control documents in the platform's key-value
// service.
const (
	keyPrefix       = "fleet/"
	keyConf         = keyPrefix + "conf"
	prefixPlacement = keyPrefix + "place/"
	prefixOutage    = keyPrefix + "out/"
)

const (
	// heartbeatTimeout is how long after its last heartbeat a peer counts as live.
	heartbeatTimeout = 4 * time.Second
	// isolationTimeout is how long an entry goes on dispatching without an answer
	// from the store or a heartbeat from a peer.
	isolationTimeout = 10 * time.Second
	// unreachableTimeout is how long a move or reboot waits for an entry whose
	// heartbeats are missing: twice the time after which that entry has stopped
	// dispatching by itself.
	unreachableTimeout = 2 * isolationTimeout
	// memberRetention is how long an entry without heartbeats stays in the table of
	// members: longer than network partitions between regions last.
	memberRetention = time.Hour
	// messageQueueSize bounds the messages that wait for the loop, and the changes
	// that wait to be carried out.
	messageQueueSize = 1024
)

// Entry is one entry host. Its exported methods are safe for concurrent use.
type Entry struct {
	settings *conf.Settings
	clock    quartz.Clock
	log      *log.Logger
	metrics  metrics.Registry
	bootID   string // random, differs at each start of the process

	store     *plat.Client  // the platform, with its key-value store
	docs      *cache.Cache  // replica of the control documents and registrations
	endpoints *endpt.Client // calls the hosts' endpoints
	router    *route.Router
	node      *peers.Node
	jobs      *jobs.Runner
	claims    *once.Claims // of requests with an Idempotency-Key

	burn           *burn.Recorder
	measures       *burn.Measures
	dispatchDelays metrics.Timer // time from arrival to dispatch

	messages chan message
	actions  chan action
	events   *ring
	status   atomic.Pointer[Status]
	opCount  atomic.Uint64 // operation ids issued
	stopping atomic.Bool
	loop     *loop
}

// message is posted to the control loop and applied by it.
type message interface {
	apply(*loop)
}

// New returns an entry that is not running yet; Run starts it.
func New(settings *conf.Settings, clock quartz.Clock, logger *log.Logger, reg metrics.Registry) *Entry {
	store := plat.NewGuarded(settings.Platform().URL, clock, reg)
	endpoints := endpt.New(endpt.ConnsPerEntry(max(1, len(settings.Peers().Addresses))))
	e := &Entry{
		settings: settings, clock: clock, log: logger, metrics: reg, bootID: rand.Text()[:8],
		store: store, docs: cache.New(store, keyPrefix, clock), endpoints: endpoints,
		messages: make(chan message, messageQueueSize), actions: make(chan action, messageQueueSize),
		events: newRing(), burn: burn.New(clock), measures: burn.NewMeasures(),
		dispatchDelays: metrics.GetOrRegisterTimer("work.delay", reg),
	}
	_ = e.measures.Register(reg)
	store.SetTimeout(settings.Platform().RequestTimeout.Std())
	e.router = route.New(clock, endpoints, e.recordWork)
	e.router.SetLimits(settings.Limits().QueueDepth, settings.Limits().RetryShare, settings.Limits().TaskCheckInterval.Std())
	e.node = peers.New(e.serve, messageLimits(settings))
	ledger := once.NewStore(store, nil)
	e.jobs = jobs.New(e.Name(), e.bootID, ledger, clock, e.router, endpoints, e.jobFleet())
	e.claims = once.NewClaims(ledger, clock, once.LogName(e.Name(), e.bootID), once.DefaultShards)
	metrics.NewRegisteredFunctionalGauge("peers.sent", reg, func() int64 { n, _ := e.node.Bytes(); return n })
	metrics.NewRegisteredFunctionalGauge("peers.received", reg, func() int64 { _, n := e.node.Bytes(); return n })
	e.loop = newLoop(e)
	e.status.Store(&Status{})
	return e
}

// messageLimits returns the bounds of peers' messages, none unless the settings ask for it.
func messageLimits(settings *conf.Settings) peers.Limits {
	if limits := settings.Limits(); !limits.BoundsClients() {
		return peers.Limits{}
	}
	l := settings.Listen().Peers
	return peers.Limits{MaxBytes: int64(l.MaxBodyBytes), StallTimeout: l.StallTimeout.Std()}
}

// Router returns the entry's router.
func (e *Entry) Router() *route.Router { return e.router }

// Name returns the entry's name.
func (e *Entry) Name() string { return e.settings.Self().Name }

// Run runs the entry until ctx ends. It accepts the calls of peers on ln.
func (e *Entry) Run(ctx context.Context, ln net.Listener) error {
	body, err := json.Marshal(struct {
		Addr string `json:"addr"`
		DC   string `json:"dc"`
		Boot string `json:"boot"`
	}{e.settings.Self().Address, e.settings.Self().DC, e.bootID})
	if err != nil {
		return fmt.Errorf("registration: %w", err)
	}
	g, ctx := errgroup.WithContext(ctx)
	ttl := e.settings.Platform().LeaseTTL.Std()
	g.Go(func() error { return e.docs.Register(plat.WithClass(ctx, plat.Config), e.Name(), body, ttl) })
	g.Go(func() error { return e.docs.Run(plat.WithClass(ctx, plat.Config)) })
	g.Go(func() error { return e.router.Run(ctx) })
	g.Go(func() error { return e.node.Serve(ctx, ln) })
	g.Go(func() error { return e.loop.run(ctx) })
	g.Go(func() error { return e.followHostList(ctx) })
	g.Go(func() error { return e.jobs.Run(plat.WithClass(ctx, plat.Ledger)) })
	g.Go(func() error { return e.sweepClaims(ctx) })
	g.Go(func() error {
		e.claims.Run(plat.WithClass(ctx, plat.Ledger))
		return nil
	})
	for range changeWorkers {
		g.Go(func() error { return e.runChanges(ctx) })
	}
	err = g.Wait()
	e.node.Close()
	e.endpoints.Close()
	e.store.Close()
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("entry %s: %w", e.Name(), err)
	}
	return nil
}

// BeginStop makes the entry report itself unready and take no more work; the
// next heartbeat tells the peers.
func (e *Entry) BeginStop() { e.stopping.Store(true) }

// recordWork counts a request or task that has ended, by outcome.
func (e *Entry) recordWork(r route.Record) {
	e.burn.Record(r.Queue, r.Customer, r.Outcome)
	metrics.GetOrRegisterCounter("work."+r.Outcome.String(), e.metrics).Inc(1)
	if r.Delay > 0 {
		e.dispatchDelays.Update(r.Delay)
	}
}

// post sends a message to the loop, or drops it when ctx ends first.
func (e *Entry) post(ctx context.Context, m message) {
	select {
	case e.messages <- m:
	case <-ctx.Done():
	}
}

// newOpID returns an operation id that is unique over entries and restarts.
func (e *Entry) newOpID() string {
	return fmt.Sprintf("%s-%s-%d", e.Name(), e.bootID, e.opCount.Add(1))
}
