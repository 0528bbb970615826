package owner

import (
	"slices"
	"time"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// lapsedLease records an incarnation that was given up as its lease was over. Nothing that
// it lists when it answers again has ended later than that.
type lapsedLease struct {
	startedMs int64
	since     time.Time // when it was given up, or later if an earlier owner did
	atMs      int64     // the reading of the clock of the pool at which an earlier owner did, if known
}

const (
	// maxLapsedAge is how long a worker that was given up is remembered.
	maxLapsedAge = 10 * time.Minute
	// maxUnacked is the number of ends that wait to be acknowledged from which a worker gets
	// no starts. It leaves room in the worker's list for the runs that are active.
	maxUnacked = 300
	// maxEndsListed is the number of ends that a worker lists in one report.
	maxEndsListed = 500
)

// recordLapsed records that the lease of a worker that is given up is over. Nothing is known
// of a lease that an order to an earlier incarnation may have given.
func (o *Owner) recordLapsed(h *host, now time.Time) {
	if h.startedMs == 0 || !h.answered && (h.formerLease || now.Before(h.lateLeases.Add(o.longestLease()))) {
		return
	}
	o.lapsed[h.id] = lapsedLease{startedMs: h.startedMs, since: now}
}

// forgetLapsed drops the workers that were given up long ago.
func (o *Owner) forgetLapsed(now time.Time) {
	for id, l := range o.lapsed {
		if now.Sub(l.since) > maxLapsedAge {
			delete(o.lapsed, id)
			o.markChanged(o.roster)
		}
	}
}

// lapsedBefore reports whether the lease of a worker that answers this owner for the first
// time was over before the poll was sent, and nothing has run there since.
func (o *Owner) lapsedBefore(h *host, m *pollResult) bool {
	if m.report.StartedMs == 0 || m.report.StartedMs != h.startedMs {
		return false
	}
	if l, ok := o.lapsed[h.id]; ok {
		return l.startedMs == h.startedMs
	}
	return h.inherited && !h.formerLease && h.leaseExpired(m.sent, o.silentSince(h, o.Clock.Now()))
}

// recordLapse records the ends of a report after which the worker's lease has lapsed. over
// tells that it had when the report was made, which its clock may show as well.
func (h *host) recordLapse(r *runs.Report, over bool) {
	over = over || r.ClockMs > h.leaseUntil+leaseSlack.Milliseconds()
	for _, e := range r.Ended {
		if over || e.Outcome == runs.LeaseExpired {
			h.lapsedThrough = max(h.lapsedThrough, e.Number)
		}
	}
}

// releaseWithheld lets the withheld ends after which the lease has lapsed be acknowledged.
func (o *Owner) releaseWithheld(h *host) {
	released := 0
	for i := range h.unacked {
		if a := &h.unacked[i]; a.withheld && a.number <= h.lapsedThrough {
			a.withheld = false
			released++
		}
	}
	if released == 0 {
		return
	}
	o.countWithheld(h, -released)
	o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int("ends", released).Int("left", h.withheld).Int64("through", h.lapsedThrough).
		Msg("withheld ends may be acknowledged: the lease has lapsed since")
}

// countWithheld adds to the number of ends that are withheld from a worker.
func (o *Owner) countWithheld(h *host, n int) {
	h.withheld += n
	o.withheld += n
	o.Stats.Withheld.Inc(int64(n))
}

// restWorkers takes workers with many withheld ends out of use until their leases lapse, as
// only then their ends can be acknowledged. All of them at once would leave the pool without
// workers: the first rests at half of the limit.
func (o *Owner) restWorkers() {
	if o.withheld == 0 && o.resting == 0 {
		return
	}
	resting := 0
	for _, h := range o.hosts {
		if h.resting && h.withheld == 0 {
			h.resting, o.passNeeded = false, true
			o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Msg("worker may be used again: no end is withheld")
		}
		if h.resting {
			resting++
		}
	}
	for _, h := range o.hosts {
		if h.resting || h.withheld == 0 || len(h.unacked) < maxUnacked/2 || resting > 0 && len(h.unacked) < maxUnacked {
			continue
		}
		h.resting = true
		resting++
		o.Log.Warn().Str("pool", o.Pool).Str("host", h.id).Int("withheld", h.withheld).Int("unacked", len(h.unacked)).Int("runs", len(h.runs)).
			Msg("worker gets no starts until its lease lapses: too many ends are withheld")
	}
	o.resting = resting
}

// stopOnResting stops long-running subtasks on resting workers, one at a time, if another
// worker can run them: they would extend the lease forever.
func (o *Owner) stopOnResting(h *host, now time.Time) {
	for _, p := range h.runs {
		if !p.task.Step.LongRunning || p.stopping || p.task.Phase != steps.Running || !o.mayStop(p.task, now) {
			continue
		}
		cands, candHosts := o.candidates(now)
		if o.chooseHost(p.task, o.advisedDemandOf(p.task, now), cands, candHosts) < 0 {
			continue
		}
		o.stopRun(h, p, "worker rests")
		return
	}
}

// forgetWithheld takes the withheld ends of an owner that ends out of the metrics.
func (o *Owner) forgetWithheld() { o.Stats.Withheld.Dec(int64(o.withheld)) }

// needsLease reports whether the lease of a worker is to be extended. Runs that a full list
// of ends leaves out may be over, and are if the worker reports no active run.
func (h *host) needsLease() bool {
	if h.awaitsJobs {
		return true
	}
	if len(h.runs) == 0 {
		return false
	}
	if !h.idle {
		return true
	}
	for _, p := range h.runs {
		if p.confirmedAt.IsZero() || !p.confirmedAt.Before(h.lastReport) {
			return true
		}
	}
	return false
}

// listsAllEnds reports whether a report has all ends that are not acknowledged yet.
func listsAllEnds(r *runs.Report) bool { return len(r.Ended) < maxEndsListed }

// lapsedEntries returns the roster entries of the workers that were given up, for a later
// owner, by ID.
func (o *Owner) lapsedEntries() []rosterEntry {
	out := make([]rosterEntry, 0, len(o.lapsed))
	for id, l := range o.lapsed {
		out = append(out, rosterEntry{ID: id, StartedMs: l.startedMs, Lapsed: true, LapsedMs: o.lapsedAt(l)})
	}
	slices.SortFunc(out, func(a, b rosterEntry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
