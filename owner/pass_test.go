package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Passes over many waiting jobs leave most of the CPU to calls, and none waits for long.
func TestPassGapFollowsDuration(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{
		0:                      minPassGap,
		100 * time.Microsecond: minPassGap,
		time.Millisecond:       20 * time.Millisecond,
		time.Second:            maxBusyPassGap,
	} {
		require.Equal(t, want, passGap(took), took)
	}
}
