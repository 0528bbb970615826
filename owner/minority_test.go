package owner_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"shallotpaddle/steps"
)

// LOST: an owner is killed, and a majority of the voters is lost with it. What ran there, and all that
// waits, starts only when the time of an unproven owner is over.
func TestOwnerLostWithMostVoters(t *testing.T) {
	for name, row := range map[string]struct{ workers, lost int }{
		"first of two workers": {2, 1},
		"two of three workers": {3, 2},
		"four of six workers":  {6, 4},
		"three of six workers": {6, 3},
		"two of six workers":   {6, 2},
		"one of three, no tie": {3, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withoutFaults(t, row.workers, func(ctx context.Context, pool *testPool) {
				p := newLoadedPool(pool, row.workers)
				pool.list = pool.reachable
				p.submitSteps(time.Hour, steps.Step{Count: row.workers, CPU: 200, LongRunning: true, MaxUnavailable: 1})
				time.Sleep(6 * time.Second)
				for _, w := range pool.workers.Registered()[:row.lost] {
					pool.workers.Crash(w.ID)
				}
				pool.kill(ctx, pool.leader())
				lost := time.Now()
				time.Sleep(100 * time.Millisecond)
				for len(pool.workers.Running()) < row.workers && time.Since(lost) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				t.Logf("all at work again after %v", time.Since(lost))
				assert.Less(t, time.Since(lost), 10*time.Second, "LOST: 6 s after 4 s without a further loss")
			})
		})
	}
}

// RECOVER: all machines are lost at once; the workers come back as new ones, and the entries under new names.
func TestAllMachinesComeBackAsNewOnes(t *testing.T) {
	withoutFaults(t, 6, func(ctx context.Context, pool *testPool) {
		p := newLoadedPool(pool, 6)
		p.submitSteps(time.Hour, steps.Step{Count: 6, CPU: 200, LongRunning: true, MaxUnavailable: 1})
		time.Sleep(6 * time.Second)
		for _, w := range pool.workers.Registered() {
			pool.workers.Crash(w.ID)
		}
		pool.mu.Lock()
		list := slices.Collect(maps.Values(pool.entries))
		pool.mu.Unlock()
		for _, e := range list {
			pool.kill(ctx, e)
		}
		pool.addWorkers(6)
		lost := time.Now()
		for len(pool.workers.Running()) < 6 && time.Since(lost) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("all at work again after %v", time.Since(lost))
		assert.Less(t, time.Since(lost), 10*time.Second, "LOST: 6 s after 4 s without a further loss")
	})
}
