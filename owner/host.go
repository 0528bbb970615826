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
	id     string
	worker hosts.Worker
	used   hosts.Resources
	runs   map[runs.Task]*placement
	// listed tells that the worker is registered now.
	listed bool
	// rosterVersion is the version of the roster that names the worker; no run is
	// ordered before that is stored.
	rosterVersion int
	// answered tells that this incarnation has heard the owner's fencing token.
	answered  bool
	startedMs int64
	// clock is the worker's clock as it was at clockAt or before.
	clock   int64
	clockAt time.Time
	// lastReport is when the last look that was answered was sent.
	lastReport time.Time
	// leaseUntil is the end of the longest lease given, in the worker's clock.
	leaseUntil int64
	// lastEnd is the highest end taken in, acked the highest that the worker was
	// acked to forget, and ackable the highest that it may forget.
	lastEnd, acked, ackable int64
	// unacked are those that may not be forgotten yet, by number.
	unacked []pendingAck
	// firstWithheld is the first end that the worker must not forget for the rest of its
	// life, 0 if there is none, and unread the number of those from it on.
	firstWithheld int64
	withheld      int
	polling       bool
	nextPoll      time.Time
	failingSince  time.Time // since when looks have failed; zero if they don't
	leavingSince  time.Time // when the worker was first known to leave
	noRoomUntil   time.Time // no starts before this time: it had no room
	health        pack.Health
	unhealthy     bool // by the last judgement
	// fillShare is the part, in percent, at which filling subtasks may work.
	fillShare int
	// releaseTask is the steward's task for which the worker is emptied; 0 for none.
	releaseTask int64
}

// placement is one run on one worker.
type placement struct {
	task *steps.Task
	job  *job
	run  int
	// confirmedAt is when the worker's word on the order came; zero before.
	confirmedAt time.Time
	// leaseUntil is the lease that the order gave, in the worker's clock.
	leaseUntil  int64
	tries       int
	startSentAt time.Time // of the last try to start the run
	inFlight    bool      // an order is under way
	// share is the part at which the run works, if it fills.
	share        int
	paceInFlight bool // an order to change it is under way
	retryAt      time.Time
	stopping     bool
	stoppedAt    time.Time // when the stop was confirmed
}

const (
	// maxClockSlowness is the share by which a worker's clock may be slow.
	maxClockSlowness = 0.02
	// leaseSlack is added to the end of a lease before it counts as over.
	leaseSlack = 150 * time.Millisecond
	// leaseFraction is the part of the longest lease that is given: short enough to
	// start again soon after a crash, long enough to outlive an election.
	leaseFraction = 0.6
	// leaseCap is twice the time of an election and a takeover.
	leaseCap = 4 * time.Second
	// pollWait is how long a look waits for an end.
	pollWait = 1000 * time.Millisecond
	// pollGap is the pause after a look, in which ends gather.
	pollGap = 25 * time.Millisecond
	// pollGapUnstored is the pause while ends wait to be stored: a look would
	// answer at once.
	pollGapUnstored = 60 * time.Millisecond
	// pollGapWithheld is the pause while a worker lists ends that it must keep: each look
	// answers at once.
	pollGapWithheld = 150 * time.Millisecond
	// maxWithheld is the most ends that a worker lists and must keep before it gets no
	// work: it lists 500 at a time.
	maxWithheld = 300
	// unreachableGrace is how long after the end of its lease a registered worker may still
	// answer before work that may have ended there is begun again: cuts heal, and an
	// entry without processor falls behind for about as long.
	unreachableGrace = 3 * time.Second
	// pollRetryDelay is the pause after a look that failed.
	pollRetryDelay = 150 * time.Millisecond
)

func newHost(w hosts.Worker) *host {
	return &host{id: w.ID, worker: w, runs: map[runs.Task]*placement{}, startedMs: w.StartedMs, fillShare: fullShare}
}

func (h *host) target() runs.Target { return runs.Target{ID: h.id, Address: h.worker.Address} }

// clockAtTime returns the worker's clock as far as it is known.
func (h *host) clockAtTime(now time.Time) int64 { return h.clock + now.Sub(h.clockAt).Milliseconds() }

// leaseExpired tells whether everything on the worker has surely lapsed.
func (h *host) leaseExpired(now, began time.Time, longest time.Duration) bool {
	from, lease := began, longest
	if h.answered {
		from, lease = h.clockAt, time.Duration(h.leaseUntil-h.clock)*time.Millisecond
	}
	return now.Sub(from) > time.Duration(float64(lease)/(1-maxClockSlowness))+leaseSlack
}

// usable tells whether the worker may get new work.
func (h *host) usable(now time.Time, roster int) bool {
	return h.listed && h.answered && h.failingSince.IsZero() && !h.worker.Draining && h.releaseTask == 0 && h.withheld < maxWithheld && h.rosterVersion <= roster && !now.Before(h.noRoomUntil)
}

// leaseLength returns how long a leaseLength the owner gives.
func (o *Owner) leaseLength() time.Duration {
	return min(time.Duration(float64(o.Bounds.MaxLease)*leaseFraction), leaseCap)
}

// rosterEntry is a worker that may have runs of the pool.
type rosterEntry struct {
	ID        string `json:"id"`
	Address   string `json:"addr"`
	StartedMs int64  `json:"born,omitempty"`
}

func (o *Owner) encodeRoster() []byte {
	list := make([]rosterEntry, 0, len(o.hosts))
	for _, h := range o.hosts {
		list = append(list, rosterEntry{h.id, h.worker.Address, h.startedMs})
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
			o.hosts[e.ID] = newHost(hosts.Worker{ID: e.ID, Pool: o.Pool, Address: e.Address, StartedMs: e.StartedMs})
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

// updateWorkers takes in which workers are registered.
func (o *Owner) updateWorkers(list []hosts.Worker) {
	now := o.Clock.Now()
	o.workersKnown = true
	present := make(map[string]bool, len(list))
	for _, w := range list {
		present[w.ID] = true
		o.updateWorker(w, now)
	}
	for _, h := range o.hosts {
		if h.listed && !present[h.id] {
			h.listed = false
			o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int("runs", len(h.runs)).Msg("worker not registered any more")
		}
	}
}

func (o *Owner) updateWorker(w hosts.Worker, now time.Time) {
	if o.fleetPlan.Ended[w.ID] {
		return // its entry has yet to be removed
	}
	h := o.hosts[w.ID]
	if h != nil && w.StartedMs != 0 && h.startedMs != 0 && w.StartedMs > h.startedMs {
		o.endIncarnation(h, "another incarnation is registered")
		h = nil
	}
	if h == nil {
		h = newHost(w)
		h.releaseTask = o.fleetPlan.Release[w.ID]
		o.hosts[w.ID] = h
		o.blockUnansweredStarts(h)
		o.markChanged(o.roster)
		h.rosterVersion = o.roster.version
		o.Log.Info().Str("pool", o.Pool).Str("host", w.ID).Str("address", w.Address).Int64("born", w.StartedMs).
			Int("cpu", w.Capacity.CPU).Int64("rev", w.Rev).Msg("worker registered")
	}
	if w.Draining && h.leavingSince.IsZero() {
		h.leavingSince = now
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Dur("left", w.DrainLeft).Int("runs", len(h.runs)).Msg("worker leaves")
	}
	if !h.listed || h.worker.Draining != w.Draining {
		o.passNeeded = true
	}
	h.worker, h.listed = w, true
	if h.startedMs == 0 {
		h.startedMs = w.StartedMs
	}
}

// endIncarnation takes in that a worker's life has ended: nothing of it runs any more.
func (o *Owner) endIncarnation(h *host, why string) {
	o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int64("born", h.startedMs).Int("runs", len(h.runs)).
		Str("cause", why).Msg("worker's life is over")
	for _, p := range h.runs {
		o.freeRoom(h, p)
		if p.confirmedAt.IsZero() {
			o.holdBack(h, p)
		}
		if p.task.WorkerID == h.id && p.task.Run == p.run && p.task.Phase != steps.Finished {
			p.task.Phase, p.task.WorkerID = steps.Waiting, ""
			o.voidRun(p)
		}
	}
	delete(o.hosts, h.id)
	o.markChanged(o.roster)
	o.passNeeded = true
}

// voidRun records that a run doesn't count, before its subtask is begun anew: should
// its end be read later, by whichever owner, both runs would count as done.
func (o *Owner) voidRun(p *placement) {
	if p.task.Step.LongRunning || p.task.Step.Speculative {
		return
	}
	p.task.HighestVoidRun = max(p.task.HighestVoidRun, p.run)
	o.markChanged(&p.job.doc)
	p.job.voidVersion = p.job.version
}

// freeRoom frees the room of a run.
func (o *Owner) freeRoom(h *host, p *placement) {
	if h.runs[p.task.ID] != p {
		return
	}
	delete(h.runs, p.task.ID)
	s := p.task.Step
	if !s.Fills {
		h.used.CPU -= s.CPU
		p.job.usedCPU -= s.CPU
	}
	h.used.Mem -= s.Mem
	h.used.GPU -= s.GPU
	p.job.activeTasks--
}

// takeRoom takes the room of a run.
func (o *Owner) takeRoom(h *host, p *placement) {
	h.runs[p.task.ID] = p
	s := p.task.Step
	if !s.Fills {
		h.used.CPU += s.CPU
		p.job.usedCPU += s.CPU
	}
	h.used.Mem += s.Mem
	h.used.GPU += s.GPU
	p.job.activeTasks++
}

// expireLeases ends the lives of workers that don't answer when their leases are over.
func (o *Owner) expireLeases(now time.Time) {
	for _, h := range o.hosts {
		switch {
		case h.answered && !h.listed && len(h.runs) == 0:
			o.endIncarnation(h, "not registered and idle")
		case h.answered && h.failingSince.IsZero():
		case h.leaseExpired(now, o.startedAt, o.Bounds.MaxLease):
			if h.listed && h.answered && !h.leaseExpired(now.Add(-unreachableGrace), o.startedAt, o.Bounds.MaxLease) {
				o.freeLongRunning(h)
				continue
			}
			if h.listed && len(h.runs) == 0 && h.answered {
				continue // keep asking
			}
			if h.listed && !h.answered {
				continue
			}
			o.endIncarnation(h, "lease is over")
		}
	}
	if !o.takeoverDone && o.workersKnown {
		o.takeoverDone = o.earlierRunsKnown(now)
		if o.takeoverDone {
			o.passNeeded = true
			o.Log.Info().Str("pool", o.Pool).Dur("after", now.Sub(o.startedAt)).Msg("all workers accounted for")
		}
	}
}

// freeLongRunning takes in that the lease of a worker that may yet answer is over: lasting
// subtasks have no other end, so they may start elsewhere.
func (o *Owner) freeLongRunning(h *host) {
	for _, p := range h.runs {
		if !p.task.Step.LongRunning || p.confirmedAt.IsZero() {
			continue
		}
		o.freeRoom(h, p)
		if p.task.WorkerID == h.id && p.task.Run == p.run {
			p.task.Phase, p.task.WorkerID = steps.Waiting, ""
			o.passNeeded = true
		}
		o.Log.Info().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Msg("lease of a lasting run is over")
	}
}

// earlierRunsKnown tells whether no run of an earlier owner can be at work unseen.
func (o *Owner) earlierRunsKnown(now time.Time) bool {
	for _, h := range o.hosts {
		if !h.answered && !h.leaseExpired(now, o.startedAt, o.Bounds.MaxLease) {
			return false
		}
	}
	return true
}

// leaveMargin is how long before a leaving worker's end its runs are stopped,
// so that they start again elsewhere with what they saved.
const leaveMargin = 500 * time.Millisecond

// stopLeaving empties workers that stopLeaving: lasting subtasks at once, others when their
// time is nearly over.
func (o *Owner) stopLeaving(now time.Time) {
	for _, h := range o.hosts {
		if !h.worker.Draining || len(h.runs) == 0 {
			continue
		}
		left := max(h.worker.DrainLeft, o.Bounds.Drain) - now.Sub(h.leavingSince)
		for _, p := range h.runs {
			if !p.stopping && (p.task.Step.LongRunning || left < leaveMargin) {
				o.stopRun(h, p, "worker leaves")
			}
		}
	}
}
