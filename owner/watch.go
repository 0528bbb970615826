package owner

import (
	"context"
	"errors"
	"math"
	"time"

	"shallotpaddle/plat"
)

// maxWatchWait is the longest time that a watch of the pool's jobs waits for a
// change. It bounds how long accepted jobs go unnoticed after a connection has died,
// or after the store has discarded its history, which it may report only when the
// wait is over.
const maxWatchWait = 400 * time.Millisecond

const (
	// suspectJobs is the number of jobs expected during a watch from which a watch
	// without any is suspect: by chance, that happens once in 150 watches.
	suspectJobs = 5
	// watchGrace is how much longer than its wait a watch may take while jobs are
	// expected, and maxWatchGrace how much longer in an entry that is slow itself.
	watchGrace    = 150 * time.Millisecond
	maxWatchGrace = 1200 * time.Millisecond
	// idleWatchGrace is watchGrace while no jobs are expected: a cancellation must be heard
	// of in time, but a list has all jobs and costs more than a late answer.
	idleWatchGrace = 500 * time.Millisecond
	// minWatchWait is the shortest wait of a watch.
	minWatchWait = 100 * time.Millisecond
)

// watchJobs posts the jobs and cancellations that entries write for the pool.
//
// Before the store discards its history, watches may hear nothing for a second, and then
// get no answer at all. A watch that gets none in time, or hears nothing while jobs are
// expected, is replaced by a list.
func (o *Owner) watchJobs(ctx context.Context, rev int64) {
	prefix, grace := JobPrefix(o.Pool), watchGrace
	for ctx.Err() == nil {
		wait, begun := o.watchWait(), o.Clock.Now()
		items, next, err := o.watchOnce(ctx, prefix, rev, wait, grace)
		watched := o.Clock.Since(begun)
		switch {
		case errors.Is(err, plat.ErrCompacted):
			next, err = o.listJobs(ctx)
			o.Log.Info().Str("pool", o.Pool).Int64("rev", rev).Dur("watched", watched).Dur("took", o.Clock.Since(begun)-watched).
				Err(err).Msg("watch history was compacted; listing all jobs")
		case len(items) == 0 && (wait < maxWatchWait || errors.Is(err, plat.ErrUnknown) || errors.Is(err, context.DeadlineExceeded)):
			watchErr := err
			next, err = o.listJobs(ctx)
			o.Log.Info().Str("pool", o.Pool).Int64("rev", rev).Dur("silent", watched).Dur("took", o.Clock.Since(begun)-watched).AnErr("cause", watchErr).
				Err(err).Msg("watch is silent; listing all jobs")
		}
		if err != nil {
			// An entry that is too slow for a list may still be in time for a watch.
			grace = maxWatchGrace
			o.Stats.WatchesFailed.Inc(1)
			o.sleep(ctx, storeRetryDelay)
			continue
		}
		rev, grace = next, watchGrace
		if len(items) > 0 {
			o.awaitProof(ctx)
			o.post(itemsWritten{items: items})
		}
	}
}

// cancelListInterval is the pause between two lists of cancellations while all jobs are listed.
const cancelListInterval = 500 * time.Millisecond

// listJobs lists and posts the pool's jobs and cancellations. All jobs may take seconds in an entry at its
// limit, in which some of those that are cancelled would start: the cancellations are posted as
// soon as they are known.
func (o *Owner) listJobs(ctx context.Context) (int64, error) {
	listing, done := context.WithCancel(ctx)
	defer done()
	go o.postCancellations(listing)
	return o.eachJobPage(ctx, o.postItems)
}

// postCancellations lists and posts the pool's cancellations until the context ends.
func (o *Owner) postCancellations(ctx context.Context) {
	for ctx.Err() == nil {
		items, _, err := o.Store.List(ctx, cancelPrefix(o.Pool))
		if err == nil && len(items) > 0 {
			o.post(itemsWritten{items: items})
		}
		o.sleep(ctx, cancelListInterval)
	}
}

// proofInterval is how often an owner in doubt checks whether its election is in force.
const proofInterval = 20 * time.Millisecond

// awaitProof waits until the election is certainly in force, or the context ends. A later
// owner starts at once what was accepted after its election, as no earlier one can have
// started it: this one must not hear of such a job.
func (o *Owner) awaitProof(ctx context.Context) {
	if o.Proven() {
		return
	}
	since := o.Clock.Now()
	for !o.Proven() && ctx.Err() == nil {
		o.sleep(ctx, proofInterval)
	}
	o.Log.Info().Str("pool", o.Pool).Dur("waited", o.Clock.Since(since)).Msg("new jobs waited until the election was known to be in force")
}

// watchOnce watches once. A store that is about to discard its history doesn't end
// watches when their wait is over; the caller lists the jobs then.
func (o *Owner) watchOnce(ctx context.Context, prefix string, rev int64, wait, grace time.Duration) ([]plat.Item, int64, error) {
	if wait == maxWatchWait {
		grace = max(grace, idleWatchGrace)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	return o.Store.Watch(ctx, prefix, rev, wait)
}

// watchWait returns how long a watch of the pool's jobs may wait for a change: the time
// in which suspectJobs are expected.
func (o *Owner) watchWait() time.Duration {
	perSecond := math.Float64frombits(o.jobsPerSecond.Load())
	wait := time.Duration(suspectJobs / max(perSecond, 1) * float64(time.Second))
	return max(min(wait, maxWatchWait), minWatchWait)
}
