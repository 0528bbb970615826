package pack

const (
	// harmWeight is the cost of a pair that raises a tail latency by its whole bound. A pair
	// that isn't known is so taken for one that raises it by half.
	harmWeight = 2 * interferenceWeight
	// maxHarm limits the harm of a pair, so that the rack of the data takes precedence over one pair.
	maxHarm = 1.0
)

// interference returns the cost of placing a subtask beside the serving and filling ones on a
// worker.
//
// Images disturb each other by very different amounts. If all count alike, harmless ones are kept
// apart at the price of emptier workers, and where there is no room to keep all apart, harmful
// ones are placed together by chance.
func (d *Demand) interference(w *Worker) int {
	if d.Harm == nil {
		c := 0
		if d.Fills {
			c += w.Serving * interferenceWeight
		}
		if d.Serves {
			c += w.Filling * interferenceWeight
		}
		return c
	}
	if !d.Fills && !d.Serves {
		return 0
	}
	c := 0
	for _, n := range w.Neighbours {
		if n.Serves {
			c += d.harmCost(n.Image, d.Image, d.Fills)
		}
		if d.Serves {
			c += d.harmCost(d.Image, n.Image, n.Fills)
		}
	}
	return c
}

// harmCost returns the cost of a pair. Without knowledge, filling subtasks are taken to disturb,
// and serving ones not.
func (d *Demand) harmCost(victim, neighbour string, fills bool) int {
	harm, known := d.Harm(victim, neighbour)
	switch {
	case known:
		return int(harmWeight * min(harm, maxHarm))
	case fills:
		return interferenceWeight
	default:
		return 0
	}
}
