package owner_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// entryLife is how long the entry of a worker that writes none is kept.
const entryLife = 4500 * time.Millisecond

// registry keeps the entries of workers as the store does: those of a worker that is down or cut
// off stay for entryLife, and an incarnation writes its first one some time after its start.
type registry struct {
	workers *fakes.WorkerSet

	mu      sync.Mutex
	entries map[string]hosts.Worker
	written map[string]time.Time
	lag     time.Duration // until an incarnation that replaces another one has written its entry
}

func newRegistry(ws *fakes.WorkerSet) *registry {
	return &registry{workers: ws, entries: map[string]hosts.Worker{}, written: map[string]time.Time{}}
}

func (g *registry) setLag(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lag = d
}

func (g *registry) list() []hosts.Worker {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.workers.Registered() {
		_, known := g.entries[w.ID]
		if !g.workers.Unreachable(w.ID) && (!known || time.Since(time.UnixMilli(w.StartedMs)) >= g.lag) {
			g.entries[w.ID], g.written[w.ID] = w, time.Now()
		}
	}
	var out []hosts.Worker
	for _, id := range sortedKeys(g.entries) {
		if time.Since(g.written[id]) >= entryLife {
			delete(g.entries, id)
			continue
		}
		out = append(out, g.entries[id])
	}
	return out
}

// drawnRestart is a worker's restart under its ID, after which it is cut off.
type drawnRestart struct {
	silent  time.Duration // how long it gives no answers before it restarts
	refuses bool          // calls are refused while it is down, else get no answer
	down    time.Duration
	lag     time.Duration // of its new entry
	submit  time.Duration // from its restart until a job is submitted
	lost    int           // polls of the next incarnation without an answer
	cut     time.Duration // from an order that reaches the next incarnation until the cut
	length  time.Duration // of the cut
	kill    time.Duration // from that order until the owner is killed; 0 for never
}

func drawRestart(r *rand.Rand) drawnRestart {
	ms := func(n int) time.Duration { return time.Duration(r.IntN(n)) * time.Millisecond }
	c := drawnRestart{
		refuses: r.IntN(2) == 0, down: ms(1200), lag: ms(1500), submit: ms(1500), lost: r.IntN(6),
		cut: ms(2000), length: ms(9000),
	}
	if r.IntN(2) == 0 {
		c.down, c.cut = c.down/8, c.cut/8 // before the next call of the owner
	}
	if !c.refuses {
		c.silent = ms(1000)
	}
	if r.IntN(2) == 0 {
		c.length = (c.length + 9*time.Second) / 2 // longer than owners' leases
	}
	if r.IntN(3) == 0 {
		c.kill = c.cut + ms(2200) - 200*time.Millisecond
	}
	return c
}

// orderLimit is how long a restarted worker waits for an order before it is cut off.
const orderLimit = 2 * time.Second

// restartAndCut has a worker restart, and cuts it off after its next incarnation's first order.
func (p *loadedPool) restartAndCut(ctx context.Context, g *registry, w hosts.Worker, c drawnRestart) {
	g.setLag(c.lag)
	if !c.refuses {
		p.workers.SetUnreachable(w.ID, true)
		time.Sleep(c.silent)
	}
	p.workers.Crash(w.ID)
	time.AfterFunc(c.submit, func() { p.submitSteps(20*time.Second, steps.Step{Count: 2 * p.workerCount, CPU: 1000}) })
	time.Sleep(c.down)
	p.workers.Join(w)
	ordered := p.loseFirstPolls(w.ID, c.lost)
	select {
	case <-ordered:
	case <-time.After(orderLimit):
	}
	if c.kill > 0 {
		time.AfterFunc(c.kill, func() {
			if e := p.leader(); e != nil {
				p.kill(ctx, e)
			}
		})
	}
	time.Sleep(c.cut)
	p.workers.SetUnreachable(w.ID, true)
	time.Sleep(c.length)
	p.workers.SetUnreachable(w.ID, false)
}

// loseFirstPolls leaves the next polls of a worker without an answer, and returns a channel that
// is closed with the first start there.
func (p *loadedPool) loseFirstPolls(id string, polls int) chan struct{} {
	var mu sync.Mutex
	ordered, started := make(chan struct{}), false
	p.workers.InjectFault = func(worker, op string) fakes.CallFault {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case worker != id:
		case op == "start" && !started:
			started = true
			close(ordered)
		case op == "renew" && polls > 0:
			polls--
			return fakes.DropCall
		}
		return fakes.NoFault
	}
	return ordered
}

// pickWorker returns a worker, in half of the cases one that runs nothing if there is one: its owner
// calls it rarely, and hears late of its restart.
func (p *loadedPool) pickWorker(r *rand.Rand) hosts.Worker {
	list, busy := p.workers.Registered(), map[string]bool{}
	pick, idleOnly := r.IntN(len(list)), r.IntN(2) == 0
	for _, id := range p.workers.Running() {
		busy[id] = true
	}
	for i := range list {
		if w := list[(pick+i)%len(list)]; idleOnly && !busy[w.ID] {
			return w
		}
	}
	return list[pick]
}

// restartsPerRun is the number of restarts in a run.
const restartsPerRun = 6

// runRestarts simulates a pool in which one worker after the other restarts and is cut off, while
// subtasks of 20 s, short and long-running ones are at work. prepare disables a safeguard; without
// it, all work must get done.
func runRestarts(t *testing.T, seed uint64, prepare func(pool *testPool)) *testPool {
	var pool *testPool
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := rand.New(rand.NewPCG(seed, 13))
		pool = newTestPool(t, seed)
		p, g := newLoadedPool(pool, 3+r.IntN(3)), newRegistry(pool.workers)
		pool.list = g.list
		if prepare != nil {
			prepare(pool)
		}
		pool.addWorkers(p.workerCount)
		for i := range 3 {
			pool.startEntry(ctx, fmt.Sprintf("n%d", i))
		}
		time.Sleep(time.Duration(5+r.IntN(30)) * time.Second)
		if r.IntN(3) == 0 {
			p.submitLongRunning()
		}
		for range restartsPerRun {
			time.Sleep(time.Duration(r.IntN(15_000)) * time.Millisecond)
			if r.IntN(2) == 0 {
				p.submitSteps(time.Duration(200+r.IntN(1500))*time.Millisecond, steps.Step{Count: p.workerCount, CPU: 500})
			}
			p.restartAndCut(ctx, g, p.pickWorker(r), drawRestart(r))
		}
		time.Sleep(time.Minute)
		if prepare == nil {
			p.requireAllAtWork(t)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
	return pool
}

// TWICE: a worker's next incarnation answered a start that was meant for the one before, with its
// clock begun anew, and took its longest lease from it. It was cut off, and given up by the lease
// of the incarnation before.
func TestModelRestartCut(t *testing.T) {
	for seed := range 2 * seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			require.Empty(t, runRestarts(t, seed, nil).workers.Violations())
		})
	}
}

// TestModelRestartCutCatches checks that restarts and cuts detect a missing safeguard.
func TestModelRestartCutCatches(t *testing.T) {
	for name, prepare := range map[string]func(pool *testPool){
		"reports that are taken for fresher than they are": func(pool *testPool) { staleReports(pool, time.Second) },
		"reports in the name of the first incarnation": func(pool *testPool) {
			var mu sync.Mutex
			first := map[string]int64{}
			pool.renew = func(ctx context.Context, to runs.Target, n runs.Renew) (runs.Report, error) {
				r, err := pool.workers.Renew(ctx, to, n)
				if err == nil {
					mu.Lock()
					defer mu.Unlock()
					first[to.ID] = cmp.Or(first[to.ID], r.StartedMs)
					r.ClockMs, r.StartedMs = r.ClockMs+(r.StartedMs-first[to.ID])*98/100, first[to.ID]
				}
				return r, err
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 2 * seeds() {
				pool := runRestarts(t, seed, prepare)
				if slices.ContainsFunc(pool.workers.Violations(), func(v string) bool { return strings.HasPrefix(v, "TWICE") }) {
					t.Logf("seed %d", seed)
					return
				}
			}
			t.Error("no seed reveals the missing safeguard")
		})
	}
}

// staleReports answers what asks for a report at once, as before a start, with the report before, up
// to the given age: as if nobody asked.
func staleReports(pool *testPool, age time.Duration) {
	type report struct {
		runs.Report
		at time.Time
	}
	var mu sync.Mutex
	last := map[string]report{}
	pool.renew = func(ctx context.Context, to runs.Target, n runs.Renew) (runs.Report, error) {
		mu.Lock()
		old := last[to.ID]
		mu.Unlock()
		if elapsed := time.Since(old.at); n.UntilMs == 0 && n.WaitMs == 0 && elapsed < age {
			old.ClockMs += int64(float64(elapsed.Milliseconds()) * 0.98)
			return old.Report, nil
		}
		r, err := pool.workers.Renew(ctx, to, n)
		if err == nil {
			mu.Lock()
			last[to.ID] = report{r, time.Now()}
			mu.Unlock()
		}
		return r, err
	}
}
