package pack

import (
	"cmp"
	"math"
	"time"
)

// WaitingJob is a job with subtasks that wait.
type WaitingJob struct {
	// Index is the caller's own.
	Index int
	// Rank 0 comes first.
	Rank int
	// LongRunning jobs serve users of their own until they are cancelled.
	LongRunning bool
	// Started tells that some of its work is done or under way.
	Started  bool
	Accepted time.Time
	// Deadline is the time from acceptance within which the job is on time.
	Deadline time.Duration
	// Remaining is the expected time of its longest remaining chain.
	Remaining time.Duration
}

// worthlessFactor is the multiple of its aim after which a job is worth nothing to
// its caller.
const worthlessFactor = 3

// Tier tells how much there is to lose if a job is not served now; a lower one
// comes first.
//
// It answers a turn that asks more than the pool holds: work that can still be
// on time goes before work that is late already, and what has begun before what
// has not, since half a job is worth nothing.
func Tier(w *WaitingJob, now time.Time) int {
	age := now.Sub(w.Accepted)
	switch {
	case w.LongRunning:
		return 0
	case age+w.Remaining <= w.Deadline && w.Started:
		return 1
	case age+w.Remaining <= w.Deadline:
		return 2
	case age+w.Remaining <= worthlessFactor*w.Deadline:
		return 3
	default:
		return 4
	}
}

// Late tells whether a job can no longer be on time.
func Late(w *WaitingJob, now time.Time) bool { return Tier(w, now) > 2 }

// Compare orders jobs that wait: by rank, by tier, and within a tier by
// acceptance.
func Compare(a, b *WaitingJob, now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(Tier(a, now), Tier(b, now)),
		a.Accepted.Compare(b.Accepted),
	)
}

// Forecast learns how run times follow from declared ones, of which many are
// off by their own size: it fits a line through their logarithms, so that
// declarations count as far as they have been right.
type Forecast struct {
	n, x, y, xx, xy float64
}

// minForecastRuns is the number of runs after which a forecast is used.
const minForecastRuns = 8

// Observe takes in a run.
func (f *Forecast) Observe(declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	x, y := math.Log(declared.Seconds()), math.Log(actual.Seconds())
	f.n++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
}

// Predict returns the expected run time.
func (f *Forecast) Predict(declared time.Duration) time.Duration {
	if f.n < minForecastRuns || declared <= 0 {
		return declared
	}
	mx, my := f.x/f.n, f.y/f.n
	slope := 0.0
	if v := f.xx/f.n - mx*mx; v > 1e-6 {
		slope = max(0, min(1, (f.xy/f.n-mx*my)/v))
	}
	return time.Duration(math.Exp(my+slope*(math.Log(declared.Seconds())-mx)) * float64(time.Second))
}
