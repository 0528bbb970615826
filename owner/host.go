package owner

import (
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// host is the owner's view of one incarnation of a worker.
type host struct {
	id     string
	worker hosts.Worker
	used   hosts.Resources // reserved by runs
	runs   map[runs.Task]*placement
	// listed is true while the worker is registered.
	listed bool
	// rosterVersion is the first version of the roster that has the worker. No run
	// starts on it before that version is stored.
	rosterVersion int
	// answered is true once this incarnation has answered a poll, and so has seen the
	// owner's fencing token.
	answered bool
	// givenUp tells that the worker has answered, and has not since its lease was over.
	givenUp bool
	// inherited tells that an earlier owner has stored the worker in the roster.
	inherited bool
	// silentSince is since when no owner can have given the worker a lease, by the roster that
	// the owner before this one has left, and silentFrom the election from whose owner on none
	// has; zero if that is not known. storedSilence is the silence that this owner has last
	// encoded in the roster; 0 if it has encoded none.
	silentSince   time.Time
	silentFrom    int
	storedSilence time.Duration
	startedMs     int64
	// claim is the worker's registration if that contradicts the worker, else nil.
	claim *claim
	// unreadable tells that the worker is registered, and its registration can't be used.
	unreadable bool
	// relabelledSince is when the registration was first read with other labels than before;
	// zero if it has the same.
	relabelledSince time.Time
	// clock is the worker's clock, in milliseconds, as read at clockAt or earlier.
	clock   int64
	clockAt time.Time
	// firstClock is the worker's clock in the first report.
	firstClock int64
	// lastReport is when the last poll that was answered was sent, and obeyedAt the same by
	// SinceBoot.
	lastReport time.Time
	obeyedAt   time.Duration
	// confirming tells that the worker is asked for a report at once, and unconfirmed that it has
	// not answered that, and no poll since.
	confirming, unconfirmed bool
	// besideAt is when a report that was asked for beside a poll was last read: the two may
	// overtake each other.
	besideAt time.Time
	// leasedBy is until when the last poll that extended the lease was carried out, unless late.
	leasedBy time.Time
	// leaseUntil is the end of the longest lease given, in milliseconds of the
	// worker's clock.
	leaseUntil int64
	// longerLease is the time left, by the worker's clock, of a lease that may outlast those that
	// owners give, when the roster was last encoded or read; 0 if it does not.
	longerLease time.Duration
	// Numbers of ends: lastEnd is the highest one handled, acked the highest one
	// acknowledged to the worker, and ackable the highest one that may be
	// acknowledged.
	lastEnd, acked, ackable int64
	// unacked has the ends handled but not yet acknowledgeable, in order of number.
	unacked []pendingAck
	// lapsedThrough is the highest end after which the lease is known to have lapsed: to
	// acknowledge it or an earlier one does not make its run count.
	lapsedThrough int64
	// withheld is the number of ends in unacked that are withheld.
	withheld int
	// resting tells that the worker gets no starts until its lease lapses, so that withheld
	// ends can be acknowledged.
	resting bool
	// idle tells that the last report listed no active run, and not all ends.
	idle bool
	// awaitsJobs tells that the last report had runs or ends of jobs that are left in the store.
	// endsBlocked tells that ends were not read behind the end of such a job.
	awaitsJobs, endsBlocked bool
	// endsLeftOut tells that the last report may not have listed all ends.
	endsLeftOut bool
	// awaitsStarts is true while starts without an answer may still be carried out: the
	// worker is polled, so that a restart is noticed before they are.
	awaitsStarts bool
	// proofDue is true if the worker is to be asked whether it has seen a later owner, or
	// has started again while orders of an earlier one may be carried out.
	proofDue bool
	// polling tells that a poll is under way, polledAt when the last one was sent, and
	// pollAcks whether it acknowledges ends.
	polling, pollAcks bool
	polledAt          time.Time
	nextPoll          time.Time
	failingSince      time.Time     // since when polls have failed; zero if they succeed
	failedPolls       int           // since the last answer that was quick
	answerTime        time.Duration // of its calls, usually
	// unansweredAt is when a call was last found to have got no answer.
	unansweredAt time.Time
	othersLose   bool      // many other workers have lost calls lately
	leavingSince time.Time // when the worker was first listed as draining
	// noRoomUntil is the time before which the worker gets no starts: it has refused one, or
	// orders to an earlier incarnation may be carried out there.
	noRoomUntil time.Time
	// lateLeases is until when an order to an earlier incarnation may extend the lease.
	lateLeases time.Time
	// formerLease tells that the incarnation was found while an order of an earlier owner to
	// the one before could be carried out, and may have extended the lease until this
	// owner's first call.
	formerLease bool
	health      pack.Health
	unhealthy   bool // as of the last scheduling pass
	// fillShare is the share, in percent, at which filling (best-effort) subtasks may
	// run.
	fillShare int
	// mixedAt is when a serving or filling run last ended or changed its share, and sampledAt
	// when the tail latencies were last added to the table of harm between images.
	mixedAt, sampledAt time.Time
	// restSince is when the worker was first found to be up by a subtask under which its host had
	// crashed; zero if none has asked.
	restSince time.Time
	// releaseTask is the ID of the fleet plan's task for which the worker is being
	// emptied; 0 for none.
	releaseTask int64
}

const (
	// maxClockSlowness is the fraction by which a worker's clock may run slow.
	maxClockSlowness = 0.02
	// leaseSlack is added to the end of a lease before it counts as expired.
	leaseSlack = 150 * time.Millisecond
	// leaseFraction is the fraction of Bounds.MaxLease that is given: short enough
	// for a quick restart of runs after a crash, long enough to outlast an election.
	leaseFraction = 0.6
	// leaseCap limits the length of a lease, also that of a start, to twice the time of an
	// election and a takeover.
	leaseCap = 4 * time.Second
	// leaseHorizon is how long after an owner's evidence its leases may end: leaseCap, and most of
	// the time from one renewal of the election to the next. A later owner relies on it, so that
	// owners of all versions must keep to it.
	leaseHorizon = leaseCap + 300*time.Millisecond
	// doubtPollWait replaces pollWait while it is in doubt whether the election is in force, and
	// doubtPollInterval is how often idle workers are polled then.
	doubtPollWait     = 500 * time.Millisecond
	doubtPollInterval = 500 * time.Millisecond
	// maxClockAge is the age from which an idle worker's clock is read again, as its
	// lower bound falls behind, and the voters must not hold many that are silent.
	maxClockAge = 5 * time.Second
	// pollWait is how long a worker may hold a poll until a run ends.
	pollWait = 1000 * time.Millisecond
	// startPollWait replaces pollWait on a worker with a long-running subtask that is
	// not in service yet: another one of its step may be stopped as soon as it is.
	startPollWait = 150 * time.Millisecond
	// pollGap is the pause after a poll, so that one poll returns several ends.
	pollGap = 25 * time.Millisecond
	// hostsPerPollGap is the number of workers at work for which pollGap suffices. With more, the
	// pause grows in proportion, up to maxPollGap: half of a busy owner's calls were polls.
	hostsPerPollGap = 64
	maxPollGap      = 75 * time.Millisecond
	// pollGapUnstored is the pause while ends wait to be stored: the worker would
	// answer a poll at once.
	pollGapUnstored = 60 * time.Millisecond
	// pollGapWithheld is the pause while the worker lists ends that are not
	// acknowledged: it answers each poll at once.
	pollGapWithheld = 150 * time.Millisecond
	// unreachableGrace is how long after the end of its lease a registered worker may
	// still answer before subtasks that may have finished there start again. Network
	// partitions heal, and an entry short of CPU lags by about as much.
	unreachableGrace = 3 * time.Second
	// pollRetryDelay is the pause after a poll that failed.
	pollRetryDelay = 150 * time.Millisecond
)

func newHost(w hosts.Worker) *host {
	return &host{id: w.ID, worker: w, runs: map[runs.Task]*placement{}, startedMs: w.StartedMs, fillShare: fullShare}
}

func (h *host) target() runs.Target { return runs.Target{ID: h.id, Address: h.worker.Address} }

// workerClock returns a lower bound of the worker's clock at now, in milliseconds.
func (h *host) workerClock(now time.Time) int64 {
	return h.clock + int64(float64(now.Sub(h.clockAt).Milliseconds())*(1-maxClockSlowness))
}

// leaseExpired reports whether every lease on the worker has expired for certain.
// A worker that has not answered this owner may have a lease of an earlier owner, which
// ends by a lower bound of the worker's clock at most leaseHorizon after leasesFrom, its silentSince.
func (h *host) leaseExpired(now, leasesFrom time.Time) bool {
	from, lease := leasesFrom, max(leaseHorizon, h.longerLease)
	if h.answered {
		from, lease = h.clockAt, time.Duration(h.leaseUntil-h.clock)*time.Millisecond
	}
	return now.Sub(from) > time.Duration(float64(lease)/(1-maxClockSlowness))+leaseSlack
}

// usable reports whether the worker may get new work. storedRoster is the version
// of the roster that is stored.
func (h *host) usable(now time.Time, storedRoster int) bool {
	return h.listed && h.answered && h.failingSince.IsZero() && !h.unconfirmed && h.claim == nil && !h.unreadable && !h.worker.Draining && h.releaseTask == 0 && !h.resting && !h.awaitsJobs && len(h.unacked) < maxUnacked && h.rosterVersion <= storedRoster && !now.Before(h.noRoomUntil)
}

// updateWorkers applies the list of registered workers. One whose registration can't be used
// gets no starts, and is kept.
func (o *Owner) updateWorkers(list []hosts.Worker, unreadable []string) {
	now := o.Clock.Now()
	o.workersKnown = true
	present := make(map[string]bool, len(list)+len(unreadable))
	for _, id := range unreadable {
		present[id] = true
	}
	for _, h := range o.hosts {
		h.unreadable = present[h.id]
	}
	for _, w := range list {
		present[w.ID] = true
		if !o.wasRefused(&w, now) {
			o.updateWorker(w, now)
		}
	}
	for _, h := range o.hosts {
		if present[h.id] {
			continue
		}
		h.claim = nil
		if h.listed {
			h.listed = false
			o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Int("runs", len(h.runs)).Msg("worker is no longer registered")
		}
	}
}

// updateWorker adds a registered worker or updates its registration.
func (o *Owner) updateWorker(w hosts.Worker, now time.Time) {
	if o.fleetPlan.Ended[w.ID] {
		return // its registration has yet to be removed
	}
	h := o.hosts[w.ID]
	switch {
	case h == nil:
	case !h.contradicts(w):
		h.claim = nil
	case o.inRoster(h):
		o.contest(h, w, now)
		return
	default:
		h = nil
	}
	if h != nil && h.relabelled(w, now) {
		h.unreadable = true
		return
	}
	if h == nil {
		h = newHost(w)
		h.releaseTask = o.fleetPlan.Release[w.ID]
		o.inheritLateOrders(h)
		o.doubtNext(w.ID, w.StartedMs)
		o.hosts[w.ID] = h
		o.Log.Info().Str("pool", o.Pool).Str("host", w.ID).Str("address", w.Address).Int64("born", w.StartedMs).
			Int("cpu", w.Capacity.CPU).Int64("rev", w.Rev).Msg("worker registered")
	}
	if w.Draining && h.leavingSince.IsZero() {
		h.leavingSince = now
		o.Log.Info().Str("pool", o.Pool).Str("host", h.id).Dur("left", w.DrainLeft).Int("runs", len(h.runs)).Msg("worker is draining")
	}
	if !h.listed || h.worker.Draining != w.Draining {
		o.passNeeded = true
	}
	h.worker, h.listed = w, true
	if h.startedMs == 0 {
		h.startedMs = w.StartedMs
	}
}

// replaceIncarnation removes a worker that has started again under its ID. The starts that
// were answered since its last report may have been answered by the next incarnation.
func (o *Owner) replaceIncarnation(h *host, why string) {
	o.noteFenced(h.id, h.startedMs)
	for _, p := range h.runs {
		if p.lastSentAt().After(h.lastReport) {
			o.recordUnanswered(h, p)
		}
	}
	o.loseIncarnation(h, why)
}

// evictIncarnation removes a worker at whose address another one answers.
func (o *Owner) evictIncarnation(h *host) {
	o.noteFenced(h.id, h.startedMs)
	o.loseIncarnation(h, "another worker answers at the address")
}

// loseIncarnation removes a worker that has crashed, or was given up.
func (o *Owner) loseIncarnation(h *host, why string) {
	if o.mayHaveEarlierRuns(h) && !h.answered && !o.takeoverDone {
		o.missing = append(o.missing, o.rosterEntry(h, o.Clock.Now()))
	}
	if h.listed && !o.inRoster(h) {
		o.noteRefused(h, o.Clock.Now())
	}
	o.recordCrash(h, o.Clock.Now())
	o.retractUnsent(h)
	o.endIncarnation(h, why)
}

// endIncarnation removes a worker of which nothing runs any more, and lets its
// subtasks start again.
func (o *Owner) endIncarnation(h *host, why string) {
	o.logEnd(h, why)
	o.endsUnread = o.endsUnread || h.awaitsJobs || h.endsLeftOut && !o.takeoverDone
	if h.polling {
		o.recordLateOrder(h, h.polledAt, h.pollAcks)
	}
	neighbours := len(h.runs) - 1
	for _, p := range h.runs {
		o.recordLostRun(h, p, neighbours, why)
		o.freeRoom(h, p)
		o.holdBack(h, p)
		if p.task.WorkerID == h.id && p.task.Run == p.run && p.task.Phase != steps.Finished {
			p.task.Phase, p.task.WorkerID = steps.Waiting, ""
			o.voidRun(p)
		}
	}
	delete(o.hosts, h.id)
	o.electorates.changed = true
	o.countWithheld(h, -h.withheld)
	o.blockUnansweredStarts(h)
	if o.inRoster(h) {
		o.markChanged(o.roster)
	}
	o.passNeeded = true
	if h.claim != nil {
		o.updateWorker(h.claim.worker, o.Clock.Now()) // it may have runs of an earlier owner
	}
}

// voidRun records that a run doesn't count before its subtask starts again. If the
// run's end were accepted later, by this or another owner, both runs would count as
// done.
func (o *Owner) voidRun(p *placement) {
	if p.task.Step.LongRunning || p.task.Step.Speculative {
		return
	}
	p.task.HighestVoidRun = max(p.task.HighestVoidRun, p.run)
	o.markChanged(&p.job.doc)
	p.job.restartVersion = p.job.version
}

// expireLeases gives up workers that don't answer and whose leases have expired. It
// also detects the end of the takeover.
func (o *Owner) expireLeases(now time.Time) {
	for _, h := range o.hosts {
		switch {
		case h.answered && !h.listed && len(h.runs) == 0 && !h.awaitsJobs:
			if o.leaseOver(h, now) {
				o.recordLapsed(h, now)
			}
			o.endIncarnation(h, "not registered and idle")
			o.announceTokenAt(h)
		case h.answered && h.failingSince.IsZero():
		case o.leaseOver(h, now):
			if h.listed && h.answered && !h.mayHaveRestarted() && !h.leaseExpired(now.Add(-unreachableGrace), o.leasesFrom(now)) {
				o.freeLongRunning(h)
				continue
			}
			if h.listed && len(h.runs) == 0 && h.answered {
				o.electorates.changed = o.electorates.changed || !h.givenUp
				h.givenUp = true
				continue // keep polling
			}
			if h.listed && !h.answered {
				continue
			}
			o.endsUnread = o.endsUnread || !h.answered
			o.recordLapsed(h, now)
			o.loseIncarnation(h, causeLeaseOver)
			o.announceTokenAt(h)
		}
	}
	if !o.takeoverDone && o.workersKnown {
		o.takeoverDone = o.earlierRunsKnown(now)
		if o.takeoverDone {
			o.recordLosses(now)
			o.passNeeded = true
			o.logTakeover(now)
		}
	}
}

// freeLongRunning lets the long-running subtasks of a worker whose lease has
// expired start elsewhere, although the worker may answer yet: they can't have
// finished there.
func (o *Owner) freeLongRunning(h *host) {
	for _, p := range h.runs {
		if !p.task.Step.LongRunning || p.confirmedAt.IsZero() {
			continue
		}
		o.freeRoom(h, p)
		o.holdBack(h, p)
		if p.task.WorkerID == h.id && p.task.Run == p.run {
			p.task.Phase, p.task.WorkerID = steps.Waiting, ""
			o.passNeeded = true
		}
		o.logBelief(o.Log.Warn(), h, o.Clock.Now()).Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).
			Msg("lease of a long-running run expired; it may start elsewhere")
	}
	o.blockUnansweredStarts(h)
}

// earlierRunsKnown reports whether every worker has answered this owner, and has listed all ends, or can
// have no active run of an earlier owner. A worker that has not answered may have ends
// of such runs.
func (o *Owner) earlierRunsKnown(now time.Time) bool {
	for _, h := range o.hosts {
		if o.awaitedAtTakeover(h, now) || h.awaitsJobs || h.endsLeftOut {
			return false
		}
		o.endsUnread = o.endsUnread || !h.answered
	}
	return true
}

// unreadWorkers returns the number of workers that have not answered this owner, on which
// runs of an earlier one may be at work.
func (o *Owner) unreadWorkers() int {
	if o.takeoverDone {
		return 0
	}
	return o.unansweredHosts()
}

func (o *Owner) unansweredHosts() int {
	n := 0
	for _, h := range o.hosts {
		if !h.answered {
			n++
		}
	}
	return n
}

// voidEarlierRuns voids the runs that earlier owners may have started of a subtask, if
// their ends may be unread on a worker that has not answered: the next owner may read
// them there, after the subtask has started again. It reports whether the subtask may
// start now: the record has to be stored before.
func (o *Owner) voidEarlierRuns(j *job, t *steps.Task) bool {
	last := (o.Term - 1) * runsPerTerm
	if o.endsUnread && !j.acceptedInTerm && !t.Step.LongRunning && !t.Step.Speculative && t.Run <= last && t.HighestVoidRun < last {
		t.Void(last)
		o.markChanged(&j.doc)
		j.restartVersion = j.version
	}
	return t.HighestVoidRun == 0 && len(t.Crashes) == 0 || j.stored >= j.restartVersion
}

// leaveMargin is how long before a draining worker's end its runs are stopped, so
// that they start again elsewhere from their checkpoints.
const leaveMargin = 500 * time.Millisecond

// stopLeaving stops the runs on draining workers: long-running ones at once, others
// shortly before the worker ends.
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
