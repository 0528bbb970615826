package pack

import (
	"math"
	"time"

	"shallotpaddle/table"
)

const (
	// healthHalfLife is the time in which an outcome loses half of its weight: a
	// worker that was avoided is tried again after some of these.
	healthHalfLife = 4 * time.Second
	// unhealthyFactor is the least factor between a worker's share of failures, by its
	// lower bound, and that of the rest of its pool, by the upper one.
	unhealthyFactor = 2
	// maxUnhealthyShare is the largest share of a pool's workers that are avoided; with more
	// the cause is taken to be elsewhere.
	maxUnhealthyShare = 0.34
)

// Health is the recent record of a worker's runs.
type Health struct {
	successes, failures float64
	at                  time.Time
}

// AddSuccess takes in a run that ended done.
func (h *Health) AddSuccess(now time.Time) { h.decay(now); h.successes++ }

// AddFailure takes in a run that failed or stood still.
func (h *Health) AddFailure(now time.Time) { h.decay(now); h.failures++ }

func (h *Health) decay(now time.Time) {
	if age := now.Sub(h.at); age > 0 && !h.at.IsZero() {
		f := math.Exp2(-age.Seconds() / healthHalfLife.Seconds())
		h.successes *= f
		h.failures *= f
	}
	h.at = now
}

// Unhealthy returns which workers should get no work, by their records.
//
// It answers workers that fail or hold up all that they start while their
// health probe is good: since they are empty soonest, they would draw in most
// of a pool's work. Jobs that can never be done fail everywhere, and make no
// worker stand out.
func Unhealthy(records []*Health, now time.Time) []bool {
	var good, bad float64
	for _, h := range records {
		h.decay(now)
		good += h.successes
		bad += h.failures
	}
	out := make([]bool, len(records))
	n := 0
	for i, h := range records {
		share, _ := table.ShareBounds(h.successes, h.failures)
		_, rest := table.ShareBounds(good-h.successes, bad-h.failures)
		if h.failures >= 1 && share >= unhealthyFactor*rest {
			out[i] = true
			n++
		}
	}
	if n > max(1, int(maxUnhealthyShare*float64(len(records)))) {
		clear(out)
	}
	return out
}
