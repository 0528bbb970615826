package owner_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/steps"
)

// keysOf returns the keys in the store that name a job.
func (pool *testPool) keysOf(id string) []string {
	items, _, err := pool.kv.List(context.Background(), "")
	require.NoError(pool.t, err)
	var out []string
	for _, it := range items {
		if strings.Contains(it.Key, id) {
			out = append(out, it.Key)
		}
	}
	return out
}

// A cancellation that is stored after its job was removed stayed in the store and in the
// owner's memory for good, also over a change of owner.
func TestCancellationWithoutJobIsRemoved(t *testing.T) {
	withoutFaults(t, 2, func(ctx context.Context, pool *testPool) {
		for _, e := range pool.entries {
			pool.kill(ctx, e) // they have read the usual retention
		}
		pool.retention = time.Minute
		time.Sleep(2 * time.Second)
		id := fmt.Sprintf("%016x", 7)
		pool.cancel(id)
		time.Sleep(50 * time.Second)
		require.Len(t, pool.keysOf(id), 1)
		pool.kill(ctx, pool.leader())
		time.Sleep(80 * time.Second)
		require.Empty(t, pool.keysOf(id))
	})
}

// Jobs whose removal got no answer were forgotten, and their keys stayed in the store until the
// pool had another owner.
func TestRemovalIsRepeated(t *testing.T) {
	withoutFaults(t, 2, func(ctx context.Context, pool *testPool) {
		for _, e := range pool.entries {
			pool.kill(ctx, e)
		}
		pool.retention = time.Minute
		time.Sleep(2 * time.Second)
		var removals atomic.Int32
		pool.kv.InjectFault = func(op, key string) fakes.CallFault {
			if op == "commit" && key == "" && removals.Add(1) == 1 {
				return fakes.DropCall
			}
			return fakes.NoFault
		}
		id := fmt.Sprintf("%016x", 7)
		pool.submit(&steps.Job{ID: id, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 500}}})
		time.Sleep(90 * time.Second)
		require.EqualValues(t, 2, removals.Load())
		require.Empty(t, pool.keysOf(id))
	})
}
