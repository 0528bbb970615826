package sched

import "time"

// Peek returns the item that Pop would return, or nil, without removing it.
func (q *Queue) Peek(now time.Time, free, total int) *Item {
	if q.waitingCount == 0 || free <= 0 {
		return nil
	}
	q.refreshPlan(now, total)
	if it := q.starvedItem(now, free, total); it != nil {
		return it
	}
	for {
		l := q.pickLane(free)
		if l == nil {
			return nil
		}
		if q.mayStartFrom(l, now, total) {
			return l.items[0]
		}
	}
}
