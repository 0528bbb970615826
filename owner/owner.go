// Package owner runs one pool of hosts: it starts the subtasks of the pool's
// jobs on workers, renews the workers' leases and records how runs end. Each
// order to a worker and each write to the store carries the fencing token of the
// owner's election. The entries, which are the processes of the service, elect one
// owner for each pool. A run is one attempt to execute a subtask.
//
// A single goroutine, the loop in Run, owns all state. Calls are made by other
// goroutines, which post their results to the loop as typed messages.
package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"

	"shallotpaddle/advice"
	"shallotpaddle/aging"
	"shallotpaddle/hosts"
	"shallotpaddle/noise"
	"shallotpaddle/pack"
	"shallotpaddle/plat"
	"shallotpaddle/policy"
	"shallotpaddle/quota"
	"shallotpaddle/runs"
	"shallotpaddle/shift"
	"shallotpaddle/spill"
	"shallotpaddle/steps"
)

// ErrDeposed is returned when a worker or the store has refused the owner's
// fencing token, because another owner has been elected.
var ErrDeposed = errors.New("another owner was elected")

// Store holds the calls to the platform's store.
type Store struct {
	List   func(ctx context.Context, prefix string) ([]plat.Item, int64, error)
	Watch  func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error)
	Commit func(ctx context.Context, t plat.Txn) (int64, []plat.Item, error)
	// Pages does the same as List, and calls a function for each page instead of holding all of
	// them; nil if there is only List.
	Pages func(ctx context.Context, prefix string, f func([]plat.Item)) (int64, error)
}

// Workers holds the calls to workers.
type Workers struct {
	Start func(ctx context.Context, to runs.Target, s runs.Start) (runs.Reply, error)
	Stop  func(ctx context.Context, to runs.Target, s runs.Stop) (runs.Reply, error)
	Renew func(ctx context.Context, to runs.Target, n runs.Renew) (runs.Report, error)
	Pace  func(ctx context.Context, to runs.Target, p runs.Pace) (runs.Reply, error)
}

// Bounds are the time limits that workers and the owner keep.
type Bounds struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime time.Duration
	// Drain is how long a worker goes on after it has announced that it leaves.
	Drain time.Duration
	// StatusRetention is how long the state of an ended job can be queried.
	StatusRetention time.Duration
	// QuotaWindow is the time over which the use and the jobs of a workspace are measured.
	QuotaWindow time.Duration
}

// Params are the parameters of New.
type Params struct {
	Pool string
	// ElectionKey is the store key of the pool's election, and Fence the revision
	// of that key: the fencing token.
	ElectionKey string
	Fence       int64
	// Term is the number of the election, from 1 for the pool's first.
	Term    int
	Bounds  Bounds
	Store   Store
	Workers Workers
	// Room is the memory for jobs that all owners of the process share; nil for no bound.
	Room *spill.Room
	// Policy returns the configuration in force, or nil if none is known; nil for none ever.
	Policy func() *policy.Version
	// ReadPlan reads the pool's part of the fleet plan.
	ReadPlan func(ctx context.Context) (PoolPlan, error)
	// Proven reports whether the election is certainly in force, so that no later owner can
	// have been elected. It does not report so while the store can't be reached.
	Proven func() bool
	// ProvenAt returns when, by SinceBoot, the call was sent by which the store last proved
	// that the election was in force.
	ProvenAt func() time.Duration
	// FormerEnded reports whether all earlier owners of the pool are known to have ended, and
	// Settled records that none of them acts any more.
	FormerEnded func() bool
	Settled     func()
	// SettledAt returns the earliest time, by SinceBoot, at which this entry knew that no owner
	// before the given election acted any more; false if it did not.
	SettledAt func(term int) (time.Duration, bool)
	// SinceBoot returns the time since some moment, including the time for which the host
	// was suspended.
	SinceBoot func() time.Duration
	// AskAdvisor returns a ticket for each worker that the advisor lets run a step,
	// by worker. It gives up after the time in within.
	AskAdvisor func(ctx context.Context, q runs.AdvisorQuery, within time.Duration) (map[string]string, error)
	// Advice is the line for the advisor, which all owners of the entry share.
	Advice *advice.Line
	// IgnoreInterference makes the owner place and pace subtasks without regard to which images
	// are known to disturb each other, so that the effect can be measured.
	IgnoreInterference bool
	Clock              quartz.Clock
	Log                *log.Logger
	Stats              *Stats
}

// Owner is the elected owner of a pool. Only the goroutine in Run uses the
// fields below ctx.
type Owner struct {
	Params
	inbox          chan any        // messages to the loop
	done           chan struct{}   // closed when Run returns
	ctx            context.Context // of Run; cancels all calls
	startedAt      time.Time       // when Run began
	pollsSince     time.Time       // when the first polls were sent
	hosts          map[string]*host
	jobs           map[string]*job
	openJobs       []*job                   // jobs not ended, by rank, then by time of acceptance
	cancelRequests map[string]cancelRequest // by job ID
	removed        map[string]removal       // jobs that were removed from the store lately, by ID
	writer         writer
	roster         *doc // the stored list of workers that may have runs of the pool
	voters         *doc // the stored list of workers that prove who is in charge
	electorates    electorates
	digest         *doc // the stored summary of demand and load, for other entries

	// jobsPerSecond is the rate of arriving jobs, as the bits of a float64, for
	// watchJobs.
	jobsPerSecond atomic.Uint64
	// keepUp tells other goroutines whether the owner keeps up with its starts.
	keepUp keepUp

	roundEnded      time.Time     // when the last round of the loop ended
	roundTime       time.Duration // that it took
	lastPass        time.Time     // time of the last scheduling pass
	passTime        time.Duration // that it took
	passNeeded      bool          // something changed that may let a subtask start
	err             error         // ErrDeposed when another owner was elected; ends Run
	digestCheckedAt time.Time     // when the digest was last compared with the published one
	// publishedDigest is the digest that was last queued for writing.
	publishedDigest string
	// workersKnown tells that the registered workers have been listed, and
	// takeoverDone that every run of an earlier owner is known or has ended.
	workersKnown, takeoverDone bool
	// endsUnread tells that a worker has not answered by the end of the takeover: it
	// may have ends of an earlier owner's runs.
	endsUnread bool
	// missing has the workers that were removed during the takeover without an answer. They
	// stay in the roster until what may have been lost with them is recorded.
	missing   []rosterEntry
	fleetPlan PoolPlan
	hadJobs   bool // the pool has had jobs that end by themselves
	largest   largestCapacity
	former    formerRecords
	silent    silentWorkers
	refusals  map[string]*refusal    // by worker ID
	lapsed    map[string]lapsedLease // by worker ID

	// ages tells how long ago keys were written under earlier owners. It is stored as agesDoc,
	// last at agesStoredAt.
	ages         *aging.Clock
	agesKnown    bool // what earlier owners have stored is known
	agesDoc      *doc
	agesStoredAt time.Time
	// withheld is the number of ends that are withheld from workers, and resting the number of
	// workers that rest.
	withheld, resting int
	// demand is the CPU that running, waiting and expected work needs, and
	// publishedDemand the one in the last digest, both in thousandths of a core.
	demand, publishedDemand int
	inflows                 map[string]*shift.Inflow // by queue
	digestDue               bool                     // a release has changed or a worker is empty: publish at once
	// unanswered has the starts without an answer that may still be carried out, by
	// worker ID.
	unanswered map[string][]*unansweredStart
	// lateOrders has the orders without an answer that a later incarnation of a worker might
	// carry out, by worker ID.
	lateOrders map[string][]*lateOrders
	// intents has the starts that are stored and wait for the answer of their workers.
	intents       map[*steps.Task]intent
	forgottenAt   time.Time // when orders were last dropped from the two
	callsInFlight int       // starts and stops
	hostsAtWork   int       // number of workers that have runs
	// seat is the pool's place in the line for the advisor, and asked its question there, nil
	// if none is under way. turnEnded tells how the last one has ended until its turn is given
	// back. waitsSince is when the pool began to wait for a turn, or zero.
	seat       *advice.Seat
	asked      *question
	turnEnded  *advice.Outcome
	waitsSince time.Time
	queues     map[string]*queueAdvice // by name
	// callsLost tells that many workers at work have lost calls lately.
	callsLost bool
	// trialsWait tells that in the last scheduling pass a subtask that may have crashed a
	// worker found none to start on.
	trialsWait bool
	// inDoubt tells that a later owner may have been elected.
	inDoubt bool
	// evidence is the latest time, by SinceBoot, at which this owner is known to have been in
	// charge of the pool, and outOfCharge tells that this is too long ago for orders.
	evidence    time.Duration
	outOfCharge bool
	roundAt     time.Duration // when the current round of the loop began, by SinceBoot
	provenAt    time.Duration // when the store's last proof of the election was asked for, by SinceBoot
	// formerOver is when the earlier owners gave the last lease at the latest; zero if it is
	// not known. formerWarned tells that the log says so.
	formerOver   time.Time
	formerWarned bool
	// silenceStoredAt is when the silence of workers was last encoded, or the roster queued for it.
	silenceStoredAt time.Time
	// restartsWait tells that in the last scheduling pass a subtask waited until its record
	// is stored.
	restartsWait bool
	losses       []*loss // of workers lately
	// trialHosts has the worker on which each subtask starts whose trial is announced.
	trialHosts map[*steps.Task]*host
	// announcements counts the addresses of lost workers that are being told the token.
	announcements atomic.Int32
	// strays counts the runs of each subtask that are being stopped as they are not current.
	strays map[*steps.Task]int
	// forecasts predict run times from past ones, by queue.
	forecasts map[string]*pack.Forecast
	// noise has which images disturb serving ones, as of noiseAt.
	noise   noise.Table
	noiseAt time.Time
	// shares has what the workspaces have had of the pool; nil without workspaces.
	shares *poolShares
	load   *poolLoad // nil until there are shares
	quotas quotaState
	starve *starvation // nil without workspaces
	// spilled has the jobs that are left in the store. recorded has the records of jobs, by key,
	// while the jobs are read at the takeover.
	spilled  spilledJobs
	recorded map[string]plat.Item
	// lossesRecorded tells that workers were missing at the end of the takeover.
	lossesRecorded bool
}

// inboxSize is the number of messages that the inbox buffers. Senders block when
// it is full, which bounds the number of results that wait.
const inboxSize = 1024

// New returns an owner. Run reads the state of its pool.
func New(p Params) *Owner {
	o := &Owner{
		Params: p, inbox: make(chan any, inboxSize), done: make(chan struct{}), hosts: map[string]*host{}, jobs: map[string]*job{},
		cancelRequests: map[string]cancelRequest{}, removed: map[string]removal{}, forecasts: map[string]*pack.Forecast{}, inflows: map[string]*shift.Inflow{}, unanswered: map[string][]*unansweredStart{}, lateOrders: map[string][]*lateOrders{}, trialHosts: map[*steps.Task]*host{}, strays: map[*steps.Task]int{}, refusals: map[string]*refusal{}, lapsed: map[string]lapsedLease{},
		queues: map[string]*queueAdvice{}, intents: map[*steps.Task]intent{},
	}
	o.seat = p.Advice.Join(func() { o.post(turnGranted{}) }, func() { o.post(turnRecalled{}) })
	o.roster = &doc{key: rosterKey(p.Pool), encode: o.encodeRoster}
	o.voters = &doc{key: votersKey(p.Pool), encode: o.encodeVoters}
	o.digest = &doc{key: DigestKey(p.Pool), encode: o.encodeDigest}
	o.agesDoc = &doc{key: agesKey(p.Pool), encode: o.encodeAges}
	o.ages = aging.New(o.endedKept(), p.Clock.Now())
	o.spilled = spilledJobs{Jobs: spill.New(p.Room), reported: map[string]map[*host]bool{}, heldAt: map[spill.Class]time.Time{}}
	o.quotas.ledger = quota.New(p.Pool, o.goneAfter(), p.Term > 1)
	return o
}

// Messages to the loop.
type (
	workersListed struct {
		workers    []hosts.Worker
		unreadable []string
	}
	// handled, unless it is nil, is closed once the items are handled.
	itemsWritten struct {
		items   []plat.Item
		handled chan struct{}
	}

	planChanged struct{ plan PoolPlan }

	agesRead struct{ items []plat.Item }
)

// SetWorkers tells the owner which workers are registered in its pool, and the IDs of those that
// were, and whose registrations can't be used now.
func (o *Owner) SetWorkers(w []hosts.Worker, unreadable []string) {
	o.post(workersListed{w, unreadable})
}

// post sends a message to the loop. It drops the message if Run has returned.
func (o *Owner) post(m any) {
	select {
	case o.inbox <- m:
	case <-o.done:
	}
}

// Intervals of the loop.
const (
	// tickInterval is how often leases and retries are checked when no message
	// arrives.
	tickInterval = 50 * time.Millisecond
	// minPassGap is the shortest time between two scheduling passes: one pass
	// serves all ends that arrive close together.
	minPassGap = 5 * time.Millisecond
	// passGapFactor is that time in durations of a pass, up to maxFullPassGap: passes over
	// hundreds of waiting jobs would take the CPU that calls need. While calls are lost, which
	// cost several times the CPU of others, it is busyPassGapFactor, up to maxBusyPassGap.
	passGapFactor     = 10
	maxFullPassGap    = 25 * time.Millisecond
	busyPassGapFactor = 20
	maxBusyPassGap    = 50 * time.Millisecond
	// roundGapFactor is the pause after a round of the loop in durations of the round, up to
	// maxRoundGap. minRoundWait keeps the timer from firing at once.
	roundGapFactor = 10
	maxRoundGap    = 5 * time.Millisecond
	minRoundWait   = 100 * time.Microsecond
	// maxPassGap is the longest time between two scheduling passes while jobs are
	// open: some obstacles to a start, such as HeldUntil, end without a message.
	maxPassGap = 200 * time.Millisecond
	// storeRetryDelay is the delay before a failed read of the store is retried.
	storeRetryDelay = 100 * time.Millisecond
)

// Run owns the pool until another owner is elected or the context ends. It
// returns ErrDeposed or the context's error.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer close(o.done)
	defer cancel()
	o.ctx = ctx
	o.startedAt = o.Clock.Now()
	defer o.forgetWithheld()
	defer o.forgetNoise()
	defer o.seat.Leave()
	defer o.forgetSpilled()
	rev, err := o.restore(ctx)
	if err != nil {
		return err
	}
	o.pollsSince = o.Clock.Now()
	go o.watchJobs(ctx, rev)
	go o.readAges(ctx)
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
		timer.Reset(o.round())
	}
}

// round does the work that is due, and returns the time until it must be called again. It leaves a
// pause after each round that follows from what the round took: rounds go over all workers, and with
// hundreds of them they took half of the CPU that a busy pool's calls need.
func (o *Owner) round() time.Duration {
	begun := o.Clock.Now()
	if wait := min(roundGapFactor*o.roundTime, maxRoundGap) - begun.Sub(o.roundEnded); wait > 0 {
		return max(wait, minRoundWait)
	}
	next := o.advance(begun)
	o.roundEnded = o.Clock.Now()
	o.roundTime = o.roundEnded.Sub(begun)
	return next
}

// drainInbox handles the messages that already wait, so that one scheduling pass
// covers all of them.
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
		o.updateWorkers(m.workers, m.unreadable)
	case itemsWritten:
		for _, it := range m.items {
			o.handleItem(it, true)
		}
		if m.handled != nil {
			close(m.handled)
		}
	case jobLoaded:
		o.handleLoaded(m)
	case jobsListed:
		o.handleListed(m)
	case agesRead:
		o.applyAges(m)
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
	case confirmResult:
		o.handleConfirmed(m)
	case claimAnswer:
		o.handleClaim(m)
	case commitResult:
		o.handleCommitted(m)
	case turnGranted:
		o.passNeeded = true
	case turnRecalled:
		o.recallTurn()
	case adviceResult:
		o.handleAdvice(m)
	case paceResult:
		o.handlePaced(m)
	case quotaItems, quotaListed, quotaWritten:
		o.handleQuota(m)
	}
}

// advance does all work that is due at now, and returns the time until it must be
// called again.
func (o *Owner) advance(now time.Time) time.Duration {
	o.updateEvidence()
	o.checkFormer(now)
	o.updatePolicy(now)
	o.expireLeases(now)
	o.stopLeaving(now)
	o.restWorkers()
	o.refreshNoise(now)
	o.stopOnReleased(now)
	next := tickInterval
	if len(o.openJobs) > 0 && now.Sub(o.lastPass) >= maxPassGap {
		o.passNeeded = true
	}
	if o.passNeeded {
		if wait := o.passGap() - now.Sub(o.lastPass); wait > 0 {
			next = wait
		} else {
			o.passNeeded = false
			o.lastPass = now
			begun := o.Clock.Now()
			o.scheduleStarts(now)
			o.passTime = o.Clock.Since(begun)
		}
	}
	o.forgetUnanswered(now)
	o.storeSilence(now)
	o.forgetLosses(now)
	o.updateVoters(now)
	o.retryOrders(now)
	o.pollHosts(now)
	o.updateDigest(now)
	o.updateLoad(now)
	o.loadSpilled(now)
	o.removeEndedJobs(now)
	o.updateAges(now)
	o.writeQuotas(now)
	o.flush(now)
	return max(min(next, o.untilNextDue(now)), time.Millisecond)
}

// passGap returns the time from one scheduling pass to the next. It follows from what the last took.
func (o *Owner) passGap() time.Duration {
	if o.callsLost {
		return max(minPassGap, min(busyPassGapFactor*o.passTime, maxBusyPassGap))
	}
	return max(minPassGap, min(passGapFactor*o.passTime, maxFullPassGap))
}

// untilNextDue returns the time until the next occurrence of a scheduled job is
// due, at most tickInterval, and asks for a scheduling pass if one is due by then.
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

// depose makes Run return ErrDeposed.
func (o *Owner) depose(why string) {
	if o.err == nil {
		o.err = ErrDeposed
		o.Log.Warn().Str("pool", o.Pool).Int64("fence", o.Fence).Str("cause", why).Msg("deposed")
	}
}

// sleep waits for d or until the context ends.
func (o *Owner) sleep(ctx context.Context, d time.Duration) {
	t := o.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
