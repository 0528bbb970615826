package fakes

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync/atomic"
	"time"

	"shallotpaddle/plat"
	"shallotpaddle/runs"
)

// maxWaitingQuestions is the number of waiting questions of an entry from which on the advisor
// refuses more.
const maxWaitingQuestions = 32

// AdvisorTurn is what the advisor has for each entry: it handles the questions of one at a
// time.
type AdvisorTurn struct {
	taken   chan struct{} // holds a value while a question is handled
	waiting atomic.Int32
}

// NewAdvisorTurn returns the turn of an entry that asks nothing.
func NewAdvisorTurn() *AdvisorTurn { return &AdvisorTurn{taken: make(chan struct{}, 1)} }

// AskIn returns a function that answers questions in place of the advisor, in the turn of an
// entry. It allows a step on each worker that MayRun allows, and returns a ticket by worker ID. A
// ticket is valid for one incarnation of its worker, from when its question was begun. Questions
// whose caller has gone take no turn.
func (ws *WorkerSet) AskIn(turn *AdvisorTurn) func(ctx context.Context, q runs.AdvisorQuery, timeout time.Duration) (map[string]string, error) {
	return func(ctx context.Context, q runs.AdvisorQuery, timeout time.Duration) (map[string]string, error) {
		ctx, cancel := context.WithTimeout(ctx, advisorLatency+timeout)
		defer cancel()
		delay := time.Duration(0)
		switch ws.injectedFault("advisor", "ask") {
		case NoFault:
		case RefuseCall:
			return nil, errAfter(ctx, workerLatency, plat.ErrUnavailable)
		case DelayCall:
			delay = advisorDelay
		default:
			<-ctx.Done()
			return nil, callerGone(ctx)
		}
		defer turn.waiting.Add(-1)
		if turn.waiting.Add(1) > maxWaitingQuestions {
			return nil, plat.ErrUnavailable
		}
		return ws.answer(ctx, turn, q, delay)
	}
}

const (
	// advisorLatency is how much longer than the given time a question may take.
	advisorLatency = 700 * time.Millisecond
	// advisorDelay is how much longer the advisor takes for a question with the fault DelayCall.
	advisorDelay = 600 * time.Millisecond
)

// answer answers a question when its turn has come, and a delay later.
func (ws *WorkerSet) answer(ctx context.Context, turn *AdvisorTurn, q runs.AdvisorQuery, delay time.Duration) (map[string]string, error) {
	select {
	case turn.taken <- struct{}{}:
		defer func() { <-turn.taken }()
	case <-ctx.Done():
		return nil, callerGone(ctx)
	}
	ws.mu.Lock()
	times, begun := ws.jobs[q.Step.Job].Advisor, time.Now()
	ws.mu.Unlock()
	t := time.NewTimer(delay + time.Duration(times.AnswerMs+times.PerWorkerMs*int64(len(q.Workers)))*time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return nil, callerGone(ctx)
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	out := map[string]string{}
	for _, id := range q.Workers {
		if w := ws.workers[id]; w != nil && ws.mayRun(q.Step, id) {
			out[id] = ws.issueTicket(q.Step, w, begun)
		}
	}
	return out, nil
}

// callerGone returns the error of a call that its caller has given up.
func callerGone(ctx context.Context) error { return fmt.Errorf("%w: %w", plat.ErrUnknown, ctx.Err()) }

// mayRun tells whether the advisor allows a step on a worker.
func (ws *WorkerSet) mayRun(s runs.Step, worker string) bool {
	if ws.MayRun != nil {
		return ws.MayRun(s, worker)
	}
	return allowed(s, worker)
}

// injectedFault returns the fault of a call to a worker or the advisor.
func (ws *WorkerSet) injectedFault(to, op string) CallFault {
	if ws.InjectFault == nil {
		return NoFault
	}
	return ws.InjectFault(to, op)
}

// allowed allows each step on about three of four workers, always the same ones.
func allowed(s runs.Step, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.String() + worker)) // never fails
	return h.Sum32()%4 != 0
}

// issueTicket issues a ticket for a step to the present incarnation of a worker.
// It is valid from since.
func (ws *WorkerSet) issueTicket(s runs.Step, w *workerState, since time.Time) string {
	ticket := fmt.Sprintf("%s/%s/%d", s, w.ID, w.StartedMs)
	if ws.ticketIssued == nil {
		ws.ticketIssued = map[string]time.Time{}
	}
	ws.ticketIssued[ticket] = since
	return ticket
}

// checkTicket returns runs.ErrTicket for a start without a valid ticket, if the job
// has an advisor.
func (ws *WorkerSet) checkTicket(w *workerState, s runs.Start) error {
	advisor := ws.jobs[s.Task.Job].Advisor
	if advisor == nil {
		return nil
	}
	want := fmt.Sprintf("%s/%s/%d", s.Task.ParentStep(), w.ID, w.StartedMs)
	issuedAt, ok := ws.ticketIssued[s.Ticket]
	if s.Ticket != want || !ok || time.Since(issuedAt) > time.Duration(advisor.TicketValidMs)*time.Millisecond {
		ws.refusedTickets++
		return runs.ErrTicket
	}
	return nil
}

// RefusedTickets returns the number of starts that were refused for lack of a valid
// ticket.
func (ws *WorkerSet) RefusedTickets() int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.refusedTickets
}
