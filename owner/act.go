package owner

import (
	"errors"
	"maps"
	"slices"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

const (
	// maxCallsInFlight is the most starts and stops under way: more would only wait in the
	// process for its processor until they count as unanswered.
	maxCallsInFlight = 96
	// startLease is the lease that a start gives: an order that is carried out
	// later than this is refused by the worker's clock.
	startLease = 2500 * time.Millisecond
	// orderRetryDelay is the pause before an unanswered order is repeated.
	orderRetryDelay = 100 * time.Millisecond
	// noRoomPause is how long a worker that had no room gets no starts.
	noRoomPause = 300 * time.Millisecond
	// maxUnansweredStarts is the number of unanswered starts after which the run is
	// stopped instead.
	maxUnansweredStarts = 3
)

// startResult is the word on an order to start.
type startResult struct {
	host      *host
	placement *placement
	reply     runs.Reply
	err       error
}

// scheduleStarts starts what may start, in order, where there is room.
func (o *Owner) scheduleStarts(now time.Time) {
	cands, candHosts := o.candidates(now)
	if len(cands) == 0 {
		return
	}
	list := o.jobsInOrder(now)
	var full pack.Unplaceable
	for _, j := range list {
		if o.callsInFlight >= maxCallsInFlight {
			break
		}
		var gang []*steps.Task
		j.progress.EachReady(now, func(t *steps.Task) bool {
			if now.Before(t.HeldUntil) || t.HighestVoidRun > 0 && j.stored < j.voidVersion {
				return true
			}
			if t.Step.Gang {
				gang = append(gang, t)
				return true
			}
			w := o.advisedDemandOf(t, now)
			if full.Has(w) {
				return true
			}
			i := o.chooseHost(t, w, cands, candHosts)
			if i < 0 {
				full.Add(w)
				return true
			}
			o.startRun(candHosts[i], j, t, t.Run+1, now)
			cands[i].Reserve(w)
			return o.callsInFlight < maxCallsInFlight
		})
		o.scheduleGangs(j, gang, cands, candHosts, now)
	}
	if o.callsInFlight >= maxCallsInFlight {
		o.passNeeded = true // the rest is planned when some are answered
	}
	o.requestAdvice(list, cands, candHosts, now)
}

// jobsInOrder returns the jobs that may start something, in the jobsInOrder in which they may.
func (o *Owner) jobsInOrder(now time.Time) []*job {
	list := make([]pack.WaitingJob, 0, len(o.openJobs))
	for i, j := range o.openJobs {
		if !j.acceptedInTerm && !o.takeoverDone {
			continue
		}
		w := o.schedulingView(j)
		w.Index = i
		list = append(list, w)
	}
	slices.SortStableFunc(list, func(a, b pack.WaitingJob) int { return pack.Compare(&a, &b, now) })
	out := make([]*job, len(list))
	for i := range list {
		out[i] = o.openJobs[list[i].Index]
	}
	return out
}

// schedulingView returns a job as the decisions see it.
func (o *Owner) schedulingView(j *job) pack.WaitingJob {
	left := j.progress.CriticalPath(func(s *steps.Step) time.Duration { return o.expectedRunTime(j, s) })
	return pack.WaitingJob{
		Rank: j.progress.Job.Rank, LongRunning: j.longRunning, Started: j.progress.Begun(),
		Accepted: time.UnixMilli(j.progress.Job.Accepted), Deadline: o.onTimeLimit(j, left), Remaining: left,
	}
}

// expectedRunTime returns the expected run time of a step's subtasks.
func (o *Owner) expectedRunTime(j *job, s *steps.Step) time.Duration {
	declared := time.Duration(s.EstimateMs) * time.Millisecond
	if f := o.forecasts[j.progress.Job.Queue]; f != nil {
		return f.Predict(declared)
	}
	return declared
}

// onTimeLimit returns the time within which a job is on time.
func (o *Owner) onTimeLimit(j *job, left time.Duration) time.Duration {
	if j.longestChain == 0 || left > j.longestChain {
		j.longestChain = left
	}
	return time.Duration(float64(j.longestChain)*j.progress.Job.SlackFactor) + time.Duration(j.progress.Job.TargetMs)*time.Millisecond
}

// recordRunTime takes in how long a run took.
func (o *Owner) recordRunTime(p *placement, now time.Time) {
	if p.confirmedAt.IsZero() || p.task.Step.LongRunning {
		return
	}
	q := p.job.progress.Job.Queue
	f := o.forecasts[q]
	if f == nil {
		f = &pack.Forecast{}
		o.forecasts[q] = f
	}
	f.Observe(time.Duration(p.task.Step.EstimateMs)*time.Millisecond, now.Sub(p.confirmedAt))
}

// candidates returns the workers that may take work, as the decision sees them.
func (o *Owner) candidates(now time.Time) ([]pack.Worker, []*host) {
	cands := make([]pack.Worker, 0, len(o.hosts))
	candHosts := make([]*host, 0, len(o.hosts))
	for _, id := range slices.Sorted(maps.Keys(o.hosts)) {
		h := o.hosts[id]
		if !h.usable(now, o.roster.stored) {
			continue
		}
		r := h.worker.Capacity
		c := pack.Worker{
			ID: h.id, Labels: h.worker.Labels, Rack: h.worker.Rack, Capacity: r, DrainSoon: o.fleetPlan.Due[h.id],
			Free: hosts.Resources{CPU: r.CPU - h.used.CPU, Mem: r.Mem - h.used.Mem, GPU: r.GPU - h.used.GPU},
		}
		for _, p := range h.runs {
			if p.task.Step.Fills {
				c.Filling++
			}
			if p.task.Step.TailBoundMs > 0 {
				c.Serving++
			}
			if p.task.Step.LongRunning {
				c.LongRunning++
			}
		}
		cands = append(cands, c)
		candHosts = append(candHosts, h)
	}
	o.markUnhealthy(cands, candHosts, now)
	return cands, candHosts
}

func demandOf(t *steps.Task) *pack.Demand {
	s := t.Step
	return &pack.Demand{
		Resources: hosts.Resources{CPU: s.CPU, Mem: s.Mem, GPU: s.GPU}, Fills: s.Fills, Serves: s.TailBoundMs > 0, Label: s.Label, DataRack: s.DataRack,
		LongRunning: s.LongRunning, MaxPerWorker: s.MaxPerWorker, AvoidWorker: t.AvoidWorker,
	}
}

// advisedDemandOf returns a subtask's demand with the workers that may run it now.
func (o *Owner) advisedDemandOf(t *steps.Task, now time.Time) *pack.Demand {
	w := demandOf(t)
	w.MayRunOn = o.allowedWorkers(t, now)
	return w
}

func (o *Owner) chooseHost(t *steps.Task, w *pack.Demand, cands []pack.Worker, candHosts []*host) int {
	if !w.LongRunning && w.MaxPerWorker == 0 {
		return pack.Choose(w, cands, func(int) int { return 0 })
	}
	return pack.Choose(w, cands, func(i int) int { return candHosts[i].runsOfStep(t) })
}

// runsOfStep returns how many subtasks of a subtask's step and occurrence a worker has.
func (h *host) runsOfStep(t *steps.Task) int {
	n := 0
	for id := range h.runs {
		if id.Job == t.ID.Job && id.Occur == t.ID.Occur && id.Step == t.ID.Step {
			n++
		}
	}
	return n
}

// scheduleGangs starts the members of each gang if all of them fit at once.
func (o *Owner) scheduleGangs(j *job, ready []*steps.Task, cands []pack.Worker, candHosts []*host, now time.Time) {
	for len(ready) > 0 {
		peers := ready[0].Siblings()
		if len(ready) < len(peers) || ready[len(peers)-1].ID.Step != ready[0].ID.Step {
			ready = skipStep(ready)
			continue
		}
		o.startGang(j, ready[:len(peers)], cands, candHosts, now)
		ready = ready[len(peers):]
	}
}

// skipStep passes over the first step's subtasks: some members are still away.
func skipStep(ready []*steps.Task) []*steps.Task {
	first := ready[0].ID
	for len(ready) > 0 && ready[0].ID.Step == first.Step && ready[0].ID.Occur == first.Occur {
		ready = ready[1:]
	}
	return ready
}

func (o *Owner) startGang(j *job, members []*steps.Task, cands []pack.Worker, candHosts []*host, now time.Time) {
	wants := make([]*pack.Demand, len(members))
	run := 0
	for i, t := range members {
		wants[i] = o.advisedDemandOf(t, now)
		run = max(run, t.Run)
	}
	first := members[0]
	for i, at := range pack.Gang(wants, cands, first.Step.OneRack, func(k int) int { return candHosts[k].runsOfStep(first) }) {
		o.startRun(candHosts[at], j, members[i], run+1, now)
	}
}

// startRun orders a run.
func (o *Owner) startRun(h *host, j *job, t *steps.Task, run int, now time.Time) {
	if !j.acceptedInTerm && o.Term > 1 {
		run = max(run, (o.Term-1)*runsPerTerm+1)
	}
	t.Phase, t.WorkerID, t.Run, t.PhaseSince, t.Percent = steps.Starting, h.id, run, now, 0
	p := &placement{task: t, job: j, run: run, share: fullShare, leaseUntil: h.clockAtTime(now) + startLease.Milliseconds()}
	o.takeRoom(h, p)
	h.leaseUntil = max(h.leaseUntil, p.leaseUntil)
	o.Stats.Starts.Inc(1)
	if !j.progress.Started {
		o.Stats.Wait.Update((now.UnixMilli() - j.progress.Job.Accepted) * 1000)
	}
	o.Log.Info().Str("job", j.id()).Str("task", t.ID.String()).Int("run", run).Str("host", h.id).
		Int("freeCpu", h.worker.Capacity.CPU-h.used.CPU).Int64("ageMs", now.UnixMilli()-j.progress.Job.Accepted).Msg("run ordered")
	o.sendStart(h, p)
}

func (o *Owner) sendStart(h *host, p *placement) {
	p.inFlight = true
	o.callsInFlight++
	p.tries++
	p.startSentAt = o.Clock.Now()
	s := runs.Start{
		Task: p.task.ID, Run: p.run, Payload: p.job.progress.Job.Payload, UntilMs: p.leaseUntil, Fence: o.Fence, Checkpoint: p.task.Checkpoint,
	}
	if p.job.progress.Job.Advisor != nil {
		s.Ticket = p.job.adviceOn(p.task.ID.ParentStep()).ticket(h, o.Clock.Now())
	}
	to := h.target()
	go func() {
		r, err := o.Workers.Start(o.ctx, to, s)
		o.post(startResult{h, p, r, err})
	}()
}

func (o *Owner) confirmStart(p *placement, now time.Time) {
	p.confirmedAt = now
	if p.task.Run == p.run && p.task.Phase == steps.Starting {
		p.task.Phase, p.task.PhaseSince = steps.Running, now
	}
	if !p.job.progress.Started {
		p.job.progress.Started = true
		o.markChanged(&p.job.doc)
	}
}

func (o *Owner) handleStarted(m startResult) {
	h, p, now := m.host, m.placement, o.Clock.Now()
	p.inFlight = false
	o.callsInFlight--
	if h.runs[p.task.ID] != p {
		return // ended or given up meanwhile
	}
	switch {
	case m.err == nil, errors.Is(m.err, runs.ErrStaleRun):
		// A run that is older than one that ended there is found by the next look.
		if p.confirmedAt.IsZero() {
			o.confirmStart(p, now)
		}
	case errors.Is(m.err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	case errors.Is(m.err, runs.ErrIncarnation):
		o.endIncarnation(h, "another worker answers at the address")
	case errors.Is(m.err, plat.ErrUnknown), errors.Is(m.err, plat.ErrUnavailable) && p.tries > 1:
		o.startUnanswered(h, p, m.err, now)
	default:
		o.startRefused(h, p, m.err, now)
	}
	if p.stopping && h.runs[p.task.ID] == p {
		o.sendStop(h, p)
	}
}

// startUnanswered repeats an order that may have been carried out, and in the
// end stops the run, which bars the order where it is still on its way.
func (o *Owner) startUnanswered(h *host, p *placement, err error, now time.Time) {
	o.Stats.Unanswered.Inc(1)
	o.recordUnanswered(h, p)
	o.Log.Warn().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Int("tries", p.tries).
		Err(err).Msg("start not answered")
	if p.tries >= maxUnansweredStarts && !p.stopping {
		o.stopRun(h, p, "start not answered")
		return
	}
	p.retryAt = now.Add(orderRetryDelay)
}

// startRefused takes in that a worker has not begun a run.
func (o *Owner) startRefused(h *host, p *placement, err error, now time.Time) {
	o.Stats.Refused.Inc(1)
	o.Log.Warn().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Int("tries", p.tries).
		Err(err).Msg("start refused")
	switch {
	case errors.Is(err, runs.ErrTicket):
		o.dropTicket(h, p)
	default:
		h.noRoomUntil = now.Add(noRoomPause)
	}
	if p.tries > 1 && errors.Is(err, runs.ErrLeaseOver) {
		// An earlier copy may have been carried out in time; the next look tells.
		o.confirmStart(p, now)
		return
	}
	if p.tries > 1 {
		// An earlier copy may be carried out yet, unless the run is stopped.
		o.stopRun(h, p, "refused after a try without an answer")
		return
	}
	o.freeRoom(h, p)
	t := p.task
	if t.Run == p.run && t.Phase != steps.Finished {
		t.Phase, t.WorkerID, t.AvoidWorker = steps.Waiting, "", h.id
	}
	o.passNeeded = true
}

// stopTask stops every run of a subtask that should not be at work.
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

// stopResult is the word on an order to stop.
type stopResult struct {
	host      *host
	placement *placement
	err       error
}

// stopRun orders the end of a run.
func (o *Owner) stopRun(h *host, p *placement, why string) {
	p.stopping = true
	if p.task.Run == p.run && p.task.Phase != steps.Finished {
		p.task.Phase = steps.Stopping
	}
	o.Stats.Stops.Inc(1)
	o.Log.Info().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Str("cause", why).Msg("stop ordered")
	if !p.inFlight {
		o.sendStop(h, p)
	}
}

func (o *Owner) sendStop(h *host, p *placement) {
	p.inFlight = true
	o.callsInFlight++
	to, s := h.target(), runs.Stop{Task: p.task.ID, Run: p.run, Fence: o.Fence}
	go func() {
		_, err := o.Workers.Stop(o.ctx, to, s)
		o.post(stopResult{h, p, err})
	}()
}

// stopUnknownRun stops a run that the tables have no place for.
func (o *Owner) stopUnknownRun(h *host, id runs.Task, run int) {
	to, s := h.target(), runs.Stop{Task: id, Run: run, Fence: o.Fence}
	go func() {
		if _, err := o.Workers.Stop(o.ctx, to, s); err != nil {
			o.Log.Warn().Str("task", id.String()).Int("run", run).Str("host", h.id).Err(err).Msg("stop failed")
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
		o.endIncarnation(h, "another worker answers at the address")
	default:
		p.retryAt = now.Add(orderRetryDelay)
		o.Log.Warn().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Err(m.err).Msg("stop not confirmed")
	}
}

// retryOrders sends orders again that were not answered.
func (o *Owner) retryOrders(now time.Time) {
	for _, h := range o.hosts {
		for _, p := range h.runs {
			if p.inFlight || p.retryAt.IsZero() || now.Before(p.retryAt) {
				continue
			}
			p.retryAt = time.Time{}
			if p.stopping {
				o.sendStop(h, p)
			} else if p.confirmedAt.IsZero() {
				o.sendStart(h, p)
			}
		}
	}
}
