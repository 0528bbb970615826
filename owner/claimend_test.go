package owner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
)

// TWICE: a worker of an earlier owner has started again at another address, and another worker
// answers at its former one. The takeover waits for the incarnation that is registered, which
// may have runs as well.
func TestTakeoverWaitsForRegisteredIncarnation(t *testing.T) {
	r, h := newRig(t), newHost(hosts.Worker{ID: "w", StartedMs: 1000, Address: "a"})
	h.inherited = true
	clear(r.hosts)
	r.hosts["w"], r.pollsSince = h, r.clock.Now()
	r.updateWorkers([]hosts.Worker{{ID: "w", StartedMs: 2000, Address: "b"}}, nil)
	require.Same(t, h, r.hosts["w"])
	r.handlePoll(pollResult{host: h, address: "a", sent: r.clock.Now(), err: runs.ErrIncarnation})
	r.expireLeases(r.clock.Now())
	require.False(t, r.takeoverDone)
	next := r.hosts["w"]
	require.Equal(t, runs.Target{ID: "w", Address: "b"}, next.target())
	r.handlePoll(pollResult{host: next, address: "b", sent: r.clock.Now(), report: runs.Report{Reply: runs.Reply{ClockMs: 50, StartedMs: 2000}}})
	r.expireLeases(r.clock.Now())
	require.True(t, r.takeoverDone)
}
