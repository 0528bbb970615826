package eject

import (
	"time"

	"shallotpaddle/table"
)

// Settings are the limits for ejections.
type Settings struct {
	// MinFailureRatio is the minimum ratio between a host's rate of failed
	// tasks and the rate of the rest of its pool for the host to be ejected.
	// The lower confidence bound of the former is compared with the upper bound
	// of the latter.
	MinFailureRatio float64
	// MaxEjectedShare is the maximum fraction of a pool's hosts that may be
	// ejected, but at least one host.
	MaxEjectedShare float64
	// MaxRepairs is the number of times that a host is rebooted; after that it
	// is recorded as failed and reported. The count starts again when there was
	// no repair for RepairWindow.
	MaxRepairs   int
	RepairWindow time.Duration
	// RetryEvery is the interval at which a change that has had no effect yet
	// is repeated.
	RetryEvery time.Duration
	// ReportEvery is the minimum time between reports of the same condition.
	ReportEvery time.Duration
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{
		MinFailureRatio: 3, MaxEjectedShare: 0.2, MaxRepairs: 2, RepairWindow: 6 * time.Hour,
		RetryEvery: 2 * time.Second, ReportEvery: time.Minute,
	}
}

// repairHistory holds the repairs of a host that this entry has seen.
type repairHistory struct {
	repairs   int       // within RepairWindow of each other
	lastAt    time.Time // start of the last repair seen
	repairing bool      // a repair was in progress at the last tick
}

// System decides which hosts to eject. It is used by one goroutine.
type System struct {
	settings       Settings
	changeThrottle *table.Throttle
	reportThrottle *table.Throttle
	hosts          []repairHistory // by table.HostID

	// Arguments and result of the current Tick.
	tables  *table.Tables
	now     time.Time
	changes []table.Change
}

// New returns a system with no repairs on record.
func New(settings Settings) *System {
	return &System{settings: settings, changeThrottle: table.NewThrottle(settings.RetryEvery), reportThrottle: table.NewThrottle(settings.ReportEvery)}
}

// Tick appends the changes to make now, for the pools that this entry owns, to
// the given slice and returns it.
func (s *System) Tick(tables *table.Tables, now time.Time, changes []table.Change) []table.Change {
	s.tables, s.now, s.changes = tables, now, changes
	s.changeThrottle.Grow(tables)
	s.reportThrottle.Grow(tables)
	for len(s.hosts) < tables.Hosts() {
		s.hosts = append(s.hosts, repairHistory{})
	}
	for id := range table.PoolID(tables.Pools()) {
		if tables.Pool(id).Owned() {
			s.checkPool(id)
		}
	}
	changes, s.tables, s.changes = s.changes, nil, nil
	return changes
}

// poolOutcomes is the sum of the task outcomes on a pool's hosts.
type poolOutcomes struct {
	succeeded, failed float64
	failing           int // hosts that fail most tasks or are being repaired
}

// checkPool ejects the outliers of a pool, unless too many of its hosts fail.
func (s *System) checkPool(id table.PoolID) {
	p := s.tables.Pool(id)
	var sum poolOutcomes
	for _, hid := range p.Hosts() {
		h := s.tables.Host(hid)
		succeeded, failed := h.TaskOutcomes()
		sum.succeeded += succeeded
		sum.failed += failed
		if h.Failing() || underRepair(h) {
			sum.failing++
		}
		s.trackRepairs(hid, h)
	}
	if sum.failing == 0 {
		return
	}
	limit := max(1, int(s.settings.MaxEjectedShare*float64(len(p.Hosts()))))
	if sum.failing > limit {
		s.reportCommonCause(id, sum.failing, limit)
		return
	}
	for _, hid := range p.Hosts() {
		s.ejectIfOutlier(id, hid, sum)
	}
}

// underRepair reports whether a host is being taken out of service or rebooted
// for a repair.
func underRepair(h *table.Host) bool {
	return h.Reason() == table.Repair && (h.Phase() == table.Draining || h.Phase() == table.Rebooting)
}

// trackRepairs counts the repairs of a host as they begin.
func (s *System) trackRepairs(id table.HostID, h *table.Host) {
	history := &s.hosts[id]
	if history.repairs > 0 && s.now.Sub(history.lastAt) > s.settings.RepairWindow {
		*history = repairHistory{repairing: history.repairing}
	}
	repairing := underRepair(h)
	if repairing && !history.repairing {
		history.repairs++
		history.lastAt = s.now
	}
	history.repairing = repairing
}

// reportCommonCause reports that so many hosts of a pool fail that none is
// ejected.
func (s *System) reportCommonCause(id table.PoolID, failing, limit int) {
	if !s.reportThrottle.AllowPool(id, s.now) {
		return
	}
	s.changes = append(s.changes, table.Change{
		Kind: table.Report, Host: table.None, Pool: id, Figure: float64(failing), Limit: float64(limit),
		Cause: "too many hosts fail their work; the cause is taken to be elsewhere",
	})
}

// ejectIfOutlier ejects a host whose failure rate is at least MinFailureRatio
// times that of the rest of its pool.
func (s *System) ejectIfOutlier(pool table.PoolID, id table.HostID, sum poolOutcomes) {
	h := s.tables.Host(id)
	serving := h.Reason() == table.InService || h.Phase() == table.Probation
	if !serving || !h.Healthy() || !h.Failing() {
		return
	}
	succeeded, failed := h.TaskOutcomes()
	failureRate, _ := table.WilsonBounds(succeeded, failed)
	_, restRate := table.WilsonBounds(sum.succeeded-succeeded, sum.failed-failed)
	limit := s.settings.MinFailureRatio * restRate
	if failureRate < limit {
		s.report(pool, id, "host fails its work, but does not stand out from the rest of the pool", failureRate, limit)
		return
	}
	if s.hosts[id].repairs >= s.settings.MaxRepairs {
		s.markFailed(pool, id, failureRate, limit)
		return
	}
	s.emit(id, table.Change{
		Kind: table.RequestPermit, Pool: pool, Reason: table.Repair, Figure: failureRate, Limit: limit,
		Cause: "failure rate stands out from the pool's",
	})
}

// markFailed keeps a host out of service that still fails after its repairs.
// The host comes back after a reboot that this system did not ask for.
func (s *System) markFailed(pool table.PoolID, id table.HostID, failureRate, limit float64) {
	s.report(pool, id, "reboots have not helped; host needs an operator", float64(s.hosts[id].repairs), float64(s.settings.MaxRepairs))
	s.emit(id, table.Change{
		Kind: table.RecordFailure, Pool: pool, Reason: table.Failed, Figure: failureRate, Limit: limit,
		Cause: "host fails its work after repeated repairs",
	})
}

// report adds a report on a host, at most one per ReportEvery.
func (s *System) report(pool table.PoolID, id table.HostID, cause string, figure, limit float64) {
	if !s.reportThrottle.Allow(id, table.Report, s.now) {
		return
	}
	s.changes = append(s.changes, table.Change{
		Kind: table.Report, Host: id, Pool: pool, Cause: cause, Figure: figure, Limit: limit,
	})
}

// emit adds a change of a host, at most one of its kind per RetryEvery.
func (s *System) emit(id table.HostID, c table.Change) {
	if !s.changeThrottle.Allow(id, c.Kind, s.now) {
		return
	}
	c.Host = id
	s.changes = append(s.changes, c)
}
