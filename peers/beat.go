package peers

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Heartbeat is the state of an entry that it sends to its peers at intervals.
type Heartbeat struct {
	From string `json:"from"` // name of the sender
	DC   string `json:"dc"`
	Addr string `json:"addr"`
	// Boot is different for each process that uses the same name.
	Boot string `json:"boot"`
	// VersionsHash is the HashVersions of the versions of all control documents in
	// force at the sender.
	VersionsHash uint64 `json:"hash"`
	// ConfigRev is the configuration revision in force at the sender.
	ConfigRev int64 `json:"conf"`
	// StoreReachable is true while the sender has contact with the platform's store.
	StoreReachable bool `json:"store"`
	// Ledger is the name of the sender's job ledger; empty while none is open.
	Ledger string `json:"ledger,omitempty"`
	// Stopping is true while the sender drains its work before it exits.
	Stopping bool `json:"stop,omitempty"`
	// HostsInUse names the hosts closed for new work on which the sender still has
	// work in flight.
	HostsInUse []string `json:"held,omitempty"`
	// Loads holds the work at the sender by pool.
	Loads map[string]Load `json:"loads,omitempty"`
	// HostReports holds reports on those of the hosts that the sender probes that
	// are unhealthy or leaving.
	HostReports []HostReport `json:"words,omitempty"`
}

// Load is a pool's work at one entry.
type Load struct {
	Waiting int `json:"w,omitempty"`
	Demand  int `json:"d,omitempty"`
	Running int `json:"r,omitempty"`
	// LateFor is how long the predicted delay has exceeded the targets so far.
	LateFor time.Duration `json:"l,omitempty"`
}

// HostReport is the state of a host that the sender of a heartbeat probes.
type HostReport struct {
	Host    string `json:"h"`
	Healthy bool   `json:"ok,omitempty"`
	Leaving bool   `json:"lv,omitempty"`
	Boot    string `json:"b,omitempty"`
	Busy    int    `json:"n,omitempty"`
}

// HeartbeatReply is the answer to a Heartbeat.
type HeartbeatReply struct {
	From string `json:"from"` // name of the receiver
	// Versions holds the receiver's document versions if their hash differs from
	// the heartbeat's.
	Versions map[string]int64 `json:"vers,omitempty"`
}

// HashVersions returns a hash of document versions by key; the order of the map
// does not matter.
func HashVersions(versions map[string]int64) uint64 {
	keys := make([]string, 0, len(versions))
	for k := range versions {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	for _, k := range keys {
		_, _ = d.WriteString(k)
		v := versions[k]
		for i := range b {
			b[i] = byte(v >> (8 * i))
		}
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}
