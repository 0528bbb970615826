package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// LOST: a report that was asked for beside a poll arrives after the poll's, which has an end that is
// later. The run that has ended must not be adopted.
func TestOlderReportAfterEnd(t *testing.T) {
	r := newRig(t)
	h, task := r.rows[0], r.tasks[0]
	h.answered, h.leaseUntil = true, time.Hour.Milliseconds()
	h.startedMs, h.clock = 1000, 1
	sent := r.clock.Now()
	r.clock.Advance(time.Second)
	asked := r.clock.Now()
	r.handlePoll(pollResult{host: h, sent: sent, report: runs.Report{
		Reply: runs.Reply{ClockMs: 1002, StartedMs: 1000}, Ended: []runs.End{{Number: 1, Task: task.ID, Run: 1, Outcome: runs.Failed}},
	}})
	require.Equal(t, steps.Waiting, task.Phase)
	h.confirming = true
	r.handleConfirmed(confirmResult{host: h, sent: asked, report: runs.Report{
		Reply: runs.Reply{ClockMs: 1001, StartedMs: 1000}, Running: []runs.Running{{Task: task.ID, Run: 1, Percent: 100}},
	}})
	require.Equal(t, steps.Waiting, task.Phase, "adopted a run that has ended")
	require.Nil(t, h.runs[task.ID])
}
