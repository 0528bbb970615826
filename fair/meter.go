package fair

import (
	"math"
	"time"
)

// Meter measures the work that is done in a second, over a window.
type Meter struct {
	window time.Duration
	sum    float64
	at     time.Time
}

// NewMeter returns a meter that has seen no work.
func NewMeter(window time.Duration) *Meter {
	if window <= 0 {
		window = defaultWindow
	}
	return &Meter{window: window}
}

// Add adds work that was done.
func (m *Meter) Add(work float64, now time.Time) {
	m.sum, m.at = m.decayed(now)+work, now
}

// PerSecond returns the rate of work. It begins at 0 and follows a change over the window.
func (m *Meter) PerSecond(now time.Time) float64 { return m.decayed(now) / m.window.Seconds() }

func (m *Meter) decayed(now time.Time) float64 {
	if since := now.Sub(m.at); since > 0 && m.sum > 0 {
		return m.sum * math.Exp(-since.Seconds()/m.window.Seconds())
	}
	return m.sum
}
