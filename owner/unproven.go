package owner

import (
	"maps"
	"time"

	"shallotpaddle/hosts"
)

// refusal is a registration that was refuted before its worker ever answered: another worker
// answers at the address.
type refusal struct {
	address   string
	startedMs int64
	pause     time.Duration
	until     time.Time // when it is tried again
}

const (
	// minRefusalPause is the pause after the first refusal of a registration. It doubles with
	// each further one, up to maxRefusalPause: the entry may be true soon, if its worker takes
	// the address over.
	minRefusalPause = time.Second
	maxRefusalPause = 30 * time.Second
)

// noteRefused notes that the registration of a worker was refused.
func (o *Owner) noteRefused(h *host, now time.Time) {
	maps.DeleteFunc(o.refusals, func(_ string, r *refusal) bool { return now.Sub(r.until) > maxRefusalPause })
	pause := minRefusalPause
	if r := o.refusals[h.id]; r != nil && r.sameAs(&h.worker) {
		pause = min(2*r.pause, maxRefusalPause)
	}
	o.refusals[h.id] = &refusal{h.worker.Address, h.worker.StartedMs, pause, now.Add(pause)}
}

func (r *refusal) sameAs(w *hosts.Worker) bool {
	return r.address == w.Address && r.startedMs == w.StartedMs
}

// wasRefused reports whether a registration of a worker that is not known was refused lately.
func (o *Owner) wasRefused(w *hosts.Worker, now time.Time) bool {
	r := o.refusals[w.ID]
	return r != nil && o.hosts[w.ID] == nil && r.sameAs(w) && now.Before(r.until)
}

// inRoster reports whether the worker belongs in the stored roster: it may have runs. Only one
// that has answered gets any from this owner. Others come from an earlier owner's roster.
func (o *Owner) inRoster(h *host) bool { return h.answered || o.mayHaveEarlierRuns(h) }

// mayHaveEarlierRuns reports whether the worker, which has not answered, may have runs of an
// earlier owner. That one has started none before the roster with the worker was stored, and
// none of its writes is carried out after this owner's election.
func (o *Owner) mayHaveEarlierRuns(h *host) bool { return h.inherited || o.former.rosterUnread }

// enterRoster adds a worker that has answered for the first time to the roster.
func (o *Owner) enterRoster(h *host) {
	delete(o.refusals, h.id)
	delete(o.lapsed, h.id)
	o.electorates.changed = true
	if h.inherited && h.storedSilence == 0 {
		return
	}
	o.markChanged(o.roster)
	h.rosterVersion = o.roster.version
}

// awaitedAtTakeover reports whether the takeover waits for an answer of the worker. One that is
// only registered is given the quick tries of a poll: an order of an earlier owner may
// reach it late, if it is another incarnation of a worker that was removed from the roster.
func (o *Owner) awaitedAtTakeover(h *host, now time.Time) bool {
	if h.answered || o.leaseOver(h, now) {
		return false
	}
	return o.mayHaveEarlierRuns(h) || h.failedPolls < quickTries
}

// lostHosts returns the number of workers of earlier owners that have not answered.
func (o *Owner) lostHosts() int {
	n := 0
	for _, h := range o.hosts {
		if !h.answered && o.mayHaveEarlierRuns(h) {
			n++
		}
	}
	return n
}
