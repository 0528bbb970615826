// Package aging tells for how long at least keys of the platform's store have not been written,
// however often the process that asks is replaced: keys without a lease are removed at an age.
//
// The evidence is revisions. Whoever runs a Clock notes at which reading the store had reached
// a revision, and stores that. A key whose revision is not above a noted one had
// been written by then. The clock stands while nobody runs it, and goes back to the reading that was
// stored last when another process goes on with it: an age is never too high.
package aging

import (
	"encoding/json"
	"errors"
	"time"
)

// KeyPrefix is the prefix of the keys of stored clocks.
const KeyPrefix = "age/"

// marksKept is the number of marks within the memory of a clock. Ages are that much coarser.
const marksKept = 8

// mark tells that the store had reached a revision at a reading of the clock.
type mark struct{ rev, atMs int64 }

// value is the value of a clock's key. Each mark is a pair of a revision and a reading.
type value struct {
	NowMs int64      `json:"now"`
	Marks [][2]int64 `json:"marks"`
}

var errValue = errors.New("value is out of range")

// Clock is a clock that outlasts the processes that run it. It is not safe for concurrent use.
type Clock struct {
	memory time.Duration
	base   time.Duration // the reading at since
	since  time.Time
	marks  []mark // in ascending order of both fields
}

// New returns a clock that begins now, which tells ages of up to memory.
func New(memory time.Duration, now time.Time) *Clock {
	return &Clock{memory: memory, since: now}
}

// Load goes on with a stored clock, whose key has revision rev. A clock that can't be read begins
// anew.
func (c *Clock) Load(stored []byte, rev int64, now time.Time) error {
	c.base, c.since, c.marks = 0, now, nil
	var v value
	if err := json.Unmarshal(stored, &v); err != nil {
		return err
	}
	if v.NowMs < 0 || v.NowMs > maxReading.Milliseconds() {
		return errValue
	}
	last, marks := mark{}, make([]mark, 0, len(v.Marks))
	for _, pair := range v.Marks {
		m := mark{pair[0], pair[1]}
		if m.rev <= last.rev || m.atMs < last.atMs || m.rev >= rev || m.atMs > v.NowMs {
			return errValue
		}
		last, marks = m, append(marks, m)
	}
	c.base, c.marks = time.Duration(v.NowMs)*time.Millisecond, marks
	return nil
}

// maxReading bounds stored readings.
const maxReading = 100 * 365 * 24 * time.Hour

// Encode returns the value to be stored.
func (c *Clock) Encode(now time.Time) ([]byte, error) {
	v := value{NowMs: c.Reading(now).Milliseconds(), Marks: make([][2]int64, 0, len(c.marks))}
	for _, m := range c.marks {
		v.Marks = append(v.Marks, [2]int64{m.rev, m.atMs})
	}
	return json.Marshal(v)
}

// Reading returns the reading of the clock at a time.
func (c *Clock) Reading(now time.Time) time.Duration { return max(c.base+now.Sub(c.since), 0) }

// Time returns when the clock had a reading: not before that for certain.
func (c *Clock) Time(reading time.Duration) time.Time { return c.since.Add(reading - c.base) }

// Note notes that the store has reached a revision.
func (c *Clock) Note(rev int64, now time.Time) {
	at := c.Reading(now).Milliseconds()
	if n := len(c.marks); n > 0 {
		last := c.marks[n-1]
		if rev <= last.rev || at-last.atMs < (c.memory/marksKept).Milliseconds() {
			return
		}
	}
	if rev <= 0 {
		return
	}
	c.marks = append(c.marks, mark{rev, at})
	for len(c.marks) > 1 && at-c.marks[1].atMs >= c.memory.Milliseconds() {
		c.marks = c.marks[1:]
	}
}

// Older reports whether a key at this revision was certainly written before now by an age, which is at
// most the memory.
func (c *Clock) Older(rev int64, age time.Duration, now time.Time) bool {
	at := c.Reading(now).Milliseconds()
	for _, m := range c.marks {
		// Both readings are rounded down.
		if time.Duration(at-m.atMs-1)*time.Millisecond < age {
			return false
		}
		if m.rev >= rev {
			return true
		}
	}
	return false
}
