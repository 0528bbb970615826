package entry

import (
	"slices"
	"strings"
	"time"

	"shallotpaddle/cache"
	"shallotpaddle/carry"
	"shallotpaddle/note"
	"shallotpaddle/peers"
	"shallotpaddle/permit"
	"shallotpaddle/place"
	"shallotpaddle/plat"
	"shallotpaddle/table"
)

// refresh loads changed documents and lists into the tables, publishes a view and
// the status, and only then takes the documents' new versions for those in force.
func (l *loop) refresh() {
	if !l.dirty {
		return
	}
	l.dirty = false
	versions := l.entry.docs.Versions()
	l.loadConf()
	l.loadHosts()
	l.loadDocs()
	l.publish()
	l.versions, l.hash = versions, peers.HashVersions(versions)
}

func (l *loop) loadConf() {
	d, ok := l.entry.docs.Get(keyConf)
	if !ok {
		return
	}
	doc := decodeCached(l, l.configDocs, d, func(b []byte) (*note.ConfigDoc, error) { return decodeConfigDoc(b) })
	if doc == nil || doc.Config.Rev <= l.tables.Config().Rev {
		return
	}
	c := &doc.Config
	l.tables.SetConfig(c)
	l.entry.log.Info().Str("entry", l.entry.Name()).Int64("rev", c.Rev).Msg("configuration in force")
}

// loadHosts updates the host rows from the platform's list and the health reports.
func (l *loop) loadHosts() {
	for name, h := range l.hostList {
		id := l.tables.Upsert(name, h.DC, h.Rack, h.Addr)
		l.tables.SetListing(id, listing(h))
	}
	for id := range table.HostID(l.tables.Hosts()) {
		name := l.tables.Host(id).Name()
		if _, ok := l.hostList[name]; !ok {
			l.tables.SetListing(id, table.Absent)
		}
		if l.hostReports[name].Leaving {
			l.tables.SetListing(id, table.Leaving)
		}
	}
}

func listing(h plat.Host) table.Listing {
	if h.State == plat.StateLeaving {
		return table.Leaving
	}
	return table.Live
}

// loadDocs loads the placement and outage documents into the host rows. A host
// is closed, that is, gets no new work, while a document lists it as out of
// service or has a next pool for it.
func (l *loop) loadDocs() {
	docs := carry.Docs{Placements: map[string]*place.Doc{}, Outages: map[string]*permit.Doc{}}
	closedBy := map[string][]docRev{}
	l.entry.docs.Each(prefixPlacement, func(d cache.Doc) {
		doc := decodeCached(l, l.places, d, place.Decode)
		if doc == nil {
			return
		}
		docs.Placements[strings.TrimPrefix(d.Key(), prefixPlacement)] = doc
		for host, p := range doc.Hosts {
			if p.MoveTarget != "" {
				closedBy[host] = append(closedBy[host], docRev{d.Key(), d.Rev()})
			}
		}
	})
	l.entry.docs.Each(prefixOutage, func(d cache.Doc) {
		doc := decodeCached(l, l.outages, d, permit.Decode)
		if doc == nil {
			return
		}
		docs.Outages[strings.TrimPrefix(d.Key(), prefixOutage)] = doc
		for host := range doc.Outages {
			closedBy[host] = append(closedBy[host], docRev{d.Key(), d.Rev()})
		}
	})
	l.docs = docs
	carry.Load(l.tables, docs)
	l.setClosingRevs(closedBy)
}

// decodedDoc is the content of a document at one revision; doc is nil if it could
// not be decoded.
type decodedDoc[T any] struct {
	rev int64
	doc *T
}

// decodeCached returns a document's content and decodes each revision only once;
// known caches the contents by key. It returns nil if the document can't be
// decoded.
func decodeCached[T any](l *loop, known map[string]decodedDoc[T], d cache.Doc, decode func([]byte) (*T, error)) *T {
	if p, ok := known[d.Key()]; ok && p.rev == d.Rev() {
		return p.doc
	}
	doc, err := decode(d.Body())
	if err != nil {
		l.logUndecodable(d, err)
		doc = nil
	}
	known[d.Key()] = decodedDoc[T]{rev: d.Rev(), doc: doc}
	return doc
}

func (l *loop) logUndecodable(d cache.Doc, err error) {
	l.entry.log.Error().Str("key", d.Key()).Err(err).Msg("could not decode document; ignoring it")
}

// setClosingRevs records, for each closed host, the earliest revision of each
// document in which this entry saw it closed. closedBy holds the present
// revisions, by host.
func (l *loop) setClosingRevs(closedBy map[string][]docRev) {
	for host := range l.closingRevs {
		if closedBy[host] == nil {
			delete(l.closingRevs, host)
			if id := l.tables.HostByName(host); id != table.None {
				l.tables.SetDrainAcked(id, false)
			}
		}
	}
	for host, revs := range closedBy {
		l.closingRevs[host] = withEarliestRevs(l.closingRevs[host], revs)
	}
}

// withEarliestRevs returns current with the earlier of the two revisions for each
// key that is also in known.
func withEarliestRevs(known, current []docRev) []docRev {
	for i := range current {
		for _, r := range known {
			if r.key == current[i].key {
				current[i].rev = min(current[i].rev, r.rev)
			}
		}
	}
	return current
}

// updateAcks records which closed hosts every entry has acknowledged: it knows that
// they are closed and has no work left on them.
func (l *loop) updateAcks(now time.Time) {
	for host, revs := range l.closingRevs {
		if id := l.tables.HostByName(host); id != table.None {
			l.tables.SetDrainAcked(id, l.ackedByAll(now, host, revs))
		}
	}
}

// ackedByAll tells whether this entry and all others have acknowledged that a host
// is closed. An entry without heartbeats for unreachableTimeout is left out if it
// was stopping or this entry hears the majority of entries, unless it is still
// registered.
func (l *loop) ackedByAll(now time.Time, host string, revs []docRev) bool {
	if len(l.entry.router.RunningOn([]string{host})) > 0 {
		return false
	}
	for _, n := range l.entry.docs.Registered() {
		if n != l.entry.Name() && !l.ackedBy(n, host, revs) {
			return false
		}
	}
	for _, m := range l.members.All() {
		switch {
		case now.Sub(m.LastHeard()) >= unreachableTimeout && (m.Heartbeat().Stopping || majorityHeard(l.countEntries(now))):
		case !l.ackedBy(m.Name(), host, revs):
			return false
		}
	}
	return true
}

// ackedBy tells whether one entry has closed a host and has no work on it. It is
// false for an entry of which no heartbeat has arrived: while it is registered it
// may have work on the host, so the others wait until its registration expires.
func (l *loop) ackedBy(name, host string, revs []docRev) bool {
	m := l.members.Get(name)
	if m == nil || slices.Contains(m.Heartbeat().HostsInUse, host) {
		return false
	}
	for _, r := range revs {
		if !m.HasApplied(r.key, r.rev) {
			return false
		}
	}
	return true
}
