package shift_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/shift"
)

func TestLargestCPU(t *testing.T) {
	for want, list := range map[int][]int{
		0: nil, 5: {5}, 64_000: {32_000, 64_000, 8000}, 32_000: {32_000, 1e9, 8000}, 1e9: {1e9, 0}, 16_000: {16_000, 1000},
	} {
		require.Equal(t, want, shift.LargestCPU(list), list)
	}
}
