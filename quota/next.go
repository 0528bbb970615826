package quota

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"
	"time"

	"shallotpaddle/plat"
)

// MaxWrites is the largest number of documents in one write: the store takes 32 conditions
// and changes, and the election takes a condition.
const MaxWrites = 15

// minBatch is the number of documents to which one write shrinks while others' writes come before: if
// one document in 15 has changed meanwhile, fewer carry fewer changes in all.
const minBatch = 6

// A pool returns less than returnedPart of a quota, while it uses some, only returnTime after its last
// write: each end of a subtask would cost a write.
const (
	returnedPart = 0.05
	returnTime   = 200 * time.Millisecond
)

// writeUnits is what one write takes of the limit. After a second conflict in a row, a part of it is
// lost, which depends on the pool, so that owners don't go on writing at the same moments.
const writeUnits = 100

// Write replaces or removes the document of a workspace, on condition of its revision.
type Write struct {
	Key   string
	Rev   int64 // that it replaces; 0 for none
	Value []byte
	// Remove tells that the document is to be removed.
	Remove bool

	workspace string
	doc       *document
	part      part
	urgency   int
}

// Urgency of a write; the least is made first.
const (
	grows = iota
	returnsToWaiting
	returnsUnused
	cleansUp
	nothingToWrite
)

// Next returns the documents to write now, in one transaction; none while a write is under way.
// Confirmed, Rejected or Unanswered must follow.
func (l *Ledger) Next(now time.Time) []Write {
	if !l.active || !l.known || len(l.inFlight) > 0 {
		return nil
	}
	var due []Write
	for _, s := range l.spaces {
		s.notePeak(l.floor(s), now)
		if w := l.writeOf(s, now); w.urgency != nothingToWrite {
			due = append(due, w)
		}
	}
	if len(due) == 0 || !l.limiter.AllowN(now, writeUnits) {
		return nil
	}
	slices.SortFunc(due, l.compareWrites)
	due = due[:min(len(due), l.batch)]
	for i := range due {
		w := &due[i]
		if w.Remove {
			continue
		}
		var err error
		if w.Value, err = json.Marshal(w.doc); err != nil {
			return nil // a document has only strings and numbers
		}
		l.spaces[w.workspace].beatAt = now
	}
	l.inFlight = due
	return due
}

// compareWrites orders writes by urgency, and among equals the workspace first whose document was
// written least lately. Load pattern: more workspaces that grow at once than there are writes for.
func (l *Ledger) compareWrites(a, b Write) int {
	x, y := l.spaces[a.workspace], l.spaces[b.workspace]
	return cmp.Or(cmp.Compare(a.urgency, b.urgency), x.beatAt.Compare(y.beatAt), cmp.Compare(x.name, y.name))
}

// notePeak updates the largest use of the last peakPeriod to twice that.
func (s *space) notePeak(floor amount, now time.Time) {
	if now.Sub(s.peakSince) >= peakPeriod {
		s.lastPeak, s.peak, s.peakSince = s.peak, amount{}, now
	}
	s.peak = s.peak.max(floor.plus(s.want))
}

// writeOf returns the write that the document of a workspace needs.
func (l *Ledger) writeOf(s *space, now time.Time) Write {
	w := Write{Key: Key(s.name), Rev: s.rev, workspace: s.name, urgency: nothingToWrite}
	cur := s.part(l.pool)
	w.part = l.nextPart(s, cur, now)
	if w.part.waiting() {
		s.waitedAt = now
	}
	switch {
	case !w.part.Grant.within(cur.Grant), l.unsettled(s, cur), w.part.waiting() && !cur.waiting(), w.part.Alone != cur.Alone, w.part.First != cur.First:
		w.urgency = grows
	case w.part.Grant != cur.Grant && (l.overQuota(s) || l.othersWait(s, now)):
		if returned := cur.Grant.minus(w.part.Grant).part(s.quota); returned >= returnedPart || w.part.Grant.none() || now.Sub(s.beatAt) >= returnTime {
			w.urgency = returnsToWaiting
		}
	case w.part.Grant != cur.Grant, cur.waiting() && !w.part.waiting() && now.Sub(s.waitedAt) >= waitedTime:
		w.urgency = returnsUnused
	case w.part.waiting() && !s.others(l.pool).none() && now.Sub(s.beatAt) >= beatInterval:
		w.urgency = returnsUnused
	}
	if s.doc == nil {
		if w.part.none() {
			w.urgency = nothingToWrite
			return w
		}
	} else if w.urgency == nothingToWrite {
		l.cleanUp(s, &w, now)
		if w.Remove || w.urgency == nothingToWrite {
			return w
		}
	}
	w.part.Beat = cur.Beat
	if w.part.waiting() {
		w.part.Beat++
	}
	w.doc = s.doc.with(l.pool, w.part)
	w.doc.Workspace = s.name
	if s.version >= w.doc.Version {
		w.doc.Quota, w.doc.Version = s.quota, s.version
	}
	for pool := range w.doc.Pools {
		if pool != l.pool && l.isGone(pool, now) {
			delete(w.doc.Pools, pool)
		}
	}
	return w
}

// unsettled reports whether waiting work would fit the grant in the document, which a write
// without an answer keeps from counting.
func (l *Ledger) unsettled(s *space, cur part) bool {
	need := s.want.limitedBy(s.quota)
	if !s.alone.none() {
		need = s.alone
	}
	return !need.none() && (len(s.uncertain) > 0 || s.mine != cur.Grant) && !l.floor(s).plus(need).within(l.usable(s))
}

func (l *Ledger) isGone(pool string, now time.Time) bool {
	since, ok := l.gone[pool]
	return ok && now.Sub(since) >= l.goneAfter
}

// cleanUp sets the urgency of a write if the document has grants of pools that are gone, or an
// old quota, or is of no use any more.
func (l *Ledger) cleanUp(s *space, w *Write, now time.Time) {
	for pool := range s.doc.Pools {
		if l.isGone(pool, now) {
			w.urgency = returnsToWaiting
			return
		}
	}
	if !w.part.none() && s.doc.Quota != s.quota && s.version > s.doc.Version {
		w.urgency = cleansUp
		return
	}
	keep := emptyTimeOthers
	if s.doc.Writer == l.pool {
		keep = emptyTime
	}
	if len(s.doc.Pools) == 0 && w.part.none() && now.Sub(s.readAt) >= keep {
		w.urgency, w.Remove = cleansUp, true
	}
}

// overQuota reports whether the grants are more than the quota.
func (l *Ledger) overQuota(s *space) bool {
	return !s.others(l.pool).plus(s.part(l.pool).Grant).limitedBy(s.quota).within(s.quota)
}

func (l *Ledger) othersWait(s *space, now time.Time) bool {
	if s.doc == nil {
		return false
	}
	for pool := range s.doc.Pools {
		if pool != l.pool && s.waits(pool, now) {
			return true
		}
	}
	return false
}

// nextPart returns what the document is to have for this pool. Load pattern: demand that moves
// from pool to pool within seconds, while their sum is near the quota.
func (l *Ledger) nextPart(s *space, cur part, now time.Time) part {
	floor, want := l.floor(s), s.want.limitedBy(s.quota)
	free := s.quota.minus(s.others(l.pool)).minus(floor).limitedBy(s.quota)
	out := part{Grant: floor}
	room := free.max(amount{})
	switch {
	case l.yields(s, now):
	case !s.alone.none():
		out.Alone = true
		if floor.none() && s.others(l.pool).none() {
			out.Grant = s.alone
		}
		return out
	case room != free: // the sum is above the quota
	case !s.first.none() && l.othersWait(s, now):
		out.Grant = floor.plus(s.first.min(room))
	case l.othersWait(s, now):
		out.Grant = floor.plus(l.share(s, floor, room, want, now))
	default:
		out.Grant = s.grantUnshared(cur.Grant.limitedBy(s.quota), floor, want, room)
	}
	if s.doc != nil && (len(s.doc.Pools) > 1 || s.doc.Pools[l.pool].none() && len(s.doc.Pools) > 0) {
		out.Waits = floor.plus(want).minus(out.Grant).max(amount{}).limitedBy(s.quota)
	}
	if !s.first.none() && !floor.plus(s.first).within(out.Grant) {
		out.First = s.firstSince
	}
	return out
}

// grantUnshared returns the grant of a pool while no other waits. It changes only if waiting
// work doesn't fit, or a part was unused.
func (s *space) grantUnshared(cur, floor, want, room amount) amount {
	spare := s.quota.dividedBy(headroomDivisor)
	if need := floor.plus(want); !need.within(cur) {
		grown := room.min(want)
		headroom := room.minus(grown).dividedBy(2).min(spare)
		return floor.plus(grown).plus(headroom).max(cur.min(floor.plus(room)))
	}
	keep := s.peak.max(s.lastPeak).limitedBy(s.quota)
	if !keep.none() {
		keep = keep.plus(spare)
	}
	if !cur.within(keep.plus(spare)) || keep.none() {
		return keep.min(cur).max(floor)
	}
	return cur.min(floor.plus(room))
}

// share returns what this pool may take of the room while others wait as well: what brings the
// waiting pools to the same level, limited by what each needs. If the next subtask doesn't
// fit in that, the pool with the smallest grant may take all that it needs, and others only
// what is left.
func (l *Ledger) share(s *space, floor, room, want amount, now time.Time) amount {
	if want.none() {
		return amount{}
	}
	level, lowest := l.level(s, floor.plus(want), now)
	rise := level.minus(floor).max(amount{}).min(room)
	switch {
	case s.next.within(rise):
		return want.min(rise)
	case lowest:
		return want.min(room)
	default:
		var needs amount
		for pool, p := range s.doc.Pools {
			if pool != l.pool && s.waits(pool, now) {
				needs = needs.plus(p.Waits)
			}
		}
		return want.min(room.minus(needs).max(amount{}))
	}
}

// level returns the grant at which this pool and the others that wait have the same, limited by
// their needs, and whether none of them has a smaller grant.
func (l *Ledger) level(s *space, need amount, now time.Time) (amount, bool) {
	total, lowest := s.quota, true
	mine := s.part(l.pool).Grant.part(s.quota)
	var needs []amount
	for pool, p := range s.doc.Pools {
		if pool == l.pool {
			continue
		}
		if !s.waits(pool, now) {
			total = total.minus(p.Grant)
			continue
		}
		needs = append(needs, p.Grant.plus(p.Waits))
		if other := p.Grant.part(s.quota); other < mine || other == mine && pool < l.pool {
			lowest = false
		}
	}
	one := func(total, need int, field func(amount) int) int {
		list := make([]int, len(needs))
		for i, n := range needs {
			list[i] = field(n)
		}
		return fairPart(total, need, list)
	}
	return amount{
		CPU: one(total.CPU, need.CPU, func(a amount) int { return a.CPU }),
		Mem: one(total.Mem, need.Mem, func(a amount) int { return a.Mem }),
		GPU: one(total.GPU, need.GPU, func(a amount) int { return a.GPU }),
	}, lowest
}

// fairPart returns the part of a total for one need beside others, by max-min fairness.
func fairPart(total, need int, others []int) int {
	slices.Sort(others)
	for i, other := range others {
		equal := total / (len(others) - i + 1)
		if need <= equal || other >= equal {
			return max(min(need, equal), 0)
		}
		total -= other
	}
	return max(min(need, total), 0)
}

// Confirmed records that the store has carried out the write under way, at a revision.
func (l *Ledger) Confirmed(rev int64, now time.Time) {
	for _, w := range l.take() {
		s := l.spaces[w.workspace]
		if w.Remove {
			s.mine = amount{}
			if rev > s.seen {
				s.remove(rev, now)
			}
			continue
		}
		s.turn = amount{}
		if !w.part.Grant.within(s.mine) {
			s.turn = w.part.Grant.minus(l.floor(s)).max(amount{})
		}
		s.mine = w.part.Grant
		if rev > s.seen {
			s.set(w.doc, rev, now)
		}
		s.forget(rev)
	}
	l.batch, l.conflicts = min(l.batch+2, MaxWrites), 0
}

// Rejected applies the documents that the store has instead of those which the write under way
// was to replace. The owner has been in charge when they were read.
func (l *Ledger) Rejected(items []plat.Item, now time.Time) error {
	found := make(map[string]plat.Item, len(items))
	for _, it := range items {
		found[it.Key] = it
	}
	var err error
	for _, w := range l.take() {
		s := l.spaces[w.workspace]
		it, ok := found[w.Key]
		if !ok || it.Rev == 0 {
			s.mine = amount{}
			if s.rev <= w.Rev { // else a document that is later than the conflict is known already
				s.doc, s.rev = nil, 0
				clear(s.changedAt)
			}
			s.uncertain = slices.DeleteFunc(s.uncertain, func(a attempt) bool { return a.base > 0 })
			continue
		}
		if e := l.Apply(it, now); e != nil {
			err = e
		}
		if s.rev == it.Rev {
			s.mine = s.part(l.pool).Grant
		}
	}
	l.batch = max(l.batch*2/3, minBatch)
	if l.conflicts++; l.conflicts > 1 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(l.pool))
		l.limiter.ReserveN(now, int(h.Sum32()%writeUnits))
	}
	return err
}

// Unanswered records that the write under way may be carried out, also later.
func (l *Ledger) Unanswered() {
	for _, w := range l.take() {
		s := l.spaces[w.workspace]
		s.uncertain = append(s.uncertain, attempt{w.Rev, w.part.Grant})
		if n := len(s.uncertain); n > 1 && s.uncertain[n-2].base == w.Rev {
			s.uncertain[n-2].grant = s.uncertain[n-2].grant.min(w.part.Grant)
			s.uncertain = s.uncertain[:n-1]
		}
	}
}

func (l *Ledger) take() []Write {
	w := l.inFlight
	l.inFlight = nil
	return w
}
