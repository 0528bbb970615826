package owner

import (
	"context"
	"errors"
	"time"

	"shallotpaddle/advice"
	"shallotpaddle/pack"
	"shallotpaddle/runs"
)

const (
	// answerTimeoutFactor is the multiple of the stated answer time after which a question
	// times out. Each failure in a row doubles it, up to maxTimeoutDoublings times, as long
	// as the tickets would still be of use.
	answerTimeoutFactor = 2
	maxTimeoutDoublings = 2
	// maxRetryDoublings limits how often the pause of a step after a failed question doubles.
	maxRetryDoublings = 5
)

// Messages to the loop.
type (
	// turnGranted tells that the pool may ask the advisor.
	turnGranted struct{}
	// turnRecalled tells that another pool has a more urgent question.
	turnRecalled struct{}
	// adviceResult is the answer to a question, with the tickets by worker ID.
	adviceResult struct {
		*question
		tickets map[string]string
		err     error
	}
)

// requestAdvice asks the advisor about workers for the first waiting step in the order of the
// jobs if this pool has the turn, and makes it wait for its turn otherwise.
func (o *Owner) requestAdvice(list []*job, cands []pack.Worker, candHosts []*host, now time.Time) {
	if o.asked != nil {
		if !o.asked.needed() || o.asked.urgency == advice.Early && o.hasUrgentQuestion(list, cands, candHosts, now) {
			o.asked.cancel()
		}
		return
	}
	q, u := o.nextQuestion(list, cands, candHosts, now), advice.None
	switch {
	case q == nil:
		o.waitsSince = time.Time{}
	case o.waitsSince.IsZero():
		o.waitsSince = now
	}
	if q != nil {
		u = q.urgency
	}
	switch hasTurn := o.wantTurn(u); {
	case hasTurn && q != nil:
		o.ask(q, now)
	case hasTurn:
		o.seat.Release(advice.Unused)
	}
}

// wantTurn ends the turn of a question that has ended, and reports whether the pool may ask.
func (o *Owner) wantTurn(u advice.Urgency) bool {
	if ended := o.turnEnded; ended != nil {
		o.turnEnded = nil
		return o.seat.Next(*ended, u)
	}
	return o.seat.Want(u)
}

// hasUrgentQuestion reports whether a step that could start waits for an answer, and not for the
// one that is under way.
func (o *Owner) hasUrgentQuestion(list []*job, cands []pack.Worker, candHosts []*host, now time.Time) bool {
	q := o.nextQuestion(list, cands, candHosts, now)
	return q != nil && q.urgency == advice.Ready && q.task.ID.ParentStep() != o.asked.task.ID.ParentStep()
}

// ask sends a question. The pool has its turn.
func (o *Owner) ask(q *question, now time.Time) {
	q.sent, q.waited = now, now.Sub(o.waitsSince)
	o.asked, o.waitsSince = q, time.Time{}
	o.Stats.Questions.Inc(1)
	o.Stats.AdviceWait.Update(q.waited.Microseconds())
	if q.late {
		o.Stats.QuestionsLate.Inc(1)
		o.warnLate(q.job)
	}
	expected := answerTime(q.job, len(q.workers))
	within := min(answerTimeoutFactor*expected<<min(o.seat.Failures(), maxTimeoutDoublings), max(answerTimeoutFactor*expected, ticketValidity(q.job)))
	var ctx context.Context
	ctx, q.cancel = context.WithCancel(o.ctx)
	go func() {
		defer q.cancel()
		tickets, err := o.AskAdvisor(ctx, runs.AdvisorQuery{Step: q.task.ID.ParentStep(), Workers: q.workers}, within)
		o.post(adviceResult{q, tickets, err})
	}()
}

// warnLate logs, once for each queue, that no ticket can be proved to be valid when it arrives.
func (o *Owner) warnLate(j *job) {
	q, d := o.queueAdviceOf(j), j.progress.Job.Advisor
	if q.late == *d {
		return
	}
	q.late = *d
	o.Log.Warn().Str("pool", o.Pool).Str("queue", j.progress.Job.Queue).Int64("decideMs", d.AnswerMs).Int64("eachMs", d.PerWorkerMs).Int64("validMs", d.TicketValidMs).
		Msg("the advisor takes longer than its tickets are valid; they may have run out on arrival")
}

// recallTurn withdraws the question that is under way.
func (o *Owner) recallTurn() {
	if o.asked != nil {
		o.asked.cancel()
	}
}

// endTurn ends the turn of a question in the next scheduling pass, which knows the next question.
func (o *Owner) endTurn(how advice.Outcome) {
	o.asked, o.turnEnded, o.passNeeded = nil, &how, true
}

// handleAdvice records an answer of the advisor.
func (o *Owner) handleAdvice(m adviceResult) {
	now := o.Clock.Now()
	if m.err != nil {
		o.questionFailed(m, now)
		return
	}
	o.endTurn(advice.Answered)
	a := m.job.adviceOn(m.task.ID.ParentStep())
	a.failures = 0
	until := m.sent.Add(ticketLife(m.job))
	valid := until.Sub(now)
	if valid <= 0 {
		o.Stats.TicketsLate.Inc(int64(len(m.tickets)))
		until = now.Add(lateTicketUse)
	} else {
		o.queueAdviceOf(m.job).refused = 0
	}
	allowed := 0
	for i, id := range m.workers {
		a.verdicts[id] = verdict{startedMs: m.startedMs[i], ticket: m.tickets[id], until: until, late: valid <= 0}
		if m.tickets[id] != "" {
			allowed++
		}
	}
	o.queueAdviceOf(m.job).addAnswer(len(m.workers), allowed)
	o.Stats.Tickets.Inc(int64(allowed))
	o.Log.Info().Str("step", m.task.ID.ParentStep().String()).Int("workers", len(m.workers)).Int("allowed", allowed).
		Dur("waited", m.waited).Dur("took", now.Sub(m.sent)).Dur("valid", valid).Msg("advisor answered")
}

// questionFailed handles a question without an answer, or one that was withdrawn.
func (o *Owner) questionFailed(m adviceResult, now time.Time) {
	if errors.Is(m.err, context.Canceled) {
		o.endTurn(advice.Unused)
		return
	}
	o.endTurn(advice.Failed)
	a := m.job.adviceOn(m.task.ID.ParentStep())
	a.failures++
	a.retryAt = now.Add(orderRetryDelay << min(a.failures-1, maxRetryDoublings))
	o.Stats.QuestionsFailed.Inc(1)
	o.Log.Warn().Str("step", m.task.ID.ParentStep().String()).Int("workers", len(m.workers)).Dur("took", now.Sub(m.sent)).
		Err(m.err).Msg("question to the advisor failed")
}
