package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCensus cuts every number of entries into two sides: the side without the
// store never goes on while the other may take it for gone, and without a cut
// both rules hold.
func TestCensus(t *testing.T) {
	for known := 1; known <= 64; known++ {
		require.True(t, halfHeard(known, known))
		require.True(t, majorityHeard(known, known))
		for side := 1; side < known; side++ {
			require.False(t, halfHeard(side, known) && majorityHeard(known-side, known), "%d of %d", side, known)
		}
	}
}
