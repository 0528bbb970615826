package eject_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/bench/drive"
	"shallotpaddle/table"
)

const (
	step = time.Second
	// keep is the factor by which task outcomes decay per step.
	keep = 0.98
)

// fleet returns a simulated fleet whose hosts are assigned to pools, without
// maintenance.
func fleet(t *testing.T) (*drive.World, *drive.Entry) {
	t.Helper()
	w := drive.Fleets()[0].World()
	for i := range w.Config.Pools {
		w.Config.Pools[i].Period = 0
	}
	e := drive.NewEntry(w, "a")
	run(w, e, time.Minute, nil)
	return w, e
}

// run ticks the entry for d; failureRate returns the fraction of a host's tasks
// that fail.
func run(w *drive.World, e *drive.Entry, d time.Duration, failureRate func(host string) float64) {
	for end := w.Now.Add(d); w.Now.Before(end); w.Advance(step) {
		e.Refresh()
		for id := range table.HostID(e.Tables.Hosts()) {
			h := e.Tables.Host(id)
			if failureRate == nil || h.UsableSlots() == 0 {
				continue
			}
			failed := failureRate(h.Name())
			e.Tables.AddTaskOutcomes(id, keep, 1-failed, failed)
		}
		for _, c := range e.Run() {
			_ = e.CarryOut(c)
		}
	}
}

// members returns the names of a pool's hosts.
func members(w *drive.World, pool string) []string {
	var out []string
	for _, m := range w.Machines {
		if w.Placement(m.Name).Pool == pool {
			out = append(out, m.Name)
		}
	}
	return out
}

// failing makes the named hosts fail all tasks and the others the given
// fraction.
func failing(others float64, names ...string) func(string) float64 {
	return func(host string) float64 {
		for _, n := range names {
			if n == host {
				return 1
			}
		}
		return others
	}
}

func TestEject(t *testing.T) {
	w, e := fleet(t)
	host := members(w, "pool01")[0]
	rates := failing(0.01, host)
	run(w, e, time.Minute, rates)
	o, ok := w.Outage("pool01", host)
	require.True(t, ok)
	require.Equal(t, table.Repair, o.Reason)
	run(w, e, 10*time.Minute, failing(0.01)) // the reboot has repaired the host
	_, ok = w.Outage("pool01", host)
	require.False(t, ok, "back in service")
	require.Equal(t, 1, w.Reboots())
}

func TestGiveUp(t *testing.T) {
	w, e := fleet(t)
	host := members(w, "pool01")[0]
	run(w, e, 30*time.Minute, failing(0.01, host))
	o, ok := w.Outage("pool01", host)
	require.True(t, ok)
	require.Equal(t, table.Failed, o.Reason, "kept out of service")
	require.Equal(t, 2, w.Reboots(), "after two reboots")
	require.Positive(t, e.ReportsByCause["reboots have not helped; host needs an operator"])
	w.TakeDown(w.Machine(host), time.Minute) // an operator replaces the host
	run(w, e, 10*time.Minute, failing(0.01))
	_, ok = w.Outage("pool01", host)
	require.False(t, ok, "back in service after a new boot")
}

func TestNoEjection(t *testing.T) {
	tests := []struct {
		name  string
		rates func(pool []string) func(string) float64
		cause string
	}{
		{
			"all hosts fail", func([]string) func(string) float64 { return failing(1) },
			"too many hosts fail their work; the cause is taken to be elsewhere",
		},
		{
			"half of the pool fails", func(p []string) func(string) float64 { return failing(0.01, p[:6]...) },
			"too many hosts fail their work; the cause is taken to be elsewhere",
		},
		{
			"the rest fails almost as much", func(p []string) func(string) float64 { return failing(0.45, p[0]) },
			"host fails its work, but does not stand out from the rest of the pool",
		},
		{"few failures on all hosts", func([]string) func(string) float64 { return failing(0.2) }, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, e := fleet(t)
			run(w, e, 10*time.Minute, tt.rates(members(w, "pool01")))
			require.Zero(t, w.Reboots())
			require.Zero(t, e.CountByKind[table.RequestPermit])
			if tt.cause != "" {
				require.Positive(t, e.ReportsByCause[tt.cause])
			}
		})
	}
}

func TestEjectionKeepsBudget(t *testing.T) {
	w, e := fleet(t)
	pool := members(w, "pool01")
	w.TakeDown(w.Machine(pool[5]), 0)
	run(w, e, time.Minute, failing(0.01))
	counts := map[string]drive.Pool{}
	for range 60 {
		run(w, e, 10*time.Second, failing(0.01, pool[0], pool[1]))
		w.CountPools(counts)
		require.LessOrEqual(t, counts["pool01"].Out, 2)
	}
}
