package peers

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Heartbeat is one heartbeat. Fields that did not change since the last beat that
// the receiver answered are left out.
type Heartbeat struct {
	From string `json:"from"`
	DC   string `json:"dc"`
	Addr string `json:"addr"`
	// Boot tells incarnations of one name apart.
	Boot string `json:"boot"`
	// VersionsHash covers the versions of all control documents in force at the sender.
	VersionsHash uint64 `json:"hash"`
	// ConfigRev is the configuration revision in force at the sender.
	ConfigRev int64 `json:"conf"`
	// StoreReachable tells whether the sender has contact with the platform's store.
	StoreReachable bool `json:"store"`
	// Ledger names the sender's job ledger; empty while it has none open.
	Ledger string `json:"ledger,omitempty"`
	// Stopping is true while the sender drains before it ends.
	Stopping bool `json:"stop,omitempty"`
	// HostsInUse names hosts out of service on which the sender has work in flight.
	HostsInUse []string `json:"held,omitempty"`
	// Loads holds the work at the sender by pool.
	Loads map[string]Load `json:"loads,omitempty"`
	// HostReports holds what the sender knows of the hosts that it probes and that are
	// not simply healthy.
	HostReports []HostReport `json:"words,omitempty"`
}

// Load is a pool's work at one entry.
type Load struct {
	Waiting int `json:"w,omitempty"`
	Demand  int `json:"d,omitempty"`
	Running int `json:"r,omitempty"`
	// LateFor is how long the predicted delay has exceeded the targets.
	LateFor time.Duration `json:"l,omitempty"`
}

// HostReport is the sender's word on a host that it probes.
type HostReport struct {
	Host    string `json:"h"`
	Healthy bool   `json:"ok,omitempty"`
	Leaving bool   `json:"lv,omitempty"`
	Boot    string `json:"b,omitempty"`
	Busy    int    `json:"n,omitempty"`
}

// HeartbeatReply is the answer to a heartbeat.
type HeartbeatReply struct {
	From string `json:"from"`
	// Versions holds the receiver's document versions when its hash differs.
	Versions map[string]int64 `json:"vers,omitempty"`
}

// HashVersions returns a hash of document versions that does not depend on their order.
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
