package sched

import "time"

const (
	// maxIdle is the number of lanes, of customers and of queue names up to which
	// those without items are kept for reuse.
	maxIdle = 4096
)

// refreshPlan rebuilds the plan if it is old enough. Otherwise it recomputes the
// cutoff if total or enough items have changed.
func (q *Queue) refreshPlan(now time.Time, total int) {
	p := &q.plan
	age := now.Sub(time.Unix(0, p.rebuiltAt))
	interval := rebuildInterval + time.Duration(q.waitingCount)*rebuildIntervalPerItem
	resized := total != p.totalSlots
	p.totalSlots = total
	if age >= interval || age < 0 {
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

// rebuildPlan reclassifies the waiting items and recomputes the plan; age is the
// time since the last rebuild.
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

// addLaneWork re-estimates the work of a lane's items from the run times measured
// so far, adds it to the plan, and lists items that are starving.
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

// reclassify moves items to another class whose latest start has come closer.
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

// reclassifyHeads moves items from the head of a lane to the class that they now
// belong to, up to the first item that stays.
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

// recheckAllQuotas moves lanes that a larger total or quota has brought within the
// quota to the laneSets of those within the quota.
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

// starvedItem returns the starving item that was pushed first and may start now. It
// returns nil if there is none, or if this start is not one of those given to
// starving items.
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

// dropUnused drops customers without items, their lanes, and counters of queues
// without waiting items, if there are more than maxIdle of any of them.
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
