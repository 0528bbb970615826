package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// LOST: a subtask is held back for a run in doubt, which is then reported and adopted. When that
// ends, the subtask may start again at once.
func TestHoldEndsWithAdoption(t *testing.T) {
	r := newRig(t)
	h, task := r.rows[0], r.tasks[0]
	r.freeRoom(h, h.runs[task.ID])
	task.Phase, task.WorkerID, task.Run = steps.Waiting, "", 0
	task.Doubts = []steps.Doubt{{Run: 1, Worker: h.id, LeftMs: 12000}}
	r.restoreDoubts(r.jobs["j"])
	require.True(t, task.Held(r.clock.Now()))
	r.clock.Advance(100 * time.Millisecond)
	r.handlePoll(pollResult{host: h, sent: r.clock.Now(), report: runs.Report{
		Reply: runs.Reply{ClockMs: 5000}, Running: []runs.Running{{Task: task.ID, Run: 1, Percent: 100}},
	}})
	require.Equal(t, steps.Running, task.Phase)
	r.clock.Advance(2 * time.Second)
	r.handlePoll(pollResult{host: h, sent: r.clock.Now(), report: runs.Report{
		Reply: runs.Reply{ClockMs: 7000}, Ended: []runs.End{{Number: 1, Task: task.ID, Run: 1, Outcome: runs.Failed}},
	}})
	require.Equal(t, steps.Waiting, task.Phase)
	require.False(t, task.HeldUntil.After(r.clock.Now()), "held for %s", task.HeldUntil.Sub(r.clock.Now()))
}

// LOST: the lease of a long-running run is over, and the worker answers again as the incarnation
// that had it, without the run. Nothing of its start is in doubt then.
func TestHoldEndsWhenIncarnationIsBack(t *testing.T) {
	r := newRig(t)
	h, task := r.rows[0], r.tasks[0]
	p := h.runs[task.ID]
	h.worker.StartedMs, h.startedMs, h.answered, h.listed = 1000, 1000, true, true
	p.origin, p.startSentAt, p.sentBy = originUnknown, r.clock.Now(), r.clock.Now().Add(minAnswerTimeout)
	r.pollFailed(pollResult{host: h, sent: r.clock.Now(), err: plat.ErrUnknown}, r.clock.Now())
	r.clock.Advance(4500 * time.Millisecond)
	r.freeLongRunning(h)
	require.True(t, task.Held(r.clock.Now()))
	r.clock.Advance(100 * time.Millisecond)
	r.handlePoll(pollResult{host: h, sent: r.clock.Now(), report: runs.Report{
		Reply: runs.Reply{ClockMs: 60_000, StartedMs: 1000}, Ended: []runs.End{{Number: 1, Task: task.ID, Run: 1, Outcome: runs.LeaseExpired}},
	}})
	require.Equal(t, steps.Waiting, task.Phase)
	for len(r.inbox) > 0 {
		r.handle(<-r.inbox)
	}
	time.Sleep(50 * time.Millisecond)
	for len(r.inbox) > 0 {
		r.handle(<-r.inbox)
	}
	require.False(t, task.HeldUntil.After(r.clock.Now().Add(r.Bounds.StopTime+stopSlack)), "held for %s", task.HeldUntil.Sub(r.clock.Now()))
}
