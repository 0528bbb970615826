package owner_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// TWICE: a poll of an earlier incarnation is carried out late by the next one, which takes its longest
// lease from it. The owner knows that, and is lost; its successor can't reach the worker, and gives
// it up as if no lease were longer than those that owners give.
func TestSuccessorWaitsForLeaseOfLateOrder(t *testing.T) {
	withoutFaults(t, 3, func(ctx context.Context, pool *testPool) {
		pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 40 * time.Second, runs.Done }
		p := newLoadedPool(pool, 3)
		p.submitSteps(40*time.Second, steps.Step{Count: 3, CPU: 2600})
		time.Sleep(15 * time.Second)
		w, byID := hosts.Worker{}, pool.workers.Registered()
		for _, id := range pool.workers.Running() {
			w = byID[slices.IndexFunc(byID, func(w hosts.Worker) bool { return w.ID == id })]
		}
		var armed atomic.Bool
		late := make(chan struct{})
		pool.workers.InjectFault = nil
		pool.renew = func(ctx context.Context, to runs.Target, n runs.Renew) (runs.Report, error) {
			if to.ID == w.ID && n.UntilMs > 0 && armed.CompareAndSwap(true, false) {
				go func() {
					time.Sleep(5 * time.Second)
					_, _ = pool.workers.Renew(context.Background(), to, n)
					close(late)
				}()
				return runs.Report{}, noAnswer(ctx)
			}
			return pool.workers.Renew(ctx, to, n)
		}
		armed.Store(true)
		for armed.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		pool.workers.Crash(w.ID)
		time.Sleep(500 * time.Millisecond)
		pool.workers.Join(w)
		time.Sleep(time.Second)
		p.submitSteps(40*time.Second, steps.Step{Count: 3, CPU: 2600})
		<-late
		at := 0
		for _, id := range pool.workers.Running() {
			if id == w.ID {
				at++
			}
		}
		require.NotZero(t, at, "the next incarnation has got work")
		pool.workers.SetUnreachable(w.ID, true)
		pool.kill(ctx, pool.leader())
		time.Sleep(15 * time.Second)
	})
}
