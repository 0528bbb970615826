package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// LOST: workers that drain die as their long-running subtasks are stopped; how long until these run again.
func TestStopAtDyingWorker(t *testing.T) {
	for n := range 100 {
		wait, phase := time.Duration(n%10)*100*time.Millisecond, time.Duration(n/10)*110*time.Millisecond
		stop := wait > 0
		t.Run(fmt.Sprintf("stop %v after %s phase %s", stop, wait, phase), func(t *testing.T) {
			withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
				job := fmt.Sprintf("%016x", 1)
				pool.submit(&steps.Job{ID: job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 3, CPU: 1000, LongRunning: true}}})
				time.Sleep(30*time.Second + phase)
				at := pool.workers.Running()[runs.Task{Job: job}]
				pool.workers.SetUnreachable(at, true)
				time.Sleep(wait)
				if stop {
					pool.workers.Drain(at, 30*time.Second)
				}
				time.AfterFunc(3500*time.Millisecond, func() { pool.workers.Crash(at) })
				begun := time.Now()
				time.Sleep(3700 * time.Millisecond)
				for {
					if n := len(pool.workers.Running()); n == 3 {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				if d := time.Since(begun); d > 9*time.Second {
					t.Errorf("LOST: back after %s", d)
				}
				t.Log("back after", time.Since(begun))
			})
		})
	}
}

// LOST: the same; the worker answers again, as the same incarnation, after its lease is over.
func TestStopAtSilentWorker(t *testing.T) {
	for n := range 100 {
		wait, phase := time.Duration(n%10)*100*time.Millisecond, time.Duration(n/10)*110*time.Millisecond
		stop := wait > 0
		t.Run(fmt.Sprintf("stop %v after %s phase %s", stop, wait, phase), func(t *testing.T) {
			withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
				job := fmt.Sprintf("%016x", 1)
				pool.submit(&steps.Job{ID: job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 3, CPU: 1000, LongRunning: true}}})
				time.Sleep(30*time.Second + phase)
				at := pool.workers.Running()[runs.Task{Job: job}]
				pool.workers.SetUnreachable(at, true)
				time.Sleep(wait)
				if stop {
					pool.workers.Drain(at, 30*time.Second)
				}
				time.AfterFunc(5*time.Second, func() { pool.workers.SetUnreachable(at, false) })
				begun := time.Now()
				time.Sleep(3700 * time.Millisecond)
				for {
					if n := len(pool.workers.Running()); n == 3 {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				if d := time.Since(begun); d > 9*time.Second {
					t.Errorf("LOST: back after %s", d)
				}
				t.Log("back after", time.Since(begun))
			})
		})
	}
}
