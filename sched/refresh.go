package sched

import "time"

const (
	// maxIdle is the number of lanes and of customers without items that are
	// kept for reuse.
	maxIdle = 4096
)

// refresh brings the plan up to date when it is old enough.
func (q *Queue) refresh(now time.Time, total int) {
	p := &q.plan
	age := now.Sub(time.Unix(0, p.at))
	every := planEvery + time.Duration(q.n)*planPerItem
	resized := total != p.total
	p.total = total
	if age >= every || age < 0 {
		q.rebuild(now, age)
		return
	}
	if resized {
		q.regroupAll()
	}
	if resized || p.moves >= cutEvery {
		p.recut(running{slots: q.held, left: q.rest(now)})
	}
}

// rebuild reclassifies waiting work and sums it up afresh.
func (q *Queue) rebuild(now time.Time, age time.Duration) {
	p := &q.plan
	q.reopen(now)
	q.reclassify(now)
	p.at = now.UnixNano()
	clear(p.starving[:])
	p.work, p.back, p.late = [RankBands][spans]float64{}, [spans]float64{}, [RankBands]float64{}
	for c := range q.shelves {
		for o := range q.shelves[c] {
			for b := range q.shelves[c][o].bands {
				for _, l := range q.shelves[c][o].bands[b] {
					q.sum(l)
				}
			}
		}
	}
	q.regroupAll()
	p.observe(min(q.held-q.behind+q.wants[prompt], p.total), min(age, peakMemory))
	p.reneed()
	p.recut(running{slots: q.held, left: q.rest(now)})
	q.sweep()
}

// sum adds the work of a lane's items, with what has been learnt meanwhile.
func (q *Queue) sum(l *lane) {
	p := &q.plan
	for _, it := range l.items {
		it.work = it.times.mean * float64(it.spec.Slots)
		*p.cell(it) += it.work
		if q.policy == Yield && it.limit+it.margin+int64(StarveAfter) < p.at {
			p.starve(it)
		}
	}
}

// reclassify moves items that have come closer to their due times.
func (q *Queue) reclassify(now time.Time) {
	if q.policy != Yield {
		return
	}
	for _, c := range []class{background, prompt} {
		for over := range 2 {
			s := &q.shelves[c][over]
			for b := range s.bands {
				for i := len(s.bands[b]) - 1; i >= 0; i-- {
					if i < len(s.bands[b]) {
						q.drainHeads(s.bands[b][i], now)
					}
				}
			}
		}
	}
}

// drainHeads moves the items at a lane's head that belong to another class.
func (q *Queue) drainHeads(l *lane, now time.Time) {
	for len(l.items) > 0 {
		it := l.items[0]
		c := q.classify(it, now)
		if c == l.class || c == background {
			return
		}
		q.extract(it)
		q.insert(it, c, now)
	}
}

// regroupAll puts lanes back that a larger total or quota allows.
func (q *Queue) regroupAll() {
	for c := range q.shelves {
		s := &q.shelves[c][1]
		for b := range s.bands {
			for i := len(s.bands[b]) - 1; i >= 0; i-- {
				if i >= len(s.bands[b]) {
					continue
				}
				if l := s.bands[b][i]; !l.customer.over(l.slots, q.plan.total) {
					q.unover(l)
				}
			}
		}
	}
}

// starved returns the item that has waited longest past its due time, when it
// is its turn and it may start.
func (q *Queue) starved(now time.Time, free, total int) *Item {
	p := &q.plan
	if p.starving[0] == nil || q.starts%starveTurn != 0 {
		return nil
	}
	for _, it := range p.starving {
		if it == nil {
			return nil
		}
		if it.state != waiting || it.lane == nil || q.lanes[it.lane.laneKey] != it.lane {
			continue
		}
		l := it.lane
		if l.slots <= free && l.window.Open(now) && !l.customer.over(l.slots, total) {
			return it
		}
	}
	return nil
}

// sweep drops lanes and customers without items when there are many.
func (q *Queue) sweep() {
	if len(q.lanes) <= maxIdle && len(q.customers) <= maxIdle && len(q.queues) <= maxIdle {
		return
	}
	for name, c := range q.customers {
		if c.items > 0 {
			continue
		}
		for _, l := range c.lanes {
			delete(q.lanes, l.laneKey)
		}
		delete(q.customers, name)
	}
	for name, n := range q.queues {
		if *n == 0 {
			delete(q.queues, name)
		}
	}
}
