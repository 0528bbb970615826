package owner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/steps"
)

// LOST: a doubt that was stored when the next incarnation was registered, already longer by its lease, is
// made longer again by each later owner that reads the same registration.
func TestRestoredDoubtGrowsOnce(t *testing.T) {
	r := newRig(t)
	h, task := r.rows[0], r.tasks[0]
	r.freeRoom(h, h.runs[task.ID])
	task.Phase, task.WorkerID, task.Run = steps.Waiting, "", 0
	longest := maxOrderDelay + r.longestLease()
	task.Doubts = []steps.Doubt{{Run: 1, Worker: h.id, Born: 1000, LeftMs: longest.Milliseconds()}}
	r.restoreDoubts(r.jobs["j"])
	r.doubtNext(h.id, 2000)
	require.LessOrEqual(t, task.HeldUntil.Sub(r.clock.Now()), longest)
}
