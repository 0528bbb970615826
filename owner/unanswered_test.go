package owner

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// TWICE: a worker is lost after a start without an answer. Its subtask, whatever its kind,
// starts again when that start can't be carried out any more, counted from when it was
// sent, also if another try was answered.
func TestHeldBackFromTheOrder(t *testing.T) {
	for name, c := range map[string]struct{ longRunning, confirmed bool }{
		"plain": {}, "long-running": {longRunning: true}, "plain, confirmed": {confirmed: true},
		"long-running, confirmed": {longRunning: true, confirmed: true},
	} {
		r := newRig(t)
		h, sent := r.rows[0], r.clock.Now()
		p := r.startUnansweredAt(h, c.longRunning)
		if c.confirmed {
			p.confirmedAt, p.origin, p.task.Phase = sent, originMeant, steps.Running
		}
		r.clock.Advance(4300 * time.Millisecond)
		r.endIncarnation(h, "lease is over")
		require.Equal(t, 12*time.Second, p.task.HeldUntil.Sub(sent), name)
	}
}

// A subtask that was started once, with an answer, is not held back.
func TestAnsweredStartIsNotHeldBack(t *testing.T) {
	r := newRig(t)
	r.endIncarnation(r.rows[0], "lease is over")
	require.Zero(t, r.tasks[0].HeldUntil)
}

// LOST: users want a long-running subtask back within 7 seconds. It is not held back any
// longer once the worker, or another one at its address, refuses the unanswered start. TWICE:
// if the start has been carried out before, its run takes the time of a stop to end.
func TestHoldEndsWhenStartIsBlocked(t *testing.T) {
	for name, c := range map[string]struct {
		answer error
		held   time.Duration
	}{
		"the worker is back":      {nil, 220 * time.Millisecond},
		"the run has ended there": {runs.ErrStaleRun, 0},
		"another worker answers":  {runs.ErrIncarnation, 0},
		"nothing answers":         {plat.ErrUnknown, 7675 * time.Millisecond},
		"nothing listens":         {plat.ErrUnavailable, 7675 * time.Millisecond},
	} {
		r := newRig(t)
		r.Bounds.StopTime = 200 * time.Millisecond
		h := r.rows[0]
		r.Workers.Stop = func(context.Context, runs.Target, runs.Stop) (runs.Reply, error) { return runs.Reply{}, c.answer }
		p := r.startUnansweredAt(h, true)
		r.clock.Advance(4300 * time.Millisecond)
		trap := r.clock.Trap().NewTimer()
		r.endIncarnation(h, "lease is over")
		if c.answer != nil {
			trap.MustWait(t.Context()).MustRelease(t.Context())
			r.clock.Advance(quickRetryDelay).MustWait(t.Context())
		}
		trap.Close()
		r.handle(<-r.inbox)
		require.Equal(t, c.held, max(p.task.HeldUntil.Sub(r.clock.Now()), 0), name)
	}
}

// The next incarnation is lost as well: it had refused the start, the one after it has not.
func TestSecondRestartHoldsBackAgain(t *testing.T) {
	r := newRig(t)
	h := r.rows[0]
	p := r.startUnansweredAt(h, false)
	r.endIncarnation(h, "lease is over")
	r.handle(<-r.inbox)
	require.Equal(t, r.Bounds.StopTime+stopSlack, p.task.HeldUntil.Sub(r.clock.Now()))
	next := newHost(h.worker)
	r.hosts[h.id] = next
	p.task.Phase, p.task.Run, p.task.WorkerID = steps.Running, p.run+1, h.id
	r.reserveRoom(next, &placement{task: p.task, job: p.job, run: p.run + 1, confirmedAt: r.clock.Now(), origin: originMeant})
	r.endIncarnation(next, "another incarnation answers")
	require.Equal(t, maxOrderDelay, p.task.HeldUntil.Sub(r.clock.Now()))
}

// startUnansweredAt makes the subtask on a worker one whose start has just been sent
// and got no answer.
func (r *rig) startUnansweredAt(h *host, longRunning bool) *placement {
	p := h.runs[r.tasks[0].ID]
	p.task.Step.LongRunning = longRunning
	p.confirmedAt, p.origin, p.startSentAt, p.task.Phase = time.Time{}, "", r.clock.Now(), steps.Starting
	r.recordUnanswered(h, p)
	return p
}

// A worker that answers, but slowly, is given as much time by the calls that follow, and
// by the last tries of each call.
func TestSlowWorkerHasTimeToAnswer(t *testing.T) {
	r := newRig(t)
	h := r.rows[0]
	require.Equal(t, minAnswerTimeout, answerTimeout(1))
	for range maxUnansweredStarts - 1 {
		r.pollFailed(pollResult{host: h, err: context.DeadlineExceeded}, r.clock.Now())
	}
	require.Equal(t, 4*minAnswerTimeout, answerTimeout(h.failedPolls+1))
	answer := pollResult{host: h, sent: r.clock.Now()}
	r.clock.Advance(2 * minAnswerTimeout)
	r.handlePoll(answer)
	require.Equal(t, 4*minAnswerTimeout, answerTimeout(h.failedPolls+1))
	answer.sent = r.clock.Now()
	r.handlePoll(answer)
	require.Equal(t, minAnswerTimeout, answerTimeout(h.failedPolls+1))
}

// Callers saw jobs late: each poll without an answer sent a stop for each of hundreds of
// unanswered starts, which took the connections of the worker's other calls. Only a few are
// under way while the worker may be up, none further once it has answered, and all once it is
// lost.
func TestBlocksLeaveConnections(t *testing.T) {
	r := newRig(t)
	h, now := r.rows[0], r.clock.Now()
	h.answered, h.startedMs = true, 1000
	var sent atomic.Int32
	r.Workers.Stop = func(ctx context.Context, _ runs.Target, _ runs.Stop) (runs.Reply, error) {
		sent.Add(1)
		<-ctx.Done()
		return runs.Reply{}, plat.ErrUnknown
	}
	const starts = 50
	for i := range starts {
		r.recordUnanswered(h, &placement{task: &steps.Task{ID: runs.Task{Job: "k", Index: i}}, run: 1, startSentAt: now})
	}
	underWay := func() (n int) {
		for _, u := range r.unanswered[h.id] {
			if u.blocking {
				n++
			}
		}
		return n
	}
	r.handlePoll(pollResult{host: h, sent: now, err: plat.ErrUnknown})
	require.Equal(t, maxBlocksInDoubt, underWay())

	r.handlePoll(pollResult{host: h, sent: now, report: runs.Report{Reply: runs.Reply{StartedMs: 1000}}})
	for range maxBlocksInDoubt {
		r.handleBlocked(blockResult{firstBlocking(r.unanswered[h.id]), plat.ErrUnknown})
	}
	require.Zero(t, underWay())

	r.endIncarnation(h, "lease is over")
	require.Equal(t, starts, underWay())
	require.Eventually(t, func() bool { return sent.Load() == starts+maxBlocksInDoubt }, 10*time.Second, time.Millisecond)
}

func firstBlocking(list []*unansweredStart) *unansweredStart {
	return list[slices.IndexFunc(list, func(u *unansweredStart) bool { return u.blocking })]
}

// TWICE: a worker answers a stop that is to block a start, and restarts before that is known.
// Its next incarnation has not refused the start, so that the subtask stays held back.
func TestBlockOfFormerIncarnationDoesNotCount(t *testing.T) {
	r := newRig(t)
	h := r.rows[0]
	h.answered = true
	p := r.startUnansweredAt(h, false)
	u := r.unanswered[h.id][0]
	r.blockStart(u)
	answer := <-r.inbox
	r.endIncarnation(h, "another incarnation answers")
	held := p.task.HeldUntil
	require.Equal(t, maxOrderDelay, held.Sub(r.clock.Now()))
	r.handle(answer)
	require.Equal(t, held, p.task.HeldUntil)
	r.handle(<-r.inbox) // the next incarnation refuses it
	require.Equal(t, r.Bounds.StopTime+stopSlack, p.task.HeldUntil.Sub(r.clock.Now()))
}

// TWICE: a run ends while a further try of its start is under way. That one may still be carried
// out, by the worker's next incarnation: the end is acknowledged only when it can't be.
func TestEndIsHeldWhileTryIsUnderWay(t *testing.T) {
	for _, underWay := range []bool{false, true} {
		r := newRig(t)
		h, id := r.rows[0], r.tasks[0].ID
		r.tasks[0].Step.LongRunning = false
		p := h.runs[id]
		p.inFlight, p.startSentAt = underWay, r.clock.Now()
		j := p.job
		r.handleEnds(h, []runs.End{{Number: 1, Task: id, Run: 1, Outcome: runs.Done}})
		j.stored = j.version
		r.ackStoredEnds()
		require.Equal(t, underWay, h.ackable == 0)
		r.clock.Advance(maxOrderDelay)
		r.ackStoredEnds()
		require.Equal(t, int64(1), h.ackable)
	}
}

// TWICE: a start waits for a connection before it is sent, and is carried out 12 s after that.
// The time in which it may be carried out is counted from the end of the try.
func TestStartCountsFromEndOfTry(t *testing.T) {
	r := newRig(t)
	r.Workers.Start = func(context.Context, runs.Target, runs.Start) (runs.Reply, error) {
		return runs.Reply{}, plat.ErrUnknown
	}
	h := r.rows[0]
	p := h.runs[r.tasks[0].ID]
	p.confirmedAt, p.task.Phase = time.Time{}, steps.Starting
	begun := r.clock.Now()
	r.sendStart(h, p)
	r.handle(<-r.inbox)
	r.endIncarnation(h, "lease is over")
	require.Equal(t, minAnswerTimeout+maxOrderDelay, p.task.HeldUntil.Sub(begun))
}
