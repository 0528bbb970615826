package pack

import (
	"math"
	"time"

	"shallotpaddle/table"
)

const (
	// healthHalf is the time in which an outcome loses half of its weight: a
	// worker that was avoided is tried again after some of these.
	healthHalf = 4 * time.Second
	// sickRatio is the least factor between a worker's share of failures, by its
	// lower bound, and that of the rest of its pool, by the upper one.
	sickRatio = 2
	// sickCap is the largest share of a pool's workers that are avoided; with more
	// the cause is taken to be elsewhere.
	sickCap = 0.34
)

// Health is the recent record of a worker's runs.
type Health struct {
	good, bad float64
	at        time.Time
}

// Good takes in a run that ended done.
func (h *Health) Good(now time.Time) { h.decay(now); h.good++ }

// Bad takes in a run that failed or stood still.
func (h *Health) Bad(now time.Time) { h.decay(now); h.bad++ }

func (h *Health) decay(now time.Time) {
	if age := now.Sub(h.at); age > 0 && !h.at.IsZero() {
		f := math.Exp2(-age.Seconds() / healthHalf.Seconds())
		h.good *= f
		h.bad *= f
	}
	h.at = now
}

// Sick returns which workers should get no work, by their records.
//
// It answers workers that fail or hold up all that they start while their
// health probe is good: since they are empty soonest, they would draw in most
// of a pool's work. Jobs that can never be done fail everywhere, and make no
// worker stand out.
func Sick(records []*Health, now time.Time) []bool {
	var good, bad float64
	for _, h := range records {
		h.decay(now)
		good += h.good
		bad += h.bad
	}
	out := make([]bool, len(records))
	n := 0
	for i, h := range records {
		share, _ := table.ShareBounds(h.good, h.bad)
		_, rest := table.ShareBounds(good-h.good, bad-h.bad)
		if h.bad >= 1 && share >= sickRatio*rest {
			out[i] = true
			n++
		}
	}
	if n > max(1, int(sickCap*float64(len(records)))) {
		clear(out)
	}
	return out
}
