package owner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// TWICE: an owner is suspended for longer than its election lasts, and goes on with a
// subtask that waited. Its successor has given up the one worker that it can't reach, and
// starts the subtask elsewhere within the lease of this start. The owner must ask the workers
// for a successor first.
func TestThawedOwnerAsksBeforeItStarts(t *testing.T) {
	t.Run("paused", func(t *testing.T) { testThawedOwner(t, true) })
	t.Run("suspended", func(t *testing.T) { testThawedOwner(t, false) })
}

// testThawedOwner suspends an owner for 3.6 s. The clock counts the time if its process alone
// was paused, and does not if the whole host was.
func testThawedOwner(t *testing.T, clockCounts bool) {
	r := newRig(t)
	provenAt := r.SinceBoot()
	r.ProvenAt = func() time.Duration { return provenAt }
	r.Store.Commit = func(ctx context.Context, _ plat.Txn) (int64, []plat.Item, error) {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	r.Workers.Renew = func(ctx context.Context, _ runs.Target, _ runs.Renew) (runs.Report, error) {
		<-ctx.Done()
		return runs.Report{}, ctx.Err()
	}
	r.Workers.Start = func(context.Context, runs.Target, runs.Start) (runs.Reply, error) { return runs.Reply{}, nil }
	for _, h := range r.rows {
		h.worker = hosts.Worker{ID: h.id, Capacity: hosts.Resources{CPU: 1000}}
		h.listed, h.answered, h.releaseTask = true, true, 0
		h.clockAt, h.lastReport = r.clock.Now(), r.clock.Now()
	}
	r.workersKnown, r.takeoverDone = true, true
	task := r.tasks[0]
	r.freeRoom(r.rows[0], r.rows[0].runs[task.ID])
	task.Phase, task.WorkerID = steps.Waiting, ""
	task.HeldUntil = r.clock.Now().Add(time.Second)
	r.advance(r.clock.Now())
	const away = 3600 * time.Millisecond
	if clockCounts {
		r.clock.Advance(away)
	} else {
		task.HeldUntil = time.Time{}
		r.clock.Advance(maxPassGap)
		at := r.roundAt + away
		r.SinceBoot = func() time.Duration { return at }
	}
	r.advance(r.clock.Now())
	require.Equal(t, steps.Waiting, task.Phase, "no worker has been asked")
}
