package pack

const (
	// paceDivisor is the divisor of the share while a serving subtask is over its
	// bound: two reports are well within the time that it may be.
	paceDivisor = 4
	// minPacePercent is the share below which work stands still instead.
	minPacePercent = 10
	// paceRisePercent is what the share gains with each report while there is room.
	paceRisePercent = 15
	// paceRiseBelow is the part of its bound up to which a serving subtask leaves room.
	paceRiseBelow = 0.75
)

// Pace returns the share, in percent, at which subtasks that fill should work on
// a worker, given the share now and the worst tail of the serving subtasks there
// as a part of its bound.
//
// It answers serving and filling work on one worker, of which the second harms
// the first by amounts that change within seconds: the share falls at once and
// rises slowly.
func Pace(share int, worst float64) int {
	switch {
	case worst > 1:
		share /= paceDivisor
		if share < minPacePercent {
			return 0
		}
		return share
	case worst < paceRiseBelow:
		return min(100, share+paceRisePercent)
	default:
		return share
	}
}
