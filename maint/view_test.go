package maint_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/maint"
	"shallotpaddle/table"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// ownedPool returns tables with one owned pool, whose hosts are in service and have
// never been probed.
func ownedPool(hosts int) *table.Tables {
	t := table.New()
	t.SetConfig(&table.Config{Rev: 1, Pools: []table.PoolSpec{{Name: "p", Size: hosts, Budget: 2, Reserve: 1}}})
	for i := range hosts {
		id := t.Upsert("h"+strconv.Itoa(i), "dc", "r"+strconv.Itoa(i), "")
		t.SetPlacement(id, 0, table.None)
		t.SetListing(id, table.Live)
	}
	t.Reindex()
	t.SetOwned(0, true)
	return t
}

// ticks calls Tick n times, once a second and each time after probe, and returns the
// number of changes by kind.
func ticks(s *maint.System, t *table.Tables, now *time.Time, n int, probe func()) map[table.ChangeKind]int {
	count := map[table.ChangeKind]int{}
	for range n {
		if probe != nil {
			probe()
		}
		for _, c := range s.Tick(t, *now, nil) {
			count[c.Kind]++
		}
		*now = now.Add(time.Second)
	}
	return count
}

func TestTakenOverDrainWaitsForOwnProbes(t *testing.T) {
	tb, now := ownedPool(3), start
	s := maint.New(maint.DefaultSettings())
	tb.SetOutage(0, table.Maintenance, table.Draining, start, "1")
	tb.SetOutagePool(0, 0)
	tb.SetDrainAcked(0, true)
	tb.SetOwned(0, false)
	// Probe results from another entry do not update the slots in use.
	otherEntry := func() {
		for id := range table.HostID(3) {
			tb.SetProbeResult(id, true, now, "", 8, 0)
		}
	}
	require.Empty(t, ticks(s, tb, &now, 20, otherEntry))
	tb.SetOwned(0, true)
	require.Zero(t, ticks(s, tb, &now, 5, nil)[table.Reboot], "no probe of its own yet")
	busy := func() { tb.SetProbeResult(0, true, now, "1", 8, 3) }
	require.Zero(t, ticks(s, tb, &now, 5, busy)[table.Reboot], "tasks in flight")
	idle := func() { tb.SetProbeResult(0, true, now, "1", 8, 0) }
	require.Positive(t, ticks(s, tb, &now, 5, idle)[table.Reboot])
}

func TestTakenOverRebootWaitsForOwnProbes(t *testing.T) {
	tb, now := ownedPool(3), start
	s := maint.New(maint.DefaultSettings())
	tb.SetProbeResult(0, true, now, "old", 8, 0) // probed long ago
	tb.SetOutage(0, table.Maintenance, table.Rebooting, start, "1")
	tb.SetOutagePool(0, 0)
	require.Zero(t, ticks(s, tb, &now, 30, nil)[table.StartProbation])
	same := func() { tb.SetProbeResult(0, true, now, "1", 8, 0) }
	require.Zero(t, ticks(s, tb, &now, 30, same)[table.StartProbation], "boot id of before the outage")
	fresh := func() { tb.SetProbeResult(0, true, now, "2", 8, 0) }
	require.Positive(t, ticks(s, tb, &now, 30, fresh)[table.StartProbation])
}

func TestFailuresNeedProbes(t *testing.T) {
	tests := []struct {
		name   string
		silent int // hosts that do not answer, of ten
		fails  int // hosts recorded as failed
	}{
		{"none probed", -1, 0},
		{"all answer", 0, 0},
		{"one silent", 1, 1},
		{"half silent", 5, 5},
		{"most silent: this entry is cut off", 6, 0},
		{"all silent", 10, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, now := ownedPool(10), start
			s := maint.New(maint.DefaultSettings())
			failed := map[table.HostID]bool{}
			for range 60 {
				for id := range table.HostID(10) {
					if tt.silent >= 0 {
						tb.SetProbeResult(id, int(id) >= tt.silent, now, "1", 8, 0)
					}
				}
				for _, c := range s.Tick(tb, now, nil) {
					if c.Kind == table.RecordFailure {
						failed[c.Host] = true
					}
				}
				now = now.Add(time.Second)
			}
			require.Len(t, failed, tt.fails)
		})
	}
}

func TestTickAllocatesNothing(t *testing.T) {
	tb, now := ownedPool(200), start
	for id := range table.HostID(200) {
		tb.SetProbeResult(id, true, now, "1", 8, 1)
	}
	s := maint.New(maint.DefaultSettings())
	out := s.Tick(tb, now, make([]table.Change, 0, 64))
	require.Zero(t, testing.AllocsPerRun(100, func() {
		now = now.Add(50 * time.Millisecond)
		out = s.Tick(tb, now, out[:0])
	}))
}
