package elect

import "time"

const (
	// handoverAfter is how long an entry that leads no pool must have been there, while this one
	// is overloaded, before a pool is handed over.
	handoverAfter = 1500 * time.Millisecond
	// handoverGap is the shortest time between two handovers of an entry. Its effect on the load
	// must be seen before the next one.
	handoverGap = 4 * time.Second
)

// handover decides when an entry that leads several pools gives one of them up: after a loss of
// entries, those that remain lead the pools of the lost ones, also when these are back and idle.
type handover struct {
	since time.Time // when the conditions were first met; zero while they are not
	last  time.Time
}

// due reports whether to hand a pool over now. Idle tells that an entry which is as large leads no
// pool.
func (h *handover) due(led int, idle, overloaded bool, now time.Time) bool {
	if led < 2 || !idle || !overloaded {
		h.since = time.Time{}
		return false
	}
	if h.since.IsZero() {
		h.since = now
	}
	return now.Sub(h.since) >= handoverAfter && now.Sub(h.last) >= handoverGap
}

// handOver gives up a pool if this entry is overloaded and another one, as large, leads none.
// That one ranks first in the election then.
func (e *Elector) handOver(now time.Time) {
	if e.Surplus == nil || len(e.held) < 2 {
		return
	}
	pool := e.Surplus()
	if !e.handover.due(len(e.held), e.idleEntry(), pool != "", now) {
		return
	}
	t, ok := e.held[pool]
	if !ok {
		return
	}
	e.handover = handover{last: now}
	e.refusedFence[pool] = t.Fence // so that the leader's key is removed
	e.lose(pool, "handed over to an idle entry")
}

// idleEntry reports whether a registered entry with as many cores as this one leads no pool.
func (e *Elector) idleEntry() bool {
	leads := map[string]bool{e.Name: true}
	for _, l := range e.leaders {
		leads[l.entry] = true
	}
	for name, cores := range e.coresByEntry {
		if cores >= e.Cores && !leads[name] {
			return true
		}
	}
	return false
}
