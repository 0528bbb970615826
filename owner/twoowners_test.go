package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// TWICE: an owner loses its election and hears nothing of it, as its watch of elections
// and its renewals hang. It still hears of jobs, and starts one that was accepted after the
// election, on a worker that its successor has not reached yet.
func TestJobAcceptedAfterElectionHasOneOwner(t *testing.T) {
	withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
		pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 20 * time.Second, runs.Done }
		former := pool.leader()
		pool.mu.Lock()
		former.deaf = true
		pool.mu.Unlock()
		it, _ := pool.kv.Peek("seat/lead/" + poolName)
		fence := it.Rev
		// The successor's reads of the pool take a second, and its first poll of the worker
		// that the former owner orders is lost.
		pool.kv.InjectFault = func(op, key string) fakes.CallFault {
			if op == "list" && key == "pool/"+poolName {
				time.Sleep(time.Second)
			}
			return fakes.NoFault
		}
		for it, ok := pool.kv.Peek("seat/lead/" + poolName); !ok || it.Rev == fence; it, ok = pool.kv.Peek("seat/lead/" + poolName) {
			time.Sleep(10 * time.Millisecond)
		}
		task := runs.Task{Job: fmt.Sprintf("%016x", 1)}
		pool.submit(&steps.Job{ID: task.Job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 1000, EstimateMs: 20_000}}})
		for range 100 {
			if at := pool.workers.Running()[task]; at != "" {
				pool.workers.InjectFault = func(worker, _ string) fakes.CallFault {
					if worker == at {
						return fakes.DropCall
					}
					return fakes.NoFault
				}
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		pool.workers.InjectFault = nil
		pool.mu.Lock()
		former.deaf = false
		pool.mu.Unlock()
		time.Sleep(time.Minute)
		require.Zero(t, pool.countOpen())
	})
}

// TWICE: an owner that is cut from the store renews the lease of the one worker at work,
// which its successor can't reach. It must hear from the idle workers that it was replaced
// before its successor gives the busy one up.
func TestOwnerCutFromStoreHearsOfSuccessor(t *testing.T) {
	withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
		pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 20 * time.Second, runs.Done }
		task := runs.Task{Job: fmt.Sprintf("%016x", 1)}
		pool.submit(&steps.Job{ID: task.Job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 1000, EstimateMs: 20_000}}})
		time.Sleep(time.Second)
		busy := pool.workers.Running()[task]
		require.NotEmpty(t, busy)
		former := pool.leader()
		pool.mu.Lock()
		former.cut = true
		for _, e := range pool.entries {
			if e != former {
				e.cutFrom = map[string]bool{busy: true}
			}
		}
		pool.mu.Unlock()
		time.Sleep(15 * time.Second)
		pool.mu.Lock()
		former.cut = false
		for _, e := range pool.entries {
			e.cutFrom = nil
		}
		pool.mu.Unlock()
		time.Sleep(time.Minute)
		require.Zero(t, pool.countOpen())
	})
}
