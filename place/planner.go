package place

import "shallotpaddle/table"

// Planner chooses hosts for pools so that each pool is spread over racks and
// data centres. Load reuses the planner's memory.
type Planner struct {
	t         *table.Tables
	rackIndex map[string]int32
	dcIndex   map[string]int32
	// rackOf and dcOf number the rack and the data centre of each host.
	rackOf, dcOf []int32
	// rackCounts and dcCounts count the hosts of each pool by rack and by data
	// centre: one row for each pool, one column for each rack or data centre.
	rackCounts, dcCounts []int32
}

// NewPlanner returns an empty planner.
func NewPlanner() *Planner {
	return &Planner{rackIndex: map[string]int32{}, dcIndex: map[string]int32{}}
}

// Load counts the hosts of every pool by rack and data centre. A marked host
// counts for the pool that it is being moved to.
func (p *Planner) Load(t *table.Tables) {
	p.t = t
	p.rackOf, p.dcOf = p.rackOf[:0], p.dcOf[:0]
	for id := range table.HostID(t.Hosts()) {
		h := t.Host(id)
		p.rackOf = append(p.rackOf, indexOf(p.rackIndex, h.Rack()))
		p.dcOf = append(p.dcOf, indexOf(p.dcIndex, h.DC()))
	}
	p.rackCounts = zeroed(p.rackCounts, t.Pools()*len(p.rackIndex))
	p.dcCounts = zeroed(p.dcCounts, t.Pools()*len(p.dcIndex))
	for id := range table.HostID(t.Hosts()) {
		h := t.Host(id)
		if h.MoveTarget() != table.None {
			p.Add(id, h.MoveTarget())
		} else if h.Pool() != table.None {
			p.Add(id, h.Pool())
		}
	}
}

// indexOf returns the index of a name; a new name gets the next one.
func indexOf(ids map[string]int32, name string) int32 {
	id, ok := ids[name]
	if !ok {
		id = int32(len(ids))
		ids[name] = id
	}
	return id
}

// zeroed returns a slice of n zeros, in the memory of s if that is large enough.
func zeroed(s []int32, n int) []int32 {
	if cap(s) < n {
		return make([]int32, n)
	}
	s = s[:n]
	clear(s)
	return s
}

// Add counts a host for a pool, in addition to the hosts that Load counted.
func (p *Planner) Add(id table.HostID, pool table.PoolID) {
	p.rackCounts[int(pool)*len(p.rackIndex)+int(p.rackOf[id])]++
	p.dcCounts[int(pool)*len(p.dcIndex)+int(p.dcOf[id])]++
}

func (p *Planner) rackCount(id table.HostID, pool table.PoolID) int32 {
	if pool == table.None {
		return 0
	}
	return p.rackCounts[int(pool)*len(p.rackIndex)+int(p.rackOf[id])]
}

func (p *Planner) dcCount(id table.HostID, pool table.PoolID) int32 {
	if pool == table.None {
		return 0
	}
	return p.dcCounts[int(pool)*len(p.dcIndex)+int(p.dcOf[id])]
}

// Better tells whether host a suits the pool better than host b, which may be
// None. It prefers, in this order, the host in whose rack the pool has fewer
// hosts; in whose data centre the pool has fewer hosts; in whose rack the host's
// present pool has more hosts; with less work in flight; and with the lesser
// name, so that every entry makes the same choice.
func (p *Planner) Better(a, b table.HostID, pool table.PoolID) bool {
	if b == table.None {
		return true
	}
	if x, y := p.rackCount(a, pool), p.rackCount(b, pool); x != y {
		return x < y
	}
	if x, y := p.dcCount(a, pool), p.dcCount(b, pool); x != y {
		return x < y
	}
	ha, hb := p.t.Host(a), p.t.Host(b)
	if x, y := p.rackCount(a, ha.Pool()), p.rackCount(b, hb.Pool()); x != y {
		return x > y
	}
	if ha.BusySlots() != hb.BusySlots() {
		return ha.BusySlots() < hb.BusySlots()
	}
	return ha.Name() < hb.Name()
}
