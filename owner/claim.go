package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
)

// claim is a registration that contradicts what a worker has said of itself. Anybody may have
// written it: whether it is true is asked of whatever answers at its address.
type claim struct {
	worker hosts.Worker // as registered
	since  time.Time    // when it was first read
	asking bool         // a call to the address is under way
	tries  int          // calls without an answer
	next   time.Time    // when the address is to be called again
	// refuted tells that the worker has answered since as the incarnation that is known, or
	// that another worker answers at the address.
	refuted bool
}

// open reports whether it is not known yet whether the claim is true.
func (c *claim) open() bool { return c != nil && !c.refuted }

// sameAs reports whether a registration claims the same.
func (c *claim) sameAs(w hosts.Worker) bool {
	return c.worker.StartedMs == w.StartedMs && c.worker.Address == w.Address
}

const (
	// claimRetryDelay is the pause after a call without an answer to the address of a claim,
	// for each such call, up to maxClaimRetryDelay; the first ones are repeated at once.
	claimRetryDelay    = 100 * time.Millisecond
	maxClaimRetryDelay = time.Second
)

// mayHaveRestarted reports whether a worker is registered as another incarnation, which has not
// been refuted.
func (h *host) mayHaveRestarted() bool {
	return h.claim.open() && h.claim.worker.StartedMs != 0 && h.claim.worker.StartedMs != h.startedMs
}

// contradicts reports whether a registration names another incarnation or address than is known.
func (h *host) contradicts(w hosts.Worker) bool {
	return w.StartedMs != 0 && h.startedMs != 0 && w.StartedMs != h.startedMs || w.Address != h.worker.Address
}

// relabelTime is how long a registration must have other labels than before until they count: a
// worker writes its own entry several times meanwhile, so that the former ones were the error.
const relabelTime = 6 * time.Second

// relabelled reports whether a registration has other labels than the incarnation has had. They
// are those of its machine, and don't change in its life.
func (h *host) relabelled(w hosts.Worker, now time.Time) bool {
	if !h.answered || h.worker.Labels == nil || slices.Equal(h.worker.Labels, w.Labels) {
		h.relabelledSince = time.Time{}
		return false
	}
	if h.relabelledSince.IsZero() {
		h.relabelledSince = now
	}
	return now.Sub(h.relabelledSince) < relabelTime
}

// contest notes a registration that contradicts a worker, and asks at its address.
func (o *Owner) contest(h *host, w hosts.Worker, now time.Time) {
	if c := h.claim; c != nil && c.sameAs(w) {
		c.worker = w
		return
	}
	h.claim = &claim{worker: w, since: now, next: now}
	o.doubtNext(w.ID, w.StartedMs)
	o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int64("born", h.startedMs).Int64("registeredBorn", w.StartedMs).
		Str("address", h.worker.Address).Str("registeredAddress", w.Address).Int64("rev", w.Rev).Bool("answered", h.answered).
		Dur("sinceAnswer", now.Sub(h.clockAt)).Int("runs", len(h.runs)).Msg("registration contradicts what is known of the worker")
	o.askClaimant(h, now)
}

// claimAnswer is the answer at the address of a claim.
type claimAnswer struct {
	host   *host
	claim  *claim
	report runs.Report
	sent   time.Time
	err    error
}

// askClaimant asks at the address of a worker's claim, if that is due. The call gives no lease
// and acknowledges nothing.
func (o *Owner) askClaimant(h *host, now time.Time) {
	c := h.claim
	if !c.open() || c.asking || now.Before(c.next) {
		return
	}
	c.asking = true
	to, delay := runs.Target{ID: h.id, Address: c.worker.Address}, time.Duration(0)
	if h.losesCalls(now) && c.tries <= maxCopiedFailures {
		delay = max(minCopyDelay, copyDelayFactor*h.answerTime)
	}
	within := tryTimeout(c.tries+1, delay)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, within)
		defer cancel()
		r, _, err := callWorker(ctx, o.Clock, 0, delay, func(ctx context.Context, _ int) (runs.Report, error) {
			return o.Workers.Renew(ctx, to, runs.Renew{Fence: o.Fence})
		})
		o.post(claimAnswer{h, c, r, now, err})
	}()
}

// handleClaim applies the answer at the address of a claim. An answer comes from the worker
// itself, as calls name its ID: what it says of its incarnation is true.
func (o *Owner) handleClaim(m claimAnswer) {
	h, c, now := m.host, m.claim, o.Clock.Now()
	c.asking = false
	if o.hosts[h.id] != h || h.claim != c || c.refuted {
		return
	}
	born := m.report.StartedMs
	switch {
	case errors.Is(m.err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	case errors.Is(m.err, runs.ErrIncarnation):
		o.refute(h, "another worker answers at the address")
	case m.err != nil, born == 0: // a worker says of each report which incarnation it is from
		c.tries++
		c.next = now.Add(retryDelay(c.tries, min(time.Duration(c.tries)*claimRetryDelay, maxClaimRetryDelay)))
	case h.startedMs != 0 && born != h.startedMs:
		o.takeIncarnation(h, pollResult{host: h, report: m.report, sent: m.sent, address: c.worker.Address})
	case c.worker.StartedMs != 0 && c.worker.StartedMs != born:
		o.refute(h, "the worker answers as the incarnation that is known")
	default:
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Str("address", c.worker.Address).Msg("worker answers at its registered address")
		h.worker.Address = c.worker.Address
		o.markChanged(o.roster)
		o.updateWorker(c.worker, now)
	}
}

// refute notes that the claim of a worker's registration is not true. The worker gets no starts
// until its registration agrees with it.
func (o *Owner) refute(h *host, why string) {
	h.claim.refuted = true
	o.Log.Warn().Str("pool", o.Pool).Str("host", h.id).Int64("born", h.startedMs).Int64("registeredBorn", h.claim.worker.StartedMs).
		Str("registeredAddress", h.claim.worker.Address).Int64("rev", h.claim.worker.Rev).Str("cause", why).
		Msg("registration is not true of the worker")
}

// refuteByPoll refutes an open claim if the worker has answered a poll that was sent later, as
// the incarnation and at the address that are known.
func (o *Owner) refuteByPoll(h *host, sent time.Time) {
	if h.claim.open() && sent.After(h.claim.since) {
		o.refute(h, "the worker answers as the incarnation that is known")
	}
}

// takeIncarnation replaces a worker by the incarnation that has answered in its place, and
// applies its report: a subtask that it runs must not start elsewhere.
func (o *Owner) takeIncarnation(h *host, m pollResult) {
	now, w := o.Clock.Now(), h.worker
	if c := h.claim; c != nil && c.worker.StartedMs == m.report.StartedMs {
		w = c.worker
	} else {
		w.Capacity, w.Labels, w.Rack = hosts.Resources{}, nil, "" // until it is registered
	}
	w.Address, w.StartedMs = m.address, m.report.StartedMs
	if m.leased {
		o.recordLateOrder(h, m.sent, false) // the next incarnation has taken its lease
	}
	if o.inRoster(h) {
		h.claim = nil // settled by this answer
		o.replaceIncarnation(h, "another incarnation answers")
	} else {
		delete(o.hosts, h.id)
	}
	o.updateWorker(w, now)
	m.acked = 0 // it numbers its ends anew
	if m.host = o.hosts[w.ID]; m.host != nil {
		o.handlePoll(m)
	}
}
