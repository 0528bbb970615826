package maint

import (
	"time"

	"shallotpaddle/table"
)

const (
	// PaceShare is the share of the period, 0 to 1, over which a pool's maintenance
	// is spread. The rest is left for catching up.
	PaceShare = 0.85
	// UrgentShare is the age of a host's last maintenance, as a share of the
	// period, from which its maintenance no longer waits for the steady pace.
	UrgentShare = 0.92
)

// poolState is the state of a pool, computed in each tick.
type poolState struct {
	id   table.PoolID
	spec *table.PoolSpec
	// outCount is the number of hosts out of service. It includes those for which
	// a permit has been requested and those that do not answer but are not recorded
	// as failed yet. failedCount is the number of hosts recorded as failed.
	outCount, failedCount int
	// failedRackID is a rack that has a failed host of the pool and, in all pools,
	// as many unanswering hosts as rackFailedAt returns; -1 if there is none.
	failedRackID int32
	// waveDC is the data centre in which maintenance is under way, or "".
	waveDC string
	// latestMaintenance is the latest start or end of a maintenance in the pool,
	// earliestMaintenance the earliest end of the last maintenance of a host.
	latestMaintenance, earliestMaintenance time.Time
	// nextHost is the next host to maintain, nextInWaveDC the next one in the data
	// centre waveDC; table.None if there is none.
	nextHost, nextInWaveDC table.HostID
	urgentCount            int // number of hosts past UrgentShare of the period
}

// tickPool advances the outages of one pool, then requests permits for maintenance
// that is due.
func (s *System) tickPool(id table.PoolID) {
	p := s.tables.Pool(id)
	ps := poolState{id: id, spec: p.Spec(), failedRackID: -1, nextHost: table.None, nextInWaveDC: table.None}
	for _, hid := range p.Hosts() {
		s.countHost(&ps, hid)
	}
	for _, hid := range p.Hosts() {
		s.followOutage(hid, &ps)
	}
	if s.isolated {
		s.reportPool(id, "most hosts are silent; this entry is taken to be cut off", float64(ps.outCount), float64(len(p.Hosts())))
	}
	s.reportOverBudget(&ps)
	if ps.spec.Period > 0 && len(p.Hosts()) > 0 {
		s.planMaintenance(&ps, len(p.Hosts()))
	}
}

// countHost adds a host to the state of its pool.
func (s *System) countHost(ps *poolState, id table.HostID) {
	h, track := s.tables.Host(id), &s.tracks[id]
	switch {
	case h.OutOfService():
		ps.outCount++
	case s.changeThrottle.Pending(id, table.RequestPermit, s.now), !track.downAt.IsZero():
		ps.outCount++
	}
	if h.Reason() == table.Failed {
		ps.failedCount++
		if r := &s.racks[track.rackID]; r.down >= rackFailedAt(r.hosts) {
			ps.failedRackID = track.rackID
		}
	}
	if h.Reason() == table.Maintenance {
		ps.latestMaintenance = later(ps.latestMaintenance, h.OutageSince())
		if h.Phase() != table.Probation {
			ps.waveDC = h.DC()
		}
	}
	ps.latestMaintenance = later(ps.latestMaintenance, h.LastMaintained())
	if done := h.LastMaintained(); !done.IsZero() && (ps.earliestMaintenance.IsZero() || done.Before(ps.earliestMaintenance)) {
		ps.earliestMaintenance = done
	}
}

// rackFailedAt returns the number of unanswering hosts from which a rack with the
// given number of hosts counts as failed.
func rackFailedAt(hosts int) int { return max(2, (hosts+1)/2) }

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// recallCause returns the reason to cancel a drain, or "" if there is none.
func (ps *poolState) recallCause(s *System, id table.HostID, h *table.Host) string {
	switch {
	case h.Reason() == table.Repair:
		return ""
	case ps.outCount > ps.spec.Budget:
		return "failures passed the availability budget; drain called off"
	case ps.failedRackID >= 0 && ps.failedRackID != s.tracks[id].rackID:
		return "another rack of the pool failed; drain called off"
	default:
		return ""
	}
}

// reportOverBudget reports a pool with more hosts out of service than its budget.
func (s *System) reportOverBudget(ps *poolState) {
	switch {
	case ps.failedCount > ps.spec.Budget:
		s.reportPool(ps.id, "failures alone pass the availability budget", float64(ps.failedCount), float64(ps.spec.Budget))
	case ps.outCount > ps.spec.Budget:
		s.reportPool(ps.id, "failures and outages under way pass the availability budget", float64(ps.outCount), float64(ps.spec.Budget))
	}
}

// planMaintenance requests permits for maintenance: one at a time at a steady pace
// over the period, and as many as the budget allows for hosts that are nearly overdue.
func (s *System) planMaintenance(ps *poolState, hosts int) {
	gap := time.Duration(PaceShare * float64(ps.spec.Period.Std()) / float64(hosts))
	wait := !ps.latestMaintenance.IsZero() && s.now.Sub(ps.latestMaintenance) < gap
	if wait && !s.urgent(ps, ps.earliestMaintenance) {
		return
	}
	s.findCandidates(ps)
	free := ps.spec.Budget - ps.spec.Reserve - ps.outCount
	switch {
	case ps.failedRackID >= 0 || s.isolated || free <= 0:
		if ps.urgentCount > 0 && ps.outCount == ps.failedCount {
			s.reportPool(ps.id, "maintenance due but no budget free", float64(ps.outCount), float64(ps.spec.Budget-ps.spec.Reserve))
		}
	case ps.urgentCount > 0:
		s.permitUrgent(ps, free)
	case !wait:
		s.permitPaced(ps, gap)
	}
}

// permitPaced requests the permit of the next host. While a host is under
// maintenance, only hosts of its data centre are eligible.
func (s *System) permitPaced(ps *poolState, gap time.Duration) {
	next := ps.nextHost
	if ps.waveDC != "" {
		next = ps.nextInWaveDC
	}
	if next != table.None {
		s.requestPermit(ps, next, "maintenance spread over the period", s.now.Sub(ps.latestMaintenance).Seconds(), gap.Seconds())
	}
}

// findCandidates sets the next hosts to maintain and counts the urgent ones.
func (s *System) findCandidates(ps *poolState) {
	for _, id := range s.tables.Pool(ps.id).Hosts() {
		if !s.eligible(id) {
			continue
		}
		h := s.tables.Host(id)
		if s.urgent(ps, h.LastMaintained()) {
			ps.urgentCount++
		}
		if s.maintainedBefore(id, ps.nextHost) {
			ps.nextHost = id
		}
		if h.DC() == ps.waveDC && s.maintainedBefore(id, ps.nextInWaveDC) {
			ps.nextInWaveDC = id
		}
	}
}

// eligible reports whether a host is in service, takes work, is listed as live and
// has no permit requested.
func (s *System) eligible(id table.HostID) bool {
	h := s.tables.Host(id)
	return h.Reason() == table.InService && h.Schedulable() && h.Listing() == table.Live &&
		!s.changeThrottle.Pending(id, table.RequestPermit, s.now)
}

// urgent reports whether a host whose last maintenance ended at lastEnd is nearly
// overdue. A host that was never maintained, with a zero lastEnd, is not.
func (s *System) urgent(ps *poolState, lastEnd time.Time) bool {
	limit := time.Duration(UrgentShare * float64(ps.spec.Period.Std()))
	return !lastEnd.IsZero() && s.now.Sub(lastEnd) >= limit
}

// maintainedBefore reports whether the last maintenance of the host id ended before
// that of other. Every host is before table.None.
func (s *System) maintainedBefore(id, other table.HostID) bool {
	if other == table.None {
		return true
	}
	return s.tables.Host(id).LastMaintained().Before(s.tables.Host(other).LastMaintained())
}

// permitUrgent requests permits for up to free urgent hosts, those with the earliest
// last maintenance first.
func (s *System) permitUrgent(ps *poolState, free int) {
	for ; free > 0; free-- {
		id := table.HostID(table.None)
		for _, hid := range s.tables.Pool(ps.id).Hosts() {
			if s.eligible(hid) && s.urgent(ps, s.tables.Host(hid).LastMaintained()) && s.maintainedBefore(hid, id) {
				id = hid
			}
		}
		if id == table.None {
			return
		}
		age := s.now.Sub(s.tables.Host(id).LastMaintained())
		if !s.requestPermit(ps, id, "maintenance nearly overdue", age.Seconds(), ps.spec.Period.Std().Seconds()) {
			return
		}
	}
}

// requestPermit emits the request of a maintenance permit and reports whether it did.
func (s *System) requestPermit(ps *poolState, id table.HostID, cause string, figure, limit float64) bool {
	return s.emit(id, table.Change{
		Kind: table.RequestPermit, Pool: ps.id, Reason: table.Maintenance, Cause: cause, Figure: figure, Limit: limit,
	})
}
