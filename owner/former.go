package owner

import (
	"context"
	"errors"
	"time"

	"shallotpaddle/runs"
)

const (
	// formerPeriod is how long after the last evidence that an earlier owner can have had its
	// orders may be carried out: the last one and its copies are sent within an answer's time.
	formerPeriod = maxOrderDelay + maxEvidenceAge + maxAnswerTimeout
	// formerPollInterval is how often idle workers are polled meanwhile. These polls don't
	// wait, as a worker that is polled does not count as empty.
	formerPollInterval = 250 * time.Millisecond
	// maxAnnouncements limits the addresses of lost workers that are told the token at a time:
	// when hundreds of workers are lost, calls to them would take the CPU of all others.
	maxAnnouncements = 32
)

// formerOrdersMayCome reports whether orders of an earlier owner may still be carried out by
// an incarnation that has not seen this owner's token.
func (o *Owner) formerOrdersMayCome(now time.Time) bool {
	return o.Term > 1 && now.Sub(o.leasesFrom(now)) < formerPeriod
}

// announceTokenAt tells whatever answers next at the address of a lost worker this owner's
// token as soon as it is up, while an order of an earlier owner may be carried out there. The
// worker may be registered only later.
func (o *Owner) announceTokenAt(h *host) {
	if !o.formerOrdersMayCome(o.Clock.Now()) || o.announcements.Load() >= maxAnnouncements {
		return
	}
	o.announcements.Add(1)
	to := h.target()
	go func() {
		defer o.announcements.Add(-1)
		for o.ctx.Err() == nil && o.formerOrdersMayCome(o.Clock.Now()) {
			ctx, cancel := context.WithTimeout(o.ctx, minAnswerTimeout)
			_, err := o.Workers.Renew(ctx, to, runs.Renew{Fence: o.Fence})
			cancel()
			if err == nil || errors.Is(err, runs.ErrIncarnation) || errors.Is(err, runs.ErrFence) {
				return
			}
			o.sleep(o.ctx, orderRetryDelay)
		}
	}()
}
