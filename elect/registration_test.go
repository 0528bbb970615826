package elect_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/plat"
)

// LOST: an entry starts again, and a copy of its earlier registration is carried out late,
// under the lease from before. The copy must fail, but one of an older version of the program
// has no condition: the entry's key ends with that lease. The entry must register again, as
// it is no candidate without the key, and no pool has a leader if it is the last.
func TestEntryRegistersAgainWhenItsKeyEnds(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		var registration plat.Txn
		el.commit = func(ctx context.Context, txn plat.Txn) (int64, []plat.Item, error) {
			if txn.Puts[0].Key == "seat/node/n0" && registration.Puts == nil {
				registration = txn
			}
			return el.kv.Commit(ctx, txn)
		}
		_, kill := el.startEntry(ctx, "n0", nil)
		time.Sleep(300 * time.Millisecond)
		kill()
		e, _ := el.startEntry(ctx, "n0", nil)
		time.Sleep(300 * time.Millisecond)
		_, _, err := el.kv.Commit(ctx, registration)
		require.ErrorIs(t, err, plat.ErrConflict)
		_, _, err = el.kv.Commit(ctx, plat.Txn{Puts: registration.Puts[:1]})
		require.NoError(t, err)
		boot, _ := el.kv.Peek("seat/boot/n0")
		time.Sleep(3 * time.Second)
		after, _ := el.kv.Peek("seat/boot/n0")
		require.Equal(t, boot, after, "it is no new registration")
		e.SetPools([]string{"a"})
		time.Sleep(time.Second)
		require.Contains(t, el.leaders(t, []string{"a"}), "a")
	})
}
