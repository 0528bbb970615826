package pack

const (
	// paceDivisor divides the pace when a serving subtask's tail latency exceeds its
	// bound, so that two reports bring it back well within the time allowed.
	paceDivisor = 4
	// minPacePercent is the pace below which filling subtasks are paused instead.
	minPacePercent = 10
	// paceRisePercent is added to the pace with each report while the tail
	// latencies leave room.
	paceRisePercent = 15
	// paceRiseBelow is the share of its bound below which a tail latency leaves
	// room for a higher pace.
	paceRiseBelow = 0.75
)

// Pace returns the pace, in percent of full speed, for the filling subtasks on a
// worker, from their present pace and from the worst tail latency of the serving
// subtasks there, as a share of its bound. A pace of 0 pauses them.
//
// Filling subtasks slow serving ones down by amounts that change within seconds,
// so the pace falls at once and rises slowly.
func Pace(percent int, worstTail float64) int {
	switch {
	case worstTail > 1:
		percent /= paceDivisor
		if percent < minPacePercent {
			return 0
		}
		return percent
	case worstTail < paceRiseBelow:
		return min(100, percent+paceRisePercent)
	default:
		return percent
	}
}
