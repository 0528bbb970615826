package owner

import (
	"slices"
	"time"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// maxOrderDelay is how long after it was sent an order without an answer may still
// be carried out; the platform knows of twelve seconds.
const maxOrderDelay = 12 * time.Second

// longRunningHold is how long a lasting subtask is held back for such an order: the
// users want it back within seven seconds, of which its worker's lease takes four.
const longRunningHold = 5500 * time.Millisecond

// unansweredStart is an order to start that was not answered. A worker that comes back
// under the same id may still carry it out.
type unansweredStart struct {
	task *steps.Task
	run  int
	sent time.Time
}

// blockResult is the word on the stop that keeps a ghost from starting.
type blockResult struct {
	start unansweredStart
	host  *host
	err   error
}

// recordUnanswered notes an order to start that was not answered.
func (o *Owner) recordUnanswered(h *host, p *placement) {
	now := o.Clock.Now()
	kept := slices.DeleteFunc(o.unanswered[h.id], func(g unansweredStart) bool {
		return now.Sub(g.sent) > maxOrderDelay || g.task == p.task && g.run == p.run
	})
	o.unanswered[h.id] = append(kept, unansweredStart{p.task, p.run, p.startSentAt})
}

// holdBack holds a subtask back whose start may still be carried out.
func (o *Owner) holdBack(h *host, p *placement) {
	o.recordUnanswered(h, p)
	late := maxOrderDelay
	if p.task.Step.LongRunning {
		late = longRunningHold
	}
	p.task.HeldUntil = p.startSentAt.Add(late)
	o.Log.Info().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Msg("held back: its start may still be carried out")
}

// blockUnansweredStarts has a new incarnation refuse the orders that were meant for the one before.
func (o *Owner) blockUnansweredStarts(h *host) {
	now := o.Clock.Now()
	for _, g := range o.unanswered[h.id] {
		if now.Sub(g.sent) <= maxOrderDelay {
			o.blockStart(h, g)
		}
	}
	delete(o.unanswered, h.id)
}

func (o *Owner) blockStart(h *host, g unansweredStart) {
	to, s := h.target(), runs.Stop{Task: g.task.ID, Run: g.run, Fence: o.Fence}
	go func() {
		_, err := o.Workers.Stop(o.ctx, to, s)
		if err != nil {
			o.sleep(o.ctx, orderRetryDelay)
		}
		o.post(blockResult{g, h, err})
	}()
}

// handleBlocked lets a subtask start again once its earlier start can't be carried out.
func (o *Owner) handleBlocked(m blockResult) {
	t := m.start.task
	if m.err == nil {
		if t.Run == m.start.run {
			t.HeldUntil = time.Time{}
			o.passNeeded = true
		}
		return
	}
	if o.hosts[m.host.id] == m.host && o.Clock.Now().Sub(m.start.sent) <= maxOrderDelay {
		o.blockStart(m.host, m.start)
	}
}
