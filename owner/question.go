package owner

import (
	"context"
	"time"

	"shallotpaddle/advice"
	"shallotpaddle/pack"
	"shallotpaddle/steps"
)

// maxWorkersAsked is the largest number of workers in one question: each delays
// the answer, and the users' objective allows for 30.
const maxWorkersAsked = 30

// question is a question to the advisor.
type question struct {
	job       *job
	task      *steps.Task // one of the step
	workers   []string
	startedMs []int64 // of the workers
	urgency   advice.Urgency
	// late tells that no ticket can be proved to be valid when it arrives.
	late   bool
	sent   time.Time
	waited time.Duration // for the pool's turn
	cancel context.CancelFunc
}

// needed reports whether a subtask still waits for the answer.
func (q *question) needed() bool {
	if q.job.progress.Outcome != steps.Open {
		return false
	}
	waits := q.task.FreshSiblings() > 0
	q.task.EachSibling(func(t *steps.Task) { waits = waits || t.Phase == steps.Waiting })
	return waits
}

// nextQuestion returns the question to ask first, or nil: one about a step that could start, if
// there is one, in the order of the jobs.
func (o *Owner) nextQuestion(list []*job, cands []pack.Worker, candHosts []*host, now time.Time) *question {
	var ready *question
	var early []*steps.Task
	for _, j := range list {
		if j.progress.Job.Advisor == nil || now.Before(o.queueAdviceOf(j).retryAt) {
			continue
		}
		j.progress.EachUpcoming(now, func(t *steps.Task, reached bool) {
			switch {
			case ready != nil || !o.wantsAdvice(j, t, now) || o.mayStart(t, cands, candHosts, now):
			case !reached && !o.mayAskEarly(j, t):
			case !reached || maxQuestion(j) == 0 || !o.roomWithoutTicket(j, t, cands, candHosts, now):
				early = append(early, t)
			default:
				ready = o.questionAbout(t, advice.Ready, cands, candHosts, now)
			}
		})
		if ready != nil {
			return ready
		}
	}
	for _, t := range early {
		if q := o.questionAbout(t, advice.Early, cands, candHosts, now); q != nil {
			return q
		}
	}
	return nil
}

// wantsAdvice reports whether the advisor may be asked about a step now, given one of its
// waiting subtasks.
func (o *Owner) wantsAdvice(j *job, t *steps.Task, now time.Time) bool {
	return !now.Before(j.adviceOn(t.ID.ParentStep()).retryAt) && o.startable(t, now) > 0
}

// startable returns how many subtasks of a step wait and are not held back.
func (o *Owner) startable(t *steps.Task, now time.Time) int {
	n := t.FreshSiblings()
	t.EachSibling(func(s *steps.Task) {
		if s.Phase == steps.Waiting && !s.Held(now) && o.strays[s] == 0 {
			n++
		}
	})
	return n
}

// mayStart reports whether a worker with a ticket has room for a subtask, which then waits for
// something else.
func (o *Owner) mayStart(t *steps.Task, cands []pack.Worker, candHosts []*host, now time.Time) bool {
	return !t.Step.Gang && !t.Suspect() && o.chooseHost(t, o.advisedDemandOf(t, now), cands, candHosts) >= 0
}

// roomWithoutTicket reports whether a worker that needs a ticket has room for a subtask.
func (o *Owner) roomWithoutTicket(j *job, t *steps.Task, cands []pack.Worker, candHosts []*host, now time.Time) bool {
	return len(pack.WorkersToAsk(demandOf(t), cands, o.ticketOdds(j, t, candHosts, 1, now), false, 1)) > 0
}

// ticketOdds returns a function that returns the probability that a question about a worker
// brings a ticket for a subtask, given the share of workers that are allowed. It is 0 where no
// ticket is needed at a given time.
func (o *Owner) ticketOdds(j *job, t *steps.Task, candHosts []*host, share float64, at time.Time) func(i int) float64 {
	a := j.adviceOn(t.ID.ParentStep())
	return func(i int) float64 {
		h := candHosts[i]
		if most := t.Step.MaxPerWorker; most > 0 && h.runsOfStep(t) >= most {
			return 0
		}
		return a.odds(h, share, at)
	}
}

// mayAskEarly reports whether tickets for a step are valid for long enough to be requested before
// the steps that it depends on have ended. They are requested once.
func (o *Owner) mayAskEarly(j *job, t *steps.Task) bool {
	if len(j.adviceOn(t.ID.ParentStep()).verdicts) > 0 {
		return false
	}
	for _, a := range t.Step.After {
		if 2*o.expectedRunTime(j, &j.progress.Job.Steps[a]) > ticketUse(j, maxWorkersAsked) {
			return false
		}
	}
	return true
}

// questionAbout returns a question about the workers on which the waiting subtasks of a step
// would fit, or nil if there is none that is worth asking. It wants as few workers as have the
// room, or one for each subtask that lasts, as these are spread.
func (o *Owner) questionAbout(t *steps.Task, u advice.Urgency, cands []pack.Worker, candHosts []*host, now time.Time) *question {
	j, d := o.jobs[t.ID.Job], demandOf(t)
	a, waiting, validAt := j.adviceOn(t.ID.ParentStep()), o.startable(t, now), now
	if t.Step.OneRack && d.DataRack == "" {
		d.DataRack = pack.FreestRack(cands)
	}
	if t.Step.Gang { // its members need their tickets together
		validAt = now.Add(answerTime(j, min(waiting, maxWorkersAsked)))
		waiting -= o.roomWithTickets(a, t, d, cands, candHosts, validAt)
	}
	if waiting <= 0 {
		return nil
	}
	limit := maxQuestion(j)
	odds := o.ticketOdds(j, t, candHosts, a.share(o.queueAdviceOf(j).share()), validAt)
	list := pack.WorkersToAsk(d, cands, odds, len(a.verdicts) == 0, max(limit, 1))
	chances := make([]float64, len(list))
	packed, room := 0, 0 // workers that have the room for all that wait, and their room
	for k, i := range list {
		chances[k] = odds(i)
		if room < waiting {
			packed++
			room += max(cands[i].RoomFor(d, candHosts[i].runsOfStep(t)), 1)
		}
	}
	if t.Step.Gang && room < waiting && len(list) < limit {
		return nil
	}
	wanted := packed
	if t.Step.LongRunning {
		wanted = min(waiting, len(list))
	}
	n := pack.QuestionSize(chances, wanted, t.Step.Gang, answerTime(j, 0), answerTime(j, 1)-answerTime(j, 0))
	if n == 0 {
		return nil
	}
	q := &question{job: j, task: t, urgency: u, late: limit == 0}
	for _, i := range list[:n] {
		q.workers = append(q.workers, candHosts[i].id)
		q.startedMs = append(q.startedMs, candHosts[i].startedMs)
	}
	return q
}

// roomWithTickets returns the number of a step's subtasks for which there is room on workers
// whose tickets are valid at a given time.
func (o *Owner) roomWithTickets(a *stepAdvice, t *steps.Task, d *pack.Demand, cands []pack.Worker, candHosts []*host, at time.Time) int {
	room := 0
	for i, h := range candHosts {
		if a.ticket(h, at) != "" {
			room = min(room+cands[i].RoomFor(d, h.runsOfStep(t)), steps.MaxCount)
		}
	}
	return room
}
