package entry

import (
	"context"
	"time"

	"shallotpaddle/carry"
	"shallotpaddle/conf"
	"shallotpaddle/eject"
	"shallotpaddle/maint"
	"shallotpaddle/moves"
	"shallotpaddle/note"
	"shallotpaddle/peers"
	"shallotpaddle/permit"
	"shallotpaddle/place"
	"shallotpaddle/plat"
	"shallotpaddle/table"
)

// system is one decision that runs over the tables each tick.
type system interface {
	Tick(t *table.Tables, now time.Time, out []table.Change) []table.Change
}

// loop owns the control state of an entry.
type loop struct {
	entry   *Entry
	tables  *table.Tables
	members *peers.Members
	systems []system
	changes []table.Change // reused each tick

	// listed is the platform's last list of hosts, by name.
	listed map[string]plat.Host
	// heads, places and outs hold the documents as last decoded, by key.
	heads  map[string]parsed[note.Head]
	places map[string]parsed[place.Doc]
	outs   map[string]parsed[permit.Doc]
	// docs are the placement and outage documents in force here.
	docs carry.Docs
	// marks holds, for each host out of service or marked, the documents'
	// revisions that every entry must have in force before anybody relies on it.
	marks map[string][]mark
	// versions and hash are those of the documents in force for traffic here.
	versions map[string]int64
	hash     uint64
	// owners holds the entry that carries each pool's duties, by pool name.
	owners map[string]string
	// flying holds the changes that are being carried out.
	flying map[flight]struct{}
	// late holds since when a pool's queue delay has exceeded its targets.
	late     map[string]time.Time
	words    map[string]peers.Word // of owned hosts that are not simply healthy
	asked    map[string]time.Time  // when each host was last probed from here
	dirty    bool                  // documents or lists changed since the last view
	progress progress
	nextBeat time.Time
	nextScan time.Time
	nextRun  time.Time
}

// mark is a revision of one document.
type mark struct {
	key string
	rev int64
}

// flight names a change that is being carried out.
type flight struct {
	kind table.ChangeKind
	host table.HostID
}

func newLoop(e *Entry) *loop {
	return &loop{
		entry: e, tables: table.New(), members: peers.NewMembers(e.Name()), systems: newSystems(e.set.Hosts()),
		listed: map[string]plat.Host{}, heads: map[string]parsed[note.Head]{},
		places: map[string]parsed[place.Doc]{}, outs: map[string]parsed[permit.Doc]{},
		marks: map[string][]mark{}, versions: map[string]int64{}, flying: map[flight]struct{}{},
		late: map[string]time.Time{}, words: map[string]peers.Word{},
		asked: map[string]time.Time{}, owners: map[string]string{}, dirty: true,
	}
}

func newSystems(set conf.Hosts) []system {
	m := maint.DefaultSettings()
	m.FailAfter, m.GoneAfter = set.Fail.Std(), set.Gone.Std()
	m.ReturnAfter, m.Probation = set.Return.Std(), set.Probation.Std()
	v := moves.DefaultSettings()
	v.LendAfter = set.Lend.Std()
	return []system{maint.New(m), moves.New(v), eject.New(eject.DefaultSettings())}
}

// run applies messages and ticks until ctx ends.
func (l *loop) run(ctx context.Context) error {
	tick := l.entry.clock.NewTicker(l.entry.set.Limits().Tick.Std())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.entry.messages:
			m.apply(l)
		case <-l.entry.docs.Changed():
			l.dirty = true
			l.refresh()
		case <-tick.C:
			l.tick(ctx)
		}
	}
}

// tick runs the systems and, at their intervals, heartbeats and probes.
func (l *loop) tick(ctx context.Context) {
	now := l.entry.clock.Now()
	l.refresh()
	if !now.Before(l.nextScan) {
		l.nextScan = now.Add(scanEvery)
		l.scan(ctx, now)
	}
	if !now.Before(l.nextBeat) {
		l.nextBeat = now.Add(l.beat(ctx, now))
	}
	if !now.Before(l.nextRun) {
		l.nextRun = now.Add(runEvery)
		l.runSystems(now)
	}
}

// runEvery is the interval at which the systems run. What they go by changes
// with probes and documents, which are slower.
const runEvery = 200 * time.Millisecond

// runSystems lets the systems decide and hands on what they decided. Nothing is
// decided while the view of the store may be old.
func (l *loop) runSystems(now time.Time) {
	if !l.trusted(now) {
		return
	}
	l.changes = l.changes[:0]
	for _, s := range l.systems {
		l.changes = s.Tick(l.tables, now, l.changes)
	}
	for i := range l.changes {
		l.dispatch(&l.changes[i])
	}
}

// trusted tells whether contact with the store has held for long enough that
// every entry which lost it has stopped or come back.
func (l *loop) trusted(now time.Time) bool {
	since := l.entry.docs.ContactSince()
	if since.IsZero() || l.tables.Config().Rev == 0 {
		return false
	}
	return now.Sub(since) >= l.entry.settle()
}

// scan collects what traffic has seen and starts the probes of owned hosts.
func (l *loop) scan(ctx context.Context, now time.Time) {
	l.members.Forget(now, memory)
	l.own(now)
	l.outcomes()
	l.demand(now)
	l.measure()
	l.acks(now)
	l.share(now)
	l.startProbes(ctx)
	l.dirty = true
}

// own spreads the pools' duties over the live entries.
func (l *loop) own(now time.Time) {
	live := l.members.Live(now, liveTime)
	for id := range table.PoolID(l.tables.Pools()) {
		name := l.poolName(id)
		l.owners[name] = owner(name, live)
		l.tables.SetOwned(id, l.owners[name] == l.entry.Name())
	}
}

// outcomes adds the task ends since the last scan to the host rows.
func (l *loop) outcomes() {
	for id := range table.HostID(l.tables.Hosts()) {
		l.tables.AddOutcomes(id, outcomeKeep, 0, 0)
	}
	l.entry.router.CollectOutcomes(func(host string, good, bad float64) {
		if id := l.tables.HostByName(host); id != table.None {
			l.tables.AddOutcomes(id, 1, good, bad)
		}
	})
}
