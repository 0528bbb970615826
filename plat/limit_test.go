package plat

import (
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"
)

func TestLowerClassesLeaveTokens(t *testing.T) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	l := newLimiter(clock)
	l.set(32, 32) // burst 8
	clock.Advance(time.Minute)
	took := map[Class]int{}
	for class := Rest; ; class-- {
		for _, ok := l.try(&l.writes, class, 0); ok; _, ok = l.try(&l.writes, class, 0) {
			took[class]++
		}
		if class == Config {
			break
		}
	}
	require.Equal(t, map[Class]int{Rest: 2, Ledger: 2, Permits: 2, Config: 2}, took)
}

func TestHigherClassGoesFirst(t *testing.T) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	l := newLimiter(clock)
	l.set(1, 1) // burst 1
	clock.Advance(time.Minute)
	l.addWaiting(&l.writes, Config, 1)
	_, ok := l.try(&l.writes, Rest, 0)
	require.False(t, ok)
	_, ok = l.try(&l.writes, Config, -1)
	require.True(t, ok)
	retryIn, ok := l.try(&l.writes, Rest, 0)
	require.False(t, ok)
	clock.Advance(retryIn)
	_, ok = l.try(&l.writes, Rest, 0)
	require.True(t, ok)
}

func TestBreaker(t *testing.T) {
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	b := newBreaker(clock)
	for range failureThreshold {
		require.True(t, b.allow(false))
		b.record(failed)
	}
	for fails := 1; fails < 10; fails++ {
		require.True(t, b.open())
		require.False(t, b.allow(false), "open")
		clock.Advance(Backoff(fails, 0))
		require.False(t, b.open(), "a probe is due")
		require.False(t, b.allow(true), "a watch is no probe")
		require.True(t, b.allow(false), "probe")
		require.False(t, b.allow(false), "one probe at a time")
		b.record(failed)
	}
	clock.Advance(backoffMax)
	require.True(t, b.allow(false))
	b.record(noOutcome)
	require.True(t, b.allow(false), "a probe without outcome is made again")
	b.record(answered)
	require.True(t, b.allow(true))
}

func TestBackoff(t *testing.T) {
	require.Equal(t, backoffBase, Backoff(0, 0))
	require.Equal(t, backoffBase, Backoff(1, 0))
	require.Equal(t, 2*backoffBase, Backoff(2, 0))
	require.Equal(t, backoffMax, Backoff(1000, 0))
	require.Equal(t, backoffMax/2, Backoff(1000, 1))
}
