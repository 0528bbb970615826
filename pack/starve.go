package pack

import (
	"slices"
	"time"

	"shallotpaddle/hosts"
)

// minWaitBound is the least WaitBound, for jobs without a deadline, or with one that leaves nothing.
const minWaitBound = time.Second

// WaitBound returns for how long the first subtask in line waits, while smaller ones are started
// instead, before room is kept for it. Load pattern: a pool or a quota that many small subtasks keep
// full, so that the room for a large one, or for a gang, never becomes free at once.
//
// Half of what the deadline of a job leaves beside its expected run time leaves the other half for the
// runs that have to end first. Room that is kept is idle meanwhile, which costs jobs that can be on
// time, so a job that is late waits for its deadline, and one that is worth nothing any more for three
// times that. With half of the rest for all of them, six workers at three times their load did 8 % less
// on time (owner.TestKeptRoomIsSmall); this costs 2 %.
func WaitBound(j *WaitingJob, now time.Time) time.Duration {
	switch Class(j, now) {
	case 0:
		return max((j.Deadline-j.Remaining)/2, minWaitBound)
	case 1:
		return max(j.Deadline, minWaitBound)
	default:
		return max(WorthlessFactor*j.Deadline, minWaitBound)
	}
}

// Smallest has the least resources of the subtasks that were started in a scheduling pass. The zero
// value has none.
type Smallest struct {
	least hosts.Resources
	any   bool // one was started
	cpu   bool // least.CPU is known: the CPU of filling subtasks is not reserved
}

// Add adds a subtask that is started.
func (s *Smallest) Add(d *Demand) {
	if !d.Fills && (!s.cpu || d.Resources.CPU < s.least.CPU) {
		s.least.CPU, s.cpu = d.Resources.CPU, true
	}
	if !s.any {
		s.least.Mem, s.least.GPU, s.any = d.Resources.Mem, d.Resources.GPU, true
	}
	s.least.Mem, s.least.GPU = min(s.least.Mem, d.Resources.Mem), min(s.least.GPU, d.Resources.GPU)
}

// Below reports whether a subtask that needs less than r of some resource was started. s may be nil.
func (s *Smallest) Below(r hosts.Resources) bool {
	return s != nil && s.any && (s.cpu && s.least.CPU < r.CPU || s.least.Mem < r.Mem || s.least.GPU < r.GPU)
}

// Keep reserves room for subtasks that start together, each on the worker that lacks the least of it,
// so that what ends there makes room for them. It reserves nothing and returns false if eligible
// workers can't have the room for all of them once their other subtasks have ended.
func Keep(demands []*Demand, workers []Worker, count func(i int) int) bool {
	places := keepPlaces(demands, workers, count)
	for i, d := range demands {
		if places != nil {
			workers[places[i]].Reserve(d)
		}
	}
	return places != nil
}

// CanKeep reports whether Keep would find room.
func CanKeep(demands []*Demand, workers []Worker, count func(i int) int) bool {
	return keepPlaces(demands, workers, count) != nil
}

func keepPlaces(demands []*Demand, workers []Worker, count func(i int) int) []int {
	if len(demands) == 1 {
		if at := keepAt(demands[0], workers, count); at >= 0 {
			return []int{at}
		}
		return nil
	}
	trial := slices.Clone(workers)
	added := make([]int, len(workers))
	places := make([]int, len(demands))
	for i, d := range demands {
		at := keepAt(d, trial, func(k int) int { return count(k) + added[k] })
		if at < 0 {
			return nil
		}
		trial[at].Reserve(d)
		trial[at].Lasting = sum(trial[at].Lasting, d.reserved())
		added[at]++
		places[i] = at
	}
	return places
}

func keepAt(d *Demand, workers []Worker, count func(i int) int) int {
	best, least := -1, 0.0
	for i := range workers {
		w := &workers[i]
		if w.DrainSoon || !d.eligible(w) || !w.canHold(d) || d.MaxPerWorker > 0 && count(i) >= d.MaxPerWorker {
			continue
		}
		if m := w.missing(d); best < 0 || m < least {
			best, least = i, m
		}
	}
	return best
}

// reserved returns what a subtask takes of its worker.
func (d *Demand) reserved() hosts.Resources {
	r := d.Resources
	if d.Fills {
		r.CPU = 0
	}
	return r
}

// canHold reports whether a worker has the room for a demand once its other subtasks have ended,
// except long-running ones.
func (w *Worker) canHold(d *Demand) bool {
	r := sum(w.Lasting, d.reserved())
	return r.CPU <= w.Capacity.CPU && r.Mem <= w.Capacity.Mem && r.GPU <= w.Capacity.GPU
}

// missing returns the largest part of a worker's CPU, memory or GPUs that it lacks for a demand.
func (w *Worker) missing(d *Demand) float64 {
	r, most := d.reserved(), 0.0
	for _, v := range [][3]int{{r.CPU, w.Free.CPU, w.Capacity.CPU}, {r.Mem, w.Free.Mem, w.Capacity.Mem}, {r.GPU, w.Free.GPU, w.Capacity.GPU}} {
		if need, free, all := v[0], v[1], v[2]; need > free {
			most = max(most, float64(need-free)/float64(max(all, 1)))
		}
	}
	return most
}

func sum(a, b hosts.Resources) hosts.Resources {
	return hosts.Resources{CPU: a.CPU + b.CPU, Mem: a.Mem + b.Mem, GPU: a.GPU + b.GPU}
}
