package admit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/admit"
)

func TestAdmit(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		name  string
		req   admit.Request
		err   error
		after time.Duration
	}{
		{"no due time", admit.Request{Delay: time.Hour}, nil, 0},
		{"in time", admit.Request{Delay: 5 * time.Second, RunTime: 5 * time.Second, Due: in(10)}, nil, 0},
		{"within slack", admit.Request{Delay: 7 * time.Second, RunTime: 5 * time.Second, Due: in(10)}, nil, 0},
		{"late", admit.Request{Delay: 20 * time.Second, RunTime: 5 * time.Second, Due: in(10)}, admit.ErrLate, 12500 * time.Millisecond},
		{"due time is past", admit.Request{Due: in(-1)}, admit.ErrLate, 0},
		{"run time exceeds the time left", admit.Request{RunTime: time.Minute, Due: in(10)}, admit.ErrLate, 0},
		{"queue opens too late", admit.Request{OpensAt: in(100), Due: in(10)}, admit.ErrLate, 87500 * time.Millisecond},
		{"too large", admit.Request{Slots: 9, MaxSlots: 8}, admit.ErrNeverRuns, 0},
		{"full", admit.Request{Delay: time.Hour, Waiting: 10, Depth: 10}, admit.ErrFull, 5 * time.Minute},
	} {
		err := admit.New(admit.DefaultLimits()).Admit(now, &c.req)
		require.ErrorIs(t, err, c.err, c.name)
		require.Equal(t, c.after, admit.RetryAfter(err), c.name)
	}
}

func TestBudgetHoldsWhenAllFails(t *testing.T) {
	now := time.Unix(1000, 0)
	b := admit.NewBudget(admit.RetryShare, admit.RetryBurst, admit.RetryEvery)
	retries := 0
	for range 10000 {
		b.OnDispatch()
		if b.Allow(now) {
			retries++
		}
	}
	require.Equal(t, admit.RetryBurst, retries)
	for range 1000 {
		b.OnSuccess()
	}
	for range 100 {
		if b.Allow(now) {
			retries++
		}
	}
	require.Equal(t, 2*admit.RetryBurst, retries, "the budget is capped at its burst")
	require.True(t, b.Allow(now.Add(admit.RetryEvery)))
	require.False(t, b.Allow(now), "a clock set back earns no retries")
}

func TestParked(t *testing.T) {
	now := time.Unix(1000, 0)
	p := admit.NewParked(2)
	require.False(t, p.RecordFailure(now, "1", "q", "a", false))
	require.False(t, p.RecordFailure(now, "1", "q", "a", false), "the same host does not count again")
	require.False(t, p.RecordFailure(now, "1", "q", "b", true), "a failure on a suspect host does not count")
	require.False(t, p.RecordFailure(now, "1", "q", "b", false))
	require.True(t, p.RecordFailure(now, "1", "q", "c", false))
	e, ok := p.Find("1")
	require.True(t, ok)
	require.Equal(t, admit.ParkedWork{ID: "1", Queue: "q", Cause: admit.RepeatedFailures, Since: now, Hosts: [3]string{"a", "b", "c"}}, e)
	p.Park(now, "2", "q", admit.TooLarge)
	p.Park(now, "3", "q", admit.AttemptsUsed)
	require.Equal(t, 2, p.Len())
	require.EqualValues(t, 1, p.Dropped())
	all := p.All()
	require.Equal(t, "2", all[0].ID)
	require.Equal(t, "attempts", all[1].Cause.String())
	for i := range 1000 {
		p.RecordFailure(now, string(rune('a'+i%26)), "q", "h", false)
		p.ClearFailures(string(rune('a' + i%26)))
	}
}

func TestCancelQueue(t *testing.T) {
	q := admit.NewCancelQueue[int](2)
	q.Add(1, 2, 3)
	require.Equal(t, []int{1, 2}, q.Next())
	q.Add(4)
	require.Equal(t, []int{3, 4}, q.Next())
	require.Empty(t, q.Next())
	require.Zero(t, q.Len())
}
