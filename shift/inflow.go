package shift

import "time"

// inflowWindow is the time over which arriving work is averaged: long enough
// for a handful of jobs at a queue's peak, short against the time that a host
// needs to change its pool.
const inflowWindow = 700 * time.Millisecond

// Inflow measures the work that arrives at a pool.
//
// It answers the start of a turn: what arrives says how much will be asked
// before what waits does, by about the time that a host needs to change its
// pool.
type Inflow struct {
	// arrivals are those of the last inflowWindow, oldest first.
	arrivals []arrival
	sum      float64 // their work
}

type arrival struct {
	at   time.Time
	work float64
}

// Add takes in work, in thousandths of a core times seconds.
func (f *Inflow) Add(now time.Time, work float64) {
	f.expire(now)
	f.arrivals = append(f.arrivals, arrival{now, work})
	f.sum += work
}

// CPU returns the processor, in thousandths of a core, that arriving work asks
// for if it goes on like this.
func (f *Inflow) CPU(now time.Time) int {
	f.expire(now)
	if len(f.arrivals) == 0 {
		return 0
	}
	return int(f.sum / inflowWindow.Seconds())
}

func (f *Inflow) expire(now time.Time) {
	for len(f.arrivals) > 0 && now.Sub(f.arrivals[0].at) > inflowWindow {
		f.sum -= f.arrivals[0].work
		f.arrivals = f.arrivals[1:]
	}
}
