// Package hosts has the platform's data on hosts and workers, and orders for hosts.
package hosts

import (
	"errors"
	"time"
)

var (
	// ErrNotUp is returned for a host that is not up, or that is about to leave.
	ErrNotUp = errors.New("host is not up")
	// ErrNotInWave is returned for a host that is not part of the wave.
	ErrNotInWave = errors.New("host is not part of the wave")
	// ErrFence is returned when the host has had an order with a higher fencing token.
	ErrFence = errors.New("host has had an order with a higher fencing token")
	// ErrInvalid is returned for an order that the platform rejects as invalid, such as
	// one that names no host or no pool.
	ErrInvalid = errors.New("order for host rejected as invalid")
)

// Resources are CPU in thousandths of a core, memory in MiB and GPUs in devices.
type Resources struct{ CPU, Mem, GPU int }

// Worker is a registered worker.
type Worker struct {
	ID      string
	Pool    string
	Address string
	Centre  string // data centre
	// Draining tells that the worker is about to leave. DrainLeft is then the least
	// time that remains.
	Draining   bool
	DrainLeft  time.Duration
	WarmupLeft time.Duration // how much longer the worker is slow after its start
	Capacity   Resources
	Labels     []string
	Rack       string // empty if unknown
	Host       string // the host on which it runs; empty if unknown
	StartedMs  int64  // start of the incarnation in Unix milliseconds; 0 if unknown
	Rev        int64  // the store's revision of the registration
}

// State is the state of a host.
type State string

// States of a host.
const (
	Up          State = "up"
	Moving      State = "moving"
	Maintenance State = "upkeep"
	Down        State = "down"
	// Unknown is the state of a host whose entry in the list can't be used.
	Unknown State = "unknown"
)

// Host is a host of the fleet.
type Host struct {
	Name     string
	Pool     string
	State    State
	Centre   string // data centre
	Labels   []string
	Capacity Resources
	Worker   string // ID of its worker, empty if there is none
	// Fault is why the entry can't be used; empty if it can. Such a host has no other
	// fields than Name, which may be empty, and State.
	Fault string
}

// Order orders the move of a host to another pool or its maintenance.
type Order struct {
	Host   string
	Pool   string // the pool to move to
	Wave   string // the maintenance wave
	Holder string // name of the entry that gives the order
	Fence  int64  // fencing token
}
