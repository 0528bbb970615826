package maint_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/bench/drive"
	"shallotpaddle/table"
)

// step is the time between ticks in these tests.
const step = 2 * time.Second

// settle returns a world and its entries after one minute, in which every host has
// been assigned to a pool.
func settle(t *testing.T, f drive.Fleet, entries int) (*drive.World, []*drive.Entry) {
	t.Helper()
	w := f.World()
	var es []*drive.Entry
	for i := range entries {
		es = append(es, drive.NewEntry(w, string(rune('a'+i))))
	}
	run(w, es, time.Minute, nil)
	counts := map[string]drive.Pool{}
	w.CountPools(counts)
	for i, p := range w.Config.Pools {
		require.Equal(t, f.Sizes[i], counts[p.Name].Hosts, p.Name)
	}
	return w, es
}

// run ticks every entry until d has passed and calls check after each step.
func run(w *drive.World, es []*drive.Entry, d time.Duration, check func(map[string]drive.Pool)) {
	counts := map[string]drive.Pool{}
	for end := w.Now.Add(d); w.Now.Before(end); w.Advance(step) {
		for _, e := range es {
			e.Tick()
		}
		if check != nil {
			w.CountPools(counts)
			check(counts)
		}
	}
}

func TestEveryHostOncePerPeriod(t *testing.T) {
	f := drive.Fleets()[0]
	w, es := settle(t, f, 1)
	for i := range w.Config.Pools {
		w.Config.Pools[i].Period = table.Duration(6 * time.Hour)
	}
	w.Config.Rev++
	placed := w.Now
	run(w, es, 6*time.Hour, func(c map[string]drive.Pool) {
		for name, p := range c {
			require.LessOrEqual(t, p.Out, f.Budget-f.Reserve, name)
		}
	})
	for _, m := range w.Machines {
		require.True(t, w.Placement(m.Name).MaintainedAt.After(placed), m.Name)
		require.Equal(t, 2, m.BootNumber, m.Name)
	}
}

func TestPlacementSpreadsPools(t *testing.T) {
	for _, f := range drive.Fleets()[:2] {
		w, _ := settle(t, f, 1)
		racks := map[string]int{}
		for _, m := range w.Machines {
			key := w.Placement(m.Name).Pool + " " + m.Rack
			racks[key]++
			// There are 13 racks for at most 12 hosts of a pool. The last rack is
			// not full, so a pool that is placed late may have to put two
			// hosts into one rack.
			require.LessOrEqual(t, racks[key], 2, key)
		}
	}
}
