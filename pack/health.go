package pack

import (
	"math"
	"time"

	"shallotpaddle/table"
)

const (
	// healthHalfLife is the time in which a recorded run loses half of its weight:
	// after a few of these, a worker that was avoided gets work again.
	healthHalfLife = 4 * time.Second
	// unhealthyFactor is the least factor between a worker's failure rate, by its
	// lower confidence bound, and that of the rest of the pool, by its upper bound.
	unhealthyFactor = 2
	// maxUnhealthyShare is the largest share of a pool's workers that are avoided.
	// If more of them fail, the cause is assumed to be elsewhere.
	maxUnhealthyShare = 0.34
)

// Health counts a worker's recent successful and failed runs. Their weight decays
// with time.
type Health struct {
	successes, failures float64
	updatedAt           time.Time
}

// AddSuccess records a run that completed.
func (h *Health) AddSuccess(now time.Time) { h.decay(now); h.successes++ }

// AddFailure records a run that failed or made too little progress.
func (h *Health) AddFailure(now time.Time) { h.decay(now); h.failures++ }

func (h *Health) decay(now time.Time) {
	if age := now.Sub(h.updatedAt); age > 0 && !h.updatedAt.IsZero() {
		f := math.Exp2(-age.Seconds() / healthHalfLife.Seconds())
		h.successes *= f
		h.failures *= f
	}
	h.updatedAt = now
}

// Unhealthy tells for each worker of a pool, in the order of their records,
// whether it should get no work.
//
// A worker may fail or stall every run while its health probe succeeds. As it is
// soonest free again, it would attract most of the pool's work. A job that can't
// succeed fails on every worker and so makes none of them unhealthy.
func Unhealthy(records []*Health, now time.Time) []bool {
	var successes, failures float64
	for _, h := range records {
		h.decay(now)
		successes += h.successes
		failures += h.failures
	}
	out := make([]bool, len(records))
	n := 0
	for i, h := range records {
		rate, _ := table.WilsonBounds(h.successes, h.failures)
		_, others := table.WilsonBounds(successes-h.successes, failures-h.failures)
		if h.failures >= 1 && rate >= unhealthyFactor*others {
			out[i] = true
			n++
		}
	}
	if n > max(1, int(maxUnhealthyShare*float64(len(records)))) {
		clear(out)
	}
	return out
}
