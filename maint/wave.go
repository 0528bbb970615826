package maint

import (
	"time"

	"shallotpaddle/table"
)

const (
	// PaceShare is the part of the period over which a pool's maintenance is
	// spread. The rest is left to catch up in.
	PaceShare = 0.85
	// UrgentShare is the age of a host's last maintenance, as a part of the
	// period, from which pace no longer holds it back.
	UrgentShare = 0.92
)

// poolState is what the system counts of a pool in one tick.
type poolState struct {
	id   table.PoolID
	spec *table.PoolSpec
	// out counts hosts out of service, with permits asked for and hosts that
	// are silent but not recorded as failed yet.
	out, failed int
	// failedRack is a rack with two or more failed hosts of the pool, or that
	// is silent as a whole; -1 when there is none.
	failedRack int32
	// waveDC is the data centre in which maintenance is under way, or "".
	waveDC string
	// latestMaintenance is the latest end or start of a maintenance in the pool, earliestMaintenance the
	// earliest end of a host's latestMaintenance one.
	latestMaintenance, earliestMaintenance time.Time
	// oldest is the next host to maintain, None when there is none; oldestInWaveDC is
	// the same among the hosts of the wave's data centre.
	oldest, oldestInWaveDC table.HostID
	urgentCount            int // hosts past UrgentShare of the period
}

// tickPool follows the outages of one tickPool, then starts maintenance where due.
func (s *System) tickPool(id table.PoolID) {
	p := s.tables.Pool(id)
	v := poolState{id: id, spec: p.Spec(), failedRack: -1, oldest: table.None, oldestInWaveDC: table.None}
	for _, hid := range p.Hosts() {
		s.count(&v, hid)
	}
	for _, hid := range p.Hosts() {
		s.followOutage(hid, &v)
	}
	if s.isolated {
		s.report(id, "most hosts are silent; this entry is taken to be cut off", float64(v.out), float64(len(p.Hosts())))
	}
	s.reportOverBudget(&v)
	if v.spec.Period > 0 && len(p.Hosts()) > 0 {
		s.planMaintenance(&v, len(p.Hosts()))
	}
}

func (s *System) count(v *poolState, id table.HostID) {
	h, k := s.tables.Host(id), &s.tracks[id]
	switch {
	case h.OutOfService():
		v.out++
	case s.changePacer.Pending(id, table.Permit, s.now), !k.downAt.IsZero():
		v.out++
	}
	if h.Reason() == table.Failed {
		v.failed++
		if r := &s.racks[k.rackID]; r.down >= rackFailedAt(r.hosts) {
			v.failedRack = k.rackID
		}
	}
	if h.Reason() == table.Maintenance {
		v.latestMaintenance = later(v.latestMaintenance, h.OutageSince())
		if h.Phase() != table.Probation {
			v.waveDC = h.DC()
		}
	}
	v.latestMaintenance = later(v.latestMaintenance, h.LastMaintained())
	if done := h.LastMaintained(); !done.IsZero() && (v.earliestMaintenance.IsZero() || done.Before(v.earliestMaintenance)) {
		v.earliestMaintenance = done
	}
}

// rackFailedAt returns the number of silent hosts at which a rack counts as failed.
func rackFailedAt(hosts int) int { return max(2, (hosts+1)/2) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// recallCause tells why a drain is to be called off, or "".
func (v *poolState) recallCause(s *System, id table.HostID, h *table.Host) string {
	switch {
	case h.Reason() == table.Repair:
		return ""
	case v.out > v.spec.Budget:
		return "failures passed the availability budget; drain called off"
	case v.failedRack >= 0 && v.failedRack != s.tracks[id].rackID:
		return "another rack of the pool failed; drain called off"
	default:
		return ""
	}
}

func (s *System) reportOverBudget(v *poolState) {
	switch {
	case v.failed > v.spec.Budget:
		s.report(v.id, "failures alone pass the availability budget", float64(v.failed), float64(v.spec.Budget))
	case v.out > v.spec.Budget:
		s.report(v.id, "failures and outages under way pass the availability budget", float64(v.out), float64(v.spec.Budget))
	}
}

// planMaintenance asks for permits: one at a time at a steady pace over the period, and as
// many as the budget allows for hosts that are nearly overdue.
func (s *System) planMaintenance(v *poolState, hosts int) {
	gap := time.Duration(PaceShare * float64(v.spec.Period.Std()) / float64(hosts))
	wait := !v.latestMaintenance.IsZero() && s.now.Sub(v.latestMaintenance) < gap
	if wait && !s.urgent(v, v.earliestMaintenance) {
		return
	}
	s.findCandidates(v)
	free := v.spec.Budget - v.spec.Reserve - v.out
	switch {
	case v.failedRack >= 0 || s.isolated || free <= 0:
		if v.urgentCount > 0 && v.out == v.failed {
			s.report(v.id, "maintenance due but no budget free", float64(v.out), float64(v.spec.Budget-v.spec.Reserve))
		}
	case v.urgentCount > 0:
		s.startUrgent(v, free)
	case !wait:
		s.startPaced(v, gap)
	}
}

// startPaced asks for the permit of the next host. A wave stays in one data
// centre at a time.
func (s *System) startPaced(v *poolState, gap time.Duration) {
	next := v.oldest
	if v.waveDC != "" {
		next = v.oldestInWaveDC
	}
	if next != table.None {
		s.requestPermit(v, next, "maintenance spread over the period", s.now.Sub(v.latestMaintenance).Seconds(), gap.Seconds())
	}
}

// findCandidates finds the next hosts to maintain.
func (s *System) findCandidates(v *poolState) {
	for _, id := range s.tables.Pool(v.id).Hosts() {
		if !s.eligible(id) {
			continue
		}
		h := s.tables.Host(id)
		if s.urgent(v, h.LastMaintained()) {
			v.urgentCount++
		}
		if s.maintainedBefore(id, v.oldest) {
			v.oldest = id
		}
		if h.DC() == v.waveDC && s.maintainedBefore(id, v.oldestInWaveDC) {
			v.oldestInWaveDC = id
		}
	}
}

func (s *System) eligible(id table.HostID) bool {
	h := s.tables.Host(id)
	return h.Reason() == table.InService && h.Schedulable() && h.Listing() == table.Live &&
		!s.changePacer.Pending(id, table.Permit, s.now)
}

// urgent tells whether a host whose last maintenance ended then is nearly
// overdue. A host without one is not: it has no time to count from.
func (s *System) urgent(v *poolState, done time.Time) bool {
	limit := time.Duration(UrgentShare * float64(v.spec.Period.Std()))
	return !done.IsZero() && s.now.Sub(done) >= limit
}

// maintainedBefore orders hosts by their last maintenance, then by row.
func (s *System) maintainedBefore(id, other table.HostID) bool {
	if other == table.None {
		return true
	}
	return s.tables.Host(id).LastMaintained().Before(s.tables.Host(other).LastMaintained())
}

// startUrgent asks for permits of the oldest urgent hosts, as many as are free.
func (s *System) startUrgent(v *poolState, free int) {
	for ; free > 0; free-- {
		id := table.HostID(table.None)
		for _, hid := range s.tables.Pool(v.id).Hosts() {
			if s.eligible(hid) && s.urgent(v, s.tables.Host(hid).LastMaintained()) && s.maintainedBefore(hid, id) {
				id = hid
			}
		}
		if id == table.None {
			return
		}
		age := s.now.Sub(s.tables.Host(id).LastMaintained())
		if !s.requestPermit(v, id, "maintenance nearly overdue", age.Seconds(), v.spec.Period.Std().Seconds()) {
			return
		}
	}
}

func (s *System) requestPermit(v *poolState, id table.HostID, cause string, figure, limit float64) bool {
	return s.emit(id, table.Change{
		Kind: table.Permit, Pool: v.id, Reason: table.Maintenance, Cause: cause, Figure: figure, Limit: limit,
	})
}
