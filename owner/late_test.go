package owner

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
)

// LOST: a poll that acknowledges ends gets no answer, and is carried out late by the next
// incarnation of the worker, whose ends have the same numbers and are dropped unread. It gets
// no work until the poll can't be carried out any more.
func TestRestartedWorkerRestsWhileAckMayArrive(t *testing.T) {
	for name, c := range map[string]struct {
		acked                     int64
		underWay, restarts, rests bool
	}{
		"a poll that acknowledges":         {5, false, true, true},
		"a poll that acknowledges nothing": {0, false, true, false},
		"a poll under way":                 {5, true, true, true},
		"the same incarnation":             {5, false, false, false},
	} {
		r, h := newRig(t), newHost(hosts.Worker{ID: "w", StartedMs: 1000})
		r.hosts["w"], h.answered = h, true
		if c.underWay {
			h.polling, h.polledAt, h.pollAcks = true, r.clock.Now(), c.acked > 0
		} else {
			r.handlePoll(pollResult{host: h, sent: r.clock.Now(), acked: c.acked, err: plat.ErrUnknown})
		}
		r.endIncarnation(h, "lease is over")
		born := int64(1000)
		if c.restarts {
			born = 2000
		}
		r.updateWorker(hosts.Worker{ID: "w", StartedMs: born}, r.clock.Now())
		next := r.hosts["w"]
		next.answered, next.rosterVersion = true, 0
		require.Equal(t, !c.rests, next.usable(r.clock.Now(), 0), name)
		r.clock.Advance(12 * time.Second)
		require.True(t, next.usable(r.clock.Now(), 0), name)
	}
}

// TWICE: a poll that renews the lease gets no answer, and is carried out late by the next
// incarnation of the worker. Its time is far ahead of the clock there, so that the worker
// gives its longest lease. If the worker is cut off then, it is given up only when that
// lease is over.
func TestLeaseOfRestartedWorkerIsWaitedFor(t *testing.T) {
	r, h := newRig(t), newHost(hosts.Worker{ID: "w", StartedMs: 1000})
	r.Bounds.MaxLease = 10 * time.Second
	r.hosts["w"], h.answered = h, true
	r.handlePoll(pollResult{host: h, sent: r.clock.Now(), err: plat.ErrUnknown})
	r.endIncarnation(h, "lease is over")
	r.clock.Advance(2 * time.Second)
	r.updateWorker(hosts.Worker{ID: "w", StartedMs: 2000}, r.clock.Now())
	next := r.hosts["w"]
	r.handlePoll(pollResult{host: next, sent: r.clock.Now(), report: runs.Report{Reply: runs.Reply{ClockMs: 50, StartedMs: 2000}}})
	r.clock.Advance(20 * time.Second) // the poll arrives after 12, and the lease lasts for 10
	require.False(t, next.leaseExpired(r.clock.Now(), r.pollsSince))
	r.clock.Advance(time.Second)
	require.True(t, next.leaseExpired(r.clock.Now(), r.pollsSince))
}

// Ends are acknowledged once: each poll that does so might be carried out late.
func TestPollAcknowledgesOnce(t *testing.T) {
	r := newRig(t)
	acked := make(chan int64, 1)
	r.Workers.Renew = func(_ context.Context, _ runs.Target, n runs.Renew) (runs.Report, error) {
		acked <- n.AckedThrough
		return runs.Report{}, nil
	}
	h := r.rows[0]
	h.answered, h.ackable = true, 3
	for _, want := range []int64{3, 0} {
		r.poll(h, r.clock.Now())
		require.Equal(t, want, <-acked)
		r.handle(<-r.inbox)
	}
}

// LOST: a restarted worker that waits for late orders is given up and is registered again,
// or refuses a start. It goes on waiting.
func TestRestartedWorkerGoesOnResting(t *testing.T) {
	r, h := newRig(t), newHost(hosts.Worker{ID: "w", StartedMs: 1000})
	r.hosts["w"], h.answered = h, true
	r.handlePoll(pollResult{host: h, sent: r.clock.Now(), acked: 5, err: plat.ErrUnknown})
	next := hosts.Worker{ID: "w", StartedMs: 2000}
	r.updateWorker(next, r.clock.Now())
	r.handlePoll(pollResult{host: h, sent: r.clock.Now(), report: runs.Report{Reply: runs.Reply{ClockMs: 50, StartedMs: 2000}}})
	require.Equal(t, int64(2000), r.hosts["w"].startedMs)
	require.Equal(t, maxOrderDelay, r.hosts["w"].noRoomUntil.Sub(r.clock.Now()))
	r.handlePoll(pollResult{host: r.hosts["w"], sent: r.clock.Now(), err: plat.ErrUnknown})
	r.endIncarnation(r.hosts["w"], "lease is over")
	r.updateWorker(next, r.clock.Now())
	require.Equal(t, maxOrderDelay, r.hosts["w"].noRoomUntil.Sub(r.clock.Now()))
	p := &placement{task: r.tasks[0], job: r.rows[0].runs[r.tasks[0].ID].job, run: 1, tries: 1}
	r.startRefused(r.hosts["w"], p, runs.ErrNoCapacity, r.clock.Now())
	require.Equal(t, maxOrderDelay, r.hosts["w"].noRoomUntil.Sub(r.clock.Now()))
}

// LOST: a later owner waits for a lease that a late order gave a worker long ago.
func TestStoredLeaseThatIsOverIsForgotten(t *testing.T) {
	r, h := newRig(t), newHost(hosts.Worker{ID: "w", StartedMs: 1000})
	r.hosts["w"], h.answered, h.clockAt = h, true, r.clock.Now()
	h.leaseUntil = h.clock + (20 * time.Second).Milliseconds()
	stored := func() int64 {
		list, err := decodeRoster(r.encodeRoster())
		require.NoError(t, err)
		return list[slices.IndexFunc(list, func(e rosterEntry) bool { return e.ID == "w" })].LeaseMs
	}
	require.EqualValues(t, 20_000, stored())
	for range 25 {
		r.clock.Advance(time.Second)
		version := r.roster.version
		r.refreshLongerLeases(r.clock.Now())
		if r.roster.version > version {
			stored()
		}
		left := max(h.leaseLeft(r.clock.Now()), 0)
		require.Less(t, h.longerLease, left+leaseHorizon, "is stored again as it becomes shorter")
		require.True(t, h.longerLease == 0 || h.longerLease >= left)
	}
	require.Zero(t, stored())
}
