// Package policy has the operators' configuration: queues, the pools that serve
// them, workspaces, and waves of maintenance.
package policy

import (
	"net"
	"strings"
	"time"
)

// Version is an accepted configuration. It doesn't change.
type Version struct {
	// Number rises with each accepted configuration, by 1 or more.
	Number int64
	Queues []Queue
	Pools  []Pool
	Limits Limits
	// KeysRequired tells that calls on queues that aren't public need the key of a workspace.
	KeysRequired bool

	// workspaces, and their indexes by name and by key.
	workspaces []Workspace
	byName     map[string]int
	// former has the workspaces that left the configuration since the process began, by name.
	former map[string]formerWorkspace
	byKey  map[string]int
}

// Limits limit the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // for the whole header of a request
	IdleTimeout    time.Duration // between requests on a connection that is kept open
	Unset          bool          // the configuration has no limits
}

// Queue is a queue to which callers submit jobs.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Pool   string
	// Rank 0 comes first; its jobs may displace others.
	Rank        int
	MaxAttempts int
	// A job is on time within SlackFactor times its critical path plus Target.
	SlackFactor float64
	Target      time.Duration
	// Advisor is nil unless the advisor decides which workers may run a step.
	Advisor *AdvisorTiming
	// Public tells that calls need no key.
	Public bool
}

// AdvisorTiming has the times of the advisor.
type AdvisorTiming struct {
	AnswerTime  time.Duration // for an answer
	PerWorker   time.Duration // additional time for each worker in the request
	TicketValid time.Duration // for which a ticket is valid
}

// Pool is a group of hosts.
type Pool struct {
	Name string
	// Standby tells that the pool's hosts are switched off and cost nothing.
	Standby bool
	// AdmissionCheck tells that workers refuse subtasks for which they lack resources.
	AdmissionCheck bool
}

// Wave is a request to maintain hosts.
type Wave struct {
	Number string
	Hosts  []string
	Within time.Duration // time for the whole wave
	// MaxDown limits the hosts of the wave that are in maintenance at once.
	MaxDown int
	// Rev is the store's revision of the request.
	Rev int64
}

// Match returns the queue of a request: of the queues for its host and for any host,
// the one with the longest prefix of its path. A port in host is ignored.
func (v *Version) Match(host, path string) (*Queue, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	var best *Queue
	for i := range v.Queues {
		q := &v.Queues[i]
		if q.Host != "" && !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best, best != nil
}

// Pool returns the pool with a name, or false if there is none.
func (v *Version) Pool(name string) (*Pool, bool) {
	for i := range v.Pools {
		if v.Pools[i].Name == name {
			return &v.Pools[i], true
		}
	}
	return nil, false
}
