package maint_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/bench/drive"
	"shallotpaddle/carry"
	"shallotpaddle/table"
)

// drainingHost returns a host that is draining for maintenance, or "".
func drainingHost(w *drive.World) string {
	host, _ := maintenanceInPhase(w, table.Draining)
	return host
}

// maintenanceInPhase returns a host whose maintenance is in the given phase, and the
// number of such hosts in its pool.
func maintenanceInPhase(w *drive.World, phase table.Phase) (host string, n int) {
	for _, m := range w.Machines {
		pool := w.Placement(m.Name).Pool
		if o, ok := w.Outage(pool, m.Name); !ok || o.Reason != table.Maintenance || o.Phase != phase {
			continue
		}
		if host == "" || w.Placement(host).Pool == pool {
			host, n = m.Name, n+1
		}
	}
	return host, n
}

// failOtherRack takes down a rack, other than the host's, that has a host of the same
// pool in service.
func failOtherRack(w *drive.World, host string) {
	pool := w.Placement(host).Pool
	rack := ""
	for _, m := range w.Machines {
		_, out := w.Outage(pool, m.Name)
		if rack == "" && !out && m.Rack != w.Machine(host).Rack && w.Placement(m.Name).Pool == pool {
			rack = m.Rack
		}
	}
	for _, m := range w.Machines {
		if m.Rack == rack && m.Up {
			w.TakeDown(m, 20*time.Minute)
		}
	}
}

// loseEvery returns a store fault that drops the answer of every n-th write after the
// write has taken effect.
func loseEvery(n int) func(string) (bool, error) {
	i := 0
	return func(string) (bool, error) {
		i++
		if i%n == 0 {
			return true, drive.ErrLost
		}
		return true, nil
	}
}

func TestBudgetUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		// at is called after the ticks of step i.
		at func(i int, w *drive.World, es []*drive.Entry)
	}{
		{"no fault", 1, func(int, *drive.World, []*drive.Entry) {}},
		{"rack lost inside a wave", 1, func(i int, w *drive.World, _ []*drive.Entry) {
			if host := drainingHost(w); i%700 == 650 && host != "" {
				failOtherRack(w, host)
			}
		}},
		{"two entries drain at once", 2, func(_ int, _ *drive.World, es []*drive.Entry) {
			es[0].SkippedRefreshes, es[1].SkippedRefreshes = 3, 7
		}},
		{"answers lost after effect", 2, func(i int, w *drive.World, es []*drive.Entry) {
			es[1].SkippedRefreshes = 4
			if i == 0 {
				w.Store.Fault = loseEvery(3)
			}
		}},
		{"store down in a wave", 1, func(i int, w *drive.World, _ []*drive.Entry) {
			w.Store.Fault = nil
			if i%600 >= 300 {
				w.Store.Fault = func(string) (bool, error) { return false, drive.ErrDown }
			}
		}},
		{"entry paused and resumed", 2, func(i int, _ *drive.World, es []*drive.Entry) {
			pause(es[1], i%200)
		}},
		{"rack lost, answers lost, two entries", 2, func(i int, w *drive.World, es []*drive.Entry) {
			es[1].SkippedRefreshes = 6
			if i == 0 {
				w.Store.Fault = loseEvery(4)
			}
			if host := drainingHost(w); i%700 == 650 && host != "" {
				failOtherRack(w, host)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := drive.Fleets()[0]
			w, es := settle(t, f, tt.entries)
			for i := range w.Config.Pools {
				w.Config.Pools[i].Period = table.Duration(3 * time.Hour)
			}
			w.Config.Rev++
			i := 0
			run(w, es, 3*time.Hour, func(c map[string]drive.Pool) {
				tt.at(i, w, es)
				i++
				for name, p := range c {
					require.LessOrEqual(t, p.Out, f.Budget, "%s at %s", name, w.Now)
					require.LessOrEqual(t, p.Planned, f.Budget-f.Reserve, "%s at %s", name, w.Now)
				}
			})
			require.Empty(t, w.Violations())
			require.Greater(t, w.Reboots(), len(w.Machines)/4, "maintenance did not continue")
		})
	}
}

// pause suspends the entry at phase 0, with the changes that it has decided held
// back, and carries these out when it resumes at phase 100.
func pause(e *drive.Entry, phase int) {
	switch phase {
	case 0:
		e.AllowStep = func(table.Change, carry.Step) bool { return false }
		e.Pending = append([]table.Change(nil), e.Run()...)
	case 100:
		e.AllowStep = nil
		for _, c := range e.Pending {
			_ = e.CarryOut(c)
		}
	}
}

func TestLoweredBudget(t *testing.T) {
	f := drive.Fleets()[0]
	f.Budget, f.Reserve = 4, 0
	w, es := settle(t, f, 2)
	es[1].SkippedRefreshes = 5
	for i := range w.Config.Pools {
		w.Config.Pools[i].Period = table.Duration(30 * time.Minute)
	}
	w.Config.Rev++
	counts := map[string]drive.Pool{}
	for i := 0; i < 2000 && counts["pool01"].Out < 4; i++ {
		run(w, es, step, nil)
		w.CountPools(counts)
	}
	require.Equal(t, 4, counts["pool01"].Out)
	lowered := w.Config.Clone()
	for i := range lowered.Pools {
		lowered.Pools[i].Budget = 2
	}
	lowered.Rev++
	w.Config = lowered
	before := counts["pool01"].Out
	run(w, es, 20*time.Minute, func(c map[string]drive.Pool) {
		out := c["pool01"].Out
		require.LessOrEqual(t, out, max(before, 2), "new outage beyond the lowered budget")
		before = out
	})
	require.LessOrEqual(t, before, 2)
}

// TestRackLossWithoutReserve checks that without a reserve a rack lost during reboots
// exceeds the budget. This shows that the checks of TestBudgetUnderFaults can fail.
func TestRackLossWithoutReserve(t *testing.T) {
	f := drive.Fleets()[0]
	f.Reserve = 0
	w, es := settle(t, f, 1)
	for i := range w.Config.Pools {
		w.Config.Pools[i].Period = table.Duration(20 * time.Minute)
	}
	w.Config.Rev++
	worst, lost := 0, false
	run(w, es, time.Hour, func(c map[string]drive.Pool) {
		for _, p := range c {
			worst = max(worst, p.Out)
		}
		if host, n := maintenanceInPhase(w, table.Rebooting); n == f.Budget && !lost {
			failOtherRack(w, host)
			lost = true
		}
	})
	require.True(t, lost)
	require.Greater(t, worst, f.Budget)
}
