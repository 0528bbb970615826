package maint

import (
	"time"

	"shallotpaddle/table"
)

// Settings are the timeouts and intervals of a System.
type Settings struct {
	// FailAfter is how long a host that the platform lists as live may leave
	// probes unanswered before it counts as failed.
	FailAfter time.Duration
	// GoneAfter is the same for a host that the platform does not list as live.
	GoneAfter time.Duration
	// ReturnAfter is how long a failed or rebooted host must answer probes before
	// its probation starts.
	ReturnAfter time.Duration
	// Probation is how long a returned host gets only few slots.
	Probation time.Duration
	// DrainOverrun and RebootOverrun are the durations after which an unfinished
	// drain or reboot is reported. Neither is aborted.
	DrainOverrun  time.Duration
	RebootOverrun time.Duration
	// RetryEvery is the interval at which a change without effect is repeated.
	RetryEvery time.Duration
	// ReportEvery is the interval at which the report of a condition is repeated.
	ReportEvery time.Duration
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		FailAfter:     10 * time.Second,
		GoneAfter:     3 * time.Second,
		ReturnAfter:   5 * time.Second,
		Probation:     time.Minute,
		DrainOverrun:  10 * time.Minute,
		RebootOverrun: 15 * time.Minute,
		RetryEvery:    2 * time.Second,
		ReportEvery:   time.Minute,
	}
}

// hostTrack is the state of a host that is kept between ticks. It is local to this
// entry: an entry that takes a pool over starts without it, and all waiting times
// start again.
type hostTrack struct {
	downAt  time.Time // when the host stopped answering; zero while it answers
	upAt    time.Time // when it began to answer; zero while it does not
	phaseAt time.Time // when this entry first saw the current phase
	// probes is the number of successful probes, up to minFreshProbes, since this
	// entry has owned the pool, the host has been in its phase and, in a drain,
	// the drain has been acknowledged. Before that, the host's row may hold data
	// from another entry or an earlier answer.
	probes       int
	lastProbeAt  time.Time // time of the last probe counted
	acknowledged bool      // whether the drain was acknowledged at the last tick
	// rebootConfirmedAt is when the reboot order was repeated after the host came
	// up with a new boot id; zero until then.
	rebootConfirmedAt time.Time
	phase             table.Phase  // at the last tick
	reason            table.Reason // at the last tick
	rackID            int32        // index in System.racks
	rackName          string       // name for rackID, to detect a change of rack
}

// rackCounts counts all hosts of a rack and those that are down, in all pools.
type rackCounts struct {
	hosts, down int
}

// System plans maintenance and advances outages. It is not safe for concurrent use.
type System struct {
	settings       Settings
	changeThrottle *table.Throttle
	reportThrottle *table.Throttle
	tracks         []hostTrack // by table.HostID
	racks          []rackCounts
	rackIDs        map[string]int32 // index in racks by rack name
	isolated       bool             // too many hosts do not answer for this entry to trust its probes

	tables  *table.Tables
	now     time.Time
	changes []table.Change // changes of the current tick
}

// New returns a System without state of any host.
func New(settings Settings) *System {
	return &System{
		settings:       settings,
		changeThrottle: table.NewThrottle(settings.RetryEvery),
		reportThrottle: table.NewThrottle(settings.ReportEvery),
		rackIDs:        map[string]int32{},
	}
}

// Tick appends to out the changes that are due now for the pools that this entry
// owns, and returns the extended slice.
func (s *System) Tick(t *table.Tables, now time.Time, out []table.Change) []table.Change {
	s.tables, s.now, s.changes = t, now, out
	s.changeThrottle.Grow(t)
	s.reportThrottle.Grow(t)
	s.updateTracks()
	for id := range table.PoolID(t.Pools()) {
		if t.Pool(id).Owned() {
			s.tickPool(id)
		}
	}
	out, s.tables, s.changes = s.changes, nil, nil
	return out
}

// IsolatedShare is the share of the owned pools' hosts, 0 to 1. If more than this
// do not answer at the same time, the entry assumes that it is cut off itself, not
// the hosts; it then records no failures and starts no maintenance.
const IsolatedShare = 0.5

// minFreshProbes is the number of probes after which the boot id and the slots in
// use in a host's row are current. The first probe may have been sent before the
// counting started.
const minFreshProbes = 2

// updateTracks updates the state of every host, the counts of the racks and
// isolated.
func (s *System) updateTracks() {
	for i := range s.racks {
		s.racks[i] = rackCounts{}
	}
	probed, down := 0, 0
	for id := range table.HostID(s.tables.Hosts()) {
		if int(id) == len(s.tracks) {
			s.tracks = append(s.tracks, hostTrack{rackID: table.None})
		}
		h, track := s.tables.Host(id), &s.tracks[id]
		owned := h.Pool() != table.None && s.tables.Pool(h.Pool()).Owned()
		s.updateTrack(h, track, owned)
		r := &s.racks[track.rackID]
		r.hosts++
		silent := !track.downAt.IsZero() && h.Phase() != table.Rebooting
		if silent {
			r.down++
		}
		if owned && !h.LastProbed().IsZero() {
			probed++
			if silent {
				down++
			}
		}
	}
	s.isolated = float64(down) > IsolatedShare*float64(probed)
}

// updateTrack updates the state of one host; owned is true if this entry owns the
// host's pool.
func (s *System) updateTrack(h *table.Host, track *hostTrack, owned bool) {
	if track.rackID == table.None || track.rackName != h.Rack() {
		track.rackName, track.rackID = h.Rack(), s.rackIDOf(h.Rack())
	}
	if !h.LastProbed().IsZero() {
		track.recordHealth(h.Healthy(), s.now)
	}
	same := track.phase == h.Phase() && track.reason == h.Reason()
	if !same {
		track.phase, track.reason, track.phaseAt = h.Phase(), h.Reason(), s.now
	}
	if !same || !owned || !h.Healthy() || track.acknowledged != h.DrainAcked() {
		track.probes, track.lastProbeAt, track.rebootConfirmedAt = 0, h.LastSeen(), time.Time{}
	}
	track.acknowledged = h.DrainAcked()
	if track.probes < minFreshProbes && h.LastSeen().After(track.lastProbeAt) {
		track.probes, track.lastProbeAt = track.probes+1, h.LastSeen()
	}
}

// recordHealth sets the time since which the host has answered or not answered.
func (track *hostTrack) recordHealth(healthy bool, now time.Time) {
	switch {
	case healthy && track.upAt.IsZero():
		track.upAt, track.downAt = now, time.Time{}
	case !healthy && track.downAt.IsZero():
		track.downAt, track.upAt = now, time.Time{}
	}
}

// fresh reports whether the boot id and the slots in use in the host's row are
// current.
func (track *hostTrack) fresh() bool { return track.probes >= minFreshProbes }

// rackIDOf returns the index of a rack in racks and adds the rack if necessary.
func (s *System) rackIDOf(name string) int32 {
	if id, ok := s.rackIDs[name]; ok {
		return id
	}
	id := int32(len(s.racks))
	s.racks = append(s.racks, rackCounts{})
	s.rackIDs[name] = id
	return id
}

// emit appends a change of a host and reports whether it did. It does not if the
// last change of the host was of the same kind and emitted less than RetryEvery ago,
// or ReportEvery ago for a report.
func (s *System) emit(id table.HostID, c table.Change) bool {
	throttle := s.changeThrottle
	if c.Kind == table.Report {
		throttle = s.reportThrottle
	}
	if !throttle.Allow(id, c.Kind, s.now) {
		return false
	}
	c.Host = id
	s.changes = append(s.changes, c)
	return true
}

// reportPool appends a report on a pool unless one was appended less than
// ReportEvery ago.
func (s *System) reportPool(id table.PoolID, cause string, figure, limit float64) {
	if !s.reportThrottle.AllowPool(id, s.now) {
		return
	}
	s.changes = append(s.changes, table.Change{
		Kind: table.Report, Host: table.None, Pool: id, Cause: cause, Figure: figure, Limit: limit,
	})
}
