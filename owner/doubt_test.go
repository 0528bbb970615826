package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// TWICE: a start gets no answer, its worker falls silent, and the owner is lost. The worker's next
// incarnation carries the start out late, beside the run that the successor has started.
func TestSuccessorHoldsBackUnansweredStarts(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		for _, late := range []time.Duration{4 * time.Second, 6 * time.Second, 8 * time.Second, 10 * time.Second, 11 * time.Second} {
			for _, cut := range []bool{false, true} {
				t.Run(fmt.Sprintf("long-running %v, %s late, cut %v", longRunning, late, cut), func(t *testing.T) {
					testSuccessorOfUnanswered(t, steps.Step{Count: 1, CPU: 1000, LongRunning: longRunning}, late, cut)
				})
			}
		}
	}
}

// testSuccessorOfUnanswered has a start carried out late by the next incarnation of a worker that
// crashed, after the owner was killed; cut tells that the next incarnation can't be reached.
func testSuccessorOfUnanswered(t *testing.T, step steps.Step, late time.Duration, cut bool) {
	job := fmt.Sprintf("%016x", 1)
	withoutFaults(t, 3, func(ctx context.Context, pool *testPool) {
		pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 40 * time.Second, runs.Done }
		var mu sync.Mutex
		var first hosts.Worker
		pool.workers.InjectFault = func(worker, op string) fakes.CallFault {
			mu.Lock()
			defer mu.Unlock()
			if op != "start" || first.ID != "" {
				return fakes.NoFault
			}
			first = pool.registered(worker)
			s := runs.Start{Task: runs.Task{Job: job}, Run: 1, UntilMs: time.Hour.Milliseconds(), Fence: pool.fence()}
			pool.workers.SetUnreachable(worker, true)
			time.AfterFunc(100*time.Millisecond, func() { pool.workers.Crash(worker) })
			time.AfterFunc(1500*time.Millisecond, func() { pool.kill(ctx, pool.leader()) })
			time.AfterFunc(late-time.Millisecond, func() { pool.workers.Join(first) })
			time.AfterFunc(late, func() {
				_, _ = pool.workers.Start(context.Background(), runs.Target{ID: worker}, s)
				if cut {
					pool.workers.SetUnreachable(worker, true)
					time.AfterFunc(9*time.Second, func() { pool.workers.SetUnreachable(worker, false) })
				}
			})
			return fakes.NoFault
		}
		pool.submit(&steps.Job{ID: job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{step}})
		time.Sleep(100 * time.Second)
		require.True(t, len(pool.workers.Running()) == 1 || pool.state(job).State == steps.Completed, "LOST %s", job)
	})
}

// fence returns the fencing token of the pool's owner; pool.mu is not held.
func (pool *testPool) fence() int64 {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for f, e := range pool.byFence {
		if e.owner != nil {
			return f
		}
	}
	return 0
}
