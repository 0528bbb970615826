package maint

import (
	"time"

	"shallotpaddle/table"
)

// followOutage carries one host's outage on, or records that the host has failed.
func (s *System) followOutage(id table.HostID, v *poolState) {
	h := s.tables.Host(id)
	switch {
	case h.Reason() == table.Move:
		// Package moves carries it.
	case h.Reason() == table.InService:
		s.recordFailure(id, h)
	case h.Reason() == table.Failed:
		s.followFailed(id, h)
	case h.Phase() == table.Draining:
		s.followDrain(id, h, v)
	case h.Phase() == table.Rebooting:
		s.followReboot(id, h)
	case h.Phase() == table.Probation:
		s.followProbation(id, h)
	}
}

// recordFailure records the failure of a host that is in service or draining. It tells
// whether the host is down.
func (s *System) recordFailure(id table.HostID, h *table.Host) bool {
	if s.isolated {
		return false
	}
	k := &s.tracks[id]
	limit, cause := s.settings.FailAfter, "host does not answer"
	if h.Listing() != table.Live {
		limit, cause = s.settings.GoneAfter, "host does not answer and is not listed as live"
	}
	if h.Listing() == table.Leaving && h.Reason() == table.InService {
		s.emitFailure(id, h, "platform lists the host as leaving", 0, 0)
		return true
	}
	if k.downAt.IsZero() || s.now.Sub(k.downAt) < limit {
		return false
	}
	s.emitFailure(id, h, cause, s.now.Sub(k.downAt).Seconds(), limit.Seconds())
	return true
}

func (s *System) emitFailure(id table.HostID, h *table.Host, cause string, figure, limit float64) {
	s.emit(id, table.Change{
		Kind: table.RecordFailure, Pool: h.Pool(), Reason: table.Failed, Cause: cause, Figure: figure, Limit: limit,
	})
}

// followFailed starts the probation of a failed host that answers again.
func (s *System) followFailed(id table.HostID, h *table.Host) {
	k := &s.tracks[id]
	if k.upAt.IsZero() || h.Listing() != table.Live {
		return
	}
	up := s.now.Sub(k.upAt)
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

func (s *System) followDrain(id table.HostID, h *table.Host, v *poolState) {
	if s.recordFailure(id, h) {
		return
	}
	if cause := v.recallCause(s, id, h); cause != "" {
		s.emit(id, table.Change{
			Kind: table.CancelPermit, Pool: h.Pool(), Reason: h.Reason(), Cause: cause,
			Figure: float64(v.out), Limit: float64(v.spec.Budget),
		})
		return
	}
	k := &s.tracks[id]
	// Probes after the acknowledgement prove that nothing is in flight: by then
	// no entry sent new work.
	if h.Healthy() && h.MoveAcked() && k.fresh() && h.BusySlots() == 0 {
		s.emit(id, table.Change{
			Kind: table.Reboot, Pool: h.Pool(), Reason: h.Reason(), Cause: "drain complete",
			Figure: float64(h.BusySlots()),
		})
		return
	}
	s.reportOverrun(id, h, s.settings.DrainOverrun, "drain overruns; tasks in flight are waited for")
}

func (s *System) followReboot(id table.HostID, h *table.Host) {
	k := &s.tracks[id]
	switch {
	case k.fresh() && h.BootID() != h.OutageBootID():
		s.finishReboot(id, h, k)
		return
	case h.Healthy() && s.now.Sub(k.phaseAt) >= s.settings.FailAfter:
		// Orders of one operation are one order, so a repeat is safe.
		s.emit(id, table.Change{
			Kind: table.Reboot, Pool: h.Pool(), Reason: h.Reason(), Cause: "no new boot seen; order repeated",
		})
	}
	s.reportOverrun(id, h, s.settings.RebootOverrun, "host has not come back from its reboot")
}

// finishReboot ends the reboot of a host that is up with a new boot. The boot may
// be the host's own while the order is still on its way, so the order is
// repeated first, and the host must stay up after it.
func (s *System) finishReboot(id table.HostID, h *table.Host, k *hostTrack) {
	if k.rebootConfirmedAt.IsZero() {
		k.rebootConfirmedAt = s.now
		s.emit(id, table.Change{
			Kind: table.Reboot, Pool: h.Pool(), Reason: h.Reason(), Cause: "new boot seen; order confirmed",
		})
		return
	}
	if s.now.Sub(k.rebootConfirmedAt) < s.settings.ReturnAfter {
		return
	}
	s.emit(id, table.Change{
		Kind: table.StartProbation, Pool: h.Pool(), Reason: h.Reason(), Cause: "host answers with a new boot",
	})
}

func (s *System) followProbation(id table.HostID, h *table.Host) {
	k := &s.tracks[id]
	if s.recordFailure(id, h) {
		return
	}
	if k.upAt.IsZero() || !k.fresh() {
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
	start := k.phaseAt
	if k.upAt.After(start) {
		start = k.upAt
	}
	if good := s.now.Sub(start); good >= s.settings.Probation {
		s.emit(id, table.Change{
			Kind: table.EndOutage, Pool: h.Pool(), Reason: h.Reason(), Cause: "probation passed",
			Figure: good.Seconds(), Limit: s.settings.Probation.Seconds(),
		})
	}
}

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
