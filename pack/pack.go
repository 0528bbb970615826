// Package pack decides which waiting subtask starts first and on which worker.
// Its functions do no I/O and don't read the clock.
package pack

import (
	"slices"

	"shallotpaddle/hosts"
)

// Worker is a worker that can be given subtasks.
type Worker struct {
	ID       string
	Labels   []string
	Rack     string
	Capacity hosts.Resources
	Free     hosts.Resources
	// DrainSoon tells that the worker must be emptied soon.
	DrainSoon bool
	// Unhealthy workers get no subtasks, as their recent runs failed or stalled.
	Unhealthy bool
	// Serving is the number of subtasks with a bound on their tail latency, Filling
	// that of subtasks which run on the CPU that others leave.
	Serving, Filling int
	// Neighbours are the serving and filling subtasks on the worker. They are needed only for a
	// Demand with Harm.
	Neighbours []Neighbour
	// LongRunning is the number of subtasks that run until their job is cancelled, and Lasting
	// what they have reserved.
	LongRunning int
	Lasting     hosts.Resources
	// Unproven is the number of runs that have not worked for long enough to show that
	// they don't crash the worker. A worker OnTrial has, or is kept for, one whose subtask
	// may have crashed another worker.
	Unproven int
	OnTrial  bool
}

// Neighbour is a subtask on a worker that may disturb others there or be disturbed.
type Neighbour struct {
	Image         string
	Fills, Serves bool
}

// Demand is what a subtask needs of a worker.
type Demand struct {
	Resources hosts.Resources
	// Fills marks a subtask that runs on the CPU that others leave: its CPU is not
	// reserved. Serves marks one with a bound on its tail latency.
	Fills, Serves bool
	Label         string // required of the worker; empty for any
	DataRack      string // rack of the subtask's data, which is preferred; may be empty
	// LongRunning marks subtasks that run until their job is cancelled.
	LongRunning bool
	// MaxPerWorker limits the subtasks of the step on one worker; 0 is no limit.
	MaxPerWorker int
	// AvoidWorker is the ID of the worker on which the subtask failed last.
	AvoidWorker string
	// CrashedOn has the IDs of the workers on hosts that crashed under the subtask before.
	CrashedOn map[string]bool
	// Image names the subtask's program. Harm returns by how much a neighbour raises the tail
	// latency of a serving image, as a fraction of its bound, or false if that isn't known; nil
	// if no pair is known.
	Image string
	Harm  func(victim, neighbour string) (float64, bool)
	// MayRunOn tells whether a worker may run the subtask; nil allows all of them.
	MayRunOn func(id string) bool
}

// eligible tells whether a worker may run the subtask, whether or not it has room
// now.
func (d *Demand) eligible(w *Worker) bool {
	return !w.Unhealthy && !w.OnTrial && (d.Label == "" || slices.Contains(w.Labels, d.Label)) && (d.MayRunOn == nil || d.MayRunOn(w.ID))
}

// HasRoomFor tells whether the worker has the free resources for a demand now.
func (w *Worker) HasRoomFor(d *Demand) bool {
	if !d.Fills && d.Resources.CPU > w.Free.CPU {
		return false
	}
	return d.Resources.Mem <= w.Free.Mem && d.Resources.GPU <= w.Free.GPU
}

// Reserve takes the resources of a demand from the worker's free ones and counts
// the subtask. It doesn't check that there is room.
func (w *Worker) Reserve(d *Demand) {
	if !d.Fills {
		w.Free.CPU -= d.Resources.CPU
	}
	w.Free.Mem -= d.Resources.Mem
	w.Free.GPU -= d.Resources.GPU
	w.Unproven++
	if d.Fills {
		w.Filling++
	}
	if d.Serves {
		w.Serving++
	}
	if d.LongRunning {
		w.LongRunning++
	}
	if d.Harm != nil && (d.Fills || d.Serves) {
		// The array may be shared with a copy of the worker.
		w.Neighbours = append(slices.Clip(w.Neighbours), Neighbour{d.Image, d.Fills, d.Serves})
	}
}

// Weights of the preferences between workers with room. Each takes precedence over
// all below it.
const (
	remoteWeight           = 1 << 12 // not on the data's rack; twice that for the worker where the subtask failed
	interferenceWeight     = 1 << 10 // each filling subtask beside a serving one, and the reverse
	spreadWeight           = 1 << 9  // each long-running subtask of the same step
	firstLongRunningWeight = 1 << 8  // the first long-running subtask on a worker
	usageScale             = 1 << 7  // full use of a worker's resources
)

// Choose returns the index of the worker on which a subtask should run, or -1 if
// no eligible worker has room. Count returns how many subtasks of the step run on
// worker i.
//
// It prefers the rack of the data, then the fullest worker with room. Queues have
// their peaks at different times: packing the subtasks leaves other workers empty
// at the end of a peak, so that their hosts can move to the pool of the next one.
// Filling subtasks are kept away from serving ones, unless they are known to be
// harmless. Long-running subtasks of one
// step are spread over workers, those of different steps share workers.
func Choose(d *Demand, workers []Worker, count func(i int) int) int {
	best, cost := -1, 0
	for i := range workers {
		w := &workers[i]
		if !w.HasRoomFor(d) || !d.eligible(w) {
			continue
		}
		n := count(i)
		if d.MaxPerWorker > 0 && n >= d.MaxPerWorker {
			continue
		}
		c := d.cost(w, n)
		if best >= 0 && c >= cost {
			continue
		}
		if c += d.interference(w); best < 0 || c < cost {
			best, cost = i, c
		}
	}
	return best
}

// cost returns the cost of placing a subtask on a worker that already has n
// subtasks of its step, without that of interference, which is never negative; the lowest
// is preferred.
func (d *Demand) cost(w *Worker, n int) int {
	c := usageScale - usage(w)
	if d.LongRunning {
		c = usage(w) + n*spreadWeight
		if w.DrainSoon {
			c += spreadWeight
		}
		if w.LongRunning == 0 {
			c += firstLongRunningWeight
		}
	}
	if d.DataRack != "" && !slices.Contains(w.Labels, d.DataRack) {
		c += remoteWeight
	}
	if w.ID == d.AvoidWorker {
		c += 2 * remoteWeight
	}
	return c
}

// usage returns how much of a worker's CPU or memory is in use, whichever is more,
// in units of 1/usageScale.
func usage(w *Worker) int {
	cpu := usageScale - usageScale*w.Free.CPU/max(w.Capacity.CPU, 1)
	mem := usageScale - usageScale*w.Free.Mem/max(w.Capacity.Mem, 1)
	return max(cpu, mem)
}
