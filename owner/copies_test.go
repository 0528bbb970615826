package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// callOutcome is what becomes of one copy of a call.
type callOutcome struct {
	after time.Duration
	err   error
}

// A call whose answer is overdue is made again, and the first answer counts.
func TestOverdueCallIsMadeAgain(t *testing.T) {
	const delay, wait, timeout = 20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond
	quick, lost := callOutcome{after: 5 * time.Millisecond}, callOutcome{time.Hour, nil}
	refused := callOutcome{time.Millisecond, plat.ErrUnavailable}
	stale := callOutcome{time.Millisecond, runs.ErrStaleRun}
	for name, c := range map[string]struct {
		delay, wait time.Duration
		calls       []callOutcome
		took        time.Duration
		want        copies
		err         error
	}{
		"answered":                   {delay, 0, []callOutcome{quick}, 5 * time.Millisecond, copies{1, 0, 5 * time.Millisecond}, nil},
		"one lost":                   {delay, 0, []callOutcome{lost, quick}, 25 * time.Millisecond, copies{2, 1, 5 * time.Millisecond}, nil},
		"two lost":                   {delay, 0, []callOutcome{lost, lost, quick}, 45 * time.Millisecond, copies{3, 2, 5 * time.Millisecond}, nil},
		"first is slow":              {delay, 0, []callOutcome{{after: 30 * time.Millisecond}, lost}, 30 * time.Millisecond, copies{2, 0, 30 * time.Millisecond}, nil},
		"lost during the wait":       {delay, wait, []callOutcome{lost, quick}, wait + 25*time.Millisecond, copies{2, 1, 5 * time.Millisecond}, nil},
		"answered after the wait":    {delay, wait, []callOutcome{{after: wait + time.Millisecond}}, wait + time.Millisecond, copies{1, 0, time.Millisecond}, nil},
		"answered during the wait":   {delay, wait, []callOutcome{quick}, 5 * time.Millisecond, copies{1, 0, 0}, nil},
		"all lost":                   {delay, 0, []callOutcome{lost, lost, lost, lost, lost, lost}, timeout, copies{sent: maxCopies}, plat.ErrUnknown},
		"refused at once":            {delay, 0, []callOutcome{refused}, time.Millisecond, copies{sent: 1}, plat.ErrUnavailable},
		"one lost, then refused":     {delay, 0, []callOutcome{lost, refused}, timeout, copies{sent: 2}, plat.ErrUnknown},
		"one lost, then a refusal":   {delay, 0, []callOutcome{lost, stale}, 21 * time.Millisecond, copies{2, 1, time.Millisecond}, runs.ErrStaleRun},
		"no copies":                  {0, 0, []callOutcome{lost}, timeout, copies{sent: 1}, plat.ErrUnknown},
		"no copies, and an answer":   {0, 0, []callOutcome{quick}, 5 * time.Millisecond, copies{1, 0, 5 * time.Millisecond}, nil},
		"connection breaks, no copy": {delay, 0, []callOutcome{{time.Millisecond, plat.ErrUnknown}}, time.Millisecond, copies{sent: 1}, plat.ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				var made atomic.Int32
				begun := time.Now()
				v, got, err := callWorker(ctx, quartz.NewReal(), c.wait, c.delay, func(ctx context.Context, n int) (int, error) {
					made.Add(1)
					select {
					case <-ctx.Done():
						return 0, fmt.Errorf("%w: %w", plat.ErrUnknown, ctx.Err())
					case <-time.After(c.calls[n].after):
						return n, c.calls[n].err
					}
				})
				require.Equal(t, c.took, time.Since(begun))
				require.ErrorIs(t, err, c.err)
				require.Equal(t, c.err == nil, err == nil)
				require.Equal(t, c.want, got)
				require.EqualValues(t, len(c.calls), made.Load())
				if err == nil {
					require.Equal(t, got.answered, v)
				}
			})
		})
	}
}

// Calls are made once on a worker that answers, and on one that is away. The delay follows
// the time that answers take, and a try lasts for several delays.
func TestCopyDelay(t *testing.T) {
	r := newRig(t)
	h, now := r.rows[0], r.clock.Now()
	require.Zero(t, h.copyDelay(now))
	h.unansweredAt = now
	require.Equal(t, minCopyDelay, h.copyDelay(now))
	require.Zero(t, h.copyDelay(now.Add(lossyPeriod)))
	for range 40 {
		h.noteAnswer(copies{took: 30 * time.Millisecond})
	}
	require.InDelta(t, 90*time.Millisecond, h.copyDelay(now), float64(time.Millisecond))
	require.Equal(t, 4*90*time.Millisecond, tryTimeout(1, 90*time.Millisecond))
	require.Equal(t, minAnswerTimeout, tryTimeout(1, 0))
	require.Equal(t, maxAnswerTimeout, tryTimeout(1, time.Second))
	h.failedPolls = maxCopiedFailures + 1
	require.Zero(t, h.copyDelay(now))
}

// TWICE: a copy of a start without an answer may be carried out late as well, also if another
// was answered, and counts from the time until which copies may be sent.
func TestCopiesOfStartCountAsUnanswered(t *testing.T) {
	r := newRig(t)
	h, sent := r.rows[0], r.clock.Now()
	h.unansweredAt = sent
	calls := make(chan struct{}, maxCopies)
	r.Workers.Start = func(ctx context.Context, _ runs.Target, _ runs.Start) (runs.Reply, error) {
		calls <- struct{}{}
		<-ctx.Done()
		return runs.Reply{}, plat.ErrUnknown
	}
	p := h.runs[r.tasks[0].ID]
	p.confirmedAt, p.task.Phase = time.Time{}, steps.Starting
	r.sendStart(h, p)
	require.Equal(t, minAnswerTimeout, p.lastSentAt().Sub(sent))
	r.handleStarted(startResult{host: h, placement: p, copies: copies{sent: 2, answered: 1}})
	require.Equal(t, steps.Running, p.task.Phase)
	r.endIncarnation(h, "lease is over")
	require.Equal(t, maxOrderDelay+minAnswerTimeout, p.task.HeldUntil.Sub(sent))
}

// A refusal doesn't tell that a run is not there if another copy of its start got no answer.
func TestRefusedCopyOfStartIsStopped(t *testing.T) {
	r := newRig(t)
	h := r.rows[0]
	p := h.runs[r.tasks[0].ID]
	p.confirmedAt, p.task.Phase, p.tries = time.Time{}, steps.Starting, 1
	r.handleStarted(startResult{host: h, placement: p, copies: copies{sent: 2, answered: 1}, err: runs.ErrNoCapacity})
	require.Equal(t, p.task.ID, (<-r.stops).Task)
	require.Contains(t, h.runs, p.task.ID)
}

// Further copies of a poll neither extend the lease nor acknowledge ends: the worker may have
// been replaced. What only the first copy acknowledged isn't taken as acknowledged.
func TestCopiesOfPollOnlyAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.Clock = quartz.NewReal()
		var got []runs.Renew
		r.Workers.Renew = func(ctx context.Context, _ runs.Target, n runs.Renew) (runs.Report, error) {
			got = append(got, n)
			if len(got) == 1 {
				<-ctx.Done()
				return runs.Report{}, plat.ErrUnknown
			}
			return runs.Report{}, nil
		}
		h := r.rows[0]
		h.answered, h.clockAt, h.ackable, h.unansweredAt = true, r.Clock.Now(), 3, r.Clock.Now()
		r.poll(h, r.Clock.Now())
		r.handle(<-r.inbox)
		require.EqualValues(t, 3, got[0].AckedThrough)
		require.Positive(t, got[0].UntilMs)
		require.Equal(t, runs.Renew{}, got[1])
		require.Zero(t, h.acked)
		require.NotEmpty(t, r.lateOrders[h.id], "the first copy may be carried out late")
		next := newHost(hosts.Worker{ID: h.id, StartedMs: 2000})
		r.inheritLateOrders(next)
		require.True(t, next.noRoomUntil.After(r.Clock.Now()))
	})
}

// A worker that has not lost a call yet is called like the others if these have lost some, and
// like one that loses none if they are away, or only a few have.
func TestOthersTellOfLosses(t *testing.T) {
	for name, c := range map[string]struct {
		losers, away, sound int
		want                bool
	}{
		"none":               {0, 0, 9, false},
		"a third":            {3, 0, 6, true},
		"fewer":              {3, 0, 7, false},
		"two of three":       {2, 0, 1, false},
		"all but one":        {8, 0, 1, true},
		"the others are out": {0, 8, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			now := r.clock.Now()
			busy := r.rows[0].runs
			clear(r.hosts)
			for i := range c.losers + c.away + c.sound {
				h := newHost(hosts.Worker{ID: fmt.Sprint(i)})
				h.runs, r.hosts[h.id] = busy, h
				if i < c.losers+c.away {
					h.unansweredAt = now
				}
				if i >= c.losers && i < c.losers+c.away {
					h.failingSince = now
				}
			}
			idle := newHost(hosts.Worker{ID: "new"})
			r.hosts[idle.id] = idle
			r.markLosses(now)
			require.Equal(t, c.want, idle.losesCalls(now))
			r.markLosses(now.Add(lossyPeriod))
			require.False(t, idle.losesCalls(now.Add(lossyPeriod)))
		})
	}
}
