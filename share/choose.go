package share

import "time"

// MaxFree returns the largest number of free slots on any one host that can
// take a task, not counting the host named except.
func (p *Picker) MaxFree(now time.Time, except string) int {
	most := 0
	for i := range p.hosts {
		if h := &p.hosts[i]; h.Name != except && p.fits(h, now, 1) {
			most = max(most, h.Slots-h.inUse())
		}
	}
	return most
}

// TakeWhere picks the least loaded of the hosts that have n free slots and are
// allowed, and counts the slots as in use. Unlike Take, it makes no
// reservation.
func (p *Picker) TakeWhere(now time.Time, n int, allow func(host string) bool) (host string, ok bool) {
	if len(p.hosts) == 0 {
		return "", false
	}
	var best *hostState
	start := p.rng.IntN(len(p.hosts))
	for k := range p.hosts {
		h := &p.hosts[(start+k)%len(p.hosts)]
		if p.fits(h, now, n) && allow(h.Name) && (best == nil || h.inUse() < best.inUse()) {
			best = h
		}
	}
	if best == nil {
		return "", false
	}
	best.own += n
	return best.Name, true
}

// LeastLoaded returns the least loaded host that has n slots in all, free or
// not.
func (p *Picker) LeastLoaded(n int) (host string, ok bool) {
	var best *hostState
	for i := range p.hosts {
		if h := &p.hosts[i]; !h.removed && h.Slots >= n && (best == nil || h.inUse() < best.inUse()) {
			best = h
		}
	}
	if best == nil {
		return "", false
	}
	return best.Name, true
}
