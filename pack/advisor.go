package pack

import (
	"cmp"
	"slices"
)

// WorkersToAsk returns the indexes of the workers that the advisor should be asked
// about for a subtask that waits, at most limit of them; known tells of those that
// it has spoken on. First tells that it has not been asked about the step yet.
//
// It answers queues of which few workers may run a step, while each worker that
// is named makes the answer later: those with room now go first, the emptiest
// ones before others, and once something is known the others wait until they have
// room.
func WorkersToAsk(w *Demand, all []Worker, known func(i int) bool, first bool, limit int) []int {
	var out []int
	for i := range all {
		if !known(i) && w.eligible(&all[i]) && (first || all[i].HasRoomFor(w)) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(lacksRoom(&all[a], w), lacksRoom(&all[b], w)), cmp.Compare(usage(&all[a]), usage(&all[b])))
	})
	return out[:min(len(out), limit)]
}

// lacksRoom returns 1 if a host has no room for a demand now, else 0.
func lacksRoom(h *Worker, w *Demand) int {
	if h.HasRoomFor(w) {
		return 0
	}
	return 1
}
