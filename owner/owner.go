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
	in      chan any
	done    chan struct{}   // closed when Run has ended
	ctx     context.Context // of Run; ends all calls
	began   time.Time
	hosts   map[string]*host
	jobs    map[string]*job
	open    []*job              // not ended, by rank and acceptance
	cancels map[string]struct{} // cancelled before the job was known
	writer  writer
	roster  *doc // workers in use
	digest  *doc // what waits, for readers at other entries

	planned time.Time // of the last plan
	dirty   bool      // something changed that a plan may use
	lost    error
	summed  time.Time
	// lastDigest is the account that was last written.
	lastDigest string
	// rostered tells that the registered workers are known, and clear that every
	// run of an earlier owner is accounted for.
	rostered, clear bool
	wishes          PoolPlan
	// asked is the processor that running and waiting work asks for, told what
	// the last digest said, in thousandths of a core.
	asked, told int
	inflow      shift.Inflow
	released    bool // a worker was emptied since the last digest
	// ghosts are starts that may still be carried out, by worker.
	ghosts map[string][]ghost
	asking int // questions to the advisor under way
	calls  int // starts and stops under way
	// forecasts are the learnt run times, by queue.
	forecasts map[string]*pack.Forecast
}

// mailbox is the number of messages that may wait for the loop; calls block
// when it is full, which bounds what is under way.
const mailbox = 1024

// New returns an owner that has yet to read the state of its pool.
func New(p Params) *Owner {
	o := &Owner{
		Params: p, in: make(chan any, mailbox), done: make(chan struct{}), hosts: map[string]*host{}, jobs: map[string]*job{},
		cancels: map[string]struct{}{}, forecasts: map[string]*pack.Forecast{}, ghosts: map[string][]ghost{},
	}
	o.roster = &doc{key: rosterKey(p.Pool), encode: o.encodeRoster}
	o.digest = &doc{key: DigestKey(p.Pool), encode: o.encodeDigest}
	return o
}

// Messages to the loop.
type (
	listed   struct{ workers []hosts.Worker }
	appeared struct{ items []plat.Item }

	wished struct{ wishes PoolPlan }
)

// SetWorkers tells the owner which workers are registered in its pool.
func (o *Owner) SetWorkers(w []hosts.Worker) { o.post(listed{w}) }

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
func (o *Owner) SetPlan(w PoolPlan) { o.post(wished{w}) }

// post hands a message to the loop unless the owner has ended.
func (o *Owner) post(m any) {
	select {
	case o.in <- m:
	case <-o.done:
	}
}

// Intervals of the loop.
const (
	// tick is how often leases and retries are looked after while nothing else happens.
	tick = 50 * time.Millisecond
	// planEvery is the shortest pause between two plans: ends that come close
	// together are answered by one.
	planEvery = 5 * time.Millisecond
	// planAnyway is the longest pause between two plans while jobs are open: what
	// bars a start may end by time alone.
	planAnyway = 200 * time.Millisecond
	// recoverRetry is the pause before another try to read the pool's state.
	recoverRetry = 100 * time.Millisecond
)

// Run owns the pool until the context ends, or returns ErrDeposed.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer close(o.done)
	defer cancel()
	o.ctx = ctx
	o.began = o.Clock.Now()
	rev, err := o.restore(ctx)
	if err != nil {
		return err
	}
	go o.follow(ctx, rev)
	timer := o.Clock.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case m := <-o.in:
			o.handle(m)
			o.drainMailbox()
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if o.lost != nil {
			return o.lost
		}
		timer.Reset(o.step(o.Clock.Now()))
	}
}

// drainMailbox takes what else waits, so that a plan sees all of it.
func (o *Owner) drainMailbox() {
	for range mailbox {
		select {
		case m := <-o.in:
			o.handle(m)
		default:
			return
		}
	}
}

func (o *Owner) handle(m any) {
	switch m := m.(type) {
	case listed:
		o.takeWorkers(m.workers)
	case appeared:
		for _, it := range m.items {
			o.takeItem(it, true)
		}
	case wished:
		o.takeWishes(m.wishes)
	case started:
		o.takeStarted(m)
	case stopped:
		o.takeStopped(m)
	case barred:
		o.takeBarred(m)
	case looked:
		o.takeLook(m)
	case committed:
		o.takeCommitted(m)
	case advised:
		o.takeAdvised(m)
	case paced:
		o.takePaced(m)
	}
}

// step runs the systems over the tables and returns when to run them again.
func (o *Owner) step(now time.Time) time.Duration {
	o.expire(now)
	o.leave(now)
	o.emptyReleased(now)
	next := tick
	if len(o.open) > 0 && now.Sub(o.planned) >= planAnyway {
		o.dirty = true
	}
	if o.dirty {
		if wait := planEvery - now.Sub(o.planned); wait > 0 {
			next = wait
		} else {
			o.dirty = false
			o.planned = now
			o.plan(now)
		}
	}
	o.repeat(now)
	o.look(now)
	o.summarize(now)
	o.collect(now)
	o.flush(now)
	return max(min(next, o.nextDue(now)), time.Millisecond)
}

// nextDue returns the time until the next occurrence of a scheduled job.
func (o *Owner) nextDue(now time.Time) time.Duration {
	next := tick
	for _, j := range o.open {
		if j.track.Job.Repetitions == 0 {
			continue
		}
		if due := j.track.NextDue(now); !due.IsZero() && due.Sub(now) < next {
			next = due.Sub(now)
			o.dirty = true
		}
	}
	return next
}

// depose ends the owner.
func (o *Owner) depose(why string) {
	if o.lost == nil {
		o.lost = ErrDeposed
		o.Log.Warn().Str("pool", o.Pool).Int64("fence", o.Fence).Str("cause", why).Msg("deposed")
	}
}

// watchWait is how long a watch of the pool's jobs waits for a change; a
// connection that has gone silent is noticed after that time.
const watchWait = 2 * time.Second

// follow passes on what entries write for the pool.
func (o *Owner) follow(ctx context.Context, rev int64) {
	prefix := JobPrefix(o.Pool)
	for ctx.Err() == nil {
		items, next, err := o.Store.Watch(ctx, prefix, rev, watchWait)
		if errors.Is(err, plat.ErrCompacted) {
			items, next, err = o.Store.List(ctx, prefix)
			o.Log.Info().Str("pool", o.Pool).Int64("rev", rev).Err(err).Msg("watch history gone")
		}
		if err != nil {
			o.Stats.WatchesFailed.Inc(1)
			o.pause(ctx, recoverRetry)
			continue
		}
		rev = next
		if len(items) > 0 {
			o.post(appeared{items})
		}
	}
}

func (o *Owner) pause(ctx context.Context, d time.Duration) {
	t := o.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
