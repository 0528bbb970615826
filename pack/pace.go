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
	// startTail is the share of its bound at which a tail latency is expected after the start
	// of a filling subtask that is known to disturb it.
	startTail = 0.9
	// negligibleHarm is the harm up to which filling subtasks start at full speed in any case:
	// while the tail latency is near its bound, a pace stays as low as it began.
	negligibleHarm = 0.05
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

// StartPace returns the pace, in percent, at which filling subtasks start beside a serving one.
// Tail is that one's tail latency without them and harm the rise that they cause together at full
// speed, both as shares of its bound.
//
// The first report after a start comes up to a second later. Until then, a filling subtask that
// is known to disturb would hold the tail latency above its bound.
func StartPace(tail, harm float64) int {
	if harm <= negligibleHarm || tail+harm <= startTail {
		return 100
	}
	switch percent := int(100 * (startTail - tail) / harm); {
	case percent >= minPacePercent:
		return min(percent, 100)
	case tail+harm*minPacePercent/100 < 1:
		return minPacePercent // else it would never start while the tail is just under its bound
	default:
		return 0
	}
}
