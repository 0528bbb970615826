package owner

import "time"

const (
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
)

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
