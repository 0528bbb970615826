package owner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A start that a later incarnation has answered says nothing of the crash of the one before.
func TestNextAnswerIsNoCrash(t *testing.T) {
	r := newRig(t)
	h, task := r.rows[0], r.tasks[0]
	p := h.runs[task.ID]
	p.origin, p.startSentAt = originNext, r.clock.Now()
	r.replaceIncarnation(h, "another incarnation answers")
	require.Empty(t, task.Crashes)
}
