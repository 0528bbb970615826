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

// system decides on changes from the tables, such as maintenance or moves of
// hosts. Tick appends them to out.
type system interface {
	Tick(t *table.Tables, now time.Time, out []table.Change) []table.Change
}

// loop is the control loop of an entry and owns its control state.
type loop struct {
	entry   *Entry
	tables  *table.Tables
	members *peers.Members
	systems []system
	changes []table.Change // buffer of runSystems, reused

	// hostList is the last list of hosts read from the platform, by name.
	hostList map[string]plat.Host
	// configDocs, places and outages cache the decoded documents, by key.
	configDocs map[string]decodedDoc[note.ConfigDoc]
	places     map[string]decodedDoc[place.Doc]
	outages    map[string]decodedDoc[permit.Doc]
	// docs holds the placement and outage documents in force at this entry.
	docs carry.Docs
	// closingRevs holds, for each host that is out of service or marked to be moved,
	// the revisions of documents that every entry must have in force before the
	// host may be rebooted or moved.
	closingRevs map[string][]docRev
	// versions holds the revisions of the documents that the router's view was built
	// from, by key; hash is their hash.
	versions map[string]int64
	hash     uint64
	// poolOwners holds the entry that probes and decides for each pool, by pool name.
	poolOwners map[string]string
	// inFlight holds the changes that are being carried out.
	inFlight map[changeID]struct{}
	// lateSince holds the time since which a pool's predicted queue delay has exceeded
	// its shortest target, by pool name.
	lateSince     map[string]time.Time
	hostReports   map[string]peers.HostReport // owned hosts that are unhealthy or leaving, by name
	lastProbed    map[string]time.Time        // last probe of each host by this entry
	probed        bool                        // the pools were probed since the start
	dirty         bool                        // the tables or documents changed since the last view
	progress      rolloutProgress
	nextHeartbeat time.Time
	nextScan      time.Time
	nextDecision  time.Time
}

// docRev is a document's key with a revision.
type docRev struct {
	key string
	rev int64
}

// changeID identifies a change that is being carried out: one of each kind and
// host at a time.
type changeID struct {
	kind table.ChangeKind
	host table.HostID
}

func newLoop(e *Entry) *loop {
	return &loop{
		entry: e, tables: table.New(), members: peers.NewMembers(e.Name()), systems: newSystems(e.settings.Hosts()),
		hostList: map[string]plat.Host{}, configDocs: map[string]decodedDoc[note.ConfigDoc]{},
		places: map[string]decodedDoc[place.Doc]{}, outages: map[string]decodedDoc[permit.Doc]{},
		closingRevs: map[string][]docRev{}, versions: map[string]int64{}, inFlight: map[changeID]struct{}{},
		lateSince: map[string]time.Time{}, hostReports: map[string]peers.HostReport{},
		lastProbed: map[string]time.Time{}, poolOwners: map[string]string{}, dirty: true,
	}
}

func newSystems(settings conf.Hosts) []system {
	m := maint.DefaultSettings()
	m.FailAfter, m.GoneAfter = settings.FailAfter.Std(), settings.UnlistedFailAfter.Std()
	m.ReturnAfter, m.Probation = settings.RecoveryTime.Std(), settings.ProbationTime.Std()
	v := moves.DefaultSettings()
	v.LendAfter = settings.LendAfter.Std()
	return []system{maint.New(m), moves.New(v), eject.New(eject.DefaultSettings())}
}

// run applies messages and document changes and calls tick, until ctx ends.
func (l *loop) run(ctx context.Context) error {
	tick := l.entry.clock.NewTicker(l.entry.settings.Limits().TickInterval.Std())
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

// tick loads what has changed and runs the scan, the heartbeats and the systems
// when they are due.
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

// decisionInterval is the interval at which the systems run. Their inputs, probes
// and documents, change less often.
const decisionInterval = 200 * time.Millisecond

// runSystems runs the systems and dispatches the changes that they decide on. It
// does nothing while the documents may be stale.
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

// storeContactSettled tells whether contact with the store has been unbroken for
// long enough that every entry which lost it has stopped dispatching or has
// reconnected.
func (l *loop) storeContactSettled(now time.Time) bool {
	since := l.entry.docs.ContactSince()
	if since.IsZero() || l.tables.Config().Rev == 0 {
		return false
	}
	return now.Sub(since) >= l.entry.minContact()
}

// scan updates owners, task outcomes, demand, acknowledgements and store rates,
// and starts the probes that are due.
func (l *loop) scan(ctx context.Context, now time.Time) {
	l.members.RemoveSilent(now, memberRetention)
	l.assignOwners(now)
	l.addOutcomes()
	l.updateDemand(now)
	l.addIdleHosts()
	l.updateAcks(now)
	l.setStoreRates(now)
	l.startProbes(ctx)
	l.dirty = true
}

// assignOwners assigns an owner among the live entries to each pool.
func (l *loop) assignOwners(now time.Time) {
	live := l.members.Live(now, heartbeatTimeout)
	for id := range table.PoolID(l.tables.Pools()) {
		name := l.poolName(id)
		l.poolOwners[name] = poolOwner(name, live)
		l.tables.SetOwned(id, l.poolOwners[name] == l.entry.Name())
	}
}

// addOutcomes adds the counts of good and bad task ends since the last scan to the
// host rows, after it has decayed the earlier counts.
func (l *loop) addOutcomes() {
	for id := range table.HostID(l.tables.Hosts()) {
		l.tables.AddTaskOutcomes(id, outcomeDecay, 0, 0)
	}
	l.entry.router.CollectOutcomes(func(host string, good, bad float64) {
		if id := l.tables.HostByName(host); id != table.None {
			l.tables.AddTaskOutcomes(id, 1, good, bad)
		}
	})
}
