package owner

import (
	"slices"
	"time"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// maxOrderDelay is how long after it was sent a start without an answer may still
// be carried out: the platform may carry out a call up to 12 seconds after it was
// sent.
const maxOrderDelay = 12 * time.Second

// longRunningHold is how long a long-running subtask is held back for such a start.
// Users want it back within 7 seconds, of which its worker's lease takes 4.
const longRunningHold = 5500 * time.Millisecond

// unansweredStart is a start without an answer. The worker, or a later incarnation
// with the same ID, may still carry it out.
type unansweredStart struct {
	task *steps.Task
	run  int
	sent time.Time
}

// blockResult is the result of the stop that makes a worker refuse an unanswered
// start.
type blockResult struct {
	start unansweredStart
	host  *host
	err   error
}

// recordUnanswered records a start without an answer, and drops those too old to be
// carried out.
func (o *Owner) recordUnanswered(h *host, p *placement) {
	now := o.Clock.Now()
	kept := slices.DeleteFunc(o.unanswered[h.id], func(u unansweredStart) bool {
		return now.Sub(u.sent) > maxOrderDelay || u.task == p.task && u.run == p.run
	})
	o.unanswered[h.id] = append(kept, unansweredStart{p.task, p.run, p.startSentAt})
}

// holdBack delays the next start of a subtask whose last start may still be carried
// out.
func (o *Owner) holdBack(h *host, p *placement) {
	o.recordUnanswered(h, p)
	hold := maxOrderDelay
	if p.task.Step.LongRunning {
		hold = longRunningHold
	}
	p.task.HeldUntil = p.startSentAt.Add(hold)
	o.Log.Info().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Msg("subtask held back: its last start may still be carried out")
}

// blockUnansweredStarts makes a new incarnation of a worker refuse the starts meant
// for earlier ones.
func (o *Owner) blockUnansweredStarts(h *host) {
	now := o.Clock.Now()
	for _, u := range o.unanswered[h.id] {
		if now.Sub(u.sent) <= maxOrderDelay {
			o.blockStart(h, u)
		}
	}
	delete(o.unanswered, h.id)
}

// blockStart stops the run of an unanswered start, after which the worker refuses
// to start it.
func (o *Owner) blockStart(h *host, u unansweredStart) {
	to, s := h.target(), runs.Stop{Task: u.task.ID, Run: u.run, Fence: o.Fence}
	go func() {
		_, err := o.Workers.Stop(o.ctx, to, s)
		if err != nil {
			o.sleep(o.ctx, orderRetryDelay)
		}
		o.post(blockResult{u, h, err})
	}()
}

// handleBlocked lets a subtask start again if its last start can't be carried out
// any more, else retries the stop.
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
