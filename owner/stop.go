package owner

import (
	"context"
	"errors"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// stopTask stops the current run of a subtask that is finished or whose job has
// ended.
func (o *Owner) stopTask(t *steps.Task) {
	if t.WorkerID == "" {
		return
	}
	h := o.hosts[t.WorkerID]
	if h == nil {
		return
	}
	if p := h.runs[t.ID]; p != nil && !p.stopping {
		o.stopRun(h, p, "subtask or job has ended")
	}
}

// stopResult is the result of a call to stop a run.
type stopResult struct {
	host      *host
	placement *placement
	err       error
}

// stopRun orders a worker to stop a run, after the call under way for it if there
// is one.
func (o *Owner) stopRun(h *host, p *placement, why string) {
	p.stopping = true
	if p.task.Run == p.run && p.task.Phase != steps.Finished {
		p.task.Phase = steps.Stopping
	}
	o.Stats.Stops.Inc(1)
	o.identify(o.Log.Info()).Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Str("cause", why).Msg("stopping run")
	if !p.inFlight {
		o.sendStop(h, p)
	}
}

func (o *Owner) sendStop(h *host, p *placement) {
	p.inFlight = true
	o.callsInFlight++
	p.stopTries++
	to, s, delay := h.target(), runs.Stop{Task: p.task.ID, Run: p.run, Fence: o.Fence}, h.copyDelay(o.Clock.Now())
	within := tryTimeout(max(p.stopTries, h.failedPolls), delay)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, within)
		defer cancel()
		_, _, err := callWorker(ctx, o.Clock, 0, delay, func(ctx context.Context, _ int) (runs.Reply, error) { return o.Workers.Stop(ctx, to, s) })
		o.post(stopResult{h, p, err})
	}()
}

// stopUnknownRun stops a run of a job or subtask that the owner does not know.
func (o *Owner) stopUnknownRun(h *host, id runs.Task, run int) {
	to, s := h.target(), runs.Stop{Task: id, Run: run, Fence: o.Fence}
	go func() {
		if _, err := o.Workers.Stop(o.ctx, to, s); err != nil {
			o.Log.Warn().Str("task", id.String()).Int("run", run).Str("host", h.id).Err(err).Msg("stop of an unknown run failed")
		}
	}()
}

func (o *Owner) handleStopped(m stopResult) {
	h, p, now := m.host, m.placement, o.Clock.Now()
	p.inFlight = false
	o.callsInFlight--
	if h.runs[p.task.ID] != p {
		return
	}
	switch {
	case m.err == nil, errors.Is(m.err, runs.ErrStaleRun):
		p.stoppedAt = now
		if p.confirmedAt.IsZero() {
			p.confirmedAt = now
		}
		h.nextPoll = now
	case errors.Is(m.err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	case errors.Is(m.err, runs.ErrIncarnation):
		o.evictIncarnation(h)
	default:
		p.retryAt = now.Add(retryDelay(p.stopTries, orderRetryDelay))
		o.Log.Warn().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Err(m.err).Msg("stop not confirmed; retrying")
	}
}
