package sched

import "time"

const (
	// maxIdle is the number of lanes and of customers without items that are
	// kept for reuse.
	maxIdle = 4096
)

// refreshPlan brings the plan up to date when it is old enough.
func (q *Queue) refreshPlan(now time.Time, total int) {
	p := &q.plan
	age := now.Sub(time.Unix(0, p.rebuiltAt))
	every := rebuildInterval + time.Duration(q.waitingCount)*rebuildIntervalPerItem
	resized := total != p.totalSlots
	p.totalSlots = total
	if age >= every || age < 0 {
		q.rebuildPlan(now, age)
		return
	}
	if resized {
		q.recheckAllQuotas()
	}
	if resized || p.moves >= movesPerCutoff {
		p.updateCutoff(runningLoad{slots: q.heldSlots, remaining: q.remainingWork(now)})
	}
}

// rebuildPlan reclassifies waiting work and sums it up afresh.
func (q *Queue) rebuildPlan(now time.Time, age time.Duration) {
	p := &q.plan
	q.reopenLanes(now)
	q.reclassify(now)
	p.rebuiltAt = now.UnixNano()
	clear(p.starving[:])
	p.onTimeWork, p.backgroundWork, p.lateWork = [RankBands][slackBuckets]float64{}, [slackBuckets]float64{}, [RankBands]float64{}
	for c := range q.laneSets {
		for o := range q.laneSets[c] {
			for b := range q.laneSets[c][o].bands {
				for _, l := range q.laneSets[c][o].bands[b] {
					q.addLaneWork(l)
				}
			}
		}
	}
	q.recheckAllQuotas()
	p.updatePeak(min(q.heldSlots-q.backgroundHeld+q.demandByClass[onTime], p.totalSlots), min(age, peakDecay))
	p.updateBackgroundNeed()
	p.updateCutoff(runningLoad{slots: q.heldSlots, remaining: q.remainingWork(now)})
	q.dropUnused()
}

// addLaneWork adds the work of a lane's items, with what has been learnt meanwhile.
func (q *Queue) addLaneWork(l *lane) {
	p := &q.plan
	for _, it := range l.items {
		it.work = it.runStats.mean * float64(it.spec.Slots)
		*p.workCell(it) += it.work
		if q.policy == Yield && it.startBy+it.runMargin+int64(StarveAfter) < p.rebuiltAt {
			p.addStarving(it)
		}
	}
}

// reclassify moves items that have come closer to their due times.
func (q *Queue) reclassify(now time.Time) {
	if q.policy != Yield {
		return
	}
	for _, c := range []class{background, onTime} {
		for over := range 2 {
			s := &q.laneSets[c][over]
			for b := range s.bands {
				for i := len(s.bands[b]) - 1; i >= 0; i-- {
					if i < len(s.bands[b]) {
						q.reclassifyHeads(s.bands[b][i], now)
					}
				}
			}
		}
	}
}

// reclassifyHeads moves the items at a lane's head that belong to another class.
func (q *Queue) reclassifyHeads(l *lane, now time.Time) {
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

// recheckAllQuotas puts lanes back that a larger total or quota allows.
func (q *Queue) recheckAllQuotas() {
	for c := range q.laneSets {
		s := &q.laneSets[c][1]
		for b := range s.bands {
			for i := len(s.bands[b]) - 1; i >= 0; i-- {
				if i >= len(s.bands[b]) {
					continue
				}
				if l := s.bands[b][i]; !l.customer.exceedsQuota(l.slots, q.plan.totalSlots) {
					q.moveWithinQuota(l)
				}
			}
		}
	}
}

// starvedItem returns the item that has waited longest past its due time, when it
// is its turn and it may start.
func (q *Queue) starvedItem(now time.Time, free, total int) *Item {
	p := &q.plan
	if p.starving[0] == nil || q.starts%startsPerStarved != 0 {
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
		if l.slots <= free && l.window.Open(now) && !l.customer.exceedsQuota(l.slots, total) {
			return it
		}
	}
	return nil
}

// dropUnused drops lanes and customers without items when there are many.
func (q *Queue) dropUnused() {
	if len(q.lanes) <= maxIdle && len(q.customers) <= maxIdle && len(q.waitingByQueue) <= maxIdle {
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
	for name, n := range q.waitingByQueue {
		if *n == 0 {
			delete(q.waitingByQueue, name)
		}
	}
}
