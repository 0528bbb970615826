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

// Keys of the control documents in the platform's key-value service.
const (
	keyPrefix   = "fleet/"
	keyConf     = keyPrefix + "conf"
	prefixPlace = keyPrefix + "place/"
	prefixOut   = keyPrefix + "out/"
)

const (
	// liveTime is how long after its last heartbeat a peer counts as live.
	liveTime = 4 * time.Second
	// isolation is how long an entry dispatches without word from the store or
	// from a live peer.
	isolation = 10 * time.Second
	// silence is how long a move or reboot waits for an entry that is not heard:
	// twice the time after which that entry has stopped by itself.
	silence = 2 * isolation
	// memory is how long a silent entry is counted among those known: longer than
	// regions are cut off from each other.
	memory = time.Hour
	// messageQueue bounds the messages that wait for the loop.
	messageQueue = 1024
)

// Entry is one entry host. Its exported methods may be called from any
// goroutine.
type Entry struct {
	set     *conf.Settings
	clock   quartz.Clock
	log     *log.Logger
	metrics metrics.Registry
	boot    string

	store  *plat.Client
	docs   *cache.Cache
	worker *endpt.Client
	router *route.Router
	node   *peers.Node
	jobs   *jobs.Runner
	claims *once.Claims

	burn     *burn.Recorder
	measures *burn.Measures
	delays   metrics.Timer // time from arrival to dispatch

	messages chan message
	actions  chan action
	events   *ring
	status   atomic.Pointer[Status]
	ops      atomic.Uint64 // numbers of operations made here
	stopping atomic.Bool
	loop     *loop
}

// message is posted to the control loop and applied by it.
type message interface {
	apply(*loop)
}

// New returns an entry that has not started.
func New(set *conf.Settings, clock quartz.Clock, logger *log.Logger, reg metrics.Registry) *Entry {
	store := plat.NewGuarded(set.Platform().URL, clock, reg)
	worker := endpt.New(endpt.Conns(max(1, len(set.Peers().Addresses))))
	e := &Entry{
		set: set, clock: clock, log: logger, metrics: reg, boot: rand.Text()[:8],
		store: store, docs: cache.New(store, keyPrefix, clock), worker: worker,
		messages: make(chan message, messageQueue), actions: make(chan action, messageQueue),
		events: newRing(), burn: burn.New(clock), measures: burn.NewMeasures(),
		delays: metrics.GetOrRegisterTimer("work.delay", reg),
	}
	_ = e.measures.Register(reg)
	store.SetTimeout(set.Platform().Timeout.Std())
	e.router = route.New(clock, worker, e.record)
	e.router.SetLimits(set.Limits().Depth, set.Limits().Retry, set.Limits().Watch.Std())
	e.node = peers.New(e.serve)
	ledger := once.NewStore(store, nil)
	e.jobs = jobs.New(e.Name(), e.boot, ledger, clock, e.router, worker, e.jobFleet())
	e.claims = once.NewClaims(ledger, clock, once.LogName(e.Name(), e.boot), once.DefaultShards)
	metrics.NewRegisteredFunctionalGauge("peers.sent", reg, func() int64 { n, _ := e.node.Bytes(); return n })
	metrics.NewRegisteredFunctionalGauge("peers.received", reg, func() int64 { _, n := e.node.Bytes(); return n })
	e.loop = newLoop(e)
	e.status.Store(&Status{})
	return e
}

// Router returns the entry's router.
func (e *Entry) Router() *route.Router { return e.router }

// Name returns the entry's name.
func (e *Entry) Name() string { return e.set.Self().Name }

// Run runs the entry until ctx ends. The listener serves peers.
func (e *Entry) Run(ctx context.Context, ln net.Listener) error {
	body, err := json.Marshal(struct {
		Addr string `json:"addr"`
		DC   string `json:"dc"`
		Boot string `json:"boot"`
	}{e.set.Self().Address, e.set.Self().DC, e.boot})
	if err != nil {
		return fmt.Errorf("registration: %w", err)
	}
	g, ctx := errgroup.WithContext(ctx)
	ttl := e.set.Platform().TTL.Std()
	g.Go(func() error { return e.docs.Register(plat.WithClass(ctx, plat.Config), e.Name(), body, ttl) })
	g.Go(func() error { return e.docs.Run(plat.WithClass(ctx, plat.Config)) })
	g.Go(func() error { return e.router.Run(ctx) })
	g.Go(func() error { return e.node.Serve(ctx, ln) })
	g.Go(func() error { return e.loop.run(ctx) })
	g.Go(func() error { return e.listHosts(ctx) })
	g.Go(func() error { return e.jobs.Run(plat.WithClass(ctx, plat.Ledger)) })
	g.Go(func() error { return e.sweepClaims(ctx) })
	g.Go(func() error {
		e.claims.Run(plat.WithClass(ctx, plat.Ledger))
		return nil
	})
	for range actors {
		g.Go(func() error { return e.act(ctx) })
	}
	err = g.Wait()
	e.node.Close()
	e.worker.Close()
	e.store.Close()
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("entry %s: %w", e.Name(), err)
	}
	return nil
}

// BeginStop makes the entry report itself unready and take no more work; the
// peers learn it with the next heartbeat.
func (e *Entry) BeginStop() { e.stopping.Store(true) }

// record counts a piece of work that ended.
func (e *Entry) record(r route.Record) {
	e.burn.Record(r.Queue, r.Customer, r.Outcome)
	metrics.GetOrRegisterCounter("work."+r.Outcome.String(), e.metrics).Inc(1)
	if r.Delay > 0 {
		e.delays.Update(r.Delay)
	}
}

// post hands a message to the loop; it is dropped when ctx ends first.
func (e *Entry) post(ctx context.Context, m message) {
	select {
	case e.messages <- m:
	case <-ctx.Done():
	}
}

// newOp returns an id for an operation that no other entry or boot uses.
func (e *Entry) newOp() string {
	return fmt.Sprintf("%s-%s-%d", e.Name(), e.boot, e.ops.Add(1))
}
