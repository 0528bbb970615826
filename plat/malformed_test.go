package plat_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/plat"
)

func TestMalformedIsLoggedOncePerChange(t *testing.T) {
	var m plat.Malformed
	require.True(t, m.Add("a", "1"))
	require.True(t, m.Add("b", "1"))
	require.Empty(t, m.EndReading())
	require.False(t, m.Add("a", "1"))
	require.True(t, m.Add("b", "2"))
	require.Empty(t, m.EndReading())
	require.False(t, m.Add("a", "1"))
	require.Equal(t, []string{"b"}, m.EndReading())
	require.True(t, m.Add("b", "2"))
	require.Equal(t, []string{"a"}, m.EndReading())
	require.Equal(t, []string{"b"}, m.EndReading())
	require.Empty(t, m.EndReading())
}

// An unbounded number of malformed entries used up the memory, and filled the log.
func TestMalformedIsBounded(t *testing.T) {
	var m plat.Malformed
	logged := 0
	for range 3 {
		for i := range 5 * plat.MaxMalformed {
			if m.Add(strconv.Itoa(i), "") {
				logged++
			}
		}
		require.Empty(t, m.EndReading())
	}
	require.Equal(t, plat.MaxMalformed, logged)
}
