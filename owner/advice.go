package owner

import (
	"time"

	"shallotpaddle/pack"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

const (
	// maxWorkersAsked is the largest number of workers in one question: each delays
	// the answer, and the users' objective allows for 30.
	maxWorkersAsked = 30
	// maxQuestionsInFlight limits the questions of one owner: the advisor answers
	// those of an entry one after the other.
	maxQuestionsInFlight = 2
	// answerTimeoutFactor is the multiple of the expected answer time after which a
	// question times out: the owners on one entry wait for each other there.
	answerTimeoutFactor = 4
	// ticketMargin is how long before its end a ticket is no longer used: a start may
	// take that long to arrive.
	ticketMargin = 200 * time.Millisecond
	// unlimitedValidity is the validity of tickets for which the queue declares none.
	unlimitedValidity = 24 * time.Hour
)

// advice has the advisor's answers about workers for one step.
type advice struct {
	inFlight bool               // a question is under way
	retryAt  time.Time          // the time of the next question after a failed one
	verdicts map[string]verdict // by worker ID
}

// verdict is the advisor's answer about one worker. It holds for one incarnation.
type verdict struct {
	startedMs int64     // start of the incarnation, in Unix milliseconds
	ticket    string    // empty if the worker may not run the step
	until     time.Time // end of the ticket's use
	used      bool      // a start has carried the ticket
}

// adviceResult is a question to the advisor and its answer.
type adviceResult struct {
	job       *job
	question  runs.AdvisorQuery
	startedMs []int64           // of the workers, in the order of the question
	tickets   map[string]string // by worker ID
	sent      time.Time
	err       error
}

// adviceOn returns the advice for a step, which is empty at first.
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

// ticket returns the ticket with which a worker may run the step now, or "".
func (a *advice) ticket(h *host, now time.Time) string {
	if v, ok := a.verdicts[h.id]; ok && v.startedMs == h.startedMs && now.Before(v.until) {
		return v.ticket
	}
	return ""
}

// known reports whether the advisor's answer about a worker still holds.
func (a *advice) known(h *host, now time.Time) bool {
	v, ok := a.verdicts[h.id]
	return ok && v.startedMs == h.startedMs && (v.ticket == "" || now.Before(v.until))
}

// allowedWorkers returns a function that reports whether a worker may run a
// subtask, or nil if all of them may.
func (o *Owner) allowedWorkers(t *steps.Task, now time.Time) func(id string) bool {
	j := o.jobs[t.ID.Job]
	if j.progress.Job.Advisor == nil {
		return nil
	}
	a := j.adviceOn(t.ID.ParentStep())
	return func(id string) bool { return a.ticket(o.hosts[id], now) != "" }
}

// requestAdvice asks the advisor about workers for waiting steps, in the order of
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

// mayAskEarly reports whether tickets for a step are valid for long enough to be
// requested before the steps that it depends on have ended.
func (o *Owner) mayAskEarly(j *job, s *steps.Step) bool {
	for _, a := range s.After {
		if 2*o.expectedRunTime(j, &j.progress.Job.Steps[a]) > ticketValidity(j) {
			return false
		}
	}
	return true
}

// ticketValidity returns how long a ticket for a job is valid.
func ticketValidity(j *job) time.Duration {
	if ms := j.progress.Job.Advisor.TicketValidMs; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return unlimitedValidity
}

// askAboutStep asks the advisor about the workers on which a subtask would fit.
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
	answerTime := time.Duration(d.AnswerMs+d.PerWorkerMs*int64(len(m.question.Workers))) * time.Millisecond
	go func() {
		m.tickets, m.err = o.AskAdvisor(o.ctx, m.question, answerTimeoutFactor*answerTime)
		o.post(m)
	}()
}

// handleAdvice records an answer of the advisor.
func (o *Owner) handleAdvice(m adviceResult) {
	now := o.Clock.Now()
	a := m.job.adviceOn(m.question.Step)
	a.inFlight = false
	o.questionsInFlight--
	if m.err != nil {
		a.retryAt = now.Add(orderRetryDelay)
		o.Stats.QuestionsFailed.Inc(1)
		o.Log.Warn().Str("step", m.question.Step.String()).Int("workers", len(m.question.Workers)).Err(m.err).Msg("question to the advisor failed")
		return
	}
	until := m.sent.Add(ticketValidity(m.job) - ticketMargin)
	for i, id := range m.question.Workers {
		a.verdicts[id] = verdict{startedMs: m.startedMs[i], ticket: m.tickets[id], until: until}
	}
	o.Stats.Tickets.Inc(int64(len(m.tickets)))
	if !now.Before(until) {
		o.Stats.TicketsLate.Inc(int64(len(m.tickets)))
	}
	o.passNeeded = true
	o.Log.Info().Str("step", m.question.Step.String()).Int("workers", len(m.question.Workers)).Int("allowed", len(m.tickets)).
		Dur("took", now.Sub(m.sent)).Dur("valid", until.Sub(now)).Msg("advisor answered")
}

// useTicket returns the ticket for a start, or "" if there is none that holds.
func (o *Owner) useTicket(h *host, p *placement, now time.Time) string {
	a := p.job.adviceOn(p.task.ID.ParentStep())
	ticket := a.ticket(h, now)
	if v := a.verdicts[h.id]; ticket != "" && !v.used {
		v.used = true
		a.verdicts[h.id] = v
		o.Stats.TicketsUsed.Inc(1)
	}
	return ticket
}

// dropTicket drops a ticket that a worker has refused.
func (o *Owner) dropTicket(h *host, p *placement) {
	delete(p.job.adviceOn(p.task.ID.ParentStep()).verdicts, h.id)
}
