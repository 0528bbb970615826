package owner

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"shallotpaddle/pack"
	"shallotpaddle/plat"
	"shallotpaddle/steps"
)

// observe records that the worker had the run when its clock read clockMs.
func (p *placement) observe(clockMs int64) {
	if clockMs == 0 {
		return // the answer had no clock
	}
	if p.startClock == 0 {
		p.startClock = clockMs
	}
	p.ranFor = max(p.ranFor, time.Duration(clockMs-p.startClock)*time.Millisecond)
}

// proven reports whether the run has worked for long enough that its subtask can't
// have been about to crash the worker.
func (p *placement) proven() bool { return p.ranFor >= p.task.ProofTime() }

// onTrial reports whether the run's subtask may have crashed a worker before.
func (p *placement) onTrial() bool { return p.task.Suspect() && !p.proven() }

// ageAt returns how long ago the run was started, at most.
func (p *placement) ageAt(at time.Time) time.Duration {
	return max(at.Sub(p.startSentAt), p.ranFor)
}

// crashedAt returns when the worker was first found not to answer, or now.
func (h *host) crashedAt(now time.Time) time.Time {
	if h.failingSince.IsZero() {
		return now
	}
	return h.failingSince
}

// connectionBroken reports whether a call failed because the worker's process is gone,
// and not by its silence.
func connectionBroken(err error) bool { return !errors.Is(err, context.DeadlineExceeded) }

// recordBreak records that a poll failed as the worker crashed. If the poll had reached it, or it had
// answered another just before a start, it has crashed over the starts that it had no time to
// answer. Those that were tried again had found it silent before.
func (o *Owner) recordBreak(h *host, err error, now time.Time) {
	for _, p := range h.runs {
		wasUp := errors.Is(err, plat.ErrUnknown) || p.startSentAt.Sub(h.clockAt) < steps.MinProof
		p.brokeOff = p.brokeOff || p.tries == 1 && wasUp
	}
	o.recordCrash(h, now)
}

// noteBreak notes that the connection of a start broke after the start was sent.
func (p *placement) noteBreak(err error) {
	p.brokeOff = p.brokeOff || errors.Is(err, plat.ErrUnknown) && connectionBroken(err)
}

// mayHaveCrashed reports whether the run may be the cause that its worker crashed: the worker is
// known to have had it, or the connection to the worker broke over its start.
func (p *placement) mayHaveCrashed() bool { return p.startClock != 0 || p.brokeOff }

// recordCrash records the crash of a worker, or of one that was given up, with each
// subtask that ran there. It is stored before anything else and before the subtask starts
// again: the next owner can't learn what ran on a worker that is gone.
func (o *Owner) recordCrash(h *host, now time.Time) {
	if h.worker.Draining {
		return
	}
	l := o.noteLoss(h, now)
	for _, p := range h.runs {
		t, age := p.task, p.ageAt(h.crashedAt(now))
		if t.Run != p.run || t.WorkerID != h.id {
			continue
		}
		rest := t.RestOn(h.hostName())
		news := p.mayHaveCrashed() && t.RecordCrash(p.run, h.hostName(), p.ranFor, age)
		l.suspect(p)
		if !news {
			continue
		}
		if h.restedBefore(p, rest) {
			t.RecordRest(p.run)
		}
		t.AvoidWorker, t.RestartAt = h.id, now.Add(t.RestartDelay())
		o.markChanged(&p.job.doc)
		o.writeFirst(&p.job.doc)
		p.job.restartVersion = p.job.version
		o.Log.Info().Str("task", t.ID.String()).Int("run", p.run).Str("host", h.id).Int("crashes", len(t.Crashes)).
			Str("hostName", h.hostName()).Dur("age", age).Bool("suspect", t.Suspect()).Dur("delay", t.RestartDelay()).Dur("rest", rest).Msg("worker may have crashed under the run")
	}
}

// retractUnsent records that the runs of a worker that is gone, and which it is not known to have
// had, were not lost with it.
func (o *Owner) retractUnsent(h *host) {
	for _, p := range h.runs {
		if !p.mayHaveCrashed() {
			o.retractCrash(p.job, p.task, p.run)
		}
	}
}

// hostName returns the name of the host, or that of the worker if it names none.
func (h *host) hostName() string {
	if h.worker.Host == "" {
		return h.id
	}
	return h.worker.Host
}

// restrictedOnTrial reports whether a subtask that is Restricted runs on trial, or has a worker
// that is kept for it.
func (o *Owner) restrictedOnTrial(but *steps.Task) bool {
	for t := range o.trialHosts {
		if t != but && t.Restricted() {
			return true
		}
	}
	for _, h := range o.hosts {
		for _, p := range h.runs {
			if p.task != but && !p.proven() && p.task.Restricted() {
				return true
			}
		}
	}
	return false
}

// delayRestarts delays the restarts of a job's subtasks under which workers crashed before this
// owner was elected: when is not recorded.
func (o *Owner) delayRestarts(j *job) {
	now := o.Clock.Now()
	j.progress.Each(func(t *steps.Task) {
		if d := t.RestartDelay(); d > 0 {
			t.RestartAt = now.Add(d)
		}
	})
}

// recordLosses records, at the end of the takeover, that workers of an earlier owner are
// missing: it may have started what waits now on one of them, and been lost before it
// stored the crash. This is stored before the roster is without the workers.
func (o *Owner) recordLosses(now time.Time) {
	if len(o.missing) == 0 && o.lostHosts() == 0 {
		return
	}
	o.lossesRecorded = true
	changed := 0
	for _, j := range o.openJobs {
		if !j.acceptedInTerm {
			changed += o.recordLossesOf(j, now)
		}
	}
	o.Log.Info().Str("pool", o.Pool).Int("removed", len(o.missing)).Int("tasks", changed).
		Msg("workers are missing at the takeover; subtasks that may have started there are announced")
	o.missing = nil
	o.markChanged(o.roster)
}

// recordLossesOf returns the number of a job's subtasks that may have been lost.
func (o *Owner) recordLossesOf(j *job, now time.Time) int {
	changed := j.progress.RecordLosses(now)
	if changed > 0 {
		o.markChanged(&j.doc)
		o.writeFirst(&j.doc)
	}
	return changed
}

// retractCrash records that a worker has not crashed under a run.
func (o *Owner) retractCrash(j *job, t *steps.Task, run int) {
	if t.RetractCrash(run) {
		o.markChanged(&j.doc)
	}
}

// recordWork handles the report that a run is at work. The worker has not crashed, even if
// it did not answer for a while. If the run has worked for longer than those that were
// lost, that clears its subtask.
func (o *Owner) recordWork(h *host, p *placement) {
	if p.task.Run != p.run {
		return
	}
	if !p.announced {
		o.retractCrash(p.job, p.task, p.run)
	}
	if !p.task.RecordWork(p.ranFor) {
		return
	}
	o.markChanged(&p.job.doc)
	o.passNeeded = true
	o.Log.Info().Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Dur("ranFor", p.ranFor).
		Msg("run has outlasted the crashes; its subtask did not cause them")
}

// recordLostRun logs and counts a run whose worker has ended or was given up.
// The run may be at work yet if the worker was given up.
func (o *Owner) recordLostRun(h *host, p *placement, neighbours int, why string) {
	o.Stats.RunsLost.Inc(1)
	line := o.Log.Info()
	if why == causeLeaseOver {
		line = o.Log.Warn()
	}
	o.logBelief(line, h, o.Clock.Now()).Str("cause", why).Str("task", p.task.ID.String()).Int("run", p.run).Str("host", h.id).Bool("confirmed", !p.confirmedAt.IsZero()).Str("origin", string(cmp.Or(p.origin, originUnknown))).
		Dur("ranFor", p.ranFor).Dur("age", p.ageAt(h.crashedAt(o.Clock.Now()))).Int("neighbours", neighbours).Msg("run lost with its worker")
}

// trialWait returns how long a poll may wait, at most, for a run that is on trial, or for
// which a trial waits, to be proven; 0 if there is none.
func (o *Owner) trialWait(h *host) time.Duration {
	wait := time.Duration(0)
	for _, p := range h.runs {
		left := p.task.ProofTime() - p.ranFor
		if left > 0 && (p.onTrial() || o.trialsWait && p.ranFor < steps.MinProof) && (wait == 0 || left < wait) {
			wait = left
		}
	}
	return min(wait, pollWait)
}

// startOnTrial starts a subtask that may have crashed a worker on one that gets no
// other subtask meanwhile. The run is announced first, and starts when that is stored.
func (o *Owner) startOnTrial(j *job, t *steps.Task, demand *pack.Demand, trials *pack.Trials, cands []pack.Worker, candHosts []*host, now time.Time) {
	if o.awaitsCalm(t, now) {
		delete(o.trialHosts, t)
		return
	}
	run := o.nextRun(j, t)
	if i := slices.Index(candHosts, o.trialHosts[t]); i >= 0 && cands[i].HasRoomFor(demand) {
		if !o.mayOrder(candHosts[i], now) {
			return
		}
		delete(o.trialHosts, t)
		if !o.takeQuota(j, t, now, demand) {
			return
		}
		o.startRun(candHosts[i], j, t, run, now)
		cands[i].Reserve(demand)
		return
	}
	delete(o.trialHosts, t)
	demand.CrashedOn = map[string]bool{}
	for _, h := range candHosts {
		if t.CrashedOn(h.hostName()) {
			demand.CrashedOn[h.id] = true
		}
	}
	i, mayStart := trials.Choose(demand, cands, func(i int) int { return candHosts[i].runsOfStep(t) })
	if !mayStart {
		o.trialsWait = true
		return
	}
	if !o.takeQuota(j, t, now, demand) {
		return
	}
	o.trialHosts[t] = candHosts[i]
	o.announce(j, t, run, true)
}

// announce records a run of a subtask that may have crashed a worker, and reports whether
// it has to wait until that is stored.
func (o *Owner) announce(j *job, t *steps.Task, run int, trial bool) bool {
	if !t.Announce(run, trial) {
		return false
	}
	o.markChanged(&j.doc)
	j.restartVersion = j.version
	o.passNeeded = true
	return true
}

// hostsKeptForTrials returns the workers that are kept for subtasks whose trial is
// announced.
func (o *Owner) hostsKeptForTrials() map[*host]bool {
	kept := make(map[*host]bool, len(o.trialHosts))
	for t, h := range o.trialHosts {
		if t.Phase != steps.Waiting || t.Progress.Outcome != steps.Open {
			delete(o.trialHosts, t)
			continue
		}
		kept[h] = true
	}
	return kept
}

// giveUp ends a job of which a subtask crashes each worker that starts it, unless the workers turn
// out to have crashed by themselves.
func (o *Owner) giveUp(j *job, t *steps.Task) {
	now := o.Clock.Now()
	if o.judgedLater(t, now) || o.excuse(j, t) {
		return
	}
	o.Stats.CrashesGivenUp.Inc(1)
	o.Log.Warn().Str("job", j.id()).Str("task", t.ID.String()).Int("crashes", len(t.Crashes)).
		Msg("giving up the job: its subtask crashes each worker that starts it")
	j.progress.Fail()
	o.logJobEnd(j)
	o.finishJob(j)
}
