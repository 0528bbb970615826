package route

import (
	"time"

	"shallotpaddle/sched"
	"shallotpaddle/table"
)

// HostView is a host that new work may be placed on.
type HostView struct {
	Name, Addr, Rack string
	// Slots is the number of slots that new work may use.
	Slots int
}

// PoolView is a pool with its open hosts.
type PoolView struct {
	Name  string
	Hosts []HostView
}

// QueueView is a queue with its parsed hours.
type QueueView struct {
	Spec   table.QueueSpec
	Window *sched.Window
}

// View is the fleet as traffic sees it. It is immutable once set.
type View struct {
	// Rev is the revision of the configuration.
	Rev int64
	// Entries is the number of live entries, which share the pools' slots; 0
	// counts as 1.
	Entries int
	// Serving is false while this entry must not dispatch.
	Serving   bool
	Pools     map[string]PoolView
	Queues    map[string]QueueView
	Customers map[string]table.CustomerSpec
	Jobs      map[string]table.JobSpec
}

// Slots returns the number of slots that new work may use.
func (p PoolView) Slots() int {
	n := 0
	for i := range p.Hosts {
		n += p.Hosts[i].Slots
	}
	return n
}

// Work describes a request or one attempt of a job.
type Work struct {
	// ID is unique over all entries and restarts.
	ID                    string
	Queue, Customer, Kind string
	// Due is when the work should be finished; zero means not given.
	Due time.Time
	// Idempotent overrides the job kind's declaration when it is not nil.
	Idempotent *bool
	// Durable tells that the work has been accepted for good: it is never refused
	// as late or for a full queue, and its task runs under a lease at the worker,
	// so that it outlives the connection.
	Durable bool
	// BeforeDispatch, when set, is called with the host before each dispatch and returns
	// the id of the task; an error keeps the work from being dispatched.
	BeforeDispatch func(host string) (task string, err error)
}
