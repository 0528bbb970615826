package table

import (
	"cmp"
	"slices"
	"time"
)

// Pool is one row of the pool table.
type Pool struct {
	spec PoolSpec
	// hosts are the hosts of the pool, in ascending order.
	hosts []HostID
	// outOfService is the number of hosts of the pool that are out of service.
	outOfService int
	// owned is true if this entry currently owns the pool, that is, decides on its
	// changes. It avoids duplicate work only: another entry may act for the pool at
	// the same time.
	owned bool
	// demand is the number of slots that the pool's running and waiting work needs,
	// in all entries together, as a moving average.
	demand float64
	// lateFor is the time for which the predicted delay of the pool's queues has
	// exceeded their targets without interruption; zero if it does not.
	lateFor time.Duration
}

// Spec returns the pool's declaration in the configuration.
func (p *Pool) Spec() *PoolSpec { return &p.spec }

// Hosts returns the pool's hosts in ascending order. The caller must not change the
// slice.
func (p *Pool) Hosts() []HostID { return p.hosts }

// OutOfService returns the number of the pool's hosts that are out of service, so that
// they count against its availability budget.
func (p *Pool) OutOfService() int { return p.outOfService }

// Owned tells whether this entry currently owns the pool.
func (p *Pool) Owned() bool { return p.owned }

// Demand returns the number of slots that the pool's work needs, as a moving average
// over time, for all entries together.
func (p *Pool) Demand() float64 { return p.demand }

// LateFor returns for how long the predicted delay of the pool's queues has exceeded
// their targets.
func (p *Pool) LateFor() time.Duration { return p.lateFor }

// Tables holds the configuration and the tables of pools and hosts. It must be used
// by one goroutine only.
type Tables struct {
	config    *Config
	pools     []Pool
	hosts     []Host
	poolIndex map[string]PoolID
	hostIndex map[string]HostID
}

// New returns empty tables with an empty configuration.
func New() *Tables {
	t := &Tables{hostIndex: map[string]HostID{}}
	t.SetConfig(&Config{})
	return t
}

// Config returns the configuration in force.
func (t *Tables) Config() *Config { return t.config }

// Pools returns the number of pools; rows are 0 to Pools()-1, in name order.
func (t *Tables) Pools() int { return len(t.pools) }

// Pool returns a pool. The pointer is valid until the next SetConfig.
func (t *Tables) Pool(id PoolID) *Pool { return &t.pools[id] }

// PoolByName returns the pool with a name, or None.
func (t *Tables) PoolByName(name string) PoolID {
	if id, ok := t.poolIndex[name]; ok {
		return id
	}
	return None
}

// Hosts returns the number of hosts; rows are 0 to Hosts()-1.
func (t *Tables) Hosts() int { return len(t.hosts) }

// Host returns a host. The pointer is valid until the next Upsert.
func (t *Tables) Host(id HostID) *Host { return &t.hosts[id] }

// HostByName returns the host with a name, or None.
func (t *Tables) HostByName(name string) HostID {
	if id, ok := t.hostIndex[name]; ok {
		return id
	}
	return None
}

// SetConfig sets the configuration in force. Pools that it still has keep their
// state; hosts of other pools are left without a pool.
func (t *Tables) SetConfig(c *Config) {
	pools := make([]string, len(t.hosts))
	moveTargets := make([]string, len(t.hosts))
	outagePools := make([]string, len(t.hosts))
	for i := range t.hosts {
		pools[i], moveTargets[i] = t.poolName(t.hosts[i].pool), t.poolName(t.hosts[i].moveTarget)
		outagePools[i] = t.poolName(t.hosts[i].outagePool)
	}
	old := t.pools
	t.config = c
	t.pools = make([]Pool, len(c.Pools))
	t.poolIndex = make(map[string]PoolID, len(c.Pools))
	for i, spec := range c.Pools {
		t.pools[i].spec = spec
		t.poolIndex[spec.Name] = PoolID(i)
	}
	for i := range old {
		if id := t.PoolByName(old[i].spec.Name); id != None {
			p := &t.pools[id]
			p.owned, p.demand, p.lateFor = old[i].owned, old[i].demand, old[i].lateFor
		}
	}
	for i := range t.hosts {
		t.hosts[i].pool, t.hosts[i].moveTarget = t.PoolByName(pools[i]), t.PoolByName(moveTargets[i])
		t.hosts[i].outagePool = t.PoolByName(outagePools[i])
	}
	t.Reindex()
}

func (t *Tables) poolName(id PoolID) string {
	if id == None {
		return ""
	}
	return t.pools[id].spec.Name
}

// Upsert sets the data centre, rack and address of a host and returns its row. A new
// host is added without a pool.
func (t *Tables) Upsert(name, dc, rack, addr string) HostID {
	if id, ok := t.hostIndex[name]; ok {
		h := &t.hosts[id]
		h.dc, h.rack, h.addr = dc, rack, addr
		return id
	}
	id := HostID(len(t.hosts))
	t.hosts = append(t.hosts, Host{
		name: name, dc: dc, rack: rack, addr: addr, pool: None, moveTarget: None, outagePool: None, slots: WorkerSlots,
	})
	t.hostIndex[name] = id
	return id
}

// SetPlacement sets the host's pool and the pool that it is being moved to.
func (t *Tables) SetPlacement(id HostID, pool, moveTarget PoolID) {
	t.hosts[id].pool, t.hosts[id].moveTarget = pool, moveTarget
}

// SetLastMaintained sets the end of the host's last completed maintenance.
func (t *Tables) SetLastMaintained(id HostID, at time.Time) { t.hosts[id].lastMaintained = at }

// SetDrainAcked sets whether every entry has acknowledged that the host is closed to
// new work and has no work left on it.
func (t *Tables) SetDrainAcked(id HostID, acked bool) { t.hosts[id].drainAcked = acked }

// SetOutage sets the host's outage as recorded in an outage document.
func (t *Tables) SetOutage(id HostID, r Reason, p Phase, since time.Time, bootID string) {
	h := &t.hosts[id]
	h.reason, h.phase, h.outageSince, h.outageBootID = r, p, since, bootID
}

// SetOutagePool sets the pool whose outage document has the host's record, or None.
// It must be called together with SetOutage.
func (t *Tables) SetOutagePool(id HostID, pool PoolID) { t.hosts[id].outagePool = pool }

// SetListing sets the state of the host in the platform's list.
func (t *Tables) SetListing(id HostID, l Listing) { t.hosts[id].listing = l }

// SetProbeResult records the result of a probe. If it failed, bootID, slots and
// busySlots are ignored. A new boot id resets the counts of ended tasks.
func (t *Tables) SetProbeResult(id HostID, ok bool, at time.Time, bootID string, slots, busySlots int) {
	h := &t.hosts[id]
	h.healthy, h.lastProbed = ok, at
	if !ok {
		return
	}
	if bootID != h.bootID {
		h.succeeded, h.failed = 0, 0
	}
	h.lastSeen, h.bootID, h.slots, h.busySlots = at, bootID, slots, busySlots
}

// AddTaskOutcomes multiplies the host's counts of ended tasks by keep, between 0 and
// 1, and then adds the numbers of tasks that succeeded and failed.
func (t *Tables) AddTaskOutcomes(id HostID, keep, succeeded, failed float64) {
	h := &t.hosts[id]
	h.succeeded, h.failed = h.succeeded*keep+succeeded, h.failed*keep+failed
}

// SetOwned sets whether this entry owns the pool.
func (t *Tables) SetOwned(id PoolID, owned bool) { t.pools[id].owned = owned }

// SetDemand sets the pool's demand in slots, as a moving average, and for how long the
// predicted delay of its queues has exceeded their targets.
func (t *Tables) SetDemand(id PoolID, slots float64, lateFor time.Duration) {
	t.pools[id].demand, t.pools[id].lateFor = slots, lateFor
}

// Reindex recomputes the host lists of the pools and their numbers of hosts out of
// service. It must be called after changes to hosts. It allocates nothing once the
// lists have grown.
func (t *Tables) Reindex() {
	for i := range t.pools {
		t.pools[i].hosts, t.pools[i].outOfService = t.pools[i].hosts[:0], 0
	}
	for i := range t.hosts {
		h := &t.hosts[i]
		if h.pool == None {
			continue
		}
		p := &t.pools[h.pool]
		p.hosts = append(p.hosts, HostID(i))
		if h.OutOfService() {
			p.outOfService++
		}
	}
}

// SortByName sorts each list of the configuration by name.
func (c *Config) SortByName() {
	slices.SortFunc(c.Pools, func(a, b PoolSpec) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Queues, func(a, b QueueSpec) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Customers, func(a, b CustomerSpec) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Jobs, func(a, b JobSpec) int { return cmp.Compare(a.Name, b.Name) })
}
