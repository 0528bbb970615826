package sched_test

import (
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"

	"shallotpaddle/sched"
)

func TestWindow(t *testing.T) {
	day, err := sched.ParseWindow("08:00-18:00", "America/New_York")
	require.NoError(t, err)
	night, err := sched.ParseWindow("22:00-06:00", "Pacific/Fiji")
	require.NoError(t, err)
	for _, c := range []struct {
		w    *sched.Window
		at   string
		open bool
		next string
	}{
		{day, "2026-06-01T08:00:00-04:00", true, "2026-06-01T08:00:00-04:00"},
		{day, "2026-06-01T07:59:59-04:00", false, "2026-06-01T08:00:00-04:00"},
		{day, "2026-06-01T18:00:00-04:00", false, "2026-06-02T08:00:00-04:00"},
		{day, "2026-03-07T20:00:00-05:00", false, "2026-03-08T08:00:00-04:00"}, // daylight saving time starts
		{night, "2026-06-01T23:00:00+12:00", true, "2026-06-01T23:00:00+12:00"},
		{night, "2026-06-01T05:59:00+12:00", true, "2026-06-01T05:59:00+12:00"},
		{night, "2026-06-01T06:00:00+12:00", false, "2026-06-01T22:00:00+12:00"},
	} {
		at, err := time.Parse(time.RFC3339, c.at)
		require.NoError(t, err)
		next, err := time.Parse(time.RFC3339, c.next)
		require.NoError(t, err)
		require.Equal(t, c.open, c.w.Open(at), c.at)
		require.True(t, next.Equal(c.w.NextOpen(at)), "%s: %s", c.at, c.w.NextOpen(at))
	}
	noon := time.Date(2026, 6, 1, 16, 0, 0, 0, time.UTC)
	require.Equal(t, 6*time.Hour, day.OpenTime(noon, noon.Add(20*time.Hour)))
	require.Equal(t, 10*time.Hour, day.OpenTime(noon, noon.Add(24*time.Hour)))
	require.Zero(t, day.OpenTime(noon, noon.Add(-time.Hour)))
	for _, bad := range []string{"8-18", "08:00/18:00", "25:00-26:00", "08:00-18:000"} {
		_, err := sched.ParseWindow(bad, "")
		require.ErrorIs(t, err, sched.ErrWindow, bad)
	}
	for _, zone := range []string{"Nowhere/None", "Local"} {
		_, err = sched.ParseWindow("08:00-18:00", zone)
		require.ErrorIs(t, err, sched.ErrWindow, zone)
	}
}

func TestPushPop(t *testing.T) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	now := clock.Now()
	q := sched.New(sched.Strict, clock)
	low := sched.NewItem(1, sched.Spec{Queue: "a", Customer: "x", CustomerRank: 3, Depth: 2})
	high := sched.NewItem(2, sched.Spec{Queue: "a", Customer: "y", CustomerRank: 1, Depth: 2})
	require.NoError(t, q.Push(low))
	require.ErrorIs(t, q.Push(low), sched.ErrWaiting)
	require.NoError(t, q.Push(high))
	require.ErrorIs(t, q.Push(sched.NewItem(3, sched.Spec{Queue: "a", Depth: 2})), sched.ErrFull)
	require.Equal(t, 2, q.Demand())
	require.Nil(t, q.Pop(now, 0, 8))
	require.Same(t, high, q.Pop(now, 1, 8))
	q.Requeue(high)
	require.Same(t, high, q.Pop(now, 1, 8))
	q.Done(high, time.Second)
	require.True(t, q.Remove(low))
	require.False(t, q.Remove(low))
	require.Nil(t, q.Pop(now, 1, 8))
	require.Zero(t, q.Len())
}

func TestDelay(t *testing.T) {
	for _, c := range []struct {
		policy sched.Policy
		rank   int
		due    time.Duration // until the new item's due time; the waiting items are due in 20 s
		want   time.Duration
	}{
		{sched.Strict, 1, time.Minute, 10 * time.Second},
		{sched.Strict, 1, time.Second, 10 * time.Second},
		{sched.Earliest, 9, time.Second, 0},
		{sched.Earliest, 1, time.Minute, 10 * time.Second},
		{sched.Yield, 1, time.Second, 0},
		{sched.Yield, 9, time.Minute, 10 * time.Second},
	} {
		clock := &manualClock{now: time.Unix(1e9, 0)}
		q := sched.New(c.policy, clock)
		for i := range 80 {
			require.NoError(t, q.Push(sched.NewItem(uint64(i), sched.Spec{Queue: "q", RunTime: time.Second, Due: clock.now.Add(20 * time.Second)})))
		}
		got := q.Delay(clock.now, 8, c.rank, clock.now.Add(c.due))
		require.Equal(t, c.want, got.Round(time.Millisecond), "%s rank %d due %s", c.policy, c.rank, c.due)
	}
}

// TestYieldUnderOverload checks that under an overload, 12 slot-seconds of work a
// second for 8 slots, all items of rank 1 are on time and those of low rank wait.
// Starting items by due time alone would make nearly all of them late.
func TestYieldUnderOverload(t *testing.T) {
	clock := &manualClock{now: time.Unix(1e9, 0)}
	q := sched.New(sched.Yield, clock)
	running := map[*sched.Item]time.Time{}
	id, lowOnTime := uint64(0), 0
	for range 600 {
		for i := range 16 {
			if id++; i%2 == 0 {
				continue
			}
			rank := 1 + i%4/2*7
			_ = q.Push(sched.NewItem(id, sched.Spec{
				Queue: "q", Customer: "c", RunTime: time.Second, CustomerRank: rank, Slots: 1 + i%4/2,
				Due: clock.now.Add(10 * time.Second),
			}))
		}
		for it := q.Pop(clock.now, 8-q.Held(), 8); it != nil; it = q.Pop(clock.now, 8-q.Held(), 8) {
			running[it] = clock.now
		}
		clock.now = clock.now.Add(time.Second)
		for it, at := range running {
			q.Done(it, clock.now.Sub(at))
			delete(running, it)
			late := clock.now.After(it.Due())
			require.False(t, late && it.Rank() == 1, "rank 1 late at %s", clock.now)
			if it.Rank() > 1 && !late {
				lowOnTime++
			}
		}
	}
	require.Positive(t, lowOnTime, "items of low rank use the slots left over")
}
