package note

import (
	"errors"
	"fmt"
	"time"
	_ "time/tzdata" // time zones also on hosts that have no zone database
)

var errHours = errors.New("want HH:MM-HH:MM, two different times of day")

// Hours is a daily span of wall-clock time in a time zone. The zero value is the
// whole day.
type Hours struct {
	span span
	zone *time.Location
}

// span is a span of minutes of the day, with from and without to. If from is above
// to, it crosses midnight.
type span struct{ from, to int }

// ParseHours parses a span such as "08:00-18:00" in an IANA time zone such as
// "America/New_York". An empty span is the whole day, whatever the zone.
func ParseHours(hours, tz string) (Hours, error) {
	if hours == "" {
		return Hours{}, nil
	}
	s, err := parseSpan(hours)
	if err != nil {
		return Hours{}, err
	}
	loc, err := loadZone(tz)
	if err != nil {
		return Hours{}, err
	}
	return Hours{span: s, zone: loc}, nil
}

// Open tells whether t is within the span.
func (h Hours) Open(t time.Time) bool {
	if h.zone == nil {
		return true
	}
	t = t.In(h.zone)
	m := t.Hour()*60 + t.Minute()
	if h.span.from < h.span.to {
		return m >= h.span.from && m < h.span.to
	}
	return m >= h.span.from || m < h.span.to
}

func parseSpan(s string) (span, error) {
	const layout = "15:04"
	if len(s) != len("08:00-18:00") || s[5] != '-' {
		return span{}, fmt.Errorf("%q: %w", s, errHours)
	}
	from, err1 := time.Parse(layout, s[:5])
	to, err2 := time.Parse(layout, s[6:])
	if err1 != nil || err2 != nil || from.Equal(to) {
		return span{}, fmt.Errorf("%q: %w", s, errHours)
	}
	return span{minuteOfDay(from), minuteOfDay(to)}, nil
}

func minuteOfDay(t time.Time) int { return t.Hour()*60 + t.Minute() }

func loadZone(tz string) (*time.Location, error) {
	if tz == "" || tz == "Local" {
		return nil, errors.New("want a time zone such as Pacific/Fiji")
	}
	loc, err := time.LoadLocation(tz)
	if err != nil {
		return nil, fmt.Errorf("unknown time zone %q", tz)
	}
	return loc, nil
}
