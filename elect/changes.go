package elect

import (
	"errors"
	"time"

	"github.com/phuslu/log"

	"shallotpaddle/plat"
)

// renewals is what is logged of the calls that get and renew the entry's lease. Of those that
// fail in a row, only the first is logged.
type renewals struct {
	// answeredAt is when the last answered renewal of the lease, or the request for it, was
	// sent, by SinceBoot; 0 before the first.
	answeredAt time.Duration
	// failures is the number of calls that have failed in a row, and failingSince when the
	// first of them was found to fail, by SinceBoot.
	failures     int
	failingSince time.Duration
}

// sinceRenewal adds to a line how long ago the last answered renewal was sent.
func (e *Elector) sinceRenewal(line *log.Entry) *log.Entry {
	if e.renewals.answeredAt == 0 {
		return line
	}
	return line.Dur("sinceRenewal", e.SinceBoot()-e.renewals.answeredAt)
}

// noteFailure logs the first of the failures in a row, and counts all.
func (e *Elector) noteFailure(err error, what string) {
	r := &e.renewals
	if r.failures++; r.failures == 1 {
		r.failingSince = e.SinceBoot()
		e.sinceRenewal(e.Log.Warn()).Int64("lease", e.lease).Int("pools", len(e.held)).Err(err).Msg(what)
	}
}

// noteAnswer records that a call sent at the given time was answered, and returns the number of
// failures before it and how long they lasted.
func (e *Elector) noteAnswer(sent time.Duration) (int, time.Duration) {
	r := &e.renewals
	failures, lasted := r.failures, time.Duration(0)
	if failures > 0 {
		lasted = e.SinceBoot() - r.failingSince
	}
	r.answeredAt, r.failures = sent, 0
	return failures, lasted
}

// noteRenewal logs that renewals of the lease have begun to fail, or succeed again.
func (e *Elector) noteRenewal(m leaseRenewed) {
	switch {
	case m.lease != e.lease, errors.Is(m.err, plat.ErrNotFound): // the lease has ended
	case m.err != nil:
		e.noteFailure(m.err, "renewing the lease failed; retrying")
	default:
		if failures, lasted := e.noteAnswer(m.sent); failures > 0 {
			e.Log.Warn().Int64("lease", m.lease).Int("pools", len(e.held)).Int("tries", failures).Dur("away", lasted).Msg("renewals of the lease succeed again")
		}
	}
}

// logRegistered logs a new lease: as a warning if the entry had one before.
func (e *Elector) logRegistered(m leaseGranted) {
	line := e.Log.Info()
	if e.renewals.answeredAt != 0 {
		line = e.sinceRenewal(e.Log.Warn())
	}
	failures, lasted := e.noteAnswer(m.sent)
	line.Int64("lease", m.lease).Dur("ttl", e.TTL).Int("tries", failures).Dur("away", lasted).Msg("entry registered")
}

// logWon logs the leadership of a pool: as a warning if it had another leader before.
func (e *Elector) logWon(t Term) {
	line := e.Log.Info()
	if t.Number > 1 {
		line = e.Log.Warn()
	}
	e.sinceRenewal(line).Str("pool", t.Pool).Int64("fence", t.Fence).Int("term", t.Number).Msg("leadership won")
}
