package pack

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
)

// trialWorkers returns workers of 8 cores with the given free cores, young runs, and a
// flag for trials under way.
func trialWorkers(rows ...[3]int) []Worker {
	out := make([]Worker, 0, len(rows))
	for i, r := range rows {
		out = append(out, Worker{
			ID: string(rune('a' + i)), Capacity: hosts.Resources{CPU: 8000, Mem: 1}, Free: hosts.Resources{CPU: 1000 * r[0], Mem: 1},
			Unproven: r[1], OnTrial: r[2] > 0,
		})
	}
	return out
}

// A worker crashes with all that it runs: a suspect subtask starts on the emptiest one
// that has no young runs, and is kept apart from other suspects.
func TestTrials(t *testing.T) {
	none := func(int) int { return 0 }
	d := &Demand{Resources: hosts.Resources{CPU: 2000}}
	for name, c := range map[string]struct {
		workers []Worker
		at      int
		now     bool
	}{
		"emptiest":                    {trialWorkers([3]int{2, 0, 0}, [3]int{8, 0, 0}, [3]int{5, 0, 0}), 1, true},
		"no young runs":               {trialWorkers([3]int{2, 0, 0}, [3]int{8, 1, 0}), 0, true},
		"kept free until it has none": {trialWorkers([3]int{4, 3, 0}, [3]int{4, 1, 0}), 1, false},
		"not beside another trial":    {trialWorkers([3]int{8, 0, 1}, [3]int{2, 0, 0}, [3]int{1, 0, 0}, [3]int{1, 0, 0}), 1, true},
		"no room":                     {trialWorkers([3]int{1, 0, 0}, [3]int{0, 0, 0}), -1, false},
		"all but one":                 {trialWorkers([3]int{8, 0, 1}, [3]int{8, 0, 0}), -1, false},
	} {
		t.Run(name, func(t *testing.T) {
			at, now := NewTrials(c.workers).Choose(d, c.workers, none)
			require.Equal(t, c.at, at)
			require.Equal(t, c.now, now)
		})
	}
}

// A trial on a host that has crashed under the subtask before proves less than one on another.
func TestTrialOnAnotherHost(t *testing.T) {
	none := func(int) int { return 0 }
	workers := func() []Worker { return trialWorkers([3]int{8, 0, 0}, [3]int{3, 0, 0}, [3]int{4, 0, 0}) }
	for name, c := range map[string]struct {
		crashed map[string]bool
		at      int
	}{
		"none has crashed":    {nil, 0},
		"the emptiest has":    {map[string]bool{"a": true}, 2},
		"all but the last":    {map[string]bool{"a": true, "b": true}, 2},
		"all, and any may do": {map[string]bool{"a": true, "b": true, "c": true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := &Demand{Resources: hosts.Resources{CPU: 2000}, CrashedOn: c.crashed}
			list := workers()
			at, now := NewTrials(list).Choose(d, list, none)
			require.Equal(t, c.at, at)
			require.True(t, now)
		})
	}
}

// No other subtask starts beside one on trial, nor on a worker that is kept for one.
func TestNothingStartsBesideTrial(t *testing.T) {
	none := func(int) int { return 0 }
	d := &Demand{Resources: hosts.Resources{CPU: 2000}}
	for _, young := range []int{0, 2} {
		workers := trialWorkers([3]int{8, young, 0})
		at, now := NewTrials(workers).Choose(d, workers, none)
		require.Equal(t, 0, at)
		require.Equal(t, young == 0, now)
		require.Equal(t, -1, Choose(d, workers, none))
		require.Nil(t, Gang([]*Demand{d}, workers, false, none))
	}
}

// While more suspects wait than the pool has workers, half of a large pool goes on with
// other work, and one worker of a small one.
func TestTrialsLeaveRoomForOthers(t *testing.T) {
	none := func(int) int { return 0 }
	d := &Demand{Resources: hosts.Resources{CPU: 100}}
	for size, trialsAtOnce := range map[int]int{1: 1, 2: 1, 3: 2, 5: 4, 8: 4, 20: 10} {
		rows := make([][3]int, size)
		for i := range rows {
			rows[i] = [3]int{8, 0, 0}
		}
		workers := trialWorkers(rows...)
		trials := NewTrials(workers)
		started := 0
		for range 30 {
			if _, now := trials.Choose(d, workers, none); now {
				started++
			}
		}
		require.Equal(t, trialsAtOnce, started, "%d workers", size)
		require.Equal(t, size > 1, Choose(d, workers, none) >= 0)
	}
}
