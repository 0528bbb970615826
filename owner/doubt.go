package owner

import (
	"slices"
	"time"

	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// storeDoubts stores, for a later owner, the starts at a worker that nobody has heard of since and
// that may still be carried out, or have been by a later incarnation.
func (o *Owner) storeDoubts(h *host) {
	for _, p := range h.runs {
		if p.origin == originMeant && !p.startInFlight() {
			continue
		}
		u := unansweredStart{task: p.task, run: p.run, sent: p.lastSentAt(), to: h.target(), leaseUntil: o.nextLeaseUntil(h, p), born: h.startedMs}
		o.storeDoubt(p.task, &u)
	}
	for _, u := range o.unanswered[h.id] {
		o.storeDoubt(u.task, u)
	}
}

// storeStart has a start stored with its job, as one in doubt, by a write that is sent beside it: an
// owner that is lost before the answer leaves nothing else that tells of it.
func (o *Owner) storeStart(h *host, p *placement) {
	o.storeDoubt(p.task, &unansweredStart{task: p.task, run: p.run, sent: p.lastSentAt(), to: h.target(), born: h.startedMs})
}

// doubtUntil returns until when a successor is to hold a subtask back: the start may be carried out late
// by an incarnation that neither owners nor the store hear of, which takes its longest lease then. A
// long-running subtask, which may not be away for as long, waits for that lease only if such an
// incarnation is known.
func (o *Owner) doubtUntil(u *unansweredStart) time.Time {
	if u.task.Step.LongRunning {
		return u.mayRunUntil()
	}
	return later(u.mayRunUntil(), u.mayArriveUntil().Add(o.longestLease()))
}

func (o *Owner) storeDoubt(t *steps.Task, u *unansweredStart) {
	j, now := o.jobs[t.ID.Job], o.Clock.Now()
	if j == nil || j.progress.Outcome != steps.Open || t.Phase == steps.Finished || !u.mayRunUntil().After(now) {
		return
	}
	left, comes := o.doubtUntil(u).Sub(now), u.mayArriveUntil().Sub(now)
	if t.AddDoubt(steps.Doubt{
		Run: u.run, Worker: u.to.ID, Address: u.to.Address, Born: u.born, LeftMs: left.Milliseconds(), ComesMs: max(comes.Milliseconds(), 0),
	}) {
		o.markChanged(&j.doc)
		o.writeFirst(&j.doc)
	}
}

// doubtNext holds subtasks back for longer as another incarnation of their worker is registered, which
// may carry their starts out late and take its longest lease. As soon as it answers, it is made
// to refuse them.
func (o *Owner) doubtNext(worker string, born int64) {
	now := o.Clock.Now()
	for _, u := range o.unanswered[worker] {
		if u.blocked || born == 0 || u.born == born || !u.mayRunUntil().After(now) {
			continue
		}
		u.leaseUntil = later(u.leaseUntil, u.mayArriveUntil().Add(o.longestLease()))
		if u.task.HeldUntil.After(now) {
			u.task.HeldUntil = later(u.task.HeldUntil, u.leaseUntil)
			o.storeDoubt(u.task, u)
		}
	}
}

// dropDoubt takes a run of which nothing is in doubt any more out of its job's record.
func (o *Owner) dropDoubt(t *steps.Task, worker string, run int) {
	if j := o.jobs[t.ID.Job]; t.DropDoubt(worker, run) && j != nil && j.progress.Outcome == steps.Open {
		o.writeLater(&j.doc)
	}
}

// restoreDoubts holds the subtasks of a job back for which an earlier owner has stored doubts. Its
// clock is not known, so that the time left counts from now on.
func (o *Owner) restoreDoubts(j *job) {
	now, longest := o.Clock.Now(), maxOrderDelay+o.longestLease()
	after := func(ms int64) time.Time { return now.Add(min(time.Duration(ms)*time.Millisecond, longest)) }
	j.progress.Each(func(t *steps.Task) {
		for _, d := range t.Doubts {
			until, comes := after(d.LeftMs), after(d.ComesMs)
			t.HeldUntil = later(t.HeldUntil, until)
			if slices.ContainsFunc(o.unanswered[d.Worker], func(u *unansweredStart) bool { return u.task.ID == t.ID && u.run == d.Run }) {
				continue
			}
			o.unanswered[d.Worker] = append(o.unanswered[d.Worker], &unansweredStart{
				task: t, run: d.Run, sent: comes.Add(-maxOrderDelay), to: runs.Target{ID: d.Worker, Address: d.Address}, leaseUntil: until, born: d.Born,
			})
			o.identify(o.Log.Info()).Str("task", t.ID.String()).Int("run", d.Run).Str("host", d.Worker).Dur("left", until.Sub(now)).
				Msg("subtask held back: an earlier owner's start may be at work or be carried out")
		}
	})
}

// doubtStep is by how much the time left of a stored doubt falls behind before it is stored again:
// a later owner counts it from its own begin.
const doubtStep = 500 * time.Millisecond

// refreshDoubts has the doubts stored again whose time left has become shorter.
func (o *Owner) refreshDoubts(now time.Time) {
	for _, list := range o.unanswered {
		for _, u := range list {
			if j := o.jobs[u.task.ID.Job]; j != nil && u.task.ShortenDoubt(u.to.ID, u.run, o.doubtUntil(u).Sub(now), doubtStep) {
				o.markChanged(&j.doc)
			}
		}
	}
}
