package drive

import (
	"fmt"
	"strconv"
	"time"

	"shallotpaddle/carry"
	"shallotpaddle/eject"
	"shallotpaddle/maint"
	"shallotpaddle/moves"
	"shallotpaddle/table"
)

// Entry is one simulated entry: its tables and the systems that decide on them.
type Entry struct {
	Name   string
	Tables *table.Tables
	Maint  *maint.System
	Moves  *moves.System
	Eject  *eject.System
	// SkippedRefreshes is the number of ticks between two that reload the
	// documents, to simulate an entry that lags behind the store.
	SkippedRefreshes int
	// Owns reports whether the entry owns a pool; nil means that it owns all.
	Owns func(pool string) bool
	// Demand, if set, returns the slots that a pool needs and for how long its
	// work has started late.
	Demand func(pool string) (slots float64, late time.Duration)
	// AllowStep, if set, is called before each step of a change; when it returns
	// false, the rest of the change is dropped with ErrDown.
	AllowStep func(c table.Change, s carry.Step) bool
	// Pending are changes that a paused entry has requested but not carried out.
	Pending []table.Change
	// CountByKind counts the requested changes by kind.
	CountByKind map[table.ChangeKind]int
	// ReportsByCause counts the changes of kind table.Report by cause.
	ReportsByCause map[string]int

	world      *World
	mirror     *Mirror
	changes    []table.Change
	ticks      int
	lastOp     int
	configRev  int64
	bootByHost []boot
}

// NewEntry adds an entry to the world, with every system at its default settings.
func NewEntry(w *World, name string) *Entry {
	e := &Entry{
		Name: name, Tables: table.New(), world: w, mirror: NewMirror(), configRev: -1,
		Maint: maint.New(maint.DefaultSettings()), Moves: moves.New(moves.DefaultSettings()),
		Eject:       eject.New(eject.DefaultSettings()),
		CountByKind: map[table.ChangeKind]int{}, ReportsByCause: map[string]int{},
	}
	w.entries = append(w.entries, e)
	return e
}

// Tick refreshes the tables, runs the systems and carries out the changes that
// they request.
func (e *Entry) Tick() {
	e.Refresh()
	e.Run()
	for _, c := range e.changes {
		// The systems request a failed change again in a later tick.
		_ = e.CarryOut(c)
	}
}

// Refresh updates the tables from the world: the configuration and the probe
// results on each call, the documents once every SkippedRefreshes+1 calls.
func (e *Entry) Refresh() {
	if e.configRev != e.world.Config.Rev {
		e.configRev = e.world.Config.Rev
		e.Tables.SetConfig(e.world.Config)
	}
	e.probe()
	if e.ticks%(e.SkippedRefreshes+1) == 0 && e.mirror.Refresh(e.world.Store) || e.ticks == 0 {
		carry.Load(e.Tables, e.mirror.Docs)
	}
	e.ticks++
	for id := range table.PoolID(e.Tables.Pools()) {
		name := e.Tables.Pool(id).Spec().Name
		e.Tables.SetOwned(id, e.Owns == nil || e.Owns(name))
		if e.Demand != nil {
			slots, late := e.Demand(name)
			e.Tables.SetDemand(id, slots, late)
		}
	}
}

// Run runs the systems and returns the changes that they request; the slice is
// valid until the next call.
func (e *Entry) Run() []table.Change {
	e.changes = e.Maint.Tick(e.Tables, e.world.Now, e.changes[:0])
	e.changes = e.Moves.Tick(e.Tables, e.world.Now, e.changes)
	e.changes = e.Eject.Tick(e.Tables, e.world.Now, e.changes)
	return e.changes
}

// probe writes each host's probe result, listing and drain acknowledgement into
// the tables.
func (e *Entry) probe() {
	for i, m := range e.world.Machines {
		if i == e.Tables.Hosts() {
			e.Tables.Upsert(m.Name, m.DC, m.Rack, m.Name+":80")
		}
		id := table.HostID(i)
		listing := table.Live
		if m.Unlisted {
			listing = table.Absent
		}
		e.Tables.SetListing(id, listing)
		acked := takesNoWork(e.Tables.Host(id)) && e.world.drainAcked(id)
		e.Tables.SetDrainAcked(id, acked)
		e.Tables.SetProbeResult(id, m.Up, e.world.Now, e.bootID(i, m), table.WorkerSlots, m.busySlots(e.world.Now, acked))
	}
}

// bootID returns the bootID id of host i without making it anew each time.
func (e *Entry) bootID(i int, m *Machine) string {
	if i == len(e.bootByHost) {
		e.bootByHost = append(e.bootByHost, boot{})
	}
	if b := &e.bootByHost[i]; b.number != m.BootNumber {
		*b = boot{number: m.BootNumber, id: strconv.Itoa(m.BootNumber)}
	}
	return e.bootByHost[i].id
}

// boot is a cached boot id with the boot number that it was formatted from.
type boot struct {
	number int
	id     string
}

// busySlots returns the slots in use. A host that takes no new work becomes idle
// after its DrainTime.
func (m *Machine) busySlots(now time.Time, draining bool) int {
	if !draining {
		m.idleAt = time.Time{}
		return m.BusySlots
	}
	if m.idleAt.IsZero() {
		m.idleAt = now.Add(m.DrainTime)
	}
	if now.Before(m.idleAt) {
		return max(1, m.BusySlots)
	}
	return 0
}

// CarryOut applies one change to the store and the hosts, step by step. It
// returns the first error: of the change's steps, of a write, or ErrDown if
// AllowStep refuses a step.
func (e *Entry) CarryOut(c table.Change) error {
	e.CountByKind[c.Kind]++
	if c.Kind == table.Report {
		e.ReportsByCause[c.Cause]++
	}
	e.lastOp++
	steps, err := carry.Steps(e.Tables, e.mirror.Docs, c, fmt.Sprintf("%s-%d", e.Name, e.lastOp), e.world.Now)
	if err != nil {
		return err
	}
	for _, s := range steps {
		if e.AllowStep != nil && !e.AllowStep(c, s) {
			return ErrDown
		}
		if s.Reboot != "" {
			e.world.Reboot(s.Reboot, s.OpID)
			continue
		}
		if err := e.world.Store.Apply(Key(s), s.Rule); err != nil {
			return err
		}
	}
	return nil
}
