package demand_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/demand"
)

func at(t *testing.T, s string) time.Time {
	t.Helper()
	v, err := time.Parse(time.RFC3339, s)
	require.NoError(t, err)
	return v
}

func TestArrivalsFollowTheSeed(t *testing.T) {
	f := demand.Diaries()
	from := at(t, "2026-06-01T11:00:00+12:00")
	a, err := f.Arrivals(&f.Pools[0], from, from.Add(time.Minute), 1)
	require.NoError(t, err)
	b, err := f.Arrivals(&f.Pools[0], from, from.Add(time.Minute), 1)
	require.NoError(t, err)
	require.Equal(t, a, b)
	c, err := f.Arrivals(&f.Pools[0], from, from.Add(time.Minute), 2)
	require.NoError(t, err)
	require.NotEqual(t, a, c)
}

// The work that arrives in two hours is within a tenth of the queue's load, and in a
// burst a queue has more work than its pool has slots.
func TestLoadAndTurns(t *testing.T) {
	f := demand.Diaries()
	from := at(t, "2026-06-01T09:00:00+12:00")
	p := &f.Pools[0]
	const hours = 2
	arrivals, err := f.Arrivals(p, from, from.Add(hours*time.Hour), 1)
	require.NoError(t, err)
	work, peak := map[string]float64{}, map[string]float64{}
	load := map[string]float64{} // mean load by queue in the current interval of 3 s
	var interval int64
	for _, a := range arrivals {
		if s := a.At.Unix() / 3; s != interval {
			interval = s
			clear(load)
		}
		work[a.Queue.Name] += a.Run.Seconds()
		load[a.Queue.Name] += a.Run.Seconds() / 3
		peak[a.Queue.Name] = max(peak[a.Queue.Name], load[a.Queue.Name])
	}
	for _, q := range p.Queues {
		require.InEpsilon(t, q.Load, work[q.Name]/(hours*3600), 0.1, q.Name)
		require.Greater(t, peak[q.Name], float64(8*p.Hosts), q.Name)
	}
}

func TestDueTimesOfNightWork(t *testing.T) {
	f := demand.Diaries()
	from := at(t, "2026-06-01T15:00:00+12:00")
	arrivals, err := f.Arrivals(&f.Pools[1], from, from.Add(time.Hour), 1)
	require.NoError(t, err)
	for _, a := range arrivals {
		if a.Queue.DueAt == "07:00" {
			require.True(t, a.Due.Equal(at(t, "2026-06-02T07:00:00+12:00")))
		}
	}
	_, err = (&demand.Fleet{Zone: "Nowhere"}).Arrivals(&f.Pools[0], from, from, 1)
	require.Error(t, err)
}
