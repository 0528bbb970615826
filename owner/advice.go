package owner

import (
	"time"

	"shallotpaddle/pack"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

const (
	// maxNamed is the most workers that one question names: each makes the answer
	// later, and the users' objective allows for an answer on 30.
	maxNamed = 30
	// maxAsking is the number of questions under way: the advisor answers those of
	// one entry in turn.
	maxAsking = 2
	// answerFactor is the multiple of its own time that an answer may take: the
	// owners on one entry wait for each other there.
	answerFactor = 4
	// ticketMargin is the time before its end in which a ticket is not used: a start
	// may be under way for that long.
	ticketMargin = 200 * time.Millisecond
	// unlimited stands for the time of a ticket for which the queue names none.
	unlimited = 24 * time.Hour
)

// advice is what the advisor has said of workers for one step.
type advice struct {
	asking bool
	retry  time.Time          // no question before
	said   map[string]verdict // by worker
}

// verdict is the advisor's word on one worker, which holds for the worker's life.
type verdict struct {
	born   int64
	ticket string // empty if the worker may not run the step
	until  time.Time
}

// advised is the answer to a question.
type advised struct {
	job     *job
	q       runs.AdvisorQuery
	born    []int64 // of the workers, in the order of the question
	tickets map[string]string
	sent    time.Time
	err     error
}

// adviceOn returns what is known of a step.
func (j *job) adviceOn(s runs.Step) *advice {
	a := j.advice[s]
	if a == nil {
		a = &advice{said: map[string]verdict{}}
		if j.advice == nil {
			j.advice = map[runs.Step]*advice{}
		}
		j.advice[s] = a
	}
	return a
}

// ticket returns the ticket with which a worker may run a step now, or nothing.
func (a *advice) ticket(h *host, now time.Time) string {
	if v, ok := a.said[h.id]; ok && v.born == h.born && now.Before(v.until) {
		return v.ticket
	}
	return ""
}

// known tells whether a question about a worker would bring nothing new.
func (a *advice) known(h *host, now time.Time) bool {
	v, ok := a.said[h.id]
	return ok && v.born == h.born && (v.ticket == "" || now.Before(v.until))
}

// may returns which workers may run a subtask; nil stands for all of them.
func (o *Owner) may(t *steps.Task, now time.Time) func(id string) bool {
	j := o.jobs[t.ID.Job]
	if j.track.Job.Advisor == nil {
		return nil
	}
	a := j.adviceOn(t.ID.ParentStep())
	return func(id string) bool { return a.ticket(o.hosts[id], now) != "" }
}

// consult asks the advisor about the workers of steps that wait, in the order of
// their jobs.
func (o *Owner) consult(list []*job, cands []pack.Worker, rows []*host, now time.Time) {
	for _, j := range list {
		if j.track.Job.Advisor == nil {
			continue
		}
		j.track.EachUpcoming(now, func(t *steps.Task, reached bool) {
			if o.asking < maxAsking && (reached || o.early(j, t.Step)) {
				o.ask(j, t, cands, rows, now)
			}
		})
	}
}

// early tells whether a ticket for a step holds long enough to be asked for
// before the step's turn.
func (o *Owner) early(j *job, s *steps.Step) bool {
	for _, a := range s.After {
		if 2*o.expect(j, &j.track.Job.Steps[a]) > valid(j) {
			return false
		}
	}
	return true
}

// valid returns how long a ticket holds.
func valid(j *job) time.Duration {
	if ms := j.track.Job.Advisor.TicketValidMs; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return unlimited
}

// ask puts one question about the workers on which a subtask would fit.
func (o *Owner) ask(j *job, t *steps.Task, cands []pack.Worker, rows []*host, now time.Time) {
	a := j.adviceOn(t.ID.ParentStep())
	if a.asking || now.Before(a.retry) {
		return
	}
	known := func(i int) bool { return a.known(rows[i], now) }
	m := advised{job: j, q: runs.AdvisorQuery{Step: t.ID.ParentStep()}, sent: now}
	for _, i := range pack.WorkersToAsk(want(t), cands, known, len(a.said) == 0, maxNamed) {
		m.q.Workers = append(m.q.Workers, rows[i].id)
		m.born = append(m.born, rows[i].born)
	}
	if len(m.q.Workers) == 0 {
		return
	}
	a.asking = true
	o.asking++
	o.Stats.Questions.Inc(1)
	d := j.track.Job.Advisor
	takes := time.Duration(d.AnswerMs+d.PerWorkerMs*int64(len(m.q.Workers))) * time.Millisecond
	go func() {
		m.tickets, m.err = o.AskAdvisor(o.ctx, m.q, answerFactor*takes)
		o.post(m)
	}()
}

// takeAdvised takes in an answer of the advisor.
func (o *Owner) takeAdvised(m advised) {
	now := o.Clock.Now()
	a := m.job.adviceOn(m.q.Step)
	a.asking = false
	o.asking--
	if m.err != nil {
		a.retry = now.Add(orderRetry)
		o.Stats.QuestionsFailed.Inc(1)
		o.Log.Warn().Str("step", m.q.Step.String()).Int("workers", len(m.q.Workers)).Err(m.err).Msg("advisor did not answer")
		return
	}
	until := m.sent.Add(valid(m.job) - ticketMargin)
	for i, id := range m.q.Workers {
		a.said[id] = verdict{m.born[i], m.tickets[id], until}
	}
	o.dirty = true
	o.Log.Info().Str("step", m.q.Step.String()).Int("workers", len(m.q.Workers)).Int("allowed", len(m.tickets)).
		Dur("took", now.Sub(m.sent)).Msg("advisor answered")
}

// ticketRefused forgets a ticket that a worker did not accept.
func (o *Owner) ticketRefused(h *host, p *placement) {
	delete(p.job.adviceOn(p.task.ID.ParentStep()).said, h.id)
}
