package owner

import "time"

const (
	// maxEvidenceAge is the age of its evidence up to which an owner gives starts and leases: an
	// election that is not renewed ends within it, and there is time for a round of polls.
	maxEvidenceAge = 2 * time.Second
	// maxProofAge is the age of the store's proof from which on the workers are asked as well.
	maxProofAge = maxEvidenceAge / 2
	// maxUnproven is for how long owners go on by the word of the workers alone while the store
	// can't be reached.
	maxUnproven = 20 * time.Second
	// formerWait is how long a later owner waits that reaches no majority of the workers, and does
	// not know that the earlier ones have ended: as long, by a clock that may differ.
	formerWait = maxUnproven + maxUnproven/50
)

// updateEvidence updates the time of the evidence that this owner is in charge of its pool: no
// later one had been elected then, or at least a majority of the voters had not heard of it.
func (o *Owner) updateEvidence() {
	o.roundAt = o.SinceBoot()
	o.noteProof(o.ProvenAt())
	if inDoubt := o.roundAt-o.provenAt > maxProofAge; inDoubt != o.inDoubt {
		o.inDoubt = inDoubt
		o.logDoubt()
	}
	if o.inDoubt {
		o.evidence = max(o.evidence, min(o.obeyedAt(), o.provenAt+maxUnproven))
	}
	if outOfCharge := !o.inCharge(); outOfCharge != o.outOfCharge {
		o.outOfCharge = outOfCharge
		o.noteCharge()
	}
}

// noteCharge logs that the owner stops giving starts and leases, or gives them again.
func (o *Owner) noteCharge() {
	what := "owner has evidence again that it is in charge"
	if o.outOfCharge {
		what = "owner has no evidence that it is in charge; giving neither starts nor leases"
		o.Stats.EvidenceLost.Inc(1)
	}
	o.passNeeded = true
	o.identify(o.Log.Warn()).Dur("evidence", o.roundAt-o.evidence).Dur("proof", o.roundAt-o.provenAt).Int("hosts", len(o.hosts)).Msg(what)
}

// noteProof records that the store has proved by a call sent at a time, by SinceBoot, that this
// owner's election was in force.
func (o *Owner) noteProof(sent time.Duration) {
	o.provenAt = max(o.provenAt, sent)
	o.evidence = max(o.evidence, o.provenAt)
}

// inCharge reports whether the owner may give starts and leases. A later owner that can't reach
// a worker gives it up once every lease that this one may have given there is over.
func (o *Owner) inCharge() bool { return o.roundAt-o.evidence <= maxEvidenceAge }

// leaseLength returns the length of the leases that the owner gives now, not positive if it
// must give none. Each ends at most leaseHorizon after the evidence.
func (o *Owner) leaseLength() time.Duration {
	return min(time.Duration(float64(o.Bounds.MaxLease)*leaseFraction), leaseCap, o.evidence+leaseHorizon-o.roundAt)
}

// checkFormer notes when the earlier owners have given their last lease at the latest, so that
// workers that don't answer can be given up one lease later.
func (o *Owner) checkFormer(now time.Time) {
	if !o.formerOver.IsZero() {
		return
	}
	cause := ""
	switch {
	case o.Term <= 1:
		cause = "there was none"
	case o.FormerEnded():
		cause = "they have ended"
	case o.formerFenced():
		cause = "a majority of the workers refuses their tokens"
	case now.Sub(o.pollsSince) >= formerWait:
		cause = "they could not go on for longer"
	default:
		o.warnOfFormer(now)
		return
	}
	o.formerOver, o.electorates.changed = o.Clock.Now(), true
	if o.Term <= 1 {
		o.formerOver = o.pollsSince
	}
	o.identify(o.Log.Info()).Str("cause", cause).Dur("after", now.Sub(o.pollsSince)).
		Int("voters", len(o.electorates.former)).Int("refusing", len(o.electorates.fenced)).Int("unread", o.unansweredHosts()).
		Msg("earlier owners give no leases any more")
	if o.Term > 1 {
		o.Settled()
	}
}

// formerWarning is the time after the first polls from which waiting for earlier owners is
// worth a warning: answers to the first polls take less.
const formerWarning = time.Second

// warnOfFormer warns once that this owner waits for earlier ones.
func (o *Owner) warnOfFormer(now time.Time) {
	if o.formerWarned || now.Sub(o.pollsSince) < formerWarning {
		return
	}
	o.formerWarned = true
	o.identify(o.Log.Warn()).Int("voters", len(o.electorates.former)).Int("refusing", len(o.electorates.fenced)).Int("unread", o.unansweredHosts()).
		Msg("an earlier owner may be in charge of workers that don't answer; waiting for it")
}

// leaseOver reports whether every lease on a worker has expired for certain, and no later owner
// can have extended one before: none had been elected by then.
func (o *Owner) leaseOver(h *host, now time.Time) bool {
	from, proven := o.silentSince(h, now), now.Add(o.provenAt-o.roundAt)
	return h.leaseExpired(now, from) && h.leaseExpired(proven.Add(leaseSlack), from)
}

// leasesFrom returns the time from which on no earlier owner gives leases; now if it is not known.
func (o *Owner) leasesFrom(now time.Time) time.Time {
	switch {
	case !o.formerOver.IsZero():
		return o.formerOver
	case o.Term <= 1:
		return o.pollsSince
	default:
		return now
	}
}
