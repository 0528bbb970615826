package sched

import "time"

// Peek returns the item that Pop would return, which goes on waiting.
func (q *Queue) Peek(now time.Time, free, total int) *Item {
	if q.n == 0 || free <= 0 {
		return nil
	}
	q.refresh(now, total)
	if it := q.starved(now, free, total); it != nil {
		return it
	}
	for {
		l := q.pick(free)
		if l == nil {
			return nil
		}
		if q.placed(l, now, total) {
			return l.items[0]
		}
	}
}
