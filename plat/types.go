package plat

import "errors"

// MaxValue is the largest size of a value in the key-value service, in bytes.
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
	// ErrUnknown is returned when a call was sent and its answer was lost or was a
	// server error; a write may or may not have taken effect.
	ErrUnknown = errors.New("outcome of write unknown")
	// ErrThrottled accompanies ErrUnavailable when the client or the service has
	// refused the call to keep within the service's rates.
	ErrThrottled = errors.New("rate exceeded")
	// ErrCompacted is returned by a watch from a revision whose history the service
	// no longer keeps; the caller has to list the keys again.
	ErrCompacted = errors.New("watch revision compacted")
	// ErrTooLarge is returned for a value above MaxValue.
	ErrTooLarge = errors.New("value too large")
)

// Item is one key with its value.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Rev is the key's revision in the store; it is positive for a key that exists.
	Rev int64 `json:"rev"`
	// Deleted marks a key that was deleted, in the result of a watch.
	Deleted bool `json:"gone,omitempty"`
	// Created is the revision at which the key was created; 0 if not reported.
	Created int64 `json:"created,omitempty"`
}

// Condition requires that a key has revision Rev; 0 requires that it doesn't exist.
type Condition struct {
	Key string
	Rev int64
}

// Put sets the value of a key. The key is deleted when Lease ends; 0 is no lease.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is a transaction: Puts and Remove are applied together if all conditions in
// Expect hold, else not at all.
type Txn struct {
	Expect []Condition
	Puts   []Put
	Remove []string
}

// Host is one element of the platform's list of hosts.
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
