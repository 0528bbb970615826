package owner

import (
	"slices"
	"time"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// lateOrder is how long after it was sent an order without an answer may still
// be carried out; the platform knows of twelve seconds.
const lateOrder = 12 * time.Second

// lateLasting is how long a lasting subtask is held back for such an order: the
// users want it back within seven seconds, of which its worker's lease takes four.
const lateLasting = 5500 * time.Millisecond

// ghost is an order to start that was not answered. A worker that comes back
// under the same id may still carry it out.
type ghost struct {
	task *steps.Task
	run  int
	sent time.Time
}

// barred is the word on the stop that keeps a ghost from starting.
type barred struct {
	ghost ghost
	host  *host
	err   error
}

// remember notes an order to start that was not answered.
func (o *Owner) remember(h *host, p *placement) {
	now := o.Clock.Now()
	kept := slices.DeleteFunc(o.ghosts[h.id], func(g ghost) bool {
		return now.Sub(g.sent) > lateOrder || g.task == p.task && g.run == p.run
	})
	o.ghosts[h.id] = append(kept, ghost{p.task, p.run, p.sent})
}

// haunt holds a subtask back whose start may still be carried out.
func (o *Owner) haunt(h *host, p *placement) {
	o.remember(h, p)
	late := lateOrder
	if p.task.Step.LongRunning {
		late = lateLasting
	}
	p.task.HeldUntil = p.sent.Add(late)
	o.Log.Info().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Msg("held back: its start may still be carried out")
}

// barGhosts has a new incarnation refuse the orders that were meant for the one before.
func (o *Owner) barGhosts(h *host) {
	now := o.Clock.Now()
	for _, g := range o.ghosts[h.id] {
		if now.Sub(g.sent) <= lateOrder {
			o.barGhost(h, g)
		}
	}
	delete(o.ghosts, h.id)
}

func (o *Owner) barGhost(h *host, g ghost) {
	to, s := h.target(), runs.Stop{Task: g.task.ID, Run: g.run, Fence: o.Fence}
	go func() {
		_, err := o.Workers.Stop(o.ctx, to, s)
		if err != nil {
			o.pause(o.ctx, orderRetry)
		}
		o.post(barred{g, h, err})
	}()
}

// takeBarred lets a subtask start again once its earlier start can't be carried out.
func (o *Owner) takeBarred(m barred) {
	t := m.ghost.task
	if m.err == nil {
		if t.Run == m.ghost.run {
			t.HeldUntil = time.Time{}
			o.dirty = true
		}
		return
	}
	if o.hosts[m.host.id] == m.host && o.Clock.Now().Sub(m.ghost.sent) <= lateOrder {
		o.barGhost(m.host, m.ghost)
	}
}
