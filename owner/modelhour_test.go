package owner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"github.com/stretchr/testify/assert"

	"shallotpaddle/fakes"
	"shallotpaddle/hosts"
	"shallotpaddle/owner"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

const (
	hourCycle = 3 * time.Minute // from one mark to the next
	// hourQuiet is the time without failures before a mark: as long as run waits until all jobs
	// have ended.
	hourQuiet = 90 * time.Second
	// hourRetention is how long ended jobs are kept, and hourKept how long they are in the store
	// then: owners keep them for 10 s more, and remove some at a time.
	hourRetention = 20 * time.Second
	hourKept      = hourRetention + 10*time.Second + 5*time.Second
	// removedKept is how long an owner remembers jobs that it has removed, and until it looks again.
	removedKept = time.Minute + 5*time.Second
	// arrivalsKept is how long an owner counts the arrivals of jobs: 4.2 s, and until it looks again.
	arrivalsKept = 10 * time.Second
	// hourWorkers is the number of workers at work.
	hourWorkers = 8
	// lapsedKept is how long an owner remembers workers that it has given up.
	lapsedKept = 10 * time.Minute
	// mostRuns is the number of runs for which a worker has room: each takes 500 of its 8000.
	mostRuns = 16
	// mostUnacked is the number of ends not acknowledged from which a worker gets no starts.
	mostUnacked = 300
	// mostAttempts is the number of attempts that each job has, and mostCrashes the number of
	// crashes that a subtask's record lists.
	mostAttempts, mostCrashes = 3, 8
	// mostSteps is the number of steps of a job, and mostTasks the number of subtasks of a step.
	mostSteps, mostTasks = 3, 5
	// mostAgeMarks is the number of marks of the clock of the pool.
	mostAgeMarks = 10
	// mostNamed is the number of workers that an owner names in a line.
	mostNamed = 8
	// mostSettled is the number of elections of which an entry remembers since when no earlier
	// leader acts.
	mostSettled = 32
	// hourEntries is the number of entries, and mostCalls the number of goroutines for which an
	// entry has a reason beside those for its workers and their runs.
	hourEntries, mostCalls = 3, 20
)

// hourLength returns the length of the run: MODEL_HOUR minutes, by default one cycle of each kind.
func hourLength() time.Duration {
	n, err := strconv.Atoi(os.Getenv("MODEL_HOUR"))
	if err != nil {
		return time.Duration(len(hourKinds)) * hourCycle
	}
	return time.Duration(n) * time.Minute
}

// hour is a pool under load and failures for long, of which only what the load explains may be left.
type hour struct {
	*testPool
	ctx    context.Context
	random *rand.Rand
	cycles int // begun

	storeFails, ordersFail, failing, hides atomic.Bool

	// checked has the jobs whose ends have been checked, and index their positions in the list of
	// all, by ID.
	checked map[string]bool
	index   map[string]int

	notesMu sync.Mutex
	ends    map[string]jobEnd // as the store first had them, by job ID
	// cancelledAt has when jobs were cancelled last, by ID.
	cancelledAt map[string]time.Time
	// seenAt has when each worker was last registered, by ID.
	seenAt map[string]time.Time
	// owners has all owners that were seen.
	owners map[weak.Pointer[owner.Owner]]bool
	// withheld is the largest number of ends that were withheld at a time since the last mark.
	withheld int64
}

type jobEnd struct {
	at      time.Time
	outcome steps.Outcome
}

func newHour(ctx context.Context, t *testing.T, seed uint64) *hour {
	pool := newTestPool(t, seed)
	pool.retention = hourRetention
	h := &hour{
		testPool: pool, ctx: ctx, random: rand.New(rand.NewPCG(seed, 20)), ends: map[string]jobEnd{}, checked: map[string]bool{}, index: map[string]int{}, cancelledAt: map[string]time.Time{},
		seenAt: map[string]time.Time{}, owners: map[weak.Pointer[owner.Owner]]bool{},
	}
	storeRand, orderRand, delayRand, lengths := newLockedRand(seed, 1), newLockedRand(seed, 2), newLockedRand(seed, 3), newLockedRand(seed, 12)
	pool.kv.OnPut = h.noteEnd
	pool.kv.InjectFault = func(op, _ string) fakes.CallFault {
		if !h.failing.Load() || !h.storeFails.Load() || op == "watch" {
			return fakes.NoFault
		}
		return storeRand.pick(20)
	}
	pool.workers.InjectFault = func(_, _ string) fakes.CallFault {
		if !h.failing.Load() || !h.ordersFail.Load() {
			return fakes.NoFault
		}
		return orderRand.pick(15)
	}
	pool.workers.LateOrderDelay = func() time.Duration {
		return minOrderDelay + time.Duration(delayRand.intN(int(maxOrderDelay-minOrderDelay)))
	}
	pool.workers.InTouchSince = pool.inTouchSince
	pool.workers.OnAckedEnd = func(e runs.End, lapsed bool) string {
		if _, ended := h.endOf(e.Task.Job); ended {
			return "" // its record may be gone
		}
		return pool.unrecordedEnd(e, lapsed)
	}
	pool.renew = func(ctx context.Context, to runs.Target, n runs.Renew) (runs.Report, error) {
		r, err := pool.workers.Renew(ctx, to, n)
		if h.hides.Load() {
			r.StartedMs = 0
		}
		return r, err
	}
	decide := pool.workers.DecideRun
	pool.workers.DecideRun = func(t runs.Task, run int) (time.Duration, runs.Outcome) {
		length, how := decide(t, run)
		if lengths.intN(10) == 0 && !h.hides.Load() {
			length *= 8
		}
		return length, how
	}
	return h
}

// noteEnd notes the end of a job as the store gets it.
func (h *hour) noteEnd(it plat.Item) {
	id, ok := strings.CutPrefix(it.Key, owner.StateKey(poolName, ""))
	if !ok {
		return
	}
	var r steps.Record
	if err := json.Unmarshal(it.Value, &r); err != nil || r.State == steps.Open {
		return
	}
	h.notesMu.Lock()
	defer h.notesMu.Unlock()
	if _, known := h.ends[id]; !known {
		h.ends[id] = jobEnd{time.Now(), r.State}
	}
}

func (h *hour) endOf(job string) (jobEnd, bool) {
	h.notesMu.Lock()
	defer h.notesMu.Unlock()
	end, ok := h.ends[job]
	return end, ok
}

// restart ends an entry at once and starts another one under its name, as on the same host.
func (h *hour) restart(e *entry) {
	e.stop()
	h.lost(e)
	h.startEntry(h.ctx, e.name)
}

// hourKind is a kind of cycle.
type hourKind struct {
	// changes has owners change and the pool split. Without it, what grows in one owner goes on.
	changes bool
	// hides has workers that don't say which incarnation answers, so that ends are withheld from
	// those that were cut off.
	hides bool
}

// hourKinds are the kinds of cycles, in turn.
var hourKinds = []hourKind{{hides: true}, {changes: true}, {}}

// failures returns the usual failures, with entries that come back under their names, or those of
// them that the kind of cycle allows.
func (h *hour) failures(kind hourKind) map[string]func(context.Context, *testPool) {
	cut := map[string]func(context.Context, *testPool){"cut a worker off": cutOneWorker}
	table := maps.Clone(failures)
	switch {
	case kind.hides:
		return cut
	case !kind.changes:
		for _, name := range []string{"kill the owner", "owner resigns", "cut the owner from the store", "the owner's lease ends"} {
			delete(table, name)
		}
		return table
	}
	table["kill the owner"] = func(context.Context, *testPool) {
		if e := h.leader(); e != nil {
			h.restart(e)
		}
	}
	table["owner resigns"] = func(ctx context.Context, _ *testPool) {
		if e := h.leader(); e != nil {
			go func() {
				e.elect.Resign(ctx)
				time.Sleep(time.Second)
				h.restart(e)
			}()
		}
	}
	return table
}

// hide makes workers say nothing of their incarnation, or say it again.
func (h *hour) hide(hides bool) {
	h.hides.Store(hides)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = h.workers.Registered
	if hides {
		h.list = func() []hosts.Worker {
			out := h.reachable()
			for i := range out {
				out[i].StartedMs = 0
			}
			return out
		}
	}
}

// watch notes the workers and owners that there are until the context ends.
func (h *hour) watch() {
	for h.ctx.Err() == nil {
		list := h.workers.Registered()
		h.mu.Lock()
		var owners []*owner.Owner
		for _, e := range h.entries {
			if e.owner != nil {
				owners = append(owners, e.owner)
			}
		}
		h.mu.Unlock()
		h.notesMu.Lock()
		for _, w := range list {
			h.seenAt[w.ID] = time.Now()
		}
		h.withheld = max(h.withheld, h.stats.Withheld.Count())
		for _, o := range owners {
			h.owners[weak.Make(o)] = true
		}
		h.notesMu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// splitUntil splits the pool again and again until a time.
func (h *hour) splitUntil(end time.Time) {
	for {
		time.Sleep(time.Duration(5+h.random.IntN(20)) * time.Second)
		length := time.Duration(5000+h.random.IntN(15_000)) * time.Millisecond
		if time.Until(end) < length {
			return
		}
		h.setSplit(h.drawSplit(h.random))
		time.Sleep(length)
		h.setSplit(nil)
	}
}

func (h *hour) add(j *steps.Job) {
	h.index[j.ID] = len(h.jobs)
	h.submit(j)
}

// stop cancels a job, which may be gone.
func (h *hour) stop(id string) {
	h.notesMu.Lock()
	h.cancelledAt[id] = time.Now()
	h.notesMu.Unlock()
	h.cancel(id)
}

// load submits and cancels jobs for a time, with failures if any are given.
func (h *hour) load(d time.Duration, table map[string]func(context.Context, *testPool)) {
	names, r := sortedKeys(table), h.rand
	for begun := time.Now(); time.Since(begun) < d; {
		time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
		switch n := r.IntN(20); {
		case n < 12:
			j := h.randomJob()
			if j.LongRunning() && h.hides.Load() {
				continue // one that is cut off would be listed as lapsed
			}
			h.add(j)
			if j.LongRunning() {
				time.AfterFunc(time.Duration(10+r.IntN(50))*time.Second, func() { h.stop(j.ID) })
			}
		case n < 13:
			if j := h.jobs[max(0, len(h.jobs)-1-r.IntN(10))]; j != h.jobs[0] { // the first one lasts
				h.stop(j.ID)
			}
		case n <= 14 && len(names) > 0:
			table[names[r.IntN(len(names))]](h.ctx, h.testPool)
		}
	}
}

// mendWorkers replaces the workers that the failures have left draining, and adds or removes some
// so that there are as many as at the begin.
func (h *hour) mendWorkers() {
	list := h.workers.Registered()
	kept := 0
	for _, w := range list {
		if w.Draining || kept == hourWorkers {
			h.workers.Drain(w.ID, 2*time.Second)
			time.AfterFunc(2500*time.Millisecond, func() { h.workers.Crash(w.ID) })
			continue
		}
		kept++
	}
	h.addWorkers(hourWorkers - kept)
}

// cycle loads the pool with failures, then without, until the next mark.
func (h *hour) cycle(t *testing.T) {
	kind := hourKinds[h.cycles%len(hourKinds)]
	h.cycles++
	h.storeFails.Store(kind.changes && h.random.IntN(3) == 0)
	h.ordersFail.Store(!kind.changes && !kind.hides || h.random.IntN(3) == 0)
	h.failing.Store(true)
	h.hide(kind.hides)
	end := time.Now().Add(hourCycle - hourQuiet)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if kind.changes {
			h.splitUntil(end)
		}
	}()
	h.load(time.Until(end), h.failures(kind))
	h.failing.Store(false)
	<-done
	h.load(10*time.Second, nil) // the last crashed and cut ones are back by then
	h.hide(false)
	h.mendWorkers()
	h.load(time.Until(end.Add(hourQuiet)), nil)
	h.checkMark(t, kind)
}

// TestModelHour plays a pool under load and failures for MODEL_HOUR minutes, by default for one
// cycle of each kind, and checks at each mark that nothing is left that the load doesn't explain.
func TestModelHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := newHour(ctx, t, hourSeed())
		h.addWorkers(hourWorkers)
		for i := range hourEntries {
			h.startEntry(ctx, fmt.Sprintf("n%d", i))
		}
		go h.watch()
		h.add(&steps.Job{ID: "1a571176", Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 3, CPU: 500, LongRunning: true, MaxUnavailable: 1}}})
		for begun := time.Now(); time.Since(begun) < hourLength(); {
			h.cycle(t)
		}
		cancel()
		time.Sleep(5 * time.Second)
		assert.Empty(t, h.workers.Violations())
	})
}

// hourSeed returns the seed of the run: MODEL_SEED, by default 1.
func hourSeed() uint64 {
	n, err := strconv.ParseUint(os.Getenv("MODEL_SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return n
}
