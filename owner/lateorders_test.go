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

// Half of the calls to workers get no answer and are carried out 2 to 12 s late. The jobs
// accepted meanwhile end in time all the same, but for a few.
func TestJobsEndWhileOrdersAreLate(t *testing.T) {
	const jobs, timely = 60, 4 * time.Second
	require.Less(t, lateJobs(t, jobs, timely), jobs/4)
}

// The same where a start without an answer and an unread end must cost less than a run takes.
func TestJobsEndSoonWhileOrdersAreLate(t *testing.T) {
	const jobs, timely = 60, 1200 * time.Millisecond
	require.Less(t, lateJobs(t, jobs, timely), jobs/4)
}

// lateJobs submits jobs of subtasks that take 0.6 s, one after the other, while orders are
// late, and returns the number of those that take longer than timely.
func lateJobs(t *testing.T, jobs int, timely time.Duration) int {
	const tasks = 6
	var late atomic.Int32
	withoutFaults(t, 6, func(_ context.Context, pool *testPool) {
		pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 600 * time.Millisecond, runs.Done }
		pool.delayHalfOfOrders()
		for i := range jobs {
			id := fmt.Sprintf("%016x", i)
			pool.submit(&steps.Job{ID: id, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: tasks, CPU: 500, EstimateMs: 600}}})
			time.AfterFunc(timely, func() {
				if pool.state(id).State == steps.Open {
					late.Add(1)
				}
			})
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		require.Zero(t, pool.countOpen())
	})
	t.Logf("%d of %d jobs were late", late.Load(), jobs)
	return int(late.Load())
}

// delayHalfOfOrders leaves half of the orders without an answer for 12 seconds.
func (pool *testPool) delayHalfOfOrders() {
	r, end := newLockedRand(1, 3), time.Now().Add(12*time.Second)
	pool.workers.LateOrderDelay = func() time.Duration { return 2*time.Second + time.Duration(r.intN(10000))*time.Millisecond }
	pool.workers.InjectFault = func(_, op string) fakes.CallFault {
		if op != "advisor" && time.Now().Before(end) && r.intN(2) == 0 {
			return fakes.DelayCall
		}
		return fakes.NoFault
	}
}
