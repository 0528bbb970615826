package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
)

// LOST: a run is known to be of an incarnation, and a stop is under way when that is lost: the subtask
// is held back for the longest lease, as if its start may have been answered by the next.
func TestStopUnderWayDoesNotHoldBack(t *testing.T) {
	for name, stop := range map[string]bool{"no call under way": false, "stop under way": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			h := r.rows[0]
			p := h.runs[r.tasks[0].ID]
			p.startSentAt, p.sentBy = r.clock.Now(), r.clock.Now().Add(minAnswerTimeout)
			r.clock.Advance(time.Minute)
			h.leasedBy = r.clock.Now().Add(time.Second)
			if stop {
				p.inFlight, p.stopping, p.stopTries = true, true, 1
			}
			r.clock.Advance(4300 * time.Millisecond)
			r.endIncarnation(h, causeLeaseOver)
			require.Zero(t, max(p.task.HeldUntil.Sub(r.clock.Now()), 0))
		})
	}
}

// The same as TestStopUnderWayDoesNotHoldBack for a long-running run on a registered worker.
func TestStopUnderWayOfLongRunning(t *testing.T) {
	r := newRig(t)
	h := r.rows[0]
	h.worker, h.listed, h.answered = hosts.Worker{ID: h.id, Draining: true}, true, true
	p := h.runs[r.tasks[0].ID]
	p.startSentAt, p.sentBy = r.clock.Now(), r.clock.Now().Add(minAnswerTimeout)
	r.clock.Advance(time.Minute)
	h.leasedBy = r.clock.Now().Add(time.Second)
	p.inFlight, p.stopping, p.stopTries = true, true, 1
	r.clock.Advance(4300 * time.Millisecond)
	r.freeLongRunning(h)
	require.Zero(t, max(p.task.HeldUntil.Sub(r.clock.Now()), 0))
}
