package note

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/table"
)

// FuzzParse checks that any text either fails with ErrInvalid or leads to a
// configuration that checkRules accepts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(first))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := Parse("", text)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			return
		}
		base := &table.Config{
			Pools:  []table.PoolSpec{{Name: "diary", Size: 2, Budget: 1}},
			Queues: []table.QueueSpec{{Name: "naps", Pool: "diary", Target: 1e9, Objective: 0.9}},
		}
		out, err := Apply(base, n)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			return
		}
		require.EqualValues(t, 1, out.Rev)
		checkRules(t, out)
	})
}

// checkRules checks the ranges, the references and the order of a configuration.
func checkRules(t *testing.T, c *table.Config) {
	t.Helper()
	pools := map[string]bool{}
	for _, p := range c.Pools {
		require.False(t, pools[p.Name])
		require.True(t, p.Budget >= p.Reserve && p.Reserve >= 0 && p.Budget < p.Size)
		pools[p.Name] = true
	}
	queues := map[string]bool{}
	for _, q := range c.Queues {
		require.True(t, pools[q.Pool] && q.Objective > 0 && q.Objective < 1)
		_, err := ParseHours(q.Hours, q.Tz)
		require.NoError(t, err)
		queues[q.Name] = true
	}
	for _, j := range c.Jobs {
		require.True(t, queues[j.Queue] && j.Slots <= table.WorkerSlots && j.Rank > 0)
	}
	sorted := c.Clone()
	sorted.SortByName()
	require.True(t, slices.Equal(sorted.Pools, c.Pools) && slices.Equal(sorted.Jobs, c.Jobs))
}
