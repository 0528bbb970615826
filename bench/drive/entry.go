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

// Entry is one entry's tables and systems.
type Entry struct {
	Name  string
	T     *table.Tables
	Maint *maint.System
	Moves *moves.System
	Eject *eject.System
	// Lag is the number of ticks between refreshes of the entry's view.
	Lag int
	// Own tells which pools the entry carries; nil means all.
	Own func(pool string) bool
	// Demand, if set, gives the slots a pool wants and how long it has been late.
	Demand func(pool string) (slots float64, late time.Duration)
	// Before, if set, may stop a step from being carried out.
	Before func(c table.Change, s carry.Step) bool
	// Held are changes that a paused entry has decided on but not carried out.
	Held []table.Change
	// Seen counts the changes asked for by kind.
	Seen map[table.ChangeKind]int
	// Reports counts reports by cause.
	Reports map[string]int

	w       *World
	mirror  *Mirror
	changes []table.Change
	ticks   int
	ops     int
	conf    int64
	boots   []boot
}

// NewEntry returns an entry that has every system with default settings.
func NewEntry(w *World, name string) *Entry {
	e := &Entry{
		Name: name, T: table.New(), w: w, mirror: NewMirror(), conf: -1,
		Maint: maint.New(maint.DefaultSettings()), Moves: moves.New(moves.DefaultSettings()),
		Eject: eject.New(eject.DefaultSettings()),
		Seen:  map[table.ChangeKind]int{}, Reports: map[string]int{},
	}
	w.entries = append(w.entries, e)
	return e
}

// Tick brings the tables up to date, runs the systems and carries out what
// they ask for.
func (e *Entry) Tick() {
	e.Refresh()
	e.Run()
	for _, c := range e.changes {
		// A change that is stopped is asked for again.
		_ = e.Do(c)
	}
}

// Refresh brings the tables up to date with the world, with the entry's lag.
func (e *Entry) Refresh() {
	if e.conf != e.w.Config.Rev {
		e.conf = e.w.Config.Rev
		e.T.SetConfig(e.w.Config)
	}
	e.probe()
	if e.ticks%(e.Lag+1) == 0 && e.mirror.Refresh(e.w.Store) || e.ticks == 0 {
		carry.Load(e.T, e.mirror.Docs)
	}
	e.ticks++
	for id := range table.PoolID(e.T.Pools()) {
		name := e.T.Pool(id).Spec().Name
		e.T.SetOwned(id, e.Own == nil || e.Own(name))
		if e.Demand != nil {
			slots, late := e.Demand(name)
			e.T.SetDemand(id, slots, late)
		}
	}
}

// Run runs the systems and keeps their changes.
func (e *Entry) Run() []table.Change {
	e.changes = e.Maint.Tick(e.T, e.w.Now, e.changes[:0])
	e.changes = e.Moves.Tick(e.T, e.w.Now, e.changes)
	e.changes = e.Eject.Tick(e.T, e.w.Now, e.changes)
	return e.changes
}

// probe writes every host's state into the tables.
func (e *Entry) probe() {
	for i, m := range e.w.Machines {
		if i == e.T.Hosts() {
			e.T.Upsert(m.Name, m.DC, m.Rack, m.Name+":80")
		}
		id := table.HostID(i)
		listing := table.Live
		if m.Unlisted {
			listing = table.Absent
		}
		e.T.SetListing(id, listing)
		acked := takesNone(e.T.Host(id)) && e.w.acked(id)
		e.T.SetDrainAcked(id, acked)
		e.T.SetProbeResult(id, m.Up, e.w.Now, e.boot(i, m), table.WorkerSlots, m.busy(e.w.Now, acked))
	}
}

// boot returns the boot id of host i without making it anew each time.
func (e *Entry) boot(i int, m *Machine) string {
	if i == len(e.boots) {
		e.boots = append(e.boots, boot{})
	}
	if b := &e.boots[i]; b.n != m.Boot {
		*b = boot{n: m.Boot, id: strconv.Itoa(m.Boot)}
	}
	return e.boots[i].id
}

// boot is a boot id with the number that it was made from.
type boot struct {
	n  int
	id string
}

// busy returns the slots in use; a draining host ends its tasks after its tail.
func (m *Machine) busy(now time.Time, leaving bool) int {
	if !leaving {
		m.idleAt = time.Time{}
		return m.Busy
	}
	if m.idleAt.IsZero() {
		m.idleAt = now.Add(m.Tail)
	}
	if now.Before(m.idleAt) {
		return max(1, m.Busy)
	}
	return 0
}

// Do carries out one change and returns what stopped it.
func (e *Entry) Do(c table.Change) error {
	e.Seen[c.Kind]++
	if c.Kind == table.Report {
		e.Reports[c.Cause]++
	}
	e.ops++
	steps, err := carry.Steps(e.T, e.mirror.Docs, c, fmt.Sprintf("%s-%d", e.Name, e.ops), e.w.Now)
	if err != nil {
		return err
	}
	for _, s := range steps {
		if e.Before != nil && !e.Before(c, s) {
			return ErrDown
		}
		if s.Reboot != "" {
			e.w.Reboot(s.Reboot, s.OpID)
			continue
		}
		if err := e.w.Store.Apply(Key(s), s.Rule); err != nil {
			return err
		}
	}
	return nil
}
