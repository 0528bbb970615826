package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// LOST: a long-running subtask keeps the lease of a worker with withheld ends from lapsing. It
// moves to another worker, unless none has room or another one of its step is away.
func TestRestingWorkerLosesLongRunning(t *testing.T) {
	for name, v := range map[string]struct {
		spoil func(r *rig)
		moves bool
	}{
		"room elsewhere": {func(*rig) {}, true},
		"no room": {func(r *rig) {
			r.rows[1].worker.Capacity, r.rows[2].worker.Capacity = hosts.Resources{}, hosts.Resources{}
		}, false},
		"another is away": {func(r *rig) { r.tasks[1].Percent = 0 }, false},
		"not resting":     {func(r *rig) { r.rows[0].resting = false }, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			for _, task := range r.tasks {
				task.Step.CPU = 1000
			}
			for _, h := range r.rows {
				h.worker = hosts.Worker{ID: h.id, Capacity: hosts.Resources{CPU: 4000}}
				h.listed, h.answered, h.releaseTask = true, true, 0
			}
			r.rows[0].resting, r.rows[0].withheld = true, 1
			v.spoil(r)
			r.after(settled)
			require.Equal(t, v.moves, r.stopping())
		})
	}
}

// TWICE: a worker lists 500 ends in a report. A run that it neither lists as active nor as ended may
// have ended all the same, and must not start again.
func TestFullListOfEndsHidesOthers(t *testing.T) {
	for listed, lost := range map[int]bool{maxEndsListed - 1: true, maxEndsListed: false} {
		r := newRig(t)
		h, task := r.rows[0], r.tasks[0]
		h.answered, h.leaseUntil = true, time.Hour.Milliseconds()
		r.clock.Advance(time.Second)
		m := pollResult{host: h, sent: r.clock.Now(), report: runs.Report{Reply: runs.Reply{ClockMs: 50}}}
		for n := range listed {
			m.report.Ended = append(m.report.Ended, runs.End{Number: int64(n + 1), Task: runs.Task{Job: "unknown", Index: n}, Run: 1, Outcome: runs.Done})
		}
		r.handlePoll(m)
		require.Equal(t, lost, h.runs[task.ID] == nil, "%d ends", listed)
		require.Equal(t, lost, task.Phase == steps.Waiting, "%d ends", listed)
		require.False(t, h.needsLease(), "nothing is active: the lease must be able to lapse")
	}
}

// A worker gets no starts while it has so many ends to list that a new one may not find a place.
func TestUnacknowledgedEndsLimitStarts(t *testing.T) {
	r := newRig(t)
	h := r.rows[1]
	h.listed, h.answered = true, true
	for n := range maxUnacked {
		require.True(t, h.usable(r.clock.Now(), 0))
		h.unacked = append(h.unacked, pendingAck{number: int64(n + 1)})
	}
	require.False(t, h.usable(r.clock.Now(), 0))
}
