package route

import (
	"slices"
	"time"
)

// reserveAfter is the time after which a host is reserved for waiting work that
// takes several slots.
const reserveAfter = 2 * time.Second

// reserveHost reserves a host for work that takes several slots, is next in the
// queue's order and has waited for reserveAfter. Without a reservation, work
// for one slot would take every slot that becomes free, and work for several
// would starve. p.mu is held.
func (p *pool) reserveHost(now time.Time) {
	p.reservedHost = ""
	if !p.multiSlotWaiting() {
		return
	}
	largest := 0
	for _, h := range p.hosts {
		largest = max(largest, h.Slots)
	}
	next := p.queue.Peek(now, largest, p.slotShare)
	if next == nil || next.Spec().Slots <= p.picker.MaxFree(now, "") {
		return
	}
	n := next.Spec().Slots
	host, ok := p.picker.LeastLoaded(n)
	if !ok || now.Sub(p.waiting[next.ID()].queuedAt) < reserveAfter {
		return
	}
	if p.canHold(p.lastReserved, n) {
		host = p.lastReserved
	}
	p.reservedHost, p.lastReserved = host, host
}

// multiSlotWaiting reports whether work that takes several slots is waiting. It
// removes requests that no longer wait from p.multiSlot.
func (p *pool) multiSlotWaiting() bool {
	p.multiSlot = slices.DeleteFunc(p.multiSlot, func(req *slotRequest) bool { return p.waiting[req.item.ID()] != req })
	return len(p.multiSlot) > 0
}

// canHold reports whether a host is open to new work and has at least n slots,
// whether they are free or not.
func (p *pool) canHold(host string, n int) bool {
	h, ok := p.hosts[host]
	return ok && h.Slots >= n
}

// pickHost picks a host other than the reserved one for a request. A retry
// prefers another rack than that of the failed host, then another host.
func (p *pool) pickHost(now time.Time, req *slotRequest) (string, bool) {
	n := req.item.Spec().Slots
	if req.avoid.Name == "" && p.reservedHost == "" {
		return p.picker.Take(now, n)
	}
	unreserved := func(h string) bool { return h != p.reservedHost }
	if req.avoid.Name == "" {
		return p.picker.TakeWhere(now, n, unreserved)
	}
	for _, allow := range []func(string) bool{
		func(h string) bool { return unreserved(h) && p.hosts[h].Rack != req.avoid.Rack },
		func(h string) bool { return unreserved(h) && h != req.avoid.Name },
		unreserved,
	} {
		if host, ok := p.picker.TakeWhere(now, n, allow); ok {
			return host, true
		}
	}
	return "", false
}
