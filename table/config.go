package table

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text, such as "1m30s", in
// documents and settings.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText encodes the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes what time.ParseDuration accepts.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("duration %q: %w", b, err)
	}
	*d = Duration(v)
	return nil
}

// Config is one accepted configuration. Its fields are exported for encoding only;
// a value must not be changed once it is shared.
type Config struct {
	// Rev is the revision. It grows by one with each accepted release note; 0 is
	// the empty configuration.
	Rev int64 `json:"rev"`
	// Pools, Queues, Customers and Jobs are each sorted by name; names are unique.
	Pools     []PoolSpec     `json:"pools"`
	Queues    []QueueSpec    `json:"queues"`
	Customers []CustomerSpec `json:"customers"`
	Jobs      []JobSpec      `json:"jobs"`
}

// PoolSpec declares a pool of hosts.
type PoolSpec struct {
	Name string `json:"name" yaml:"name"`
	// Size is the number of hosts that the pool has when none is lent, at least 1.
	Size int `json:"size" yaml:"size"`
	// Max is the largest number of hosts that the pool may have, including hosts
	// lent to it; 0 means Size.
	Max int `json:"max,omitempty" yaml:"max,omitempty"`
	// Budget is the availability budget: the largest number of hosts of the pool
	// that may be out of service at once, whether for a planned outage, a failure
	// or a move.
	Budget int `json:"budget" yaml:"budget"`
	// Reserve is the part of Budget that planned outages may not use, so that it
	// is left for failures; in hosts.
	Reserve int `json:"reserve,omitempty" yaml:"reserve,omitempty"`
	// Spare is set for the pool that lends hosts to the others.
	Spare bool `json:"spare,omitempty" yaml:"spare,omitempty"`
	// Period is the time within which each host is maintained once; 0 means no
	// maintenance.
	Period Duration `json:"period,omitempty" yaml:"period,omitempty"`
}

// QueueSpec declares a queue. Its work runs on the hosts of one pool.
type QueueSpec struct {
	Name string `json:"name" yaml:"name"`
	// Pool names an existing pool.
	Pool string `json:"pool" yaml:"pool"`
	// Target is the longest delay until the start of an item that counts as good
	// for the service level objective.
	Target Duration `json:"target" yaml:"target"`
	// Objective is the service level objective: the share of items that must be
	// good, above 0 and below 1.
	Objective float64 `json:"objective" yaml:"objective"`
	// Depth is the largest number of requests and jobs that may wait at one entry;
	// 0 means DefaultDepth.
	Depth int `json:"depth,omitempty" yaml:"depth,omitempty"`
	// Hours limits the start of work to a daily span, such as "08:00-18:00", in
	// the time zone Tz; empty means no limit.
	Hours string `json:"hours,omitempty" yaml:"hours,omitempty"`
	Tz    string `json:"tz,omitempty" yaml:"tz,omitempty"`
}

// CustomerSpec declares a customer's rank and quota.
type CustomerSpec struct {
	Name string `json:"name" yaml:"name"`
	// Rank orders customers; 1 is served first.
	Rank int `json:"rank" yaml:"rank"`
	// Quota is the share of a pool's slots, above 0 and at most 1, that the
	// customer may use while other customers wait; 0 means no limit.
	Quota float64 `json:"quota,omitempty" yaml:"quota,omitempty"`
}

// JobSpec declares a job kind.
type JobSpec struct {
	Name string `json:"name" yaml:"name"`
	// Queue names an existing queue.
	Queue string `json:"queue" yaml:"queue"`
	// Rank orders job kinds; 1 is served first.
	Rank int `json:"rank" yaml:"rank"`
	// Run is the expected run time. It is a first estimate only; measured run times
	// override it.
	Run Duration `json:"run,omitempty" yaml:"run,omitempty"`
	// Slots is the number of worker slots that one run takes; 0 means 1.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
	// Idempotent is set if a run may be repeated.
	Idempotent bool `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	// Attempts is the largest number of dispatches of one job; 0 means
	// DefaultAttempts.
	Attempts int `json:"attempts,omitempty" yaml:"attempts,omitempty"`
	// Checkpoint is set if the worker can checkpoint and resume a run.
	Checkpoint bool `json:"checkpoint,omitempty" yaml:"checkpoint,omitempty"`
}

const (
	// DefaultDepth is the depth of a queue that declares none, in requests and
	// jobs.
	DefaultDepth = 10000
	// DefaultAttempts is the number of attempts of a job kind that declares none.
	DefaultAttempts = 3
	// WorkerSlots is the number of slots of a worker.
	WorkerSlots = 8
	// WorkerConns is the number of connections that a worker accepts.
	WorkerConns = 64
)

// Clone returns a deep copy of c.
func (c *Config) Clone() *Config {
	b, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("table: config does not encode: %v", err))
	}
	var out Config
	if err := json.Unmarshal(b, &out); err != nil {
		panic(fmt.Sprintf("table: config does not decode: %v", err))
	}
	return &out
}
