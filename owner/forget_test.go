package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/plat"
)

// The owner looks through the orders without an answer a few times a second, not whenever it
// handles a message. They are dropped all the same.
func TestLateOrdersAreDroppedAtIntervals(t *testing.T) {
	r := newRig(t)
	h := r.rows[0]
	r.startUnansweredAt(h, false)
	r.handlePoll(pollResult{host: h, sent: r.clock.Now(), err: plat.ErrUnknown})
	r.clock.Advance(maxOrderDelay)
	r.forgetUnanswered(r.clock.Now())
	r.clock.Advance(time.Millisecond)
	r.forgetUnanswered(r.clock.Now())
	require.Len(t, r.unanswered[h.id], 1)
	r.clock.Advance(forgetInterval)
	r.forgetUnanswered(r.clock.Now())
	require.Empty(t, r.unanswered)
	r.clock.Advance(r.longestLease() - 2*forgetInterval)
	r.forgetUnanswered(r.clock.Now())
	require.Len(t, r.lateOrders, 1, "a lease that one of them gave may be in force")
	r.clock.Advance(2 * forgetInterval)
	r.forgetUnanswered(r.clock.Now())
	require.Empty(t, r.lateOrders)
}
