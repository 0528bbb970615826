// Package owner runs one pool of hosts: it starts the subtasks of the pool's
// jobs on workers, holds their leases, records their ends, and proves each
// order and each write by the fencing token of its election.
//
// One goroutine owns all tables; calls are made by others, which post their
// results as typed messages.
package owner

import (
	"context"
	"errors"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/shift"
)

// ErrDeposed is returned when a worker or the store has refused the owner's
// fencing token.
var ErrDeposed = errors.New("another owner was elected")

// Store has the calls to the platform's store.
type Store struct {
	List   func(ctx context.Context, prefix string) ([]plat.Item, int64, error)
	Watch  func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error)
	Commit func(ctx context.Context, t plat.Txn) (int64, []plat.Item, error)
}

// Workers has the calls to workers.
type Workers struct {
	Start func(ctx context.Context, to runs.Target, s runs.Start) (runs.Reply, error)
	Stop  func(ctx context.Context, to runs.Target, s runs.Stop) (runs.Reply, error)
	Renew func(ctx context.Context, to runs.Target, n runs.Renew) (runs.Report, error)
	Pace  func(ctx context.Context, to runs.Target, p runs.Pace) (runs.Reply, error)
}

// Bounds are the times that the workers keep.
type Bounds struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTime is the longest time that a stop takes.
	StopTime time.Duration
	// Drain is how long a leaving worker serves after its notice.
	Drain time.Duration
	// StatusRetention is how long the state of an ended job can be asked for.
	StatusRetention time.Duration
}

// Params are what an owner is made of.
type Params struct {
	Pool string
	// ElectionKey is the key of the election, and Fence its revision.
	ElectionKey string
	Fence       int64
	// Term counts the elections of the pool, from 1.
	Term    int
	Bounds  Bounds
	Store   Store
	Workers Workers
	// ReadPlan reads what the steward wants of the pool's workers.
	ReadPlan func(ctx context.Context) (PoolPlan, error)
	// AskAdvisor returns the tickets of the workers that the advisor lets run a step.
	AskAdvisor func(ctx context.Context, q runs.AdvisorQuery, within time.Duration) (map[string]string, error)
	Clock      quartz.Clock
	Log        *log.Logger
	Stats      *Stats
}

// Owner is the elected owner of a pool. Its tables belong to the goroutine in Run.
type Owner struct {
	Params
	inbox          chan any
	done           chan struct{}   // closed when Run has ended
	ctx            context.Context // of Run; ends all calls
	startedAt      time.Time
	hosts          map[string]*host
	jobs           map[string]*job
	openJobs       []*job              // not ended, by rank and acceptance
	cancelRequests map[string]struct{} // cancelled before the job was known
	writer         writer
	roster         *doc // workers in use
	digest         *doc // what waits, for readers at other entries

	lastPass        time.Time // of the last plan
	passNeeded      bool      // something changed that a plan may use
	err             error
	digestCheckedAt time.Time
	// publishedDigest is the account that was last written.
	publishedDigest string
	// workersKnown tells that the registered workers are known, and takeoverDone that every
	// run of an earlier owner is accounted for.
	workersKnown, takeoverDone bool
	fleetPlan                  PoolPlan
	// demand is the processor that running and waiting work asks for, publishedDemand what
	// the last digest said, in thousandths of a core.
	demand, publishedDemand int
	inflow                  shift.Inflow
	digestDue               bool // a worker was emptied since the last digest
	// unanswered are starts that may still be carried out, by worker.
	unanswered        map[string][]unansweredStart
	questionsInFlight int // questions to the advisor under way
	callsInFlight     int // starts and stops under way
	// forecasts are the learnt run times, by queue.
	forecasts map[string]*pack.Forecast
}

// inboxSize is the number of messages that may wait for the loop; calls block
// when it is full, which bounds what is under way.
const inboxSize = 1024

// New returns an owner that has yet to read the state of its pool.
func New(p Params) *Owner {
	o := &Owner{
		Params: p, inbox: make(chan any, inboxSize), done: make(chan struct{}), hosts: map[string]*host{}, jobs: map[string]*job{},
		cancelRequests: map[string]struct{}{}, forecasts: map[string]*pack.Forecast{}, unanswered: map[string][]unansweredStart{},
	}
	o.roster = &doc{key: rosterKey(p.Pool), encode: o.encodeRoster}
	o.digest = &doc{key: DigestKey(p.Pool), encode: o.encodeDigest}
	return o
}

// Messages to the loop.
type (
	workersListed struct{ workers []hosts.Worker }
	itemsWritten  struct{ items []plat.Item }

	planChanged struct{ plan PoolPlan }
)

// SetWorkers tells the owner which workers are registered in its pool.
func (o *Owner) SetWorkers(w []hosts.Worker) { o.post(workersListed{w}) }

// PoolPlan are what the steward wants of a pool's workers.
type PoolPlan struct {
	// Release has the workers to be emptied, with the steward's tasks.
	Release map[string]int64
	// Due has the workers that will have to be emptied soon.
	Due map[string]bool
	// Ended has workers whose life a move or a maintenance has ended.
	Ended map[string]bool
	// Incoming is the number of hosts that are on their way into the pool.
	Incoming int
	// Rev is the revision of the steward's plan.
	Rev int64
}

// SetPlan tells the owner what the steward wants of the pool's workers.
func (o *Owner) SetPlan(w PoolPlan) { o.post(planChanged{w}) }

// post hands a message to the loop unless the owner has ended.
func (o *Owner) post(m any) {
	select {
	case o.inbox <- m:
	case <-o.done:
	}
}

// Intervals of the loop.
const (
	// tickInterval is how often leases and retries are looked after while nothing else happens.
	tickInterval = 50 * time.Millisecond
	// minPassGap is the shortest pause between two plans: ends that come close
	// together are answered by one.
	minPassGap = 5 * time.Millisecond
	// maxPassGap is the longest pause between two plans while jobs are open: what
	// bars a start may end by time alone.
	maxPassGap = 200 * time.Millisecond
	// storeRetryDelay is the pause before another try to read the pool's state.
	storeRetryDelay = 100 * time.Millisecond
)

// Run owns the pool until the context ends, or returns ErrDeposed.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer close(o.done)
	defer cancel()
	o.ctx = ctx
	o.startedAt = o.Clock.Now()
	rev, err := o.restore(ctx)
	if err != nil {
		return err
	}
	go o.watchJobs(ctx, rev)
	timer := o.Clock.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case m := <-o.inbox:
			o.handle(m)
			o.drainInbox()
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if o.err != nil {
			return o.err
		}
		timer.Reset(o.advance(o.Clock.Now()))
	}
}

// drainInbox takes what else waits, so that a plan sees all of it.
func (o *Owner) drainInbox() {
	for range inboxSize {
		select {
		case m := <-o.inbox:
			o.handle(m)
		default:
			return
		}
	}
}

func (o *Owner) handle(m any) {
	switch m := m.(type) {
	case workersListed:
		o.updateWorkers(m.workers)
	case itemsWritten:
		for _, it := range m.items {
			o.handleItem(it, true)
		}
	case planChanged:
		o.applyFleetPlan(m.plan)
	case startResult:
		o.handleStarted(m)
	case stopResult:
		o.handleStopped(m)
	case blockResult:
		o.handleBlocked(m)
	case pollResult:
		o.handlePoll(m)
	case commitResult:
		o.handleCommitted(m)
	case adviceResult:
		o.handleAdvice(m)
	case paceResult:
		o.handlePaced(m)
	}
}

// advance runs the systems over the tables and returns when to run them again.
func (o *Owner) advance(now time.Time) time.Duration {
	o.expireLeases(now)
	o.stopLeaving(now)
	o.stopOnReleased(now)
	next := tickInterval
	if len(o.openJobs) > 0 && now.Sub(o.lastPass) >= maxPassGap {
		o.passNeeded = true
	}
	if o.passNeeded {
		if wait := minPassGap - now.Sub(o.lastPass); wait > 0 {
			next = wait
		} else {
			o.passNeeded = false
			o.lastPass = now
			o.scheduleStarts(now)
		}
	}
	o.retryOrders(now)
	o.pollHosts(now)
	o.updateDigest(now)
	o.removeEndedJobs(now)
	o.flush(now)
	return max(min(next, o.untilNextDue(now)), time.Millisecond)
}

// untilNextDue returns the time until the next occurrence of a scheduled job.
func (o *Owner) untilNextDue(now time.Time) time.Duration {
	next := tickInterval
	for _, j := range o.openJobs {
		if j.progress.Job.Repetitions == 0 {
			continue
		}
		if due := j.progress.NextDue(now); !due.IsZero() && due.Sub(now) < next {
			next = due.Sub(now)
			o.passNeeded = true
		}
	}
	return next
}

// depose ends the owner.
func (o *Owner) depose(why string) {
	if o.err == nil {
		o.err = ErrDeposed
		o.Log.Warn().Str("pool", o.Pool).Int64("fence", o.Fence).Str("cause", why).Msg("deposed")
	}
}

// maxWatchWait is how long a watch of the pool's jobs waits for a change; a
// connection that has gone silent is noticed after that time.
const maxWatchWait = 2 * time.Second

// watchJobs passes on what entries write for the pool.
func (o *Owner) watchJobs(ctx context.Context, rev int64) {
	prefix := JobPrefix(o.Pool)
	for ctx.Err() == nil {
		items, next, err := o.Store.Watch(ctx, prefix, rev, maxWatchWait)
		if errors.Is(err, plat.ErrCompacted) {
			items, next, err = o.Store.List(ctx, prefix)
			o.Log.Info().Str("pool", o.Pool).Int64("rev", rev).Err(err).Msg("watch history gone")
		}
		if err != nil {
			o.Stats.WatchesFailed.Inc(1)
			o.sleep(ctx, storeRetryDelay)
			continue
		}
		rev = next
		if len(items) > 0 {
			o.post(itemsWritten{items})
		}
	}
}

func (o *Owner) sleep(ctx context.Context, d time.Duration) {
	t := o.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
