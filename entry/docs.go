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

// refresh takes changed documents into the tables, publishes a view and the
// status, and only then lets the new versions count as in force.
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
	l.versions, l.hash = versions, peers.Hash(versions)
}

func (l *loop) loadConf() {
	d, ok := l.entry.docs.Get(keyConf)
	if !ok {
		return
	}
	head := decodeCached(l, l.heads, d, func(b []byte) (*note.Head, error) { return decodeHead(b) })
	if head == nil || head.Config.Rev <= l.tables.Config().Rev {
		return
	}
	c := &head.Config
	l.tables.SetConfig(c)
	l.entry.log.Info().Str("entry", l.entry.Name()).Int64("rev", c.Rev).Msg("configuration in force")
}

// loadHosts brings the host rows in line with the platform's list.
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

// loadDocs reads the placement and outage documents into the host rows.
func (l *loop) loadDocs() {
	docs := carry.Docs{Places: map[string]*place.Doc{}, Outages: map[string]*permit.Doc{}}
	closed := map[string][]docRev{}
	l.entry.docs.Each(prefixPlacement, func(d cache.Doc) {
		doc := decodeCached(l, l.places, d, place.Decode)
		if doc == nil {
			return
		}
		docs.Places[strings.TrimPrefix(d.Key(), prefixPlacement)] = doc
		for host, p := range doc.Hosts {
			if p.Next != "" {
				closed[host] = append(closed[host], docRev{d.Key(), d.Rev()})
			}
		}
	})
	l.entry.docs.Each(prefixOutage, func(d cache.Doc) {
		doc := decodeCached(l, l.outages, d, permit.Decode)
		if doc == nil {
			return
		}
		docs.Outages[strings.TrimPrefix(d.Key(), prefixOutage)] = doc
		for host := range doc.Out {
			closed[host] = append(closed[host], docRev{d.Key(), d.Rev()})
		}
	})
	l.docs = docs
	carry.Load(l.tables, docs)
	l.setClosingRevs(closed)
}

// decodedDoc is a document decoded at one revision.
type decodedDoc[T any] struct {
	rev int64
	doc *T
}

// decodeCached returns a document's content, decoding each revision once. It is nil
// for a document that does not decode.
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
	l.entry.log.Error().Str("key", d.Key()).Err(err).Msg("document refused")
}

// setClosingRevs keeps, for each closed host, the first revision of each document
// that was seen to close it.
func (l *loop) setClosingRevs(closed map[string][]docRev) {
	for host := range l.closingRevs {
		if closed[host] == nil {
			delete(l.closingRevs, host)
			if id := l.tables.HostByName(host); id != table.None {
				l.tables.SetAcked(id, false)
			}
		}
	}
	for host, marks := range closed {
		l.closingRevs[host] = withEarliestRevs(l.closingRevs[host], marks)
	}
}

// withEarliestRevs returns now with the earlier revisions of the keys in old.
func withEarliestRevs(old, now []docRev) []docRev {
	for i := range now {
		for _, m := range old {
			if m.key == now[i].key {
				now[i].rev = min(now[i].rev, m.rev)
			}
		}
	}
	return now
}

// updateAcks records which closed hosts every entry knows as closed, with no work of
// its own left on them.
func (l *loop) updateAcks(now time.Time) {
	for host, marks := range l.closingRevs {
		if id := l.tables.HostByName(host); id != table.None {
			l.tables.SetAcked(id, l.ackedByAll(now, host, marks))
		}
	}
}

func (l *loop) ackedByAll(now time.Time, host string, marks []docRev) bool {
	if len(l.entry.router.RunningOn([]string{host})) > 0 {
		return false
	}
	for _, n := range l.entry.docs.Registered() {
		if n != l.entry.Name() && !l.ackedBy(n, host, marks) {
			return false
		}
	}
	for _, m := range l.members.All() {
		switch {
		case now.Sub(m.Heard()) >= unreachableTimeout && (m.Beat().Stopping || majorityHeard(l.countEntries(now))):
		case !l.ackedBy(m.Name(), host, marks):
			return false
		}
	}
	return true
}

// ackedBy tells whether one entry has closed a host and has no work on it. A
// registered entry that is not heard may be at work, so it is waited for until
// its registration ends.
func (l *loop) ackedBy(name, host string, marks []docRev) bool {
	m := l.members.Get(name)
	if m == nil || slices.Contains(m.Beat().Held, host) {
		return false
	}
	for _, k := range marks {
		if !m.Covers(k.key, k.rev) {
			return false
		}
	}
	return true
}
