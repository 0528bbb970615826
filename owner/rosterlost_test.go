package owner

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
)

// TWICE: an owner is lost in its takeover, in which a worker has started again at another
// address. The next owner looks for runs at that address, and knows that the earlier incarnation
// was lost.
func TestRosterHasIncarnationBesideLostOne(t *testing.T) {
	r := newRig(t)
	clear(r.hosts)
	lost := rosterEntry{ID: "w", Address: "a", StartedMs: 1000}
	r.missing = []rosterEntry{lost, {ID: "v", Address: "c", StartedMs: 1000}}
	r.hosts["w"] = newHost(hosts.Worker{ID: "w", Address: "b", StartedMs: 2000})
	r.hosts["w"].answered = true
	for range 2 { // a read that fails later is repeated
		value := r.encodeRoster()
		r.Store.List = func(_ context.Context, key string) ([]plat.Item, int64, error) {
			return []plat.Item{{Key: key, Rev: 1, Value: value}}, 1, nil
		}
		clear(r.hosts)
		require.NoError(t, r.readRoster(t.Context()))
		require.Equal(t, rosterEntry{ID: "w", Address: "b", StartedMs: 2000}, r.hosts["w"].rosterEntry())
		require.Equal(t, rosterEntry{ID: "v", Address: "c", StartedMs: 1000}, r.hosts["v"].rosterEntry())
		lost.Lost = true
		require.Equal(t, []rosterEntry{lost}, r.missing)
		require.Equal(t, map[string][]string{"w": {"a"}, "v": {"a"}}, RosterPools([]plat.Item{{Key: rosterKey(r.Pool), Value: value}}))
	}
}
