package moves

import "shallotpaddle/table"

// follow carries on a move that the documents show, if this entry owns the
// pool that the host is in.
func (s *System) follow(id table.HostID, h *table.Host) {
	k := &s.hosts[id]
	if h.Pool() == table.None || !s.t.Pool(h.Pool()).Owned() {
		k.probes, k.seen = 0, h.LastSeen()
		return
	}
	if k.began.IsZero() {
		k.began = s.now
	}
	switch {
	case h.Reason() == table.Move && h.OutagePool() != table.None && h.OutagePool() != h.Pool():
		s.emit(id, table.Change{
			Kind: table.EndOutage, Pool: h.OutagePool(), Reason: table.Move, Cause: "host has joined its new pool",
		})
	case h.Reason() != table.Move:
		s.callOff(id, h, "marked host is out of service for another reason")
	case k.called || s.stop(id, h) != "":
		s.callOff(id, h, s.stop(id, h))
	case h.MoveTarget() == table.None:
		s.mark(id, h, k)
	default:
		s.transfer(id, h, k)
	}
}

// stop tells why a move should not go on, or "".
func (s *System) stop(id table.HostID, h *table.Host) string {
	p := s.t.Pool(h.Pool())
	switch {
	case !h.Healthy() || h.Listing() != table.Live:
		return "host to be moved is not live"
	case p.OutOfService() > p.Spec().Budget:
		return "failures passed the availability budget; move called off"
	case s.hosts[id].tries > s.set.MaxMarks:
		return "mark was refused; move called off"
	default:
		return ""
	}
}

// callOff takes off the mark, for good also for one still on its way, and then
// gives the permit back.
func (s *System) callOff(id table.HostID, h *table.Host, cause string) {
	k := &s.hosts[id]
	k.called = true
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

// mark starts the drain of a permitted host towards the pool it was chosen
// for, or the one most in need when that is not known.
func (s *System) mark(id table.HostID, h *table.Host, k *track) {
	if k.dest == table.None {
		k.dest = s.destination(h.Pool())
	}
	if k.dest == table.None || k.dest == h.Pool() {
		s.callOff(id, h, "no pool needs the host any more")
		return
	}
	if s.emit(id, table.Change{Kind: table.StartMove, Pool: k.dest, Reason: table.Move, Cause: "permit granted"}) {
		k.tries++
	}
}

// transfer completes the move once every entry knows of the mark and a later
// probe shows no task in flight.
func (s *System) transfer(id table.HostID, h *table.Host, k *track) {
	if !h.MoveAcked() || k.seen.IsZero() {
		k.probes, k.seen = 0, h.LastSeen()
	}
	if k.probes < freshProbes && h.LastSeen().After(k.seen) {
		k.probes, k.seen = k.probes+1, h.LastSeen()
	}
	if h.MoveAcked() && k.probes >= freshProbes && h.BusySlots() == 0 {
		if s.emit(id, table.Change{
			Kind: table.CompleteMove, Pool: h.MoveTarget(), Reason: table.Move, Cause: "drain complete",
			Figure: s.now.Sub(k.began).Seconds(),
		}) {
			s.moved++
		}
		return
	}
	if took := s.now.Sub(k.began); took >= s.set.ReportOverrunAfter {
		s.emit(id, table.Change{
			Kind: table.Report, Pool: h.Pool(), Reason: table.Move, Cause: "move overruns; tasks in flight are waited for",
			Figure: took.Seconds(), Limit: s.set.ReportOverrunAfter.Seconds(),
		})
	}
}
