package share

import (
	"slices"
	"strings"
	"time"
)

const (
	// GrantTTL is how long a grant is in force after the entry received it.
	GrantTTL = 2 * time.Second
	// ReportInterval is the time between reports, and between grants.
	ReportInterval = 250 * time.Millisecond
)

// Allocator divides the slots of one pool among the entries that report to it.
// If two allocators work for the same pool, slots are granted twice; this costs
// refusals by workers and does no other harm. It is not safe for concurrent
// use.
type Allocator struct {
	hosts     []Host
	hostsHash uint64
	entries   []*entryState // by name
	unused    []int         // buffer: slots by host that are not yet granted
	nextExtra int           // rotates the entry that gets the first remaining slot
}

// entryState is an entry as the allocator knows it.
type entryState struct {
	name       string
	reportedAt time.Time
	waiting    [RankBands]uint16 // slots wanted by waiting work
	held       []uint16          // slots in use by host
	granted    []uint16          // slots granted by host, including those in use
	sent       []uint16          // granted as last sent
	sendAll    bool              // the next message holds all grants
	target     int               // slots to grant in this round
	buf        []byte
}

// NewAllocator returns an allocator without hosts.
func NewAllocator() *Allocator { return &Allocator{} }

// SetHosts replaces the pool's hosts and drops all entries and their reports.
func (a *Allocator) SetHosts(hosts []Host) {
	a.hosts = slices.Clone(hosts)
	a.hostsHash = hashHosts(hosts)
	a.entries = nil
	a.unused = make([]int, len(hosts))
}

// ApplyReport reads a message of Picker.AppendReport. The error is ErrMessage
// or ErrOtherHosts. After an error, and in its first report to this allocator,
// the entry must send a full report.
func (a *Allocator) ApplyReport(entry string, msg []byte, now time.Time) error {
	full, rest, err := readHeader(msg, a.hostsHash)
	if err != nil {
		return err
	}
	e := a.entry(entry)
	if e == nil && !full {
		return ErrMessage
	}
	if e == nil {
		e = a.addEntry(entry)
	}
	if full {
		clear(e.waiting[:])
		clear(e.held)
		e.sendAll = true
	}
	if rest, err = readDelta(rest, e.waiting[:]); err != nil {
		return err
	}
	if _, err = readDelta(rest, e.held); err != nil {
		return err
	}
	e.reportedAt = now
	return nil
}

// entry returns an entry that has reported, or nil.
func (a *Allocator) entry(name string) *entryState {
	for _, e := range a.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// addEntry adds an entry that holds no slots.
func (a *Allocator) addEntry(name string) *entryState {
	n := len(a.hosts)
	e := &entryState{name: name, sendAll: true, held: make([]uint16, n), granted: make([]uint16, n), sent: make([]uint16, n)}
	a.entries = append(a.entries, e)
	slices.SortFunc(a.entries, func(x, y *entryState) int { return strings.Compare(x.name, y.name) })
	return e
}

// Grants divides the slots and calls send for each entry with a message for its
// Picker.ApplyGrants, which is valid until the next call of Grants. Entries
// that have not reported for GrantTTL are dropped first.
func (a *Allocator) Grants(now time.Time, send func(entry string, msg []byte)) {
	a.entries = slices.DeleteFunc(a.entries, func(e *entryState) bool { return now.Sub(e.reportedAt) >= GrantTTL })
	if len(a.entries) == 0 {
		return
	}
	a.setTargets()
	a.assignHosts()
	for _, e := range a.entries {
		if e.sendAll {
			clear(e.sent)
		}
		e.buf = appendHeader(e.buf[:0], a.hostsHash, e.sendAll)
		e.buf = appendDelta(e.buf, e.granted, e.sent)
		e.sendAll = false
		send(e.name, e.buf)
	}
}

// setTargets sets how many slots each entry gets: those that it holds, then
// those that its waiting work wants in the order of ranks, then an equal share
// of the rest.
func (a *Allocator) setTargets() {
	left := 0
	for i := range a.hosts {
		left += a.hosts[i].Slots
	}
	for _, e := range a.entries {
		e.target = sum(e.held)
		left -= e.target
	}
	for band := 0; band < RankBands && left > 0; band++ {
		left = a.allotBand(band, left)
	}
	for ; left > 0; left-- {
		a.nextExtra++
		a.entries[a.nextExtra%len(a.entries)].target++
	}
}

// allotBand divides up to left slots among the waiting work of one rank band,
// in proportion to what entries want if there are too few, and returns how many
// remain.
func (a *Allocator) allotBand(band, left int) int {
	want := 0
	for _, e := range a.entries {
		want += int(e.waiting[band])
	}
	if want == 0 {
		return left
	}
	available, wantedSoFar, givenSoFar := min(left, want), 0, 0
	for _, e := range a.entries {
		wantedSoFar += int(e.waiting[band])
		upTo := wantedSoFar * available / want
		e.target += upTo - givenSoFar
		givenSoFar = upTo
	}
	return left - available
}

// assignHosts grants slots on hosts according to the targets. An entry keeps
// the slots that it uses and, as far as its target allows, those granted to it
// before.
func (a *Allocator) assignHosts() {
	for h := range a.hosts {
		a.unused[h] = a.hosts[h].Slots
		for _, e := range a.entries {
			a.unused[h] -= int(e.held[h])
		}
	}
	for _, e := range a.entries {
		idle := e.target - sum(e.held)
		for h := range a.hosts {
			keep := max(min(int(e.granted[h])-int(e.held[h]), a.unused[h], idle), 0)
			e.granted[h] = e.held[h] + uint16(keep)
			a.unused[h] -= keep
			idle -= keep
		}
		e.target = idle
	}
	for i, e := range a.entries {
		for k := 0; k < len(a.hosts) && e.target > 0; k++ {
			h := (k + i) % len(a.hosts)
			more := max(min(a.unused[h], e.target), 0)
			e.granted[h] += uint16(more)
			a.unused[h] -= more
			e.target -= more
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
