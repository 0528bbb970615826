package share_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/share"
)

func hosts(n int) []share.Host {
	out := make([]share.Host, n)
	for i := range out {
		out[i] = share.Host{Name: fmt.Sprintf("h%d", i), Slots: 8}
	}
	return out
}

// group is an allocator with the pickers of its entries.
type group struct {
	allocator *share.Allocator
	pickers   map[string]*share.Picker
	waiting   map[string]*[share.RankBands]int
	sendAll   map[string]bool
}

func newGroup(n, hostCount int) *group {
	g := &group{share.NewAllocator(), map[string]*share.Picker{}, map[string]*[share.RankBands]int{}, map[string]bool{}}
	g.allocator.SetHosts(hosts(hostCount))
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		g.pickers[name], g.waiting[name], g.sendAll[name] = share.NewPicker(uint64(i)), &[share.RankBands]int{}, true
		g.pickers[name].SetHosts(hosts(hostCount))
	}
	return g
}

// round has all entries report and apply the grants.
func (g *group) round(t *testing.T, now time.Time) {
	t.Helper()
	for name, h := range g.pickers {
		require.NoError(t, g.allocator.ApplyReport(name, h.AppendReport(nil, g.waiting[name], g.sendAll[name]), now))
		g.sendAll[name] = false
	}
	g.allocator.Grants(now, func(entry string, msg []byte) {
		require.NoError(t, g.pickers[entry].ApplyGrants(msg, now))
	})
}

// Whatever the entries hold and want, one allocator never grants a slot twice,
// so that no task started within the grants is refused.
func TestGrantsNeverOverlap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	g := newGroup(6, 4)
	now := time.Unix(0, 0)
	busy := map[string]int{}
	var running [][2]string
	for range 500 {
		for name := range 6 {
			w := g.waiting[fmt.Sprintf("e%d", name)]
			w[rng.IntN(share.RankBands)] = rng.IntN(20)
			w[rng.IntN(share.RankBands)] = 0
		}
		for len(running) > 0 && rng.IntN(3) > 0 {
			i := rng.IntN(len(running))
			g.pickers[running[i][0]].Release(running[i][1], 1)
			busy[running[i][1]]--
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		g.round(t, now)
		for i := range 6 {
			name := fmt.Sprintf("e%d", i)
			for range rng.IntN(8) {
				host, ok := g.pickers[name].Take(now, 1)
				if !ok {
					break
				}
				busy[host]++
				require.LessOrEqual(t, busy[host], 8)
				running = append(running, [2]string{name, host})
			}
		}
		now = now.Add(share.ReportInterval)
	}
}

func TestAllocatorGrantsByRank(t *testing.T) {
	g := newGroup(2, 1)
	now := time.Unix(0, 0)
	g.waiting["e0"][0] = 6
	g.waiting["e1"][5] = 6
	g.round(t, now)
	require.Equal(t, 6, g.pickers["e0"].Free(now))
	require.Equal(t, 2, g.pickers["e1"].Free(now))
}

// Without an allocator the grants expire, and then every host may be picked.
func TestGrantsExpire(t *testing.T) {
	g := newGroup(2, 1)
	now := time.Unix(0, 0)
	g.round(t, now)
	h := g.pickers["e0"]
	require.True(t, h.HasGrants(now))
	require.Equal(t, 4, h.Free(now))
	h.SetHosts(hosts(1))
	require.True(t, h.HasGrants(now), "the same list of hosts does not end the grants")
	now = now.Add(share.GrantTTL)
	require.False(t, h.HasGrants(now))
	require.Equal(t, 8, h.Free(now))
}

func TestMessageFaults(t *testing.T) {
	now := time.Unix(0, 0)
	g := newGroup(1, 2)
	h := g.pickers["e0"]
	none := &[share.RankBands]int{}
	require.ErrorIs(t, g.allocator.ApplyReport("e0", h.AppendReport(nil, none, false), now), share.ErrMessage, "changes from an unknown entry")
	require.ErrorIs(t, g.allocator.ApplyReport("e0", nil, now), share.ErrMessage)
	full := h.AppendReport(nil, none, true)
	require.NoError(t, g.allocator.ApplyReport("e0", full, now))
	for cut := range full {
		require.Error(t, g.allocator.ApplyReport("e0", full[:cut], now))
	}
	other := share.NewPicker(1)
	other.SetHosts(hosts(3))
	require.ErrorIs(t, g.allocator.ApplyReport("e0", other.AppendReport(nil, none, true), now), share.ErrOtherHosts)
	g.allocator.Grants(now, func(_ string, msg []byte) {
		require.ErrorIs(t, other.ApplyGrants(msg, now), share.ErrOtherHosts)
		require.ErrorIs(t, h.ApplyGrants(append(msg[:len(msg):len(msg)][:3], 1, 99, 1), now), share.ErrMessage)
	})
}

// A task of several slots must not starve while smaller tasks keep arriving.
func TestReserveForLargeTask(t *testing.T) {
	now := time.Unix(0, 0)
	h := share.NewPicker(1)
	h.SetHosts(hosts(2))
	var taken []string
	for host, ok := h.Take(now, 1); ok; host, ok = h.Take(now, 1) {
		taken = append(taken, host)
	}
	_, ok := h.Take(now, 8)
	require.False(t, ok)
	for _, host := range taken {
		h.Release(host, 1)
		if _, ok = h.Take(now, 8); ok {
			return
		}
		h.Take(now, 1)
	}
	require.Fail(t, "no host was ever free for the large task")
}

// Two allocators that each know half of the entries grant every slot twice. The
// workers refuse what is too much, and all tasks still run exactly once.
func TestTwoAllocatorsOfOnePool(t *testing.T) {
	const tasks, entries = 400, 4
	now := time.Unix(0, 0)
	halves := []*group{newGroup(entries/2, 2), newGroup(entries/2, 2)}
	var holders []*share.Picker
	for _, g := range halves {
		for i := range entries / 2 {
			holders = append(holders, g.pickers[fmt.Sprintf("e%d", i)])
			g.waiting[fmt.Sprintf("e%d", i)][0] = tasks / entries
		}
	}
	busy := map[string]int{}
	left, refusals := tasks, 0
	for round := 0; left > 0 && round < tasks; round++ {
		for _, g := range halves {
			g.round(t, now)
		}
		var started []func()
		for _, h := range holders {
			for host, ok := h.Take(now, 1); ok && left > 0; host, ok = h.Take(now, 1) {
				if busy[host] == 8 {
					refusals++
					h.Refused(now, host, 1)
					continue
				}
				busy[host]++
				left--
				started = append(started, func() { busy[host]--; h.Release(host, 1) })
			}
		}
		require.LessOrEqual(t, busy["h0"]+busy["h1"], 16)
		for _, end := range started {
			end()
		}
		now = now.Add(share.ReportInterval)
	}
	require.Zero(t, left)
	require.Positive(t, refusals)
}
