package pack_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
)

func TestGang(t *testing.T) {
	fleet := func(free ...int) []pack.Worker {
		out := make([]pack.Worker, len(free))
		for i, f := range free {
			out[i] = host(string(rune('a'+i)), []string{"r", "s"}[i/2], 10)
			out[i].Free.CPU, out[i].Rack = f, []string{"r", "s"}[i/2]
		}
		return out
	}
	wants := make([]*pack.Demand, 3)
	for i := range wants {
		wants[i] = &pack.Demand{Resources: hosts.Resources{CPU: 4}}
	}
	none := func(int) int { return 0 }
	for _, c := range []struct {
		name    string
		hosts   []pack.Worker
		oneRack bool
		racks   map[string]int
	}{
		{"fullest workers", fleet(8, 3, 10, 4), false, map[string]int{"r": 2, "s": 1}},
		{"one rack", fleet(8, 3, 8, 6), true, map[string]int{"s": 3}},
		{"several racks if none has the room", fleet(4, 3, 8, 3), true, map[string]int{"r": 1, "s": 2}},
		{"all or none", fleet(4, 3, 4, 3), true, map[string]int{}},
	} {
		before := append([]pack.Worker(nil), c.hosts...)
		got := map[string]int{}
		for _, at := range pack.Gang(wants, c.hosts, c.oneRack, none) {
			got[c.hosts[at].Rack]++
		}
		require.Equal(t, c.racks, got, c.name)
		if len(got) == 0 {
			require.Equal(t, before, c.hosts, "no room is taken")
		}
	}
}
