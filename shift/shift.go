// Package shift decides which hosts move to another pool and which are maintained
// next. Its functions do no I/O and don't read the clock.
package shift

import (
	"cmp"
	"math"
	"slices"
)

// Pool is the state of a pool on which decisions are based.
type Pool struct {
	Name string
	// Standby tells that the pool's hosts are switched off and cost nothing.
	Standby bool
	Demand  Demand
	// MinHosts is the least number of hosts for the pool's long-running subtasks.
	MinHosts int
	// ReserveHosts is the number of hosts that the pool needs in addition to MinHosts.
	ReserveHosts int
	// Hosts are the hosts in the pool, without those that are about to leave it.
	Hosts []Host
	// Arriving is the number of hosts that are on their way into the pool.
	Arriving int
	// Excluded has the names of hosts that can't join the pool.
	Excluded map[string]bool
}

// Host is a host of a pool.
type Host struct {
	Name string
	// CPU is the host's capacity, Used what its subtasks use, in thousandths of a core.
	CPU, Used int
	// LongRunning is the number of long-running subtasks on the host.
	LongRunning int
}

// Move is the move of a host to another pool.
type Move struct{ Host, From, To string }

// headroomFactor is the factor by which a pool's CPU should exceed the demand, as
// large subtasks leave gaps on hosts.
const headroomFactor = 1.15

// HostsNeeded returns the number of hosts that a pool needs without its deferrable
// work, 0 for a standby pool. Cpu is the CPU of a host in thousandths of a core.
func HostsNeeded(p *Pool, cpu int) int { return p.hostsFor(p.Demand.CPU, cpu) }

// HostsWanted returns the number of hosts that a pool needs for all of its work, 0 for
// a standby pool. Cpu is the CPU of a host in thousandths of a core.
func HostsWanted(p *Pool, cpu int) int {
	return p.hostsFor(p.Demand.CPU+p.Demand.DeferrableCPU, cpu)
}

// hostsFor returns the number of hosts for a demand.
func (p *Pool) hostsFor(demand, cpu int) int {
	if p.Standby {
		return 0
	}
	return max(p.MinHosts+p.ReserveHosts, int(math.Ceil(float64(demand)*headroomFactor/float64(max(cpu, 1)))))
}

// Moves returns the moves of surplus hosts to pools that lack hosts. Cpu is the CPU
// of a host in thousandths of a core.
//
// Queues have their peaks at different times: one pool is asked for several times
// its mean demand while the others are nearly idle. Hosts come from standby first,
// then from the pools with the largest surplus, idle hosts before busy ones. Hosts
// that are arriving reduce a pool's shortage but never add to its surplus.
//
// After an overload, pools lack hosts for deferrable work. Such work gives its hosts up
// to pools that need them, and gets those that are left.
func Moves(pools []Pool, cpu int) []Move {
	needed, wanted := make([]balance, len(pools)), make([]balance, len(pools))
	deferrable := false
	for i := range pools {
		p := &pools[i]
		needed[i] = balance{p, Surplus(p, cpu), Shortage(p, cpu)}
		surplus := len(p.Hosts) - HostsWanted(p, cpu)
		wanted[i] = balance{p, surplus, -surplus - p.Arriving}
		deferrable = deferrable || p.Demand.DeferrableCPU > 0
	}
	// Hosts that no work wants go before those with deferrable work.
	out := assign(nil, wanted, needed)
	if !deferrable {
		return out
	}
	out = assign(out, needed, needed)
	return assign(out, wanted, wanted)
}

// balance is the number of hosts that a pool has beyond its need or lacks.
type balance struct {
	pool              *Pool
	surplus, shortage int
}

// assign adds moves of hosts from pools with a surplus to pools with a shortage.
func assign(moves []Move, surplus, shortage []balance) []Move {
	donors, receivers := donorsOf(surplus, moves), receiversOf(shortage, moves)
	for _, r := range receivers {
		for _, d := range donors {
			for _, h := range movableHosts(d.pool) {
				if r.shortage <= 0 || d.surplus <= 0 {
					break
				}
				if hasMove(moves, h.Name) || r.pool.Excluded[h.Name] {
					continue
				}
				moves = append(moves, Move{h.Name, d.pool.Name, r.pool.Name})
				r.shortage--
				d.surplus--
			}
		}
	}
	return moves
}

// donorsOf returns the pools that have surplus hosts after moves, standby first and
// then by surplus.
func donorsOf(list []balance, moves []Move) []*balance {
	var out []*balance
	for _, b := range list {
		for _, m := range moves {
			if m.From == b.pool.Name {
				b.surplus--
			}
		}
		if b.surplus > 0 {
			out = append(out, &b)
		}
	}
	slices.SortStableFunc(out, func(a, b *balance) int {
		if a.pool.Standby != b.pool.Standby {
			if a.pool.Standby {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.surplus, a.surplus)
	})
	return out
}

// receiversOf returns the pools that lack hosts after moves, by shortage.
func receiversOf(list []balance, moves []Move) []*balance {
	var out []*balance
	for _, b := range list {
		for _, m := range moves {
			if m.To == b.pool.Name {
				b.shortage--
			}
		}
		if b.shortage > 0 && !b.pool.Standby {
			out = append(out, &b)
		}
	}
	slices.SortStableFunc(out, func(a, b *balance) int { return cmp.Compare(b.shortage, a.shortage) })
	return out
}

func hasMove(moves []Move, host string) bool {
	return slices.ContainsFunc(moves, func(m Move) bool { return m.Host == host })
}

// movableHosts returns a pool's hosts without long-running subtasks, the least busy
// first.
func movableHosts(p *Pool) []Host {
	out := slices.DeleteFunc(slices.Clone(p.Hosts), func(h Host) bool { return h.LongRunning > 0 })
	slices.SortStableFunc(out, func(a, b Host) int { return cmp.Compare(a.Used, b.Used) })
	return out
}

// DueHost is a host that is due for maintenance.
type DueHost struct {
	Host
	Pool string
	// OnStandby tells that nothing runs on the host because it is on standby.
	OnStandby bool
}

// MaintenanceLimit limits the hosts of a pool that maintenance may take now.
type MaintenanceLimit struct {
	// Spare is the number of hosts beyond those that long-running subtasks need.
	Spare int
	// Idle is the number of hosts beyond HostsNeeded. Without such hosts the
	// maintenance of any host disturbs work, even of one that has just arrived.
	Idle int
	// LongRunning is the number of hosts with long-running subtasks that may be
	// emptied at once, as their steps allow few subtasks to be unavailable.
	LongRunning int
}

// NextMaintenance returns the hosts to maintain next, at most slots of them, and
// subtracts them from the limits of their pools. Required is the number of hosts
// that must go now for the wave to end in time.
//
// A wave may fall into the peak of a queue: hosts on standby go first, then hosts
// of pools with idle hosts, and busy hosts only as far as required. Hosts with
// long-running subtasks may go even if not required: in a pool they can only go one
// after the other, so they must not wait until the end of the wave.
func NextMaintenance(due []DueHost, slots, required int, limits map[string]*MaintenanceLimit) []DueHost {
	due = slices.Clone(due)
	slices.SortStableFunc(due, func(a, b DueHost) int {
		return cmp.Or(cmp.Compare(disturbance(&a, limits), disturbance(&b, limits)), cmp.Compare(a.Name, b.Name))
	})
	var out []DueHost
	for i := range due {
		d := &due[i]
		if len(out) >= slots {
			break
		}
		if disturbance(d, limits) > 0 && d.LongRunning == 0 && len(out) >= required {
			continue
		}
		if d.OnStandby || limits[d.Pool].reserve(d) {
			out = append(out, *d)
		}
	}
	return out
}

// reserve tells whether a host may go now, and if so subtracts it from the limit.
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

// longRunningCost is the cost of interrupting a long-running subtask, in thousandths
// of a core.
const longRunningCost = 100_000

// disturbance returns the cost of maintaining a host now, in thousandths of a core.
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
