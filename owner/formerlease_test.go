package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
)

// TWICE: a poll of an earlier owner got no answer, and is carried out by the next
// incarnation of a worker before this owner reaches it. Its time is far ahead of the clock
// there, so that the worker gives its longest lease. If the worker is cut off then, it is
// given up only when that lease is over.
func TestLeaseOfWorkerRestartedAfterTakeoverIsWaitedFor(t *testing.T) {
	r := newRig(t)
	r.Term, r.formerOver, r.Bounds.MaxLease = 2, r.clock.Now(), 10*time.Second
	report := func(born int64) {
		r.updateWorker(hosts.Worker{ID: "w", StartedMs: born}, r.clock.Now())
		r.handlePoll(pollResult{host: r.hosts["w"], sent: r.clock.Now(), report: runs.Report{Reply: runs.Reply{ClockMs: born, StartedMs: born}}})
		require.Equal(t, born, r.hosts["w"].startedMs)
	}
	report(1000)
	r.clock.Advance(2 * time.Second)
	report(2000)
	r.clock.Advance(10 * time.Second)
	require.False(t, r.hosts["w"].leaseExpired(r.clock.Now(), r.formerOver))
}
