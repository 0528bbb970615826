package route

import (
	"time"

	"shallotpaddle/sched"
	"shallotpaddle/table"
)

// HostView is a host that may get new work.
type HostView struct {
	Name, Addr, Rack string
	// Slots is the number of slots that new work may use.
	Slots int
}

// PoolView is a pool with the hosts that may get new work.
type PoolView struct {
	Name  string
	Hosts []HostView
	// Unprobed means that hosts that are not in Hosts have not been probed yet and
	// may turn out to be usable.
	Unprobed bool
}

// QueueView is a queue with its opening hours as a parsed Window.
type QueueView struct {
	Spec   table.QueueSpec
	Window *sched.Window
}

// View is the state of the fleet by which work is dispatched. It must not be
// changed after SetView.
type View struct {
	// Rev is the revision of the configuration.
	Rev int64
	// Entries is the number of live entries, which share the slots of the
	// pools; 0 counts as 1.
	Entries int
	// Serving is false if this entry must not dispatch.
	Serving   bool
	Pools     map[string]PoolView
	Queues    map[string]QueueView
	Customers map[string]table.CustomerSpec
	Jobs      map[string]table.JobSpec
}

// Slots returns the number of slots that new work may use on all hosts.
func (p PoolView) Slots() int {
	n := 0
	for i := range p.Hosts {
		n += p.Hosts[i].Slots
	}
	return n
}

// Work describes a request or one attempt of a job.
type Work struct {
	// ID is unique across all entries and their restarts.
	ID                    string
	Queue, Customer, Kind string
	// Due is when the work should be finished; zero if there is no due time.
	Due time.Time
	// Idempotent overrides the declaration of the job kind if it is not nil.
	Idempotent *bool
	// Durable means that the work has been accepted before: it is not refused
	// as late or because of a full queue, and its task holds a lease at the
	// worker, so that it goes on when the connection breaks.
	Durable bool
	// BeforeDispatch, if not nil, is called with the host before each dispatch
	// and returns the id of the task. After an error the work is not
	// dispatched.
	BeforeDispatch func(host string) (taskID string, err error)
}
