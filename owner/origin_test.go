package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
)

// TWICE: an answer was booked on the incarnation that was meant, as nothing but the clock in it tells
// of a restart. A clock that is not behind proves that there was none only if a new one could not have
// advanced as far.
func TestOriginOfAnswer(t *testing.T) {
	const sinceReport = time.Second
	for name, c := range map[string]struct {
		first, clock int64 // of the incarnation that is known, in its first report and in the last
		reply        runs.Reply
		want         origin
	}{
		"clock goes on":                          {0, 60_000, runs.Reply{ClockMs: 61_000}, originMeant},
		"clock goes on, 2 % slow":                {0, 60_000, runs.Reply{ClockMs: 60_980}, originMeant},
		"clock is behind":                        {0, 60_000, runs.Reply{ClockMs: 500}, originNext},
		"clock is a little behind":               {0, 60_000, runs.Reply{ClockMs: 60_900}, originNext},
		"up for as long as since the report":     {0, 10, runs.Reply{ClockMs: 1000}, originUnknown},
		"up for a moment more":                   {0, 10, runs.Reply{ClockMs: 1010}, originMeant},
		"first reports are not at 0":             {60_000, 60_010, runs.Reply{ClockMs: 61_000}, originUnknown},
		"no clock":                               {0, 60_000, runs.Reply{}, originUnknown},
		"the answer names the incarnation":       {0, 60_000, runs.Reply{ClockMs: 500, StartedMs: 1000}, originMeant},
		"the answer names another":               {0, 60_000, runs.Reply{ClockMs: 61_000, StartedMs: 2000}, originNext},
		"another incarnation, but a known clock": {0, 0, runs.Reply{ClockMs: 900}, originNext},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			h := newHost(hosts.Worker{ID: "w", StartedMs: 1000})
			h.answered, h.firstClock, h.clock = true, c.first, c.clock
			h.clockAt, h.lastReport = now.Add(-sinceReport), now.Add(-sinceReport)
			require.Equal(t, c.want, h.originOf(c.reply, now, now))
		})
	}
}

// A report that was built before an order was sent, and is read after that, does not make the answer to
// the order look like that of a later incarnation.
func TestOriginOfAnswerToEarlierOrder(t *testing.T) {
	now := time.Now()
	h := newHost(hosts.Worker{ID: "w"})
	h.answered, h.clock, h.clockAt, h.lastReport = true, 60_000, now, now.Add(-time.Second)
	require.Equal(t, originMeant, h.originOf(runs.Reply{ClockMs: 59_500}, now.Add(-500*time.Millisecond), now))
	require.Equal(t, originNext, h.originOf(runs.Reply{ClockMs: 59_400}, now.Add(-500*time.Millisecond), now))
}
