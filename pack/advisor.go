package pack

import (
	"cmp"
	"slices"
)

// WorkersToAsk returns the indexes of the workers to ask the advisor about for a
// waiting subtask with demand d, at most limit of them. Known tells whether the
// advisor's answer about worker i is already known. First tells that the advisor
// has not answered anything about the step yet.
//
// Each worker in a request delays the advisor's answer, and of some queues only
// few workers may run a step. So workers with room for the subtask come first, by
// load, the least loaded first. Workers without room are included only in the
// first request about a step.
func WorkersToAsk(d *Demand, workers []Worker, known func(i int) bool, first bool, limit int) []int {
	var out []int
	for i := range workers {
		if !known(i) && d.eligible(&workers[i]) && (first || workers[i].HasRoomFor(d)) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(lacksRoom(&workers[a], d), lacksRoom(&workers[b], d)),
			cmp.Compare(usage(&workers[a]), usage(&workers[b])),
		)
	})
	return out[:min(len(out), limit)]
}

// lacksRoom returns 1 if a worker has no room for a demand now, else 0.
func lacksRoom(w *Worker, d *Demand) int {
	if w.HasRoomFor(d) {
		return 0
	}
	return 1
}
