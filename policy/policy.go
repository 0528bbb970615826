// Package policy has the operators' configuration in force: queues, the pools
// that serve them, and waves of maintenance.
package policy

import (
	"net"
	"strings"
	"time"
)

// Version is one accepted configuration. It doesn't change once published.
type Version struct {
	// Number rises with each accepted configuration, in uneven steps.
	Number int64
	Queues []Queue
	Pools  []Pool
	Limits Limits
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int           // bytes of a request's header
	MaxBodyBytes   int           // bytes of a request's body
	HeaderTimeout  time.Duration // longest wait for a request's header
	IdleTimeout    time.Duration // longest pause on a kept connection
	Unset          bool          // the configuration names none
}

// Queue is where callers hand jobs in.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Pool   string
	// Rank 0 comes first and may displace others.
	Rank        int
	MaxAttempts int
	// A job is on time within SlackFactor times its longest chain of work plus Target.
	SlackFactor float64
	Target      time.Duration
	// Advisor is nil unless only the advisor knows which workers may run a step.
	Advisor *AdvisorTiming
}

// AdvisorTiming tells what asking the advisor takes.
type AdvisorTiming struct {
	AnswerTime  time.Duration // of each answer
	PerWorker   time.Duration // more for each worker that is named
	TicketValid time.Duration // for which a ticket holds
}

// Pool is a group of hosts.
type Pool struct {
	Name string
	// Standby tells that the pool's hosts are off and cost nothing.
	Standby bool
	// AdmissionCheck tells that workers refuse what does not fit.
	AdmissionCheck bool
}

// Wave asks for the maintenance of hosts.
type Wave struct {
	Number string
	Hosts  []string
	Within time.Duration
	// MaxDown is the most hosts of the wave that may be down at once.
	MaxDown int
	// Rev is the store's revision of the request.
	Rev int64
}

// Match returns the queue of a request by its host and the longest prefix.
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

// Pool returns a pool by name.
func (v *Version) Pool(name string) (*Pool, bool) {
	for i := range v.Pools {
		if v.Pools[i].Name == name {
			return &v.Pools[i], true
		}
	}
	return nil, false
}
