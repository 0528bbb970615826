// Package pack decides which waiting subtask starts first and on which worker.
// Its functions are pure.
package pack

import (
	"slices"

	"shallotpaddle/hosts"
)

// Host is a worker that may take a subtask.
type Host struct {
	ID     string
	Labels []string
	Rack   string
	Room   hosts.Resources
	Free   hosts.Resources
	// Due tells that the worker will have to be emptied soon.
	Due bool
	// Sick tells that subtasks lately failed there without end.
	Sick bool
	// Serving and Filling are the numbers of subtasks with users of their own, and
	// of those that use what others leave.
	Serving, Filling int
	// Lasting is the number of subtasks that run until their job is cancelled.
	Lasting int
}

// Want is what a subtask demands.
type Want struct {
	Room hosts.Resources
	// Fills takes what others leave: processor is not counted. Serves has users of
	// its own.
	Fills, Serves bool
	Label         string
	Rack          string
	// Lasts marks subtasks that run until their job is cancelled.
	Lasts bool
	// PerHost is the most subtasks of the step on one worker; 0 is no limit.
	PerHost int
	// Avoid is the worker on which the subtask failed last.
	Avoid string
	// May tells which workers may run the subtask; nil stands for all of them.
	May func(id string) bool
}

// admits tells whether a worker may run the subtask, now or later.
func (w *Want) admits(h *Host) bool {
	return !h.Sick && (w.Label == "" || slices.Contains(h.Labels, w.Label)) && (w.May == nil || w.May(h.ID))
}

// Fits tells whether a host has room for a demand now.
func (h *Host) Fits(w *Want) bool {
	if !w.Fills && w.Room.CPU > h.Free.CPU {
		return false
	}
	return w.Room.Mem <= h.Free.Mem && w.Room.GPU <= h.Free.GPU
}

// Take reserves room on a host.
func (h *Host) Take(w *Want) {
	if !w.Fills {
		h.Free.CPU -= w.Room.CPU
	}
	h.Free.Mem -= w.Room.Mem
	h.Free.GPU -= w.Room.GPU
	if w.Fills {
		h.Filling++
	}
	if w.Serves {
		h.Serving++
	}
	if w.Lasts {
		h.Lasting++
	}
}

// Weights of the preferences between workers that fit, of which each goes
// before all below it.
const (
	remoteWeight = 1 << 12 // away from the data's rack; twice that where it failed
	harmWeight   = 1 << 10 // a subtask that serves, or fills, beside one of the other kind
	spreadWeight = 1 << 9  // a lasting subtask of the same step
	openWeight   = 1 << 8  // the first lasting subtask on a worker
	scale        = 1 << 7  // resolution of the share of a worker that is in use
)

// Choose returns the index of the worker that a subtask should run on, or -1.
// Count returns how many subtasks of its step a worker has.
//
// It answers queues that take turns: data's rack first, then the fullest worker
// with room, so that the others empty as a turn ends and can go where the next one
// begins. Subtasks that fill keep away from those that serve users of their own.
// Lasting ones of a step are spread, those of different steps share workers.
func Choose(w *Want, all []Host, count func(i int) int) int {
	best, cost := -1, 0
	for i := range all {
		h := &all[i]
		if !h.Fits(w) || !w.admits(h) {
			continue
		}
		n := count(i)
		if w.PerHost > 0 && n >= w.PerHost {
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
func (w *Want) cost(h *Host, n int) int {
	c := scale - used(h)
	if w.Lasts {
		c = used(h) + n*spreadWeight
		if h.Due {
			c += spreadWeight
		}
		if h.Lasting == 0 {
			c += openWeight
		}
	}
	if w.Fills {
		c += h.Serving * harmWeight
	}
	if w.Serves {
		c += h.Filling * harmWeight
	}
	if w.Rack != "" && !slices.Contains(h.Labels, w.Rack) {
		c += remoteWeight
	}
	if h.ID == w.Avoid {
		c += 2 * remoteWeight
	}
	return c
}

// used returns the larger share of processor or memory in use, in units of scale.
func used(h *Host) int {
	cpu := scale - scale*h.Free.CPU/max(h.Room.CPU, 1)
	mem := scale - scale*h.Free.Mem/max(h.Room.Mem, 1)
	return max(cpu, mem)
}
