package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"shallotpaddle/steps"
)

// changeOwners ends the owner of the pool again and again for a time, each after the same time.
func (pool *testPool) changeOwners(ctx context.Context, d, each time.Duration) {
	for begun := time.Now(); time.Since(begun) < d; {
		time.Sleep(each)
		if e := pool.leader(); e != nil {
			pool.kill(ctx, e)
		}
	}
}

// What is dropped at an age stayed in the store for ever, as each owner counted the age anew.
func TestMarksGoAlthoughOwnersChange(t *testing.T) {
	const kept = hourRetention + 10*time.Second
	for name, row := range map[string]struct {
		leave func(pool *testPool)
		// each is the time of each owner, a bit less than the mark is kept, and key the place of the mark.
		each      time.Duration
		key, mark string
	}{
		"ended job": {
			leave: func(pool *testPool) {
				pool.submit(&steps.Job{ID: "0a", Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 500}}})
			},
			each: kept - 10*time.Second, key: "job/a/0a", mark: `"0a"`,
		},
		"cancellation of a job that is gone": {
			leave: func(pool *testPool) { pool.cancel("0b") },
			each:  kept - 10*time.Second, key: "job/a/cancel/0b", mark: "{}",
		},
		"worker that was given up": {
			leave: func(pool *testPool) {
				id := pool.workers.Registered()[0].ID
				pool.submit(&steps.Job{ID: "0c", Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 4, CPU: 500, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1}}})
				time.Sleep(2 * time.Second)
				pool.workers.SetUnreachable(id, true)
				time.Sleep(15 * time.Second)
				pool.workers.Crash(id)
			},
			each: lapsedKept - time.Minute, key: "pool/a", mark: `"i-1"`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			withoutFaults(t, 4, func(ctx context.Context, pool *testPool) {
				pool.retention = hourRetention
				pool.kill(ctx, pool.leader()) // for one that has the retention
				time.Sleep(10 * time.Second)
				row.leave(pool)
				time.Sleep(10 * time.Second)
				it, _ := pool.kv.Peek(row.key)
				assert.Contains(t, string(it.Value), row.mark)
				pool.changeOwners(ctx, 4*row.each, row.each)
				time.Sleep(10 * time.Second)
				it, _ = pool.kv.Peek(row.key)
				assert.NotContains(t, string(it.Value), row.mark, "%s after %v", row.key, 4*row.each)
			})
		})
	}
}
