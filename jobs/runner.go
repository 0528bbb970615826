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

// ErrClosed is returned while no ledger is open; the job was not accepted.
var ErrClosed = errors.New("job ledger is not open")

const (
	// openRetryDelay is the delay before another attempt to open a ledger.
	openRetryDelay = time.Second
	// maintenanceInterval is the pause between two rounds of maintain.
	maintenanceInterval = 2 * time.Second
	// adoptAfterRounds is the number of successive rounds of maintain in which a
	// ledger's holder must appear to be gone before the ledger is adopted.
	adoptAfterRounds = 3
	// recordTimeout bounds the wait for one record to become durable.
	recordTimeout = 30 * time.Second
	// retryDelay is the delay before a job that was not run is dispatched again.
	retryDelay = 500 * time.Millisecond
	// queryInterval is the interval at which a worker is asked for the state of a
	// task whose answer was lost.
	queryInterval = time.Second
	// queryTimeout is how long a worker is asked without an answer.
	queryTimeout = 2 * time.Minute
)

// Fleet holds the functions by which the runner reads the state of the fleet and
// reports decisions.
type Fleet struct {
	// Addr returns the address and boot id of a host.
	Addr func(host string) (addr, boot string, ok bool)
	// ShouldAdopt tells whether this entry is the one that should adopt ledgers, and
	// HolderGone whether the holder of a ledger appears to be gone. A wrong answer
	// causes extra work but breaks no guarantee.
	ShouldAdopt func() bool
	HolderGone  func(ledger string) bool
	// RecordDecision records a decision about the job id for operators.
	RecordDecision func(id, what, cause string)
}

// Runner runs the jobs that this entry holds. Its exported methods are safe for
// concurrent use.
type Runner struct {
	entry, boot string
	store       once.Store
	clock       quartz.Clock
	router      *route.Router
	workers     *endpt.Client
	fleet       Fleet

	incarnation    atomic.Int64                // number of ledgers that this process has begun to open
	ledger         atomic.Pointer[once.Ledger] // nil while none is open
	commitInterval atomic.Int64                // shortest time between two commits, in nanoseconds

	// goneRounds counts, by ledger, the successive rounds of maintain in which its
	// holder appeared to be gone. It is used by Run's goroutine only.
	goneRounds map[string]int

	mu          sync.Mutex                    // guards the fields below except wg
	ledgerCtx   context.Context               // ends when the open ledger is sealed or Run's context ends
	cancelByJob map[string]context.CancelFunc // running jobs, by id
	jobEnded    chan struct{}                 // closed and replaced when a job ends
	stopping    bool                          // Stop was called
	wg          sync.WaitGroup                // goroutines of running jobs
}

// New returns a runner of an entry; boot is different for each of its processes.
func New(entry, boot string, store once.Store, clock quartz.Clock, router *route.Router, workers *endpt.Client, fleet Fleet) *Runner {
	r := &Runner{
		entry: entry, boot: boot, store: store, clock: clock, router: router, workers: workers, fleet: fleet,
		cancelByJob: map[string]context.CancelFunc{}, jobEnded: make(chan struct{}),
	}
	r.commitInterval.Store(int64(once.DefaultInterval))
	return r
}

// SetCommitInterval sets the shortest time between two commits of the ledger.
func (r *Runner) SetCommitInterval(d time.Duration) {
	r.commitInterval.Store(int64(d))
	if l := r.ledger.Load(); l != nil {
		l.SetInterval(d)
	}
}

// Ledger returns the name of the open ledger, or "" if none is open.
func (r *Runner) Ledger() string {
	if l := r.ledger.Load(); l != nil {
		return l.Name()
	}
	return ""
}

// Run keeps a ledger open and runs its jobs until ctx ends, when it returns nil. A
// ledger that another entry has sealed is replaced by a new one.
func (r *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l, err := r.open(ctx)
		if err != nil {
			r.pause(ctx, openRetryDelay)
			continue
		}
		r.serveLedger(ctx, l)
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
	l.SetInterval(time.Duration(r.commitInterval.Load()))
	if err := l.Open(ctx); err != nil {
		return nil, err
	}
	return l, nil
}

// serveLedger runs the jobs of one ledger until it is sealed or ctx ends.
func (r *Runner) serveLedger(ctx context.Context, l *once.Ledger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.ledgerCtx = ctx
	r.mu.Unlock()
	r.ledger.Store(l)
	go l.Run(ctx)
	for ctx.Err() == nil && !l.Sealed() {
		r.maintain(ctx, l)
		r.pause(ctx, maintenanceInterval)
	}
	r.ledger.CompareAndSwap(l, nil)
}

// maintain checks and sweeps the ledger, adopts other ledgers and starts the jobs
// that are not running yet.
func (r *Runner) maintain(ctx context.Context, l *once.Ledger) {
	if err := l.CheckSealed(ctx); errors.Is(err, once.ErrSealed) {
		return
	}
	l.Sweep()
	if r.isStopping() {
		return
	}
	if r.fleet.ShouldAdopt() {
		r.adoptLedgers(ctx, l)
	}
	for _, j := range l.Jobs(func(j *once.Job) bool { return !j.State.Ended() }) {
		r.startJob(l, j)
	}
}

// adoptLedgers adopts the ledgers whose holder has appeared to be gone for
// adoptAfterRounds rounds.
func (r *Runner) adoptLedgers(ctx context.Context, l *once.Ledger) {
	names, err := l.Adoptable(ctx, nil)
	if err != nil {
		return
	}
	goneRounds := map[string]int{}
	for _, n := range names {
		if r.fleet.HolderGone(n) {
			goneRounds[n] = r.goneRounds[n] + 1
		}
	}
	r.goneRounds = goneRounds
	for _, n := range names {
		if goneRounds[n] < adoptAfterRounds {
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

func (r *Runner) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// startJob runs a job in a goroutine of its own, unless it is running already or
// the runner is stopping.
func (r *Runner) startJob(l *once.Ledger, j once.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping || r.cancelByJob[j.ID] != nil {
		return
	}
	ctx, cancel := context.WithCancel(r.ledgerCtx)
	r.cancelByJob[j.ID] = cancel
	r.wg.Go(func() {
		defer r.jobFinished(j.ID)
		r.runJob(ctx, l, j)
	})
}

func (r *Runner) jobFinished(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelByJob[id]()
	delete(r.cancelByJob, id)
	close(r.jobEnded)
	r.jobEnded = make(chan struct{})
}

// Stop starts no more jobs, waits until the running ones have ended or ctx ends, and
// seals the ledger for other entries to adopt. It returns the number of jobs that
// were still running when ctx ended.
func (r *Runner) Stop(ctx context.Context) int {
	r.mu.Lock()
	r.stopping = true
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
	left := len(r.cancelByJob)
	r.mu.Unlock()
	if l := r.ledger.Load(); l != nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
		defer cancel()
		_ = l.Handover(ctx)
	}
	return left
}

// handoverTimeout bounds the time that Stop takes to seal the ledger. A ledger that
// is not sealed is adopted when the entry's heartbeats have stopped.
const handoverTimeout = 2 * time.Second

// cancelWaiting cancels the goroutines of accepted jobs that have not been
// dispatched yet.
func (r *Runner) cancelWaiting() {
	l := r.ledger.Load()
	if l == nil {
		return
	}
	for _, j := range l.Jobs(func(j *once.Job) bool { return j.State == once.Accepted }) {
		r.mu.Lock()
		if cancel := r.cancelByJob[j.ID]; cancel != nil {
			cancel()
		}
		r.mu.Unlock()
	}
}
