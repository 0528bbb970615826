package route

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"

	"shallotpaddle/admit"
	"shallotpaddle/burn"
	"shallotpaddle/endpt"
	"shallotpaddle/sched"
	"shallotpaddle/table"
)

const (
	// pumpEvery is the interval at which waiting work is tried again.
	pumpEvery = 20 * time.Millisecond
	// startLimit is the longest wait for a slot of work without a due time.
	startLimit = time.Minute
	// shunDial and shunLeaving are how long a host is passed over that could not
	// be reached or refused as leaving.
	shunDial    = time.Second
	shunLeaving = 5 * time.Second
	// staleGrant is the age at which a taken host is checked again before the
	// dispatch.
	staleGrant = 100 * time.Millisecond
	// durableDepth is the queue depth for durable work, which the ledger bounds.
	durableDepth = 1 << 30
	// durableLimit is the longest wait for a slot of durable work; its owner
	// starts it again.
	durableLimit = time.Hour
	// LeaseTime is the lease of a durable task at its worker, renewed at a third
	// of it.
	LeaseTime = 15 * time.Second
)

// Record is what became of one piece of work, for the service-level report.
type Record struct {
	Queue, Customer string
	Outcome         burn.Outcome
	// Delay is the time from arrival to the dispatch, 0 when there was none.
	Delay time.Duration
}

// Router carries work to workers.
type Router struct {
	clock  quartz.Clock
	client *endpt.Client
	record func(Record)
	admit  *admit.Control

	view  atomic.Pointer[View]
	mu    sync.RWMutex
	pools map[string]*pool
	items atomic.Uint64
	depth int     // of queues that declare none or more, in items
	retry float64 // share of successes that may be retries
	// every is the interval at which the worker of an answer that is waited for is
	// asked about the task.
	every    time.Duration
	watchMu  sync.Mutex
	watches  map[*watch]struct{}
	running  atomic.Int64 // pieces of work taken in and not ended
	stopping atomic.Bool
}

// New returns a router with an empty view; record is called at the end of each
// piece of work.
func New(clock quartz.Clock, client *endpt.Client, record func(Record)) *Router {
	r := &Router{
		clock: clock, client: client, record: record,
		admit: admit.New(admit.DefaultLimits()), pools: map[string]*pool{},
		watches: map[*watch]struct{}{}, depth: table.DefaultDepth, retry: admit.RetryShare, every: watchEvery,
	}
	r.view.Store(&View{})
	return r
}

// SetLimits sets the most items that wait in a queue which declares no depth of
// its own or a larger one, the share of a pool's successes that may be retries,
// and the interval at which the worker of an answer that is waited for is asked
// about the task. It is called before the first view and before Run.
func (r *Router) SetLimits(depth int, retry float64, watch time.Duration) {
	r.depth, r.retry, r.every = depth, retry, watch
}

// Run retries waiting work, and gives up dispatches whose answer can't come any
// more, until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	next := r.clock.Now().Add(r.every)
	return r.clock.TickerFunc(ctx, pumpEvery, func() error {
		r.each(func(_ string, p *pool) { p.tick() })
		if now := r.clock.Now(); !now.Before(next) {
			next = now.Add(r.every)
			r.checkWatches()
		}
		return nil
	}).Wait()
}

// SetView installs the fleet's state. When it returns, no slot is taken any
// more on a host that the view does not name.
func (r *Router) SetView(v *View) {
	r.view.Store(v)
	r.mu.Lock()
	for name := range v.Pools {
		if r.pools[name] == nil {
			r.pools[name] = newPool(name, r.clock, r.retry)
		}
	}
	for name, p := range r.pools {
		if _, ok := v.Pools[name]; !ok && p.close() {
			delete(r.pools, name)
		}
	}
	r.mu.Unlock()
	r.each(func(name string, p *pool) { p.set(v.Pools[name], v.Serving, v.Entries) })
}

// View returns the view in force.
func (r *Router) View() *View { return r.view.Load() }

func (r *Router) each(f func(name string, p *pool)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for name, p := range r.pools {
		f(name, p)
	}
}

func (r *Router) pool(name string) *pool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pools[name]
}

// Stop refuses new work and waits until all that was taken in has ended, or
// until ctx ends; it returns the number still in flight.
func (r *Router) Stop(ctx context.Context) int64 {
	r.stopping.Store(true)
	idle := errors.New("idle")
	_ = r.clock.TickerFunc(ctx, pumpEvery, func() error {
		if r.running.Load() == 0 {
			return idle
		}
		return nil
	}).Wait()
	return r.running.Load()
}

// Active returns the pieces of work taken in and not ended.
func (r *Router) Active() int64 { return r.running.Load() }

// order is the resolved description of one piece of work.
type order struct {
	work       Work
	queue      QueueView
	idempotent bool
	attempts   int
	slots      int
	dispatches int // made so far
	pool       *pool
	poolName   string
	arrived    time.Time
	limit      time.Time // latest start
	item       *sched.Item
}

// resolve checks work against the configuration.
func (r *Router) resolve(w Work) (*order, error) {
	v := r.view.Load()
	q, ok := v.Queues[w.Queue]
	if !ok {
		return nil, fmt.Errorf("%w: queue %q", ErrNoQueue, w.Queue)
	}
	customer, ok := v.Customers[w.Customer]
	if !ok {
		return nil, fmt.Errorf("%w: customer %q is not in the ranking", ErrInvalid, w.Customer)
	}
	kind, ok := v.Jobs[w.Kind]
	if !ok || kind.Queue != w.Queue {
		return nil, fmt.Errorf("%w: kind %q does not belong to queue %q", ErrInvalid, w.Kind, w.Queue)
	}
	now := r.clock.Now()
	if !w.Durable && !w.Due.IsZero() && !w.Due.After(now) {
		return nil, fmt.Errorf("%w: due time %s is past", ErrInvalid, w.Due.Format(time.RFC3339))
	}
	o := &order{
		work: w, queue: q, idempotent: kind.Idempotent, attempts: kind.Attempts, slots: max(1, kind.Slots),
		pool: r.pool(q.Spec.Pool), poolName: q.Spec.Pool, arrived: now, limit: w.Due,
	}
	if o.pool == nil {
		return nil, fmt.Errorf("%w: pool %q is not in force", ErrNotRun, q.Spec.Pool)
	}
	if w.Idempotent != nil {
		o.idempotent = *w.Idempotent
	}
	if o.attempts <= 0 {
		o.attempts = table.DefaultAttempts
	}
	switch {
	case w.Durable:
		o.limit = now.Add(durableLimit)
	case w.Due.IsZero():
		o.limit = now.Add(startLimit)
	}
	o.item = sched.NewItem(r.items.Add(1), itemSpec(o, customer, kind))
	return o, nil
}

func itemSpec(o *order, c table.CustomerSpec, k table.JobSpec) sched.Spec {
	depth := o.queue.Spec.Depth
	if o.work.Durable {
		depth = durableDepth
	}
	return sched.Spec{
		Queue: o.work.Queue, Customer: o.work.Customer, Kind: o.work.Kind,
		CustomerRank: c.Rank, JobRank: k.Rank, RunTime: k.Run.Std(), Slots: o.slots,
		Due: o.work.Due, Arrived: o.arrived, Target: o.queue.Spec.Target.Std(),
		Quota: c.Quota, Depth: depth, Window: o.queue.Window,
	}
}

// admitOrder refuses work early that can't be done.
func (r *Router) admitOrder(o *order) error {
	if r.stopping.Load() {
		return fmt.Errorf("%w: %w", ErrNotRun, ErrStopping)
	}
	if !r.view.Load().Serving {
		return fmt.Errorf("%w: %w", ErrNotRun, ErrIsolated)
	}
	if o.work.Durable {
		return nil
	}
	f := o.pool.forecast(o.arrived, o.item)
	depth := r.depth
	if d := o.queue.Spec.Depth; d > 0 {
		depth = min(d, depth)
	}
	err := r.admit.Admit(o.arrived, &admit.Request{
		Delay: f.delay, RunTime: f.run, Due: o.work.Due, OpensAt: o.queue.Window.NextOpen(o.arrived),
		Slots: o.slots, MaxSlots: table.WorkerSlots, Waiting: f.waiting, Depth: depth,
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	return nil
}

// Check tells whether work would be taken in now: nil, ErrNoQueue, ErrInvalid
// or ErrNotRun.
func (r *Router) Check(w Work) error {
	o, err := r.resolve(w)
	if err != nil {
		return err
	}
	return r.admitOrder(o)
}

// Do runs work and returns the worker's answer, whose body the caller must
// close. The body can't be read again afterwards. The error is ErrNoQueue,
// ErrInvalid, ErrNotRun or ErrUnknown.
func (r *Router) Do(ctx context.Context, w Work, body *endpt.Body) (*Answer, error) {
	o, err := r.resolve(w)
	if err != nil {
		return nil, err
	}
	r.running.Add(1)
	answer, err := r.run(ctx, o, body)
	if err != nil {
		body.Release()
		r.running.Add(-1)
		r.reportError(o, err)
		return nil, err
	}
	return answer, nil
}

// reportError records work that has no answer. Work that its caller gave up, or
// that will be started again, is not counted.
func (r *Router) reportError(o *order, err error) {
	out := burn.Refused
	switch {
	case errors.Is(err, ErrCancelled), o.work.Durable:
		return
	case errors.Is(err, ErrUnknown):
		out = burn.Unknown
	}
	r.record(Record{Queue: o.work.Queue, Customer: o.work.Customer, Outcome: out})
}

// reportAnswer records work whose answer has ended.
func (r *Router) reportAnswer(o *order, began time.Time, e ending) {
	rec := Record{Queue: o.work.Queue, Customer: o.work.Customer, Delay: began.Sub(o.arrived)}
	rec.Outcome = burn.Judge(o.queue.Spec.Target.Std(), rec.Delay, o.work.Due, r.clock.Now())
	if e == cut {
		rec.Outcome = burn.Unknown
	}
	r.record(rec)
}
