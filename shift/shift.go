// Package shift decides which hosts change their pool and which are maintained
// next. Its functions are pure.
package shift

import (
	"cmp"
	"math"
	"slices"
)

// Pool is a pool as the decision sees it.
type Pool struct {
	Name string
	// Standby tells that the pool's hosts are off and cost nothing.
	Standby bool
	// DemandCPU is the processor that running and waiting work asks for, in
	// thousandths of a core.
	DemandCPU int
	// MinHosts is the fewest hosts that the pool's lasting work needs.
	MinHosts int
	// ReserveHosts is the number of hosts that it needs besides.
	ReserveHosts int
	// Hosts are those in the pool, without those that leave it.
	Hosts []Host
	// Arriving is the number of hosts on their way into the pool.
	Arriving int
	// Excluded has the hosts that can't be part of the pool.
	Excluded map[string]bool
}

// Host is a host that may be given away.
type Host struct {
	Name string
	// CPU is what it holds, Used what runs on it, in thousandths of a core.
	CPU, Used int
	// LongRunning is the number of lasting subtasks on it.
	LongRunning int
}

// Move is a host that changes its pool.
type Move struct{ Host, From, To string }

// headroomFactor is the share by which a pool's hosts should exceed what is asked:
// large subtasks leave gaps.
const headroomFactor = 1.15

// HostsNeeded returns the number of hosts that a pool's work asks for.
func HostsNeeded(p *Pool, cpu int) int {
	if p.Standby {
		return 0
	}
	return max(p.MinHosts+p.ReserveHosts, int(math.Ceil(float64(p.DemandCPU)*headroomFactor/float64(max(cpu, 1)))))
}

// Moves returns the hosts that should change their pool.
//
// It answers queues that take turns: one pool is asked for several times its
// mean while the others stand nearly idle. Hosts come from standby first, then
// from the pools with the most to spare, idle ones before busy ones. Hosts that
// come count against what a pool lacks, never as something that it can spare.
func Moves(pools []Pool, cpu int) []Move {
	givers, takers := balances(pools, cpu)
	var out []Move
	for _, t := range takers {
		for _, g := range givers {
			for _, h := range movableHosts(g.pool) {
				if t.lack <= 0 || g.spare <= 0 {
					break
				}
				if hasMove(out, h.Name) || t.pool.Excluded[h.Name] {
					continue
				}
				out = append(out, Move{h.Name, g.pool.Name, t.pool.Name})
				t.lack--
				g.spare--
			}
		}
	}
	return out
}

// balance is what a pool has to spare or lacks.
type balance struct {
	pool        *Pool
	spare, lack int
}

// balances returns the pools with hosts to spare, and those that lack some.
func balances(pools []Pool, cpu int) (givers, takers []*balance) {
	for i := range pools {
		p := &pools[i]
		spare := Surplus(p, cpu)
		b := &balance{p, spare, -spare - p.Arriving}
		switch {
		case b.spare > 0:
			givers = append(givers, b)
		case b.lack > 0 && !p.Standby:
			takers = append(takers, b)
		}
	}
	slices.SortStableFunc(givers, func(a, b *balance) int {
		if a.pool.Standby != b.pool.Standby {
			if a.pool.Standby {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.spare, a.spare)
	})
	slices.SortStableFunc(takers, func(a, b *balance) int { return cmp.Compare(b.lack, a.lack) })
	return givers, takers
}

func hasMove(moves []Move, host string) bool {
	return slices.ContainsFunc(moves, func(m Move) bool { return m.Host == host })
}

// movableHosts returns the hosts that a pool may give away, the idlest first.
func movableHosts(p *Pool) []Host {
	out := slices.DeleteFunc(slices.Clone(p.Hosts), func(h Host) bool { return h.LongRunning > 0 })
	slices.SortStableFunc(out, func(a, b Host) int { return cmp.Compare(a.Used, b.Used) })
	return out
}

// DueHost is a host that waits for its maintenance.
type DueHost struct {
	Host
	Pool string
	// OnStandby tells that nothing runs there because the host is on standby.
	OnStandby bool
}

// MaintenanceLimit is what the maintenance may take from a pool now.
type MaintenanceLimit struct {
	// Spare is the number of hosts beyond those that the lasting work needs.
	Spare int
	// Idle is the number of hosts beyond those that all work asks for; the rest is
	// disturbed by the maintenance of any host, also of one that has just come.
	Idle int
	// LongRunning is the number of hosts with lasting subtasks that may be emptied at
	// once: their steps allow few to be away.
	LongRunning int
}

// NextMaintenance returns the hosts that should be maintained next, at most room of
// them, and takes them off the limits of their pools.
//
// It answers a wave that falls into a queue's turn: hosts on standby go first,
// then those of pools that can do without; pace is the number of others that must
// go now for the wave to be in time. Hosts with lasting work can only go one after the other in a
// pool, so they don't wait until the end of the wave.
func NextMaintenance(due []DueHost, room, pace int, limits map[string]*MaintenanceLimit) []DueHost {
	due = slices.Clone(due)
	slices.SortStableFunc(due, func(a, b DueHost) int {
		return cmp.Or(cmp.Compare(disturbance(&a, limits), disturbance(&b, limits)), cmp.Compare(a.Name, b.Name))
	})
	var out []DueHost
	for i := range due {
		d := &due[i]
		if len(out) >= room {
			break
		}
		if disturbance(d, limits) > 0 && d.LongRunning == 0 && len(out) >= pace {
			continue
		}
		if d.OnStandby || limits[d.Pool].reserve(d) {
			out = append(out, *d)
		}
	}
	return out
}

// reserve tells whether a host may go, and takes it off the limit.
func (l *MaintenanceLimit) reserve(d *DueHost) bool {
	if l == nil || l.Spare <= 0 || d.LongRunning > 0 && l.LongRunning <= 0 {
		return false
	}
	l.Spare--
	l.Idle--
	if d.LongRunning > 0 {
		l.LongRunning--
	}
	return true
}

// longRunningCost is what a lasting subtask on a host counts, in thousandths of a core.
const longRunningCost = 100_000

// disturbance is what the maintenance of a host disturbs now.
func disturbance(d *DueHost, limits map[string]*MaintenanceLimit) int {
	if d.OnStandby {
		return 0
	}
	n := d.Used + d.LongRunning*longRunningCost
	if l := limits[d.Pool]; l == nil || l.Idle <= 0 {
		n += d.CPU
	}
	return n
}
