package table

import "time"

// Throttle limits how often a system asks for the same change of a host or makes the
// same report on a pool. Without it, a system would ask for a change again in every
// tick until the change takes effect.
type Throttle struct {
	interval time.Duration
	hosts    []lastChange
	pools    []lastChange
}

type lastChange struct {
	at   time.Time
	kind ChangeKind
	set  bool
}

// NewThrottle returns a throttle that allows one change of the same kind per host and
// interval, and one report per pool and interval.
func NewThrottle(interval time.Duration) *Throttle { return &Throttle{interval: interval} }

// Grow makes room for the hosts and pools of the tables. It must be called after
// rows were added.
func (t *Throttle) Grow(tables *Tables) {
	for len(t.hosts) < tables.Hosts() {
		t.hosts = append(t.hosts, lastChange{})
	}
	for len(t.pools) < tables.Pools() {
		t.pools = append(t.pools, lastChange{})
	}
}

// Allow tells whether a change of the host may be asked for now, and if so records
// it. A change of another kind than the last one is always allowed.
func (t *Throttle) Allow(id HostID, kind ChangeKind, now time.Time) bool {
	return t.hosts[id].allow(kind, now, t.interval)
}

// AllowPool tells whether a report on the pool may be made now, and if so records it.
func (t *Throttle) AllowPool(id PoolID, now time.Time) bool {
	return t.pools[id].allow(Report, now, t.interval)
}

// Pending tells whether the last change recorded for the host is of this kind and
// less than one interval old, so that it may still take effect.
func (t *Throttle) Pending(id HostID, kind ChangeKind, now time.Time) bool {
	c := &t.hosts[id]
	return c.set && c.kind == kind && now.Sub(c.at) < t.interval
}

func (c *lastChange) allow(kind ChangeKind, now time.Time, interval time.Duration) bool {
	if c.set && c.kind == kind && now.Sub(c.at) < interval {
		return false
	}
	*c = lastChange{at: now, kind: kind, set: true}
	return true
}
