package owner

import (
	"time"

	"shallotpaddle/steps"
)

// placement is one run of a subtask on one worker.
type placement struct {
	task *steps.Task
	job  *job
	run  int
	// confirmedAt is when the worker confirmed the start, or a stop before it; zero
	// until then.
	confirmedAt time.Time
	// startClock is the worker's clock, in milliseconds, when the worker was first known
	// to have the run; 0 until then. ranFor is how long it has been known to run, by the
	// same clock.
	startClock int64
	ranFor     time.Duration
	// leaseUntil is the end of the lease that the start gave, in milliseconds of the
	// worker's clock.
	leaseUntil int64
	// origin is the incarnation that has carried out a start; zero until one was answered or the
	// run was reported.
	origin      origin
	tries       int // to start the run
	stopTries   int
	startSentAt time.Time // when the last try was sent
	// sentBy is until when the last try or a copy of it may be sent: a call may wait for CPU or a
	// connection.
	sentBy   time.Time
	copied   bool // a start was sent in several copies
	inFlight bool // a start or stop is under way
	// brokeOff tells that the connection to the worker broke over a start.
	brokeOff  bool
	announced bool // see steps.Task.Announce
	// checkpoint is the one that each try to start the run carries.
	checkpoint string
	// share is the share, in percent, at which a filling run works, or shareUnknown.
	share int
	// withheld is the part of the full share, in percent, that a filling run doesn't get since
	// its start, as it is known to disturb.
	withheld     int
	paceInFlight bool      // a call to change share is under way
	retryAt      time.Time // of a start or stop without an answer; zero for none
	stopping     bool
	stoppedAt    time.Time // when the stop was confirmed
	// stray tells that the run was not the current one of its subtask when a worker listed it.
	stray bool
}

// lastSentAt returns when the last start was sent, at the latest.
func (p *placement) lastSentAt() time.Time { return later(p.startSentAt, p.sentBy) }

// startInFlight reports whether a start is under way.
func (p *placement) startInFlight() bool { return p.inFlight && p.stopTries == 0 }

// mayHaveStarted reports whether another start than the one that was answered last may have
// been carried out.
func (p *placement) mayHaveStarted() bool { return p.tries > 1 || p.copied }

// freeRoom removes a run from a worker and frees its resources.
func (o *Owner) freeRoom(h *host, p *placement) {
	if h.runs[p.task.ID] != p {
		return
	}
	delete(h.runs, p.task.ID)
	h.noteMix(p, o.Clock.Now())
	o.settleDoubt(p.task, h.id, p.run)
	o.forgetStray(p)
	s := p.task.Step
	if !s.Fills {
		h.used.CPU -= s.CPU
	}
	h.used.Mem -= s.Mem
	h.used.GPU -= s.GPU
	if p.job.activeTasks--; p.job.activeTasks == 0 && !p.job.endedAt.IsZero() {
		o.release(p.job)
	}
}

// forgetStray lets the subtask of a run that was not current start again, once the run has
// ended.
func (o *Owner) forgetStray(p *placement) {
	if !p.stray {
		return
	}
	if o.strays[p.task]--; o.strays[p.task] == 0 {
		delete(o.strays, p.task)
	}
	o.passNeeded = true
}

// reserveRoom adds a run to a worker and reserves its resources.
func (o *Owner) reserveRoom(h *host, p *placement) {
	h.runs[p.task.ID] = p
	s := p.task.Step
	if !s.Fills {
		h.used.CPU += s.CPU
	}
	h.used.Mem += s.Mem
	h.used.GPU += s.GPU
	p.job.activeTasks++
}

// runsOfStep returns how many runs of the same step and occurrence as t a worker
// has.
func (h *host) runsOfStep(t *steps.Task) int {
	n := 0
	for id := range h.runs {
		if id.Job == t.ID.Job && id.Occur == t.ID.Occur && id.Step == t.ID.Step {
			n++
		}
	}
	return n
}
