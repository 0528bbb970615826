package peers

import (
	"slices"
	"time"
)

// Member is what is known of one peer.
type Member struct {
	name, dc, addr, boot string
	heard                time.Time
	beat                 Heartbeat
	versions             map[string]int64
}

// Name returns the peer's name.
func (m *Member) Name() string { return m.name }

// Addr returns the peer's address for calls.
func (m *Member) Addr() string { return m.addr }

// LastHeard returns when the last heartbeat arrived.
func (m *Member) LastHeard() time.Time { return m.heard }

// Heartbeat returns the last heartbeat.
func (m *Member) Heartbeat() *Heartbeat { return &m.beat }

// HasApplied tells whether the peer has a document in force at or past a revision.
func (m *Member) HasApplied(key string, rev int64) bool { return m.versions[key] >= rev }

// Members is the table of peers. It belongs to one goroutine.
type Members struct {
	self string
	rows map[string]*Member
}

// NewMembers returns an empty table for the entry self.
func NewMembers(self string) *Members {
	return &Members{self: self, rows: map[string]*Member{}}
}

// RecordHeartbeat records a heartbeat. When its hash equals that of own, the versions in
// force here, the peer is known to have the same ones.
func (t *Members) RecordHeartbeat(b Heartbeat, now time.Time, hash uint64, own map[string]int64) {
	if b.From == t.self {
		return
	}
	m := t.rows[b.From]
	if m == nil || m.boot != b.Boot {
		m = &Member{name: b.From, boot: b.Boot}
		t.rows[b.From] = m
	}
	m.dc, m.addr, m.heard, m.beat = b.DC, b.Addr, now, b
	if b.VersionsHash == hash {
		m.versions = own
	}
}

// RecordVersions records the versions that a peer has told.
func (t *Members) RecordVersions(name string, versions map[string]int64) {
	if m := t.rows[name]; m != nil && versions != nil {
		m.versions = versions
	}
}

// Len returns the number of peers known.
func (t *Members) Len() int { return len(t.rows) }

// Get returns a peer, or nil.
func (t *Members) Get(name string) *Member { return t.rows[name] }

// RemoveSilent removes peers not heard of for longer than d.
func (t *Members) RemoveSilent(now time.Time, d time.Duration) {
	for name, m := range t.rows {
		if now.Sub(m.heard) > d {
			delete(t.rows, name)
		}
	}
}

// Live returns the names of the peers heard within d and of this entry, sorted.
func (t *Members) Live(now time.Time, d time.Duration) []string {
	out := []string{t.self}
	for name, m := range t.rows {
		if now.Sub(m.heard) <= d && !m.beat.Stopping {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// All returns the peers, sorted by name.
func (t *Members) All() []*Member {
	out := make([]*Member, 0, len(t.rows))
	for _, m := range t.rows {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Member) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}
