package sched

import "time"

// enqueue adds an item to its lane and marks it as waiting.
func (q *Queue) enqueue(it *Item, now time.Time) {
	it.state = waiting
	it.work = it.runStats.mean * float64(it.spec.Slots)
	q.setOrderKey(it, now)
	q.waitingCount++
	*it.waitingInQueue++
	q.demand += it.spec.Slots
	q.insert(it, q.classify(it, now), now)
	q.plan.moves++
}

// setOrderKey sets the item's order key and the times that it derives from. The
// policy Yield leaves time for a long run and takes into account the hours in which
// the window is closed.
func (q *Queue) setOrderKey(it *Item, now time.Time) {
	it.startBy, it.runMargin = it.due.UnixNano(), 0
	if q.policy == Yield {
		if it.spec.Window != nil && it.due.After(now) {
			it.startBy = now.UnixNano() + int64(it.spec.Window.OpenTime(now, it.due))
		}
		it.runMargin = int64(it.runStats.high)
		it.startBy -= it.runMargin
	}
	it.orderKey = it.startBy
	if q.policy == Strict {
		it.orderKey = it.spec.Arrived.UnixNano()
	}
}

// dequeue removes a waiting item from its lane; the caller sets its new state.
func (q *Queue) dequeue(it *Item) {
	q.extract(it)
	q.waitingCount--
	*it.waitingInQueue--
	q.demand -= it.spec.Slots
	q.plan.moves++
}

// classify returns the class of an item. Policies other than Yield have only the
// class onTime.
func (q *Queue) classify(it *Item, now time.Time) class {
	if q.policy != Yield {
		return onTime
	}
	left := it.latestStart() - now.UnixNano()
	switch {
	case left >= int64(BackgroundSlack):
		return background
	case left < 0:
		return late
	default:
		return onTime
	}
}

// insert adds an item to the lane of its class.
func (q *Queue) insert(it *Item, c class, now time.Time) {
	l := q.laneOf(it, c)
	it.lane = l
	first := len(l.items) == 0
	l.items.push(it)
	switch {
	case l.closed:
	case first && !l.window.Open(now):
		l.closed = true
		q.closedLanes = append(q.closedLanes, l)
	case first:
		q.laneSetOf(l).add(l)
	case it.heapIndex == 0:
		q.heapOf(l).fix(l.heapIndex)
	}
	if !l.closed {
		q.addWork(it, 1)
	}
}

// extract removes an item from its lane.
func (q *Queue) extract(it *Item) {
	l := it.lane
	if !l.closed {
		q.addWork(it, -1)
	}
	if len(l.items) == 1 && !l.closed {
		q.laneSetOf(l).remove(l)
	}
	head := it.heapIndex == 0
	l.items.remove(it.heapIndex)
	if head && len(l.items) > 0 && !l.closed {
		q.heapOf(l).fix(l.heapIndex)
	}
	it.lane = nil
}

// addWork adds an item's work and slots to the plan and the demand for sign 1,
// and subtracts them for sign -1.
func (q *Queue) addWork(it *Item, sign int) {
	q.demandByClass[it.lane.class] += sign * it.spec.Slots
	q.demandByBand[it.band] += sign * it.spec.Slots
	*q.plan.workCell(it) += float64(sign) * it.work
}

// laneSetOf returns the laneSet to which an open lane belongs.
func (q *Queue) laneSetOf(l *lane) *laneSet {
	if l.overQuota {
		return &q.laneSets[l.class][1]
	}
	return &q.laneSets[l.class][0]
}

func (q *Queue) heapOf(l *lane) *heap[*lane] { return &q.laneSetOf(l).bands[l.band] }

// laneOf returns the lane for an item of class c and creates it if necessary.
func (q *Queue) laneOf(it *Item, c class) *lane {
	k := laneKey{customer: it.customer, window: it.spec.Window, rank: it.rank, slots: it.spec.Slots, class: c}
	if l := q.lanes[k]; l != nil {
		return l
	}
	l := &lane{laneKey: k, band: it.band, heapIndex: -1, byRank: q.policy == Strict}
	q.lanes[k] = l
	it.customer.lanes = append(it.customer.lanes, l)
	return l
}

// mayStartFrom reports whether a picked lane may start an item now. If its window
// has closed or its quota state has changed, mayStartFrom moves the lane to the set
// where it belongs and returns false; the caller then picks again.
func (q *Queue) mayStartFrom(l *lane, now time.Time, total int) bool {
	if !l.window.Open(now) {
		q.closeLane(l)
		return false
	}
	if over := l.customer.exceedsQuota(l.slots, total); over != l.overQuota {
		q.laneSetOf(l).remove(l)
		l.overQuota = over
		q.laneSetOf(l).add(l)
		return false
	}
	return true
}

// closeLane removes a lane from its laneSet and its work from the plan, until its
// window opens.
func (q *Queue) closeLane(l *lane) {
	for _, it := range l.items {
		q.addWork(it, -1)
	}
	q.laneSetOf(l).remove(l)
	l.closed = true
	q.closedLanes = append(q.closedLanes, l)
}

// reopenLanes adds closed lanes whose window has opened to their laneSets.
func (q *Queue) reopenLanes(now time.Time) {
	kept := q.closedLanes[:0]
	for _, l := range q.closedLanes {
		switch {
		case len(l.items) == 0:
			l.closed = false
		case l.window.Open(now):
			q.openLane(l, now)
		default:
			kept = append(kept, l)
		}
	}
	clear(q.closedLanes[len(kept):])
	q.closedLanes = kept
}

// openLane adds a lane whose window has opened to its laneSet and its work to the
// plan.
func (q *Queue) openLane(l *lane, now time.Time) {
	l.closed = false
	for _, it := range l.items {
		q.setOrderKey(it, now)
		q.addWork(it, 1)
	}
	l.items.init()
	q.laneSetOf(l).add(l)
}

// pickLane returns the lane whose first item is next, or nil. Lanes over their
// customer's quota are considered only when no other lane may start.
func (q *Queue) pickLane(free int) *lane {
	for over := range 2 {
		if l := q.pickFrom(over, free); l != nil {
			return l
		}
	}
	return nil
}

// pickFrom returns the next lane within the quota (over 0) or over it (over 1).
func (q *Queue) pickFrom(over, free int) *lane {
	switch q.policy {
	case Strict:
		return q.laneSets[onTime][over].firstByRank(0, RankBands-1, free)
	case Earliest:
		return q.laneSets[onTime][over].firstByKey(0, RankBands-1, free)
	default:
		return q.pickYield(over, free)
	}
}

// pickYield returns the next lane under the policy Yield, or nil. The default is
// the earliest on-time item of the bands up to the cutoff. A late item starts
// before it if the credit of its band covers its work, that is, if the on-time
// work of its own and all higher ranks stays on time. An on-time item below the
// cutoff starts before it if it has the lower order key and the credit at the
// cutoff covers its work.
func (q *Queue) pickYield(over, free int) *lane {
	p := &q.plan
	lateLane := q.laneSets[late][over].firstByRank(0, RankBands-1, free)
	if lateLane != nil && lateLane.band <= p.cutoff && p.credit[lateLane.band] >= lateLane.items[0].work {
		return lateLane
	}
	onTimeLanes := &q.laneSets[onTime][over]
	beforeCutoff := onTimeLanes.firstByKey(0, p.cutoff, free)
	afterCutoff := onTimeLanes.firstByRank(p.cutoff+1, RankBands-1, free)
	if beforeCutoff != nil {
		if afterCutoff != nil && afterCutoff.items[0].before(beforeCutoff.items[0]) && p.credit[p.cutoff] >= afterCutoff.items[0].work {
			return afterCutoff
		}
		return beforeCutoff
	}
	backgroundLane := q.pickBackground(over, free)
	switch {
	case backgroundLane != nil && p.backgroundUrgent():
		return backgroundLane
	case lateLane != nil && (afterCutoff == nil || lateLane.band < afterCutoff.band):
		return lateLane
	case afterCutoff != nil:
		return afterCutoff
	default:
		return backgroundLane
	}
}

// pickBackground returns the lane of the next background item, or nil if background
// work may not hold the slots that it takes.
func (q *Queue) pickBackground(over, free int) *lane {
	allowed := q.plan.backgroundAllowance() - q.backgroundHeld
	return q.laneSets[background][over].firstByKey(0, RankBands-1, min(free, allowed))
}

// start removes an item from its lane and accounts for it as running.
func (q *Queue) start(it *Item, now time.Time) *Item {
	if it.band > q.plan.cutoff || it.lane.class != onTime {
		q.plan.spendCredit(it.work)
	}
	it.asBackground = it.lane.class == background
	q.dequeue(it)
	it.state = started
	it.weightedEnd = it.work + q.sinceEpoch(now)*float64(it.spec.Slots)
	it.customer.heldSlots += it.spec.Slots
	q.weightedEnds += it.weightedEnd
	q.heldSlots += it.spec.Slots
	if it.asBackground {
		q.backgroundHeld += it.spec.Slots
	}
	q.starts++
	return it
}

// release returns the slots of a running item.
func (q *Queue) release(it *Item) {
	it.customer.heldSlots -= it.spec.Slots
	q.weightedEnds -= it.weightedEnd
	q.heldSlots -= it.spec.Slots
	if it.asBackground {
		q.backgroundHeld -= it.spec.Slots
	}
	if q.heldSlots == 0 {
		q.weightedEnds = 0
	}
	q.recheckQuota(it.customer)
}

// recheckQuota moves the customer's lanes that are within its quota again to the
// laneSets of those within the quota.
func (q *Queue) recheckQuota(c *customer) {
	if c.quota <= 0 {
		return
	}
	for _, l := range c.lanes {
		if !l.overQuota || c.exceedsQuota(l.slots, q.plan.totalSlots) {
			continue
		}
		q.moveWithinQuota(l)
	}
}

// moveWithinQuota marks a lane as within its quota and moves it to that laneSet.
func (q *Queue) moveWithinQuota(l *lane) {
	inSet := len(l.items) > 0 && !l.closed
	if inSet {
		q.laneSetOf(l).remove(l)
	}
	l.overQuota = false
	if inSet {
		q.laneSetOf(l).add(l)
	}
}
