package owner

import (
	"slices"
	"time"

	"shallotpaddle/steps"
)

const (
	// lossMemory is how long the loss of a worker is remembered: it may show that its host
	// crashes by itself.
	lossMemory = time.Minute
	// ownCause is how long before or after a crash one of the same host may have had the same cause.
	ownCause = 15 * time.Second
	// commonCause is how long before or after a crash the loss of another host may have had the
	// same cause: silence is noticed that much later.
	commonCause = 2 * time.Second
	// sameMoment replaces commonCause for a crash right after a start, which is less likely to be
	// chance: only what has struck several hosts at once is another cause then.
	sameMoment = 50 * time.Millisecond
	// manyAtOnce is the number of hosts lost within atOnce that are more than their subtasks would
	// crash.
	manyAtOnce = 3
	atOnce     = 100 * time.Millisecond
	// judgeDelay is how long after a crash its subtask is given up at the earliest. What else was
	// lost then has started again by that time, and shows whether it was the cause.
	judgeDelay = 5 * time.Second
	// maxDoubt is the number of crashes from which on a subtask is given up although all of them
	// came while hosts crashed by themselves: users allow five starts.
	maxDoubt = 5
	// calmTime is how long no other host must have been lost before the trial of a subtask of
	// which there is doubt, and maxCalmWait how long that trial waits for it at most.
	calmTime    = 3 * time.Second
	maxCalmWait = 30 * time.Second
)

// loss is an incarnation of a worker that has crashed or was given up.
type loss struct {
	worker, host string
	startedMs    int64
	at           time.Time
	// expected tells that the worker was being emptied, to go.
	expected bool
	suspects map[*steps.Task]suspect
}

// suspect is a run that may be the cause of a loss.
type suspect struct {
	run int
	age time.Duration
	// listed tells that the subtask lists the crash. Otherwise the start was not answered.
	listed bool
}

// forgetLosses drops the losses that can't show anything any more.
func (o *Owner) forgetLosses(now time.Time) {
	o.losses = slices.DeleteFunc(o.losses, func(l *loss) bool { return now.Sub(l.at) > lossMemory })
}

// noteLoss returns the record of a worker's loss. That of one which has never answered is not kept:
// a registration may outlast its worker.
func (o *Owner) noteLoss(h *host, now time.Time) *loss {
	noted := &loss{
		worker: h.id, host: h.hostName(), startedMs: h.startedMs, at: h.crashedAt(now), expected: h.releaseTask != 0, suspects: map[*steps.Task]suspect{},
	}
	if !h.answered {
		return noted
	}
	i := slices.IndexFunc(o.losses, func(l *loss) bool { return l.of(h) })
	switch {
	case i < 0:
		o.losses = append(o.losses, noted)
	case o.losses[i].at.Equal(noted.at):
		return o.losses[i]
	default:
		o.losses[i] = noted // it was up after all
	}
	return noted
}

// of reports whether the loss is that of an incarnation.
func (l *loss) of(h *host) bool { return l.worker == h.id && l.startedMs == h.startedMs }

// suspect adds a run that may be the cause.
func (l *loss) suspect(p *placement) {
	listed := p.task.MayHaveCrashed(p.run)
	if listed || !p.mayHaveCrashed() {
		l.suspects[p.task] = suspect{p.run, p.ageAt(l.at), listed}
	}
}

// cleared reports whether a run of the subtask has shown since that it is not the cause.
func (s suspect) cleared(t *steps.Task) bool {
	switch {
	case t.Phase == steps.Finished:
		return true
	case s.listed:
		return !t.MayHaveCrashed(s.run)
	default:
		return t.Phase == steps.Running && t.Run > s.run
	}
}

// wasLost reports whether a worker was lost without being told to go, and has not turned out to be
// up.
func (o *Owner) wasLost(l *loss) bool {
	h := o.hosts[l.worker]
	return !l.expected && (h == nil || !l.of(h) || !h.failingSince.IsZero())
}

// unexplained reports whether a host crashed by itself: all that may have been the cause has
// worked elsewhere since.
func (o *Owner) unexplained(l *loss) bool {
	if !o.wasLost(l) {
		return false
	}
	for t, s := range l.suspects {
		if !s.cleared(t) {
			return false
		}
	}
	return true
}

// judgedLater reports whether it is too early to tell whether a subtask has caused its last crash.
func (o *Owner) judgedLater(t *steps.Task, now time.Time) bool {
	return slices.ContainsFunc(o.losses, func(l *loss) bool { return l.suspects[t].listed && now.Sub(l.at) < judgeDelay })
}

// excuse records which crashes prove nothing of a subtask, as hosts crashed by themselves. It
// reports whether the subtask is not given up then.
func (o *Owner) excuse(j *job, t *steps.Task) bool {
	excused, known, doubtful := 0, 0, 0
	for _, l := range o.losses {
		s := l.suspects[t]
		if !s.listed || !t.MayHaveCrashed(s.run) {
			continue
		}
		known++
		if o.hasOtherCause(l, s.age) && t.Excuse(s.run) {
			excused++
		}
		if o.inDoubtOver(l) {
			doubtful++
		}
	}
	seen, most := t.CrashesSeen(), maxDoubt
	if known < seen && slices.ContainsFunc(o.losses, o.unexplained) {
		// Nobody knows what else was lost with the crashes that an earlier owner has seen, nor
		// whether it saw all of them. Hosts that crash by themselves may have done so then.
		doubtful, most = doubtful+seen-known, maxDoubt-1
	}
	if t.GivenUp() && doubtful == seen && seen < most && t.ExcuseLast() {
		excused++
	}
	if excused == 0 {
		return false
	}
	o.markChanged(&j.doc)
	o.Log.Info().Str("task", t.ID.String()).Int("crashes", len(t.Crashes)).Int("excused", excused).Int("known", known).Int("doubtful", doubtful).
		Bool("givenUp", t.GivenUp()).Msg("hosts crash by themselves; these crashes prove nothing of the subtask")
	return !t.GivenUp()
}

// hasOtherCause reports whether a loss may have had a cause that was none of its runs, of which
// one had the given age.
func (o *Owner) hasOtherCause(l *loss, age time.Duration) bool {
	return slices.ContainsFunc(o.losses, func(other *loss) bool {
		apart := other.at.Sub(l.at).Abs()
		near := apart <= sameMoment
		if age >= steps.MinProof {
			near = apart <= commonCause || apart <= ownCause && other.host == l.host
		}
		return other != l && near && o.unexplained(other)
	})
}

// inDoubtOver reports whether a loss may have had a cause that was none of its runs, however young:
// a host crashed by itself at about that time, or several hosts were lost at once.
func (o *Owner) inDoubtOver(l *loss) bool {
	lost := 0
	for _, other := range o.losses {
		if o.wasLost(other) && other.at.Sub(l.at).Abs() <= atOnce {
			lost++
		}
	}
	return lost >= manyAtOnce || o.hasOtherCause(l, steps.MinProof)
}

// awaitsCalm reports whether a trial waits as hosts crash that the subtask has not run on: what
// it would show is in doubt.
func (o *Owner) awaitsCalm(t *steps.Task, now time.Time) bool {
	if t.Step.LongRunning || t.RestartDelay() == 0 || now.Sub(t.RestartAt) > maxCalmWait {
		return false
	}
	return slices.ContainsFunc(o.losses, func(l *loss) bool {
		return o.wasLost(l) && !l.suspects[t].listed && now.Sub(l.at) < calmTime
	})
}

// restedWorkers limits a subtask to workers on hosts that have not crashed under it, or have been
// up for long enough since.
func (o *Owner) restedWorkers(t *steps.Task, allowed func(worker string) bool, now time.Time) func(worker string) bool {
	if t.Step.LongRunning || len(t.Crashes) == 0 {
		return allowed
	}
	return func(worker string) bool {
		h := o.hosts[worker]
		return (allowed == nil || allowed(worker)) && (h == nil || h.rested(t.RestOn(h.hostName()), now))
	}
}

// rested reports whether the worker has been up for a time since it was first asked for.
func (h *host) rested(rest time.Duration, now time.Time) bool {
	if rest == 0 {
		return true
	}
	if h.restSince.IsZero() {
		h.restSince = now
	}
	return now.Sub(h.restSince) >= rest
}

// restedBefore reports whether the worker had rested before it was told to start a run.
func (h *host) restedBefore(p *placement, rest time.Duration) bool {
	return rest > 0 && !h.restSince.IsZero() && p.startSentAt.Sub(h.restSince) >= rest
}
