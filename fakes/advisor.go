package fakes

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"shallotpaddle/plat"
	"shallotpaddle/runs"
)

// Ask answers in place of the advisor: it allows each step on about three of four
// workers, always the same ones, and returns a ticket by worker ID. A ticket is valid
// for one incarnation of its worker.
func (ws *WorkerSet) Ask(ctx context.Context, q runs.AdvisorQuery, timeout time.Duration) (map[string]string, error) {
	ws.mu.Lock()
	j := ws.jobs[q.Step.Job]
	ws.mu.Unlock()
	answerTime := time.Duration(j.Advisor.AnswerMs+j.Advisor.PerWorkerMs*int64(len(q.Workers))) * time.Millisecond
	switch fault := ws.injectedFault("advisor", "ask"); {
	case fault == RefuseCall:
		return nil, errAfter(ctx, workerLatency, plat.ErrUnavailable)
	case fault != NoFault:
		return nil, errAfter(ctx, timeout, plat.ErrUnknown)
	}
	time.Sleep(answerTime)
	ws.mu.Lock()
	defer ws.mu.Unlock()
	out := map[string]string{}
	for _, id := range q.Workers {
		if w := ws.workers[id]; w != nil && allowed(q.Step, id) {
			out[id] = ws.issueTicket(q.Step, w)
		}
	}
	return out, nil
}

// injectedFault returns the fault of a call to a worker or the advisor.
func (ws *WorkerSet) injectedFault(to, op string) CallFault {
	if ws.InjectFault == nil {
		return NoFault
	}
	return ws.InjectFault(to, op)
}

// allowed tells whether the advisor allows a step on a worker.
func allowed(s runs.Step, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.String() + worker)) // never fails
	return h.Sum32()%4 != 0
}

// issueTicket issues a ticket for a step to the present incarnation of a worker.
func (ws *WorkerSet) issueTicket(s runs.Step, w *workerState) string {
	ticket := fmt.Sprintf("%s/%s/%d", s, w.ID, w.StartedMs)
	if ws.ticketIssued == nil {
		ws.ticketIssued = map[string]time.Time{}
	}
	ws.ticketIssued[ticket] = time.Now()
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
