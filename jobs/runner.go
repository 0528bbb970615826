package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"

	"shallotpaddle/endpt"
	"shallotpaddle/once"
	"shallotpaddle/route"
)

// ErrClosed is returned while no ledger is open; nothing was accepted.
var ErrClosed = errors.New("job ledger is not open")

const (
	// openRetry is the interval between tries to open a ledger.
	openRetry = time.Second
	// careEvery is the interval of adoption, sweeps and checks.
	careEvery = 2 * time.Second
	// goneRounds is the number of rounds of care for which a ledger's holder must
	// seem gone before the ledger is adopted.
	goneRounds = 3
	// recordTime bounds the wait for one record to become durable.
	recordTime = 30 * time.Second
	// redoWait is the wait before a job that was not run is tried again.
	redoWait = 500 * time.Millisecond
	// askEvery is the interval at which a worker is asked for a task's outcome.
	askEvery = time.Second
	// askLimit is how long a worker that does not answer is asked.
	askLimit = 2 * time.Minute
)

// Fleet is what the runner needs to know of the fleet.
type Fleet struct {
	// Addr returns the address and boot id of a host.
	Addr func(host string) (addr, boot string, ok bool)
	// ShouldAdopt tells whether this entry is the one that should adopt ledgers, and
	// Gone whether the holder of a ledger seems to be gone. Being wrong costs
	// work, it breaks no promise.
	ShouldAdopt func() bool
	HolderGone  func(ledger string) bool
	// RecordDecision records a decision about a job for operators.
	RecordDecision func(id, what, cause string)
}

// Runner runs the jobs that this entry holds. Its exported methods are safe for
// concurrent use.
type Runner struct {
	entry, boot string
	store       once.Store
	clock       quartz.Clock
	router      *route.Router
	worker      *endpt.Client
	fleet       Fleet

	incarnation atomic.Int64
	ledger      atomic.Pointer[once.Ledger]
	interval    atomic.Int64 // of commits, in nanoseconds

	gone map[string]int // rounds by ledger; used by Run only

	mu      sync.Mutex
	holding context.Context               // ends with the open ledger
	running map[string]context.CancelFunc // by job id
	ended   chan struct{}                 // closed and replaced when a job ends
	closing bool
	wg      sync.WaitGroup
}

// New returns a runner of an entry; boot tells its incarnations apart.
func New(entry, boot string, store once.Store, clock quartz.Clock, router *route.Router, worker *endpt.Client, fleet Fleet) *Runner {
	r := &Runner{
		entry: entry, boot: boot, store: store, clock: clock, router: router, worker: worker, fleet: fleet,
		running: map[string]context.CancelFunc{}, ended: make(chan struct{}),
	}
	r.interval.Store(int64(once.DefaultInterval))
	return r
}

// SetCommitInterval sets the shortest time between two commits of the ledger.
func (r *Runner) SetCommitInterval(d time.Duration) {
	r.interval.Store(int64(d))
	if l := r.ledger.Load(); l != nil {
		l.SetInterval(d)
	}
}

// Ledger returns the name of the open ledger, or "".
func (r *Runner) Ledger() string {
	if l := r.ledger.Load(); l != nil {
		return l.Name()
	}
	return ""
}

// Run keeps a ledger open and its jobs running until ctx ends. A ledger that
// another entry has sealed is replaced by a new one.
func (r *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l, err := r.open(ctx)
		if err != nil {
			r.pause(ctx, openRetry)
			continue
		}
		r.hold(ctx, l)
	}
	return nil
}

func (r *Runner) pause(ctx context.Context, d time.Duration) {
	t := r.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (r *Runner) open(ctx context.Context) (*once.Ledger, error) {
	boot := fmt.Sprintf("%s%d", r.boot, r.incarnation.Add(1))
	l := once.NewLedger(r.store, r.clock, r.entry, boot)
	l.SetInterval(time.Duration(r.interval.Load()))
	if err := l.Open(ctx); err != nil {
		return nil, err
	}
	return l, nil
}

// hold runs one ledger until it is sealed or ctx ends.
func (r *Runner) hold(ctx context.Context, l *once.Ledger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.holding = ctx
	r.mu.Unlock()
	r.ledger.Store(l)
	go l.Run(ctx)
	for ctx.Err() == nil && !l.Sealed() {
		r.care(ctx, l)
		r.pause(ctx, careEvery)
	}
	r.ledger.CompareAndSwap(l, nil)
}

// care adopts, sweeps and starts what is not running yet.
func (r *Runner) care(ctx context.Context, l *once.Ledger) {
	if err := l.CheckSealed(ctx); errors.Is(err, once.ErrSealed) {
		return
	}
	l.Sweep()
	if r.isClosing() {
		return
	}
	if r.fleet.ShouldAdopt() {
		r.adopt(ctx, l)
	}
	for _, j := range l.Jobs(func(j *once.Job) bool { return !j.State.Ended() }) {
		r.begin(l, j)
	}
}

// adopt takes over the ledgers whose holder has seemed gone for some time.
func (r *Runner) adopt(ctx context.Context, l *once.Ledger) {
	names, err := l.Adoptable(ctx, nil)
	if err != nil {
		return
	}
	gone := map[string]int{}
	for _, n := range names {
		if r.fleet.HolderGone(n) {
			gone[n] = r.gone[n] + 1
		}
	}
	r.gone = gone
	for _, n := range names {
		if gone[n] < goneRounds {
			continue
		}
		a, err := l.Adopt(ctx, n)
		if err != nil {
			continue
		}
		for _, j := range a.Runnable {
			r.fleet.RecordDecision(j.ID, "adopt", "entry of ledger "+n+" is gone")
		}
		for _, j := range a.Unresolved {
			r.fleet.RecordDecision(j.ID, "adopt", "entry of ledger "+n+" is gone; worker is asked for the outcome")
		}
	}
	_ = l.DeleteAdopted(ctx)
}

func (r *Runner) isClosing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closing
}

// begin runs a job in a goroutine of its own, unless it runs already. The
// outcome of a job that was started before is asked of its worker.
func (r *Runner) begin(l *once.Ledger, j once.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing || r.running[j.ID] != nil {
		return
	}
	ctx, cancel := context.WithCancel(r.holding)
	r.running[j.ID] = cancel
	r.wg.Go(func() {
		defer r.finished(j.ID)
		r.run(ctx, l, j)
	})
}

func (r *Runner) finished(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[id]()
	delete(r.running, id)
	close(r.ended)
	r.ended = make(chan struct{})
}

// Stop starts no more jobs, waits for those that run, and hands the ledger over.
// It returns the number of jobs that were still running when ctx ended.
func (r *Runner) Stop(ctx context.Context) int {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	r.cancelWaiting()
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	r.mu.Lock()
	left := len(r.running)
	r.mu.Unlock()
	if l := r.ledger.Load(); l != nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTime)
		defer cancel()
		_ = l.Handover(ctx)
	}
	return left
}

// handoverTime bounds the seal of the ledger at a stop. Without it the ledger
// is adopted once the entry is not heard any more.
const handoverTime = 2 * time.Second

// cancelWaiting ends the wait of jobs that have not been dispatched.
func (r *Runner) cancelWaiting() {
	l := r.ledger.Load()
	if l == nil {
		return
	}
	for _, j := range l.Jobs(func(j *once.Job) bool { return j.State == once.Accepted }) {
		r.mu.Lock()
		if cancel := r.running[j.ID]; cancel != nil {
			cancel()
		}
		r.mu.Unlock()
	}
}
