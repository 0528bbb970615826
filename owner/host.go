package owner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// host is one worker as the owner knows it.
type host struct {
	id   string
	w    hosts.Worker
	used hosts.Room
	runs map[runs.Task]*placement
	// listed tells that the worker is registered now.
	listed bool
	// recorded is the version of the roster that names the worker; no run is
	// ordered before that is stored.
	recorded int
	// answered tells that this incarnation has heard the owner's fencing token.
	answered bool
	born     int64
	// clock is the worker's clock as it was at clockAt or before.
	clock   int64
	clockAt time.Time
	// reported is when the last look that was answered was sent.
	reported time.Time
	// until is the end of the longest lease given, in the worker's clock.
	until int64
	// seen is the highest end taken in, told the highest that the worker was
	// told to forget, and note the highest that it may forget.
	seen, told, note int64
	// ends are those that may not be forgotten yet, by number.
	ends     []noted
	looking  bool
	nextLook time.Time
	failing  time.Time // since when looks have failed; zero if they don't
	leaving  time.Time // when the worker was first known to leave
	full     time.Time // no starts before this time: it had no room
	health   pack.Health
	sick     bool // by the last judgement
	// release is the steward's task for which the worker is emptied; 0 for none.
	release int64
}

// noted is an end that may be forgotten when its job is stored at a version.
type noted struct {
	number  int64
	job     *job
	version int
}

// placement is one run on one worker.
type placement struct {
	task *steps.Task
	job  *job
	run  int
	// confirmed is when the worker's word on the order came; zero before.
	confirmed time.Time
	// until is the lease that the order gave, in the worker's clock.
	until    int64
	tries    int
	calling  bool // an order is under way
	retry    time.Time
	stopping bool
	stopped  time.Time // when the stop was confirmed
}

const (
	// slowClock is the share by which a worker's clock may be slow.
	slowClock = 0.02
	// leaseSlack is added to the end of a lease before it counts as over.
	leaseSlack = 150 * time.Millisecond
	// holdShare is the part of the longest lease that is given: short enough to
	// start again soon after a crash, long enough to outlive an election.
	holdShare = 0.6
	// longestLease is twice the time of an election and a takeover.
	longestLease = 4 * time.Second
	// lookWait is how long a look waits for an end.
	lookWait = 1000 * time.Millisecond
	// lookGap is the pause after a look, in which ends gather.
	lookGap = 25 * time.Millisecond
	// lookGapUnstored is the pause while ends wait to be stored: a look would
	// answer at once.
	lookGapUnstored = 60 * time.Millisecond
	// lookRetry is the pause after a look that failed.
	lookRetry = 150 * time.Millisecond
)

func newHost(w hosts.Worker) *host {
	return &host{id: w.ID, w: w, runs: map[runs.Task]*placement{}, born: w.Born}
}

func (h *host) target() runs.Target { return runs.Target{ID: h.id, Address: h.w.Address} }

// now returns the worker's clock as far as it is known.
func (h *host) now(now time.Time) int64 { return h.clock + now.Sub(h.clockAt).Milliseconds() }

// leaseOver tells whether everything on the worker has surely lapsed.
func (h *host) leaseOver(now, began time.Time, longest time.Duration) bool {
	from, lease := began, longest
	if h.answered {
		from, lease = h.clockAt, time.Duration(h.until-h.clock)*time.Millisecond
	}
	return now.Sub(from) > time.Duration(float64(lease)/(1-slowClock))+leaseSlack
}

// usable tells whether the worker may get new work.
func (h *host) usable(now time.Time, roster int) bool {
	return h.listed && h.answered && h.failing.IsZero() && !h.w.Draining && h.release == 0 && h.recorded <= roster && !now.Before(h.full)
}

// lease returns how long a lease the owner gives.
func (o *Owner) lease() time.Duration {
	return min(time.Duration(float64(o.Bounds.HoldMax)*holdShare), longestLease)
}

// rosterEntry is a worker that may have runs of the pool.
type rosterEntry struct {
	ID      string `json:"id"`
	Address string `json:"addr"`
	Born    int64  `json:"born,omitempty"`
}

func (o *Owner) encodeRoster() []byte {
	list := make([]rosterEntry, 0, len(o.hosts))
	for _, h := range o.hosts {
		list = append(list, rosterEntry{h.id, h.w.Address, h.born})
	}
	slices.SortFunc(list, func(a, b rosterEntry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	b, err := json.Marshal(list)
	if err != nil {
		o.Log.Error().Err(err).Msg("roster not encodable")
	}
	return b
}

// readRoster takes in the workers that an earlier owner used. They may run its
// tasks even if they are no longer registered.
func (o *Owner) readRoster(ctx context.Context) error {
	items, _, err := o.Store.List(ctx, o.roster.key)
	if err != nil {
		return err
	}
	for _, it := range items {
		if it.Key != o.roster.key {
			continue
		}
		o.roster.rev = it.Rev
		var list []rosterEntry
		if err := json.Unmarshal(it.Value, &list); err != nil {
			o.Log.Error().Str("pool", o.Pool).Err(err).Msg("roster not readable")
			continue
		}
		for _, e := range list {
			o.hosts[e.ID] = newHost(hosts.Worker{ID: e.ID, Pool: o.Pool, Address: e.Address, Born: e.Born})
		}
	}
	items, _, err = o.Store.List(ctx, o.digest.key)
	if err != nil {
		return err
	}
	for _, it := range items {
		if it.Key == o.digest.key {
			o.digest.rev = it.Rev
		}
	}
	return nil
}

// takeWorkers takes in which workers are registered.
func (o *Owner) takeWorkers(list []hosts.Worker) {
	now := o.Clock.Now()
	o.rostered = true
	present := make(map[string]bool, len(list))
	for _, w := range list {
		present[w.ID] = true
		o.takeWorker(w, now)
	}
	for _, h := range o.hosts {
		if h.listed && !present[h.id] {
			h.listed = false
			o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int("runs", len(h.runs)).Msg("worker not registered any more")
		}
	}
}

func (o *Owner) takeWorker(w hosts.Worker, now time.Time) {
	if o.wishes.Ended[w.ID] {
		return // its entry has yet to be removed
	}
	h := o.hosts[w.ID]
	if h != nil && w.Born != 0 && h.born != 0 && w.Born > h.born {
		o.over(h, "another incarnation is registered")
		h = nil
	}
	if h == nil {
		h = newHost(w)
		h.release = o.wishes.Release[w.ID]
		o.hosts[w.ID] = h
		o.barGhosts(h)
		o.touch(o.roster)
		h.recorded = o.roster.version
		o.Log.Info().Str("pool", o.Pool).Str("host", w.ID).Str("address", w.Address).Int64("born", w.Born).
			Int("cpu", w.Room.CPU).Int64("rev", w.Rev).Msg("worker registered")
	}
	if w.Draining && h.leaving.IsZero() {
		h.leaving = now
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Dur("left", w.Left).Int("runs", len(h.runs)).Msg("worker leaves")
	}
	if !h.listed || h.w.Draining != w.Draining {
		o.dirty = true
	}
	h.w, h.listed = w, true
	if h.born == 0 {
		h.born = w.Born
	}
}

// over takes in that a worker's life has ended: nothing of it runs any more.
func (o *Owner) over(h *host, why string) {
	o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int64("born", h.born).Int("runs", len(h.runs)).
		Str("cause", why).Msg("worker's life is over")
	for _, p := range h.runs {
		o.release(h, p)
		if p.confirmed.IsZero() {
			o.haunt(h, p)
		}
		if p.task.Host == h.id && p.task.Run == p.run && p.task.Phase != steps.Finished {
			p.task.Phase, p.task.Host = steps.Waiting, ""
		}
	}
	delete(o.hosts, h.id)
	o.touch(o.roster)
	o.dirty = true
}

// release frees the room of a run.
func (o *Owner) release(h *host, p *placement) {
	if h.runs[p.task.ID] != p {
		return
	}
	delete(h.runs, p.task.ID)
	s := p.task.Step
	if !s.Fills {
		h.used.CPU -= s.CPU
		p.job.used -= s.CPU
	}
	h.used.Mem -= s.Mem
	h.used.GPU -= s.GPU
	p.job.active--
}

// reserve takes the room of a run.
func (o *Owner) reserve(h *host, p *placement) {
	h.runs[p.task.ID] = p
	s := p.task.Step
	if !s.Fills {
		h.used.CPU += s.CPU
		p.job.used += s.CPU
	}
	h.used.Mem += s.Mem
	h.used.GPU += s.GPU
	p.job.active++
}

// expire ends the lives of workers that don't answer when their leases are over.
func (o *Owner) expire(now time.Time) {
	for _, h := range o.hosts {
		switch {
		case h.answered && !h.listed && len(h.runs) == 0:
			o.over(h, "not registered and idle")
		case h.answered && h.failing.IsZero():
		case h.leaseOver(now, o.began, o.Bounds.HoldMax):
			if h.listed && len(h.runs) == 0 && h.answered {
				continue // keep asking
			}
			if h.listed && !h.answered {
				continue
			}
			o.over(h, "lease is over")
		}
	}
	if !o.clear && o.rostered {
		o.clear = o.lookedAtAll(now)
		if o.clear {
			o.dirty = true
			o.Log.Info().Str("pool", o.Pool).Dur("after", now.Sub(o.began)).Msg("all workers accounted for")
		}
	}
}

// lookedAtAll tells whether no run of an earlier owner can be at work unseen.
func (o *Owner) lookedAtAll(now time.Time) bool {
	for _, h := range o.hosts {
		if !h.answered && !h.leaseOver(now, o.began, o.Bounds.HoldMax) {
			return false
		}
	}
	return true
}

// looked is a worker's report, or the lack of it.
type looked struct {
	host   *host
	report runs.Report
	sent   time.Time
	told   int64
	until  int64
	err    error
}

// needsLook tells whether a worker is to be asked now.
func (h *host) needsLook(now time.Time) bool {
	if h.looking || now.Before(h.nextLook) {
		return false
	}
	return !h.answered || len(h.runs) > 0 || h.note > h.told || len(h.ends) > 0 || !h.failing.IsZero()
}

// look renews leases and asks for reports.
func (o *Owner) look(now time.Time) {
	for _, h := range o.hosts {
		if h.needsLook(now) {
			o.lookAt(h, now)
		}
	}
}

func (o *Owner) lookAt(h *host, now time.Time) {
	h.looking = true
	n := runs.Renew{Fence: o.Fence}
	if h.failing.IsZero() {
		// Numbers of ends start anew with an incarnation: one that does not answer
		// may be another, which would forget ends that nobody has read.
		n.Noted = h.note
	}
	if h.answered && h.failing.IsZero() && len(h.runs) > 0 {
		// A worker that does not answer gets no longer lease, or its end would
		// move away with each look.
		n.Until = h.now(now) + o.lease().Milliseconds()
	}
	if h.failing.IsZero() && h.answered && len(h.runs) > 0 && len(h.ends) == 0 {
		n.Wait = int(lookWait.Milliseconds())
	}
	o.Stats.Looks.Inc(1)
	to := h.target()
	go func() {
		r, err := o.Workers.Renew(o.ctx, to, n)
		o.post(looked{h, r, now, n.Noted, n.Until, err})
	}()
}

func (o *Owner) takeLook(m looked) {
	h, now := m.host, o.Clock.Now()
	h.looking = false
	h.until = max(h.until, m.until)
	if o.hosts[h.id] != h {
		return // its life was over meanwhile
	}
	if m.err != nil {
		o.lookFailed(h, m.err, now)
		return
	}
	if m.report.Born != 0 && h.born != 0 && m.report.Born != h.born {
		w := h.w
		o.over(h, "another incarnation answers")
		w.Born = m.report.Born
		o.takeWorker(w, now)
		return
	}
	if !h.failing.IsZero() {
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Dur("away", now.Sub(h.failing)).Msg("worker answers again")
		h.failing = time.Time{}
		o.dirty = true
	}
	if !h.answered {
		h.answered = true
		o.dirty = true
	}
	if m.report.Born != 0 {
		h.born = m.report.Born
	}
	// The clock was read when the worker answered, which for a look that waits is
	// long after it was sent: a lease must not be taken to end before it does.
	h.clock, h.clockAt, h.reported = m.report.Clock, now, m.sent
	h.told = max(h.told, m.told)
	o.takeEnds(h, m.report.Ended)
	o.takeRunning(h, m.report, m.sent, now)
	o.noteEnds()
	o.released = o.released || h.release != 0 && h.empty()
	h.nextLook = now.Add(lookGap)
	if len(h.ends) > 0 {
		h.nextLook = now.Add(lookGapUnstored)
	}
}

func (o *Owner) lookFailed(h *host, err error, now time.Time) {
	o.Stats.LookFailed.Inc(1)
	h.nextLook = now.Add(lookRetry)
	switch {
	case errors.Is(err, runs.ErrFence):
		o.depose("a worker has heard a higher token")
	case errors.Is(err, runs.ErrIncarnation):
		o.over(h, "another worker answers at the address")
	case errors.Is(err, context.Canceled):
	case h.failing.IsZero():
		h.failing = now
		o.Log.Warn().Str("pool", o.Pool).Str("host", h.id).Int("runs", len(h.runs)).Err(err).Msg("worker does not answer")
	}
}

// takeEnds takes in the ends that are new, in their order.
func (o *Owner) takeEnds(h *host, ends []runs.End) {
	slices.SortFunc(ends, func(a, b runs.End) int { return int(a.Number - b.Number) })
	for _, e := range ends {
		if e.Number <= h.seen {
			continue
		}
		h.seen = e.Number
		o.end(h, e)
	}
}

// noteEnds lets workers forget the ends that are stored.
func (o *Owner) noteEnds() {
	for _, h := range o.hosts {
		for len(h.ends) > 0 {
			e := h.ends[0]
			if e.job != nil && e.job.stored < e.version {
				break
			}
			h.note = e.number
			h.ends = h.ends[1:]
		}
	}
}

// takeRunning compares what a worker runs with what it should.
func (o *Owner) takeRunning(h *host, r runs.Report, sent, now time.Time) {
	present := make(map[runs.Task]int, len(r.Running))
	for _, v := range r.Running {
		present[v.Task] = v.Run
		o.takeRun(h, v, now)
	}
	for id, p := range h.runs {
		if present[id] == p.run || p.confirmed.IsZero() || !p.confirmed.Before(sent) {
			continue
		}
		if p.stopping && (p.stopped.IsZero() || !p.stopped.Before(sent)) {
			continue
		}
		o.vanished(h, p)
	}
}

// takeRun takes in one run at work.
func (o *Owner) takeRun(h *host, v runs.Running, now time.Time) {
	if p := h.runs[v.Task]; p != nil && p.run == v.Run {
		if p.confirmed.IsZero() {
			o.confirm(p, now)
		}
		if p.task.Run == v.Run {
			p.task.Percent, p.task.Figure = v.Percent, v.Figure
			if v.Saved != "" {
				p.task.Saved = v.Saved
			}
			o.hurry(h, p, now)
		}
		return
	}
	o.takeForeign(h, v, now)
}

// takeForeign takes in a run that the owner has not ordered in this term: an
// earlier owner's is kept if the subtask has no other, else it is stopped.
func (o *Owner) takeForeign(h *host, v runs.Running, now time.Time) {
	if h.runs[v.Task] != nil {
		return // the report is older than the order in the table
	}
	j := o.jobs[v.Task.Job]
	var t *steps.Task
	if j != nil {
		t = j.track.Task(v.Task)
	}
	if t == nil {
		o.Log.Error().Str("task", v.Task.String()).Int("run", v.Run).Str("host", h.id).Msg("a run that no job names")
		o.bar(h, v.Task, v.Run)
		return
	}
	p := &placement{task: t, job: j, run: v.Run, confirmed: now, until: h.until}
	o.reserve(h, p)
	if j.track.Final == steps.Open && t.Phase == steps.Waiting && v.Run >= t.Run {
		t.Phase, t.Host, t.Run, t.Since = steps.Running, h.id, v.Run, now
		t.Percent, t.Figure = v.Percent, v.Figure
		if v.Saved != "" {
			t.Saved = v.Saved
		}
		j.track.Started = true
		o.Log.Info().Str("task", v.Task.String()).Int("run", v.Run).Str("host", h.id).Msg("run adopted")
		return
	}
	o.Log.Warn().Str("task", v.Task.String()).Int("run", v.Run).Str("host", h.id).Int("current", t.Run).Msg("stray run")
	o.stopRun(h, p, "stray run")
}

// vanished takes in that a confirmed run is neither at work nor listed as ended.
func (o *Owner) vanished(h *host, p *placement) {
	o.release(h, p)
	t := p.task
	if t.Host == h.id && t.Run == p.run && t.Phase != steps.Finished {
		t.Phase, t.Host = steps.Waiting, ""
	}
	o.dirty = true
	o.Log.Info().Str("task", t.ID.String()).Int("run", p.run).Str("host", h.id).Bool("stopping", p.stopping).Msg("run is gone")
}

// leaveMargin is how long before a leaving worker's end its runs are stopped,
// so that they start again elsewhere with what they saved.
const leaveMargin = 500 * time.Millisecond

// leave empties workers that leave: lasting subtasks at once, others when their
// time is nearly over.
func (o *Owner) leave(now time.Time) {
	for _, h := range o.hosts {
		if !h.w.Draining || len(h.runs) == 0 {
			continue
		}
		left := max(h.w.Left, o.Bounds.Drain) - now.Sub(h.leaving)
		for _, p := range h.runs {
			if !p.stopping && (p.task.Step.Lasting || left < leaveMargin) {
				o.stopRun(h, p, "worker leaves")
			}
		}
	}
}
