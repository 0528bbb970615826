package owner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// TWICE: a late start brings an earlier run of a subtask to work, while the subtask waits
// for its next one. The worker lists the run, and the owner stops it. The subtask must not
// start elsewhere before that run has ended.
func TestSubtaskWaitsForStrayRunToEnd(t *testing.T) {
	r := newRig(t)
	r.Workers.Start = func(context.Context, runs.Target, runs.Start) (runs.Reply, error) { return runs.Reply{}, nil }
	task := r.tasks[0]
	r.freeRoom(r.rows[0], r.rows[0].runs[task.ID])
	task.Phase, task.WorkerID, task.Run = steps.Waiting, "", 2
	for _, h := range r.rows {
		h.worker = hosts.Worker{ID: h.id, Capacity: hosts.Resources{CPU: 1000}}
		h.listed, h.answered, h.releaseTask = true, true, 0
	}
	r.handlePoll(pollResult{host: r.rows[0], sent: r.clock.Now(), report: runs.Report{
		Reply: runs.Reply{ClockMs: 50}, Running: []runs.Running{{Task: task.ID, Run: 1, Percent: 100}},
	}})
	require.Equal(t, task.ID, (<-r.stops).Task)
	r.scheduleStarts(r.clock.Now().Add(time.Millisecond))
	require.Equal(t, steps.Waiting, task.Phase, "run 1 is being stopped")
}
