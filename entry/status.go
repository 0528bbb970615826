package entry

import (
	"time"

	"shallotpaddle/table"
)

// Status is the state of the fleet as this entry sees it. It is immutable once
// published.
type Status struct {
	// Ready tells whether the entry takes work; UnreadyReason says why not, or is
	// empty.
	Ready         bool
	UnreadyReason string
	// Rev is the configuration revision in force here.
	Rev     int64
	Pools   []PoolStatus
	Hosts   []HostStatus
	Entries []MemberStatus
	// Live are the names of the live entries, this one included, sorted.
	Live []string

	progress rolloutProgress
	// hostIndex holds the index in Hosts by name.
	hostIndex map[string]int
}

// host returns a host by name.
func (s *Status) host(name string) (*HostStatus, bool) {
	i, ok := s.hostIndex[name]
	if !ok {
		return nil, false
	}
	return &s.Hosts[i], true
}

// PoolStatus is the status of one pool. Owner is the entry that probes and decides
// for it; Hosts counts its hosts, Out those of them that are out of service, and
// Budget how many may be. Slots counts the usable slots, Busy and Waiting the work
// that runs or waits at all entries.
type PoolStatus struct {
	Name, Owner                              string
	Hosts, Out, Budget, Slots, Busy, Waiting int
}

// HostStatus is the status of one host. Next is the pool that it is being moved to,
// if any; Reason and Phase are those of its outage.
type HostStatus struct {
	Name, DC, Rack, Addr, Boot, Pool, Next string
	Reason                                 table.Reason
	Phase                                  table.Phase
	Healthy                                bool
	Busy, Slots                            int
}

// MemberStatus is the status of one entry as this one sees it.
type MemberStatus struct {
	Name, DC, Addr string
	// Ledger names the entry's job ledger; empty while it has none open.
	Ledger string
	// Rev is the configuration revision in force at the entry.
	Rev int64
	// HeartbeatAge is the time since the entry's last heartbeat arrived; 0 for this
	// entry and -1 for a registered entry of which none has arrived.
	HeartbeatAge time.Duration
	// Registered tells whether the entry is registered in the store.
	Registered bool
}

// Status returns the status that the loop published last.
func (e *Entry) Status() *Status { return e.status.Load() }
