package owner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/owner"
	"shallotpaddle/steps"
)

// calmly plays a pool of three entries and some workers on which nothing fails.
func calmly(t *testing.T, workers int, f func(ctx context.Context, w *world)) *world {
	var w *world
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w = newWorld(t, 1)
		w.join(workers)
		for i := range 3 {
			w.enter(ctx, fmt.Sprintf("n%d", i))
		}
		time.Sleep(2 * time.Second)
		f(ctx, w)
		cancel()
		time.Sleep(5 * time.Second)
	})
	require.Empty(t, w.crew.Faults())
	return w
}

// GANG: in a pool that is nearly full, a gang starts when all of its members find
// room, and none of them waits for the others in vain.
func TestGangStartsTogether(t *testing.T) {
	w := calmly(t, 4, func(_ context.Context, w *world) {
		for i := range 40 {
			j := &steps.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 6, CPU: 2000, Gang: i%2 == 0}}}
			w.submit(j)
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(60 * time.Second)
	})
	require.Zero(t, w.crew.Alone())
	require.Zero(t, w.open())
}

// DRAIN: workers leave one after the other under load; none gets work later than
// its notice allows, and what ran there goes on elsewhere.
func TestLeavingWorkersGetNoWork(t *testing.T) {
	w := calmly(t, 6, func(_ context.Context, w *world) {
		for i := range 120 {
			w.submit(&steps.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 6, CPU: 1500}}})
			time.Sleep(100 * time.Millisecond)
			if i%20 == 10 {
				id := w.crew.Registered()[0].ID
				w.crew.Drain(id, 2*time.Second)
				time.AfterFunc(6*time.Second, func() { w.crew.Crash(id) })
				w.join(1)
			}
		}
		time.Sleep(60 * time.Second)
	})
	require.Zero(t, w.open())
}

// UNASKED: a cancelled job is gone within the bound: its runs are stopped, none
// begins, and the next owner knows it too.
func TestCancelledJobIsGone(t *testing.T) {
	calmly(t, 4, func(ctx context.Context, w *world) {
		var last string
		for i := range 30 {
			last = fmt.Sprintf("%016x", i)
			w.submit(&steps.Job{ID: last, Queue: "q", MaxAttempts: 3, Payload: last, Steps: []steps.Step{{Count: 8, CPU: 2000}, {Count: 8, CPU: 2000, After: []int{0}}}})
			time.Sleep(30 * time.Millisecond)
		}
		w.cancel(last)
		w.cancel("0000000000000001")
		w.kill(ctx, w.leader())
		time.Sleep(4 * time.Second)
		for task := range w.crew.Running() {
			require.NotContains(t, []string{last, "0000000000000001"}, task.Job)
		}
		time.Sleep(90 * time.Second)
		require.Zero(t, w.open())
	})
}

// MIXED: jobs that wait are told as pending, and no longer once they have begun.
func TestPendingIsTold(t *testing.T) {
	calmly(t, 1, func(_ context.Context, w *world) {
		for i := range 12 {
			w.submit(&steps.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 8000}}})
		}
		pending := func() int {
			it, ok := w.kv.Peek(owner.DigestKey(poolName))
			require.True(t, ok)
			var d owner.Digest
			require.NoError(t, json.Unmarshal(it.Value, &d))
			return d.Waiting["q"]
		}
		time.Sleep(500 * time.Millisecond)
		require.GreaterOrEqual(t, pending(), 9)
		time.Sleep(60 * time.Second)
		require.Zero(t, pending())
	})
}
