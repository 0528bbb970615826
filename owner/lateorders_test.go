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
	const jobs, tasks, timely = 60, 6, 4 * time.Second
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
	require.Less(t, int(late.Load()), jobs/4)
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
