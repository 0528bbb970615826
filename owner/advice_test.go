package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// A step that needs a ticket does not start before the advisor has answered, is not
// asked about again at once after an error, and starts only on the worker with a
// ticket.
func TestAdviceDecides(t *testing.T) {
	r := newRig(t)
	var answers []error
	asked := make(chan runs.AdvisorQuery, 9)
	r.AskAdvisor = func(_ context.Context, q runs.AdvisorQuery, _ time.Duration) (map[string]string, error) {
		asked <- q
		err := answers[0]
		answers = answers[1:]
		return map[string]string{"y": "ticket"}, err
	}
	starts := make(chan runs.Start, 9)
	r.Workers.Start = func(_ context.Context, to runs.Target, s runs.Start) (runs.Reply, error) {
		require.Equal(t, "y", to.ID)
		starts <- s
		return runs.Reply{}, nil
	}
	r.rows[0].releaseTask = 0
	for _, h := range r.rows {
		h.listed, h.answered, h.worker.Capacity.CPU, h.worker.Capacity.Mem = true, true, 8000, 8000
	}
	r.addJob(&steps.Job{ID: "a", Advisor: &steps.AdvisorTiming{AnswerMs: 10}, Steps: []steps.Step{{Count: 1, CPU: 100}}}, true)
	answers = []error{plat.ErrUnavailable, nil}
	r.scheduleStarts(r.clock.Now())
	require.Len(t, (<-asked).Workers, 3)
	r.handle(<-r.inbox)
	r.scheduleStarts(r.clock.Now())
	require.Empty(t, asked, "not at once again")
	r.clock.Advance(orderRetryDelay)
	r.scheduleStarts(r.clock.Now())
	require.Equal(t, runs.Step{Job: "a"}, (<-asked).Step)
	r.handle(<-r.inbox)
	require.Empty(t, starts)
	r.scheduleStarts(r.clock.Now())
	require.Equal(t, "ticket", (<-starts).Ticket)
	r.handle(<-r.inbox)
	require.Nil(t, r.asked)
}

// A question about a step that nothing waits for any more is withdrawn, and its turn given back.
func TestAdviceWithdrawn(t *testing.T) {
	r := newRig(t)
	r.rows[0].releaseTask = 0
	for _, h := range r.rows {
		h.listed, h.answered, h.worker.Capacity.CPU, h.worker.Capacity.Mem = true, true, 8000, 8000
	}
	asked := make(chan runs.AdvisorQuery, 9)
	r.AskAdvisor = func(ctx context.Context, q runs.AdvisorQuery, _ time.Duration) (map[string]string, error) {
		asked <- q
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", plat.ErrUnknown, ctx.Err())
	}
	for _, id := range []string{"a", "b"} {
		r.addJob(&steps.Job{ID: id, Advisor: &steps.AdvisorTiming{AnswerMs: 10}, Steps: []steps.Step{{Count: 1, CPU: 100}}}, true)
	}
	r.scheduleStarts(r.clock.Now())
	require.Equal(t, "a", (<-asked).Step.Job)
	r.cancelJob("a")
	r.scheduleStarts(r.clock.Now())
	r.handle(<-r.inbox)
	r.scheduleStarts(r.clock.Now())
	require.Equal(t, "b", (<-asked).Step.Job)
	require.Zero(t, r.Stats.QuestionsFailed.Count())
}
