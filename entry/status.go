package entry

import (
	"time"

	"shallotpaddle/table"
)

// Status is what the loop last published about the fleet. It is immutable.
type Status struct {
	// Ready tells whether the entry takes work; UnreadyReason says why not.
	Ready         bool
	UnreadyReason string
	// Rev is the configuration revision in force here.
	Rev     int64
	Pools   []PoolStatus
	Hosts   []HostStatus
	Entries []EntryStatus
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

// PoolStatus is one pool.
type PoolStatus struct {
	Name, Owner                              string
	Hosts, Out, Budget, Slots, Busy, Waiting int
}

// HostStatus is one host.
type HostStatus struct {
	Name, DC, Rack, Addr, Boot, Pool, Next string
	Reason                                 table.Reason
	Phase                                  table.Phase
	Healthy                                bool
	Busy, Slots                            int
}

// EntryStatus is one entry as this one sees it.
type EntryStatus struct {
	Name, DC, Addr string
	// Ledger names the entry's job ledger; empty while it has none open.
	Ledger       string
	Rev          int64
	HeartbeatAge time.Duration
	// Registered tells that the entry is in the store's list of entries.
	Registered bool
}

// Status returns the last published state.
func (e *Entry) Status() *Status { return e.status.Load() }
