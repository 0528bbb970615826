package plat

import "errors"

// MaxValue is the largest value the key-value service holds, in bytes.
const MaxValue = 1 << 20

var (
	// ErrNotFound is returned for a key, lease or host that does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict is returned when a compare-and-swap found another revision;
	// the write has not taken effect.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable is returned when the call was refused or never sent; a
	// write has not taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown is returned when a write was sent and its answer was lost; it
	// may or may not have taken effect.
	ErrUnknown = errors.New("outcome of write unknown")
	// ErrThrottled accompanies ErrUnavailable when the call was held back or
	// refused to keep within the service's rates.
	ErrThrottled = errors.New("rate exceeded")
	// ErrCompacted is returned by a watch from a revision that the service no
	// longer remembers; list again.
	ErrCompacted = errors.New("watch revision compacted")
	// ErrTooLarge is returned for a value above MaxValue.
	ErrTooLarge = errors.New("value too large")
)

// Item is one key with its value.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Rev is the key's revision in the store, above 0 for a key that exists.
	Rev int64 `json:"rev"`
	// Deleted marks a deleted key in the answer to a watch.
	Deleted bool `json:"gone,omitempty"`
	// Created is the revision at which the key was created; 0 if not told.
	Created int64 `json:"created,omitempty"`
}

// Condition demands that a key has a revision; 0 means that it does not exist.
type Condition struct {
	Key string
	Rev int64
}

// Put sets a key, under a lease unless that is 0.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is a set of changes that are made all together if all conditions hold.
type Txn struct {
	Expect []Condition
	Puts   []Put
	Remove []string
}

// Host is one line of the platform's list of hosts.
type Host struct {
	Name string `json:"name"`
	DC   string `json:"dc"`
	Rack string `json:"rack"`
	Addr string `json:"addr"`
	// State is StateLive or StateLeaving.
	State string `json:"state"`
}

// States of a listed host.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)
