package stall

import (
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"
)

// A hold-up that is counted twice, or only at the next beat, would let a time-out that it
// caused pass for the silence of a worker.
func TestHeldUp(t *testing.T) {
	clock := quartz.NewMock(t)
	d := New(clock)
	clock.Advance(time.Hour)
	require.Zero(t, d.HeldUp(), "not started")
	d.Beat()
	clock.Advance(Limit - 1)
	require.Zero(t, d.HeldUp())
	d.Beat()
	clock.Advance(Limit)
	require.Equal(t, Limit, d.HeldUp(), "before the next beat")
	d.Beat()
	require.Equal(t, Limit, d.HeldUp())
	clock.Advance(3 * time.Second)
	d.Beat()
	require.Equal(t, Limit+3*time.Second, d.HeldUp())
	d.End()
	clock.Advance(time.Hour)
	require.Equal(t, Limit+3*time.Second, d.HeldUp(), "ended")
	d.Beat()
	require.Equal(t, Limit+3*time.Second, d.HeldUp())
}
