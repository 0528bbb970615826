// Package stall notices when the process was held up: stopped by a signal, or without
// processor time. What others sent meanwhile was not read, and time-outs that passed say
// nothing about them.
package stall

import (
	"sync"
	"time"

	"github.com/coder/quartz"
)

// Limit is the time between two beats from which on the process counts as held up: a
// quarter of the time that a call to a worker may take (endpt).
const Limit = 500 * time.Millisecond

// Detector measures for how long the process was held up. It is safe for concurrent use.
type Detector struct {
	clock quartz.Clock

	mu       sync.Mutex
	lastBeat time.Time     // zero before the first beat
	heldUp   time.Duration // sum of the gaps between beats that reached Limit
}

// New returns a detector. Until the first Beat the process does not count as held up.
func New(clock quartz.Clock) *Detector { return &Detector{clock: clock} }

// Beat tells that the process runs. It must be called at intervals well below Limit.
func (d *Detector) Beat() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heldUp += d.gap()
	d.lastBeat = d.clock.Now()
}

// End ends the measurement, until the next Beat.
func (d *Detector) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastBeat = time.Time{}
}

// HeldUp returns for how long the process was held up in all. What began at one value and
// failed at a higher one may have failed by that. After a hold-up the value is higher at
// once, also before the next beat.
func (d *Detector) HeldUp() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heldUp + d.gap()
}

// gap returns the time since the last beat if the process counts as held up, otherwise 0.
// d.mu is held.
func (d *Detector) gap() time.Duration {
	if d.lastBeat.IsZero() {
		return 0
	}
	if gap := d.clock.Since(d.lastBeat); gap >= Limit {
		return gap
	}
	return 0
}
