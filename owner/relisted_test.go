package owner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"shallotpaddle/owner"
	"shallotpaddle/steps"
)

// TWICE: a list of all jobs was answered late, after a job in it had been removed as it had ended
// long ago. The job was taken for a new one and ran again.
func TestRemovedJobInLateListDoesNotRunAgain(t *testing.T) {
	const late = time.Second // as in an entry at its limit
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		pool := newTestPool(t, 1)
		pool.retention = hourRetention
		var slow atomic.Bool
		pool.lateList = func(prefix string) time.Duration {
			if slow.Load() && prefix == owner.JobPrefix(poolName) {
				return late
			}
			return 0
		}
		pool.addWorkers(4)
		for i := range 3 {
			pool.startEntry(ctx, fmt.Sprintf("n%d", i))
		}
		time.Sleep(2 * time.Second)
		pool.submit(&steps.Job{ID: "0a", Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 500}}})
		time.Sleep(5 * time.Second)
		assert.Equal(t, steps.Completed, pool.state("0a").State)
		starts := pool.workers.Starts()
		for range 60 { // the list under way as the job is removed has it
			time.Sleep(500 * time.Millisecond)
			slow.Store(true)
			pool.kv.Put("other", nil)
			pool.kv.Compact()
		}
		slow.Store(false)
		time.Sleep(5 * time.Second)
		assert.Equal(t, starts, pool.workers.Starts(), "starts")
		assert.Empty(t, pool.workers.Violations())
		it, ok := pool.kv.Peek(owner.StateKey(poolName, "0a"))
		assert.False(t, ok, "state without a job: %s", json.RawMessage(it.Value))
		cancel()
		time.Sleep(5 * time.Second)
	})
}
