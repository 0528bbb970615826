package pack_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/pack"
)

// HARM: when filling subtasks push a tail latency over its bound, it is back under
// the bound within three reports, however strongly they affect it.
func TestPaceKeepsTailUnderBound(t *testing.T) {
	for _, harm := range []float64{0.3, 1, 3, 20} {
		percent, over, tail := 100, 0, 0.0
		for range 40 {
			if tail = 0.6 + harm*float64(percent)/100; tail > 1 {
				over++
				require.LessOrEqual(t, over, 3, "harm %v", harm)
			} else {
				over = 0
			}
			percent = pack.Pace(percent, tail)
		}
	}
}

// Filling subtasks that don't affect the tail latency reach full pace.
func TestPaceRises(t *testing.T) {
	percent := 0
	for range 10 {
		percent = pack.Pace(percent, 0.5)
	}
	require.Equal(t, 100, percent)
	require.Equal(t, 40, pack.Pace(40, 0.9), "the pace stays as it is near the bound")
}
