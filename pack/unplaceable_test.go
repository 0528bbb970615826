package pack_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
)

// A full pool with thousands of waiting subtasks: what is passed over would not
// have been placed.
func TestFullPassesOverOnlyWhatFindsNoRoom(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	all := make([]pack.Worker, 8)
	for i := range all {
		all[i] = host(string(rune('a'+i)), "r", 32000)
	}
	var full pack.Unplaceable
	none := func(int) int { return 0 }
	passed := 0
	for range 3000 {
		w := &pack.Demand{Resources: hosts.Resources{CPU: 500 + r.IntN(8000), Mem: r.IntN(200)}, Fills: r.IntN(9) == 0}
		if r.IntN(10) == 0 {
			w.MaxPerWorker = 1
		}
		at := pack.Choose(w, all, none)
		if full.Has(w) {
			passed++
			require.Equal(t, -1, at)
		}
		if at < 0 {
			full.Add(w)
			continue
		}
		all[at].Reserve(w)
	}
	require.Greater(t, passed, 2000)
}
