package moves_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/bench/drive"
	"shallotpaddle/carry"
	"shallotpaddle/table"
)

const step = time.Second

// late is the demand of a fleet whose pool01 has been late for d.
func late(d time.Duration) func(string) (float64, time.Duration) {
	return func(pool string) (float64, time.Duration) {
		if pool == "pool01" {
			return 200, d
		}
		return 8, 0
	}
}

// idle is the demand of a fleet with little work in every pool.
func idle(string) (float64, time.Duration) { return 8, 0 }

// steady is the demand of a fleet that needs all hosts but those of the spare
// pool.
func steady(pool string) (float64, time.Duration) {
	if pool == "pool00" {
		return 8, 0
	}
	return 70, 0
}

// fleet returns a world without maintenance, in which the pools have their
// declared sizes and pool01 may borrow up to two hosts.
func fleet(t *testing.T, f drive.Fleet) (*drive.World, *drive.Entry) {
	t.Helper()
	w := f.World()
	for i := range w.Config.Pools {
		w.Config.Pools[i].Period = 0
	}
	w.Config.Pools[1].Max = w.Config.Pools[1].Size + 2
	e := drive.NewEntry(w, "a")
	e.Demand = steady
	run(w, time.Minute, e)
	require.Equal(t, w.Config.Pools[1].Size, sizes(w)["pool01"])
	return w, e
}

func run(w *drive.World, d time.Duration, es ...*drive.Entry) {
	for end := w.Now.Add(d); w.Now.Before(end); w.Advance(step) {
		for _, e := range es {
			e.Tick()
		}
	}
}

func sizes(w *drive.World) map[string]int {
	n := map[string]int{}
	for _, m := range w.Machines {
		n[w.Placement(m.Name).Pool]++
	}
	return n
}

// requireSettled checks that no move is under way and that no host is out of
// service.
func requireSettled(t *testing.T, w *drive.World) {
	t.Helper()
	counts := map[string]drive.Pool{}
	w.CountPools(counts)
	for name, p := range counts {
		require.Zero(t, p.Out, name)
	}
	for _, m := range w.Machines {
		require.Empty(t, w.Placement(m.Name).MoveTarget, m.Name)
		for _, p := range w.Config.Pools {
			_, out := w.Outage(p.Name, m.Name)
			require.False(t, out, "%s in %s", m.Name, p.Name)
		}
	}
}

func TestLendAndReturn(t *testing.T) {
	w, e := fleet(t, drive.Fleets()[0])
	own := sizes(w)
	e.Demand = late(10 * time.Second)
	run(w, 5*time.Minute, e)
	require.Equal(t, own, sizes(w), "no host is lent for a burst shorter than a move")
	e.Demand = late(time.Minute)
	run(w, 5*time.Minute, e)
	require.Equal(t, own["pool01"]+2, sizes(w)["pool01"], "up to the pool's maximum")
	require.Equal(t, own["pool00"]-2, sizes(w)["pool00"], "from the spare pool")
	e.Demand = idle
	run(w, 5*time.Minute, e)
	require.Equal(t, own["pool01"]+2, sizes(w)["pool01"], "not returned before demand has been low for ReturnAfter")
	run(w, 20*time.Minute, e)
	require.Equal(t, own, sizes(w), "returned")
	require.EqualValues(t, 4, e.Moves.Completed())
	requireSettled(t, w)
}

func TestSpareKeepsItsOwn(t *testing.T) {
	w, e := fleet(t, drive.Fleets()[0])
	own := sizes(w)
	e.Demand = func(pool string) (float64, time.Duration) {
		if pool == "pool00" {
			return 75, 0 // 80 slots
		}
		return late(time.Minute)(pool)
	}
	run(w, 5*time.Minute, e)
	require.Equal(t, own, sizes(w))
}

func TestSpareRemembersItsPeak(t *testing.T) {
	w, e := fleet(t, drive.Fleets()[0])
	own := sizes(w)
	e.Demand = func(string) (float64, time.Duration) { return 140, 0 }
	run(w, 10*time.Second, e)
	e.Demand = late(time.Minute)
	run(w, 5*time.Minute, e)
	require.Equal(t, own, sizes(w), "the spare pool keeps hosts for its recent peak")
	run(w, 40*time.Minute, e)
	require.Equal(t, own["pool01"]+2, sizes(w)["pool01"], "the peak has decayed")
}

func TestSpareReclaims(t *testing.T) {
	w, e := fleet(t, drive.Fleets()[0])
	own := sizes(w)
	e.Demand = late(time.Minute)
	run(w, 5*time.Minute, e)
	require.Equal(t, own["pool01"]+2, sizes(w)["pool01"])
	e.Demand = func(pool string) (float64, time.Duration) {
		if pool == "pool00" {
			return 200, time.Minute
		}
		return 90, 0 // neither late nor below ReturnShare
	}
	run(w, 5*time.Minute, e)
	require.Equal(t, own, sizes(w))
}

func TestSizesTakeFewestMoves(t *testing.T) {
	w, e := fleet(t, drive.Fleets()[0])
	c := w.Config.Clone()
	c.Rev++
	c.Pools[1].Size, c.Pools[1].Max = 9, 0 // was 12
	c.Pools[3].Size += 2
	c.Pools[4].Size++
	w.Config = c
	run(w, 10*time.Minute, e)
	for _, p := range c.Pools {
		require.Equal(t, p.Size, sizes(w)[p.Name], p.Name)
	}
	require.EqualValues(t, 3, e.Moves.Completed())
	requireSettled(t, w)
}

func TestFailuresBringASpare(t *testing.T) {
	w, e := fleet(t, drive.Fleets()[0])
	own, down := sizes(w), 0
	e.Demand = idle // the spare pool can do with fewer hosts
	for _, m := range w.Machines {
		if w.Placement(m.Name).Pool == "pool01" && down < 3 {
			w.TakeDown(m, 0)
			down++
		}
	}
	run(w, 5*time.Minute, e)
	require.Equal(t, own["pool01"]+1, sizes(w)["pool01"])
	require.Positive(t, e.ReportsByCause["failures alone pass the availability budget"])
}

// TestMoverKilled stops the entry that moves a host after each step of the move.
// Another entry must continue or undo the move from the documents alone, whether
// or not the host is still needed.
func TestMoverKilled(t *testing.T) {
	tests := []struct {
		last   table.ChangeKind // the last step of the entry that is stopped
		needed bool             // the pool still needs the host afterwards
		moved  int
	}{
		{table.RequestPermit, true, 2},
		{table.StartMove, true, 2},
		{table.CompleteMove, true, 2},
		{table.EndOutage, true, 2},
		{table.RequestPermit, false, 0},
		{table.StartMove, false, 1}, // a marked move is completed
		{table.CompleteMove, false, 1},
		{table.EndOutage, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.last.String(), func(t *testing.T) {
			w, e := fleet(t, drive.Fleets()[0])
			own := sizes(w)["pool01"]
			ended := false
			e.AllowStep = func(c table.Change, _ carry.Step) bool {
				was := ended
				ended = ended || c.Kind == tt.last
				return !was
			}
			e.Demand = late(time.Minute)
			for i := 0; i < 200 && !ended; i++ {
				run(w, step, e)
			}
			require.True(t, ended)
			w.RemoveEntry(e)
			next := drive.NewEntry(w, "b")
			next.Demand = steady
			if tt.needed {
				next.Demand = late(time.Minute)
			}
			run(w, 5*time.Minute, next)
			require.Equal(t, own+tt.moved, sizes(w)["pool01"])
			requireSettled(t, w)
		})
	}
}

// TestTwoMovers lets two entries act on stale views while every third write
// takes effect but its answer is lost. No pool may have two hosts out of service.
func TestTwoMovers(t *testing.T) {
	w, e := fleet(t, drive.Fleets()[0])
	own := sizes(w)
	other := drive.NewEntry(w, "b")
	e.SkippedRefreshes, other.SkippedRefreshes = 4, 9
	e.Demand, other.Demand = late(time.Minute), late(time.Minute)
	n := 0
	w.Store.Fault = func(string) (bool, error) {
		if n++; n%3 == 0 {
			return true, drive.ErrLost
		}
		return true, nil
	}
	counts := map[string]drive.Pool{}
	for range 600 {
		run(w, step, e, other)
		w.CountPools(counts)
		for name, p := range counts {
			require.LessOrEqual(t, p.Out, 1, name)
		}
	}
	require.Equal(t, own["pool01"]+2, sizes(w)["pool01"])
	require.Len(t, w.Machines, 50)
	requireSettled(t, w)
}

// TestHostFailsInMove fails a marked host: the move must be cancelled and the
// failure be recorded in the pool that the host is still in.
func TestHostFailsInMove(t *testing.T) {
	w, e := fleet(t, drive.Fleets()[0])
	e.Demand = late(time.Minute)
	host := ""
	for i := 0; i < 100 && host == ""; i++ {
		run(w, step, e)
		for _, m := range w.Machines {
			if w.Placement(m.Name).MoveTarget != "" {
				host = m.Name
			}
		}
	}
	require.NotEmpty(t, host)
	w.TakeDown(w.Machine(host), 0)
	run(w, time.Minute, e)
	o, ok := w.Outage("pool00", host)
	require.True(t, ok)
	require.Equal(t, table.Failed, o.Reason)
	require.Equal(t, "pool00", w.Placement(host).Pool)
	require.Empty(t, w.Placement(host).MoveTarget)
}

func TestWithdrawnPool(t *testing.T) {
	w, e := fleet(t, drive.Fleets()[0])
	old := drive.NewEntry(w, "b")
	old.Demand = steady
	run(w, time.Minute, e, old)
	before := w.Config
	c := before.Clone()
	c.Rev++
	c.Pools = append(c.Pools[:4:4], table.PoolSpec{Name: "pool09", Size: 8, Budget: 2, Reserve: 1})
	w.Config = c // pool04 is withdrawn and pool09 added
	run(w, 2*time.Minute, e)
	require.Zero(t, sizes(w)["pool04"])
	require.Equal(t, 8, sizes(w)["pool09"])
	w.Config = before // as seen by an entry that still has the old configuration
	run(w, 2*time.Minute, old)
	require.Equal(t, 8, sizes(w)["pool09"], "an old configuration withdraws nothing")
	require.Zero(t, sizes(w)["pool04"])
}

func TestTickAllocatesNothing(t *testing.T) {
	_, e := fleet(t, drive.Fleets()[0])
	e.Refresh()
	e.Run()
	require.Zero(t, testing.AllocsPerRun(100, func() { e.Run() }))
}
