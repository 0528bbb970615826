package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// A worker that has just answered is dark for a while; a start sent meanwhile is repeated until the next
// incarnation carries it out, which is cut off, and the owner is killed.
func TestRetryReachesNextIncarnation(t *testing.T) {
	for dark := 50 * time.Millisecond; dark <= 800*time.Millisecond; dark += 50 * time.Millisecond {
		for _, cut := range []time.Duration{4 * time.Millisecond, 28 * time.Millisecond} {
			for _, kill := range []time.Duration{-1, 0, 100 * time.Millisecond} {
				t.Run(fmt.Sprintf("dark %s cut %s kill %s", dark, cut, kill), func(t *testing.T) {
					job, other := fmt.Sprintf("%016x", 1), fmt.Sprintf("%016x", 2)
					withoutFaults(t, 3, func(ctx context.Context, pool *testPool) {
						pool.workers.DecideRun = func(id runs.Task, _ int) (time.Duration, runs.Outcome) {
							if id.Job == other {
								return 300*time.Millisecond + time.Duration(id.Index)*25*time.Millisecond, runs.Done
							}
							return 20 * time.Second, runs.Done
						}
						time.Sleep(20 * time.Second)
						pool.submit(&steps.Job{ID: other, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 12, CPU: 1000}}})
						time.Sleep(450 * time.Millisecond)
						w := pool.workers.Registered()[0]
						pool.workers.SetUnreachable(w.ID, true)
						pool.submit(&steps.Job{ID: job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 6, CPU: 1000}}})
						time.Sleep(dark)
						pool.workers.Crash(w.ID)
						pool.workers.Join(w)
						pool.workers.SetUnreachable(w.ID, false)
						time.AfterFunc(cut, func() { pool.workers.SetUnreachable(w.ID, true) })
						time.AfterFunc(cut+9*time.Second, func() { pool.workers.SetUnreachable(w.ID, false) })
						if kill != -1 {
							time.AfterFunc(max(cut+kill, 0), func() {
								if e := pool.leader(); e != nil {
									pool.kill(ctx, e)
								}
							})
						}
						time.Sleep(time.Minute)
						require.Equal(t, steps.Completed, pool.state(job).State, "LOST")
					})
				})
			}
		}
	}
}
