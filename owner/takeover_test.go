package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
)

// TWICE: reading the state of the pool takes long at a takeover, and the earlier owner,
// which has not heard of it, starts a subtask meanwhile. Its worker is cut off before the
// new owner's first poll. The subtask starts elsewhere only when that lease is over.
func TestLeaseGivenDuringTakeoverIsWaitedFor(t *testing.T) {
	r := newRig(t)
	began := r.clock.Now()
	r.clock.Advance(1300 * time.Millisecond)
	r.pollsSince = r.clock.Now()
	h := newHost(hosts.Worker{ID: "silent"})
	r.hosts[h.id] = h
	require.False(t, r.earlierRunsKnown(began.Add(5800*time.Millisecond)))
	require.True(t, r.earlierRunsKnown(began.Add(5850*time.Millisecond)))
}
