package pack_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/pack"
)

// TestSick replays half a second of a busy pool of twelve workers of which some
// fail all that they start.
func TestSick(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	for _, c := range []struct {
		name            string
		failing, broken int // workers that fail all; failures at every worker
		want            int
	}{
		{"all well", 0, 0, 0},
		{"one fails all", 1, 0, 1},
		{"three fail all", 3, 0, 3},
		{"half of them fail", 6, 0, 0},
		{"jobs that can never be done", 0, 3, 0},
	} {
		records := make([]*pack.Health, 12)
		for i := range records {
			h := &pack.Health{}
			for range 12 {
				if i < c.failing {
					h.AddFailure(now)
				} else {
					h.AddSuccess(now)
				}
			}
			for range c.broken {
				h.AddFailure(now)
			}
			records[i] = h
		}
		n := 0
		for _, sick := range pack.Unhealthy(records, now) {
			if sick {
				n++
			}
		}
		require.Equal(t, c.want, n, c.name)
		if c.failing == 1 {
			require.False(t, pack.Unhealthy(records, now.Add(time.Minute))[0], "tried again after a while")
		}
	}
}
