package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// LOST: a start goes to a worker that has been silent for a moment and stays so, and its subtask is held
// back for 12 s, as a start without an answer may be carried out late.
func TestSilentWorkerGetsNoStart(t *testing.T) {
	for _, busy := range []bool{false, true} {
		for gap := 250 * time.Millisecond; gap < 1200*time.Millisecond; gap += 100 * time.Millisecond {
			t.Run(fmt.Sprintf("busy %v, silent for %s", busy, gap), func(t *testing.T) {
				withoutFaults(t, 4, func(_ context.Context, pool *testPool) {
					pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return time.Hour, runs.Done }
					if busy {
						pool.submit(&steps.Job{ID: fmt.Sprintf("%016x", 1), Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 4, CPU: 1000, MaxPerWorker: 1}}})
						time.Sleep(3 * time.Second)
					}
					silent := pool.workers.Registered()[0].ID
					pool.workers.SetUnreachable(silent, true)
					time.Sleep(gap)
					job := fmt.Sprintf("%016x", 2)
					pool.submit(&steps.Job{ID: job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 6, CPU: 1000, LongRunning: true}}})
					time.Sleep(3 * time.Second)
					assert.Equal(t, 6, pool.runsOf(job), "LOST")
				})
			})
		}
	}
}

// runsOf returns the number of active runs of a job.
func (pool *testPool) runsOf(job string) int {
	n := 0
	for task := range pool.workers.Running() {
		if task.Job == job {
			n++
		}
	}
	return n
}
