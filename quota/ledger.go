// Package quota keeps the account of what workspaces may have running over all pools. For
// each workspace, the store holds one document with a grant for each pool. A ledger is the view
// that the owner of one pool has of all documents. It does no I/O; the owner makes its writes.
package quota

import (
	"cmp"
	"math"
	"time"

	"golang.org/x/time/rate"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/policy"
)

const (
	// applyTime is how long after an operator's write an older configuration may be in force
	// at some entry.
	applyTime = 3 * time.Second
	// firstQuotaTime is how long starts wait when a workspace that was not limited gets a quota:
	// until the owner of each pool, which may just have been lost, has read what its workers run and
	// entered it. An election takes 2 s, a worker that doesn't answer up to 5 s.
	firstQuotaTime = applyTime + 7*time.Second
	// writesPerSecond limits the writes of one owner.
	writesPerSecond = 10
	// peakPeriod is half of the time for which a part of a grant is kept without use.
	peakPeriod = time.Second
	// headroomDivisor is the divisor of a quota that gives the headroom of a grant.
	headroomDivisor = 8
	// beatInterval is how often a waiting pool renews its part, and waitLimit the age from
	// which on a part that wasn't renewed no longer counts as waiting: its pool has no owner.
	beatInterval = 2 * time.Second
	waitLimit    = 5 * time.Second
	// waitedTime is how long a pool goes on being shown as waiting: work that waits for moments only
	// would cost two writes each time.
	waitedTime = 250 * time.Millisecond
	// emptyTime is how long a document without grants is kept by the pool that wrote it last, and
	// emptyTimeOthers by the other pools.
	emptyTime       = 10 * time.Second
	emptyTimeOthers = time.Minute
)

// Ledger is the account of one pool's owner. It is not safe for concurrent use.
type Ledger struct {
	pool      string
	goneAfter time.Duration
	version   *policy.Version
	setAt     time.Time         // when the version was set
	spaces    map[string]*space // by workspace
	byKey     map[string]*space
	active    bool   // some workspace has a quota
	known     bool   // this pool's own grants have been read
	takeover  bool   // an earlier owner's runs may be unread
	counting  bool   // the use is being counted, nothing starts
	unread    amount // capacity of the workers on which they may be
	gone      map[string]time.Time
	limiter   *rate.Limiter
	inFlight  []Write
	batch     int
	conflicts int // writes in a row that others' came before
}

// space is the account of one workspace.
type space struct {
	name string
	// quota is that of the configuration with the number version: the last one that had the
	// workspace, as far as it is known.
	quota   amount
	version int64
	// doc is nil if there is none. rev is its revision, and seen the latest revision read.
	doc       *document
	rev, seen int64
	readAt    time.Time
	// changedAt has when the part of each pool last changed.
	changedAt map[string]time.Time
	// mine is the grant of this pool that is proved, and inherited that of the earlier owner.
	mine, inherited amount
	// uncertain has the writes without an answer, by the revision that they replace.
	uncertain []attempt
	// used, want, next and alone are of the current pass: what runs, what waits for quota, the first
	// demand that waits, and the first that is larger than the quota.
	used, want, next, alone amount
	// first is a demand of this pass that starves, and firstSince since when, in Unix milliseconds.
	first      amount
	firstSince int64
	// level is the most that may run here, if shared, as others wait and have smaller grants.
	level amount
	// turn is what this pool was granted while others waited, and has not started yet. It may
	// start that although it has the larger grant by then.
	turn           amount
	shared         bool
	peak, lastPeak amount
	peakSince      time.Time
	// beatAt is when the document was last written, and waitedAt when something last waited.
	beatAt, waitedAt time.Time
	// verify has the times from which on nothing starts until the documents were listed anew, in
	// order. Each change has its own: a later one doesn't put off what an earlier one needs.
	verify []time.Time
	// firstQuota is the one of them until which other pools may have runs that are not in the
	// document, and nothing starts before either; zero for none.
	firstQuota time.Time
}

type attempt struct {
	base  int64
	grant amount
}

// New returns the ledger of a pool's owner. goneAfter is how long after a pool has left the
// configuration its runs have ended. takeover tells that there were earlier owners.
func New(pool string, goneAfter time.Duration, takeover bool) *Ledger {
	return &Ledger{
		pool: pool, goneAfter: goneAfter, takeover: takeover, spaces: map[string]*space{}, byKey: map[string]*space{}, gone: map[string]time.Time{},
		unread:  amount{math.MaxInt, math.MaxInt, math.MaxInt}, // until it is known
		limiter: rate.NewLimiter(writesPerSecond*writeUnits, writesPerSecond*writeUnits), batch: MaxWrites,
	}
}

func (l *Ledger) space(name string) *space {
	s := l.spaces[name]
	if s == nil {
		s = &space{name: name, changedAt: map[string]time.Time{}}
		l.spaces[name], l.byKey[Key(name)] = s, s
		l.setKnown(s)
	}
	return s
}

// setKnown sets the quota of a workspace that is new to the ledger by the configurations that the
// process has had.
func (l *Ledger) setKnown(s *space) {
	if l.version == nil {
		return
	}
	if w, ok := l.version.Workspace(s.name); ok {
		s.quota, s.version = of(w.Quota), l.version.Number
		return
	}
	w, number, ok := l.version.Former(s.name)
	if !ok {
		return
	}
	s.quota, s.version = of(w.Quota), number
	if until := w.LimitedAt.Add(firstQuotaTime); !w.LimitedAt.IsZero() && until.After(l.setAt) {
		s.verifyFirst(until)
	}
}

func (l *Ledger) workspace(name string) (*policy.Workspace, bool) {
	if l.version == nil {
		return nil, false
	}
	return l.version.Workspace(name)
}

// Active reports whether some workspace has a quota.
func (l *Ledger) Active() bool { return l.active }

// NeedsList reports whether the documents are to be listed.
func (l *Ledger) NeedsList(now time.Time) bool {
	if !l.active {
		return false
	}
	for _, s := range l.spaces {
		if s.verifyDue(now) {
			return true
		}
	}
	return !l.known
}

// Listed applies a list of all documents that was asked for at begun, and is of a revision of the
// store. proven tells that the owner was in charge after it.
func (l *Ledger) Listed(items []plat.Item, rev int64, proven bool, begun, now time.Time) error {
	listed := make(map[string]bool, len(items))
	var err error
	for _, it := range items {
		listed[it.Key] = true
		if e := l.Apply(it, now); e != nil {
			err = e
		}
	}
	first := !l.known && proven
	l.known = l.known || proven
	for _, s := range l.spaces {
		if !listed[Key(s.name)] && rev > s.seen {
			s.remove(rev, now)
		}
		if first {
			s.mine = s.part(l.pool).Grant
			s.inherited = s.mine
		}
		s.verified(begun)
	}
	return err
}

// Apply applies a document, or its removal. One that can't be read is an error: it counts as
// empty, and nothing starts for its workspace until all owners have entered their use.
func (l *Ledger) Apply(it plat.Item, now time.Time) error {
	if it.Deleted {
		if s := l.byKey[it.Key]; s != nil && it.Rev > s.seen {
			s.remove(it.Rev, now)
		}
		return nil
	}
	d, err := decode(it.Key, it.Value)
	if err != nil {
		if s := l.byKey[it.Key]; s != nil && it.Rev > s.seen {
			s.set(&document{Workspace: s.name}, it.Rev, now)
			s.verifyFirst(now.Add(firstQuotaTime))
		}
		return err
	}
	s := l.space(d.Workspace)
	if it.Rev <= s.seen {
		return nil
	}
	s.set(d, it.Rev, now)
	if _, ok := l.workspace(s.name); !ok && d.Version >= s.version {
		if l.known {
			s.noteChange(d.Quota, now)
		}
		s.quota, s.version = d.Quota, d.Version
	}
	if l.version != nil {
		l.notePools(now)
	}
	return nil
}

// set takes over a document of a later revision. Writes that replace an earlier one can't be
// carried out any more.
func (s *space) set(d *document, rev int64, now time.Time) {
	for pool, p := range d.Pools {
		if p != s.part(pool) || s.doc == nil {
			s.changedAt[pool] = now
		}
	}
	s.doc, s.rev, s.seen, s.readAt = d, rev, rev, now
	s.forget(rev)
}

func (s *space) remove(rev int64, now time.Time) {
	s.doc, s.rev, s.seen, s.readAt = nil, 0, rev, now
	clear(s.changedAt)
	s.forget(rev)
}

func (s *space) forget(rev int64) {
	kept := s.uncertain[:0]
	for _, a := range s.uncertain {
		if a.base >= rev {
			kept = append(kept, a)
		}
	}
	s.uncertain = kept
}

func (s *space) part(pool string) part {
	if s.doc == nil {
		return part{}
	}
	return s.doc.Pools[pool]
}

// others returns the grants of the other pools.
func (s *space) others(pool string) amount {
	var sum amount
	if s.doc != nil {
		for name, p := range s.doc.Pools {
			if name != pool {
				sum = sum.plus(p.Grant)
			}
		}
	}
	return sum
}

// Concerns reports whether this pool has use of a document, or waits for it.
func (l *Ledger) Concerns(key string) bool {
	s := l.byKey[key]
	return s != nil && (!s.used.none() || !s.want.none() || !s.alone.none() || !s.part(l.pool).none())
}

// BeginPass begins to count waiting work anew, once the use has been counted.
func (l *Ledger) BeginPass(now time.Time) {
	for _, s := range l.spaces {
		s.want, s.next, s.alone, s.shared = amount{}, amount{}, amount{}, false
		s.first, s.firstSince = amount{}, 0
		if !l.active || s.doc == nil || !l.othersWait(s, now) {
			continue
		}
		floor := l.floor(s)
		level, lowest := l.level(s, s.quota, now)
		s.shared, s.level = !lowest, level.max(floor.plus(s.turn))
	}
	l.counting = false
}

// BeginCount begins to count use anew. unread is the capacity of the workers that may have runs
// of an earlier owner; without takeover there are none.
func (l *Ledger) BeginCount(takeover bool, unread hosts.Resources) {
	l.takeover, l.unread, l.counting = l.takeover && takeover, of(unread), true
	for _, s := range l.spaces {
		s.used = amount{}
	}
}

// Use adds a run to the use of a workspace.
func (l *Ledger) Use(workspace string, demand hosts.Resources) {
	s := l.space(workspace)
	s.used = s.used.plus(of(demand))
	if !l.counting {
		s.turn = s.turn.minus(of(demand)).max(amount{})
	}
}

// floor returns what may be running in this pool.
func (l *Ledger) floor(s *space) amount {
	u := s.used
	if l.takeover {
		u = u.plus(s.inherited.min(l.unread))
	}
	return u.limitedBy(s.quota)
}

// usable returns the grant that certainly is this pool's, whichever writes are carried out.
func (l *Ledger) usable(s *space) amount {
	g := s.mine.min(s.part(l.pool).Grant)
	for _, a := range s.uncertain {
		g = g.min(a.grant)
	}
	for _, w := range l.inFlight {
		if w.workspace == s.name {
			g = g.min(w.part.Grant)
		}
	}
	return g
}

// limited returns the account of a workspace, or nil if nothing limits it.
func (l *Ledger) limited(workspace string) *space {
	if !l.active || workspace == "" {
		return nil
	}
	s := l.space(workspace)
	if s.quota.limitedBy(s.quota).none() {
		return nil
	}
	return s
}

// Fits reports whether a demand may start now: a subtask, or a whole gang.
func (l *Ledger) Fits(workspace string, demand hosts.Resources, gang bool, now time.Time) bool {
	return l.fits(workspace, demand, gang, false, now)
}

// FitsFirst does the same for a demand that starves, which needs to leave nothing to others.
func (l *Ledger) FitsFirst(workspace string, demand hosts.Resources, gang bool, now time.Time) bool {
	return l.fits(workspace, demand, gang, true, now)
}

func (l *Ledger) fits(workspace string, demand hosts.Resources, gang, first bool, now time.Time) bool {
	s := l.limited(workspace)
	if s == nil {
		_, configured := l.workspace(workspace)
		return l.known || configured || !l.active || workspace == "" // else its document may have a quota
	}
	d, floor := of(demand).limitedBy(s.quota), l.floor(s)
	switch {
	case !l.known, s.held(now), l.yields(s, now), !floor.plus(d).within(l.usable(s)):
		return false
	case !d.within(s.quota):
		// The grant was written for this while no other pool had any: what is known of others
		// may be old.
		return !gang && floor.none() && s.part(l.pool).Alone && s.others(l.pool).none()
	case !first && !floor.plus(s.first).plus(d).within(l.usable(s)):
		return false // the rest is kept
	case !first && s.shared && !floor.plus(d).within(s.level):
		return false
	default:
		return s.alone.none() && s.others(l.pool).plus(s.part(l.pool).Grant).limitedBy(s.quota).within(s.quota)
	}
}

// held reports whether other owners may have use that the known document lacks.
func (s *space) held(now time.Time) bool {
	return !s.firstQuota.IsZero() || s.verifyDue(now)
}

// Want adds a demand that waits for quota, and would find a host. It reports whether it can
// ever be granted.
func (l *Ledger) Want(workspace string, demand hosts.Resources, gang bool) bool {
	s := l.limited(workspace)
	if s == nil {
		return true
	}
	d := of(demand).limitedBy(s.quota)
	if !d.within(s.quota) {
		if gang {
			return false
		}
		if s.alone.none() {
			s.alone = d
		}
		return true
	}
	if s.next.none() {
		s.next = d
	}
	s.want = s.want.plus(d)
	return true
}

// WantFirst does the same for a demand that starves since a time. From then on nothing else starts in
// this pass that would leave too little for it, and other pools start nothing until the grant covers
// it. Load pattern: small subtasks that take each part of the quota as it becomes free.
func (l *Ledger) WantFirst(workspace string, demand hosts.Resources, gang bool, since time.Time) bool {
	if !l.Want(workspace, demand, gang) {
		return false
	}
	if s := l.limited(workspace); s != nil && s.alone.none() {
		s.first, s.firstSince = of(demand).limitedBy(s.quota), since.UnixMilli()
	}
	return true
}

// Possible reports whether a demand can ever be granted: a gang can't start in parts.
func (l *Ledger) Possible(workspace string, demand hosts.Resources, gang bool) bool {
	s := l.limited(workspace)
	return s == nil || !gang || of(demand).limitedBy(s.quota).within(s.quota)
}

// ExceedsPart reports whether a demand is larger than an equal part of the quota for each pool that
// has a grant or waits: as long as others go on, this pool may never get as much.
func (l *Ledger) ExceedsPart(workspace string, demand hosts.Resources) bool {
	s := l.limited(workspace)
	if s == nil || s.doc == nil {
		return false
	}
	pools := 1
	for pool, p := range s.doc.Pools {
		if pool != l.pool && (p.waiting() || !p.Grant.none()) {
			pools++
		}
	}
	return pools > 1 && !of(demand).limitedBy(s.quota).within(s.quota.dividedBy(pools))
}

// Wanted returns what waits for quota in this pass.
func (l *Ledger) Wanted(workspace string) hosts.Resources {
	if s := l.spaces[workspace]; s != nil {
		return hosts.Resources(s.want)
	}
	return hosts.Resources{}
}

// yields reports whether another pool has a subtask that is larger than the quota, so that all
// others have to end first, or one that starves. Of two pools with a larger one, that with the lower
// name goes first, of two with one that starves, the one that does so for longer.
func (l *Ledger) yields(s *space, now time.Time) bool {
	if s.doc == nil {
		return false
	}
	mine := s.part(l.pool)
	alone, first := mine.Alone || !s.alone.none(), cmp.Or(s.firstSince, mine.First)
	for pool, p := range s.doc.Pools {
		switch {
		case pool == l.pool || !s.waits(pool, now):
		case p.Alone:
			if !alone || pool < l.pool {
				return true
			}
		case p.First > 0 && !alone:
			if first == 0 || p.First < first || p.First == first && pool < l.pool {
				return true
			}
		}
	}
	return false
}

// waits reports whether another pool waits for more and has an owner.
func (s *space) waits(pool string, now time.Time) bool {
	return s.part(pool).waiting() && now.Sub(s.changedAt[pool]) <= waitLimit
}
