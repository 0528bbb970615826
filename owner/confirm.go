package owner

import (
	"context"
	"time"

	"shallotpaddle/runs"
)

// maxAnswerAge is the age of a worker's last answer up to which orders are sent to it without asking
// first. Within it, the worker may have been lost or have restarted.
const maxAnswerAge = 200 * time.Millisecond

// confirmResult is the answer to a call that asks a worker for a report while a poll waits there.
type confirmResult pollResult

// mayOrder reports whether a worker has answered so lately that a start may be sent to it. If not,
// the worker is asked, and the start waits for the answer.
func (o *Owner) mayOrder(h *host, now time.Time) bool {
	if now.Sub(h.clockAt) <= maxAnswerAge {
		return true
	}
	o.confirm(h, now)
	return false
}

// confirm asks a worker for a report at once: by the next poll, or beside the one that waits.
func (o *Owner) confirm(h *host, now time.Time) {
	if h.confirming {
		return
	}
	h.confirming = true
	if !h.polling {
		h.nextPoll = now
		return
	}
	o.Stats.Polls.Inc(1)
	to, begun, delay := h.target(), o.roundAt, h.copyDelay(now)
	within := tryTimeout(h.failedPolls+1, delay)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, within)
		defer cancel()
		r, _, err := callWorker(ctx, o.Clock, 0, delay, func(ctx context.Context, _ int) (runs.Report, error) {
			return o.Workers.Renew(ctx, to, runs.Renew{Fence: o.Fence})
		})
		o.post(confirmResult{host: h, address: to.Address, report: r, sent: now, begun: begun, err: err})
	}()
}

// handleConfirmed applies the report of a worker that was asked beside a poll. Without an answer,
// the worker gets no starts until it answers a poll.
func (o *Owner) handleConfirmed(m confirmResult) {
	h, now := m.host, o.Clock.Now()
	if o.hosts[h.id] != h {
		return
	}
	h.confirming = false
	o.passNeeded = true
	if m.err != nil {
		h.unconfirmed = true
		o.storeDoubts(h)
		return
	}
	h.besideAt = now
	o.handleReport(pollResult(m), now)
}

// doubtIncarnation treats a worker as one that does not answer, until a report says which
// incarnation it is: it gets no starts, no lease, and no acknowledgement of ends.
func (o *Owner) doubtIncarnation(h *host, now time.Time) {
	if h.failingSince.IsZero() {
		h.failingSince = now
	}
	o.storeDoubts(h)
	o.confirm(h, now)
}
