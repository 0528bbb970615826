package maint

import (
	"time"

	"shallotpaddle/table"
)

// followOutage advances the outage of one host, or records its failure if it is in
// service.
func (s *System) followOutage(id table.HostID, ps *poolState) {
	h := s.tables.Host(id)
	switch {
	case h.Reason() == table.Move:
		// Package moves advances it.
	case h.Reason() == table.InService:
		s.recordFailure(id, h)
	case h.Reason() == table.Failed:
		s.followFailed(id, h)
	case h.Phase() == table.Draining:
		s.followDrain(id, h, ps)
	case h.Phase() == table.Rebooting:
		s.followReboot(id, h)
	case h.Phase() == table.Probation:
		s.followProbation(id, h)
	}
}

// recordFailure emits the failure of a host that is in service, draining or in
// probation if it has not answered for FailAfter, or GoneAfter if it is not listed as
// live. A host in service also fails when the platform lists it as leaving.
// recordFailure reports whether the host has failed.
func (s *System) recordFailure(id table.HostID, h *table.Host) bool {
	if s.isolated {
		return false
	}
	track := &s.tracks[id]
	limit, cause := s.settings.FailAfter, "host does not answer"
	if h.Listing() != table.Live {
		limit, cause = s.settings.GoneAfter, "host does not answer and is not listed as live"
	}
	if h.Listing() == table.Leaving && h.Reason() == table.InService {
		s.emitFailure(id, h, "platform lists the host as leaving", 0, 0)
		return true
	}
	if track.downAt.IsZero() || s.now.Sub(track.downAt) < limit {
		return false
	}
	s.emitFailure(id, h, cause, s.now.Sub(track.downAt).Seconds(), limit.Seconds())
	return true
}

// emitFailure emits the change that records a host as failed.
func (s *System) emitFailure(id table.HostID, h *table.Host, cause string, figure, limit float64) {
	s.emit(id, table.Change{
		Kind: table.RecordFailure, Pool: h.Pool(), Reason: table.Failed, Cause: cause, Figure: figure, Limit: limit,
	})
}

// followFailed starts the probation of a failed host that has answered again for
// ReturnAfter and is listed as live.
func (s *System) followFailed(id table.HostID, h *table.Host) {
	track := &s.tracks[id]
	if track.upAt.IsZero() || h.Listing() != table.Live {
		return
	}
	up := s.now.Sub(track.upAt)
	if up < s.settings.ReturnAfter {
		return
	}
	if h.Failing() {
		s.emit(id, table.Change{
			Kind: table.Report, Pool: h.Pool(), Reason: h.Reason(),
			Cause: "host answers but failed its work before; waits for a new boot",
		})
		return
	}
	s.emit(id, table.Change{
		Kind: table.StartProbation, Pool: h.Pool(), Reason: h.Reason(), Cause: "failed host answers again",
		Figure: up.Seconds(), Limit: s.settings.ReturnAfter.Seconds(),
	})
}

// followDrain records a failure of a draining host, cancels the drain, or orders the
// reboot once no task is in flight.
func (s *System) followDrain(id table.HostID, h *table.Host, ps *poolState) {
	if s.recordFailure(id, h) {
		return
	}
	if cause := ps.recallCause(s, id, h); cause != "" {
		s.emit(id, table.Change{
			Kind: table.CancelPermit, Pool: h.Pool(), Reason: h.Reason(), Cause: cause,
			Figure: float64(ps.outCount), Limit: float64(ps.spec.Budget),
		})
		return
	}
	track := &s.tracks[id]
	// No entry sends new work once the drain is acknowledged. Probes after that
	// show reliably that no task is in flight.
	if h.Healthy() && h.DrainAcked() && track.fresh() && h.BusySlots() == 0 {
		s.emit(id, table.Change{
			Kind: table.Reboot, Pool: h.Pool(), Reason: h.Reason(), Cause: "drain complete",
			Figure: float64(h.BusySlots()),
		})
		return
	}
	s.reportOverrun(id, h, s.settings.DrainOverrun, "drain overruns; tasks in flight are waited for")
}

// followReboot ends the reboot of a host with a new boot id, or repeats the reboot
// order for a host that answers with the old one.
func (s *System) followReboot(id table.HostID, h *table.Host) {
	track := &s.tracks[id]
	switch {
	case track.fresh() && h.BootID() != h.OutageBootID():
		s.finishReboot(id, h, track)
		return
	case h.Healthy() && s.now.Sub(track.phaseAt) >= s.settings.FailAfter:
		// Orders with the same operation take effect only once, so the order can be
		// repeated safely.
		s.emit(id, table.Change{
			Kind: table.Reboot, Pool: h.Pool(), Reason: h.Reason(), Cause: "no new boot seen; order repeated",
		})
	}
	s.reportOverrun(id, h, s.settings.RebootOverrun, "host has not come back from its reboot")
}

// finishReboot starts the probation of a host that is up with a new boot id. The host
// may have rebooted by itself while the order is still on its way. Therefore the
// order is repeated first, and the host must then stay up for ReturnAfter.
func (s *System) finishReboot(id table.HostID, h *table.Host, track *hostTrack) {
	if track.rebootConfirmedAt.IsZero() {
		track.rebootConfirmedAt = s.now
		s.emit(id, table.Change{
			Kind: table.Reboot, Pool: h.Pool(), Reason: h.Reason(), Cause: "new boot seen; order confirmed",
		})
		return
	}
	if s.now.Sub(track.rebootConfirmedAt) < s.settings.ReturnAfter {
		return
	}
	s.emit(id, table.Change{
		Kind: table.StartProbation, Pool: h.Pool(), Reason: h.Reason(), Cause: "host answers with a new boot",
	})
}

// followProbation records a failure of a host in probation, or returns the host to
// service after Probation.
func (s *System) followProbation(id table.HostID, h *table.Host) {
	track := &s.tracks[id]
	if s.recordFailure(id, h) {
		return
	}
	if track.upAt.IsZero() || !track.fresh() {
		return
	}
	if h.Failing() {
		good, bad := h.TaskOutcomes()
		s.emit(id, table.Change{
			Kind: table.Report, Pool: h.Pool(), Reason: h.Reason(),
			Cause: "host fails its work in probation", Figure: bad, Limit: good,
		})
		return
	}
	start := track.phaseAt
	if track.upAt.After(start) {
		start = track.upAt
	}
	if good := s.now.Sub(start); good >= s.settings.Probation {
		s.emit(id, table.Change{
			Kind: table.EndOutage, Pool: h.Pool(), Reason: h.Reason(), Cause: "probation passed",
			Figure: good.Seconds(), Limit: s.settings.Probation.Seconds(),
		})
	}
}

// reportOverrun reports a phase that has lasted for limit or longer.
func (s *System) reportOverrun(id table.HostID, h *table.Host, limit time.Duration, cause string) {
	took := s.now.Sub(s.tracks[id].phaseAt)
	if took < limit {
		return
	}
	s.emit(id, table.Change{
		Kind: table.Report, Pool: h.Pool(), Reason: h.Reason(), Cause: cause,
		Figure: took.Seconds(), Limit: limit.Seconds(),
	})
}
