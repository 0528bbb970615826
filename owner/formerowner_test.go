package owner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// lateStart is a start that got no answer and has not been carried out yet.
type lateStart struct {
	to    runs.Target
	start runs.Start
}

// keepFirstStart leaves the first start without an answer, and returns a channel that
// receives it.
func (pool *testPool) keepFirstStart() chan lateStart {
	kept := make(chan lateStart, 1)
	var seen atomic.Bool
	start := pool.start
	pool.start = func(ctx context.Context, to runs.Target, s runs.Start) (runs.Reply, error) {
		if seen.Swap(true) {
			return start(ctx, to, s)
		}
		kept <- lateStart{to, s}
		<-ctx.Done()
		return runs.Reply{}, fmt.Errorf("%w: %w", plat.ErrUnknown, ctx.Err())
	}
	return kept
}

// TWICE: an owner is lost after a start without an answer, and the worker restarts under
// its ID after the takeover. The new incarnation has seen no token. The successor, which
// knows nothing of the start and has started the subtask elsewhere, must reach that
// incarnation before the start is carried out there, 300 ms after it is up.
func TestStartOfFormerOwnerReachesRestartedWorker(t *testing.T) {
	for name, down := range map[string]time.Duration{"idle worker restarts at once": 50 * time.Millisecond, "worker is away at the takeover": 8 * time.Second} {
		for phase := time.Duration(0); phase < 700*time.Millisecond; phase += 100 * time.Millisecond {
			t.Run(fmt.Sprint(name, " ", phase), func(t *testing.T) {
				withoutFaults(t, 3, func(ctx context.Context, pool *testPool) {
					pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 20 * time.Second, runs.Done }
					kept := pool.keepFirstStart()
					task := runs.Task{Job: fmt.Sprintf("%016x", 1)}
					pool.submit(&steps.Job{ID: task.Job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 1000, EstimateMs: 20_000}}})
					late, sent := <-kept, time.Now()
					pool.kill(ctx, pool.leader())
					w := pool.registered(late.to.ID)
					pool.workers.SetCapacity(w.ID, hosts.Resources{}) // the subtask goes elsewhere
					crashAt := 9*time.Second - down
					time.Sleep(crashAt + phase)
					pool.workers.Crash(w.ID)
					time.Sleep(down)
					pool.workers.Join(w)
					time.Sleep(300 * time.Millisecond)
					require.Less(t, time.Since(sent), maxOrderDelay)
					_, _ = pool.workers.Start(ctx, late.to, late.start)
					time.Sleep(time.Minute)
					require.Zero(t, pool.countOpen())
				})
			})
		}
	}
}
