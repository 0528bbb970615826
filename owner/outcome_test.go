package owner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// AVAIL: the starts of a step get no answer and are carried out just before their leases
// are over. The owner must not stop the subtasks, as the others of the step may be away.
func TestLateStartIsNotStopped(t *testing.T) {
	stops, running := startWithFault(t, fakes.DelayCall, time.Minute)
	require.Zero(t, stops, "AVAIL")
	require.Equal(t, 2, running)
}

// LOST: the starts of a step get no answer and are never carried out. The subtasks start
// again when the leases of those starts are over.
func TestLostStartIsReplaced(t *testing.T) {
	stops, running := startWithFault(t, fakes.DropCall, 2*time.Second)
	require.Zero(t, stops)
	require.Equal(t, 2, running)
}

// startWithFault submits a step of two long-running subtasks whose starts have a fault for
// the given time, and returns how many stops were sent in 7 seconds, and how many of the
// subtasks run then.
func startWithFault(t *testing.T, fault fakes.CallFault, faulty time.Duration) (stops, running int) {
	withoutFaults(t, 2, func(_ context.Context, pool *testPool) {
		var sent atomic.Int32
		begun := time.Now()
		pool.workers.LateOrderDelay = func() time.Duration { return 2250 * time.Millisecond }
		pool.workers.InjectFault = func(_, op string) fakes.CallFault {
			switch {
			case op == "stop":
				sent.Add(1)
			case op == "start" && time.Since(begun) < faulty:
				return fault
			}
			return fakes.NoFault
		}
		job := fmt.Sprintf("%016x", 1)
		pool.submit(&steps.Job{ID: job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 2, CPU: 1000, LongRunning: true, MaxUnavailable: 1}}})
		time.Sleep(7 * time.Second)
		stops = int(sent.Load())
		for i := range 2 {
			if pool.workers.Running()[runs.Task{Job: job, Index: i}] != "" {
				running++
			}
		}
	})
	return stops, running
}
