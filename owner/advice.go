package owner

import (
	"context"
	"errors"
	"time"

	"shallotpaddle/advice"
	"shallotpaddle/pack"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

const (
	// maxWorkersAsked is the largest number of workers in one question: each delays
	// the answer, and the users' objective allows for 30.
	maxWorkersAsked = 30
	// answerTimeoutFactor is the multiple of the stated answer time after which a question
	// times out. Each failure in a row doubles it, up to maxTimeoutDoublings times, as long
	// as the tickets would still be of use.
	answerTimeoutFactor = 2
	maxTimeoutDoublings = 2
	// maxRetryDoublings limits how often the pause of a step after a failed question doubles.
	maxRetryDoublings = 5
	// ticketMarginDivisor and maxTicketMargin say how long before its end a ticket is no longer
	// used, as a part of its validity and at most: a start may take that long to arrive.
	ticketMarginDivisor = 20
	maxTicketMargin     = 200 * time.Millisecond
	// lateTicketUse is how long a ticket is used that may have run out on arrival. The worker
	// refuses the start if it has.
	lateTicketUse = 100 * time.Millisecond
	// lateTicketRetryDelay is the pause of a queue after such a refusal. It doubles with each,
	// up to maxLateTicketDoublings times.
	lateTicketRetryDelay   = 250 * time.Millisecond
	maxLateTicketDoublings = 5
	// unlimitedValidity is the validity of tickets for which the queue declares none.
	unlimitedValidity = 24 * time.Hour
	// Weight of the queue's share of allowed workers beside what is known of a step, in
	// workers, and the share that is assumed before the first answer.
	shareWeight = 2
	firstShare  = 0.5
	// shareMemory is the weight of earlier answers beside the next one.
	shareMemory = 0.9
)

// stepAdvice has the advisor's answers about workers for one step.
type stepAdvice struct {
	retryAt  time.Time          // the time of the next question after a failed one
	failures int                // of questions in a row
	verdicts map[string]verdict // by worker ID
}

// verdict is the advisor's answer about one worker. It holds for one incarnation.
type verdict struct {
	startedMs int64     // start of the incarnation, in Unix milliseconds
	ticket    string    // empty if the worker may not run the step
	until     time.Time // end of the ticket's use
	late      bool      // the ticket may have run out on arrival
	used      bool      // a start has carried the ticket
}

// queueAdvice has what the owner has learned of the advisor about the steps of one queue.
type queueAdvice struct {
	// asked and allowed are the numbers of workers in past answers, of which earlier ones
	// count less.
	asked, allowed float64
	// late has the advisor's times for which no ticket can be proved to be valid when it arrives.
	late steps.AdvisorTiming
	// refused is the number of starts in a row whose ticket had run out on arrival. The next
	// question is asked at retryAt.
	refused int
	retryAt time.Time
}

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

// adviceOn returns the advice for a step, which is empty at first.
func (j *job) adviceOn(s runs.Step) *stepAdvice {
	a := j.advice[s]
	if a == nil {
		a = &stepAdvice{verdicts: map[string]verdict{}}
		if j.advice == nil {
			j.advice = map[runs.Step]*stepAdvice{}
		}
		j.advice[s] = a
	}
	return a
}

// on returns the advisor's answer about the present incarnation of a worker.
func (a *stepAdvice) on(h *host) (verdict, bool) {
	v, ok := a.verdicts[h.id]
	return v, ok && v.startedMs == h.startedMs
}

// ticket returns the ticket with which a worker may run the step now, or "".
func (a *stepAdvice) ticket(h *host, now time.Time) string {
	if v, ok := a.on(h); ok && now.Before(v.until) {
		return v.ticket
	}
	return ""
}

// odds returns the probability that a question about a worker brings a ticket, given the
// share of workers that are allowed. It is 0 for a worker that may not run the step, and for
// one whose ticket is valid at a given time.
func (a *stepAdvice) odds(h *host, share float64, at time.Time) float64 {
	switch v, ok := a.on(h); {
	case !ok:
		return share
	case v.ticket == "" || at.Before(v.until):
		return 0
	default:
		return 1 // which workers may run a step doesn't change
	}
}

// share returns the expected part of the workers that may run the step and were not asked
// about, given that of the queue.
func (a *stepAdvice) share(queue float64) float64 {
	allowed := 0
	for _, v := range a.verdicts {
		if v.ticket != "" {
			allowed++
		}
	}
	return (shareWeight*queue + float64(allowed)) / float64(shareWeight+len(a.verdicts))
}

// share returns the share of allowed workers, which is never 0 or 1 as later answers may differ.
func (q *queueAdvice) share() float64 { return (q.allowed + firstShare) / (q.asked + 1) }

// addAnswer records an answer.
func (q *queueAdvice) addAnswer(asked, allowed int) {
	q.asked = shareMemory*q.asked + float64(asked)
	q.allowed = shareMemory*q.allowed + float64(allowed)
}

// queueAdviceOf returns what is known of the advisor about a job's queue.
func (o *Owner) queueAdviceOf(j *job) *queueAdvice {
	name := j.progress.Job.Queue
	q := o.queues[name]
	if q == nil {
		q = &queueAdvice{}
		o.queues[name] = q
	}
	return q
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

// ticketValidity returns how long a ticket for a job is valid.
func ticketValidity(j *job) time.Duration {
	if ms := j.progress.Job.Advisor.TicketValidMs; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return unlimitedValidity
}

// ticketLife returns how long after its question a ticket for a job is used. The advisor may
// have issued it at any time since.
func ticketLife(j *job) time.Duration {
	v := ticketValidity(j)
	return v - min(v/ticketMarginDivisor, maxTicketMargin)
}

// answerTime returns how long the advisor takes for a question about a number of workers.
func answerTime(j *job, workers int) time.Duration {
	d := j.progress.Job.Advisor
	return time.Duration(d.AnswerMs+d.PerWorkerMs*int64(workers)) * time.Millisecond
}

// ticketUse returns how long tickets can be used that were asked for in a question about a
// number of workers; 0 or less if they may have run out when they arrive.
func ticketUse(j *job, workers int) time.Duration { return ticketLife(j) - answerTime(j, workers) }

// maxQuestion returns the number of workers up to which a question brings tickets that can be
// used; 0 if there is none.
func maxQuestion(j *job) int {
	n := maxWorkersAsked
	for n > 0 && ticketUse(j, n) <= 0 {
		n--
	}
	return n
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

// ticketRefused drops a ticket that a worker has refused. The advisor is asked again at once
// unless the ticket may have run out on arrival.
func (o *Owner) ticketRefused(h *host, p *placement, now time.Time) {
	a, q := p.job.adviceOn(p.task.ID.ParentStep()), o.queueAdviceOf(p.job)
	if v, ok := a.on(h); ok && v.late {
		q.retryAt = now.Add(lateTicketRetryDelay << min(q.refused, maxLateTicketDoublings))
		q.refused++
	}
	delete(a.verdicts, h.id)
}
