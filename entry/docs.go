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
	head := decoded(l, l.heads, d, func(b []byte) (*note.Head, error) { return decodeHead(b) })
	if head == nil || head.Config.Rev <= l.tables.Config().Rev {
		return
	}
	c := &head.Config
	l.tables.SetConfig(c)
	l.entry.log.Info().Str("entry", l.entry.Name()).Int64("rev", c.Rev).Msg("configuration in force")
}

// loadHosts brings the host rows in line with the platform's list.
func (l *loop) loadHosts() {
	for name, h := range l.listed {
		id := l.tables.Upsert(name, h.DC, h.Rack, h.Addr)
		l.tables.SetListing(id, listing(h))
	}
	for id := range table.HostID(l.tables.Hosts()) {
		name := l.tables.Host(id).Name()
		if _, ok := l.listed[name]; !ok {
			l.tables.SetListing(id, table.Absent)
		}
		if l.words[name].Leaving {
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
	closed := map[string][]mark{}
	l.entry.docs.Each(prefixPlace, func(d cache.Doc) {
		doc := decoded(l, l.places, d, place.Decode)
		if doc == nil {
			return
		}
		docs.Places[strings.TrimPrefix(d.Key(), prefixPlace)] = doc
		for host, p := range doc.Hosts {
			if p.Next != "" {
				closed[host] = append(closed[host], mark{d.Key(), d.Rev()})
			}
		}
	})
	l.entry.docs.Each(prefixOut, func(d cache.Doc) {
		doc := decoded(l, l.outs, d, permit.Decode)
		if doc == nil {
			return
		}
		docs.Outages[strings.TrimPrefix(d.Key(), prefixOut)] = doc
		for host := range doc.Out {
			closed[host] = append(closed[host], mark{d.Key(), d.Rev()})
		}
	})
	l.docs = docs
	carry.Load(l.tables, docs)
	l.setMarks(closed)
}

// parsed is a document decoded at one revision.
type parsed[T any] struct {
	rev int64
	doc *T
}

// decoded returns a document's content, decoding each revision once. It is nil
// for a document that does not decode.
func decoded[T any](l *loop, known map[string]parsed[T], d cache.Doc, decode func([]byte) (*T, error)) *T {
	if p, ok := known[d.Key()]; ok && p.rev == d.Rev() {
		return p.doc
	}
	doc, err := decode(d.Body())
	if err != nil {
		l.refuse(d, err)
		doc = nil
	}
	known[d.Key()] = parsed[T]{rev: d.Rev(), doc: doc}
	return doc
}

func (l *loop) refuse(d cache.Doc, err error) {
	l.entry.log.Error().Str("key", d.Key()).Err(err).Msg("document refused")
}

// setMarks keeps, for each closed host, the first revision of each document
// that was seen to close it.
func (l *loop) setMarks(closed map[string][]mark) {
	for host := range l.marks {
		if closed[host] == nil {
			delete(l.marks, host)
			if id := l.tables.HostByName(host); id != table.None {
				l.tables.SetAcked(id, false)
			}
		}
	}
	for host, marks := range closed {
		l.marks[host] = firstSeen(l.marks[host], marks)
	}
}

// firstSeen returns now with the earlier revisions of the keys in old.
func firstSeen(old, now []mark) []mark {
	for i := range now {
		for _, m := range old {
			if m.key == now[i].key {
				now[i].rev = min(now[i].rev, m.rev)
			}
		}
	}
	return now
}

// acks records which closed hosts every entry knows as closed, with no work of
// its own left on them.
func (l *loop) acks(now time.Time) {
	for host, marks := range l.marks {
		if id := l.tables.HostByName(host); id != table.None {
			l.tables.SetAcked(id, l.acked(now, host, marks))
		}
	}
}

func (l *loop) acked(now time.Time, host string, marks []mark) bool {
	if len(l.entry.router.RunningOn([]string{host})) > 0 {
		return false
	}
	for _, n := range l.entry.docs.Registered() {
		if n != l.entry.Name() && !l.peerAcked(n, host, marks) {
			return false
		}
	}
	for _, m := range l.members.All() {
		switch {
		case now.Sub(m.Heard()) >= silence && (m.Beat().Stopping || outlasts(l.census(now))):
		case !l.peerAcked(m.Name(), host, marks):
			return false
		}
	}
	return true
}

// peerAcked tells whether one entry has closed a host and has no work on it. A
// registered entry that is not heard may be at work, so it is waited for until
// its registration ends.
func (l *loop) peerAcked(name, host string, marks []mark) bool {
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
