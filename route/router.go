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
	"shallotpaddle/stall"
	"shallotpaddle/table"
)

const (
	// grantInterval is the interval at which slots are granted to waiting work,
	// in addition to when work arrives or ends.
	grantInterval = 20 * time.Millisecond
	// maxSlotWait is how long work without a due time waits for a slot at most.
	maxSlotWait = time.Minute
	// excludeUnreachable and excludeLeaving are how long a host gets no new
	// work after it could not be reached or refused a task because it is
	// leaving.
	excludeUnreachable = time.Second
	excludeLeaving     = 5 * time.Second
	// grantRecheckAge is the age of a grant from which its host is checked
	// again before the dispatch.
	grantRecheckAge = 100 * time.Millisecond
	// noHostsGrace is how long work waits for a pool without hosts: two rounds of probes
	// of the workers. After that it is refused until a worker answers.
	noHostsGrace = 2 * time.Second
	// noHostsRetryAfter is when a caller should retry such work: workers that answer
	// again are back after one round of probes.
	noHostsRetryAfter = 2 * time.Second
	// durableQueueDepth is the queue depth for durable work. It is practically
	// unlimited, because the job ledger limits the number of jobs.
	durableQueueDepth = 1 << 30
	// maxDurableSlotWait is how long durable work waits for a slot at most. The
	// caller submits it again afterwards.
	maxDurableSlotWait = time.Hour
	// LeaseTime is the length of a durable task's lease at its worker. It is
	// renewed when a third of it has passed.
	LeaseTime = 15 * time.Second
)

// Record is the outcome of one piece of work, for the service-level report.
type Record struct {
	Queue, Customer string
	Outcome         burn.Outcome
	// Delay is the time from arrival to dispatch; 0 if there was no answer.
	Delay time.Duration
}

// Router dispatches work to workers. It is safe for concurrent use.
type Router struct {
	clock  quartz.Clock
	client *endpt.Client
	record func(Record)
	admit  *admit.Control

	view       atomic.Pointer[View]
	mu         sync.RWMutex
	pools      map[string]*pool
	lastItemID atomic.Uint64
	maxDepth   int     // limit of any queue's depth, in items
	retryShare float64 // retries that a pool earns per success
	// pollInterval is the interval at which a worker is asked for the state of
	// a task whose answer is awaited.
	pollInterval time.Duration
	watchMu      sync.Mutex
	watches      map[*answerWatch]struct{}
	suspension   *stall.Detector
	active       atomic.Int64 // pieces of work that wait or run
	stopping     atomic.Bool
}

// New returns a router with an empty view. It calls record when work ends,
// except for work that its caller cancelled and durable work that got no
// answer.
func New(clock quartz.Clock, client *endpt.Client, record func(Record)) *Router {
	r := &Router{
		clock: clock, client: client, record: record,
		admit: admit.New(admit.DefaultLimits()), pools: map[string]*pool{},
		watches: map[*answerWatch]struct{}{}, maxDepth: table.DefaultDepth,
		retryShare: admit.RetryShare, pollInterval: defaultPollInterval, suspension: stall.New(clock),
	}
	r.view.Store(&View{})
	return r
}

// SetLimits sets the maximum number of items that wait in a queue, unless the
// queue declares a smaller depth; the number of retries that a pool earns per
// success; and the interval at which a worker is asked for the state of a task
// whose answer is awaited. It must be called before the first view is set and
// before Run.
func (r *Router) SetLimits(maxDepth int, retryShare float64, pollInterval time.Duration) {
	r.maxDepth, r.retryShare, r.pollInterval = maxDepth, retryShare, pollInterval
}

// Run grants slots to waiting work and cancels dispatches whose answer can't
// arrive any more, until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	nextPoll := r.clock.Now().Add(watchTick)
	r.suspension.Beat()
	defer r.suspension.End()
	return r.clock.TickerFunc(ctx, grantInterval, func() error {
		r.suspension.Beat()
		r.eachPool(func(_ string, p *pool) { p.tick() })
		if now := r.clock.Now(); !now.Before(nextPoll) {
			nextPoll = now.Add(watchTick)
			r.pollWorkers()
		}
		return nil
	}).Wait()
}

// Suspension returns the detector of hold-ups of this process. It is in use while Run runs.
func (r *Router) Suspension() *stall.Detector { return r.suspension }

// SetView replaces the state of the fleet. After it returns, no slot is granted
// on a host that the view does not name.
func (r *Router) SetView(v *View) {
	r.view.Store(v)
	r.mu.Lock()
	for name := range v.Pools {
		if r.pools[name] == nil {
			r.pools[name] = newPool(name, r.clock, r.retryShare)
		}
	}
	for name, p := range r.pools {
		if _, ok := v.Pools[name]; !ok && p.closeIfIdle() {
			delete(r.pools, name)
		}
	}
	r.mu.Unlock()
	r.eachPool(func(name string, p *pool) { p.setView(v.Pools[name], v.Serving, v.Entries) })
}

// View returns the current view.
func (r *Router) View() *View { return r.view.Load() }

func (r *Router) eachPool(f func(name string, p *pool)) {
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

// Stop refuses new work and waits until all accepted work has ended or ctx
// ends. It returns the number of pieces of work that still wait or run.
func (r *Router) Stop(ctx context.Context) int64 {
	r.stopping.Store(true)
	idle := errors.New("idle")
	_ = r.clock.TickerFunc(ctx, grantInterval, func() error {
		if r.active.Load() == 0 {
			return idle
		}
		return nil
	}).Wait()
	return r.active.Load()
}

// Active returns the number of pieces of work that wait or run.
func (r *Router) Active() int64 { return r.active.Load() }

// workOrder is one piece of work with the settings that apply to it.
type workOrder struct {
	work        Work
	queue       QueueView
	idempotent  bool
	maxAttempts int
	slots       int
	dispatches  int // so far
	pool        *pool
	poolName    string
	arrivedAt   time.Time
	startBy     time.Time // latest time of a dispatch
	item        *sched.Item
}

// resolve checks work against the configuration and returns its order. The
// error is ErrNoQueue, ErrInvalid or ErrNotRun.
func (r *Router) resolve(w Work) (*workOrder, error) {
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
	o := &workOrder{
		work: w, queue: q, idempotent: kind.Idempotent, maxAttempts: kind.Attempts, slots: max(1, kind.Slots),
		pool: r.pool(q.Spec.Pool), poolName: q.Spec.Pool, arrivedAt: now, startBy: w.Due,
	}
	if o.pool == nil {
		return nil, fmt.Errorf("%w: pool %q is not in force", ErrNotRun, q.Spec.Pool)
	}
	if w.Idempotent != nil {
		o.idempotent = *w.Idempotent
	}
	if o.maxAttempts <= 0 {
		o.maxAttempts = table.DefaultAttempts
	}
	switch {
	case w.Durable:
		o.startBy = now.Add(maxDurableSlotWait)
	case w.Due.IsZero():
		o.startBy = now.Add(maxSlotWait)
	}
	o.item = sched.NewItem(r.lastItemID.Add(1), itemSpec(o, customer, kind))
	return o, nil
}

func itemSpec(o *workOrder, c table.CustomerSpec, k table.JobSpec) sched.Spec {
	depth := o.queue.Spec.Depth
	if o.work.Durable {
		depth = durableQueueDepth
	}
	return sched.Spec{
		Queue: o.work.Queue, Customer: o.work.Customer, Kind: o.work.Kind,
		CustomerRank: c.Rank, JobRank: k.Rank, RunTime: k.Run.Std(), Slots: o.slots,
		Due: o.work.Due, Arrived: o.arrivedAt, Target: o.queue.Spec.Target.Std(),
		Quota: c.Quota, Depth: depth, Window: o.queue.Window,
	}
}

// admitOrder returns an ErrNotRun if the entry takes no work or admission
// control refuses the order.
func (r *Router) admitOrder(o *workOrder) error {
	if r.stopping.Load() {
		return fmt.Errorf("%w: %w", ErrNotRun, ErrStopping)
	}
	if !r.view.Load().Serving {
		return fmt.Errorf("%w: %w", ErrNotRun, ErrIsolated)
	}
	if o.work.Durable {
		return nil
	}
	if o.pool.noHosts() {
		return fmt.Errorf("%w: %w", ErrNotRun, admit.NewRefusal(ErrNoWorker, noHostsRetryAfter))
	}
	f := o.pool.forecast(o.arrivedAt, o.item)
	depth := r.maxDepth
	if d := o.queue.Spec.Depth; d > 0 {
		depth = min(d, depth)
	}
	err := r.admit.Admit(o.arrivedAt, &admit.Request{
		Delay: f.delay, RunTime: f.runTime, Due: o.work.Due, OpensAt: o.queue.Window.NextOpen(o.arrivedAt),
		Slots: o.slots, MaxSlots: table.WorkerSlots, Waiting: f.waiting, Depth: depth,
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	return nil
}

// Check returns nil if work would be accepted now, and otherwise ErrNoQueue,
// ErrInvalid or ErrNotRun.
func (r *Router) Check(w Work) error {
	o, err := r.resolve(w)
	if err != nil {
		return err
	}
	return r.admitOrder(o)
}

// Do runs work and returns the worker's answer, whose body the caller must
// close. Do consumes body, which may be nil. The error is ErrNoQueue,
// ErrInvalid, ErrNotRun or ErrUnknown.
func (r *Router) Do(ctx context.Context, w Work, body *endpt.Body) (*Answer, error) {
	o, err := r.resolve(w)
	if err != nil {
		return nil, err
	}
	r.active.Add(1)
	answer, err := r.run(ctx, o, body)
	if err != nil {
		body.Release()
		r.active.Add(-1)
		r.reportError(o, err)
		return nil, err
	}
	return answer, nil
}

// reportError records the outcome of work that got no answer. It skips work
// that its caller cancelled, and durable work, which is submitted again.
func (r *Router) reportError(o *workOrder, err error) {
	outcome := burn.Refused
	switch {
	case errors.Is(err, ErrCancelled), o.work.Durable:
		return
	case errors.Is(err, ErrUnknown):
		outcome = burn.Unknown
	}
	r.record(Record{Queue: o.work.Queue, Customer: o.work.Customer, Outcome: outcome})
}

// reportAnswer records the outcome of work whose answer has ended.
func (r *Router) reportAnswer(o *workOrder, startedAt time.Time, e answerEnd) {
	rec := Record{Queue: o.work.Queue, Customer: o.work.Customer, Delay: startedAt.Sub(o.arrivedAt)}
	rec.Outcome = burn.Classify(o.queue.Spec.Target.Std(), rec.Delay, o.work.Due, r.clock.Now())
	if e == endCutShort {
		rec.Outcome = burn.Unknown
	}
	r.record(rec)
}
