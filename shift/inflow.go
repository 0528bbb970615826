package shift

import "time"

const (
	// inflowWindow is the time over which arriving work is averaged: long enough for
	// a handful of jobs at a queue's peak, but short against the time that a host
	// needs to change its pool.
	inflowWindow = 700 * time.Millisecond
	// forecastHorizon is how far ahead a rise is extrapolated: about the time from an
	// owner's digest until a host has changed its pool.
	forecastHorizon = 1500 * time.Millisecond
	// maxRiseFactor limits a forecast to this multiple of the present inflow, as a
	// single large job is not the start of a peak.
	maxRiseFactor = 1.5
)

// Inflow measures the rate of work that arrives at a pool.
//
// At the start of a peak, the inflow and its rise tell the coming demand earlier
// than the waiting work does, by about the time that a host needs to change its
// pool.
type Inflow struct {
	// arrivals has the arrivals of the last two windows, oldest first.
	arrivals []arrival
}

type arrival struct {
	at   time.Time
	work float64 // thousandths of a core × seconds
}

// Add records arriving work, in thousandths of a core × seconds.
func (f *Inflow) Add(now time.Time, work float64) {
	f.expire(now)
	f.arrivals = append(f.arrivals, arrival{now, work})
}

// CPU returns the CPU that the work of the last window asks for, in thousandths of
// a core.
func (f *Inflow) CPU(now time.Time) int {
	_, recent := f.windows(now)
	return int(recent)
}

// ForecastCPU returns the CPU, in thousandths of a core, that arriving work will
// ask for after the forecast horizon if the inflow goes on rising as it does now. If
// the inflow falls or is steady, it returns the same as CPU.
func (f *Inflow) ForecastCPU(now time.Time) int {
	before, recent := f.windows(now)
	rise := max(recent-before, 0) * forecastHorizon.Seconds() / inflowWindow.Seconds()
	return int(min(recent+rise, maxRiseFactor*recent))
}

// windows returns the CPU that the work of the last window but one, and of the last
// window, asks for.
func (f *Inflow) windows(now time.Time) (before, recent float64) {
	f.expire(now)
	for _, a := range f.arrivals {
		if now.Sub(a.at) > inflowWindow {
			before += a.work
		} else {
			recent += a.work
		}
	}
	return before / inflowWindow.Seconds(), recent / inflowWindow.Seconds()
}

// expire removes arrivals that are older than two windows.
func (f *Inflow) expire(now time.Time) {
	for len(f.arrivals) > 0 && now.Sub(f.arrivals[0].at) > 2*inflowWindow {
		f.arrivals = f.arrivals[1:]
	}
}
