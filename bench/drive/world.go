// Package drive runs the maintenance, moves and ejection systems over tables
// with an injected clock, for tests and measurements. It holds hosts that are
// up or down and documents in memory; it simulates no network and no entries'
// traffic.
package drive

import (
	"fmt"
	"slices"
	"time"

	"shallotpaddle/permit"
	"shallotpaddle/place"
	"shallotpaddle/table"
)

// Machine is the state of one host.
type Machine struct {
	Name, DC, Rack string
	// Up tells whether the host answers probes.
	Up bool
	// Back is when a host that is down comes up with a new boot; zero for never.
	Back time.Time
	Boot int
	// Busy is the number of slots in use while the host takes work; Tail is how
	// long tasks in flight go on once a drain is known.
	Busy int
	Tail time.Duration
	// idleAt is when the last task in flight ends; zero while not draining.
	idleAt time.Time
	// Unlisted hides the host from the platform's list.
	Unlisted bool
	orders   map[string]bool
}

// World is the fleet and the store.
type World struct {
	Now      time.Time
	Store    *Store
	Config   *table.Config
	Machines []*Machine
	byName   map[string]*Machine
	// RebootTime is how long an ordered reboot takes.
	RebootTime time.Duration
	truth      *Mirror
	entries    []*Entry
	reboots    int
	wrong      []string
	// pools and states are an index of truth, by host.
	pools  map[string]string
	states map[string]state
}

// Layout gives the shape of a fleet.
type Layout struct {
	DCs, Hosts, PerRack int
}

// Start is the time at which every world begins.
var Start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// New returns a world with its hosts up, racks dealt out to data centres in
// turn, and nothing placed.
func New(cfg *table.Config, l Layout) *World {
	cfg.SortByName()
	w := &World{
		Now: Start, Store: NewStore(), Config: cfg, byName: map[string]*Machine{},
		RebootTime: 3 * time.Minute, truth: NewMirror(),
		pools: map[string]string{}, states: map[string]state{},
	}
	for i := range l.Hosts {
		rack := i / l.PerRack
		m := &Machine{
			Name: fmt.Sprintf("h%04d", i), DC: fmt.Sprintf("dc%d", rack%l.DCs), Rack: fmt.Sprintf("r%03d", rack),
			Up: true, Boot: 1, Tail: 20 * time.Second, orders: map[string]bool{},
		}
		w.Machines = append(w.Machines, m)
		w.byName[m.Name] = m
	}
	return w
}

// Machine returns a host by name.
func (w *World) Machine(name string) *Machine { return w.byName[name] }

// Reboots returns the number of reboots carried out.
func (w *World) Reboots() int { return w.reboots }

// Reboot takes a host down until RebootTime has passed; a repeated order is
// ignored.
func (w *World) Reboot(host, op string) {
	m := w.byName[host]
	if m.orders[op] {
		return
	}
	m.orders[op] = true
	w.reboots++
	w.check(m, op)
	w.Down(m, w.RebootTime)
}

// check notes a reboot that no permit covers or that cuts off tasks.
func (w *World) check(m *Machine, op string) {
	o, ok := w.Outage(w.Place(m.Name).Pool, m.Name)
	if !ok || o.OpID != op || o.Phase != table.Rebooting {
		w.wrong = append(w.wrong, m.Name+": reboot without a permit")
	}
	if m.idleAt.IsZero() || w.Now.Before(m.idleAt) {
		w.wrong = append(w.wrong, m.Name+": reboot with tasks in flight")
	}
}

// Wrong returns the reboots that no permit covered or that cut off tasks.
func (w *World) Wrong() []string { return w.wrong }

// Down takes a host down for a while, for good if d is 0.
func (w *World) Down(m *Machine, d time.Duration) {
	m.Up, m.Back = false, time.Time{}
	if d > 0 {
		m.Back = w.Now.Add(d)
	}
}

// Drop removes an entry that has ended.
func (w *World) Drop(e *Entry) {
	w.entries = slices.DeleteFunc(w.entries, func(o *Entry) bool { return o == e })
}

// acked tells whether every entry knows that the host takes no new work.
func (w *World) acked(id table.HostID) bool {
	for _, e := range w.entries {
		if int(id) >= e.T.Hosts() || !takesNone(e.T.Host(id)) {
			return false
		}
	}
	return true
}

// takesNone tells whether an entry with this row gives the host no new work.
func takesNone(h *table.Host) bool {
	return h.Phase() == table.Draining || h.Phase() == table.Rebooting || h.MoveTarget() != table.None
}

// Advance moves the clock on and brings hosts back whose time has come.
func (w *World) Advance(d time.Duration) {
	w.Now = w.Now.Add(d)
	for _, m := range w.Machines {
		if !m.Up && !m.Back.IsZero() && !w.Now.Before(m.Back) {
			m.Up, m.Back = true, time.Time{}
			m.Boot++
		}
	}
}

// Pool is what is true of one pool at one moment.
type Pool struct {
	Hosts, Out, Planned, Failed int
}

// Count returns the truth about every pool by the documents and the hosts: a
// host is out when a document says so, when it is down, or when it is marked
// to leave.
func (w *World) Count(into map[string]Pool) {
	clear(into)
	if w.truth.Refresh(w.Store) {
		w.index()
	}
	for _, m := range w.Machines {
		pool := w.pools[m.Name]
		if pool == "" {
			continue
		}
		p := into[pool]
		p.Hosts++
		switch state := w.states[m.Name]; {
		case state == byPlan:
			p.Out++
			p.Planned++
		case state == byFailure || !m.Up:
			p.Out++
			p.Failed++
		}
		into[pool] = p
	}
}

// state tells what the documents say of a host.
type state uint8

const (
	inService state = iota
	byPlan
	byFailure
)

// index notes every host's pool and state by the documents.
func (w *World) index() {
	clear(w.states)
	for _, doc := range w.truth.Placements {
		for name, e := range doc.Hosts {
			w.pools[name] = e.Pool
			if e.MoveTarget != "" {
				w.states[name] = byPlan
			}
		}
	}
	for pool, doc := range w.truth.Outages {
		for name, o := range doc.Outages {
			if o.Reason == table.Move && pool != w.pools[name] {
				continue // in its new pool by now
			}
			// A host back from a failure keeps its place in the failures' count.
			w.states[name] = byPlan
			if o.Reason == table.Failed || o.Reason == table.Repair {
				w.states[name] = byFailure
			}
		}
	}
}

// Outage returns the truth about one host's outage in a pool.
func (w *World) Outage(pool, host string) (permit.Outage, bool) {
	w.truth.Refresh(w.Store)
	doc := w.truth.Outages[pool]
	if doc == nil {
		return permit.Outage{}, false
	}
	o, ok := doc.Outages[host]
	return o, ok
}

// Place returns the truth about one host's placement.
func (w *World) Place(host string) place.Record {
	w.truth.Refresh(w.Store)
	doc := w.truth.Placements[w.byName[host].DC]
	if doc == nil {
		return place.Record{}
	}
	return doc.Hosts[host]
}
