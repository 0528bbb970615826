package moves

import "shallotpaddle/table"

// continueMove takes the next step of a move that the documents show, if this
// entry owns the pool that the host is in.
func (s *System) continueMove(id table.HostID, h *table.Host) {
	m := &s.hosts[id]
	if h.Pool() == table.None || !s.t.Pool(h.Pool()).Owned() {
		m.probes, m.lastProbe = 0, h.LastSeen()
		return
	}
	if m.began.IsZero() {
		m.began = s.now
	}
	switch {
	case h.Reason() == table.Move && h.OutagePool() != table.None && h.OutagePool() != h.Pool():
		s.emit(id, table.Change{
			Kind: table.EndOutage, Pool: h.OutagePool(), Reason: table.Move, Cause: "host has joined its new pool",
		})
	case h.Reason() != table.Move:
		s.cancelMove(id, h, "marked host is out of service for another reason")
	case m.cancelling || s.cancelCause(id, h) != "":
		s.cancelMove(id, h, s.cancelCause(id, h))
	case h.MoveTarget() == table.None:
		s.startMove(id, h, m)
	default:
		s.completeMove(id, h, m)
	}
}

// cancelCause returns why a move must be cancelled, or "" if it can go on.
func (s *System) cancelCause(id table.HostID, h *table.Host) string {
	p := s.t.Pool(h.Pool())
	switch {
	case !h.Healthy() || h.Listing() != table.Live:
		return "host to be moved is not live"
	case p.OutOfService() > p.Spec().Budget:
		return "failures passed the availability budget; move called off"
	case s.hosts[id].starts > s.settings.MaxStarts:
		return "mark was refused; move called off"
	default:
		return ""
	}
}

// cancelMove cancels the move in the placement document and then the permit. The
// cancellation raises the host's epoch, so that a start of the move that is still
// being written is refused.
func (s *System) cancelMove(id table.HostID, h *table.Host, cause string) {
	m := &s.hosts[id]
	m.cancelling = true
	if cause == "" {
		cause = "move called off"
	}
	c := table.Change{Kind: table.CancelMove, Pool: h.Pool(), Reason: table.Move, Cause: cause}
	if !s.emit(id, c) || h.Reason() != table.Move {
		return
	}
	c.Kind, c.Host = table.CancelPermit, id
	s.out = append(s.out, c)
}

// startMove starts the move of a host that has a permit, upon which the host
// drains. The host goes to the pool that it was chosen for; if this entry does not
// know that pool, startMove chooses a pool again.
func (s *System) startMove(id table.HostID, h *table.Host, m *moveState) {
	if m.dest == table.None {
		m.dest = s.newDestination(h.Pool())
	}
	if m.dest == table.None || m.dest == h.Pool() {
		s.cancelMove(id, h, "no pool needs the host any more")
		return
	}
	if s.emit(id, table.Change{Kind: table.StartMove, Pool: m.dest, Reason: table.Move, Cause: "permit granted"}) {
		m.starts++
	}
}

// completeMove completes the move once every entry has acknowledged the mark and
// minProbes later probes have been made, the last of which shows no task in
// flight.
func (s *System) completeMove(id table.HostID, h *table.Host, m *moveState) {
	if !h.DrainAcked() || m.lastProbe.IsZero() {
		m.probes, m.lastProbe = 0, h.LastSeen()
	}
	if m.probes < minProbes && h.LastSeen().After(m.lastProbe) {
		m.probes, m.lastProbe = m.probes+1, h.LastSeen()
	}
	if h.DrainAcked() && m.probes >= minProbes && h.BusySlots() == 0 {
		if s.emit(id, table.Change{
			Kind: table.CompleteMove, Pool: h.MoveTarget(), Reason: table.Move, Cause: "drain complete",
			Figure: s.now.Sub(m.began).Seconds(),
		}) {
			s.completed++
		}
		return
	}
	if took := s.now.Sub(m.began); took >= s.settings.ReportOverrunAfter {
		s.emit(id, table.Change{
			Kind: table.Report, Pool: h.Pool(), Reason: table.Move, Cause: "move overruns; tasks in flight are waited for",
			Figure: took.Seconds(), Limit: s.settings.ReportOverrunAfter.Seconds(),
		})
	}
}
