package table

import "math"

const (
	// MinFailingShare is the share of failed task ends that a host's true share
	// must exceed, with confidence FailingZ, to count as failing its work.
	MinFailingShare = 0.4
	// FailingZ is the width of the confidence bounds in standard deviations.
	FailingZ = 2.5
)

// Failing tells whether the host fails most of the work it was given since its
// last boot.
func (h *Host) Failing() bool {
	low, _ := WilsonBounds(h.succeeded, h.failed)
	return low >= MinFailingShare
}

// WilsonBounds returns Wilson's confidence bounds of the share of bad ends; they
// are 0 and 1 without any ends.
func WilsonBounds(good, bad float64) (low, high float64) {
	n := good + bad
	if n <= 0 {
		return 0, 1
	}
	const z2 = FailingZ * FailingZ
	p := bad / n
	mid := p + z2/(2*n)
	half := FailingZ * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return (mid - half) / (1 + z2/n), (mid + half) / (1 + z2/n)
}
