package pack

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// WorkersToAsk returns the indexes of the workers to ask the advisor about for a
// waiting subtask with demand d, at most limit of them. Odds returns the probability that the advisor
// allows worker i, 0 if nothing needs to be asked about it. First tells that the
// advisor has not answered anything about the step yet.
//
// Each worker in a request delays the advisor's answer, and of some queues only
// few workers may run a step. So workers with room for the subtask come first:
// those that were allowed before, then those on the rack of the data, then by
// load, the least loaded first. Workers without room are included only in the
// first request about a step.
func WorkersToAsk(d *Demand, workers []Worker, odds func(i int) float64, first bool, limit int) []int {
	var out []int
	for i := range workers {
		if odds(i) > 0 && d.eligible(&workers[i]) && (first || workers[i].HasRoomFor(d)) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(lacksRoom(&workers[a], d), lacksRoom(&workers[b], d)),
			cmp.Compare(odds(b), odds(a)),
			cmp.Compare(remote(&workers[a], d), remote(&workers[b], d)),
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

// remote returns 1 if a worker is not on the rack of a demand's data, else 0.
func remote(w *Worker, d *Demand) int {
	if d.DataRack == "" || w.Rack == d.DataRack {
		return 0
	}
	return 1
}

// RoomFor returns how many subtasks with a demand fit on the worker now, if n
// subtasks of their step already run there.
func (w *Worker) RoomFor(d *Demand, n int) int {
	fit := math.MaxInt32
	limit := func(free, needed int) {
		if needed > 0 {
			fit = min(fit, max(free, 0)/needed)
		}
	}
	if !d.Fills {
		limit(w.Free.CPU, d.Resources.CPU)
	}
	limit(w.Free.Mem, d.Resources.Mem)
	limit(w.Free.GPU, d.Resources.GPU)
	if d.MaxPerWorker > 0 {
		fit = min(fit, max(d.MaxPerWorker-n, 0))
	}
	return fit
}

// FreestRack returns the rack with the most free CPU, or "".
func FreestRack(workers []Worker) string {
	if racks := racksByFreeCPU(workers); len(racks) > 0 {
		return racks[0]
	}
	return ""
}

// QuestionSize returns how many of the workers to ask about, in their order, a
// question should name, so that the advisor spends the least time on each ticket
// that is of use. Odds are the probabilities that the workers are allowed. At most
// wanted tickets are of use; with all, none is unless there are that many. The
// advisor takes decision for an answer and period for each worker in addition.
func QuestionSize(odds []float64, wanted int, all bool, decision, period time.Duration) int {
	if len(odds) == 0 || wanted <= 0 {
		return 0
	}
	// chance[k] is the probability of k tickets, that of the last one includes more.
	chance := make([]float64, wanted+1)
	chance[0] = 1
	best, lowest := len(odds), math.Inf(1)
	for n, p := range odds {
		for k := wanted; k > 0; k-- {
			gain := chance[k-1] * p
			chance[k] += gain
			chance[k-1] -= gain
		}
		useful := chance[wanted]
		if !all {
			useful = 0
			for k, c := range chance {
				useful += float64(k) * c
			}
		}
		if cost := float64(decision+time.Duration(n+1)*period) / useful; cost < lowest {
			best, lowest = n+1, cost
		}
	}
	return best
}
