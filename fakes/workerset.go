package fakes

import (
	"maps"
	"slices"
	"sync"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// WorkerSet is a set of in-memory workers that run subtasks on orders, hold leases
// and refuse lower fencing tokens. It checks each start of a run and each
// acknowledged end against the rules that the owner of a pool must keep. It uses the
// clock of package time, so that it can run in a synctest bubble.
type WorkerSet struct {
	// DecideRun returns how long a run takes and how it ends.
	DecideRun func(t runs.Task, run int) (time.Duration, runs.Outcome)
	// MayRun reports whether the advisor allows a step on a worker; nil stands for about three of
	// four workers, always the same ones.
	MayRun func(s runs.Step, worker string) bool
	// InjectFault returns the fault of a call to a worker, or to the advisor under the
	// name "advisor"; nil stands for NoFault.
	InjectFault func(worker string, op string) CallFault
	// LateOrderDelay returns how long after it was sent an order with the fault DelayCall
	// is carried out; nil stands for 3 seconds.
	LateOrderDelay func() time.Duration
	// OnAckedEnd is called, unless nil, for each end that is acknowledged to a worker;
	// lapsed tells that the worker's lease has lapsed since. It returns the text of a
	// violation, or "".
	OnAckedEnd func(e runs.End, lapsed bool) string
	// CrashesWorker tells whether a subtask crashes each worker that starts it; nil stands
	// for never.
	CrashesWorker func(t runs.Task) bool
	// PoolOf has the pools by queue, of the queues whose jobs may run on workers of no other
	// pool. It is set before the first call.
	PoolOf map[string]string
	// InTouchSince returns since when the sender with a fencing token can hear of cancellations,
	// the present time if it can't; nil stands for ever.
	InTouchSince func(fence int64) time.Time
	// CheckQuota is called, unless nil, for each start of a workspace's job, with what its jobs have
	// running, and when the start of the last of these runs, or this one, was first sent. It returns
	// the text of a violation, or "".
	CheckQuota func(workspace string, running, demand hosts.Resources, sent time.Time) string
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// ChecksRoom makes workers refuse starts that don't fit. They take the lease from these
	// as well.
	ChecksRoom bool

	mu            sync.Mutex
	workers       map[string]*workerState
	jobs          map[string]*steps.Job
	reportedDone  map[runs.Task]bool // ended as Done, and a report has listed the end
	ackedDone     map[runs.Task]bool // ended as Done, and the end was acknowledged before the lease lapsed
	ackedFailures map[runs.Task]int  // number of acknowledged ends as Failed
	// ackedFailedAt has the times of the acknowledged ends as Failed that no expiry of
	// the worker's lease followed.
	ackedFailedAt map[runs.Task][]time.Time
	failures      map[runs.Task]int    // number of all ends as Failed
	cancelledAt   map[string]time.Time // by job ID
	checkpoints   map[string]runs.Step // those that were saved, with the steps for which they are valid
	violations    []string
	starts        int
	gangTimeouts  int                     // members that ended as GangIncomplete
	lastStarts    map[runs.Task]time.Time // time of the last start
	firstSent     map[sentStart]time.Time // when the first start of a run was sent
	ticketIssued  map[string]time.Time    // time of issue by ticket

	refusedTickets int
	crashes        map[runs.Task]int       // workers that the subtask has crashed
	startsAfter    map[runs.Task]int       // starts after maxCrashes of them
	crashedAt      map[runs.Task]time.Time // time of the last one
	restarts       int                     // of workers that a subtask has crashed
}

// workerState is one incarnation of a worker of a WorkerSet.
type workerState struct {
	hosts.Worker
	up             bool
	unreachable    bool      // calls get no answer while runs go on
	fence          int64     // highest fencing token received
	clockStart     time.Time // time at which its clock was at 0
	leaseEnd       time.Time
	leaseTimer     *time.Timer
	running        map[runs.Task]*activeRun
	staleThrough   map[runs.Task]int // highest run that ended or was stopped; starts up to it are refused
	unackedEnds    []runs.End
	endedAt        map[int64]time.Time // by number of the end
	leaseExpiredAt time.Time           // last time that the lease lapsed
	lastEnd        int64               // number of the last end
	used           hosts.Resources
	former         []formerCapacity
	changed        chan struct{} // closed and replaced when a run ends
	// drainedAt is the time at which the worker was marked as draining, or joined.
	drainedAt time.Time
}

// activeRun is a run that is active on a worker.
type activeRun struct {
	task    runs.Task
	run     int
	step    *steps.Step
	timer   *time.Timer
	started time.Time
	sent    time.Time // when its start was first sent
	resumed string    // the checkpoint that its start carried
}

// sentStart is a run whose start was sent.
type sentStart struct {
	task runs.Task
	run  int
}

// Times of workers.
const (
	workerLatency = time.Millisecond       // of an answered call
	workerTimeout = 700 * time.Millisecond // of a call without an answer
	startupTime   = 300 * time.Millisecond // until a long-running subtask is in service
	stopTime      = 100 * time.Millisecond // from the order to stop a run to its end
	gangWait      = 3 * time.Second        // that a gang's member waits for the others

	defaultOrderDelay = 3 * time.Second // of an order with the fault DelayCall

	maxEndsListed = 500 // in a report
)

// NewWorkerSet returns a set without workers; maxLease is the longest lease that they
// accept.
func NewWorkerSet(maxLease time.Duration) *WorkerSet {
	return &WorkerSet{
		MaxLease: maxLease, workers: map[string]*workerState{}, jobs: map[string]*steps.Job{}, ackedDone: map[runs.Task]bool{},
		reportedDone: map[runs.Task]bool{}, ackedFailures: map[runs.Task]int{}, ackedFailedAt: map[runs.Task][]time.Time{}, failures: map[runs.Task]int{}, cancelledAt: map[string]time.Time{},
		lastStarts: map[runs.Task]time.Time{}, firstSent: map[sentStart]time.Time{}, crashes: map[runs.Task]int{}, startsAfter: map[runs.Task]int{}, crashedAt: map[runs.Task]time.Time{}, checkpoints: map[string]runs.Step{},
	}
}

// Join adds a worker that has just started, or a new incarnation of one with the same ID. The
// incarnation's clock and the numbers of its ends start anew.
func (ws *WorkerSet) Join(w hosts.Worker) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	now := time.Now()
	w.StartedMs = now.UnixMilli()
	ws.workers[w.ID] = &workerState{
		Worker: w, up: true, clockStart: now, running: map[runs.Task]*activeRun{}, staleThrough: map[runs.Task]int{},
		endedAt: map[int64]time.Time{}, drainedAt: now, changed: make(chan struct{}),
	}
}

// Crash stops a worker; its runs end without a report. Calls to it are refused, or get no answer
// if it was unreachable, until it has joined again.
func (ws *WorkerSet) Crash(id string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.crash(ws.workers[id])
}

// SetUnreachable sets whether calls to a worker get no answer; its runs go on.
func (ws *WorkerSet) SetUnreachable(id string, unreachable bool) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.workers[id].unreachable = unreachable
}

// Unreachable tells whether calls to a worker get no answer.
func (ws *WorkerSet) Unreachable(id string) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.workers[id].unreachable
}

// Drain marks a worker as draining; left is the time until it leaves.
func (ws *WorkerSet) Drain(id string, left time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.workers[id]
	w.Draining, w.DrainLeft, w.drainedAt = true, left, time.Now()
}

// Registered returns the workers that are up, in the order of their IDs, as the
// platform lists them.
func (ws *WorkerSet) Registered() []hosts.Worker {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var out []hosts.Worker
	for _, id := range slices.Sorted(maps.Keys(ws.workers)) {
		if w := ws.workers[id]; w.up {
			out = append(out, w.Worker)
		}
	}
	return out
}

// Starts returns the number of runs that were started.
func (ws *WorkerSet) Starts() int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.starts
}

// Running returns the IDs of the workers with an active run, by subtask.
func (ws *WorkerSet) Running() map[runs.Task]string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	out := map[runs.Task]string{}
	for id, w := range ws.workers {
		for t := range w.running {
			out[t] = id
		}
	}
	return out
}

// GangTimeouts returns the number of runs of gang members that ended because other
// members had not started in time.
func (ws *WorkerSet) GangTimeouts() int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.gangTimeouts
}
