package owner

import (
	"time"

	"shallotpaddle/aging"
	"shallotpaddle/plat"
)

const (
	// agesInterval is how often the clock of a pool is stored while the pool has anything that is
	// removed at an age.
	agesInterval = 10 * time.Second
	// sharedAgesInterval is how often it is stored together with other documents, which costs no call.
	sharedAgesInterval = 500 * time.Millisecond
)

// cancelRequest is a stored cancellation of a job, which may not be known yet.
type cancelRequest struct {
	since time.Time // when this owner first read it
	rev   int64     // of its key
}

func agesKey(pool string) string { return aging.KeyPrefix + pool }

// endedKept is how long a job that has ended is kept.
func (o *Owner) endedKept() time.Duration { return o.Bounds.StatusRetention + removalDelay }

// writtenBefore reports whether a key at a revision was written so long ago that an ended job need
// not be kept any more, under whichever owner.
func (o *Owner) writtenBefore(rev int64, now time.Time) bool {
	return rev > 0 && o.ages.Older(rev, o.endedKept(), now)
}

// applyAges goes on with the clock that the earlier owners have stored, if it is among the items.
func (o *Owner) applyAges(items []plat.Item) {
	now := o.Clock.Now()
	o.ages, o.agesStoredAt = aging.New(o.endedKept(), now), now
	for _, it := range items {
		if it.Key != o.agesDoc.key {
			continue
		}
		o.agesDoc.rev = it.Rev
		if err := o.ages.Load(it.Value, it.Rev, now); err != nil {
			o.Log.Error().Str("pool", o.Pool).Err(err).Msg("stored clock of the pool is not readable")
		}
	}
}

func (o *Owner) encodeAges() []byte {
	b, err := o.ages.Encode(o.Clock.Now())
	if err != nil {
		o.Log.Error().Str("pool", o.Pool).Err(err).Msg("encoding the clock of the pool failed")
	}
	return b
}

// updateAges queues the clock for writing when it is due.
func (o *Owner) updateAges(now time.Time) {
	due := agesInterval
	if len(o.writer.queue) > 0 {
		due = sharedAgesInterval
	}
	if o.agesDoc.queued || now.Sub(o.agesStoredAt) < due || !o.keepsAged() {
		return
	}
	o.agesStoredAt = now
	o.markChanged(o.agesDoc)
}

// keepsAged reports whether the pool has anything that is removed at an age.
func (o *Owner) keepsAged() bool {
	return len(o.jobs) > len(o.openJobs) || len(o.cancelRequests) > 0 || len(o.lapsed) > 0
}

// lapsedSince returns when a worker in the roster was given up: now if the roster doesn't tell.
func (o *Owner) lapsedSince(e *rosterEntry) time.Time {
	now := o.Clock.Now()
	if e.LapsedMs <= 0 {
		return now
	}
	if at := o.ages.Time(time.Duration(e.LapsedMs) * time.Millisecond); at.Before(now) {
		return at
	}
	return now
}
