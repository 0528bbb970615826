package shift

import "slices"

// OddFactor is how many times as large as that of any other host a capacity may be: an entry
// that is wrong may have any number, while hosts differ by a small factor.
const OddFactor = 16

// LargestCPU returns the largest of the hosts' CPU figures, without one that is far beyond all
// others.
func LargestCPU(list []int) int {
	list = slices.Sorted(slices.Values(list))
	switch n := len(list); {
	case n == 0:
		return 0
	case n > 1 && list[n-2] > 0 && list[n-1]/OddFactor > list[n-2]:
		return list[n-2]
	default:
		return list[n-1]
	}
}
