package route

import (
	"slices"
	"time"
)

// reserveAfter is how long work that takes several slots waits before a host is
// kept free for it.
const reserveAfter = 2 * time.Second

// reserve keeps a host free for work that takes several slots, is next by the
// queue's order and has waited long enough. Narrow work would otherwise take
// every slot that becomes free. p.mu is held.
func (p *pool) reserve(now time.Time) {
	p.reserved = ""
	if !p.waitsWide() {
		return
	}
	most := 0
	for _, h := range p.hosts {
		most = max(most, h.Slots)
	}
	next := p.queue.Peek(now, most, p.slots)
	if next == nil || next.Spec().Slots <= p.holder.MaxFree(now, "") {
		return
	}
	n := next.Spec().Slots
	host, ok := p.holder.LeastLoaded(n)
	if !ok || now.Sub(p.tickets[next.ID()].since) < reserveAfter {
		return
	}
	if p.open(p.keep, n) {
		host = p.keep
	}
	p.reserved, p.keep = host, host
}

// waitsWide tells whether wide work waits, and forgets tickets that do not.
func (p *pool) waitsWide() bool {
	p.wide = slices.DeleteFunc(p.wide, func(t *ticket) bool { return p.tickets[t.item.ID()] != t })
	return len(p.wide) > 0
}

// open tells whether a host is open to new work and has n slots in all.
func (p *pool) open(host string, n int) bool {
	h, ok := p.hosts[host]
	return ok && h.Slots >= n
}

// take chooses a host for an item that is not the reserved one. Work that is
// tried again goes to another rack, or at least to another host, if it can.
func (p *pool) take(now time.Time, t *ticket) (string, bool) {
	n := t.item.Spec().Slots
	if t.failed.Name == "" && p.reserved == "" {
		return p.holder.Take(now, n)
	}
	free := func(h string) bool { return h != p.reserved }
	if t.failed.Name == "" {
		return p.holder.TakeWhere(now, n, free)
	}
	for _, allow := range []func(string) bool{
		func(h string) bool { return free(h) && p.hosts[h].Rack != t.failed.Rack },
		func(h string) bool { return free(h) && h != t.failed.Name },
		free,
	} {
		if host, ok := p.holder.TakeWhere(now, n, allow); ok {
			return host, true
		}
	}
	return "", false
}
