package pack_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
)

// Thousands of subtasks wait in a full pool: Choose finds no room for any demand
// that Unplaceable reports.
func TestUnplaceableHasNoRoom(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	workers := make([]pack.Worker, 8)
	for i := range workers {
		workers[i] = worker(string(rune('a'+i)), "r", 32000)
	}
	var unplaceable pack.Unplaceable
	none := func(int) int { return 0 }
	passed := 0
	for range 3000 {
		d := &pack.Demand{Resources: hosts.Resources{CPU: 500 + r.IntN(8000), Mem: r.IntN(200)}, Fills: r.IntN(9) == 0}
		if r.IntN(10) == 0 {
			d.MaxPerWorker = 1
		}
		at := pack.Choose(d, workers, none)
		if unplaceable.Has(d) {
			passed++
			require.Equal(t, -1, at)
		}
		if at < 0 {
			unplaceable.Add(d)
			continue
		}
		workers[at].Reserve(d)
	}
	require.Greater(t, passed, 2000)
}
