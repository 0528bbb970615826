package pack_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
)

// A step of which few workers may run subtasks waits in a full pool: the question
// names those with room, not all.
func TestConsult(t *testing.T) {
	all := []pack.Worker{host("full", "r", 10), host("half", "r", 10), host("idle", "r", 10), host("other", "s", 10), host("sick", "r", 10)}
	all[0].Free.CPU, all[1].Free.CPU, all[4].Unhealthy = 1, 5, true
	w := &pack.Demand{Resources: hosts.Resources{CPU: 4}, Label: "r"}
	none := func(int) bool { return false }
	for _, c := range []struct {
		name  string
		known func(i int) bool
		first bool
		limit int
		want  []int
	}{
		{"the first question names all, those with room first", none, true, 9, []int{2, 1, 0}},
		{"later ones only those with room", none, false, 9, []int{2, 1}},
		{"no worker twice", func(i int) bool { return i == 2 }, false, 9, []int{1}},
		{"no more than the limit", none, true, 2, []int{2, 1}},
	} {
		require.Equal(t, c.want, pack.WorkersToAsk(w, all, c.known, c.first, c.limit), c.name)
	}
}
