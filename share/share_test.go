package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/share"
)

func TestOwnerMovesOnlyLostPools(t *testing.T) {
	entries := []string{"e1", "e2", "e3", "e4", "e5", "e6"}
	require.Empty(t, share.Owner("p", nil))
	for i := range 200 {
		pool := fmt.Sprintf("pool-%d", i)
		was := share.Owner(pool, entries)
		now := share.Owner(pool, entries[:5])
		if was != "e6" {
			require.Equal(t, was, now)
		}
	}
}

func TestPicker(t *testing.T) {
	now := time.Unix(0, 0)
	h := share.NewPicker(1)
	_, ok := h.Take(now, 1)
	require.False(t, ok)
	h.SetHosts([]share.Host{{Name: "a", Slots: 2}, {Name: "b", Slots: 2}})
	count := map[string]int{}
	for range 4 {
		host, ok := h.Take(now, 1)
		require.True(t, ok)
		count[host]++
	}
	require.Equal(t, map[string]int{"a": 2, "b": 2}, count)
	_, ok = h.Take(now, 1)
	require.False(t, ok, "all slots in use")
	h.Refused(now, "a", 1)
	_, ok = h.Take(now, 1)
	require.False(t, ok, "backoff after a refusal")
	now = now.Add(share.FullBackoff)
	host, ok := h.Take(now, 1)
	require.True(t, ok)
	require.Equal(t, "a", host)
	h.Refused(now, "a", 1)
	require.Equal(t, now.Add(2*share.FullBackoff), h.NextEligible(now), "longer backoff after a second refusal")
	now = now.Add(2 * share.FullBackoff)
	_, ok = h.Take(now, 1)
	require.True(t, ok)
	h.SetHosts([]share.Host{{Name: "b", Slots: 2}})
	h.Release("a", 2)
	h.Release("b", 1)
	require.Equal(t, 1, h.Free(now))
	h.Observe("b", 2)
	require.Zero(t, h.Free(now))
}

func TestExclude(t *testing.T) {
	now := time.Unix(0, 0)
	h := share.NewPicker(1)
	list := []share.Host{{Name: "a", Slots: 2}}
	h.SetHosts(list)
	host, _ := h.Take(now, 1)
	h.Exclude("a", now.Add(time.Second))
	h.Release(host, 1)
	h.SetHosts(list)
	_, ok := h.Take(now, 1)
	require.False(t, ok, "neither the end of a task nor the same list of hosts ends the exclusion")
	require.Equal(t, now.Add(time.Second), h.NextEligible(now))
	_, ok = h.Take(now.Add(time.Second), 1)
	require.True(t, ok)
}
