package pack_test

import (
	"testing"

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
	none := func(int) bool { return false }
	for _, c := range []struct {
		name  string
		known func(i int) bool
		first bool
		limit int
		want  []int
	}{
		{"the first request names all workers, those with room first", none, true, 9, []int{2, 1, 0}},
		{"later requests name only those with room", none, false, 9, []int{2, 1}},
		{"workers with a known answer are left out", func(i int) bool { return i == 2 }, false, 9, []int{1}},
		{"no more than the limit", none, true, 2, []int{2, 1}},
	} {
		require.Equal(t, c.want, pack.WorkersToAsk(d, workers, c.known, c.first, c.limit), c.name)
	}
}
