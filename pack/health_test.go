package pack_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/pack"
)

// Twelve workers end twelve runs each, about half a second of a busy pool. Workers
// that fail every run are found, and jobs that fail on every worker blame none.
func TestUnhealthy(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	for _, c := range []struct {
		name                string
		failing, everywhere int // workers that fail every run; failures on each worker
		want                int
	}{
		{"no failures", 0, 0, 0},
		{"one worker fails every run", 1, 0, 1},
		{"three workers fail every run", 3, 0, 3},
		{"half of the workers fail every run", 6, 0, 0},
		{"jobs that fail on every worker", 0, 3, 0},
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
			for range c.everywhere {
				h.AddFailure(now)
			}
			records[i] = h
		}
		n := 0
		for _, unhealthy := range pack.Unhealthy(records, now) {
			if unhealthy {
				n++
			}
		}
		require.Equal(t, c.want, n, c.name)
		if c.failing == 1 {
			require.False(t, pack.Unhealthy(records, now.Add(time.Minute))[0], "gets work again after a while")
		}
	}
}
