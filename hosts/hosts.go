// Package hosts has what the platform tells of workers and their hosts.
package hosts

import (
	"errors"
	"time"
)

var (
	// ErrNotUp is returned for a host that is not up or that leaves.
	ErrNotUp = errors.New("host is not up")
	// ErrNotInWave is returned for a host that is not part of the wave.
	ErrNotInWave = errors.New("host is not part of the wave")
	// ErrFence is returned when the host has had an order with a higher token.
	ErrFence = errors.New("order on host superseded")
	// ErrInvalid is returned for an order that names no host or no pool.
	ErrInvalid = errors.New("order on host not valid")
)

// Resources is what a worker can hold: processor in thousandths of a core, memory in
// MiB, accelerators in devices.
type Resources struct{ CPU, Mem, GPU int }

// Worker is one registered worker.
type Worker struct {
	ID      string
	Pool    string
	Address string
	Centre  string
	// Draining tells that the worker leaves; Left is then at least what remains.
	Draining   bool
	DrainLeft  time.Duration
	WarmupLeft time.Duration // how much longer it is slow after its start
	Capacity   Resources
	Labels     []string
	Rack       string // empty if not told
	Host       string // the host that it is a life of; empty if not told
	StartedMs  int64  // start of the incarnation in Unix milliseconds; 0 if not told
	Rev        int64  // the store's revision of the entry
}

// State is what a host does.
type State string

// States of a host.
const (
	Up          State = "up"
	Moving      State = "moving"
	Maintenance State = "upkeep"
	Down        State = "down"
)

// Host is one host of the fleet.
type Host struct {
	Name     string
	Pool     string
	State    State
	Centre   string
	Labels   []string
	Capacity Resources
	Worker   string // ID of its worker, empty if there is none
}

// Order is an order on a host.
type Order struct {
	Host   string
	Pool   string // to move to
	Wave   string // to be maintained for
	Holder string // who orders
	Fence  int64
}
