package share

import (
	"slices"
	"strings"
	"time"
)

const (
	// GrantTTL is the time for which an entry uses a grant after its receipt.
	GrantTTL = 2 * time.Second
	// ReportInterval is the time between reports, and between grants.
	ReportInterval = 250 * time.Millisecond
)

// Allocator shares the slots of one pool out among the entries that report to
// it. Two stewards of a pool grant slots twice, which costs refusals by
// workers and breaks nothing.
type Allocator struct {
	hosts   []Host
	print   uint64
	members []*member // by name
	spare   []int     // slots per host that no entry holds, reused
	turn    int       // member that gets the first of what is left over
}

// member is an entry as the steward knows it.
type member struct {
	name    string
	seen    time.Time
	waiting [RankBands]uint16 // slots wanted by waiting work
	held    []uint16          // slots in use by host
	granted []uint16          // slots granted by host, held ones included
	sent    []uint16          // granted as last sent
	fresh   bool              // nothing has been sent yet
	target  int               // slots to grant in this round
	buf     []byte
}

// NewAllocator returns a steward without hosts.
func NewAllocator() *Allocator { return &Allocator{} }

// SetHosts replaces the pool's hosts. What entries reported is forgotten.
func (s *Allocator) SetHosts(hosts []Host) {
	s.hosts = slices.Clone(hosts)
	s.print = fingerprint(hosts)
	s.members = nil
	s.spare = make([]int, len(hosts))
}

// ApplyReport takes in a message of Picker.AppendReport. After an error, or when the
// steward has not heard of the entry, the entry sends a full report.
func (s *Allocator) ApplyReport(entry string, msg []byte, now time.Time) error {
	full, rest, err := readHeader(msg, s.print)
	if err != nil {
		return err
	}
	m := s.member(entry)
	if m == nil && !full {
		return ErrMessage
	}
	if m == nil {
		m = s.join(entry)
	}
	if full {
		clear(m.waiting[:])
		clear(m.held)
		m.fresh = true
	}
	if rest, err = readDelta(rest, m.waiting[:]); err != nil {
		return err
	}
	if _, err = readDelta(rest, m.held); err != nil {
		return err
	}
	m.seen = now
	return nil
}

func (s *Allocator) member(name string) *member {
	for _, m := range s.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (s *Allocator) join(name string) *member {
	n := len(s.hosts)
	m := &member{name: name, fresh: true, held: make([]uint16, n), granted: make([]uint16, n), sent: make([]uint16, n)}
	s.members = append(s.members, m)
	slices.SortFunc(s.members, func(a, b *member) int { return strings.Compare(a.name, b.name) })
	return m
}

// Grants shares the slots out and passes a message for Picker.ApplyGrants of each
// entry to send; a message is valid until the next call. Entries that have not
// reported for GrantTTL are dropped.
func (s *Allocator) Grants(now time.Time, send func(entry string, msg []byte)) {
	s.members = slices.DeleteFunc(s.members, func(m *member) bool { return now.Sub(m.seen) >= GrantTTL })
	if len(s.members) == 0 {
		return
	}
	s.setTargets()
	s.place()
	for _, m := range s.members {
		if m.fresh {
			clear(m.sent)
		}
		m.buf = header(m.buf[:0], s.print, m.fresh)
		m.buf = appendDelta(m.buf, m.granted, m.sent)
		m.fresh = false
		send(m.name, m.buf)
	}
}

// setTargets gives each entry what it holds, then what its waiting work wants
// in the order of ranks, then an equal part of what is left.
func (s *Allocator) setTargets() {
	left := 0
	for i := range s.hosts {
		left += s.hosts[i].Slots
	}
	for _, m := range s.members {
		m.target = sum(m.held)
		left -= m.target
	}
	for b := 0; b < RankBands && left > 0; b++ {
		left = s.grantBand(b, left)
	}
	for ; left > 0; left-- {
		s.turn++
		s.members[s.turn%len(s.members)].target++
	}
}

// grantBand shares up to left slots out to the work of one band and returns
// what remains. When they are too few, entries get them in proportion.
func (s *Allocator) grantBand(band, left int) int {
	want := 0
	for _, m := range s.members {
		want += int(m.waiting[band])
	}
	if want == 0 {
		return left
	}
	can, passed, given := min(left, want), 0, 0
	for _, m := range s.members {
		passed += int(m.waiting[band])
		upTo := passed * can / want
		m.target += upTo - given
		given = upTo
	}
	return left - can
}

// place turns targets into slots of hosts. Slots in use stay with their entry,
// and so do unused ones where the targets allow.
func (s *Allocator) place() {
	for h := range s.hosts {
		s.spare[h] = s.hosts[h].Slots
		for _, m := range s.members {
			s.spare[h] -= int(m.held[h])
		}
	}
	for _, m := range s.members {
		idle := m.target - sum(m.held)
		for h := range s.hosts {
			keep := max(min(int(m.granted[h])-int(m.held[h]), s.spare[h], idle), 0)
			m.granted[h] = m.held[h] + uint16(keep)
			s.spare[h] -= keep
			idle -= keep
		}
		m.target = idle
	}
	for i, m := range s.members {
		for k := 0; k < len(s.hosts) && m.target > 0; k++ {
			h := (k + i) % len(s.hosts)
			more := max(min(s.spare[h], m.target), 0)
			m.granted[h] += uint16(more)
			s.spare[h] -= more
			m.target -= more
		}
	}
}

func sum(v []uint16) int {
	n := 0
	for _, x := range v {
		n += int(x)
	}
	return n
}
