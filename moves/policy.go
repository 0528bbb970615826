package moves

import "shallotpaddle/table"

// limit returns the most hosts that a pool may hold.
func limit(spec *table.PoolSpec) int { return max(spec.Size, spec.Max) }

// short returns the hosts that a pool lacks of its declared size.
func (s *System) short(id table.PoolID) int {
	b := &s.pools[id]
	return s.t.Pool(id).Spec().Size - b.have - b.inbound
}

// wants returns how many lent hosts a pool needs now, and why.
func (s *System) wants(id table.PoolID) (int, string) {
	p, b := s.t.Pool(id), &s.pools[id]
	room := limit(p.Spec()) - b.have - b.inbound
	if room <= 0 || p.Spec().Spare {
		return 0, ""
	}
	lent := max(0, b.have+b.inbound-p.Spec().Size)
	if n := b.failed - p.Spec().Budget - lent; n > 0 {
		return min(room, n), "failures alone pass the availability budget"
	}
	if p.LateFor() < s.set.LendAfter {
		return 0, ""
	}
	missing := p.Demand() - float64((b.open+b.inbound)*table.WorkerSlots)
	if missing <= 0 {
		return 0, ""
	}
	return min(room, 1+int(missing/table.WorkerSlots)), "pool late for longer than a move takes"
}

// over returns how many hosts a pool has to give to pools that are short of
// their size: those past its limit at once, lent ones when it has been calm or the
// spare pool is late and it is not.
func (s *System) over(id table.PoolID) int {
	spec, b := s.t.Pool(id).Spec(), &s.pools[id]
	if spec.Spare {
		return b.have - spec.Size
	}
	if past := b.have - limit(spec); past > 0 {
		return past
	}
	if s.reclaims() && s.t.Pool(id).LateFor() == 0 {
		return b.have - spec.Size
	}
	if b.calm.IsZero() || s.now.Sub(b.calm) < s.set.ReturnAfter {
		return 0
	}
	return b.have - spec.Size
}

// reclaims tells whether the spare pool itself is late for longer than a move
// takes, so that hosts come back to it from pools that are not.
func (s *System) reclaims() bool {
	id := s.spare()
	return id != table.None && s.t.Pool(id).LateFor() >= s.set.LendAfter
}

// spares tells whether the spare pool can do without one more host.
func (s *System) spares(id table.PoolID) bool {
	p, b := s.t.Pool(id), &s.pools[id]
	if !p.Spec().Spare || p.LateFor() > 0 || b.have <= 1 {
		return false
	}
	return float64((b.open-1)*table.WorkerSlots) >= s.set.KeepFactor*b.peak
}

// free tells whether a pool's budget leaves room for one more planned outage.
func (s *System) free(id table.PoolID) bool {
	spec := s.t.Pool(id).Spec()
	return s.pools[id].busyOut < spec.Budget-spec.Reserve
}

// balance starts the moves that sizes, failures and demand call for.
func (s *System) balance() {
	for from := range table.PoolID(s.t.Pools()) {
		if !s.t.Pool(from).Owned() {
			continue
		}
		for s.free(from) {
			if !s.give(from) {
				break
			}
		}
	}
}

// give starts one move out of a pool and tells whether it did.
func (s *System) give(from table.PoolID) bool {
	to, cause := s.choose(from)
	if to == table.None {
		return false
	}
	s.plan.Load(s.t)
	best := table.HostID(table.None)
	for _, id := range s.t.Pool(from).Hosts() {
		if s.movable(id) && s.plan.Better(id, best, to) {
			best = id
		}
	}
	if best == table.None {
		return false
	}
	p := s.t.Pool(to)
	if !s.emit(best, table.Change{
		Kind: table.Permit, Pool: from, Reason: table.Move, Cause: cause,
		Figure: p.LateFor().Seconds(), Limit: s.set.LendAfter.Seconds(),
	}) {
		return false
	}
	s.hosts[best] = track{dest: to, began: s.now}
	s.pools[from].have--
	s.pools[from].busyOut++
	s.pools[to].inbound++
	return true
}

func (s *System) movable(id table.HostID) bool {
	h := s.t.Host(id)
	return h.Reason() == table.InService && h.Schedulable() && h.Listing() == table.Live &&
		!s.act.Pending(id, table.Permit, s.now)
}

// choose returns the pool that the given one should give a host to, or None.
func (s *System) choose(from table.PoolID) (table.PoolID, string) {
	if s.over(from) > 0 {
		if to := s.shortest(from); to != table.None {
			return to, "pool is short of its size"
		}
	}
	if !s.spares(from) {
		return table.None, ""
	}
	best, most, cause := table.PoolID(table.None), 0, ""
	for id := range table.PoolID(s.t.Pools()) {
		if n, why := s.wants(id); id != from && n > most {
			best, most, cause = id, n, why
		}
	}
	return best, cause
}

// shortest returns the pool with the largest shortage of its size, or None. A
// pool past its limit may also give to the spare pool.
func (s *System) shortest(from table.PoolID) table.PoolID {
	best, most := table.PoolID(table.None), 0
	for id := range table.PoolID(s.t.Pools()) {
		if n := s.short(id); id != from && n > most {
			best, most = id, n
		}
	}
	if best != table.None {
		return best
	}
	spec := s.t.Pool(from).Spec()
	if spec.Spare || s.pools[from].have <= limit(spec) {
		return table.None
	}
	return s.spare()
}

func (s *System) spare() table.PoolID {
	for id := range table.PoolID(s.t.Pools()) {
		if s.t.Pool(id).Spec().Spare {
			return id
		}
	}
	return table.None
}

// destination returns where a permitted host should go when the entry that
// asked for the permit is gone, or None when no pool needs it any more.
func (s *System) destination(from table.PoolID) table.PoolID {
	to, _ := s.choose(from)
	if to != table.None {
		s.pools[from].have--
		s.pools[to].inbound++
	}
	return to
}

// assign asks for the first placement of hosts without a pool.
func (s *System) assign() {
	s.plan.Load(s.t)
	for range MaxAssignsPerTick {
		to := s.neediest()
		if to == table.None {
			return
		}
		best := table.HostID(table.None)
		for id := range table.HostID(s.t.Hosts()) {
			if s.unplaced(id) && s.plan.Better(id, best, to) {
				best = id
			}
		}
		if best == table.None {
			return
		}
		k := &s.hosts[best]
		k.dest, k.began = to, s.now
		s.plan.Add(best, to)
		s.pools[to].inbound++
		if s.t.Pool(to).Owned() {
			s.emit(best, table.Change{Kind: table.Assign, Pool: to, Cause: "host without a pool"})
		}
	}
}

// unplaced tells whether a host may be placed and no placement is under way.
func (s *System) unplaced(id table.HostID) bool {
	h := s.t.Host(id)
	k := &s.hosts[id]
	return h.Pool() == table.None && k.dest == table.None && s.now.Sub(k.freeAt) >= s.set.AssignAfter &&
		h.Healthy() && h.Listing() == table.Live && h.BusySlots() == 0
}

// neediest returns the pool that lacks the largest share of its size, the
// spare pool when none lacks any, or None.
func (s *System) neediest() table.PoolID {
	best, most := table.PoolID(table.None), 0.0
	for id := range table.PoolID(s.t.Pools()) {
		if share := float64(s.short(id)) / float64(s.t.Pool(id).Spec().Size); share > most {
			best, most = id, share
		}
	}
	if best == table.None {
		return s.spare()
	}
	return best
}
