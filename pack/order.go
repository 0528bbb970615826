package pack

import (
	"cmp"
	"math"
	"time"
)

// Waiting is a job with subtasks that wait.
type Waiting struct {
	// Index is the caller's own.
	Index int
	// Rank 0 comes first.
	Rank int
	// Lasting jobs serve users of their own until they are cancelled.
	Lasting bool
	// Begun tells that some of its work is done or under way.
	Begun    bool
	Accepted time.Time
	// Aim is the time from acceptance within which the job is on time.
	Aim time.Duration
	// Left is the expected time of its longest remaining chain.
	Left time.Duration
}

// lateFactor is the multiple of its aim after which a job is worth nothing to
// its caller.
const lateFactor = 3

// Tier tells how much there is to lose if a job is not served now; a lower one
// comes first.
//
// It answers a turn that asks more than the pool holds: work that can still be
// on time goes before work that is late already, and what has begun before what
// has not, since half a job is worth nothing.
func Tier(w *Waiting, now time.Time) int {
	age := now.Sub(w.Accepted)
	switch {
	case w.Lasting:
		return 0
	case age+w.Left <= w.Aim && w.Begun:
		return 1
	case age+w.Left <= w.Aim:
		return 2
	case age+w.Left <= lateFactor*w.Aim:
		return 3
	default:
		return 4
	}
}

// Late tells whether a job can no longer be on time.
func Late(w *Waiting, now time.Time) bool { return Tier(w, now) > 2 }

// Compare orders jobs that wait: by rank, by tier, and within a tier by
// acceptance.
func Compare(a, b *Waiting, now time.Time) int {
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

// minRuns is the number of runs after which a forecast is used.
const minRuns = 8

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
	if f.n < minRuns || declared <= 0 {
		return declared
	}
	mx, my := f.x/f.n, f.y/f.n
	slope := 0.0
	if v := f.xx/f.n - mx*mx; v > 1e-6 {
		slope = max(0, min(1, (f.xy/f.n-mx*my)/v))
	}
	return time.Duration(math.Exp(my+slope*(math.Log(declared.Seconds())-mx)) * float64(time.Second))
}
