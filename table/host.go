package table

import "time"

// Row numbers count from 0 and are valid for one Tables value only. Other processes
// know a host or pool by its name.
type (
	// HostID is the number of a row of the host table.
	HostID int32
	// PoolID is the number of a row of the pool table.
	PoolID int32
)

// None is the HostID or PoolID that stands for no host or pool.
const None = -1

// Reason tells why a host is out of service.
type Reason uint8

// Reasons for an outage. All but Failed are planned.
const (
	InService   Reason = iota
	Maintenance        // periodic reboot
	Repair             // reboot of a host whose tasks fail
	Move               // move to another pool
	Operator           // drain ordered by an operator
	Failed             // unplanned: the host was found down
)

var reasonNames = [...]string{"in-service", "maintenance", "repair", "move", "operator", "failed"}

// String returns the name of the reason in documents and logs.
func (r Reason) String() string { return reasonNames[r] }

// MarshalText encodes the reason as its name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes the name of a reason. The error is ErrUnknownName.
func (r *Reason) UnmarshalText(b []byte) error {
	i, err := parseName("reason", reasonNames[:], string(b))
	*r = Reason(i)
	return err
}

// Phase is the phase of a planned outage.
type Phase uint8

// Phases of an outage, in order.
const (
	NoOutage  Phase = iota
	Draining        // no new work; running tasks finish
	Rebooting       // reboot ordered, new boot id not yet seen
	Probation       // healthy again, limited to ProbationSlots
)

var phaseNames = [...]string{"none", "draining", "rebooting", "probation"}

// String returns the name of the phase in documents and logs.
func (p Phase) String() string { return phaseNames[p] }

// MarshalText encodes the phase as its name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText decodes the name of a phase. The error is ErrUnknownName.
func (p *Phase) UnmarshalText(b []byte) error {
	i, err := parseName("phase", phaseNames[:], string(b))
	*p = Phase(i)
	return err
}

// Listing is the state of a host in the platform's list of hosts, which lags behind
// the host's real state.
type Listing uint8

// Listings of a host.
const (
	Absent  Listing = iota // not in the list
	Live                   // in the list as live
	Leaving                // about to leave the fleet
)

// ProbationSlots is the number of slots that new work may use on a host in
// probation.
const ProbationSlots = 2

// Host is one row of the host table.
type Host struct {
	name string // unique in the fleet
	dc   string // data centre
	rack string // unique in the fleet, not only in the data centre
	addr string // host:port of the worker

	// pool is the pool that the host belongs to, or None if it has not been assigned
	// to one.
	pool PoolID
	// moveTarget is the pool that the host is being moved to, or None.
	moveTarget PoolID
	// reason and phase are those of the host's record in the outage document of a
	// pool. reason is InService if and only if phase is NoOutage and no failure is
	// recorded.
	reason      Reason
	phase       Phase
	outageSince time.Time // time of the outage record; zero when in service
	// outagePool is the pool whose outage document has the host's record, or None
	// when in service. It differs from pool from the completion of a move until
	// the outage ends.
	outagePool PoolID

	listing Listing
	// healthy is the result of the last probe, lastProbed its time; lastSeen is the
	// time of the last successful one.
	healthy    bool
	lastSeen   time.Time
	lastProbed time.Time
	// bootID is the worker's boot id at the last successful probe, outageBootID the
	// one at the time of the outage record. A new boot id shows a reboot.
	bootID       string
	outageBootID string
	slots        int // number of slots of the worker
	busySlots    int // slots in use by all entries at the last successful probe
	// lastMaintained is the end of the host's last completed maintenance.
	lastMaintained time.Time
	// drainAcked is true if the host is closed to new work and every entry has
	// acknowledged that and has no work left on it.
	drainAcked bool
	// succeeded and failed count the tasks that ended since the last boot, with
	// exponential decay.
	succeeded, failed float64
}

// Name returns the host's name.
func (h *Host) Name() string { return h.name }

// DC returns the host's data centre.
func (h *Host) DC() string { return h.dc }

// Rack returns the host's rack.
func (h *Host) Rack() string { return h.rack }

// Addr returns the worker's address as host:port.
func (h *Host) Addr() string { return h.addr }

// Pool returns the pool that the host belongs to, or None.
func (h *Host) Pool() PoolID { return h.pool }

// MoveTarget returns the pool that the host moves to, or None.
func (h *Host) MoveTarget() PoolID { return h.moveTarget }

// Reason returns why the host is out of service, or InService.
func (h *Host) Reason() Reason { return h.reason }

// Phase returns the phase of the host's outage, or NoOutage.
func (h *Host) Phase() Phase { return h.phase }

// OutageSince returns the time of the host's outage record, or the zero time.
func (h *Host) OutageSince() time.Time { return h.outageSince }

// OutagePool returns the pool whose outage document has the host's record, or None.
func (h *Host) OutagePool() PoolID { return h.outagePool }

// Listing returns the state of the host in the platform's list.
func (h *Host) Listing() Listing { return h.listing }

// Healthy tells whether the last probe was successful.
func (h *Host) Healthy() bool { return h.healthy }

// LastSeen returns the time of the last successful probe.
func (h *Host) LastSeen() time.Time { return h.lastSeen }

// LastProbed returns the time of the last probe, successful or not. It is zero if
// this entry has no result of a probe yet.
func (h *Host) LastProbed() time.Time { return h.lastProbed }

// BootID returns the worker's boot id at the last successful probe.
func (h *Host) BootID() string { return h.bootID }

// OutageBootID returns the worker's boot id at the time of the outage record.
func (h *Host) OutageBootID() string { return h.outageBootID }

// Slots returns the number of slots the worker has.
func (h *Host) Slots() int { return h.slots }

// BusySlots returns the number of slots in use, by all entries, at the last
// successful probe.
func (h *Host) BusySlots() int { return h.busySlots }

// LastMaintained returns the end of the host's last completed maintenance.
func (h *Host) LastMaintained() time.Time { return h.lastMaintained }

// DrainAcked tells whether the host is closed to new work, by an outage or a move,
// and every entry has acknowledged that and has no work left on it.
func (h *Host) DrainAcked() bool { return h.drainAcked }

// TaskOutcomes returns the numbers of tasks that succeeded and failed since the last
// boot, with exponential decay.
func (h *Host) TaskOutcomes() (succeeded, failed float64) { return h.succeeded, h.failed }

// OutOfService tells whether the host is out of service, so that it counts against
// its pool's availability budget.
func (h *Host) OutOfService() bool { return h.reason != InService }

// Schedulable tells whether new work may be placed on the host.
func (h *Host) Schedulable() bool { return h.healthy && h.open() }

// AwaitsProbe tells whether this entry has no result of a probe yet, and the host will be
// Schedulable if it is found healthy.
func (h *Host) AwaitsProbe() bool { return h.lastProbed.IsZero() && h.open() }

// open tells whether the documents and the platform allow new work on the host.
func (h *Host) open() bool {
	usable := h.phase == NoOutage || h.phase == Probation
	return usable && h.reason != Failed && h.listing != Leaving && h.moveTarget == None
}

// UsableSlots returns the number of slots that new work may use: 0 on a host that is
// not Schedulable, at most ProbationSlots in probation.
func (h *Host) UsableSlots() int {
	if !h.Schedulable() {
		return 0
	}
	if h.phase == Probation {
		return min(ProbationSlots, h.slots)
	}
	return h.slots
}
