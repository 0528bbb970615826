package once

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotpaddle/plat"
)

// A protection that is switched off shows that the check can fail.
const (
	noStart = "dispatch without a durable start"
	noAsk   = "adopter runs what was started"
	noCAS   = "store without compare-and-swap"
	noRead  = "lost answer taken as not written"
)

// jobs is the model of ledgers in a world: what was dispatched against what
// callers were told.
type jobs struct {
	*world
	clock  *quartz.Mock
	broken string
	runs   map[string]int
	again  map[string]bool // idempotent
	told   map[string]error
	ended  map[string]bool // told cancelled
}

// node is an actor with a ledger.
type node struct {
	*actor
	l    *Ledger
	open bool
}

func (m *jobs) node(name string) *node {
	n := &node{}
	n.actor = m.add(name, func() func() { return m.choose(n) })
	store := m.store()
	if m.broken == noRead {
		put := store.Put
		store.Put = func(ctx context.Context, key string, v []byte, prev int64, lease string) (int64, error) {
			rev, err := put(ctx, key, v, prev, lease)
			if errors.Is(err, plat.ErrUnknown) {
				err = plat.ErrUnavailable
			}
			return rev, err
		}
	}
	n.l = NewLedger(store, m.clock, name, "1")
	m.committer(n.actor, n.l.log)
	m.logs = append(m.logs, func() (*Log, *Log) {
		fresh, _ := ledgerLog(Store{}, m.clock, n.l.name, "")
		return n.l.log, fresh
	})
	return n
}

func (m *jobs) choose(n *node) func() {
	if !n.open {
		return func() { n.open = n.l.Open(n.ctx) == nil }
	}
	switch k := m.draw(20); {
	case k < 5:
		return func() { m.accept(n) }
	case k < 15:
		return func() { m.dispatch(n) }
	case k < 17:
		return func() { m.adopt(n) }
	case k < 18:
		return func() { _ = n.l.DeleteAdopted(n.ctx) }
	default:
		return func() { m.other(n) }
	}
}

func (m *jobs) accept(n *node) {
	again := m.draw(3) == 0
	j, err := n.l.Accept(n.ctx, Job{Queue: "q", Idempotent: again, MaxAttempts: 100})
	m.told[j.ID], m.again[j.ID] = err, again
}

// dispatch starts the first job that is ready and runs it if the ledger says so.
func (m *jobs) dispatch(n *node) {
	list := n.l.Jobs(func(j *Job) bool { return j.State == Accepted })
	if len(list) == 0 {
		return
	}
	id := list[0].ID
	for i := range list {
		id = min(id, list[i].ID)
	}
	if _, err := n.l.Start(n.ctx, id, "h", "b"); err != nil && m.broken != noStart {
		return
	}
	n.pause() // between the check and the act
	if m.draw(4) == 0 {
		_ = n.l.NotRun(n.ctx, id, "refused by the worker")
		return
	}
	m.ran(n, id)
	switch {
	case m.draw(2) == 0:
		_ = n.l.Finish(n.ctx, id, Outcome{State: Done})
	case m.again[id]:
		_ = n.l.Retry(n.ctx, id, "no answer")
	}
}

// cancel ends a job; one that is told to have ended so never runs again.
func (m *jobs) cancel(n *node) {
	list := n.l.Jobs(func(j *Job) bool { return !j.State.Ended() })
	if len(list) == 0 {
		return
	}
	slices.SortFunc(list, func(a, b Job) int { return cmp.Compare(a.ID, b.ID) })
	j, err := n.l.Cancel(n.ctx, list[m.draw(len(list))].ID)
	if err == nil && j.State == Cancelled {
		m.ended[j.ID] = true
	}
}

func (m *jobs) ran(n *node, id string) {
	m.runs[id]++
	if m.ended[id] {
		m.fail("%s ran %s, told cancelled", n.name, id)
	}
	if !m.again[id] && m.runs[id] > 1 {
		m.fail("%s ran %s again", n.name, id)
	}
	if err := m.told[id]; NotRecorded(err) {
		m.fail("%s ran %s, told %w", n.name, id, err)
	}
}

func (m *jobs) adopt(n *node) {
	logs, err := n.l.Adoptable(n.ctx, nil)
	if err != nil || len(logs) == 0 {
		return
	}
	log := logs[m.draw(len(logs))]
	a, err := n.l.Adopt(n.ctx, log)
	if err == nil && m.broken == noAsk {
		for _, j := range a.Unresolved {
			m.ran(n, j.ID)
		}
	}
}

func (m *jobs) other(n *node) {
	switch m.draw(8) {
	case 0:
		_ = n.l.Handover(n.ctx)
	case 1, 2, 3:
		m.cancel(n)
	default:
		m.clock.Advance(time.Second)
		_ = n.l.CheckSealed(n.ctx)
	}
}

// conclude lets a new entry adopt all there is while the others are paused,
// then resumes them, and compares what was told with what is kept.
func (m *jobs) conclude() {
	olds := slices.Clone(m.actors)
	f := m.node("z")
	m.perform(f.actor, func() { f.open = f.l.Open(f.ctx) == nil })
	var last error
	for range 12 {
		m.perform(f.actor, func() {
			logs, _ := f.l.Adoptable(f.ctx, nil)
			for _, log := range logs {
				if _, err := f.l.Adopt(f.ctx, log); err != nil {
					last = err
				}
			}
		})
	}
	m.perform(f.actor, func() {
		if left, err := f.l.Adoptable(f.ctx, nil); err != nil || len(left) > 0 {
			m.fail("not adopted: %v %v, last %w", left, err, last)
		}
		for len(f.l.Jobs(func(j *Job) bool { return j.State == Accepted })) > 0 {
			m.dispatch(f)
		}
	})
	for _, a := range olds {
		m.settle(a)
	}
	for len(m.late) > 0 {
		m.deliver(0)
	}
	m.judge(f.l)
}

func (m *jobs) judge(l *Ledger) {
	for id, err := range m.told {
		j, missing := l.Job(id)
		if err == nil && missing != nil {
			m.fail("%s was accepted and is lost", id)
		}
		if NotRecorded(err) && missing == nil {
			m.fail("%s is kept, told %w", id, err)
		}
		if missing == nil && m.again[id] && m.runs[id] == 0 && j.State != Cancelled {
			m.fail("%s never ran: %+v", id, j)
		}
	}
}

func runJobs(clock *quartz.Mock, draw func(int) int, steps int, broken string) (*jobs, error) {
	m := &jobs{
		world: &world{draw: draw, mem: newMemory()}, clock: clock, broken: broken,
		runs: map[string]int{}, again: map[string]bool{}, told: map[string]error{}, ended: map[string]bool{},
	}
	m.mem.blind = broken == noCAS
	defer m.stop()
	for _, name := range []string{"a", "b", "c"} {
		m.node(name)
	}
	m.run(steps)
	m.conclude()
	return m, m.err
}

func TestLedgerModel(t *testing.T) {
	clock := testClock(t)
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "") }
		if _, err := runJobs(clock, draw, draw(400), ""); err != nil {
			t.Fatal(err)
		}
	})
}

// TestLedgerSeeds runs more and longer interleavings than rapid draws.
func TestLedgerSeeds(t *testing.T) {
	clock := testClock(t)
	runs, told := 0, 0
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m, err := runJobs(clock, rng.IntN, 1500, "")
		require.NoError(t, err, "seed %d", seed)
		runs += len(m.runs)
		told += len(m.told)
	}
	require.NotZero(t, runs)
	t.Log("jobs told", told, "run", runs)
}

func TestLedgerModelCatches(t *testing.T) {
	clock := testClock(t)
	for _, broken := range []string{noStart, noAsk, noCAS, noRead} {
		t.Run(broken, func(t *testing.T) {
			for seed := range uint64(1000) {
				rng := rand.New(rand.NewPCG(seed, 0))
				if _, err := runJobs(clock, rng.IntN, 400, broken); err != nil {
					t.Log(fmt.Sprint("seed ", seed, ": ", err))
					return
				}
			}
			require.Fail(t, "not found")
		})
	}
}
