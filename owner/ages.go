package owner

import (
	"context"
	"time"

	"shallotpaddle/aging"
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

// readAges reads the clock that the earlier owners have stored, beside the takeover, which doesn't
// wait for it.
func (o *Owner) readAges(ctx context.Context) {
	for ctx.Err() == nil {
		if items, _, err := o.Store.List(ctx, o.agesDoc.key); err == nil {
			o.post(agesRead{items})
			return
		}
		o.sleep(ctx, storeRetryDelay)
	}
}

// applyAges goes on with the clock that the earlier owners have stored, if it is among the items.
func (o *Owner) applyAges(m agesRead) {
	now := o.Clock.Now()
	o.ages, o.agesStoredAt, o.agesKnown = aging.New(o.endedKept(), now), now, true
	for _, it := range m.items {
		if it.Key != o.agesDoc.key {
			continue
		}
		o.agesDoc.rev = it.Rev
		if err := o.ages.Load(it.Value, it.Rev, now); err != nil {
			o.Log.Error().Str("pool", o.Pool).Err(err).Msg("stored clock of the pool is not readable")
		}
	}
	for id, l := range o.lapsed {
		if at := o.ages.Time(time.Duration(l.atMs) * time.Millisecond); l.atMs > 0 && at.Before(l.since) {
			l.since = at
			o.lapsed[id] = l
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
	if !o.agesKnown || o.agesDoc.queued || now.Sub(o.agesStoredAt) < due || !o.keepsAged() {
		return
	}
	o.agesStoredAt = now
	o.markChanged(o.agesDoc)
}

// keepsAged reports whether the pool has anything that is removed at an age.
func (o *Owner) keepsAged() bool {
	return len(o.jobs) > len(o.openJobs) || len(o.cancelRequests) > 0 || len(o.lapsed) > 0
}

// lapsedAt returns the reading of the clock at which a worker was given up, 0 if it is not known.
func (o *Owner) lapsedAt(l lapsedLease) int64 {
	if !o.agesKnown {
		return l.atMs
	}
	return o.ages.Reading(l.since).Milliseconds()
}
