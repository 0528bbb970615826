package share

import "time"

// MaxFree returns the largest number of slots that this entry believes to be free
// on one host, leaving out the host named except.
func (h *Picker) MaxFree(now time.Time, except string) int {
	most := 0
	for i := range h.hosts {
		if p := &h.hosts[i]; p.Name != except && h.fits(p, now, 1) {
			most = max(most, p.Slots-p.load())
		}
	}
	return most
}

// TakeWhere is Take among the hosts that allow accepts.
func (h *Picker) TakeWhere(now time.Time, n int, allow func(host string) bool) (host string, ok bool) {
	if len(h.hosts) == 0 {
		return "", false
	}
	var best *place
	from := h.rng.IntN(len(h.hosts))
	for k := range h.hosts {
		p := &h.hosts[(from+k)%len(h.hosts)]
		if h.fits(p, now, n) && allow(p.Name) && (best == nil || p.load() < best.load()) {
			best = p
		}
	}
	if best == nil {
		return "", false
	}
	best.mine += n
	return best.Name, true
}

// LeastLoaded returns the least loaded host that has n slots, free or not.
func (h *Picker) LeastLoaded(n int) (host string, ok bool) {
	var best *place
	for i := range h.hosts {
		if p := &h.hosts[i]; !p.gone && p.Slots >= n && (best == nil || p.load() < best.load()) {
			best = p
		}
	}
	if best == nil {
		return "", false
	}
	return best.Name, true
}
