package table

import "math"

const (
	// MinFailingShare is the share of failed tasks from which a host counts as
	// failing, as the lower confidence bound of its share.
	MinFailingShare = 0.4
	// FailingZ is the distance of the confidence bounds in standard deviations.
	FailingZ = 2.5
)

// Failing tells whether the host's share of failed tasks since its last boot is at
// least MinFailingShare.
func (h *Host) Failing() bool {
	low, _ := WilsonBounds(h.succeeded, h.failed)
	return low >= MinFailingShare
}

// WilsonBounds returns the bounds of the Wilson score interval, with z FailingZ, of
// the share of failed tasks. They are 0 and 1 if both counts are 0.
func WilsonBounds(succeeded, failed float64) (low, high float64) {
	n := succeeded + failed
	if n <= 0 {
		return 0, 1
	}
	const z2 = FailingZ * FailingZ
	p := failed / n
	mid := p + z2/(2*n)
	half := FailingZ * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return (mid - half) / (1 + z2/n), (mid + half) / (1 + z2/n)
}
