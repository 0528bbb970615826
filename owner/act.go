package owner

import (
	"context"
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
	// maxCallsInFlight limits the starts and stops under way: more of them would
	// wait for CPU in this process until they time out.
	maxCallsInFlight = 96
	// startLease is the lease that a start gives. A worker refuses a start that
	// arrives after its lease has expired by the worker's clock.
	startLease = 2500 * time.Millisecond
	// orderRetryDelay is the delay before a call without an answer is retried.
	orderRetryDelay = 100 * time.Millisecond
	// noRoomPause is how long a worker that refused a start gets no others.
	noRoomPause = 300 * time.Millisecond
	// maxUnansweredStarts is the number of tries to start a run after which the owner
	// gives up, see giveUpStart.
	maxUnansweredStarts = 6
)

// startResult is the result of a call to start a run.
type startResult struct {
	host      *host
	placement *placement
	reply     runs.Reply
	copies    copies
	err       error
}

// scheduleStarts starts the subtasks that are ready and find room, in the order of
// their jobs, and asks the advisor about steps that need a ticket.
func (o *Owner) scheduleStarts(now time.Time) {
	cands, candHosts := o.candidates(now)
	o.beginQuotaPass(cands, now)
	if len(cands) == 0 || !o.inCharge() {
		o.requestAdvice(nil, nil, nil, now)
		return
	}
	ordered := o.jobsInOrder(now)
	var unplaceable pack.Unplaceable
	trials := pack.NewTrials(cands)
	o.trialsWait, o.restartsWait = false, false
	for _, j := range ordered {
		if o.callsInFlight >= maxCallsInFlight {
			break
		}
		var gang []*steps.Task
		var culprit *steps.Task
		j.progress.Visit(now, func(t *steps.Task) steps.Next {
			if t.GivenUp() {
				culprit = t
				return steps.Stop
			}
			if t.Held(now) || o.strays[t] > 0 || t.Restricted() && o.restrictedOnTrial(t) {
				return steps.More
			}
			if !o.voidEarlierRuns(j, t) {
				o.restartsWait = true
				return steps.SkipFresh
			}
			if t.Step.Gang {
				if !gangMayFit(t.Step, cands) && (o.starve == nil || isWaitingGang(t)) {
					o.noteNoGang(j, t, cands, candHosts, now)
					return steps.SkipFresh
				}
				gang = append(gang, t)
				return steps.More
			}
			demand := o.advisedDemandOf(t, now)
			if t.Suspect() {
				o.startOnTrial(j, t, demand, trials, cands, candHosts, now)
				return untilCallLimit(o.callsInFlight)
			}
			if unplaceable.Has(demand) {
				return o.skipNoRoom(j, t, cands, candHosts, demand)
			}
			fits := o.fitsQuota(j, t, demand.Resources, false, now)
			if !fits && !o.mayWantQuota(j, t, demand) {
				o.noteNoQuota(j, t, demand.Resources, false)
				return steps.SkipFresh
			}
			i := o.chooseHost(t, demand, cands, candHosts)
			if i < 0 {
				unplaceable.Add(demand)
				return o.skipNoRoom(j, t, cands, candHosts, demand)
			}
			if !fits {
				if o.noteNoQuota(j, t, demand.Resources, false) {
					cands[i].Reserve(demand)
				} else {
					o.wantQuota(j, demand.Resources, false)
				}
				return steps.More
			}
			if run := o.nextRun(j, t); !o.mayOrder(candHosts[i], now) {
				o.storeIntent(candHosts[i], t, run, now)
			} else if !o.announce(j, t, run, false) {
				o.countMoved(t, demand, i, cands, candHosts)
				o.startRun(candHosts[i], j, t, run, now)
			}
			cands[i].Reserve(demand)
			return untilCallLimit(o.callsInFlight)
		})
		if culprit != nil {
			o.giveUp(j, culprit)
			continue
		}
		o.scheduleGangs(j, gang, cands, candHosts, now)
		j.progress.ReleaseFresh(gang)
	}
	limited := o.callsInFlight >= maxCallsInFlight
	o.endStarve(now)
	if limited {
		o.passNeeded = true // the rest starts when calls have returned
	}
	o.keepUp.note(limited, now)
	o.requestAdvice(ordered, cands, candHosts, now)
}

// untilCallLimit returns how a pass goes on with so many calls under way.
func untilCallLimit(callsInFlight int) steps.Next {
	if callsInFlight >= maxCallsInFlight {
		return steps.Stop
	}
	return steps.More
}

// jobsInOrder returns the jobs whose subtasks may start, first the one to serve
// first. Jobs accepted before the election wait until the takeover is done.
func (o *Owner) jobsInOrder(now time.Time) []*job {
	list := make([]pack.WaitingJob, 0, len(o.openJobs))
	for i, j := range o.openJobs {
		if !j.acceptedInTerm && !o.takeoverDone || len(o.spilled.reported) > 0 && o.spilled.reported[j.id()] != nil {
			continue
		}
		w := o.schedulingView(j)
		w.Index = i
		list = append(list, w)
	}
	o.sortByShares(list, now)
	out := make([]*job, len(list))
	for i := range list {
		out[i] = o.openJobs[list[i].Index]
	}
	return out
}

// schedulingView returns a job in the form by which package pack orders jobs.
func (o *Owner) schedulingView(j *job) pack.WaitingJob {
	remaining := j.progress.CriticalPath(func(s *steps.Step) time.Duration { return o.expectedRunTime(j, s) })
	return pack.WaitingJob{
		Rank: j.progress.Job.Rank, LongRunning: j.longRunning, Started: j.progress.Begun(),
		Accepted: time.UnixMilli(j.progress.Job.Accepted), Deadline: o.onTimeLimit(j, remaining), Remaining: remaining,
	}
}

// expectedRunTime returns the expected run time of a step's subtasks: the forecast
// of the job's queue, or the declared estimate if there is none.
func (o *Owner) expectedRunTime(j *job, s *steps.Step) time.Duration {
	declared := time.Duration(s.EstimateMs) * time.Millisecond
	if f := o.forecasts[j.progress.Job.Queue]; f != nil {
		return f.Predict(declared)
	}
	return declared
}

// onTimeLimit returns the time from acceptance within which a job is on time,
// given the length of its critical path now.
func (o *Owner) onTimeLimit(j *job, remaining time.Duration) time.Duration {
	if j.criticalPath == 0 || remaining > j.criticalPath {
		j.criticalPath = remaining
	}
	return time.Duration(float64(j.criticalPath)*j.progress.Job.SlackFactor) + time.Duration(j.progress.Job.TargetMs)*time.Millisecond
}

// recordRunTime adds the duration of a run to the forecast of its queue.
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

// candidates returns the workers that may take work in the form that package pack
// chooses from, and the host behind each.
func (o *Owner) candidates(now time.Time) ([]pack.Worker, []*host) {
	cands := make([]pack.Worker, 0, len(o.hosts))
	candHosts := make([]*host, 0, len(o.hosts))
	kept, others := o.hostsKeptForTrials(), o.secondLargest()
	for _, id := range slices.Sorted(maps.Keys(o.hosts)) {
		h := o.hosts[id]
		if !h.usable(now, o.roster.stored) {
			continue
		}
		r := soundCapacity(h.worker.Capacity, others)
		c := pack.Worker{
			ID: h.id, Labels: h.worker.Labels, Rack: h.worker.Rack, Capacity: r, DrainSoon: o.fleetPlan.Due[h.id], OnTrial: kept[h],
			Free:       hosts.Resources{CPU: r.CPU - h.used.CPU, Mem: r.Mem - h.used.Mem, GPU: r.GPU - h.used.GPU},
			Neighbours: o.neighbours(h),
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
				c.Lasting = plus(c.Lasting, reserved(p.task.Step))
			}
			if p.ranFor < steps.MinProof {
				c.Unproven++
			}
			c.OnTrial = c.OnTrial || p.onTrial()
		}
		cands = append(cands, c)
		candHosts = append(candHosts, h)
	}
	o.markUnhealthy(cands, candHosts, now)
	return cands, candHosts
}

// demandOf returns the resources that a subtask needs and the rules for its place.
func demandOf(t *steps.Task) *pack.Demand {
	s := t.Step
	return &pack.Demand{
		Resources: hosts.Resources{CPU: s.CPU, Mem: s.Mem, GPU: s.GPU}, Fills: s.Fills, Serves: s.TailBoundMs > 0, Label: s.Label, DataRack: s.DataRack,
		Image: s.Image, LongRunning: s.LongRunning, MaxPerWorker: s.MaxPerWorker, AvoidWorker: t.AvoidWorker,
	}
}

// advisedDemandOf returns a subtask's demand, limited to the workers for which the
// advisor has given a ticket where the job needs one.
func (o *Owner) advisedDemandOf(t *steps.Task, now time.Time) *pack.Demand {
	demand := demandOf(t)
	demand.MayRunOn = o.restedWorkers(t, o.allowedWorkers(t, now), now)
	demand.Harm = o.learnedHarm(now)
	return demand
}

// nextRun returns the number of a subtask's next run.
func (o *Owner) nextRun(j *job, t *steps.Task) int {
	if !j.acceptedInTerm && o.Term > 1 {
		return max(t.Run+1, (o.Term-1)*runsPerTerm+1)
	}
	return t.Run + 1
}

// startRun reserves room for a run on a worker and orders the worker to start it.
func (o *Owner) startRun(h *host, j *job, t *steps.Task, run int, now time.Time) {
	line := o.startLine(j, t)
	t.Phase, t.WorkerID, t.Run, t.PhaseSince, t.Percent = steps.Starting, h.id, run, now, 0
	p := &placement{task: t, job: j, run: run, announced: t.Announced(run), checkpoint: t.StartCheckpoint(), share: fullShare, leaseUntil: h.workerClock(now) + min(startLease, o.leaseLength()).Milliseconds()}
	o.limitStart(h, p, now)
	o.reserveRoom(h, p)
	o.useQuota(j, t)
	o.noteStart(j, t)
	j.lastStart = now
	h.leaseUntil = max(h.leaseUntil, p.leaseUntil)
	o.Stats.Starts.Inc(1)
	o.countLease()
	if !j.progress.Started {
		o.Stats.Wait.Update((now.UnixMilli() - j.progress.Job.Accepted) * 1000)
	}
	line.Str("job", j.id()).Str("task", t.ID.String()).Int("run", run).Str("host", h.id).
		Int64("born", h.startedMs).Dur("sinceAnswer", now.Sub(h.clockAt)).Int("freeCpu", h.worker.Capacity.CPU-h.used.CPU).Int64("ageMs", now.UnixMilli()-j.progress.Job.Accepted).
		Str("checkpoint", p.checkpoint).Bool("fresh", j.acceptedInTerm).Int("unread", o.unreadWorkers()).Msg("starting run")
	o.sendStart(h, p)
	o.storeStart(h, p)
	o.endIntent(t, h, run)
}

func (o *Owner) sendStart(h *host, p *placement) {
	p.inFlight = true
	o.callsInFlight++
	p.tries++
	p.startSentAt = o.Clock.Now()
	s := runs.Start{
		Task: p.task.ID, Run: p.run, Payload: p.job.progress.Job.Payload, UntilMs: p.leaseUntil, Fence: o.Fence, Checkpoint: p.checkpoint,
	}
	if p.job.progress.Job.Advisor != nil {
		s.Ticket = o.useTicket(h, p, p.startSentAt)
	}
	to, delay := h.target(), h.copyDelay(p.startSentAt)
	within := tryTimeout(max(p.tries, h.failedPolls), delay)
	p.sentBy = p.startSentAt.Add(within)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, within)
		defer cancel()
		r, c, err := callWorker(ctx, o.Clock, 0, delay, func(ctx context.Context, _ int) (runs.Reply, error) { return o.Workers.Start(ctx, to, s) })
		o.post(startResult{h, p, r, c, err})
	}()
}

// confirmStart records that a worker has begun a run.
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
		return // the run has ended or was given up meanwhile
	}
	h.noteAnswer(m.copies)
	if m.copies.sent > 1 {
		p.copied = true
		o.recordUnanswered(h, p)
	}
	o.noteOrigin(h, p, m.reply, now)
	switch {
	case m.err == nil, errors.Is(m.err, runs.ErrStaleRun):
		if p.origin != originNext {
			p.observe(m.reply.ClockMs)
		}
		// With ErrStaleRun, the worker has had this run or a later one; the next poll
		// tells which.
		if p.confirmedAt.IsZero() {
			o.confirmStart(p, now)
			o.paceAtStart(h, p)
		}
	case errors.Is(m.err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	case errors.Is(m.err, runs.ErrIncarnation):
		o.evictIncarnation(h)
	case errors.Is(m.err, plat.ErrUnknown), errors.Is(m.err, plat.ErrUnavailable) && p.mayHaveStarted():
		o.startUnanswered(h, p, m.err, now)
	default:
		o.startRefused(h, p, m.err, now)
	}
	if p.stopping && h.runs[p.task.ID] == p {
		o.sendStop(h, p)
	}
}

// startUnanswered handles a start that may or may not have been carried out: it
// schedules a retry, or gives up after maxUnansweredStarts tries.
func (o *Owner) startUnanswered(h *host, p *placement, err error, now time.Time) {
	o.Stats.Unanswered.Inc(1)
	p.noteBreak(err)
	o.recordUnanswered(h, p)
	o.storeDoubts(h)
	o.Log.Warn().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Int("tries", p.tries).
		Err(err).Msg("start not answered")
	if p.tries >= maxUnansweredStarts && !p.stopping {
		o.giveUpStart(h, p)
		return
	}
	p.retryAt = now.Add(retryDelay(p.tries, orderRetryDelay))
}

// giveUpStart ends the tries to start a run. It stops the run, which also makes the worker
// refuse a start that arrives later. A long-running subtask may be in service by then while
// others of its step are away: it is left to the first report after the lease of the start,
// see startRuledOut.
func (o *Owner) giveUpStart(h *host, p *placement) {
	if p.task.Step.LongRunning {
		o.Log.Info().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Msg("waiting for a report on the run")
		return
	}
	o.stopRun(h, p, "start not answered")
}

// startRefused handles a start that a worker has refused.
func (o *Owner) startRefused(h *host, p *placement, err error, now time.Time) {
	o.Stats.Refused.Inc(1)
	o.Log.Warn().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Int("tries", p.tries).
		Err(err).Msg("start refused")
	switch {
	case errors.Is(err, runs.ErrTicket):
		o.ticketRefused(h, p, now)
	default:
		h.noRoomUntil = later(h.noRoomUntil, now.Add(noRoomPause))
	}
	if p.mayHaveStarted() && errors.Is(err, runs.ErrLeaseOver) {
		// An earlier try may have arrived before its lease expired; the next poll tells.
		o.confirmStart(p, now)
		return
	}
	if p.mayHaveStarted() {
		// An earlier try may still arrive and start the run, unless the run is stopped.
		o.stopRun(h, p, "refused after a try without an answer")
		return
	}
	o.freeRoom(h, p)
	t := p.task
	o.retractCrash(p.job, t, p.run)
	if t.Run == p.run && t.Phase != steps.Finished {
		t.Phase, t.WorkerID, t.AvoidWorker = steps.Waiting, "", h.id
	}
	o.passNeeded = true
}

// retryOrders resends the starts and stops whose retry is due.
func (o *Owner) retryOrders(now time.Time) {
	for _, h := range o.hosts {
		for _, p := range h.runs {
			if p.inFlight || p.retryAt.IsZero() || now.Before(p.retryAt) || !p.stopping && !o.inCharge() {
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
