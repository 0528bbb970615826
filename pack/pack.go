// Package pack decides which waiting subtask starts first and on which worker.
// Its functions are pure.
package pack

import (
	"slices"

	"shallotpaddle/hosts"
)

// Worker is a worker that may take a subtask.
type Worker struct {
	ID       string
	Labels   []string
	Rack     string
	Capacity hosts.Resources
	Free     hosts.Resources
	// DrainSoon tells that the worker will have to be emptied soon.
	DrainSoon bool
	// Unhealthy tells that subtasks lately failed there without end.
	Unhealthy bool
	// Serving and Filling are the numbers of subtasks with users of their own, and
	// of those that use what others leave.
	Serving, Filling int
	// LongRunning is the number of subtasks that run until their job is cancelled.
	LongRunning int
}

// Demand is what a subtask demands.
type Demand struct {
	Resources hosts.Resources
	// Fills takes what others leave: processor is not counted. Serves has users of
	// its own.
	Fills, Serves bool
	Label         string
	DataRack      string
	// LongRunning marks subtasks that run until their job is cancelled.
	LongRunning bool
	// MaxPerWorker is the most subtasks of the step on one worker; 0 is no limit.
	MaxPerWorker int
	// AvoidWorker is the worker on which the subtask failed last.
	AvoidWorker string
	// MayRunOn tells which workers may run the subtask; nil stands for all of them.
	MayRunOn func(id string) bool
}

// eligible tells whether a worker may run the subtask, now or later.
func (w *Demand) eligible(h *Worker) bool {
	return !h.Unhealthy && (w.Label == "" || slices.Contains(h.Labels, w.Label)) && (w.MayRunOn == nil || w.MayRunOn(h.ID))
}

// HasRoomFor tells whether a host has room for a demand now.
func (h *Worker) HasRoomFor(w *Demand) bool {
	if !w.Fills && w.Resources.CPU > h.Free.CPU {
		return false
	}
	return w.Resources.Mem <= h.Free.Mem && w.Resources.GPU <= h.Free.GPU
}

// Reserve reserves room on a host.
func (h *Worker) Reserve(w *Demand) {
	if !w.Fills {
		h.Free.CPU -= w.Resources.CPU
	}
	h.Free.Mem -= w.Resources.Mem
	h.Free.GPU -= w.Resources.GPU
	if w.Fills {
		h.Filling++
	}
	if w.Serves {
		h.Serving++
	}
	if w.LongRunning {
		h.LongRunning++
	}
}

// Weights of the preferences between workers that fit, of which each goes
// before all below it.
const (
	remoteWeight           = 1 << 12 // away from the data's rack; twice that where it failed
	interferenceWeight     = 1 << 10 // a subtask that serves, or fills, beside one of the other kind
	spreadWeight           = 1 << 9  // a lasting subtask of the same step
	firstLongRunningWeight = 1 << 8  // the first lasting subtask on a worker
	usageScale             = 1 << 7  // resolution of the share of a worker that is in use
)

// Choose returns the index of the worker that a subtask should run on, or -1.
// Count returns how many subtasks of its step a worker has.
//
// It answers queues that take turns: data's rack first, then the fullest worker
// with room, so that the others empty as a turn ends and can go where the next one
// begins. Subtasks that fill keep away from those that serve users of their own.
// Lasting ones of a step are spread, those of different steps share workers.
func Choose(w *Demand, all []Worker, count func(i int) int) int {
	best, cost := -1, 0
	for i := range all {
		h := &all[i]
		if !h.HasRoomFor(w) || !w.eligible(h) {
			continue
		}
		n := count(i)
		if w.MaxPerWorker > 0 && n >= w.MaxPerWorker {
			continue
		}
		if c := w.cost(h, n); best < 0 || c < cost {
			best, cost = i, c
		}
	}
	return best
}

// cost tells how little a subtask should go to a worker that has n subtasks of its
// step.
func (w *Demand) cost(h *Worker, n int) int {
	c := usageScale - usage(h)
	if w.LongRunning {
		c = usage(h) + n*spreadWeight
		if h.DrainSoon {
			c += spreadWeight
		}
		if h.LongRunning == 0 {
			c += firstLongRunningWeight
		}
	}
	if w.Fills {
		c += h.Serving * interferenceWeight
	}
	if w.Serves {
		c += h.Filling * interferenceWeight
	}
	if w.DataRack != "" && !slices.Contains(h.Labels, w.DataRack) {
		c += remoteWeight
	}
	if h.ID == w.AvoidWorker {
		c += 2 * remoteWeight
	}
	return c
}

// usage returns the larger share of processor or memory in use, in units of scale.
func usage(h *Worker) int {
	cpu := usageScale - usageScale*h.Free.CPU/max(h.Capacity.CPU, 1)
	mem := usageScale - usageScale*h.Free.Mem/max(h.Capacity.Mem, 1)
	return max(cpu, mem)
}
