package shift

import "time"

const (
	// inflowWindow is the time over which arriving work is averaged: long enough
	// for a handful of jobs at a queue's peak, short against the time that a host
	// needs to change its pool.
	inflowWindow = 700 * time.Millisecond
	// forecastHorizon is how far a rise is carried on: about the time from a digest until a
	// host has changed its pool.
	forecastHorizon = 1500 * time.Millisecond
	// maxRiseFactor is the most by which a rise multiplies what arrives now: a single
	// large job is no turn.
	maxRiseFactor = 1.5
)

// Inflow measures the work that arrives at a pool.
//
// It answers the start of a turn: what arrives, and how fast that rises, says how
// much will be asked before what waits does, by about the time that a host needs
// to change its pool.
type Inflow struct {
	// arrivals are those of the last two windows, oldest first.
	arrivals []arrival
}

type arrival struct {
	at   time.Time
	work float64
}

// Add takes in work, in thousandths of a core times seconds.
func (f *Inflow) Add(now time.Time, work float64) {
	f.expire(now)
	f.arrivals = append(f.arrivals, arrival{now, work})
}

// CPU returns the processor, in thousandths of a core, that arriving work asks
// for if it goes on like this.
func (f *Inflow) CPU(now time.Time) int {
	_, recent := f.windows(now)
	return int(recent)
}

// ForecastCPU returns the processor that arriving work will ask for if it goes on
// rising as it does; a fall changes nothing.
func (f *Inflow) ForecastCPU(now time.Time) int {
	before, recent := f.windows(now)
	rise := max(recent-before, 0) * forecastHorizon.Seconds() / inflowWindow.Seconds()
	return int(min(recent+rise, maxRiseFactor*recent))
}

// windows returns the processor that the work of the window before the last one,
// and of the last one, asks for.
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

func (f *Inflow) expire(now time.Time) {
	for len(f.arrivals) > 0 && now.Sub(f.arrivals[0].at) > 2*inflowWindow {
		f.arrivals = f.arrivals[1:]
	}
}
