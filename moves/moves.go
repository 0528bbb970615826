package moves

import (
	"math"
	"time"

	"shallotpaddle/place"
	"shallotpaddle/table"
)

// Settings are the limits that the system goes by.
type Settings struct {
	// LendAfter is how long a pool must be late without a break before a host
	// is lent to it. It should be longer than a move takes.
	LendAfter time.Duration
	// ReturnAfter is how long a pool's demand must stay below ReturnShare of
	// the slots of its own size before a lent host goes back.
	ReturnAfter time.Duration
	ReturnShare float64
	// KeepFactor is the slots that the spare pool keeps, as a multiple of its
	// own demand, where a peak of demand counts until it has decayed with the
	// half-life PeakHalf.
	KeepFactor   float64
	PeakHalfLife time.Duration
	// ReportOverrunAfter is the time after which a move under way is reported.
	ReportOverrunAfter time.Duration
	// RetryEvery is the time between repeats of a change that had no effect yet, and
	// Tries the number of marks without effect after which a move is given up.
	RetryEvery time.Duration
	MaxMarks   int
	// ReportEvery is the time between reports of one condition.
	ReportEvery time.Duration
	// AssignAfter is how long a host must be without a pool before it is placed.
	// It covers the time in which a configuration comes into force everywhere,
	// since the host's pool may have been withdrawn.
	AssignAfter time.Duration
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		LendAfter:          30 * time.Second,
		ReturnAfter:        10 * time.Minute,
		ReturnShare:        0.7,
		KeepFactor:         1.25,
		PeakHalfLife:       15 * time.Minute,
		ReportOverrunAfter: 10 * time.Minute,
		RetryEvery:         2 * time.Second,
		MaxMarks:           5,
		ReportEvery:        time.Minute,
		AssignAfter:        5 * time.Second,
	}
}

// freshProbes is the number of probes after which the slots in use in a host's
// row are this entry's own word. One may have been under way before.
const freshProbes = 2

// MaxAssignsPerTick bounds the first placements asked for in one tick.
const MaxAssignsPerTick = 64

// track is this entry's memory of a host's move; another entry does without.
type track struct {
	dest   table.PoolID // pool the move was begun for, None when not known
	began  time.Time    // when this entry first saw the move
	freeAt time.Time    // when this entry first saw the host without a pool
	// probes counts good probes, up to freshProbes, since the pool is this
	// entry's and the mark acknowledged; seen is the time of the last.
	probes int
	seen   time.Time
	tries  int  // marks asked for
	called bool // the move is being called off
}

// balance is what the system counts of a pool in one tick.
type balance struct {
	have    int // hosts that will remain
	inbound int // hosts marked or permitted towards the pool
	open    int // hosts that take work
	failed  int
	busyOut int // hosts out or permits asked for
	calm    time.Time
	peak    float64 // of demand, decayed
}

// System decides on moves. It is used by one goroutine.
type System struct {
	set   Settings
	act   *table.Throttle
	say   *table.Throttle
	plan  *place.Planner
	hosts []track
	pools []balance
	conf  int64
	moved int64
	last  time.Time // of the last tick

	t   *table.Tables
	now time.Time
	out []table.Change
}

// New returns a system without memory.
func New(set Settings) *System {
	return &System{
		set: set, act: table.NewThrottle(set.RetryEvery), say: table.NewThrottle(set.ReportEvery), plan: place.NewPlanner(),
	}
}

// Transfers returns the number of transfers this entry has asked for.
func (s *System) Transfers() int64 { return s.moved }

// Tick appends the changes that are due now to out. A move is decided by the
// owner of the pool that gives the host, a first placement by the owner of the
// pool that gets it.
func (s *System) Tick(t *table.Tables, now time.Time, out []table.Change) []table.Change {
	s.t, s.now, s.out = t, now, out
	s.grow()
	free := s.count()
	for id := range table.HostID(t.Hosts()) {
		if h := t.Host(id); h.Reason() == table.Move || h.MoveTarget() != table.None {
			s.follow(id, h)
		}
	}
	if free > 0 {
		s.assign()
	}
	s.balance()
	out, s.t, s.out = s.out, nil, nil
	return out
}

func (s *System) grow() {
	s.act.Grow(s.t)
	s.say.Grow(s.t)
	for len(s.hosts) < s.t.Hosts() {
		s.hosts = append(s.hosts, track{dest: table.None})
	}
	if s.conf != s.t.Config().Rev || len(s.pools) != s.t.Pools() {
		s.conf = s.t.Config().Rev
		s.pools = make([]balance, s.t.Pools())
		for i := range s.hosts {
			s.hosts[i].dest = table.None // row numbers of pools have changed
		}
	}
}

// count takes stock of every pool and returns the number of hosts without one.
func (s *System) count() int {
	decay := 0.0
	if !s.last.IsZero() {
		decay = math.Exp2(-s.now.Sub(s.last).Seconds() / s.set.PeakHalfLife.Seconds())
	}
	s.last = s.now
	for i := range s.pools {
		s.pools[i] = balance{calm: s.pools[i].calm, peak: s.pools[i].peak * decay}
	}
	free := 0
	for id := range table.HostID(s.t.Hosts()) {
		h, k := s.t.Host(id), &s.hosts[id]
		if h.Pool() == table.None {
			free++
			s.countFree(k)
			continue
		}
		if h.Reason() != table.Move && h.MoveTarget() == table.None && !s.act.Pending(id, table.Permit, s.now) {
			*k = track{dest: table.None}
		}
		s.countHost(id, h, k)
	}
	for id := range table.PoolID(s.t.Pools()) {
		s.countDemand(id)
	}
	return free
}

// countFree counts a host whose first placement is under way, or makes it free
// for another one.
func (s *System) countFree(k *track) {
	if k.freeAt.IsZero() {
		k.freeAt = s.now
	}
	if k.dest == table.None {
		return
	}
	if s.now.Sub(k.began) >= s.set.RetryEvery {
		*k = track{dest: table.None, freeAt: k.freeAt}
		return
	}
	s.pools[k.dest].inbound++
}

func (s *System) countHost(id table.HostID, h *table.Host, k *track) {
	b := &s.pools[h.Pool()]
	dest := h.MoveTarget()
	if dest == table.None {
		dest = k.dest
	}
	if dest != table.None && dest != h.Pool() {
		s.pools[dest].inbound++
	} else {
		b.have++
	}
	if h.Schedulable() {
		b.open++
	}
	if h.Reason() == table.Failed {
		b.failed++
	}
	if h.OutOfService() || s.act.Pending(id, table.Permit, s.now) {
		b.busyOut++
	}
}

func (s *System) countDemand(id table.PoolID) {
	p, b := s.t.Pool(id), &s.pools[id]
	b.peak = max(b.peak, min(p.Demand(), float64(b.open*table.WorkerSlots)))
	own := float64(p.Spec().Size * table.WorkerSlots)
	switch {
	case p.LateFor() > 0 || p.Demand() >= s.set.ReturnShare*own:
		b.calm = time.Time{}
	case b.calm.IsZero():
		b.calm = s.now
	}
}

// emit appends a change of a host unless the same one is under way.
func (s *System) emit(id table.HostID, c table.Change) bool {
	pace := s.act
	if c.Kind == table.Report {
		pace = s.say
	}
	if !pace.Allow(id, c.Kind, s.now) {
		return false
	}
	c.Host = id
	s.out = append(s.out, c)
	return true
}
