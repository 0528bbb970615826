package shift

import "time"

const (
	// minSurplusTime is how long a pool must have had a surplus before its hosts go to
	// standby. It is a few rounds of the fleet controller: the peak of another pool
	// may begin at any moment, and hosts on standby can join that pool soonest.
	minSurplusTime = 600 * time.Millisecond
	// keptSurplus is the number of surplus hosts that a pool keeps: about what the
	// start of a peak asks for until another host has arrived.
	keptSurplus = 3
	// idleReleaseDelay is the time without any job after which hosts go to standby
	// although the demand is not known.
	idleReleaseDelay = 30 * time.Second
	// unknownDivisor divides a pool's hosts for those that stay until the demand is
	// known.
	unknownDivisor = 3
)

// HostsKept returns the number of hosts that a pool keeps until the demand is known:
// a third of the most that it has had.
//
// When the whole system starts, operators have given hosts to the pools and no queue
// has had a job. If all hosts went to standby then, the first queue in its turn would
// have none until they came back; if all stayed, they would be paid for in vain.
func HostsKept(most int) int { return divideUp(most, unknownDivisor) }

// DemandKnown tells whether all surplus hosts may go to standby: not before the inflow
// of jobs could be measured over a whole window. FirstJob is when a job that ends was
// first seen in any queue, or the zero time, and started when the decisions began.
func DemandKnown(now, started, firstJob time.Time) bool {
	if firstJob.IsZero() {
		return now.Sub(started) >= idleReleaseDelay
	}
	return now.Sub(firstJob) >= maxInflowWindow
}

// SurplusHistory has a pool's recent surplus of hosts.
type SurplusHistory struct {
	samples []sample // oldest first
}

type sample struct {
	at      time.Time
	surplus int
}

// Add records the present surplus.
func (s *SurplusHistory) Add(now time.Time, surplus int) {
	for len(s.samples) > 1 && now.Sub(s.samples[1].at) >= minSurplusTime {
		s.samples = s.samples[1:]
	}
	s.samples = append(s.samples, sample{now, surplus})
}

// Min returns the smallest surplus of the last minSurplusTime, but at least 0. It
// returns 0 if the history is shorter than that.
func (s *SurplusHistory) Min(now time.Time) int {
	if len(s.samples) == 0 || now.Sub(s.samples[0].at) < minSurplusTime {
		return 0
	}
	least := s.samples[0].surplus
	for _, v := range s.samples[1:] {
		least = min(least, v.surplus)
	}
	return max(least, 0)
}

// MovesToStandby returns the moves of surplus hosts to the standby pool. Cpu is the
// CPU of a host in thousandths of a core; minSurplus returns the least recent surplus
// of a pool.
//
// It serves the quiet time between the peaks of a queue. Hosts in other pools cost
// money, and a host on standby joins the next pool as fast as a host of another
// pool, without having to be emptied first.
func MovesToStandby(pools []Pool, cpu int, minSurplus func(pool string) int) []Move {
	var standby *Pool
	for i := range pools {
		if pools[i].Standby {
			standby = &pools[i]
			break
		}
	}
	if standby == nil {
		return nil
	}
	var out []Move
	for i := range pools {
		p := &pools[i]
		n := min(minSurplus(p.Name), len(p.Hosts)-HostsWanted(p, cpu)) - keptSurplus
		for _, h := range movableHosts(p) {
			if p.Standby || n <= 0 {
				break
			}
			if standby.Excluded[h.Name] {
				continue
			}
			out = append(out, Move{h.Name, p.Name, standby.Name})
			n--
		}
	}
	return out
}

// Surplus returns the number of hosts that a pool has beyond HostsNeeded, below 0 if
// it lacks some. Cpu is the CPU of a host in thousandths of a core.
func Surplus(p *Pool, cpu int) int { return len(p.Hosts) - HostsNeeded(p, cpu) }

// Shortage returns the number of hosts that a pool lacks beyond those that are
// arriving.
func Shortage(p *Pool, cpu int) int { return -Surplus(p, cpu) - p.Arriving }
