package maint

import (
	"time"

	"shallotpaddle/table"
)

// Settings are the times that the system goes by.
type Settings struct {
	// FailAfter is how long a listed host may leave probes unanswered before it
	// counts as failed.
	FailAfter time.Duration
	// GoneAfter is the same for a host that the platform no longer lists.
	GoneAfter time.Duration
	// ReturnAfter is how long a failed host must answer before its probation.
	ReturnAfter time.Duration
	// Probation is how long a returned host keeps few slots.
	Probation time.Duration
	// DrainOverrun and RebootOverrun are the times after which a drain or a
	// reboot that goes on is reported. Neither is cut off.
	DrainOverrun  time.Duration
	RebootOverrun time.Duration
	// RetryEvery is the time between repeats of a change that had no effect yet.
	RetryEvery time.Duration
	// ReportEvery is the time between reports of one condition.
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

// hostTrack is what the system remembers of a host between ticks. It is a memory
// of this entry only; another entry starts from nothing and waits afresh.
type hostTrack struct {
	downAt  time.Time // when the host stopped answering; zero while it answers
	upAt    time.Time // when it began to answer; zero while it does not
	phaseAt time.Time // when this entry first saw the present phase
	// probes counts good probes, up to freshProbes, since the pool is this
	// entry's, the host is in its phase and, in a drain, acknowledged. Before
	// that the row may hold another entry's word or an answer given earlier.
	probes      int
	lastProbeAt time.Time // of the last probe counted
	acked       bool
	// rebootConfirmedAt is when the order to reboot was repeated for a host that is up
	// with a new boot; zero while that has not been seen.
	rebootConfirmedAt time.Time
	phase             table.Phase
	reason            table.Reason
	rackID            int32
	rackName          string // rack's name, to notice a change
}

// rackCounts counts the hosts of one rackCounts, fleet-wide.
type rackCounts struct {
	hosts, down int
}

// System plans maintenance and follows outages. It is used by one goroutine.
type System struct {
	settings    Settings
	changePacer *table.Throttle
	reportPacer *table.Throttle
	tracks      []hostTrack
	racks       []rackCounts
	rackIDs     map[string]int32
	isolated    bool // too many hosts are silent for this entry's word to count

	tables  *table.Tables
	now     time.Time
	changes []table.Change
}

// New returns a system without memory.
func New(set Settings) *System {
	return &System{
		settings:    set,
		changePacer: table.NewThrottle(set.RetryEvery),
		reportPacer: table.NewThrottle(set.ReportEvery),
		rackIDs:     map[string]int32{},
	}
}

// Tick appends the changes that are due now to out, for the pools this entry
// owns.
func (s *System) Tick(t *table.Tables, now time.Time, out []table.Change) []table.Change {
	s.tables, s.now, s.changes = t, now, out
	s.changePacer.Grow(t)
	s.reportPacer.Grow(t)
	s.updateTracks()
	for id := range table.PoolID(t.Pools()) {
		if t.Pool(id).Owned() {
			s.tickPool(id)
		}
	}
	out, s.tables, s.changes = s.changes, nil, nil
	return out
}

// IsolatedShare is the share of the owned pools' hosts that must be silent at once for the
// entry to take itself, not the hosts, to be cut off.
const IsolatedShare = 0.5

// minFreshProbes is the number of probes after which the row's boot id and slots
// in use are this entry's own word. One may have been under way before.
const minFreshProbes = 2

// updateTracks brings the memory of every host up to date.
func (s *System) updateTracks() {
	for i := range s.racks {
		s.racks[i] = rackCounts{}
	}
	known, down := 0, 0
	for id := range table.HostID(s.tables.Hosts()) {
		if int(id) == len(s.tracks) {
			s.tracks = append(s.tracks, hostTrack{rackID: table.None})
		}
		h, k := s.tables.Host(id), &s.tracks[id]
		owned := h.Pool() != table.None && s.tables.Pool(h.Pool()).Owned()
		s.updateTrack(h, k, owned)
		r := &s.racks[k.rackID]
		r.hosts++
		silent := !k.downAt.IsZero() && h.Phase() != table.Rebooting
		if silent {
			r.down++
		}
		if owned && !h.LastProbed().IsZero() {
			known++
			if silent {
				down++
			}
		}
	}
	s.isolated = float64(down) > IsolatedShare*float64(known)
}

func (s *System) updateTrack(h *table.Host, k *hostTrack, owned bool) {
	if k.rackID == table.None || k.rackName != h.Rack() {
		k.rackName, k.rackID = h.Rack(), s.rackIDOf(h.Rack())
	}
	if !h.LastProbed().IsZero() {
		k.recordHealth(h.Healthy(), s.now)
	}
	same := k.phase == h.Phase() && k.reason == h.Reason()
	if !same {
		k.phase, k.reason, k.phaseAt = h.Phase(), h.Reason(), s.now
	}
	if !same || !owned || !h.Healthy() || k.acked != h.MoveAcked() {
		k.probes, k.lastProbeAt, k.rebootConfirmedAt = 0, h.LastSeen(), time.Time{}
	}
	k.acked = h.MoveAcked()
	if k.probes < minFreshProbes && h.LastSeen().After(k.lastProbeAt) {
		k.probes, k.lastProbeAt = k.probes+1, h.LastSeen()
	}
}

// recordHealth notes since when the host has answered or not.
func (k *hostTrack) recordHealth(healthy bool, now time.Time) {
	switch {
	case healthy && k.upAt.IsZero():
		k.upAt, k.downAt = now, time.Time{}
	case !healthy && k.downAt.IsZero():
		k.downAt, k.upAt = now, time.Time{}
	}
}

// fresh tells whether the row's boot id and slots in use may be relied on.
func (k *hostTrack) fresh() bool { return k.probes >= minFreshProbes }

func (s *System) rackIDOf(name string) int32 {
	if id, ok := s.rackIDs[name]; ok {
		return id
	}
	id := int32(len(s.racks))
	s.racks = append(s.racks, rackCounts{})
	s.rackIDs[name] = id
	return id
}

// emit appends a change of a host unless the same one is under way.
func (s *System) emit(id table.HostID, c table.Change) bool {
	pace := s.changePacer
	if c.Kind == table.Report {
		pace = s.reportPacer
	}
	if !pace.Allow(id, c.Kind, s.now) {
		return false
	}
	c.Host = id
	s.changes = append(s.changes, c)
	return true
}

// report appends a report on a pool unless one was made lately.
func (s *System) report(id table.PoolID, cause string, figure, limit float64) {
	if !s.reportPacer.AllowPool(id, s.now) {
		return
	}
	s.changes = append(s.changes, table.Change{
		Kind: table.Report, Host: table.None, Pool: id, Cause: cause, Figure: figure, Limit: limit,
	})
}
