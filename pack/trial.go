package pack

// trialWeight is the cost, in a trial, of each run of a worker that isn't proven.
const trialWeight = 2 * usageScale

// crashedWeight is the cost, in a trial, of a host that has crashed under the subtask before.
const crashedWeight = remoteWeight

// smallPool is the number of workers up to which a pool may have all but one on trial.
const smallPool = 4

// Trials limits the workers that are on trial at the same time, as they get no other
// subtasks meanwhile.
//
// When a worker crashes, all that ran there becomes ready at once. Started together
// again, they would crash the next worker together, and none could be told from the
// one that caused it.
type Trials struct{ left int }

// NewTrials returns the limit for a pool: half of its workers, and all but one of a small
// pool.
func NewTrials(workers []Worker) *Trials {
	t := &Trials{left: max(len(workers)/2, min(len(workers)-1, smallPool), 1)}
	for i := range workers {
		if workers[i].OnTrial {
			t.left--
		}
	}
	return t
}

// Choose returns the worker on which a suspect subtask should run, or -1, and whether
// it may start there now. The worker is then on trial, or else kept free of other
// subtasks until all that it runs is proven. Count returns how many subtasks of the
// step run on worker i.
//
// It prefers a worker on a host that has not crashed under the subtask yet, whose crash would
// prove more, then the emptiest one, which loses least.
func (t *Trials) Choose(d *Demand, workers []Worker, count func(i int) int) (int, bool) {
	if t.left <= 0 {
		return -1, false
	}
	best, cost := -1, 0
	for i := range workers {
		w := &workers[i]
		if !w.HasRoomFor(d) || !d.eligible(w) || d.MaxPerWorker > 0 && count(i) >= d.MaxPerWorker {
			continue
		}
		c := w.Unproven*trialWeight + usage(w)
		if w.ID == d.AvoidWorker {
			c += remoteWeight
		}
		if d.CrashedOn[w.ID] {
			c += crashedWeight
		}
		if best < 0 || c < cost {
			best, cost = i, c
		}
	}
	if best < 0 {
		return -1, false
	}
	t.left--
	workers[best].OnTrial = true
	return best, workers[best].Unproven == 0
}
