package table

import "time"

// Row numbers are dense and valid for one Tables value only; names identify
// rows across processes.
type (
	// HostID numbers a row of the host table.
	HostID int32
	// PoolID numbers a row of the pool table.
	PoolID int32
)

// None is the row number of no row.
const None = -1

// Reason tells why a host is out of service.
type Reason uint8

// Reasons for an outage. All but Failed are planned.
const (
	InService   Reason = iota
	Maintenance        // periodic reboot
	Repair             // reboot of a host that fails its work
	Move               // transfer to another pool
	Operator           // drain ordered by an operator
	Failed             // not planned: the host was seen down
)

var reasonNames = [...]string{"in-service", "maintenance", "repair", "move", "operator", "failed"}

// String returns the reason in the form used by documents and logs.
func (r Reason) String() string { return reasonNames[r] }

// MarshalText writes the reason by name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads a reason by name; an unknown name is an error.
func (r *Reason) UnmarshalText(b []byte) error {
	i, err := parseName("reason", reasonNames[:], string(b))
	*r = Reason(i)
	return err
}

// Phase tells how far a planned outage has come.
type Phase uint8

// Phases of an outage, in order.
const (
	NoOutage  Phase = iota
	Draining        // no new work; tasks in flight end
	Rebooting       // reboot ordered, new boot not yet seen
	Probation       // back with ProbationSlots
)

var phaseNames = [...]string{"none", "draining", "rebooting", "probation"}

// String returns the phase in the form used by documents and logs.
func (p Phase) String() string { return phaseNames[p] }

// MarshalText writes the phase by name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a phase by name; an unknown name is an error.
func (p *Phase) UnmarshalText(b []byte) error {
	i, err := parseName("phase", phaseNames[:], string(b))
	*p = Phase(i)
	return err
}

// Listing is the platform's lagging word on a host.
type Listing uint8

// Listings of a host.
const (
	Absent  Listing = iota // not on the list
	Live                   // listed as live
	Leaving                // listed as about to go
)

// ProbationSlots is the number of slots used on a host that has just returned.
const ProbationSlots = 2

// Host is one row of the host table.
type Host struct {
	name string // unique in the fleet
	dc   string // data centre
	rack string // unique in the fleet, not only in the data centre
	addr string // host:port of the worker

	// pool is the one pool the host belongs to, or None before first placement.
	pool PoolID
	// moveTarget is the pool a move leads to, or None when no move is under way.
	moveTarget PoolID
	// reason and phase mirror the pool's outage document; reason is InService
	// exactly when phase is NoOutage and the host is not recorded as failed.
	reason      Reason
	phase       Phase
	outageSince time.Time // when the outage was recorded; zero when in service
	// outagePool is the pool whose outage document holds the host's record, or
	// None when in service. It differs from pool after the transfer of a move,
	// until the record is ended.
	outagePool PoolID

	listing Listing
	// healthy is the last probe's answer; seen is the time of the last good
	// one, probed that of the last of either kind.
	healthy    bool
	lastSeen   time.Time
	lastProbed time.Time
	// bootID is the worker's boot id of the last good probe; outageBootID the one at
	// the time the outage was recorded.
	bootID       string
	outageBootID string
	slots        int // slots the worker has
	busySlots    int // slots in use as last reported, all entries together
	// lastMaintained is the end of the host's last completed maintenance.
	lastMaintained time.Time
	// drainAcked tells that every registered entry has acknowledged a placement
	// revision at or past the one that marked the host as leaving its pool.
	drainAcked bool
	// succeeded and failed are exponentially decayed counts of task ends since boot.
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

// Reason returns why the host is out of service.
func (h *Host) Reason() Reason { return h.reason }

// Phase returns how far the host's outage has come.
func (h *Host) Phase() Phase { return h.phase }

// OutageSince returns when the host's outage was recorded.
func (h *Host) OutageSince() time.Time { return h.outageSince }

// OutagePool returns the pool whose outage document records the host, or None.
func (h *Host) OutagePool() PoolID { return h.outagePool }

// Listing returns the platform's lagging word on the host.
func (h *Host) Listing() Listing { return h.listing }

// Healthy tells whether the last probe was answered.
func (h *Host) Healthy() bool { return h.healthy }

// LastSeen returns the time of the last answered probe.
func (h *Host) LastSeen() time.Time { return h.lastSeen }

// LastProbed returns the time of the last probe; it is zero for a host on which
// this entry has no word yet.
func (h *Host) LastProbed() time.Time { return h.lastProbed }

// BootID returns the worker's boot id as last seen.
func (h *Host) BootID() string { return h.bootID }

// OutageBootID returns the boot id recorded when the outage began.
func (h *Host) OutageBootID() string { return h.outageBootID }

// Slots returns the number of slots the worker has.
func (h *Host) Slots() int { return h.slots }

// BusySlots returns the slots in use as last reported.
func (h *Host) BusySlots() int { return h.busySlots }

// LastMaintained returns when the host's last maintenance ended.
func (h *Host) LastMaintained() time.Time { return h.lastMaintained }

// DrainAcked tells whether every registered entry knows that the host is leaving.
func (h *Host) DrainAcked() bool { return h.drainAcked }

// TaskOutcomes returns the decayed counts of good and bad task ends.
func (h *Host) TaskOutcomes() (good, bad float64) { return h.succeeded, h.failed }

// OutOfService tells whether the host counts against its pool's availability budget.
func (h *Host) OutOfService() bool { return h.reason != InService }

// Schedulable tells whether new work may be placed on the host.
func (h *Host) Schedulable() bool {
	usable := h.phase == NoOutage || h.phase == Probation
	return usable && h.reason != Failed && h.healthy && h.listing != Leaving && h.moveTarget == None
}

// UsableSlots returns the number of slots that new work may use.
func (h *Host) UsableSlots() int {
	if !h.Schedulable() {
		return 0
	}
	if h.phase == Probation {
		return min(ProbationSlots, h.slots)
	}
	return h.slots
}
