package shift

import "time"

const (
	// minSurplusTime is how long a pool must have had hosts to spare before they go to
	// standby: a few rounds of the steward, as the turn of another pool may begin
	// any moment and hosts that are off are nearest to it.
	minSurplusTime = 600 * time.Millisecond
	// keptSurplus is the number of hosts that a pool keeps beyond its need: what a turn
	// asks for in the time that a host needs to come.
	keptSurplus = 3
)

// SurplusHistory remembers how many hosts a pool could spare lately.
type SurplusHistory struct {
	samples []sample
}

type sample struct {
	at    time.Time
	spare int
}

// Add takes in how many hosts can be spared now.
func (c *SurplusHistory) Add(now time.Time, spare int) {
	for len(c.samples) > 1 && now.Sub(c.samples[1].at) >= minSurplusTime {
		c.samples = c.samples[1:]
	}
	c.samples = append(c.samples, sample{now, spare})
}

// Min returns how many hosts could be spared all the time, 0 if that is not
// known for long enough.
func (c *SurplusHistory) Min(now time.Time) int {
	if len(c.samples) == 0 || now.Sub(c.samples[0].at) < minSurplusTime {
		return 0
	}
	least := c.samples[0].spare
	for _, s := range c.samples[1:] {
		least = min(least, s.spare)
	}
	return max(least, 0)
}

// MovesToStandby returns the hosts that should go to standby, given how many each pool
// could spare lately.
//
// It answers the quiet time between two turns of a queue: hosts in pools are paid
// for, and one on standby is as near to the next pool as one in the last, and has
// not to be emptied first.
func MovesToStandby(pools []Pool, cpu int, calm func(pool string) int) []Move {
	var off *Pool
	for i := range pools {
		if pools[i].Standby {
			off = &pools[i]
			break
		}
	}
	if off == nil {
		return nil
	}
	var out []Move
	for i := range pools {
		p := &pools[i]
		n := min(calm(p.Name), Surplus(p, cpu)) - keptSurplus
		for _, h := range movableHosts(p) {
			if p.Standby || n <= 0 {
				break
			}
			if off.Excluded[h.Name] {
				continue
			}
			out = append(out, Move{h.Name, p.Name, off.Name})
			n--
		}
	}
	return out
}

// Surplus returns the number of hosts that a pool has beyond its need, below 0 if
// it lacks some.
func Surplus(p *Pool, cpu int) int { return len(p.Hosts) - HostsNeeded(p, cpu) }
