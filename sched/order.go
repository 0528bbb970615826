package sched

import "time"

// enqueue puts an item in its lane.
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

// setOrderKey sets the item's place in its lane. The policy Yield reckons with long
// runs and with the hours in which the window is closed.
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

// dequeue takes an item from its lane.
func (q *Queue) dequeue(it *Item) {
	q.extract(it)
	q.waitingCount--
	*it.waitingInQueue--
	q.demand -= it.spec.Slots
	q.plan.moves++
}

// classify returns the class of an item; only the policy Yield has several.
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

// addWork adds or takes off an item's work in the plan.
func (q *Queue) addWork(it *Item, sign int) {
	q.demandByClass[it.lane.class] += sign * it.spec.Slots
	q.demandByBand[it.band] += sign * it.spec.Slots
	*q.plan.workCell(it) += float64(sign) * it.work
}

func (q *Queue) laneSetOf(l *lane) *laneSet {
	if l.overQuota {
		return &q.laneSets[l.class][1]
	}
	return &q.laneSets[l.class][0]
}

func (q *Queue) heapOf(l *lane) *heap[*lane] { return &q.laneSetOf(l).bands[l.band] }

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

// mayStartFrom tells whether a picked lane may start an item; if not, it moves the
// lane to where it belongs.
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

// closeLane takes a lane from its shelf until its window opens.
func (q *Queue) closeLane(l *lane) {
	for _, it := range l.items {
		q.addWork(it, -1)
	}
	q.laneSetOf(l).remove(l)
	l.closed = true
	q.closedLanes = append(q.closedLanes, l)
}

// reopenLanes puts lanes whose window has opened back on their shelves.
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

// openLane puts a lane whose window has opened on its shelf.
func (q *Queue) openLane(l *lane, now time.Time) {
	l.closed = false
	for _, it := range l.items {
		q.setOrderKey(it, now)
		q.addWork(it, 1)
	}
	l.items.init()
	q.laneSetOf(l).add(l)
}

// pickLane returns the lane whose head is next, or nil. Lanes over their
// customer's quota come after all others that may start.
func (q *Queue) pickLane(free int) *lane {
	for over := range 2 {
		if l := q.pickFrom(over, free); l != nil {
			return l
		}
	}
	return nil
}

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

// pickYield returns the next lane by the policy Yield. Late work goes first
// where the prompt work of its own and all better ranks has time to spare, and
// prompt work past the cut where that before the cut has.
func (q *Queue) pickYield(over, free int) *lane {
	p := &q.plan
	past := q.laneSets[late][over].firstByRank(0, RankBands-1, free)
	if past != nil && past.band <= p.cutoff && p.credit[past.band] >= past.items[0].work {
		return past
	}
	near := &q.laneSets[onTime][over]
	in := near.firstByKey(0, p.cutoff, free)
	out := near.firstByRank(p.cutoff+1, RankBands-1, free)
	if in != nil {
		if out != nil && out.items[0].before(in.items[0]) && p.credit[p.cutoff] >= out.items[0].work {
			return out
		}
		return in
	}
	back := q.pickBackground(over, free)
	switch {
	case back != nil && p.backgroundUrgent():
		return back
	case past != nil && (out == nil || past.band < out.band):
		return past
	case out != nil:
		return out
	default:
		return back
	}
}

// pickBackground returns the lane of the next background item, if background
// work may hold more slots.
func (q *Queue) pickBackground(over, free int) *lane {
	room := q.plan.backgroundAllowance() - q.backgroundHeld
	return q.laneSets[background][over].firstByKey(0, RankBands-1, min(free, room))
}

// start takes an item from its lane and counts it as running.
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

// release gives back what a running item holds.
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

// recheckQuota puts lanes of a customer that is within its quota again on the
// shelves of those.
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

func (q *Queue) moveWithinQuota(l *lane) {
	shelved := len(l.items) > 0 && !l.closed
	if shelved {
		q.laneSetOf(l).remove(l)
	}
	l.overQuota = false
	if shelved {
		q.laneSetOf(l).add(l)
	}
}
