package advice_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"

	"shallotpaddle/advice"
)

// table is a line with seats, whose calls arrive in channels.
type table struct {
	line              *advice.Line
	clock             *quartz.Mock
	granted, recalled chan string
}

func newTable(t *testing.T) *table {
	clock := quartz.NewMock(t)
	return &table{advice.New(clock), clock, make(chan string, 9), make(chan string, 9)}
}

func (tb *table) join(name string) *advice.Seat {
	return tb.line.Join(func() { tb.granted <- name }, func() { tb.recalled <- name })
}

// A free turn is granted at once, a taken one when it is released, to the most urgent.
func TestTurn(t *testing.T) {
	tb := newTable(t)
	a, b, c := tb.join("a"), tb.join("b"), tb.join("c")
	require.False(t, a.Want(advice.None))
	require.True(t, a.Want(advice.Ready))
	require.False(t, b.Want(advice.Early))
	require.False(t, c.Want(advice.Ready))
	b.Release(advice.Answered) // has no turn
	a.Release(advice.Answered)
	require.Equal(t, "c", <-tb.granted)
	require.False(t, a.Want(advice.Early))
	require.False(t, a.Want(advice.None))
	c.Release(advice.Answered)
	require.Equal(t, "b", <-tb.granted)
	require.True(t, b.Want(advice.Early))
	b.Leave()
	require.True(t, a.Want(advice.Early))
	require.Empty(t, tb.recalled)
}

// A seat that leaves while it waits, or with the turn, does not keep it from others.
func TestLeave(t *testing.T) {
	tb := newTable(t)
	a, b, c := tb.join("a"), tb.join("b"), tb.join("c")
	require.True(t, a.Want(advice.Ready))
	require.False(t, b.Want(advice.Ready))
	require.False(t, c.Want(advice.Ready))
	b.Leave()
	a.Leave()
	require.Equal(t, "c", <-tb.granted)
}

// An early question is recalled, once, when another seat has one that can't wait.
func TestRecall(t *testing.T) {
	tb := newTable(t)
	a, b := tb.join("a"), tb.join("b")
	require.True(t, a.Want(advice.Early))
	require.False(t, b.Want(advice.Early))
	require.False(t, b.Want(advice.Ready))
	require.Equal(t, "a", <-tb.recalled)
	require.False(t, b.Want(advice.Ready))
	a.Release(advice.Unused)
	require.Equal(t, "b", <-tb.granted)
	require.Empty(t, tb.recalled)
}

// After a failure, the next turn waits; longer with each failure in a row.
func TestPause(t *testing.T) {
	tb := newTable(t)
	a := tb.join("a")
	require.True(t, a.Want(advice.Ready))
	for i, pause := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		a.Release(advice.Failed)
		require.Equal(t, i+1, a.Failures())
		require.False(t, a.Want(advice.Ready))
		tb.clock.Advance(pause*time.Millisecond - 1).MustWait(t.Context())
		require.False(t, a.Want(advice.Ready))
		tb.clock.Advance(1).MustWait(t.Context())
		require.Equal(t, "a", <-tb.granted)
	}
	a.Release(advice.Unused)
	require.Equal(t, 6, a.Failures(), "nothing was learned")
	require.True(t, a.Want(advice.Ready))
	a.Release(advice.Answered)
	require.Zero(t, a.Failures())
	require.True(t, a.Want(advice.Ready))
}

// Pools that always have questions get the same time, whatever a question of each takes. One that
// comes later makes up for nothing.
func TestTurnsAreFairByTime(t *testing.T) {
	tb := newTable(t)
	names := []string{"long", "short", "late"}
	takes := map[string]time.Duration{"long": time.Second, "short": 100 * time.Millisecond, "late": 300 * time.Millisecond}
	seats, spent := map[string]*advice.Seat{}, map[string]time.Duration{}
	for _, n := range names {
		seats[n] = tb.join(n)
	}
	play := func(until time.Duration, names ...string) {
		holder := ""
		for _, n := range names {
			if seats[n].Want(advice.Ready) {
				holder = n
			}
		}
		for total := time.Duration(0); total < until; {
			tb.clock.Advance(takes[holder])
			total += takes[holder]
			spent[holder] += takes[holder]
			if !seats[holder].Next(advice.Answered, advice.Ready) {
				holder = <-tb.granted
			}
		}
		seats[holder].Release(advice.Unused)
	}
	play(20*time.Second, "long", "short")
	for _, n := range names {
		seats[n].Leave()
	}
	require.InDelta(t, 10, spent["long"].Seconds(), 1.1)
	require.InDelta(t, 10, spent["short"].Seconds(), 1.1)
	clear(spent)
	play(30*time.Second, names...)
	for _, n := range names {
		require.InDelta(t, 10, spent[n].Seconds(), 2.1, n)
	}
}

// No two seats have the turn at once, and none that waits is passed over for good, whatever they
// want, release and leave at any moment.
func TestTurnIsExclusive(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			line := advice.New(quartz.NewReal())
			ctx, stop := context.WithCancel(t.Context())
			var mu sync.Mutex
			holders := 0
			turns := make([]int, 5)
			for n := range turns {
				go func() {
					r := rand.New(rand.NewPCG(seed, uint64(n)))
					granted := make(chan struct{}, 9)
					for ctx.Err() == nil {
						s := line.Join(func() { granted <- struct{}{} }, func() {})
						for range 1 + r.IntN(20) {
							if !s.Want(advice.Urgency(1 + r.IntN(2))) {
								select {
								case <-granted:
								case <-time.After(time.Duration(r.IntN(2000)) * time.Millisecond):
								}
								if !s.Want(advice.Ready) {
									continue
								}
							}
							mu.Lock()
							holders++
							if holders != 1 {
								t.Error("two have the turn")
							}
							turns[n]++
							mu.Unlock()
							time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
							mu.Lock()
							holders--
							mu.Unlock()
							s.Release(advice.Outcome(r.IntN(3)))
							if r.IntN(3) == 0 {
								time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
							}
						}
						s.Leave()
					}
				}()
			}
			time.Sleep(5 * time.Minute)
			stop()
			time.Sleep(time.Minute)
			mu.Lock()
			defer mu.Unlock()
			for n := range turns {
				require.Greater(t, turns[n], 50, "turns of seat %d", n)
			}
		})
	}
}
