package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPartitionMajority splits up to 64 entries into two sides in every way. The
// side without the store must not dispatch (halfHeard) while the other may presume
// it to be down (majorityHeard); without a partition both rules hold.
func TestPartitionMajority(t *testing.T) {
	for known := 1; known <= 64; known++ {
		require.True(t, halfHeard(known, known))
		require.True(t, majorityHeard(known, known))
		for side := 1; side < known; side++ {
			require.False(t, halfHeard(side, known) && majorityHeard(known-side, known), "%d of %d", side, known)
		}
	}
}
