package sched

import (
	"math"
	"time"
)

const (
	// runBuckets is the number of buckets of the histogram of run times. Bucket 0
	// ends at runBucketFloor; each doubling of the run time above it has two.
	runBuckets     = 48
	runBucketFloor = time.Millisecond
	// priorWeight is the number of measured runs as which the declared run time
	// counts.
	priorWeight = 3
	// halvingWeight is the total weight above which the weight of all runs is
	// halved, so that newer runs count more.
	halvingWeight = 256
	// highQuantile is the share of runs that are no longer than the high run time,
	// which is recomputed every runsPerHigh runs.
	highQuantile = 0.95
	runsPerHigh  = 16
	// maxKinds is the maximum number of kinds of work with statistics of their
	// own; all further kinds share one record.
	maxKinds = 1024
)

// RunTimes holds statistics of run times by queue and kind of work.
type RunTimes struct {
	kinds map[kindKey]*runStats
}

type kindKey struct{ queue, kind string }

// runStats is a histogram of the run times of one kind of work.
type runStats struct {
	counts        [runBuckets]float32 // weight of runs by bucket, including the declared run time
	weight        float32             // sum of counts, above 0
	sum           float64             // weighted sum of run times, in seconds
	mean          float64             // sum divided by weight, in seconds
	high          time.Duration       // quantile(highQuantile) as last computed
	runsSinceHigh int                 // runs since high was computed
}

// NewRunTimes returns a RunTimes without runs.
func NewRunTimes() *RunTimes { return &RunTimes{kinds: map[kindKey]*runStats{}} }

// Len returns the number of records of statistics.
func (r *RunTimes) Len() int { return len(r.kinds) }

// Record adds a measured run time. For a kind without a declared run time from an
// earlier call of Mean or Quantile, ran also counts as the declared run time.
func (r *RunTimes) Record(queue, kind string, ran time.Duration) {
	r.statsOf(queue, kind, ran).record(ran)
}

// Mean returns the mean run time of a kind. declared is its declared run time, the
// first estimate until runs are recorded.
func (r *RunTimes) Mean(queue, kind string, declared time.Duration) time.Duration {
	return time.Duration(r.statsOf(queue, kind, declared).mean * float64(time.Second))
}

// Quantile returns the run time that the share p, 0 to 1, of a kind's runs does not
// exceed, rounded up to the end of its bucket. declared is as for Mean.
func (r *RunTimes) Quantile(queue, kind string, declared time.Duration, p float64) time.Duration {
	return r.statsOf(queue, kind, declared).quantile(p)
}

// statsOf returns the statistics of a kind. It creates them with the declared run
// time if necessary.
func (r *RunTimes) statsOf(queue, kind string, declared time.Duration) *runStats {
	k := kindKey{queue, kind}
	if t := r.kinds[k]; t != nil {
		return t
	}
	if len(r.kinds) >= maxKinds {
		k = kindKey{}
		if t := r.kinds[k]; t != nil {
			return t
		}
	}
	t := &runStats{}
	t.add(declared, priorWeight)
	t.high = t.quantile(highQuantile)
	r.kinds[k] = t
	return t
}

func (t *runStats) record(ran time.Duration) {
	t.add(ran, 1)
	if t.weight > halvingWeight {
		t.halveWeights()
	}
	if t.runsSinceHigh++; t.runsSinceHigh >= runsPerHigh {
		t.runsSinceHigh, t.high = 0, t.quantile(highQuantile)
	}
}

func (t *runStats) add(ran time.Duration, weight float32) {
	t.counts[runBucket(ran)] += weight
	t.weight += weight
	t.sum += ran.Seconds() * float64(weight)
	t.mean = t.sum / float64(t.weight)
}

func (t *runStats) halveWeights() {
	t.weight = 0
	for i := range t.counts {
		t.counts[i] /= 2
		t.weight += t.counts[i]
	}
	t.sum = t.mean * float64(t.weight)
}

func (t *runStats) quantile(p float64) time.Duration {
	left := float32(p) * t.weight
	for i, c := range t.counts {
		left -= c
		if left <= 0 {
			return runBucketMax(i)
		}
	}
	return runBucketMax(runBuckets - 1)
}

// runBucket returns the bucket of a run time.
func runBucket(d time.Duration) int {
	if d <= runBucketFloor {
		return 0
	}
	b := math.Ceil(2 * math.Log2(float64(d)/float64(runBucketFloor)))
	return min(int(b), runBuckets-1)
}

// runBucketMax returns the longest run time of a bucket.
func runBucketMax(bucket int) time.Duration {
	return time.Duration(float64(runBucketFloor) * math.Exp2(float64(bucket)/2))
}
