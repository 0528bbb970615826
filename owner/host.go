package owner

import (
	"context"
	"encoding/json"
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
	used hosts.Resources
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
	ends []noted
	// kept is the first end that the worker must not forget for the rest of its
	// life, 0 if there is none, and unread the number of those from it on.
	kept     int64
	unread   int
	looking  bool
	nextLook time.Time
	failing  time.Time // since when looks have failed; zero if they don't
	leaving  time.Time // when the worker was first known to leave
	full     time.Time // no starts before this time: it had no room
	health   pack.Health
	sick     bool // by the last judgement
	// share is the part, in percent, at which filling subtasks may work.
	share int
	// release is the steward's task for which the worker is emptied; 0 for none.
	release int64
}

// placement is one run on one worker.
type placement struct {
	task *steps.Task
	job  *job
	run  int
	// confirmed is when the worker's word on the order came; zero before.
	confirmed time.Time
	// until is the lease that the order gave, in the worker's clock.
	until   int64
	tries   int
	sent    time.Time // of the last try to start the run
	calling bool      // an order is under way
	// share is the part at which the run works, if it fills.
	share    int
	pacing   bool // an order to change it is under way
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
	// lookGapKept is the pause while a worker lists ends that it must keep: each look
	// answers at once.
	lookGapKept = 150 * time.Millisecond
	// maxKept is the most ends that a worker lists and must keep before it gets no
	// work: it lists 500 at a time.
	maxKept = 300
	// patience is how long after the end of its lease a registered worker may still
	// answer before work that may have ended there is begun again: cuts heal, and an
	// entry without processor falls behind for about as long.
	patience = 3 * time.Second
	// lookRetry is the pause after a look that failed.
	lookRetry = 150 * time.Millisecond
)

func newHost(w hosts.Worker) *host {
	return &host{id: w.ID, w: w, runs: map[runs.Task]*placement{}, born: w.StartedMs, share: fullShare}
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
	return h.listed && h.answered && h.failing.IsZero() && !h.w.Draining && h.release == 0 && h.unread < maxKept && h.recorded <= roster && !now.Before(h.full)
}

// lease returns how long a lease the owner gives.
func (o *Owner) lease() time.Duration {
	return min(time.Duration(float64(o.Bounds.MaxLease)*holdShare), longestLease)
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
			o.hosts[e.ID] = newHost(hosts.Worker{ID: e.ID, Pool: o.Pool, Address: e.Address, StartedMs: e.Born})
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
	if h != nil && w.StartedMs != 0 && h.born != 0 && w.StartedMs > h.born {
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
		o.Log.Info().Str("pool", o.Pool).Str("host", w.ID).Str("address", w.Address).Int64("born", w.StartedMs).
			Int("cpu", w.Capacity.CPU).Int64("rev", w.Rev).Msg("worker registered")
	}
	if w.Draining && h.leaving.IsZero() {
		h.leaving = now
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Dur("left", w.DrainLeft).Int("runs", len(h.runs)).Msg("worker leaves")
	}
	if !h.listed || h.w.Draining != w.Draining {
		o.dirty = true
	}
	h.w, h.listed = w, true
	if h.born == 0 {
		h.born = w.StartedMs
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
		if p.task.WorkerID == h.id && p.task.Run == p.run && p.task.Phase != steps.Finished {
			p.task.Phase, p.task.WorkerID = steps.Waiting, ""
			o.void(p)
		}
	}
	delete(o.hosts, h.id)
	o.touch(o.roster)
	o.dirty = true
}

// void records that a run doesn't count, before its subtask is begun anew: should
// its end be read later, by whichever owner, both runs would count as done.
func (o *Owner) void(p *placement) {
	if p.task.Step.LongRunning || p.task.Step.Speculative {
		return
	}
	p.task.HighestVoidRun = max(p.task.HighestVoidRun, p.run)
	o.touch(&p.job.doc)
	p.job.voided = p.job.version
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
		case h.leaseOver(now, o.began, o.Bounds.MaxLease):
			if h.listed && h.answered && !h.leaseOver(now.Add(-patience), o.began, o.Bounds.MaxLease) {
				o.lapse(h)
				continue
			}
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

// lapse takes in that the lease of a worker that may yet answer is over: lasting
// subtasks have no other end, so they may start elsewhere.
func (o *Owner) lapse(h *host) {
	for _, p := range h.runs {
		if !p.task.Step.LongRunning || p.confirmed.IsZero() {
			continue
		}
		o.release(h, p)
		if p.task.WorkerID == h.id && p.task.Run == p.run {
			p.task.Phase, p.task.WorkerID = steps.Waiting, ""
			o.dirty = true
		}
		o.Log.Info().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Msg("lease of a lasting run is over")
	}
}

// lookedAtAll tells whether no run of an earlier owner can be at work unseen.
func (o *Owner) lookedAtAll(now time.Time) bool {
	for _, h := range o.hosts {
		if !h.answered && !h.leaseOver(now, o.began, o.Bounds.MaxLease) {
			return false
		}
	}
	return true
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
		left := max(h.w.DrainLeft, o.Bounds.Drain) - now.Sub(h.leaving)
		for _, p := range h.runs {
			if !p.stopping && (p.task.Step.LongRunning || left < leaveMargin) {
				o.stopRun(h, p, "worker leaves")
			}
		}
	}
}
