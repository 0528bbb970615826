package proof

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPath sends requests end to end through separate processes, with bodies
// up to and beyond the size that is kept for a retry (endpt.ReplayLimit). Each is
// answered with its own body and runs exactly once.
func TestPath(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 8)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, size := range []int{0, 1, 1 << 10, 64 << 10, 8 << 20} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(rng.Uint32())
		}
		for _, e := range f.entries {
			got := f.call(e, "incident", body)
			require.Equal(t, "answered", got.outcome, "size %d: %v %s", size, got.err, got.body)
			require.True(t, bytes.Equal(body, got.body), "size %d", size)
		}
	}
	starts := map[string]int{}
	for _, r := range f.startedTasks() {
		starts[r.ID]++
		require.Equal(t, "photos", r.Pool)
	}
	require.Len(t, starts, 10)
	for id, n := range starts {
		require.Equal(t, 1, n, id)
	}
}
