package sched

import "math/bits"

// class groups waiting items by the time left until their latest start.
type class uint8

const (
	// onTime items can still end by their due time if they start within
	// BackgroundSlack. Under policies other than Yield, all items are of this
	// class.
	onTime class = iota
	// late items are expected to end after their due time.
	late
	// background items can wait for BackgroundSlack or longer and still be on
	// time.
	background
	numClasses
)

// customer is the state of one customer in a queue.
type customer struct {
	quota     float64 // of the last item pushed; 0 means no limit
	heldSlots int     // slots of running items
	lanes     []*lane // every lane of the customer
	items     int     // number of waiting and running items
}

// exceedsQuota reports whether the customer would exceed its quota of total slots
// by holding slots more. A customer that holds none may always start one item.
func (c *customer) exceedsQuota(slots, total int) bool {
	return c.quota > 0 && c.heldSlots > 0 && float64(c.heldSlots+slots) > c.quota*float64(total)
}

// laneKey holds what the items of a lane have in common. At any time, either all
// items of a lane may start or none.
type laneKey struct {
	customer *customer
	window   *Window
	rank     int
	slots    int
	class    class
}

// lane holds the waiting items with the same laneKey, in the order of their
// start.
type lane struct {
	laneKey
	band      int
	items     heap[*Item]
	heapIndex int // index in its laneSet's heap, or -1 when in no laneSet
	overQuota bool
	// closed is true while the window is closed. A closed lane is in no laneSet,
	// and the plan leaves out its work.
	closed bool
	byRank bool // order lanes by rank first, then by their first items
}

func (l *lane) setHeapIndex(i int) { l.heapIndex = i }

func (l *lane) before(o *lane) bool {
	if l.byRank && l.rank != o.rank {
		return l.rank < o.rank
	}
	return l.items[0].before(o.items[0])
}

// laneSet holds the open lanes of one class that are all within or all over their
// quota, each with at least one item.
type laneSet struct {
	bands    [RankBands]heap[*lane]
	nonEmpty uint32 // bit b is set when bands[b] is not empty
}

func (s *laneSet) add(l *lane) {
	s.bands[l.band].push(l)
	s.nonEmpty |= 1 << l.band
}

func (s *laneSet) remove(l *lane) {
	b := &s.bands[l.band]
	b.remove(l.heapIndex)
	l.heapIndex = -1
	if len(*b) == 0 {
		s.nonEmpty &^= 1 << l.band
	}
}

// firstByRank returns the first lane that fits into free slots, of the first band
// in [from, to] that has one, or nil.
func (s *laneSet) firstByRank(from, to, free int) *lane {
	for m := s.nonEmpty & bandMask(from, to); m != 0; m &= m - 1 {
		if l := firstFitting(s.bands[bits.TrailingZeros32(m)], free); l != nil {
			return l
		}
	}
	return nil
}

// firstByKey returns the lane with the lowest order key that fits into free slots,
// of all bands in [from, to], or nil.
func (s *laneSet) firstByKey(from, to, free int) *lane {
	var best *lane
	for m := s.nonEmpty & bandMask(from, to); m != 0; m &= m - 1 {
		l := firstFitting(s.bands[bits.TrailingZeros32(m)], free)
		if l != nil && (best == nil || l.items[0].before(best.items[0])) {
			best = l
		}
	}
	return best
}

// bandMask returns a mask with the bits of the bands in [from, to] set.
func bandMask(from, to int) uint32 {
	if from > to {
		return 0
	}
	return (1<<(to+1) - 1) &^ (1<<from - 1)
}

// firstFitting returns the first lane whose items take at most free slots, or
// nil. h must not be empty.
func firstFitting(h heap[*lane], free int) *lane {
	if h[0].slots <= free {
		return h[0]
	}
	var best *lane
	for _, l := range h {
		if l.slots <= free && (best == nil || l.before(best)) {
			best = l
		}
	}
	return best
}
