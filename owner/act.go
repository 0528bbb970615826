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
	// maxCalls is the most starts and stops under way: more would only wait in the
	// process for its processor until they count as unanswered.
	maxCalls = 96
	// startLease is the lease that a start gives: an order that is carried out
	// later than this is refused by the worker's clock.
	startLease = 2500 * time.Millisecond
	// orderRetry is the pause before an unanswered order is repeated.
	orderRetry = 100 * time.Millisecond
	// roomPause is how long a worker that had no room gets no starts.
	roomPause = 300 * time.Millisecond
	// stopAfter is the number of unanswered starts after which the run is
	// stopped instead.
	stopAfter = 3
)

// started is the word on an order to start.
type started struct {
	host  *host
	place *placement
	reply runs.Reply
	err   error
}

// plan starts what may start, in order, where there is room.
func (o *Owner) plan(now time.Time) {
	cands, rows := o.candidates(now)
	if len(cands) == 0 {
		return
	}
	list := o.order(now)
	var full pack.Unplaceable
	for _, j := range list {
		if o.calls >= maxCalls {
			break
		}
		var gang []*steps.Task
		j.track.EachReady(now, func(t *steps.Task) bool {
			if now.Before(t.HeldUntil) || t.HighestVoidRun > 0 && j.stored < j.voided {
				return true
			}
			if t.Step.Gang {
				gang = append(gang, t)
				return true
			}
			w := o.wants(t, now)
			if full.Has(w) {
				return true
			}
			i := o.choose(t, w, cands, rows)
			if i < 0 {
				full.Add(w)
				return true
			}
			o.start(rows[i], j, t, t.Run+1, now)
			cands[i].Reserve(w)
			return o.calls < maxCalls
		})
		o.planGang(j, gang, cands, rows, now)
	}
	if o.calls >= maxCalls {
		o.dirty = true // the rest is planned when some are answered
	}
	o.consult(list, cands, rows, now)
}

// order returns the jobs that may start something, in the order in which they may.
func (o *Owner) order(now time.Time) []*job {
	list := make([]pack.WaitingJob, 0, len(o.open))
	for i, j := range o.open {
		if !j.fresh && !o.clear {
			continue
		}
		w := o.waiting(j)
		w.Index = i
		list = append(list, w)
	}
	slices.SortStableFunc(list, func(a, b pack.WaitingJob) int { return pack.Compare(&a, &b, now) })
	out := make([]*job, len(list))
	for i := range list {
		out[i] = o.open[list[i].Index]
	}
	return out
}

// waiting returns a job as the decisions see it.
func (o *Owner) waiting(j *job) pack.WaitingJob {
	left := j.track.CriticalPath(func(s *steps.Step) time.Duration { return o.expect(j, s) })
	return pack.WaitingJob{
		Rank: j.track.Job.Rank, LongRunning: j.lasting, Started: j.track.Begun(),
		Accepted: time.UnixMilli(j.track.Job.Accepted), Deadline: o.aim(j, left), Remaining: left,
	}
}

// expect returns the expected run time of a step's subtasks.
func (o *Owner) expect(j *job, s *steps.Step) time.Duration {
	declared := time.Duration(s.EstimateMs) * time.Millisecond
	if f := o.forecasts[j.track.Job.Queue]; f != nil {
		return f.Predict(declared)
	}
	return declared
}

// aim returns the time within which a job is on time.
func (o *Owner) aim(j *job, left time.Duration) time.Duration {
	if j.chain == 0 || left > j.chain {
		j.chain = left
	}
	return time.Duration(float64(j.chain)*j.track.Job.SlackFactor) + time.Duration(j.track.Job.TargetMs)*time.Millisecond
}

// learn takes in how long a run took.
func (o *Owner) learn(p *placement, now time.Time) {
	if p.confirmed.IsZero() || p.task.Step.LongRunning {
		return
	}
	q := p.job.track.Job.Queue
	f := o.forecasts[q]
	if f == nil {
		f = &pack.Forecast{}
		o.forecasts[q] = f
	}
	f.Observe(time.Duration(p.task.Step.EstimateMs)*time.Millisecond, now.Sub(p.confirmed))
}

// candidates returns the workers that may take work, as the decision sees them.
func (o *Owner) candidates(now time.Time) ([]pack.Worker, []*host) {
	cands := make([]pack.Worker, 0, len(o.hosts))
	rows := make([]*host, 0, len(o.hosts))
	for _, id := range slices.Sorted(maps.Keys(o.hosts)) {
		h := o.hosts[id]
		if !h.usable(now, o.roster.stored) {
			continue
		}
		r := h.w.Capacity
		c := pack.Worker{
			ID: h.id, Labels: h.w.Labels, Rack: h.w.Rack, Capacity: r, DrainSoon: o.wishes.Due[h.id],
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
		rows = append(rows, h)
	}
	o.sick(cands, rows, now)
	return cands, rows
}

func want(t *steps.Task) *pack.Demand {
	s := t.Step
	return &pack.Demand{
		Resources: hosts.Resources{CPU: s.CPU, Mem: s.Mem, GPU: s.GPU}, Fills: s.Fills, Serves: s.TailBoundMs > 0, Label: s.Label, DataRack: s.DataRack,
		LongRunning: s.LongRunning, MaxPerWorker: s.MaxPerWorker, AvoidWorker: t.AvoidWorker,
	}
}

// wants returns a subtask's demand with the workers that may run it now.
func (o *Owner) wants(t *steps.Task, now time.Time) *pack.Demand {
	w := want(t)
	w.MayRunOn = o.may(t, now)
	return w
}

func (o *Owner) choose(t *steps.Task, w *pack.Demand, cands []pack.Worker, rows []*host) int {
	if !w.LongRunning && w.MaxPerWorker == 0 {
		return pack.Choose(w, cands, func(int) int { return 0 })
	}
	return pack.Choose(w, cands, func(i int) int { return rows[i].count(t) })
}

// count returns how many subtasks of a subtask's step and occurrence a worker has.
func (h *host) count(t *steps.Task) int {
	n := 0
	for id := range h.runs {
		if id.Job == t.ID.Job && id.Occur == t.ID.Occur && id.Step == t.ID.Step {
			n++
		}
	}
	return n
}

// planGang starts the members of each gang if all of them fit at once.
func (o *Owner) planGang(j *job, ready []*steps.Task, cands []pack.Worker, rows []*host, now time.Time) {
	for len(ready) > 0 {
		peers := ready[0].Siblings()
		if len(ready) < len(peers) || ready[len(peers)-1].ID.Step != ready[0].ID.Step {
			ready = skipStep(ready)
			continue
		}
		o.startGang(j, ready[:len(peers)], cands, rows, now)
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

func (o *Owner) startGang(j *job, members []*steps.Task, cands []pack.Worker, rows []*host, now time.Time) {
	wants := make([]*pack.Demand, len(members))
	run := 0
	for i, t := range members {
		wants[i] = o.wants(t, now)
		run = max(run, t.Run)
	}
	first := members[0]
	for i, at := range pack.Gang(wants, cands, first.Step.OneRack, func(k int) int { return rows[k].count(first) }) {
		o.start(rows[at], j, members[i], run+1, now)
	}
}

// start orders a run.
func (o *Owner) start(h *host, j *job, t *steps.Task, run int, now time.Time) {
	if !j.fresh && o.Term > 1 {
		run = max(run, (o.Term-1)*runsPerTerm+1)
	}
	t.Phase, t.WorkerID, t.Run, t.PhaseSince, t.Percent = steps.Starting, h.id, run, now, 0
	p := &placement{task: t, job: j, run: run, share: fullShare, until: h.now(now) + startLease.Milliseconds()}
	o.reserve(h, p)
	h.until = max(h.until, p.until)
	o.Stats.Starts.Inc(1)
	if !j.track.Started {
		o.Stats.Wait.Update((now.UnixMilli() - j.track.Job.Accepted) * 1000)
	}
	o.Log.Info().Str("job", j.id()).Str("task", t.ID.String()).Int("run", run).Str("host", h.id).
		Int("freeCpu", h.w.Capacity.CPU-h.used.CPU).Int64("ageMs", now.UnixMilli()-j.track.Job.Accepted).Msg("run ordered")
	o.sendStart(h, p)
}

func (o *Owner) sendStart(h *host, p *placement) {
	p.calling = true
	o.calls++
	p.tries++
	p.sent = o.Clock.Now()
	s := runs.Start{
		Task: p.task.ID, Run: p.run, Payload: p.job.track.Job.Payload, UntilMs: p.until, Fence: o.Fence, Checkpoint: p.task.Checkpoint,
	}
	if p.job.track.Job.Advisor != nil {
		s.Ticket = p.job.adviceOn(p.task.ID.ParentStep()).ticket(h, o.Clock.Now())
	}
	to := h.target()
	go func() {
		r, err := o.Workers.Start(o.ctx, to, s)
		o.post(started{h, p, r, err})
	}()
}

func (o *Owner) confirm(p *placement, now time.Time) {
	p.confirmed = now
	if p.task.Run == p.run && p.task.Phase == steps.Starting {
		p.task.Phase, p.task.PhaseSince = steps.Running, now
	}
	if !p.job.track.Started {
		p.job.track.Started = true
		o.touch(&p.job.doc)
	}
}

func (o *Owner) takeStarted(m started) {
	h, p, now := m.host, m.place, o.Clock.Now()
	p.calling = false
	o.calls--
	if h.runs[p.task.ID] != p {
		return // ended or given up meanwhile
	}
	switch {
	case m.err == nil, errors.Is(m.err, runs.ErrStaleRun):
		// A run that is older than one that ended there is found by the next look.
		if p.confirmed.IsZero() {
			o.confirm(p, now)
		}
	case errors.Is(m.err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	case errors.Is(m.err, runs.ErrIncarnation):
		o.over(h, "another worker answers at the address")
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
	o.remember(h, p)
	o.Log.Warn().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Int("tries", p.tries).
		Err(err).Msg("start not answered")
	if p.tries >= stopAfter && !p.stopping {
		o.stopRun(h, p, "start not answered")
		return
	}
	p.retry = now.Add(orderRetry)
}

// startRefused takes in that a worker has not begun a run.
func (o *Owner) startRefused(h *host, p *placement, err error, now time.Time) {
	o.Stats.Refused.Inc(1)
	o.Log.Warn().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Int("tries", p.tries).
		Err(err).Msg("start refused")
	switch {
	case errors.Is(err, runs.ErrTicket):
		o.ticketRefused(h, p)
	default:
		h.full = now.Add(roomPause)
	}
	if p.tries > 1 && errors.Is(err, runs.ErrLeaseOver) {
		// An earlier copy may have been carried out in time; the next look tells.
		o.confirm(p, now)
		return
	}
	if p.tries > 1 {
		// An earlier copy may be carried out yet, unless the run is stopped.
		o.stopRun(h, p, "refused after a try without an answer")
		return
	}
	o.release(h, p)
	t := p.task
	if t.Run == p.run && t.Phase != steps.Finished {
		t.Phase, t.WorkerID, t.AvoidWorker = steps.Waiting, "", h.id
	}
	o.dirty = true
}

// stopRest stops every run of a subtask that should not be at work.
func (o *Owner) stopRest(t *steps.Task) {
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

// stopped is the word on an order to stop.
type stopped struct {
	host  *host
	place *placement
	err   error
}

// stopRun orders the end of a run.
func (o *Owner) stopRun(h *host, p *placement, why string) {
	p.stopping = true
	if p.task.Run == p.run && p.task.Phase != steps.Finished {
		p.task.Phase = steps.Stopping
	}
	o.Stats.Stops.Inc(1)
	o.Log.Info().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Str("cause", why).Msg("stop ordered")
	if !p.calling {
		o.sendStop(h, p)
	}
}

func (o *Owner) sendStop(h *host, p *placement) {
	p.calling = true
	o.calls++
	to, s := h.target(), runs.Stop{Task: p.task.ID, Run: p.run, Fence: o.Fence}
	go func() {
		_, err := o.Workers.Stop(o.ctx, to, s)
		o.post(stopped{h, p, err})
	}()
}

// bar stops a run that the tables have no place for.
func (o *Owner) bar(h *host, id runs.Task, run int) {
	to, s := h.target(), runs.Stop{Task: id, Run: run, Fence: o.Fence}
	go func() {
		if _, err := o.Workers.Stop(o.ctx, to, s); err != nil {
			o.Log.Warn().Str("task", id.String()).Int("run", run).Str("host", h.id).Err(err).Msg("stop failed")
		}
	}()
}

func (o *Owner) takeStopped(m stopped) {
	h, p, now := m.host, m.place, o.Clock.Now()
	p.calling = false
	o.calls--
	if h.runs[p.task.ID] != p {
		return
	}
	switch {
	case m.err == nil, errors.Is(m.err, runs.ErrStaleRun):
		p.stopped = now
		if p.confirmed.IsZero() {
			p.confirmed = now
		}
		h.nextLook = now
	case errors.Is(m.err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	case errors.Is(m.err, runs.ErrIncarnation):
		o.over(h, "another worker answers at the address")
	default:
		p.retry = now.Add(orderRetry)
		o.Log.Warn().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Err(m.err).Msg("stop not confirmed")
	}
}

// repeat sends orders again that were not answered.
func (o *Owner) repeat(now time.Time) {
	for _, h := range o.hosts {
		for _, p := range h.runs {
			if p.calling || p.retry.IsZero() || now.Before(p.retry) {
				continue
			}
			p.retry = time.Time{}
			if p.stopping {
				o.sendStop(h, p)
			} else if p.confirmed.IsZero() {
				o.sendStart(h, p)
			}
		}
	}
}
