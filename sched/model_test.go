package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotpaddle/sched"
)

// manualClock is a clock that tests set. Unlike quartz.Mock, it can be created for
// each case of a property test.
type manualClock struct {
	quartz.Clock
	now time.Time
}

func (c *manualClock) Now(...string) time.Time { return c.now }

// model calls a queue's methods and tracks the expected state of every item.
type model struct {
	q       *sched.Queue
	now     time.Time
	total   int
	next    uint64
	waiting map[uint64]*sched.Item
	running map[uint64]*sched.Item
	held    map[string]int
	window  *sched.Window
}

func (m *model) push(t *rapid.T) {
	m.next++
	c := rapid.IntRange(1, 5).Draw(t, "customer")
	spec := sched.Spec{
		Queue: "q", Customer: fmt.Sprint(c), Kind: "k", CustomerRank: c, JobRank: rapid.IntRange(0, 30).Draw(t, "job"),
		RunTime: time.Second, Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Arrived: m.now, Depth: 50,
		Due: m.now.Add(rapid.SampledFrom([]time.Duration{-time.Second, time.Second, time.Minute, 10 * time.Hour}).Draw(t, "due")),
	}
	if c <= 2 {
		spec.Quota = 0.25
	}
	if c == 3 {
		spec.Window = m.window
	}
	it := sched.NewItem(m.next, spec)
	if err := m.q.Push(it); len(m.waiting) >= 50 {
		require.ErrorIs(t, err, sched.ErrFull)
		return
	}
	m.waiting[m.next] = it
}

func (m *model) pop(t *rapid.T) {
	free := rapid.IntRange(0, m.total).Draw(t, "free")
	it := m.q.Pop(m.now, free, m.total)
	if it == nil {
		return
	}
	require.Same(t, m.waiting[it.ID()], it, "popped twice or never pushed")
	require.LessOrEqual(t, it.Spec().Slots, free)
	require.True(t, it.Spec().Window.Open(m.now))
	if m.over(it) {
		for _, o := range m.waiting {
			background := o.Due().Sub(m.now) > sched.BackgroundSlack/2
			fits := o.Spec().Slots <= free && o.Spec().Window.Open(m.now) && !background
			require.False(t, fits && !m.over(o), "quota of %s exceeded while %s waits", it.Spec().Customer, o.Spec().Customer)
		}
	}
	delete(m.waiting, it.ID())
	m.running[it.ID()] = it
	m.held[it.Spec().Customer] += it.Spec().Slots
}

// over reports whether the item would exceed its customer's quota by starting.
func (m *model) over(it *sched.Item) bool {
	s := it.Spec()
	held := m.held[s.Customer]
	return s.Quota > 0 && held > 0 && float64(held+s.Slots) > s.Quota*float64(m.total)
}

// end ends or requeues the oldest running item. It calls Done twice: the second
// call must have no effect.
func (m *model) end(t *rapid.T, requeue bool) {
	if len(m.running) == 0 {
		return
	}
	it := m.oldest(m.running)
	delete(m.running, it.ID())
	m.held[it.Spec().Customer] -= it.Spec().Slots
	if requeue {
		m.q.Requeue(it)
		m.waiting[it.ID()] = it
		return
	}
	m.q.Done(it, time.Duration(rapid.IntRange(0, 5000).Draw(t, "ran"))*time.Millisecond)
	m.q.Done(it, time.Second)
}

// oldest returns the item with the lowest ID, or nil.
func (m *model) oldest(items map[uint64]*sched.Item) *sched.Item {
	var best *sched.Item
	for _, it := range items {
		if best == nil || it.ID() < best.ID() {
			best = it
		}
	}
	return best
}

// check compares the queue's counts with those of the model.
func (m *model) check(t *rapid.T) {
	slots, held := 0, 0
	for _, it := range m.waiting {
		require.True(t, it.Waiting())
		slots += it.Spec().Slots
	}
	for _, n := range m.held {
		held += n
	}
	require.Equal(t, len(m.waiting), m.q.Len())
	require.Equal(t, len(m.waiting), m.q.Waiting("q"))
	require.Equal(t, slots, m.q.Demand())
	require.Equal(t, held, m.q.Held())
	require.GreaterOrEqual(t, m.q.Delay(m.now, m.total, 3, time.Time{}), time.Duration(0))
}

// TestQueueKeepsItsAccount checks against a model, for random sequences of calls, that no item
// is lost or popped twice and that no customer exceeds its quota while other
// customers' items could start.
func TestQueueKeepsItsAccount(t *testing.T) {
	window, err := sched.ParseWindow("08:00-18:00", "Pacific/Fiji")
	require.NoError(t, err)
	for _, policy := range []sched.Policy{sched.Strict, sched.Earliest, sched.Yield} {
		rapid.Check(t, func(t *rapid.T) {
			clock := &manualClock{now: time.Date(2026, 6, 1, 7, 59, 0, 0, time.UTC)}
			m := &model{
				q: sched.New(policy, clock), now: clock.Now(), total: 8, window: window,
				waiting: map[uint64]*sched.Item{}, running: map[uint64]*sched.Item{}, held: map[string]int{},
			}
			t.Repeat(map[string]func(*rapid.T){
				"push": m.push, "push2": m.push, "pop": m.pop, "pop2": m.pop,
				"done":    func(t *rapid.T) { m.end(t, false) },
				"requeue": func(t *rapid.T) { m.end(t, true) },
				"resize":  func(t *rapid.T) { m.total = rapid.IntRange(4, 16).Draw(t, "total") },
				"remove": func(t *rapid.T) {
					if it := m.oldest(m.waiting); it != nil {
						require.True(t, m.q.Remove(it))
						delete(m.waiting, it.ID())
					}
				},
				"tick": func(t *rapid.T) {
					d := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, time.Minute, 5 * time.Hour}).Draw(t, "d")
					m.now = m.now.Add(d)
					clock.now = m.now
				},
				"": m.check,
			})
		})
	}
}

// TestYieldStarvesNothing checks that an item of low rank still starts under a
// permanent overload of items of high rank.
func TestYieldStarvesNothing(t *testing.T) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	q := sched.New(sched.Yield, clock)
	low := sched.NewItem(0, sched.Spec{Queue: "q", Customer: "low", CustomerRank: 200, Quota: 0.01})
	require.NoError(t, q.Push(low))
	var busy []*sched.Item
	id := uint64(0)
	for range 20 * 60 {
		now := clock.Now()
		for range 16 {
			id++
			_ = q.Push(sched.NewItem(id, sched.Spec{Queue: "q", Customer: "top", CustomerRank: 1, Due: now.Add(time.Second)}))
		}
		for _, it := range busy {
			q.Done(it, time.Second)
		}
		busy = busy[:0]
		for range 8 {
			it := q.Pop(now, 1, 8)
			require.NotNil(t, it)
			if it == low {
				return
			}
			busy = append(busy, it)
		}
		clock.Advance(time.Second)
	}
	require.Fail(t, "never started")
}

// TestSteadyStateAllocs checks that popping, ending and pushing items allocates
// nothing once the queue has reached its size.
func TestSteadyStateAllocs(t *testing.T) {
	clock := &manualClock{now: time.Unix(1e9, 0)}
	q := sched.New(sched.Yield, clock)
	for i := range 1000 {
		require.NoError(t, q.Push(sched.NewItem(uint64(i), benchSpec(i, clock.now))))
	}
	i := 0
	cycle := func() {
		i++
		clock.now = clock.now.Add(time.Millisecond)
		it := q.Pop(clock.now, 1, 64)
		q.Done(it, time.Second)
		it.Reset(it.ID(), benchSpec(i, clock.now))
		_ = q.Push(it)
	}
	for range 20000 {
		cycle()
	}
	require.Zero(t, testing.AllocsPerRun(2000, cycle))
}
