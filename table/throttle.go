package table

import "time"

// Throttle keeps a system from asking for the same change of a host at every tick
// while the first one is still being carried out.
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

// NewThrottle returns a pacer that lets one change of a kind for a host, or one
// report for a pool, pass per interval.
func NewThrottle(every time.Duration) *Throttle { return &Throttle{interval: every} }

// Grow makes room for the rows of the tables.
func (p *Throttle) Grow(t *Tables) {
	for len(p.hosts) < t.Hosts() {
		p.hosts = append(p.hosts, lastChange{})
	}
	for len(p.pools) < t.Pools() {
		p.pools = append(p.pools, lastChange{})
	}
}

// Allow tells whether a change of the host may be asked for now, and if so
// notes it. A change of another kind than the last is always allowed.
func (p *Throttle) Allow(id HostID, kind ChangeKind, now time.Time) bool {
	return p.hosts[id].allow(kind, now, p.interval)
}

// AllowPool tells whether a report on the pool may be made now.
func (p *Throttle) AllowPool(id PoolID, now time.Time) bool {
	return p.pools[id].allow(Report, now, p.interval)
}

// Pending tells whether the last change asked for the host is of this kind and
// younger than the interval, so that it may still take effect.
func (p *Throttle) Pending(id HostID, kind ChangeKind, now time.Time) bool {
	a := &p.hosts[id]
	return a.set && a.kind == kind && now.Sub(a.at) < p.interval
}

func (a *lastChange) allow(kind ChangeKind, now time.Time, every time.Duration) bool {
	if a.set && a.kind == kind && now.Sub(a.at) < every {
		return false
	}
	*a = lastChange{at: now, kind: kind, set: true}
	return true
}
