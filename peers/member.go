package peers

import (
	"slices"
	"time"
)

// Member is a peer from which heartbeats have arrived.
type Member struct {
	name, dc, addr, boot string
	lastHeard            time.Time
	heartbeat            Heartbeat
	versions             map[string]int64
}

// Name returns the peer's name.
func (m *Member) Name() string { return m.name }

// Addr returns the address at which the peer can be called.
func (m *Member) Addr() string { return m.addr }

// LastHeard returns when the last heartbeat arrived.
func (m *Member) LastHeard() time.Time { return m.lastHeard }

// Heartbeat returns the last heartbeat.
func (m *Member) Heartbeat() *Heartbeat { return &m.heartbeat }

// HasApplied tells whether the peer has a document in force at the revision rev or
// a later one.
func (m *Member) HasApplied(key string, rev int64) bool { return m.versions[key] >= rev }

// Members is the table of peers, by name. It must be used by one goroutine only.
type Members struct {
	self   string
	byName map[string]*Member
}

// NewMembers returns an empty table for the entry self.
func NewMembers(self string) *Members {
	return &Members{self: self, byName: map[string]*Member{}}
}

// RecordHeartbeat records a heartbeat received at now. If its hash equals hash,
// which is that of own, the versions in force at this entry, the peer is recorded
// to have the same versions.
func (ms *Members) RecordHeartbeat(b Heartbeat, now time.Time, hash uint64, own map[string]int64) {
	if b.From == ms.self {
		return
	}
	m := ms.byName[b.From]
	if m == nil || m.boot != b.Boot {
		m = &Member{name: b.From, boot: b.Boot}
		ms.byName[b.From] = m
	}
	m.dc, m.addr, m.lastHeard, m.heartbeat = b.DC, b.Addr, now, b
	if b.VersionsHash == hash {
		m.versions = own
	}
}

// RecordVersions records the document versions that a peer has reported.
func (ms *Members) RecordVersions(name string, versions map[string]int64) {
	if m := ms.byName[name]; m != nil && versions != nil {
		m.versions = versions
	}
}

// Len returns the number of peers in the table.
func (ms *Members) Len() int { return len(ms.byName) }

// Get returns a peer by name, or nil.
func (ms *Members) Get(name string) *Member { return ms.byName[name] }

// RemoveSilent removes the peers without a heartbeat for longer than d.
func (ms *Members) RemoveSilent(now time.Time, d time.Duration) {
	for name, m := range ms.byName {
		if now.Sub(m.lastHeard) > d {
			delete(ms.byName, name)
		}
	}
}

// Live returns the names of this entry and of the peers with a heartbeat within d
// that are not stopping, sorted.
func (ms *Members) Live(now time.Time, d time.Duration) []string {
	out := []string{ms.self}
	for name, m := range ms.byName {
		if now.Sub(m.lastHeard) <= d && !m.heartbeat.Stopping {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// All returns the peers, sorted by name.
func (ms *Members) All() []*Member {
	out := make([]*Member, 0, len(ms.byName))
	for _, m := range ms.byName {
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
