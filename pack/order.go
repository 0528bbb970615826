package pack

import (
	"cmp"
	"math"
	"time"
)

// WaitingJob is a job with waiting subtasks.
type WaitingJob struct {
	// Index is set by the caller and not used here.
	Index int
	// Rank is the priority of the job's queue; 0 comes first.
	Rank int
	// LongRunning jobs run until they are cancelled, as their subtasks serve users.
	LongRunning bool
	// Started tells that a subtask of the job runs or has run.
	Started  bool
	Accepted time.Time
	// Deadline is the time from acceptance within which the job is on time.
	Deadline time.Duration
	// Remaining is the expected time of the longest chain of unfinished steps.
	Remaining time.Duration
	// Excess tells that the job is beyond the entitlement of its workspace.
	Excess bool
	// StarvesSince is since when smaller subtasks were started instead of the job's, if that is for
	// longer than WaitBound; else zero.
	StarvesSince time.Time
	// Share is what the job's workspace has had of the pool relative to its weight; 0 for
	// all jobs if there are no workspaces.
	Share float64
}

// WorthlessFactor is the multiple of its deadline after which a job's result is
// worth nothing to its caller.
const WorthlessFactor = 3

// Tier returns how urgent a job is, from 0 to 4; the lowest tier is served first.
// Long-running jobs are in tier 0.
//
// When demand exceeds the pool's capacity, jobs that can still be on time go
// before jobs that are already late, and started jobs before others, since a job
// that is half done is worth nothing.
func Tier(j *WaitingJob, now time.Time) int {
	age := now.Sub(j.Accepted)
	switch {
	case j.LongRunning:
		return 0
	case age+j.Remaining <= j.Deadline && j.Started:
		return 1
	case age+j.Remaining <= j.Deadline:
		return 2
	case age+j.Remaining <= WorthlessFactor*j.Deadline:
		return 3
	default:
		return tierWorthless
	}
}

// Class returns whether a job can be on time (0), is late (1) or worth nothing any more (2).
func Class(j *WaitingJob, now time.Time) int { return max(Tier(j, now)-2, 0) }

// Late tells whether a job can no longer be on time.
func Late(j *WaitingJob, now time.Time) bool { return Tier(j, now) > 2 }

// Worthless tells whether a job can no longer be worth anything to its caller.
func Worthless(j *WaitingJob, now time.Time) bool { return Tier(j, now) == tierWorthless }

// tierWorthless is the tier of jobs that are worth nothing any more.
const tierWorthless = 4

// Compare orders waiting jobs by rank, then those that starve before others, the longest first, then
// those that are worth something before others, then those within the entitlement of their workspace, then by tier, by the share of their
// workspace, and by time of acceptance.
func Compare(a, b *WaitingJob, now time.Time) int {
	x, y := Tier(a, now), Tier(b, now)
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		compareStarving(a, b),
		compareBool(x == tierWorthless, y == tierWorthless),
		compareBool(a.Excess, b.Excess),
		cmp.Compare(x, y),
		cmp.Compare(a.Share, b.Share),
		a.Accepted.Compare(b.Accepted),
	)
}

func compareStarving(a, b *WaitingJob) int {
	if a.StarvesSince.IsZero() || b.StarvesSince.IsZero() {
		return compareBool(a.StarvesSince.IsZero(), b.StarvesSince.IsZero())
	}
	return a.StarvesSince.Compare(b.StarvesSince)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Forecast predicts run times from declared ones by linear regression on their
// logarithms. Many declared times are off by as much as their own size; the
// regression gives them weight only as far as they have been right.
//
// The zero value has seen no runs.
type Forecast struct {
	n, x, y, xx, xy float64 // number of runs and sums over them; x is declared, y is actual
}

// minForecastRuns is the number of observed runs from which the regression is used.
const minForecastRuns = 8

// Observe adds a run with its declared and its actual run time. It ignores times
// that are not positive.
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

// Reliable reports whether enough runs have been observed for predictions.
func (f *Forecast) Reliable() bool { return f.n >= minForecastRuns }

// Predict returns the expected run time: the declared one until enough runs have
// been observed.
func (f *Forecast) Predict(declared time.Duration) time.Duration {
	if !f.Reliable() || declared <= 0 {
		return declared
	}
	meanX, meanY := f.x/f.n, f.y/f.n
	slope := 0.0
	if variance := f.xx/f.n - meanX*meanX; variance > 1e-6 {
		slope = max(0, min(1, (f.xy/f.n-meanX*meanY)/variance))
	}
	return time.Duration(math.Exp(meanY+slope*(math.Log(declared.Seconds())-meanX)) * float64(time.Second))
}
