package sched

import "time"

// wait puts an item in its lane.
func (q *Queue) wait(it *Item, now time.Time) {
	it.state = waiting
	it.work = it.times.mean * float64(it.spec.Slots)
	q.limit(it, now)
	q.n++
	*it.queue++
	q.demand += it.spec.Slots
	q.insert(it, q.classify(it, now), now)
	q.plan.moves++
}

// limit sets the item's place in its lane. The policy Yield reckons with long
// runs and with the hours in which the window is closed.
func (q *Queue) limit(it *Item, now time.Time) {
	it.limit, it.margin = it.due.UnixNano(), 0
	if q.policy == Yield {
		if it.spec.Window != nil && it.due.After(now) {
			it.limit = now.UnixNano() + int64(it.spec.Window.OpenTime(now, it.due))
		}
		it.margin = int64(it.times.high)
		it.limit -= it.margin
	}
	it.key = it.limit
	if q.policy == Strict {
		it.key = it.spec.Arrived.UnixNano()
	}
}

// unwait takes an item from its lane.
func (q *Queue) unwait(it *Item) {
	q.extract(it)
	q.n--
	*it.queue--
	q.demand -= it.spec.Slots
	q.plan.moves++
}

// classify returns the class of an item; only the policy Yield has several.
func (q *Queue) classify(it *Item, now time.Time) class {
	if q.policy != Yield {
		return prompt
	}
	left := it.lateAt() - now.UnixNano()
	switch {
	case left >= int64(BackgroundSlack):
		return background
	case left < 0:
		return late
	default:
		return prompt
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
		q.closed = append(q.closed, l)
	case first:
		q.shelf(l).add(l)
	case it.pos == 0:
		q.heapOf(l).fix(l.pos)
	}
	if !l.closed {
		q.count(it, 1)
	}
}

// extract removes an item from its lane.
func (q *Queue) extract(it *Item) {
	l := it.lane
	if !l.closed {
		q.count(it, -1)
	}
	if len(l.items) == 1 && !l.closed {
		q.shelf(l).remove(l)
	}
	head := it.pos == 0
	l.items.remove(it.pos)
	if head && len(l.items) > 0 && !l.closed {
		q.heapOf(l).fix(l.pos)
	}
	it.lane = nil
}

// count adds or takes off an item's work in the plan.
func (q *Queue) count(it *Item, sign int) {
	q.wants[it.lane.class] += sign * it.spec.Slots
	q.bands[it.band] += sign * it.spec.Slots
	*q.plan.cell(it) += float64(sign) * it.work
}

func (q *Queue) shelf(l *lane) *shelf {
	if l.over {
		return &q.shelves[l.class][1]
	}
	return &q.shelves[l.class][0]
}

func (q *Queue) heapOf(l *lane) *heap[*lane] { return &q.shelf(l).bands[l.band] }

func (q *Queue) laneOf(it *Item, c class) *lane {
	k := laneKey{customer: it.customer, window: it.spec.Window, rank: it.rank, slots: it.spec.Slots, class: c}
	if l := q.lanes[k]; l != nil {
		return l
	}
	l := &lane{laneKey: k, band: it.band, pos: -1, strict: q.policy == Strict}
	q.lanes[k] = l
	it.customer.lanes = append(it.customer.lanes, l)
	return l
}

// placed tells whether a picked lane may start an item; if not, it moves the
// lane to where it belongs.
func (q *Queue) placed(l *lane, now time.Time, total int) bool {
	if !l.window.Open(now) {
		q.close(l)
		return false
	}
	if over := l.customer.over(l.slots, total); over != l.over {
		q.shelf(l).remove(l)
		l.over = over
		q.shelf(l).add(l)
		return false
	}
	return true
}

// close takes a lane from its shelf until its window opens.
func (q *Queue) close(l *lane) {
	for _, it := range l.items {
		q.count(it, -1)
	}
	q.shelf(l).remove(l)
	l.closed = true
	q.closed = append(q.closed, l)
}

// reopen puts lanes whose window has opened back on their shelves.
func (q *Queue) reopen(now time.Time) {
	kept := q.closed[:0]
	for _, l := range q.closed {
		switch {
		case len(l.items) == 0:
			l.closed = false
		case l.window.Open(now):
			q.open(l, now)
		default:
			kept = append(kept, l)
		}
	}
	clear(q.closed[len(kept):])
	q.closed = kept
}

// open puts a lane whose window has opened on its shelf.
func (q *Queue) open(l *lane, now time.Time) {
	l.closed = false
	for _, it := range l.items {
		q.limit(it, now)
		q.count(it, 1)
	}
	l.items.init()
	q.shelf(l).add(l)
}

// pick returns the lane whose head is next, or nil. Lanes over their
// customer's quota come after all others that may start.
func (q *Queue) pick(free int) *lane {
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
		return q.shelves[prompt][over].first(0, RankBands-1, free)
	case Earliest:
		return q.shelves[prompt][over].earliest(0, RankBands-1, free)
	default:
		return q.pickYield(over, free)
	}
}

// pickYield returns the next lane by the policy Yield. Late work goes first
// where the prompt work of its own and all better ranks has time to spare, and
// prompt work past the cut where that before the cut has.
func (q *Queue) pickYield(over, free int) *lane {
	p := &q.plan
	past := q.shelves[late][over].first(0, RankBands-1, free)
	if past != nil && past.band <= p.cut && p.credit[past.band] >= past.items[0].work {
		return past
	}
	near := &q.shelves[prompt][over]
	in := near.earliest(0, p.cut, free)
	out := near.first(p.cut+1, RankBands-1, free)
	if in != nil {
		if out != nil && out.items[0].before(in.items[0]) && p.credit[p.cut] >= out.items[0].work {
			return out
		}
		return in
	}
	back := q.pickBackground(over, free)
	switch {
	case back != nil && p.pressed():
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
	room := q.plan.allowance() - q.behind
	return q.shelves[background][over].earliest(0, RankBands-1, min(free, room))
}

// start takes an item from its lane and counts it as running.
func (q *Queue) start(it *Item, now time.Time) *Item {
	if it.band > q.plan.cut || it.lane.class != prompt {
		q.plan.spend(it.work)
	}
	it.behind = it.lane.class == background
	q.unwait(it)
	it.state = started
	it.ends = it.work + q.seconds(now)*float64(it.spec.Slots)
	it.customer.held += it.spec.Slots
	q.ends += it.ends
	q.held += it.spec.Slots
	if it.behind {
		q.behind += it.spec.Slots
	}
	q.starts++
	return it
}

// release gives back what a running item holds.
func (q *Queue) release(it *Item) {
	it.customer.held -= it.spec.Slots
	q.ends -= it.ends
	q.held -= it.spec.Slots
	if it.behind {
		q.behind -= it.spec.Slots
	}
	if q.held == 0 {
		q.ends = 0
	}
	q.regroup(it.customer)
}

// regroup puts lanes of a customer that is within its quota again on the
// shelves of those.
func (q *Queue) regroup(c *customer) {
	if c.quota <= 0 {
		return
	}
	for _, l := range c.lanes {
		if !l.over || c.over(l.slots, q.plan.total) {
			continue
		}
		q.unover(l)
	}
}

func (q *Queue) unover(l *lane) {
	shelved := len(l.items) > 0 && !l.closed
	if shelved {
		q.shelf(l).remove(l)
	}
	l.over = false
	if shelved {
		q.shelf(l).add(l)
	}
}
