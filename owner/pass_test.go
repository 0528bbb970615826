package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Passes over many waiting jobs leave most of the CPU to calls while these are lost, and none
// waits for long.
func TestPassGapFollowsDuration(t *testing.T) {
	r := newRig(t)
	for took, want := range map[time.Duration]time.Duration{
		0:                      minPassGap,
		100 * time.Microsecond: minPassGap,
		time.Millisecond:       20 * time.Millisecond,
		time.Second:            maxBusyPassGap,
	} {
		r.passTime, r.callsLost = took, true
		require.Equal(t, want, r.passGap(), took)
		r.callsLost = false
		require.Equal(t, minPassGap, r.passGap(), took)
	}
}
