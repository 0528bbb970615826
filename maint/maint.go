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

// track is what the system remembers of a host between ticks. It is a memory
// of this entry only; another entry starts from nothing and waits afresh.
type track struct {
	downAt  time.Time // when the host stopped answering; zero while it answers
	upAt    time.Time // when it began to answer; zero while it does not
	phaseAt time.Time // when this entry first saw the present phase
	// probes counts good probes, up to freshProbes, since the pool is this
	// entry's, the host is in its phase and, in a drain, acknowledged. Before
	// that the row may hold another entry's word or an answer given earlier.
	probes int
	seen   time.Time // of the last probe counted
	acked  bool
	// confirmAt is when the order to reboot was repeated for a host that is up
	// with a new boot; zero while that has not been seen.
	confirmAt time.Time
	phase     table.Phase
	reason    table.Reason
	rack      int32
	name      string // rack's name, to notice a change
}

// rack counts the hosts of one rack, fleet-wide.
type rack struct {
	hosts, down int
}

// System plans maintenance and follows outages. It is used by one goroutine.
type System struct {
	set    Settings
	act    *table.Pacer
	say    *table.Pacer
	hosts  []track
	racks  []rack
	rackID map[string]int32
	blind  bool // too many hosts are silent for this entry's word to count

	t   *table.Tables
	now time.Time
	out []table.Change
}

// New returns a system without memory.
func New(set Settings) *System {
	return &System{
		set:    set,
		act:    table.NewPacer(set.RetryEvery),
		say:    table.NewPacer(set.ReportEvery),
		rackID: map[string]int32{},
	}
}

// Tick appends the changes that are due now to out, for the pools this entry
// owns.
func (s *System) Tick(t *table.Tables, now time.Time, out []table.Change) []table.Change {
	s.t, s.now, s.out = t, now, out
	s.act.Grow(t)
	s.say.Grow(t)
	s.observe()
	for id := range table.PoolID(t.Pools()) {
		if t.Pool(id).Owned() {
			s.pool(id)
		}
	}
	out, s.t, s.out = s.out, nil, nil
	return out
}

// IsolatedShare is the share of the owned pools' hosts that must be silent at once for the
// entry to take itself, not the hosts, to be cut off.
const IsolatedShare = 0.5

// freshProbes is the number of probes after which the row's boot id and slots
// in use are this entry's own word. One may have been under way before.
const freshProbes = 2

// observe brings the memory of every host up to date.
func (s *System) observe() {
	for i := range s.racks {
		s.racks[i] = rack{}
	}
	known, down := 0, 0
	for id := range table.HostID(s.t.Hosts()) {
		if int(id) == len(s.hosts) {
			s.hosts = append(s.hosts, track{rack: table.None})
		}
		h, k := s.t.Host(id), &s.hosts[id]
		owned := h.Pool() != table.None && s.t.Pool(h.Pool()).Owned()
		s.observeHost(h, k, owned)
		r := &s.racks[k.rack]
		r.hosts++
		silent := !k.downAt.IsZero() && h.Phase() != table.Rebooting
		if silent {
			r.down++
		}
		if owned && !h.Probed().IsZero() {
			known++
			if silent {
				down++
			}
		}
	}
	s.blind = float64(down) > IsolatedShare*float64(known)
}

func (s *System) observeHost(h *table.Host, k *track, owned bool) {
	if k.rack == table.None || k.name != h.Rack() {
		k.name, k.rack = h.Rack(), s.rackRow(h.Rack())
	}
	if !h.Probed().IsZero() {
		k.alive(h.Healthy(), s.now)
	}
	same := k.phase == h.Phase() && k.reason == h.Reason()
	if !same {
		k.phase, k.reason, k.phaseAt = h.Phase(), h.Reason(), s.now
	}
	if !same || !owned || !h.Healthy() || k.acked != h.Acked() {
		k.probes, k.seen, k.confirmAt = 0, h.Seen(), time.Time{}
	}
	k.acked = h.Acked()
	if k.probes < freshProbes && h.Seen().After(k.seen) {
		k.probes, k.seen = k.probes+1, h.Seen()
	}
}

// alive notes since when the host has answered or not.
func (k *track) alive(healthy bool, now time.Time) {
	switch {
	case healthy && k.upAt.IsZero():
		k.upAt, k.downAt = now, time.Time{}
	case !healthy && k.downAt.IsZero():
		k.downAt, k.upAt = now, time.Time{}
	}
}

// fresh tells whether the row's boot id and slots in use may be relied on.
func (k *track) fresh() bool { return k.probes >= freshProbes }

func (s *System) rackRow(name string) int32 {
	if id, ok := s.rackID[name]; ok {
		return id
	}
	id := int32(len(s.racks))
	s.racks = append(s.racks, rack{})
	s.rackID[name] = id
	return id
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

// report appends a report on a pool unless one was made lately.
func (s *System) report(id table.PoolID, cause string, figure, limit float64) {
	if !s.say.AllowPool(id, s.now) {
		return
	}
	s.out = append(s.out, table.Change{
		Kind: table.Report, Host: table.None, Pool: id, Cause: cause, Figure: figure, Limit: limit,
	})
}
