package sched

import (
	"math"
	"time"
)

const (
	// runBuckets is the number of classes of run times; each doubling of the
	// run time from runFloor on has two.
	runBuckets     = 48
	runBucketFloor = time.Millisecond
	// priorWeight is the number of runs that the declaration counts for.
	priorWeight = 3
	// halvingWeight is the number of runs after which older ones lose half their weight.
	halvingWeight = 256
	// highQuantile is the share of runs that the high run time covers, highEvery the
	// number of runs after which it is found again.
	highQuantile = 0.95
	runsPerHigh  = 16
	// maxKinds bounds the kinds of work with run times of their own; any more
	// share one record.
	maxKinds = 1024
)

// RunTimes learns run times per queue and kind of work.
type RunTimes struct {
	kinds map[kindKey]*runStats
}

type kindKey struct{ queue, kind string }

// runStats is what is known of one kind of work.
type runStats struct {
	counts        [runBuckets]float32 // weight of runs by class, the prior included
	weight        float32             // sum of counts, above 0
	sum           float64             // weighted run time, in seconds
	mean          float64             // sum divided by weight, in seconds
	high          time.Duration       // quantile(highShare) as last found
	runsSinceHigh int                 // runs since high was found
}

// NewRunTimes returns a record without runs.
func NewRunTimes() *RunTimes { return &RunTimes{kinds: map[kindKey]*runStats{}} }

// Len returns the number of kinds with run times of their own.
func (r *RunTimes) Len() int { return len(r.kinds) }

// Record adds a run of a kind that has been declared with Mean.
func (r *RunTimes) Record(queue, kind string, ran time.Duration) {
	r.statsOf(queue, kind, ran).record(ran)
}

// Mean returns the mean run time; declared is the prior.
func (r *RunTimes) Mean(queue, kind string, declared time.Duration) time.Duration {
	return time.Duration(r.statsOf(queue, kind, declared).mean * float64(time.Second))
}

// Quantile returns the run time that a share p of the runs does not exceed,
// rounded up to its class.
func (r *RunTimes) Quantile(queue, kind string, declared time.Duration, p float64) time.Duration {
	return r.statsOf(queue, kind, declared).quantile(p)
}

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

// runBucket returns the class of a run time.
func runBucket(d time.Duration) int {
	if d <= runBucketFloor {
		return 0
	}
	b := math.Ceil(2 * math.Log2(float64(d)/float64(runBucketFloor)))
	return min(int(b), runBuckets-1)
}

// runBucketMax returns the longest run time of a class.
func runBucketMax(bucket int) time.Duration {
	return time.Duration(float64(runBucketFloor) * math.Exp2(float64(bucket)/2))
}
