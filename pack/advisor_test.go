package pack_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
)

// A subtask that few workers may run waits in a pool that is almost full: the
// advisor is not asked about all workers again and again.
func TestWorkersToAsk(t *testing.T) {
	workers := []pack.Worker{worker("full", "r", 10), worker("half", "r", 10), worker("idle", "r", 10), worker("other", "s", 10), worker("sick", "r", 10)}
	workers[0].Free.CPU, workers[1].Free.CPU, workers[4].Unhealthy = 1, 5, true
	d := &pack.Demand{Resources: hosts.Resources{CPU: 4}, Label: "r"}
	workers[1].Rack = "far"
	likely := func(int) float64 { return 0.5 }
	for _, c := range []struct {
		name  string
		odds  func(i int) float64
		first bool
		limit int
		rack  string
		want  []int
	}{
		{"the first request names all workers, those with room first", likely, true, 9, "", []int{2, 1, 0}},
		{"later requests name only those with room", likely, false, 9, "", []int{2, 1}},
		{"workers with a known answer are left out", func(i int) float64 { return float64(i % 2) }, false, 9, "", []int{1}},
		{"no more than the limit", likely, true, 2, "", []int{2, 1}},
		{"workers that were allowed before come first", func(i int) float64 { return 1 / float64(i) }, false, 9, "", []int{1, 2}},
		{"workers on the rack of the data come before others", likely, false, 9, "far", []int{1, 2}},
	} {
		d.DataRack = c.rack
		require.Equal(t, c.want, pack.WorkersToAsk(d, workers, c.odds, c.first, c.limit), c.name)
	}
}

// A question names the workers that are worth the time of the advisor.
func TestQuestionSize(t *testing.T) {
	for _, c := range []struct {
		name             string
		odds             float64
		workers, wanted  int
		all              bool
		decision, period time.Duration
		want             int
	}{
		{"nobody to ask about", 1, 0, 2, false, 100, 50, 0},
		{"no ticket is wanted", 1, 8, 0, false, 100, 50, 0},
		{"all are allowed: as many as are wanted", 1, 8, 2, false, 100, 50, 2},
		{"fewer workers than tickets", 1, 3, 5, false, 100, 50, 3},
		{"few are allowed: several for one ticket", 0.25, 8, 1, false, 100, 50, 3},
		{"few are allowed, and answers are dear: more", 0.25, 8, 1, false, 500, 50, 6},
		{"workers cost nothing", 0.25, 8, 1, false, 100, 0, 8},
		{"the decision costs nothing", 0.25, 8, 1, false, 0, 50, 1},
		{"a gang needs all its tickets at once", 0.5, 8, 3, true, 100, 50, 7},
		{"a gang that can't have them all", 0.5, 2, 3, true, 100, 50, 2},
	} {
		odds := slices.Repeat([]float64{c.odds}, c.workers)
		require.Equal(t, c.want, pack.QuestionSize(odds, c.wanted, c.all, c.decision*time.Millisecond, c.period*time.Millisecond), c.name)
	}
}

func TestRoomFor(t *testing.T) {
	w := worker("a", "r", 10)
	w.Free = hosts.Resources{CPU: 9, Mem: 20, GPU: 1}
	for _, c := range []struct {
		name   string
		demand pack.Demand
		runs   int
		want   int
	}{
		{"by CPU", pack.Demand{Resources: hosts.Resources{CPU: 4, Mem: 1}}, 0, 2},
		{"by memory", pack.Demand{Resources: hosts.Resources{CPU: 1, Mem: 5}}, 0, 4},
		{"by GPU", pack.Demand{Resources: hosts.Resources{GPU: 1}}, 0, 1},
		{"filling subtasks need no CPU", pack.Demand{Fills: true, Resources: hosts.Resources{CPU: 99, Mem: 10}}, 0, 2},
		{"by the limit of the step", pack.Demand{Resources: hosts.Resources{CPU: 1}, MaxPerWorker: 3}, 1, 2},
		{"none", pack.Demand{Resources: hosts.Resources{CPU: 10}}, 0, 0},
	} {
		require.Equal(t, c.want, w.RoomFor(&c.demand, c.runs), c.name)
	}
}
