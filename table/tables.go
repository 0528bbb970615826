package table

import (
	"cmp"
	"slices"
	"time"
)

// Pool is one row of the pool table.
type Pool struct {
	spec PoolSpec
	// hosts are the rows whose pool is this one, ascending.
	hosts []HostID
	// outOfService counts the hosts of the pool with OutOfService() true.
	outOfService int
	// owned tells that this entry carries the pool's duties now. It saves
	// repeated work; it is no guarantee that no other entry acts.
	owned bool
	// demand is the number of slots wanted by running and waiting work of the
	// pool, smoothed over DemandWindow, all entries together.
	demand float64
	// lateFor is the time for which the pool's predicted queue delay has exceeded
	// its queues' targets without a break; zero when it does not.
	lateFor time.Duration
}

// Spec returns the pool's declaration.
func (p *Pool) Spec() *PoolSpec { return &p.spec }

// Hosts returns the rows of the pool's hosts; the caller must not change it.
func (p *Pool) Hosts() []HostID { return p.hosts }

// OutOfService returns the number of hosts that count against the availability budget.
func (p *Pool) OutOfService() int { return p.outOfService }

// Owned tells whether this entry carries the pool's duties now.
func (p *Pool) Owned() bool { return p.owned }

// Demand returns the slots wanted, smoothed.
func (p *Pool) Demand() float64 { return p.demand }

// LateFor returns for how long the pool's queue delay has exceeded its targets.
func (p *Pool) LateFor() time.Duration { return p.lateFor }

// Tables holds all rows. It belongs to one goroutine.
type Tables struct {
	config    *Config
	pools     []Pool
	hosts     []Host
	poolIndex map[string]PoolID
	hostIndex map[string]HostID
}

// New returns empty tables.
func New() *Tables {
	t := &Tables{hostIndex: map[string]HostID{}}
	t.SetConfig(&Config{})
	return t
}

// Config returns the configuration in force.
func (t *Tables) Config() *Config { return t.config }

// Pools returns the number of pools; rows are 0 to Pools()-1, in name order.
func (t *Tables) Pools() int { return len(t.pools) }

// Pool returns a row; it is valid until the next SetConfig.
func (t *Tables) Pool(id PoolID) *Pool { return &t.pools[id] }

// PoolByName returns a row number, or None.
func (t *Tables) PoolByName(name string) PoolID {
	if id, ok := t.poolIndex[name]; ok {
		return id
	}
	return None
}

// Hosts returns the number of hosts; rows are 0 to Hosts()-1.
func (t *Tables) Hosts() int { return len(t.hosts) }

// Host returns a row; it is valid until the next Upsert.
func (t *Tables) Host(id HostID) *Host { return &t.hosts[id] }

// HostByName returns a row number, or None.
func (t *Tables) HostByName(name string) HostID {
	if id, ok := t.hostIndex[name]; ok {
		return id
	}
	return None
}

// SetConfig installs a configuration. Hosts of withdrawn pools lose their pool.
func (t *Tables) SetConfig(c *Config) {
	names := make([]string, len(t.hosts))
	nexts := make([]string, len(t.hosts))
	outs := make([]string, len(t.hosts))
	for i := range t.hosts {
		names[i], nexts[i] = t.poolName(t.hosts[i].pool), t.poolName(t.hosts[i].moveTarget)
		outs[i] = t.poolName(t.hosts[i].outagePool)
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
		t.hosts[i].pool, t.hosts[i].moveTarget = t.PoolByName(names[i]), t.PoolByName(nexts[i])
		t.hosts[i].outagePool = t.PoolByName(outs[i])
	}
	t.Reindex()
}

func (t *Tables) poolName(id PoolID) string {
	if id == None {
		return ""
	}
	return t.pools[id].spec.Name
}

// Upsert returns the row of a host, adding one without a pool when it is new.
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

// SetPlacement records the host's pool and the pool a move leads to.
func (t *Tables) SetPlacement(id HostID, pool, next PoolID) {
	t.hosts[id].pool, t.hosts[id].moveTarget = pool, next
}

// SetLastMaintained records the end of the host's last completed maintenance.
func (t *Tables) SetLastMaintained(id HostID, at time.Time) { t.hosts[id].lastMaintained = at }

// SetDrainAcked records whether every entry knows that the host is leaving its pool.
func (t *Tables) SetDrainAcked(id HostID, acked bool) { t.hosts[id].drainAcked = acked }

// SetOutage mirrors the outage document's word on a host.
func (t *Tables) SetOutage(id HostID, r Reason, p Phase, since time.Time, boot string) {
	h := &t.hosts[id]
	h.reason, h.phase, h.outageSince, h.outageBootID = r, p, since, boot
}

// SetOutagePool records the pool whose outage document holds the host's record, or
// None. It is set together with SetOutage.
func (t *Tables) SetOutagePool(id HostID, pool PoolID) { t.hosts[id].outagePool = pool }

// SetListing records the platform's word on a host.
func (t *Tables) SetListing(id HostID, l Listing) { t.hosts[id].listing = l }

// SetProbeResult records the answer to a probe; boot is empty when there was none.
func (t *Tables) SetProbeResult(id HostID, ok bool, at time.Time, boot string, slots, busy int) {
	h := &t.hosts[id]
	h.healthy, h.lastProbed = ok, at
	if !ok {
		return
	}
	if boot != h.bootID {
		h.succeeded, h.failed = 0, 0
	}
	h.lastSeen, h.bootID, h.slots, h.busySlots = at, boot, slots, busy
}

// AddTaskOutcomes decays the host's counts of task ends by keep, between 0 and 1,
// and adds new ones.
func (t *Tables) AddTaskOutcomes(id HostID, keep, good, bad float64) {
	h := &t.hosts[id]
	h.succeeded, h.failed = h.succeeded*keep+good, h.failed*keep+bad
}

// SetOwned records whether this entry carries the pool's duties.
func (t *Tables) SetOwned(id PoolID, owned bool) { t.pools[id].owned = owned }

// SetDemand records the pool's smoothed demand in slots and for how long its
// queue delay has exceeded the targets.
func (t *Tables) SetDemand(id PoolID, slots float64, late time.Duration) {
	t.pools[id].demand, t.pools[id].lateFor = slots, late
}

// Reindex recomputes the pools' host lists and outage counts after changes to
// host rows. It allocates nothing once the lists have grown.
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

// SortByName sorts the four lists of a configuration.
func (c *Config) SortByName() {
	slices.SortFunc(c.Pools, func(a, b PoolSpec) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Queues, func(a, b QueueSpec) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Customers, func(a, b CustomerSpec) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Jobs, func(a, b JobSpec) int { return cmp.Compare(a.Name, b.Name) })
}
