package elect_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/elect"
	"shallotpaddle/plat"
)

// TWICE: a claim is carried out, but its answer comes when the lease has ended and the
// entry has another one. The key of the claim is gone by then: the entry must not lead by
// it, as the new lease proves nothing of it, and another entry may have been elected.
func TestClaimUnderEndedLeaseIsNoElection(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		claimed := false
		el.commit = func(ctx context.Context, txn plat.Txn) (int64, []plat.Item, error) {
			rev, items, err := el.kv.Commit(ctx, txn)
			if txn.Puts[0].Key == elect.Key("a") && !claimed {
				claimed = true
				el.kv.EndLease(txn.Puts[0].Lease)
				time.Sleep(800 * time.Millisecond)
			}
			return rev, items, err
		}
		el.startEntry(ctx, "n0", []string{"a"})
		time.Sleep(5 * time.Second)
		require.True(t, claimed)
		el.leaders(t, []string{"a"})
		it, ok := el.kv.Peek(elect.Key("a"))
		require.True(t, ok, "the entry leads by a key that is gone")
		require.Equal(t, el.lastFence["a"], it.Rev)
		require.Equal(t, 1, el.wonCount)
	})
}
