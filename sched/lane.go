package sched

import "math/bits"

// class groups waiting work by how much its start matters now.
type class uint8

const (
	// onTime work can still be on time and has little time to spare.
	onTime class = iota
	// late work cannot be on time any more.
	late
	// background work has BackgroundSlack or more to spare.
	background
	numClasses
)

// customer is what a queue knows of a customer.
type customer struct {
	quota     float64 // of the last item pushed; 0 means no limit
	heldSlots int     // slots of running items
	lanes     []*lane // every lane of the customer
	items     int     // waiting and running items
}

// exceedsQuota tells whether slots more would exceed the customer's quota of total. A
// customer that holds nothing may always start one item.
func (c *customer) exceedsQuota(slots, total int) bool {
	return c.quota > 0 && c.heldSlots > 0 && float64(c.heldSlots+slots) > c.quota*float64(total)
}

// laneKey is what the items of a lane have in common, so that either all of
// them may start or none.
type laneKey struct {
	customer *customer
	window   *Window
	rank     int
	slots    int
	class    class
}

// lane holds waiting items that differ only in their order.
type lane struct {
	laneKey
	band      int
	items     heap[*Item]
	heapIndex int // index in its shelf's heap, or -1 when on none
	overQuota bool
	// closed tells that the window is closed; such a lane is on no shelf and
	// its work is not planned for.
	closed bool
	byRank bool // order by rank before key
}

func (l *lane) setHeapIndex(i int) { l.heapIndex = i }

func (l *lane) before(o *lane) bool {
	if l.byRank && l.rank != o.rank {
		return l.rank < o.rank
	}
	return l.items[0].before(o.items[0])
}

// laneSet holds the lanes of one class, each with at least one item.
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

// firstByRank returns the firstByRank lane that fits of the firstByRank band in [from, to].
func (s *laneSet) firstByRank(from, to, free int) *lane {
	for m := s.nonEmpty & bandMask(from, to); m != 0; m &= m - 1 {
		if l := firstFitting(s.bands[bits.TrailingZeros32(m)], free); l != nil {
			return l
		}
	}
	return nil
}

// firstByKey returns the first lane that fits of all bands in [from, to].
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

// bandMask returns a mask of the bands from to to.
func bandMask(from, to int) uint32 {
	if from > to {
		return 0
	}
	return (1<<(to+1) - 1) &^ (1<<from - 1)
}

// firstFitting returns the first lane whose items take at most free slots.
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
