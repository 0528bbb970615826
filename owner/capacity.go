package owner

import (
	"time"

	"shallotpaddle/hosts"
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

// updateLargest updates the largest capacity of a worker from those that have answered. It
// stays if there are none.
func (o *Owner) updateLargest(now time.Time) {
	var most hosts.Resources
	for _, h := range o.hosts {
		if h.answered {
			c := h.worker.Capacity
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
