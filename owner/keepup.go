package owner

import (
	"sync/atomic"
	"time"
)

const (
	// behindAfter is how long passes must end at the limit of calls before an owner counts as
	// behind, and behindGap the longest time between two such passes.
	behindAfter = time.Second
	behindGap   = 300 * time.Millisecond
)

// keepUp tells whether an owner sends starts as fast as subtasks and room for them come. One that
// shares its entry's CPU with owners of other pools may not.
type keepUp struct {
	since, last time.Time    // first and last of the passes in a row that ended at the limit of calls
	behind      atomic.Bool  // for behindAfter
	demand      atomic.Int64 // the CPU that the pool's work needs, as published; 0 before its first job
}

// note records a pass that did or did not end at the limit of calls.
func (k *keepUp) note(limited bool, now time.Time) {
	switch {
	case limited && now.Sub(k.last) > behindGap:
		k.since, k.last = now, now
	case limited:
		k.last = now
	case now.Sub(k.last) > behindGap:
		k.behind.Store(false)
		return
	}
	k.behind.Store(now.Sub(k.since) >= behindAfter && now.Sub(k.last) <= behindGap)
}

// Behind reports whether the owner can't send starts as fast as it should.
func (o *Owner) Behind() bool { return o.keepUp.behind.Load() }

// Demand returns the CPU that the pool's work needs, in thousandths of a core; 0 if it has had no
// jobs that end by themselves.
func (o *Owner) Demand() int { return int(o.keepUp.demand.Load()) }
