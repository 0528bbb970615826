package shift

import (
	"math"
	"slices"
	"time"
)

const (
	// minInflowWindow is the shortest time over which the rate of arriving jobs is
	// averaged: short against the time that a host needs to change its pool.
	minInflowWindow = 700 * time.Millisecond
	// maxInflowWindow is the longest, for queues of few jobs.
	maxInflowWindow = 3 * minInflowWindow
	// enoughArrivals is the number of arrivals from which a rate is known well enough:
	// to about 30 %, as arrivals are random.
	enoughArrivals = 12
	// sizeMemory is the number of recent jobs over which their work is averaged. Sizes
	// vary much more than their mean does.
	sizeMemory = 32
	// changeSignificance is the number of standard deviations of random arrivals by
	// which a shorter window must differ from the longest to be used.
	changeSignificance = 3
	// maxRiseFactor limits a forecast to this multiple of the present inflow.
	maxRiseFactor = 2
)

// Inflow measures the rate of work that arrives in a queue.
//
// At the start of a peak, the inflow and its rise tell the coming demand earlier
// than the waiting work does, by about the time that a host needs to change its
// pool. Jobs of some queues are few and differ in size by a factor of ten: the rate
// is counted in jobs, and multiplied by their mean work, so that one large job is
// not taken for the start of a peak.
type Inflow struct {
	// arrivals has the times of the arrivals of twice maxInflowWindow, oldest first.
	arrivals []time.Time
	// meanWork is the mean work of recent jobs, and jobs the number of jobs that count
	// in it, at most sizeMemory.
	meanWork float64
	jobs     float64
}

// Add records a job that arrived at a time, maybe some time ago: after an outage many
// jobs become known at once, in any order. Work is the work in it that counts, in
// thousandths of a core × seconds.
func (f *Inflow) Add(at time.Time, work float64) {
	i, _ := slices.BinarySearchFunc(f.arrivals, at, time.Time.Compare)
	f.arrivals = slices.Insert(f.arrivals, i, at)
	f.jobs = min(f.jobs+1, sizeMemory)
	f.meanWork += (work - f.meanWork) / f.jobs
}

// PerSecond returns the number of jobs that arrive in a second.
func (f *Inflow) PerSecond(now time.Time) float64 {
	_, recent, window := f.counts(now)
	return recent / window.Seconds()
}

// CPU returns the CPU that the arriving work asks for, in thousandths of a core.
func (f *Inflow) CPU(now time.Time) int {
	_, recent, window := f.counts(now)
	return int(recent / window.Seconds() * f.meanWork)
}

// ForecastCPU returns the CPU, in thousandths of a core, that arriving work will
// ask for after the horizon if the inflow goes on rising as it does now, by what
// exceeds the standard deviation of random arrivals. If it falls, it returns the same
// as CPU.
func (f *Inflow) ForecastCPU(now time.Time, horizon time.Duration) int {
	before, recent, window := f.counts(now)
	expected := recent
	if rise := recent - before - math.Sqrt(recent+before); rise > 0 {
		expected += min(rise*horizon.Seconds()/window.Seconds(), (maxRiseFactor-1)*recent)
	}
	return int(expected / window.Seconds() * f.meanWork)
}

// counts returns the numbers of arrivals in the last window and in the one before
// it, and the length of these windows: one in which enoughArrivals are expected, or
// a shorter one if the rate has changed within it.
func (f *Inflow) counts(now time.Time) (before, recent float64, window time.Duration) {
	f.expire(now)
	longest, _ := f.count(now, maxInflowWindow)
	window = time.Duration(enoughArrivals * float64(maxInflowWindow) / max(longest, 1))
	window = max(min(window, maxInflowWindow), minInflowWindow)
	recent, before = f.count(now, window)
	for _, w := range [...]time.Duration{2 * minInflowWindow, minInflowWindow} {
		expected := longest * w.Seconds() / maxInflowWindow.Seconds()
		n, earlier := f.count(now, w)
		if w < window && math.Abs(n-expected) > changeSignificance*math.Sqrt(expected) {
			window, recent, before = w, n, earlier
		}
	}
	return before, recent, window
}

// count returns the numbers of arrivals in the last window and in the one before it.
func (f *Inflow) count(now time.Time, window time.Duration) (recent, before float64) {
	for _, at := range f.arrivals {
		switch age := now.Sub(at); {
		case age <= window:
			recent++
		case age <= 2*window:
			before++
		}
	}
	return recent, before
}

// expire removes arrivals that are too old to count.
func (f *Inflow) expire(now time.Time) {
	for len(f.arrivals) > 0 && now.Sub(f.arrivals[0]) > 2*maxInflowWindow {
		f.arrivals = f.arrivals[1:]
	}
}
