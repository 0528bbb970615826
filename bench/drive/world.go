// Package drive simulates a fleet for tests and measurements: it runs the
// maintenance, moves and ejection systems on an injected clock, with hosts that
// go up and down and documents in memory. It simulates neither the network nor
// callers' requests.
package drive

import (
	"fmt"
	"slices"
	"time"

	"shallotpaddle/permit"
	"shallotpaddle/place"
	"shallotpaddle/table"
)

// Machine is one simulated host.
type Machine struct {
	Name, DC, Rack string
	// Up is true while the host answers probes.
	Up bool
	// UpAt is when a host that is down comes up again; zero for never.
	UpAt time.Time
	// BootNumber grows by one each time the host comes up.
	BootNumber int
	// BusySlots is the number of slots in use while the host takes work;
	// DrainTime is how long its tasks in flight go on once every entry has
	// stopped giving it new ones.
	BusySlots int
	DrainTime time.Duration
	// idleAt is when the last task in flight ends; zero while not draining.
	idleAt time.Time
	// Unlisted is true while the platform's list lacks the host.
	Unlisted bool
	// rebootOps holds the ids of the reboot operations that were carried out.
	rebootOps map[string]bool
}

// World is the simulated fleet with its clock, store and entries.
type World struct {
	Now           time.Time
	Store         *Store
	Config        *table.Config
	Machines      []*Machine
	machineByHost map[string]*Machine
	// RebootTime is how long an ordered reboot takes.
	RebootTime time.Duration
	docs       *Mirror
	entries    []*Entry
	reboots    int
	violations []string
	// poolByHost and outageByHost are an index of docs, by host name.
	poolByHost   map[string]string
	outageByHost map[string]outageKind
}

// Layout is the number of data centres and hosts of a fleet, and of hosts per rack.
type Layout struct {
	DCs, Hosts, PerRack int
}

// Start is the time at which the clock of each world starts.
var Start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// New returns a world with all hosts up and none placed in a pool; racks are
// assigned to data centres round robin. It sorts cfg by name.
func New(cfg *table.Config, l Layout) *World {
	cfg.SortByName()
	w := &World{
		Now: Start, Store: NewStore(), Config: cfg, machineByHost: map[string]*Machine{},
		RebootTime: 3 * time.Minute, docs: NewMirror(),
		poolByHost: map[string]string{}, outageByHost: map[string]outageKind{},
	}
	for i := range l.Hosts {
		rack := i / l.PerRack
		m := &Machine{
			Name: fmt.Sprintf("h%04d", i), DC: fmt.Sprintf("dc%d", rack%l.DCs), Rack: fmt.Sprintf("r%03d", rack),
			Up: true, BootNumber: 1, DrainTime: 20 * time.Second, rebootOps: map[string]bool{},
		}
		w.Machines = append(w.Machines, m)
		w.machineByHost[m.Name] = m
	}
	return w
}

// Machine returns a host by name.
func (w *World) Machine(name string) *Machine { return w.machineByHost[name] }

// Reboots returns the number of reboots carried out.
func (w *World) Reboots() int { return w.reboots }

// Reboot takes a host down for RebootTime; a repeated operation id is ignored.
func (w *World) Reboot(host, op string) {
	m := w.machineByHost[host]
	if m.rebootOps[op] {
		return
	}
	m.rebootOps[op] = true
	w.reboots++
	w.checkReboot(m, op)
	w.TakeDown(m, w.RebootTime)
}

// checkReboot records a reboot without a permit or with tasks in flight as a
// violation.
func (w *World) checkReboot(m *Machine, op string) {
	o, ok := w.Outage(w.Placement(m.Name).Pool, m.Name)
	if !ok || o.OpID != op || o.Phase != table.Rebooting {
		w.violations = append(w.violations, m.Name+": reboot without a permit")
	}
	if m.idleAt.IsZero() || w.Now.Before(m.idleAt) {
		w.violations = append(w.violations, m.Name+": reboot with tasks in flight")
	}
}

// Violations returns the reboots that had no permit or interrupted tasks, one
// text each.
func (w *World) Violations() []string { return w.violations }

// TakeDown takes a host down for d, for good if d is 0.
func (w *World) TakeDown(m *Machine, d time.Duration) {
	m.Up, m.UpAt = false, time.Time{}
	if d > 0 {
		m.UpAt = w.Now.Add(d)
	}
}

// RemoveEntry removes an entry that has ended; drains no longer need its
// acknowledgement.
func (w *World) RemoveEntry(e *Entry) {
	w.entries = slices.DeleteFunc(w.entries, func(o *Entry) bool { return o == e })
}

// drainAcked reports whether every entry has stopped giving the host new work.
func (w *World) drainAcked(id table.HostID) bool {
	for _, e := range w.entries {
		if int(id) >= e.Tables.Hosts() || !takesNoWork(e.Tables.Host(id)) {
			return false
		}
	}
	return true
}

// takesNoWork reports whether an entry whose table has this row gives the host
// no new work.
func takesNoWork(h *table.Host) bool {
	return h.Phase() == table.Draining || h.Phase() == table.Rebooting || h.MoveTarget() != table.None
}

// Advance moves the clock forward by d and brings up the hosts whose UpAt has
// passed.
func (w *World) Advance(d time.Duration) {
	w.Now = w.Now.Add(d)
	for _, m := range w.Machines {
		if !m.Up && !m.UpAt.IsZero() && !w.Now.Before(m.UpAt) {
			m.Up, m.UpAt = true, time.Time{}
			m.BootNumber++
		}
	}
}

// Pool counts a pool's hosts: all, those out of service, and of these the
// planned and the failed ones.
type Pool struct {
	Hosts, Out, Planned, Failed int
}

// CountPools counts the hosts of every pool by the store's documents and the
// state of the hosts, whatever the entries' tables say. A host is out when it
// has an outage, is down, or is marked for a move.
func (w *World) CountPools(into map[string]Pool) {
	clear(into)
	if w.docs.Refresh(w.Store) {
		w.indexDocs()
	}
	for _, m := range w.Machines {
		pool := w.poolByHost[m.Name]
		if pool == "" {
			continue
		}
		p := into[pool]
		p.Hosts++
		switch kind := w.outageByHost[m.Name]; {
		case kind == plannedOutage:
			p.Out++
			p.Planned++
		case kind == failureOutage || !m.Up:
			p.Out++
			p.Failed++
		}
		into[pool] = p
	}
}

// outageKind is the kind of a host's outage by the documents.
type outageKind uint8

const (
	noOutage outageKind = iota
	plannedOutage
	failureOutage
)

// indexDocs updates poolByHost and outageByHost from the documents.
func (w *World) indexDocs() {
	clear(w.outageByHost)
	for _, doc := range w.docs.Placements {
		for name, e := range doc.Hosts {
			w.poolByHost[name] = e.Pool
			if e.MoveTarget != "" {
				w.outageByHost[name] = plannedOutage
			}
		}
	}
	for pool, doc := range w.docs.Outages {
		for name, o := range doc.Outages {
			if o.Reason == table.Move && pool != w.poolByHost[name] {
				continue // the host has already moved to another pool
			}
			// A host that is up again counts as failed until its outage ends.
			w.outageByHost[name] = plannedOutage
			if o.Reason == table.Failed || o.Reason == table.Repair {
				w.outageByHost[name] = failureOutage
			}
		}
	}
}

// Outage returns a host's outage in a pool by the store's documents; ok is
// false if there is none.
func (w *World) Outage(pool, host string) (permit.Outage, bool) {
	w.docs.Refresh(w.Store)
	doc := w.docs.Outages[pool]
	if doc == nil {
		return permit.Outage{}, false
	}
	o, ok := doc.Outages[host]
	return o, ok
}

// Placement returns a host's placement by the store's documents, the zero
// record if it has none.
func (w *World) Placement(host string) place.Record {
	w.docs.Refresh(w.Store)
	doc := w.docs.Placements[w.machineByHost[host].DC]
	if doc == nil {
		return place.Record{}
	}
	return doc.Hosts[host]
}
