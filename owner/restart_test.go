package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// TWICE: an idle worker restarts, and before its owner hears of that, the next incarnation
// answers a start and then no polls for a second. The subtask starts nowhere else while it
// runs there.
func TestStartAnsweredByNextIncarnation(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		for gap := 300 * time.Millisecond; gap < time.Second; gap += 20 * time.Millisecond {
			t.Run(fmt.Sprintf("long-running %v, %s", longRunning, gap), func(t *testing.T) {
				testStartAfterRestart(t, steps.Step{Count: 6, CPU: 1000, LongRunning: longRunning}, gap)
			})
		}
	}
}

// testStartAfterRestart has a worker restart, and submits a job after the gap.
func testStartAfterRestart(t *testing.T, step steps.Step, gap time.Duration) {
	job := fmt.Sprintf("%016x", 1)
	withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
		pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 3 * time.Second, runs.Done }
		w := pool.workers.Registered()[0]
		pool.workers.Crash(w.ID)
		pool.workers.Join(w)
		pool.workers.InjectFault = pool.silentAfterStart(w.ID)
		time.Sleep(gap)
		pool.submit(&steps.Job{ID: job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{step}})
		time.Sleep(time.Minute)
		require.True(t, len(pool.workers.Running()) == step.Count || pool.state(job).State == steps.Completed, "LOST %s", job)
	})
}

// silentAfterStart drops the polls of a worker for a second from its first start on.
func (pool *testPool) silentAfterStart(id string) func(worker, op string) fakes.CallFault {
	var mu sync.Mutex
	var started time.Time
	return func(worker, op string) fakes.CallFault {
		mu.Lock()
		defer mu.Unlock()
		if worker == id && op == "start" && started.IsZero() {
			started = time.Now()
		}
		if worker == id && op == "renew" && !started.IsZero() && time.Since(started) < time.Second {
			return fakes.DropCall
		}
		return fakes.NoFault
	}
}
