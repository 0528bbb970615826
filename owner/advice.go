package owner

import (
	"time"

	"shallotpaddle/pack"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

const (
	// maxWorkersAsked is the most workers that one question names: each makes the answer
	// later, and the users' objective allows for an answer on 30.
	maxWorkersAsked = 30
	// maxQuestionsInFlight is the number of questions under way: the advisor answers those of
	// one entry in turn.
	maxQuestionsInFlight = 2
	// answerTimeoutFactor is the multiple of its own time that an answer may take: the
	// owners on one entry wait for each other there.
	answerTimeoutFactor = 4
	// ticketMargin is the time before its end in which a ticket is not used: a start
	// may be under way for that long.
	ticketMargin = 200 * time.Millisecond
	// unlimitedValidity stands for the time of a ticket for which the queue names none.
	unlimitedValidity = 24 * time.Hour
)

// advice is what the advisor has said of workers for one step.
type advice struct {
	inFlight bool
	retryAt  time.Time          // no question before
	verdicts map[string]verdict // by worker
}

// verdict is the advisor's word on one worker, which holds for the worker's life.
type verdict struct {
	startedMs int64
	ticket    string // empty if the worker may not run the step
	until     time.Time
}

// adviceResult is the answer to a question.
type adviceResult struct {
	job       *job
	question  runs.AdvisorQuery
	startedMs []int64 // of the workers, in the order of the question
	tickets   map[string]string
	sent      time.Time
	err       error
}

// adviceOn returns what is known of a step.
func (j *job) adviceOn(s runs.Step) *advice {
	a := j.advice[s]
	if a == nil {
		a = &advice{verdicts: map[string]verdict{}}
		if j.advice == nil {
			j.advice = map[runs.Step]*advice{}
		}
		j.advice[s] = a
	}
	return a
}

// ticket returns the ticket with which a worker may run a step now, or nothing.
func (a *advice) ticket(h *host, now time.Time) string {
	if v, ok := a.verdicts[h.id]; ok && v.startedMs == h.startedMs && now.Before(v.until) {
		return v.ticket
	}
	return ""
}

// known tells whether a question about a worker would bring nothing new.
func (a *advice) known(h *host, now time.Time) bool {
	v, ok := a.verdicts[h.id]
	return ok && v.startedMs == h.startedMs && (v.ticket == "" || now.Before(v.until))
}

// allowedWorkers returns which workers allowedWorkers run a subtask; nil stands for all of them.
func (o *Owner) allowedWorkers(t *steps.Task, now time.Time) func(id string) bool {
	j := o.jobs[t.ID.Job]
	if j.progress.Job.Advisor == nil {
		return nil
	}
	a := j.adviceOn(t.ID.ParentStep())
	return func(id string) bool { return a.ticket(o.hosts[id], now) != "" }
}

// requestAdvice asks the advisor about the workers of steps that wait, in the order of
// their jobs.
func (o *Owner) requestAdvice(list []*job, cands []pack.Worker, candHosts []*host, now time.Time) {
	for _, j := range list {
		if j.progress.Job.Advisor == nil {
			continue
		}
		j.progress.EachUpcoming(now, func(t *steps.Task, reached bool) {
			if o.questionsInFlight < maxQuestionsInFlight && (reached || o.mayAskEarly(j, t.Step)) {
				o.askAboutStep(j, t, cands, candHosts, now)
			}
		})
	}
}

// mayAskEarly tells whether a ticket for a step holds long enough to be asked for
// before the step's turn.
func (o *Owner) mayAskEarly(j *job, s *steps.Step) bool {
	for _, a := range s.After {
		if 2*o.expectedRunTime(j, &j.progress.Job.Steps[a]) > ticketValidity(j) {
			return false
		}
	}
	return true
}

// ticketValidity returns how long a ticket holds.
func ticketValidity(j *job) time.Duration {
	if ms := j.progress.Job.Advisor.TicketValidMs; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return unlimitedValidity
}

// askAboutStep puts one question about the workers on which a subtask would fit.
func (o *Owner) askAboutStep(j *job, t *steps.Task, cands []pack.Worker, candHosts []*host, now time.Time) {
	a := j.adviceOn(t.ID.ParentStep())
	if a.inFlight || now.Before(a.retryAt) {
		return
	}
	known := func(i int) bool { return a.known(candHosts[i], now) }
	m := adviceResult{job: j, question: runs.AdvisorQuery{Step: t.ID.ParentStep()}, sent: now}
	for _, i := range pack.WorkersToAsk(demandOf(t), cands, known, len(a.verdicts) == 0, maxWorkersAsked) {
		m.question.Workers = append(m.question.Workers, candHosts[i].id)
		m.startedMs = append(m.startedMs, candHosts[i].startedMs)
	}
	if len(m.question.Workers) == 0 {
		return
	}
	a.inFlight = true
	o.questionsInFlight++
	o.Stats.Questions.Inc(1)
	d := j.progress.Job.Advisor
	takes := time.Duration(d.AnswerMs+d.PerWorkerMs*int64(len(m.question.Workers))) * time.Millisecond
	go func() {
		m.tickets, m.err = o.AskAdvisor(o.ctx, m.question, answerTimeoutFactor*takes)
		o.post(m)
	}()
}

// handleAdvice takes in an answer of the advisor.
func (o *Owner) handleAdvice(m adviceResult) {
	now := o.Clock.Now()
	a := m.job.adviceOn(m.question.Step)
	a.inFlight = false
	o.questionsInFlight--
	if m.err != nil {
		a.retryAt = now.Add(orderRetryDelay)
		o.Stats.QuestionsFailed.Inc(1)
		o.Log.Warn().Str("step", m.question.Step.String()).Int("workers", len(m.question.Workers)).Err(m.err).Msg("advisor did not answer")
		return
	}
	until := m.sent.Add(ticketValidity(m.job) - ticketMargin)
	for i, id := range m.question.Workers {
		a.verdicts[id] = verdict{m.startedMs[i], m.tickets[id], until}
	}
	o.passNeeded = true
	o.Log.Info().Str("step", m.question.Step.String()).Int("workers", len(m.question.Workers)).Int("allowed", len(m.tickets)).
		Dur("took", now.Sub(m.sent)).Msg("advisor answered")
}

// dropTicket forgets a ticket that a worker did not accept.
func (o *Owner) dropTicket(h *host, p *placement) {
	delete(p.job.adviceOn(p.task.ID.ParentStep()).verdicts, h.id)
}
