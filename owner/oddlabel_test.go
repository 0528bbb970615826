package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// ROUTE: the registration of a worker shows labels that the worker doesn't have, for a while. If
// it goes on to, the former ones were wrong.
func TestOddLabelLeadsNoStart(t *testing.T) {
	for name, c := range map[string]struct {
		during time.Duration
		starts int
	}{"for a while": {2 * time.Second, 0}, "from now on": {20 * time.Second, 2}} {
		t.Run(name, func(t *testing.T) {
			withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
				pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 9 * time.Second, runs.Done }
				pool.makeOdd("i-1", func(list []hosts.Worker, i int) []hosts.Worker {
					list[i].Labels = []string{"gpu", "r9"}
					return list
				}, c.during)
				time.Sleep(time.Second)
				pool.submit(&steps.Job{ID: "0000000000000001", Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 2, CPU: 1000, Label: "gpu", EstimateMs: 9000}}})
				time.Sleep(8 * time.Second)
				assert.Equal(pool.t, c.starts, pool.workers.Starts())
			})
		})
	}
}

// AVAIL: the registration of a worker that isn't draining says that it is, for a second. No more
// subtasks of a step are stopped at a time than it allows.
func TestOddDrainStopsNoMoreThanAllowed(t *testing.T) {
	withoutFaults(t, 2, func(_ context.Context, pool *testPool) {
		pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return time.Hour, runs.Done }
		pool.submit(&steps.Job{ID: "0000000000000001", Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 4, CPU: 1000, LongRunning: true, MaxUnavailable: 1}}})
		time.Sleep(5 * time.Second)
		id := pool.workers.Running()[runs.Task{Job: "0000000000000001"}]
		pool.makeOdd(id, oddEntries["draining"], time.Second)
		// A start means that the subtask was stopped, and is not in service for 300 ms.
		starts, started := pool.workers.Starts(), time.Time{}
		for range 800 {
			time.Sleep(5 * time.Millisecond)
			for ; starts < pool.workers.Starts(); starts++ {
				assert.GreaterOrEqual(pool.t, time.Since(started), 300*time.Millisecond, "AVAIL: two subtasks are away")
				started = time.Now()
			}
		}
	})
}
