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

// GANG: a member of one occurrence's gang waits while the other one is still at work, and
// the next occurrence is due. A gang never has members of two occurrences, which would wait
// for the others of theirs and end alone.
func TestGangHasMembersOfOneOccurrence(t *testing.T) {
	r := newRig(t)
	started := make(chan runs.Task, 9)
	r.Workers.Start = func(_ context.Context, _ runs.Target, s runs.Start) (runs.Reply, error) {
		started <- s.Task
		return runs.Reply{}, nil
	}
	r.addJob(&steps.Job{ID: "g", Repetitions: 2, Steps: []steps.Step{{Count: 2, Gang: true}}}, true)
	j := r.jobs["g"]
	first := j.progress.Task(runs.Task{Job: "g"})
	first.Phase, first.WorkerID, first.Run = steps.Running, "y", 1
	for _, h := range r.rows {
		h.worker = hosts.Worker{ID: h.id, Capacity: hosts.Resources{CPU: 1000}}
		h.listed, h.answered, h.clockAt, h.releaseTask = true, true, r.clock.Now().Add(time.Second), 0
	}
	r.scheduleStarts(r.clock.Now().Add(time.Second))
	occurrences := map[int]int{}
	for range r.callsInFlight {
		occurrences[(<-started).Occur]++
	}
	require.Equal(t, map[int]int{1: 2}, occurrences)
}
