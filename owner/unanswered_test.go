package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/steps"
)

// LOST: a worker stops answering before it has confirmed a start. A long-running
// subtask may start again within the 7 seconds that users allow, any other one when
// the first start can't be carried out any more, counted from when it was sent.
func TestHeldBackFromTheOrder(t *testing.T) {
	for longRunning, within := range map[bool]time.Duration{true: 7 * time.Second, false: 12 * time.Second} {
		r := newRig(t)
		h := r.rows[0]
		p := h.runs[r.tasks[0].ID]
		p.task.Step.LongRunning = longRunning
		p.confirmedAt, p.startSentAt, p.task.Phase = time.Time{}, r.clock.Now(), steps.Starting
		sent := r.clock.Now()
		r.clock.Advance(4300 * time.Millisecond)
		r.endIncarnation(h, "lease is over")
		require.LessOrEqual(t, p.task.HeldUntil.Sub(sent), within)
		require.True(t, p.task.HeldUntil.After(r.clock.Now()))
	}
}
