package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/steps"
)

// LOST: the worker to which a subtask was moved falls dark before it answers the
// start. A lasting subtask is back within the users' seven seconds; another waits
// until the order can't be carried out any more, from when it was sent.
func TestHeldBackFromTheOrder(t *testing.T) {
	for lasting, within := range map[bool]time.Duration{true: 7 * time.Second, false: 12 * time.Second} {
		r := newRig(t)
		h := r.rows[0]
		p := h.runs[r.tasks[0].ID]
		p.task.Step.LongRunning = lasting
		p.confirmedAt, p.startSentAt, p.task.Phase = time.Time{}, r.clock.Now(), steps.Starting
		sent := r.clock.Now()
		r.clock.Advance(4300 * time.Millisecond)
		r.endIncarnation(h, "lease is over")
		require.LessOrEqual(t, p.task.HeldUntil.Sub(sent), within)
		require.True(t, p.task.HeldUntil.After(r.clock.Now()))
	}
}
