package elect_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/plat"
)

// TestLeadersReturnWhenLeasesEnd ends the leases of all entries, as a store may that was away.
// Pools had no owner for most of a second, and others' owners then.
func TestLeadersReturnWhenLeasesEnd(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, pools []string) {
		var mu sync.Mutex
		leases := map[string]int64{}
		el.commit = func(ctx context.Context, txn plat.Txn) (int64, []plat.Item, error) {
			mu.Lock()
			leases[txn.Puts[0].Key] = txn.Puts[0].Lease
			mu.Unlock()
			return el.kv.Commit(ctx, txn)
		}
		for i := range 3 {
			el.startEntry(ctx, fmt.Sprint("n", i), pools)
		}
		time.Sleep(3 * time.Second)
		before := el.leaders(t, pools)
		for i := range 3 {
			el.kv.EndLease(leases[fmt.Sprint("seat/node/n", i)])
		}
		time.Sleep(ttl / 4) // until the next renewal
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, before, el.leaders(t, pools))
		time.Sleep(2 * time.Second)
		require.Equal(t, before, el.leaders(t, pools))
	})
}
