package pack_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
)

func TestGang(t *testing.T) {
	withFreeCPU := func(freeCPU ...int) []pack.Worker {
		out := make([]pack.Worker, len(freeCPU))
		for i, free := range freeCPU {
			out[i] = worker(string(rune('a'+i)), []string{"r", "s"}[i/2], 10)
			out[i].Free.CPU, out[i].Rack = free, []string{"r", "s"}[i/2]
		}
		return out
	}
	demands := make([]*pack.Demand, 3)
	for i := range demands {
		demands[i] = &pack.Demand{Resources: hosts.Resources{CPU: 4}}
	}
	none := func(int) int { return 0 }
	for _, c := range []struct {
		name    string
		workers []pack.Worker
		oneRack bool
		racks   map[string]int
	}{
		{"the fullest workers with room", withFreeCPU(8, 3, 10, 4), false, map[string]int{"r": 2, "s": 1}},
		{"one rack", withFreeCPU(8, 3, 8, 6), true, map[string]int{"s": 3}},
		{"several racks if none has the room", withFreeCPU(4, 3, 8, 3), true, map[string]int{"r": 1, "s": 2}},
		{"none if there is no room for all", withFreeCPU(4, 3, 4, 3), true, map[string]int{}},
	} {
		before := append([]pack.Worker(nil), c.workers...)
		got := map[string]int{}
		for _, at := range pack.Gang(demands, c.workers, c.oneRack, none) {
			got[c.workers[at].Rack]++
		}
		require.Equal(t, c.racks, got, c.name)
		if len(got) == 0 {
			require.Equal(t, before, c.workers, "no room is taken")
		}
	}
}
