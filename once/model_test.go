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

// Protections that TestLedgerModelCatches disables, to show that the model
// detects the faults they prevent.
const (
	noStart = "dispatch without a durable start"
	noAsk   = "adopter runs what was started"
	noCAS   = "store without compare-and-swap"
	noRead  = "lost answer taken as not written"
)

// ledgerModel is the model of ledgers in a simulation. It compares what was
// dispatched with what callers were told.
type ledgerModel struct {
	*simulation
	clock             *quartz.Mock
	disabled          string // the protection that is disabled, or empty
	runs              map[string]int
	idempotent        map[string]bool
	acceptErr         map[string]error
	reportedCancelled map[string]bool // Cancel returned the job as cancelled
}

// ledgerNode is an actor with a ledger.
type ledgerNode struct {
	*actor
	l    *Ledger
	open bool
}

func (m *ledgerModel) addNode(name string) *ledgerNode {
	n := &ledgerNode{}
	n.actor = m.addActor(name, func() func() { return m.choose(n) })
	store := m.store()
	if m.disabled == noRead {
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
	m.addCommitter(n.actor, n.l.log)
	m.logs = append(m.logs, func() (*Log, *Log) {
		fresh, _ := ledgerLog(Store{}, m.clock, n.l.name, "")
		return n.l.log, fresh
	})
	return n
}

func (m *ledgerModel) choose(n *ledgerNode) func() {
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
		return func() { m.otherCall(n) }
	}
}

func (m *ledgerModel) accept(n *ledgerNode) {
	idempotent := m.draw(3) == 0
	j, err := n.l.Accept(n.ctx, Job{Queue: "q", Idempotent: idempotent, MaxAttempts: 100})
	m.acceptErr[j.ID], m.idempotent[j.ID] = err, idempotent
}

// dispatch starts the first job that is ready, and runs it if the ledger
// allows.
func (m *ledgerModel) dispatch(n *ledgerNode) {
	list := n.l.Jobs(func(j *Job) bool { return j.State == Accepted })
	if len(list) == 0 {
		return
	}
	id := list[0].ID
	for i := range list {
		id = min(id, list[i].ID)
	}
	if _, err := n.l.Start(n.ctx, id, "h", "b"); err != nil && m.disabled != noStart {
		return
	}
	n.pause() // between the recorded start and the dispatch
	if m.draw(4) == 0 {
		_ = n.l.NotRun(n.ctx, id, "refused by the worker")
		return
	}
	m.recordRun(n, id)
	switch {
	case m.draw(2) == 0:
		_ = n.l.Finish(n.ctx, id, Outcome{State: Done})
	case m.idempotent[id]:
		_ = n.l.Retry(n.ctx, id, "no answer")
	}
}

// cancel cancels a job. A job reported as cancelled must never run again.
func (m *ledgerModel) cancel(n *ledgerNode) {
	list := n.l.Jobs(func(j *Job) bool { return !j.State.Ended() })
	if len(list) == 0 {
		return
	}
	slices.SortFunc(list, func(a, b Job) int { return cmp.Compare(a.ID, b.ID) })
	j, err := n.l.Cancel(n.ctx, list[m.draw(len(list))].ID)
	if err == nil && j.State == Cancelled {
		m.reportedCancelled[j.ID] = true
	}
}

// recordRun counts a run of a job and fails if the job must not have run.
func (m *ledgerModel) recordRun(n *ledgerNode, id string) {
	m.runs[id]++
	if m.reportedCancelled[id] {
		m.fail("%s ran %s, which was reported as cancelled", n.name, id)
	}
	if !m.idempotent[id] && m.runs[id] > 1 {
		m.fail("%s ran %s twice", n.name, id)
	}
	if err := m.acceptErr[id]; NotRecorded(err) {
		m.fail("%s ran %s, for which Accept returned %w", n.name, id, err)
	}
}

func (m *ledgerModel) adopt(n *ledgerNode) {
	logs, err := n.l.Adoptable(n.ctx, nil)
	if err != nil || len(logs) == 0 {
		return
	}
	log := logs[m.draw(len(logs))]
	a, err := n.l.Adopt(n.ctx, log)
	if err == nil && m.disabled == noAsk {
		for _, j := range a.Unresolved {
			m.recordRun(n, j.ID)
		}
	}
}

func (m *ledgerModel) otherCall(n *ledgerNode) {
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

// finishAndCheck lets a new entry adopt all logs while the other actors are
// paused, resumes them, and then compares what callers were told with what the
// ledger has.
func (m *ledgerModel) finishAndCheck() {
	olds := slices.Clone(m.actors)
	f := m.addNode("z")
	m.runOp(f.actor, func() { f.open = f.l.Open(f.ctx) == nil })
	var last error
	for range 12 {
		m.runOp(f.actor, func() {
			logs, _ := f.l.Adoptable(f.ctx, nil)
			for _, log := range logs {
				if _, err := f.l.Adopt(f.ctx, log); err != nil {
					last = err
				}
			}
		})
	}
	m.runOp(f.actor, func() {
		if left, err := f.l.Adoptable(f.ctx, nil); err != nil || len(left) > 0 {
			m.fail("logs left to adopt: %v, error: %v, last adoption error: %w", left, err, last)
		}
		for len(f.l.Jobs(func(j *Job) bool { return j.State == Accepted })) > 0 {
			m.dispatch(f)
		}
	})
	for _, a := range olds {
		m.finishOps(a)
	}
	for len(m.delayedWrites) > 0 {
		m.deliver(0)
	}
	m.checkOutcomes(f.l)
}

// checkOutcomes compares what the callers of Accept were told with the jobs in
// the ledger.
func (m *ledgerModel) checkOutcomes(l *Ledger) {
	for id, err := range m.acceptErr {
		j, missing := l.Job(id)
		if err == nil && missing != nil {
			m.fail("%s was accepted but is not in the ledger", id)
		}
		if NotRecorded(err) && missing == nil {
			m.fail("%s is in the ledger, but Accept returned %w", id, err)
		}
		if missing == nil && m.idempotent[id] && m.runs[id] == 0 && j.State != Cancelled {
			m.fail("%s never ran: %+v", id, j)
		}
	}
}

func runJobs(clock *quartz.Mock, draw func(int) int, steps int, disabled string) (*ledgerModel, error) {
	m := &ledgerModel{
		simulation: &simulation{draw: draw, mem: newMemory()}, clock: clock, disabled: disabled,
		runs: map[string]int{}, idempotent: map[string]bool{}, acceptErr: map[string]error{}, reportedCancelled: map[string]bool{},
	}
	m.mem.ignoresRevs = disabled == noCAS
	defer m.stop()
	for _, name := range []string{"a", "b", "c"} {
		m.addNode(name)
	}
	m.run(steps)
	m.finishAndCheck()
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

// TestLedgerSeeds runs more and longer interleavings than rapid does.
func TestLedgerSeeds(t *testing.T) {
	clock := testClock(t)
	runs, submitted := 0, 0
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m, err := runJobs(clock, rng.IntN, 1500, "")
		require.NoError(t, err, "seed %d", seed)
		runs += len(m.runs)
		submitted += len(m.acceptErr)
	}
	require.NotZero(t, runs)
	t.Log("jobs submitted:", submitted, "run:", runs)
}

func TestLedgerModelCatches(t *testing.T) {
	clock := testClock(t)
	for _, disabled := range []string{noStart, noAsk, noCAS, noRead} {
		t.Run(disabled, func(t *testing.T) {
			for seed := range uint64(1000) {
				rng := rand.New(rand.NewPCG(seed, 0))
				if _, err := runJobs(clock, rng.IntN, 400, disabled); err != nil {
					t.Log(fmt.Sprint("seed ", seed, ": ", err))
					return
				}
			}
			require.Fail(t, "fault not detected")
		})
	}
}
