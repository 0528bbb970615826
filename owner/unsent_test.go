package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// onlyLabel is the label of the only worker that joinOnly adds.
const onlyLabel = "only"

// joinOnly adds a worker with a label that no other has.
func (pool *testPool) joinOnly() hosts.Worker {
	w := hosts.Worker{
		ID: "only", Pool: poolName, Address: "10.0.1.0:80", Capacity: hosts.Resources{CPU: 8000, Mem: 8000}, Labels: []string{onlyLabel, "r1"}, Host: "only",
	}
	pool.workers.Join(w)
	time.Sleep(2 * time.Second)
	return w
}

// LOST: starts that no worker has answered, as theirs had fallen silent before, counted as crashes.
func TestUnansweredStartsAreNoCrashes(t *testing.T) {
	left := 0
	pool := withoutFaults(t, 5, func(_ context.Context, pool *testPool) {
		pool.runsDone()
		w := pool.joinOnly()
		task, silences := runs.Task{Job: crashingJob}, 6
		pool.start = func(call context.Context, to runs.Target, s runs.Start) (runs.Reply, error) {
			pool.mu.Lock()
			silent := s.Task == task && to.ID == w.ID && silences > 0 && !pool.workers.Unreachable(w.ID)
			if silent {
				silences--
			}
			pool.mu.Unlock()
			if silent {
				pool.workers.SetUnreachable(w.ID, true)
				time.AfterFunc(500*time.Millisecond, func() { pool.workers.Crash(w.ID) })
				time.AfterFunc(time.Second, func() { pool.workers.Join(w) })
			}
			return pool.workers.Start(call, to, s)
		}
		pool.submit(&steps.Job{ID: crashingJob, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 1000, Label: onlyLabel}}})
		time.Sleep(3 * time.Minute)
		left = silences
	})
	require.Equal(t, steps.Completed, pool.state(crashingJob).State)
	require.Zero(t, left)
}

// BUDGET: the connection to the worker breaks before it can answer the start that crashes it, or the
// answer is lost while a poll waits there. That counts as a crash.
func TestCrashBeforeAnswerCounts(t *testing.T) {
	for name, lost := range map[string]bool{"connection breaks": false, "answer is lost": true} {
		t.Run(name, func(t *testing.T) {
			pool := withoutFaults(t, 5, func(_ context.Context, pool *testPool) {
				pool.crashes(crashingJob)
				pool.start = func(call context.Context, to runs.Target, s runs.Start) (runs.Reply, error) {
					r, err := pool.workers.Start(call, to, s)
					switch {
					case s.Task != runs.Task{Job: crashingJob} || err != nil:
						return r, err
					case lost:
						return r, noAnswer(call)
					default:
						return r, fmt.Errorf("%w: connection reset", plat.ErrUnknown)
					}
				}
				go pool.submitSound(60, 300*time.Millisecond)
				time.Sleep(time.Second)
				pool.submit(&steps.Job{ID: crashingJob, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 1000}}})
				time.Sleep(90 * time.Second)
			})
			pool.requireOnlyFailed(t, crashingJob)
		})
	}
}
