package owner

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
)

// Acks: the next incarnation of a worker answers a poll that acknowledges ends of the earlier
// one. Its own ends have the same numbers, and must be acknowledged all the same.
func TestEndsOfIncarnationThatAnswersAreAcknowledged(t *testing.T) {
	r := newRig(t)
	h := newHost(hosts.Worker{ID: "w", StartedMs: 1000})
	r.hosts["w"], h.answered, h.ackable, h.lastEnd = h, true, 5, 5
	report := func(acked int64, ends ...runs.End) {
		m := runs.Report{Reply: runs.Reply{ClockMs: 50, StartedMs: 2000}, Ended: ends}
		r.handlePoll(pollResult{host: r.hosts["w"], sent: r.clock.Now(), acked: acked, report: m})
	}
	report(5)
	next := r.hosts["w"]
	require.Equal(t, int64(2000), next.startedMs)
	report(0, runs.End{Number: 1, Task: runs.Task{Job: "unknown"}, Run: 1, Outcome: runs.Done})
	require.Equal(t, int64(1), next.ackable)
	require.True(t, next.pollDue(next.nextPoll))
	sent := make(chan runs.Renew, 1)
	r.Workers.Renew = sentTo(sent)
	r.poll(next, r.clock.Now())
	require.Equal(t, int64(1), (<-sent).AckedThrough)
}

func sentTo(sent chan<- runs.Renew) func(context.Context, runs.Target, runs.Renew) (runs.Report, error) {
	return func(_ context.Context, _ runs.Target, n runs.Renew) (runs.Report, error) {
		sent <- n
		return runs.Report{}, nil
	}
}
