package sched

import (
	"errors"
	"fmt"
	"time"

	// Entry hosts keep nothing, a time zone database neither.
	_ "time/tzdata"
)

// ErrWindow is returned for a window that does not parse.
var ErrWindow = errors.New("malformed hours")

// Window is a daily span of time in one time zone. A span whose end is not
// after its start passes midnight. Queues with the same hours should share one
// Window; it is not safe for concurrent use.
type Window struct {
	from, to time.Duration // since midnight on the wall clock
	loc      *time.Location
	// open is the answer for every time in [since, until).
	open         bool
	since, until time.Time
}

// ParseWindow reads hours such as "08:00-18:00" in the time zone tz; an empty
// tz is UTC. Empty hours give nil, which stands for always.
func ParseWindow(hours, tz string) (*Window, error) {
	if hours == "" {
		return nil, nil
	}
	loc, err := time.LoadLocation(tz)
	if err != nil || loc == time.Local {
		return nil, fmt.Errorf("time zone %q: %w", tz, ErrWindow)
	}
	if len(hours) != len("08:00-18:00") || hours[5] != '-' {
		return nil, fmt.Errorf("hours %q: %w", hours, ErrWindow)
	}
	from, err1 := time.Parse("15:04", hours[:5])
	to, err2 := time.Parse("15:04", hours[6:])
	if err := errors.Join(err1, err2); err != nil {
		return nil, fmt.Errorf("hours %q: %w", hours, ErrWindow)
	}
	return &Window{from: sinceMidnight(from), to: sinceMidnight(to), loc: loc}, nil
}

func sinceMidnight(t time.Time) time.Duration {
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
}

// Open tells whether work may start at now. A nil window is always open.
func (w *Window) Open(now time.Time) bool {
	if w == nil {
		return true
	}
	if now.Before(w.since) || !now.Before(w.until) {
		w.setSpan(now)
	}
	return w.open
}

// NextOpen returns the first time from now on at which work may start.
func (w *Window) NextOpen(now time.Time) time.Time {
	if w.Open(now) {
		return now
	}
	return w.until
}

// maxEdges bounds the openings and closings that OpenTime looks at.
const maxEdges = 32

// OpenTime returns how long the window is open between two times. Past some
// two weeks it returns what it has found.
func (w *Window) OpenTime(from, to time.Time) time.Duration {
	if w == nil {
		return max(to.Sub(from), 0)
	}
	v, sum := *w, time.Duration(0)
	for range maxEdges {
		if !from.Before(to) {
			break
		}
		open := v.Open(from)
		end := v.until
		if end.After(to) {
			end = to
		}
		if open {
			sum += end.Sub(from)
		}
		from = end
	}
	return sum
}

// setSpan sets the span around now in which the answer does not change.
func (w *Window) setSpan(now time.Time) {
	t := now.In(w.loc)
	y, m, d := t.Date()
	w.since, w.until = time.Time{}, time.Time{}
	for day := -1; day <= 2; day++ {
		w.narrowSpan(now, w.wallTime(y, m, d+day, w.from), true)
		w.narrowSpan(now, w.wallTime(y, m, d+day, w.to), false)
	}
}

// narrowSpan narrows the span to the edge at t, where the window opens or closes.
func (w *Window) narrowSpan(now, t time.Time, opens bool) {
	if t.After(now) {
		if w.until.IsZero() || t.Before(w.until) {
			w.until = t
		}
		return
	}
	if w.since.IsZero() || !t.Before(w.since) {
		w.since, w.open = t, opens
	}
}

// wallTime builds the time from wall-clock parts, so that a day on which the clock
// is put forward or back keeps its hours.
func (w *Window) wallTime(y int, m time.Month, d int, of time.Duration) time.Time {
	return time.Date(y, m, d, int(of/time.Hour), int(of%time.Hour/time.Minute), 0, 0, w.loc)
}
