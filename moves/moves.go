package moves

import (
	"math"
	"time"

	"shallotpaddle/place"
	"shallotpaddle/table"
)

// Settings are the thresholds and intervals of a System.
type Settings struct {
	// LendAfter is how long a pool must be late without interruption before a
	// host is lent to it. It should be longer than a move takes.
	LendAfter time.Duration
	// ReturnAfter is how long a pool's demand must stay below ReturnShare of
	// the slots of its own size before a lent host goes back.
	ReturnAfter time.Duration
	ReturnShare float64
	// KeepFactor is the number of slots that the spare pool keeps, as a
	// multiple of its own peak demand. The peak decays with the half-life
	// PeakHalfLife.
	KeepFactor   float64
	PeakHalfLife time.Duration
	// ReportOverrunAfter is the age from which a move that is still waiting for
	// its tasks is reported.
	ReportOverrunAfter time.Duration
	// RetryEvery is the interval at which a change that has had no effect yet is
	// asked for again. MaxStarts is the number of starts without effect beyond
	// which a move is cancelled.
	RetryEvery time.Duration
	MaxStarts  int
	// ReportEvery is the least interval between reports of one condition.
	ReportEvery time.Duration
	// AssignAfter is how long a host must be without a pool before it is
	// assigned to one. The host's pool may have been withdrawn, so this must
	// cover the time until a configuration is in force at every entry.
	AssignAfter time.Duration
}

// DefaultSettings returns the production settings.
func DefaultSettings() Settings {
	return Settings{
		LendAfter:          30 * time.Second,
		ReturnAfter:        10 * time.Minute,
		ReturnShare:        0.7,
		KeepFactor:         1.25,
		PeakHalfLife:       15 * time.Minute,
		ReportOverrunAfter: 10 * time.Minute,
		RetryEvery:         2 * time.Second,
		MaxStarts:          5,
		ReportEvery:        time.Minute,
		AssignAfter:        5 * time.Second,
	}
}

// minProbes is the number of probes after which a host's count of busy slots is
// taken as current. The first may have been under way before the mark was
// acknowledged or before this entry owned the pool.
const minProbes = 2

// MaxAssignsPerTick is the most hosts without a pool that one tick assigns.
const MaxAssignsPerTick = 64

// moveState is what this entry knows of a host's move or assignment beyond the
// documents. It is not shared: an entry that takes over a move continues it
// without this.
type moveState struct {
	dest          table.PoolID // pool that the host was chosen for, None if unknown
	began         time.Time    // when this entry first saw the move
	unplacedSince time.Time    // when this entry first saw the host without a pool
	// probes counts successful probes, up to minProbes, since this entry owned
	// the pool and the mark was acknowledged.
	probes     int
	lastProbe  time.Time // time of the last probe counted
	starts     int       // starts of the move asked for
	cancelling bool      // the move is being cancelled
}

// poolCounts describes a pool. The counts are computed in each tick; lowSince
// and peakDemand are kept from tick to tick.
type poolCounts struct {
	remaining   int // hosts of the pool that no move takes elsewhere
	inbound     int // hosts on their way to the pool
	schedulable int // hosts that accept work
	failed      int
	outages     int       // hosts out of service or with a permit asked for
	lowSince    time.Time // demand below ReturnShare since then; zero if it is not
	peakDemand  float64   // in slots, decaying with PeakHalfLife
}

// System decides on moves and assignments. It must be used by one goroutine
// only.
type System struct {
	settings       Settings
	changeThrottle *table.Throttle
	reportThrottle *table.Throttle
	planner        *place.Planner
	hosts          []moveState
	pools          []poolCounts
	configRev      int64
	completed      int64
	lastTick       time.Time

	t   *table.Tables
	now time.Time
	out []table.Change
}

// New returns a system that has seen no tick yet.
func New(set Settings) *System {
	return &System{
		settings: set, changeThrottle: table.NewThrottle(set.RetryEvery), reportThrottle: table.NewThrottle(set.ReportEvery), planner: place.NewPlanner(),
	}
}

// Completed returns the number of moves whose completion this entry has asked
// for.
func (s *System) Completed() int64 { return s.completed }

// Tick appends the changes that are due now to out and returns it. A move is
// decided by the owner of the pool that gives the host, the assignment of a host
// without a pool by the owner of the pool that gets it.
func (s *System) Tick(t *table.Tables, now time.Time, out []table.Change) []table.Change {
	s.t, s.now, s.out = t, now, out
	s.resize()
	unplaced := s.countPools()
	for id := range table.HostID(t.Hosts()) {
		if h := t.Host(id); h.Reason() == table.Move || h.MoveTarget() != table.None {
			s.continueMove(id, h)
		}
	}
	if unplaced > 0 {
		s.assign()
	}
	s.requestMoves()
	out, s.t, s.out = s.out, nil, nil
	return out
}

// resize makes room for new hosts and resets the counts of pools when the configuration
// has changed.
func (s *System) resize() {
	s.changeThrottle.Grow(s.t)
	s.reportThrottle.Grow(s.t)
	for len(s.hosts) < s.t.Hosts() {
		s.hosts = append(s.hosts, moveState{dest: table.None})
	}
	if s.configRev != s.t.Config().Rev || len(s.pools) != s.t.Pools() {
		s.configRev = s.t.Config().Rev
		s.pools = make([]poolCounts, s.t.Pools())
		for i := range s.hosts {
			s.hosts[i].dest = table.None // the ids of pools have changed
		}
	}
}

// countPools counts the hosts and the demand of every pool and returns the
// number of hosts without a pool.
func (s *System) countPools() int {
	decay := 0.0
	if !s.lastTick.IsZero() {
		decay = math.Exp2(-s.now.Sub(s.lastTick).Seconds() / s.settings.PeakHalfLife.Seconds())
	}
	s.lastTick = s.now
	for i := range s.pools {
		s.pools[i] = poolCounts{lowSince: s.pools[i].lowSince, peakDemand: s.pools[i].peakDemand * decay}
	}
	unplaced := 0
	for id := range table.HostID(s.t.Hosts()) {
		h, m := s.t.Host(id), &s.hosts[id]
		if h.Pool() == table.None {
			unplaced++
			s.countUnplaced(m)
			continue
		}
		if h.Reason() != table.Move && h.MoveTarget() == table.None && !s.changeThrottle.Pending(id, table.RequestPermit, s.now) {
			*m = moveState{dest: table.None}
		}
		s.countHost(id, h, m)
	}
	for id := range table.PoolID(s.t.Pools()) {
		s.countDemand(id)
	}
	return unplaced
}

// countUnplaced counts a host without a pool for the pool that it is being
// assigned to. An assignment without effect for RetryEvery is dropped, so that
// the host can be assigned again.
func (s *System) countUnplaced(m *moveState) {
	if m.unplacedSince.IsZero() {
		m.unplacedSince = s.now
	}
	if m.dest == table.None {
		return
	}
	if s.now.Sub(m.began) >= s.settings.RetryEvery {
		*m = moveState{dest: table.None, unplacedSince: m.unplacedSince}
		return
	}
	s.pools[m.dest].inbound++
}

// countHost counts a host for its pool, or for the pool that it is moving to.
func (s *System) countHost(id table.HostID, h *table.Host, m *moveState) {
	c := &s.pools[h.Pool()]
	dest := h.MoveTarget()
	if dest == table.None {
		dest = m.dest
	}
	if dest != table.None && dest != h.Pool() {
		s.pools[dest].inbound++
	} else {
		c.remaining++
	}
	if h.Schedulable() {
		c.schedulable++
	}
	if h.Reason() == table.Failed {
		c.failed++
	}
	if h.OutOfService() || s.changeThrottle.Pending(id, table.RequestPermit, s.now) {
		c.outages++
	}
}

// countDemand updates the peak of a pool's demand and the time since which its
// demand has been low.
func (s *System) countDemand(id table.PoolID) {
	p, c := s.t.Pool(id), &s.pools[id]
	c.peakDemand = max(c.peakDemand, min(p.Demand(), float64(c.schedulable*table.WorkerSlots)))
	ownSlots := float64(p.Spec().Size * table.WorkerSlots)
	switch {
	case p.LateFor() > 0 || p.Demand() >= s.settings.ReturnShare*ownSlots:
		c.lowSince = time.Time{}
	case c.lowSince.IsZero():
		c.lowSince = s.now
	}
}

// emit appends a change of a host, unless the same one was asked for within the
// throttle's interval, and tells whether it did.
func (s *System) emit(id table.HostID, c table.Change) bool {
	throttle := s.changeThrottle
	if c.Kind == table.Report {
		throttle = s.reportThrottle
	}
	if !throttle.Allow(id, c.Kind, s.now) {
		return false
	}
	c.Host = id
	s.out = append(s.out, c)
	return true
}
