package fakes

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"shallotpaddle/plat"
	"shallotpaddle/runs"
)

// Ask answers as the advisor does: for each step it lets three of four workers
// run it, which doesn't change, and gives them tickets for their life.
func (c *WorkerSet) Ask(ctx context.Context, q runs.AdvisorQuery, within time.Duration) (map[string]string, error) {
	c.mu.Lock()
	j := c.jobs[q.Step.Job]
	c.mu.Unlock()
	takes := time.Duration(j.Advisor.AnswerMs+j.Advisor.PerWorkerMs*int64(len(q.Workers))) * time.Millisecond
	switch t := c.trouble("advisor", "ask"); {
	case t == RefuseCall:
		return nil, errAfter(ctx, crewLatency, plat.ErrUnavailable)
	case t != NoFault:
		return nil, errAfter(ctx, within, plat.ErrUnknown)
	}
	time.Sleep(takes)
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]string{}
	for _, id := range q.Workers {
		if w := c.workers[id]; w != nil && allowed(q.Step, id) {
			out[id] = c.ticket(q.Step, w)
		}
	}
	return out, nil
}

func (c *WorkerSet) trouble(to, op string) CallFault {
	if c.InjectFault == nil {
		return NoFault
	}
	return c.InjectFault(to, op)
}

// allowed tells whether the advisor lets a worker run a step.
func allowed(s runs.Step, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.String() + worker)) // never fails
	return h.Sum32()%4 != 0
}

// ticket returns a worker's ticket for a step, good for this life of it.
func (c *WorkerSet) ticket(s runs.Step, w *workerState) string {
	name := fmt.Sprintf("%s/%s/%d", s, w.ID, w.StartedMs)
	if c.tickets == nil {
		c.tickets = map[string]time.Time{}
	}
	c.tickets[name] = time.Now()
	return name
}

// checkTicket refuses a start without a ticket that holds.
func (c *WorkerSet) checkTicket(w *workerState, s runs.Start) error {
	a := c.jobs[s.Task.Job].Advisor
	if a == nil {
		return nil
	}
	want := fmt.Sprintf("%s/%s/%d", s.Task.ParentStep(), w.ID, w.StartedMs)
	given, ok := c.tickets[s.Ticket]
	if s.Ticket != want || !ok || time.Since(given) > time.Duration(a.TicketValidMs)*time.Millisecond {
		c.refusedTickets++
		return runs.ErrTicket
	}
	return nil
}

// RefusedTickets returns the number of starts that were refused for their ticket.
func (c *WorkerSet) RefusedTickets() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedTickets
}
