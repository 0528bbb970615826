package eject

import (
	"time"

	"shallotpaddle/table"
)

// Settings are the limits that the system goes by.
type Settings struct {
	// MinFailureRatio is the least factor between a host's share of failed task ends and
	// the share of the rest of its pool, by the lower bound of the one and the
	// upper bound of the other.
	MinFailureRatio float64
	// MaxEjectedShare is the largest share of a pool's hosts that may be ejected; one host
	// may always be.
	MaxEjectedShare float64
	// MaxRepairs is the number of reboots tried on a host within Forget; after
	// them it is recorded as failed and reported.
	MaxRepairs   int
	RepairWindow time.Duration
	// RetryEvery is the time between repeats of a change that had no effect yet.
	RetryEvery time.Duration
	// ReportEvery is the time between reports of one condition.
	ReportEvery time.Duration
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		MinFailureRatio: 3, MaxEjectedShare: 0.2, MaxRepairs: 2, RepairWindow: 6 * time.Hour,
		RetryEvery: 2 * time.Second, ReportEvery: time.Minute,
	}
}

// track is this entry's memory of a host's repairs.
type track struct {
	repairs int
	last    time.Time // of the last repair seen
	out     bool      // a repair was under way at the last tick
}

// System decides on ejections. It is used by one goroutine.
type System struct {
	set   Settings
	act   *table.Pacer
	say   *table.Pacer
	hosts []track

	t   *table.Tables
	now time.Time
	out []table.Change
}

// New returns a system without memory.
func New(set Settings) *System {
	return &System{set: set, act: table.NewPacer(set.RetryEvery), say: table.NewPacer(set.ReportEvery)}
}

// Tick appends the changes that are due now to out, for the pools this entry
// owns.
func (s *System) Tick(t *table.Tables, now time.Time, out []table.Change) []table.Change {
	s.t, s.now, s.out = t, now, out
	s.act.Grow(t)
	s.say.Grow(t)
	for len(s.hosts) < t.Hosts() {
		s.hosts = append(s.hosts, track{})
	}
	for id := range table.PoolID(t.Pools()) {
		if t.Pool(id).Owned() {
			s.pool(id)
		}
	}
	out, s.t, s.out = s.out, nil, nil
	return out
}

// tally sums up a pool's task ends.
type tally struct {
	good, bad float64
	failing   int // hosts that fail their work, in service or not
}

func (s *System) pool(id table.PoolID) {
	p := s.t.Pool(id)
	var sum tally
	for _, hid := range p.Hosts() {
		h := s.t.Host(hid)
		good, bad := h.Outcomes()
		sum.good += good
		sum.bad += bad
		if h.Failing() || repairing(h) {
			sum.failing++
		}
		s.remember(hid, h)
	}
	if sum.failing == 0 {
		return
	}
	limit := max(1, int(s.set.MaxEjectedShare*float64(len(p.Hosts()))))
	if sum.failing > limit {
		s.common(id, sum.failing, limit)
		return
	}
	for _, hid := range p.Hosts() {
		s.judge(id, hid, sum)
	}
}

func repairing(h *table.Host) bool {
	return h.Reason() == table.Repair && (h.Phase() == table.Draining || h.Phase() == table.Rebooting)
}

// remember counts the repairs of a host.
func (s *System) remember(id table.HostID, h *table.Host) {
	k := &s.hosts[id]
	if k.repairs > 0 && s.now.Sub(k.last) > s.set.RepairWindow {
		*k = track{out: k.out}
	}
	out := repairing(h)
	if out && !k.out {
		k.repairs++
		k.last = s.now
	}
	k.out = out
}

// common reports that too many hosts of a pool fail for ejection to help.
func (s *System) common(id table.PoolID, failing, limit int) {
	if !s.say.AllowPool(id, s.now) {
		return
	}
	s.out = append(s.out, table.Change{
		Kind: table.Report, Host: table.None, Pool: id, Figure: float64(failing), Limit: float64(limit),
		Cause: "too many hosts fail their work; the cause is taken to be elsewhere",
	})
}

// judge ejects a host whose failure rate stands out from its pool's.
func (s *System) judge(pool table.PoolID, id table.HostID, sum tally) {
	h := s.t.Host(id)
	serving := h.Reason() == table.InService || h.Phase() == table.Probation
	if !serving || !h.Healthy() || !h.Failing() {
		return
	}
	good, bad := h.Outcomes()
	share, _ := table.ShareBounds(good, bad)
	_, rest := table.ShareBounds(sum.good-good, sum.bad-bad)
	limit := s.set.MinFailureRatio * rest
	if share < limit {
		s.report(pool, id, "host fails its work, but does not stand out from the rest of the pool", share, limit)
		return
	}
	if s.hosts[id].repairs >= s.set.MaxRepairs {
		s.giveUp(pool, id, share, limit)
		return
	}
	s.emit(id, table.Change{
		Kind: table.Permit, Pool: pool, Reason: table.Repair, Figure: share, Limit: limit,
		Cause: "failure rate stands out from the pool's",
	})
}

// giveUp keeps a host out that reboots have not helped. It returns when it is
// seen with a new boot that was not this system's.
func (s *System) giveUp(pool table.PoolID, id table.HostID, share, limit float64) {
	s.report(pool, id, "reboots have not helped; host needs an operator", float64(s.hosts[id].repairs), float64(s.set.MaxRepairs))
	s.emit(id, table.Change{
		Kind: table.Fail, Pool: pool, Reason: table.Failed, Figure: share, Limit: limit,
		Cause: "host fails its work after repeated repairs",
	})
}

func (s *System) report(pool table.PoolID, id table.HostID, cause string, figure, limit float64) {
	if !s.say.Allow(id, table.Report, s.now) {
		return
	}
	s.out = append(s.out, table.Change{
		Kind: table.Report, Host: id, Pool: pool, Cause: cause, Figure: figure, Limit: limit,
	})
}

func (s *System) emit(id table.HostID, c table.Change) {
	if !s.act.Allow(id, c.Kind, s.now) {
		return
	}
	c.Host = id
	s.out = append(s.out, c)
}
