package owner

import (
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/shift"
)

// largestKept is how long the largest capacity counts after the last worker that had it has
// gone or shrunk. A worker that restarts is back by then.
const largestKept = 10 * time.Second

// largestCapacity is the largest capacity of a worker, for each resource.
type largestCapacity struct {
	hosts.Resources
	// seenAt is when a worker last had it: the CPU, memory and GPUs.
	seenAt [3]time.Time
}

// secondLargest returns the second largest capacity of the registered workers that have
// answered, for each resource. During the takeover, when few have, it counts all.
func (o *Owner) secondLargest() hosts.Resources {
	var first, second hosts.Resources
	for _, h := range o.hosts {
		if h.listed && (h.answered || !o.takeoverDone) {
			c := h.worker.Capacity
			insert(&first.CPU, &second.CPU, c.CPU)
			insert(&first.Mem, &second.Mem, c.Mem)
			insert(&first.GPU, &second.GPU, c.GPU)
		}
	}
	return second
}

// insert updates the two largest values by a further one.
func insert(first, second *int, v int) {
	if v > *first {
		v, *first = *first, v
	}
	*second = max(*second, v)
}

// soundCapacity returns a worker's registered capacity, or the largest one of the others where
// it is far beyond that.
func soundCapacity(registered, others hosts.Resources) hosts.Resources {
	bound := func(v, other int) int {
		if other > 0 && v/shift.OddFactor > other {
			return other
		}
		return v
	}
	return hosts.Resources{CPU: bound(registered.CPU, others.CPU), Mem: bound(registered.Mem, others.Mem), GPU: bound(registered.GPU, others.GPU)}
}

// updateLargest updates the largest capacity of a worker from those that have answered. It
// stays if there are none.
func (o *Owner) updateLargest(now time.Time) {
	var most hosts.Resources
	others := o.secondLargest()
	for _, h := range o.hosts {
		if h.answered {
			c := soundCapacity(h.worker.Capacity, others)
			most = hosts.Resources{CPU: max(most.CPU, c.CPU), Mem: max(most.Mem, c.Mem), GPU: max(most.GPU, c.GPU)}
		}
	}
	if most == (hosts.Resources{}) {
		o.largest.seenAt = [3]time.Time{now, now, now}
		return
	}
	for i, r := range []struct{ kept, most *int }{{&o.largest.CPU, &most.CPU}, {&o.largest.Mem, &most.Mem}, {&o.largest.GPU, &most.GPU}} {
		if *r.most >= *r.kept || now.Sub(o.largest.seenAt[i]) >= largestKept {
			*r.kept, o.largest.seenAt[i] = *r.most, now
		}
	}
}
