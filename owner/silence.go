package owner

import (
	"cmp"
	"time"
)

// Silence of workers is stored each silenceInterval while it decides when they are given up. An
// owner that is lost loses so much of it, so that it is stored more often during earlyPeriod: an
// owner that lasts no longer has little to pass on.
const (
	silenceInterval      = 250 * time.Millisecond
	earlySilenceInterval = 100 * time.Millisecond
	earlyPeriod          = time.Second
)

// silentSince returns since when no owner can have given a lease to a worker that has not answered
// this one; now if that is not known.
func (o *Owner) silentSince(h *host, now time.Time) time.Time {
	from := o.leasesFrom(now)
	if h.silentSince.IsZero() {
		return from
	}
	return earlier(from, h.silentSince)
}

// silence returns for how long, at least, no owner has given a lease to a worker of the roster
// that has not answered this one.
func (o *Owner) silence(h *host, now time.Time) time.Duration {
	if h.answered || !h.inherited {
		return 0
	}
	return max(now.Sub(o.silentSince(h, now)), 0).Truncate(time.Millisecond)
}

// rosterEntry returns a worker's entry in the roster as it is to be stored. The next owner goes by
// the silence in it: from then on this one gives the worker neither starts nor leases before a
// roster without it is stored, see enterRoster and mayLease.
func (o *Owner) rosterEntry(h *host, now time.Time) rosterEntry {
	e := h.rosterEntry()
	if d := o.silence(h, now); d > 0 {
		h.storedSilence, o.silenceStoredAt = d, now
		e.SilentMs, e.SilentTerm, e.SilentFrom = d.Milliseconds(), o.Term, cmp.Or(h.silentFrom, o.Term)
	}
	return e
}

// inheritSilence takes over the silence of a worker from the roster. Only the owner before this one
// can vouch for it: it gives no leases after this election unless the roster says so, while others
// in between may have given some and left the roster as it was.
//
// The silence had lasted that long when it was written, which was before this owner's election. Its
// entry may know more: no lease was given since the first of the owners that vouch for it, and
// none by an earlier one since the entry knew that these act no more.
func (o *Owner) inheritSilence(h *host, e *rosterEntry) {
	if e.SilentMs <= 0 || e.SilentTerm != o.Term-1 || e.SilentFrom <= 0 || e.SilentFrom > e.SilentTerm {
		return
	}
	h.silentSince, h.silentFrom = o.startedAt.Add(-time.Duration(e.SilentMs)*time.Millisecond), e.SilentFrom
	if at, ok := o.SettledAt(e.SilentFrom); ok {
		h.silentSince = earlier(h.silentSince, o.Clock.Now().Add(at-o.SinceBoot()))
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// storeSilence has the roster stored again from time to time while a worker in it is silent, and
// less of its silence is stored than the time after which it is given up.
func (o *Owner) storeSilence(now time.Time) {
	interval := silenceInterval
	if now.Sub(o.startedAt) < earlyPeriod {
		interval = earlySilenceInterval
	}
	if now.Sub(o.silenceStoredAt) < interval {
		return
	}
	for _, h := range o.hosts {
		if o.silence(h, now) == 0 {
			continue
		}
		if from := o.silentSince(h, now); !h.leaseExpired(from.Add(h.storedSilence), from) {
			o.silenceStoredAt = now
			o.markChanged(o.roster)
			return
		}
	}
}

// mayLease reports whether the owner may extend the lease of a worker: the stored roster has it,
// and no longer as silent.
func (o *Owner) mayLease(h *host) bool { return o.inCharge() && h.rosterVersion <= o.roster.stored }
