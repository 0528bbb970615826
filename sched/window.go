package sched

import (
	"errors"
	"fmt"
	"time"

	// Compiles in the time zone database: entry hosts have none, since they store
	// nothing.
	_ "time/tzdata"
)

// ErrWindow is returned for hours or a time zone that can't be parsed.
var ErrWindow = errors.New("malformed hours")

// Window is a daily time range in one time zone, in which work may start. A range
// whose end is not after its start extends past midnight. Queues with the same
// hours should share one Window, since items are grouped by its pointer. It is not
// safe for concurrent use.
type Window struct {
	from, to time.Duration // since midnight on the wall clock
	loc      *time.Location
	// open caches the result of Open, which is valid for [since, until).
	open         bool
	since, until time.Time
}

// ParseWindow parses hours such as "08:00-18:00" in the time zone tz; an empty tz
// means UTC. For empty hours it returns nil, a window that is always open. Errors
// wrap ErrWindow.
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

// Open reports whether work may start at now. A nil window is always open.
func (w *Window) Open(now time.Time) bool {
	if w == nil {
		return true
	}
	if now.Before(w.since) || !now.Before(w.until) {
		w.setSpan(now)
	}
	return w.open
}

// NextOpen returns the first time, not before now, at which work may start.
func (w *Window) NextOpen(now time.Time) time.Time {
	if w.Open(now) {
		return now
	}
	return w.until
}

// maxEdges is the maximum number of openings and closings that OpenTime considers.
const maxEdges = 32

// OpenTime returns how long the window is open between two times. It stops after
// maxEdges openings and closings, about two weeks, and ignores the time after them.
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

// setSpan sets since, until and open to the time range around now in which the
// window stays open or closed.
func (w *Window) setSpan(now time.Time) {
	t := now.In(w.loc)
	y, m, d := t.Date()
	w.since, w.until = time.Time{}, time.Time{}
	for day := -1; day <= 2; day++ {
		w.narrowSpan(now, w.wallTime(y, m, d+day, w.from), true)
		w.narrowSpan(now, w.wallTime(y, m, d+day, w.to), false)
	}
}

// narrowSpan narrows [since, until) to the opening or closing at t.
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

// wallTime returns the time at the duration of after midnight by the wall clock, so
// that the hours also hold on days on which daylight saving time starts or ends.
func (w *Window) wallTime(y int, m time.Month, d int, of time.Duration) time.Time {
	return time.Date(y, m, d, int(of/time.Hour), int(of%time.Hour/time.Minute), 0, 0, w.loc)
}
