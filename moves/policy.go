package moves

import "shallotpaddle/table"

// maxHosts returns the most hosts that a pool may hold.
func maxHosts(spec *table.PoolSpec) int { return max(spec.Size, spec.Max) }

// shortage returns the number of hosts that a pool lacks to its declared size.
// It is negative for a pool past its size.
func (s *System) shortage(id table.PoolID) int {
	c := &s.pools[id]
	return s.t.Pool(id).Spec().Size - c.remaining - c.inbound
}

// loanNeed returns how many hosts a pool needs to borrow now, and why.
func (s *System) loanNeed(id table.PoolID) (int, string) {
	p, c := s.t.Pool(id), &s.pools[id]
	room := maxHosts(p.Spec()) - c.remaining - c.inbound
	if room <= 0 || p.Spec().Spare {
		return 0, ""
	}
	lent := max(0, c.remaining+c.inbound-p.Spec().Size)
	if n := c.failed - p.Spec().Budget - lent; n > 0 {
		return min(room, n), "failures alone pass the availability budget"
	}
	if p.LateFor() < s.settings.LendAfter {
		return 0, ""
	}
	missing := p.Demand() - float64((c.schedulable+c.inbound)*table.WorkerSlots)
	if missing <= 0 {
		return 0, ""
	}
	return min(room, 1+int(missing/table.WorkerSlots)), "pool late for longer than a move takes"
}

// surplus returns how many hosts a pool can give to pools that are short of
// their size. Hosts past its maximum go at once. Hosts that were lent to it go
// when its demand has been low for ReturnAfter, or when the spare pool is late
// and it is not.
func (s *System) surplus(id table.PoolID) int {
	spec, c := s.t.Pool(id).Spec(), &s.pools[id]
	if spec.Spare {
		return c.remaining - spec.Size
	}
	if excess := c.remaining - maxHosts(spec); excess > 0 {
		return excess
	}
	if s.spareIsLate() && s.t.Pool(id).LateFor() == 0 {
		return c.remaining - spec.Size
	}
	if c.lowSince.IsZero() || s.now.Sub(c.lowSince) < s.settings.ReturnAfter {
		return 0
	}
	return c.remaining - spec.Size
}

// spareIsLate tells whether the spare pool itself has been late for LendAfter, so
// that pools that are not late return the hosts lent to them.
func (s *System) spareIsLate() bool {
	id := s.sparePool()
	return id != table.None && s.t.Pool(id).LateFor() >= s.settings.LendAfter
}

// canLend tells whether the pool is the spare pool and can give one more host
// and keep enough slots for its own demand.
func (s *System) canLend(id table.PoolID) bool {
	p, c := s.t.Pool(id), &s.pools[id]
	if !p.Spec().Spare || p.LateFor() > 0 || c.remaining <= 1 {
		return false
	}
	return float64((c.schedulable-1)*table.WorkerSlots) >= s.settings.KeepFactor*c.peakDemand
}

// hasBudget tells whether a pool's availability budget allows one more planned
// outage.
func (s *System) hasBudget(id table.PoolID) bool {
	spec := s.t.Pool(id).Spec()
	return s.pools[id].outages < spec.Budget-spec.Reserve
}

// requestMoves asks for the permits of the moves that sizes, failures and demand
// call for.
func (s *System) requestMoves() {
	for from := range table.PoolID(s.t.Pools()) {
		if !s.t.Pool(from).Owned() {
			continue
		}
		for s.hasBudget(from) {
			if !s.requestMove(from) {
				break
			}
		}
	}
}

// requestMove asks for the permit of one move out of a pool and tells whether it
// did.
func (s *System) requestMove(from table.PoolID) bool {
	to, cause := s.chooseDestination(from)
	if to == table.None {
		return false
	}
	s.planner.Load(s.t)
	best := table.HostID(table.None)
	for _, id := range s.t.Pool(from).Hosts() {
		if s.movable(id) && s.planner.Better(id, best, to) {
			best = id
		}
	}
	if best == table.None {
		return false
	}
	p := s.t.Pool(to)
	if !s.emit(best, table.Change{
		Kind: table.RequestPermit, Pool: from, Reason: table.Move, Cause: cause,
		Figure: p.LateFor().Seconds(), Limit: s.settings.LendAfter.Seconds(),
	}) {
		return false
	}
	s.hosts[best] = moveState{dest: to, began: s.now}
	s.pools[from].remaining--
	s.pools[from].outages++
	s.pools[to].inbound++
	return true
}

// movable tells whether a host is in service and has no permit asked for, so that
// it can be moved.
func (s *System) movable(id table.HostID) bool {
	h := s.t.Host(id)
	return h.Reason() == table.InService && h.Schedulable() && h.Listing() == table.Live &&
		!s.changeThrottle.Pending(id, table.RequestPermit, s.now)
}

// chooseDestination returns the pool that a host of the given pool should move
// to, and why, or None.
func (s *System) chooseDestination(from table.PoolID) (table.PoolID, string) {
	if s.surplus(from) > 0 {
		if to := s.mostShort(from); to != table.None {
			return to, "pool is short of its size"
		}
	}
	if !s.canLend(from) {
		return table.None, ""
	}
	best, most, cause := table.PoolID(table.None), 0, ""
	for id := range table.PoolID(s.t.Pools()) {
		if n, why := s.loanNeed(id); id != from && n > most {
			best, most, cause = id, n, why
		}
	}
	return best, cause
}

// mostShort returns the pool with the largest shortage, or None. If no pool is
// short, a pool past its maximum gives to the spare pool.
func (s *System) mostShort(from table.PoolID) table.PoolID {
	best, most := table.PoolID(table.None), 0
	for id := range table.PoolID(s.t.Pools()) {
		if n := s.shortage(id); id != from && n > most {
			best, most = id, n
		}
	}
	if best != table.None {
		return best
	}
	spec := s.t.Pool(from).Spec()
	if spec.Spare || s.pools[from].remaining <= maxHosts(spec) {
		return table.None
	}
	return s.sparePool()
}

// sparePool returns the spare pool, or None.
func (s *System) sparePool() table.PoolID {
	for id := range table.PoolID(s.t.Pools()) {
		if s.t.Pool(id).Spec().Spare {
			return id
		}
	}
	return table.None
}

// newDestination chooses a pool for a host that has a permit but whose
// destination this entry does not know, for instance since another entry asked
// for the permit: the documents record the destination only with the mark. It
// returns None when no pool needs the host any more.
func (s *System) newDestination(from table.PoolID) table.PoolID {
	to, _ := s.chooseDestination(from)
	if to != table.None {
		s.pools[from].remaining--
		s.pools[to].inbound++
	}
	return to
}

// assign chooses pools for hosts without one. It asks for the assignments to pools
// that this entry owns; the owners of the others make the same choices.
func (s *System) assign() {
	s.planner.Load(s.t)
	for range MaxAssignsPerTick {
		to := s.neediest()
		if to == table.None {
			return
		}
		best := table.HostID(table.None)
		for id := range table.HostID(s.t.Hosts()) {
			if s.assignable(id) && s.planner.Better(id, best, to) {
				best = id
			}
		}
		if best == table.None {
			return
		}
		m := &s.hosts[best]
		m.dest, m.began = to, s.now
		s.planner.Add(best, to)
		s.pools[to].inbound++
		if s.t.Pool(to).Owned() {
			s.emit(best, table.Change{Kind: table.Assign, Pool: to, Cause: "host without a pool"})
		}
	}
}

// assignable tells whether a host has no pool, may be assigned to one, and has no
// assignment under way.
func (s *System) assignable(id table.HostID) bool {
	h := s.t.Host(id)
	m := &s.hosts[id]
	return h.Pool() == table.None && m.dest == table.None && s.now.Sub(m.unplacedSince) >= s.settings.AssignAfter &&
		h.Healthy() && h.Listing() == table.Live && h.BusySlots() == 0
}

// neediest returns the pool that lacks the largest share of its size, or the
// spare pool when no pool is short, or None.
func (s *System) neediest() table.PoolID {
	best, most := table.PoolID(table.None), 0.0
	for id := range table.PoolID(s.t.Pools()) {
		if share := float64(s.shortage(id)) / float64(s.t.Pool(id).Spec().Size); share > most {
			best, most = id, share
		}
	}
	if best == table.None {
		return s.sparePool()
	}
	return best
}
