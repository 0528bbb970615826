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

	// hostList is the platform's last list of hosts, by name.
	hostList map[string]plat.Host
	// heads, places and outs hold the documents as last decoded, by key.
	heads   map[string]decodedDoc[note.Head]
	places  map[string]decodedDoc[place.Doc]
	outages map[string]decodedDoc[permit.Doc]
	// docs are the placement and outage documents in force here.
	docs carry.Docs
	// closingRevs holds, for each host out of service or marked, the documents'
	// revisions that every entry must have in force before anybody relies on it.
	closingRevs map[string][]docRev
	// versions and hash are those of the documents in force for traffic here.
	versions map[string]int64
	hash     uint64
	// poolOwners holds the entry that carries each pool's duties, by pool name.
	poolOwners map[string]string
	// inFlight holds the changes that are being carried out.
	inFlight map[changeID]struct{}
	// lateSince holds since when a pool's queue delay has exceeded its targets.
	lateSince     map[string]time.Time
	hostReports   map[string]peers.Word // of owned hosts that are not simply healthy
	lastProbed    map[string]time.Time  // when each host was last probed from here
	dirty         bool                  // documents or lists changed since the last view
	progress      rolloutProgress
	nextHeartbeat time.Time
	nextScan      time.Time
	nextDecision  time.Time
}

// docRev is a revision of one document.
type docRev struct {
	key string
	rev int64
}

// changeID names a change that is being carried out.
type changeID struct {
	kind table.ChangeKind
	host table.HostID
}

func newLoop(e *Entry) *loop {
	return &loop{
		entry: e, tables: table.New(), members: peers.NewMembers(e.Name()), systems: newSystems(e.settings.Hosts()),
		hostList: map[string]plat.Host{}, heads: map[string]decodedDoc[note.Head]{},
		places: map[string]decodedDoc[place.Doc]{}, outages: map[string]decodedDoc[permit.Doc]{},
		closingRevs: map[string][]docRev{}, versions: map[string]int64{}, inFlight: map[changeID]struct{}{},
		lateSince: map[string]time.Time{}, hostReports: map[string]peers.Word{},
		lastProbed: map[string]time.Time{}, poolOwners: map[string]string{}, dirty: true,
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
	tick := l.entry.clock.NewTicker(l.entry.settings.Limits().Tick.Std())
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
		l.nextScan = now.Add(scanInterval)
		l.scan(ctx, now)
	}
	if !now.Before(l.nextHeartbeat) {
		l.nextHeartbeat = now.Add(l.sendHeartbeats(ctx, now))
	}
	if !now.Before(l.nextDecision) {
		l.nextDecision = now.Add(decisionInterval)
		l.runSystems(now)
	}
}

// decisionInterval is the interval at which the systems run. What they go by changes
// with probes and documents, which are slower.
const decisionInterval = 200 * time.Millisecond

// runSystems lets the systems decide and hands on what they decided. Nothing is
// decided while the view of the store may be old.
func (l *loop) runSystems(now time.Time) {
	if !l.storeContactSettled(now) {
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

// storeContactSettled tells whether contact with the store has held for long enough that
// every entry which lost it has stopped or come back.
func (l *loop) storeContactSettled(now time.Time) bool {
	since := l.entry.docs.ContactSince()
	if since.IsZero() || l.tables.Config().Rev == 0 {
		return false
	}
	return now.Sub(since) >= l.entry.minContact()
}

// scan collects what traffic has seen and starts the probes of owned hosts.
func (l *loop) scan(ctx context.Context, now time.Time) {
	l.members.Forget(now, memberRetention)
	l.assignOwners(now)
	l.addOutcomes()
	l.updateDemand(now)
	l.addIdleHosts()
	l.updateAcks(now)
	l.setStoreRates(now)
	l.startProbes(ctx)
	l.dirty = true
}

// assignOwners spreads the pools' duties over the live entries.
func (l *loop) assignOwners(now time.Time) {
	live := l.members.Live(now, heartbeatTimeout)
	for id := range table.PoolID(l.tables.Pools()) {
		name := l.poolName(id)
		l.poolOwners[name] = poolOwner(name, live)
		l.tables.SetOwned(id, l.poolOwners[name] == l.entry.Name())
	}
}

// addOutcomes adds the task ends since the last scan to the host rows.
func (l *loop) addOutcomes() {
	for id := range table.HostID(l.tables.Hosts()) {
		l.tables.AddOutcomes(id, outcomeDecay, 0, 0)
	}
	l.entry.router.CollectOutcomes(func(host string, good, bad float64) {
		if id := l.tables.HostByName(host); id != table.None {
			l.tables.AddOutcomes(id, 1, good, bad)
		}
	})
}
