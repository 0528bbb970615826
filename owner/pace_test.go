package owner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// HARM: filling runs next to a serving subtask that exceeds its bound get a lower
// share, and a share that was not confirmed is sent again.
func TestPaceHarm(t *testing.T) {
	r := newRig(t)
	paces := make(chan runs.Pace, 9)
	var fault error
	r.Workers.Pace = func(_ context.Context, _ runs.Target, p runs.Pace) (runs.Reply, error) {
		paces <- p
		return runs.Reply{}, fault
	}
	r.addJob(&steps.Job{ID: "f", Steps: []steps.Step{{Count: 1, Fills: true}}}, true)
	h, filler := r.rows[0], r.jobs["f"].progress.Task(runs.Task{Job: "f"})
	r.reserveRoom(h, &placement{task: filler, job: r.jobs["f"], run: 4, share: fullShare, confirmedAt: r.clock.Now()})
	r.tasks[0].Step.TailBoundMs = 100
	pace := func(figure float64) runs.Pace {
		r.tasks[0].TailOrCPU = figure
		r.adjustFillShare(h)
		p := <-paces
		r.handle(<-r.inbox)
		return p
	}
	order := func(percent int) runs.Pace {
		return runs.Pace{Task: filler.ID, Run: 4, Percent: percent, Fence: r.Fence}
	}
	require.Equal(t, order(25), pace(150))
	fault = plat.ErrUnknown
	require.Equal(t, order(0), pace(150))
	fault = nil
	require.Equal(t, order(0), pace(90), "its share is not known")
	require.Equal(t, order(15), pace(60))
	r.adjustFillShare(newHost(hosts.Worker{ID: "w"}))
	require.Empty(t, paces)
}

// GANG, TWICE: when a start is refused after a try without an answer, the earlier
// try may still be carried out. The run is stopped before the subtask may start
// elsewhere.
func TestRefusedAfterUnansweredTry(t *testing.T) {
	for _, err := range []error{runs.ErrNoCapacity, runs.ErrTicket, runs.ErrInvalid} {
		r := newRig(t)
		h := r.rows[0]
		p := h.runs[r.tasks[0].ID]
		p.confirmedAt, p.tries = time.Time{}, 2
		r.handleStarted(startResult{host: h, placement: p, err: err})
		require.Equal(t, runs.Stop{Task: r.tasks[0].ID, Run: 1}, <-r.stops)
		require.Equal(t, steps.Stopping, r.tasks[0].Phase)
	}
}
