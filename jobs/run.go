package jobs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"shallotpaddle/endpt"
	"shallotpaddle/once"
	"shallotpaddle/route"
)

// run brings a job to its end, or returns when ctx ends.
func (r *Runner) run(ctx context.Context, l *once.Ledger, j once.Job) {
	if j.State == once.Started {
		if !r.settle(ctx, l, j) {
			return
		}
	}
	for ctx.Err() == nil {
		cur, err := l.Job(j.ID)
		if err != nil || cur.State.Ended() {
			return
		}
		if cur.CancelRequested {
			r.end(ctx, l, cur, once.Outcome{State: once.Cancelled, Cause: "cancelled by the caller"})
			return
		}
		if r.once(ctx, l, cur) {
			return
		}
		r.pause(ctx, redoWait)
	}
}

// once dispatches a job and tells whether its end is recorded.
func (r *Runner) once(ctx context.Context, l *once.Ledger, j once.Job) bool {
	var started once.Job
	again := j.Idempotent
	w := route.Work{
		ID: j.ID, Queue: j.Queue, Customer: j.Customer, Kind: j.Kind, Due: j.Due, Idempotent: &again, Durable: true,
	}
	w.BeforeDispatch = func(host string) (string, error) {
		_, boot, _ := r.fleet.Addr(host)
		// A start that is cancelled half-way would leave its record open.
		rec, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
		defer cancel()
		s, err := l.Start(rec, j.ID, host, boot)
		if err != nil {
			return "", err
		}
		started = s
		return s.TaskID(), nil
	}
	a, err := r.router.Do(ctx, w, endpt.NewBody(bytes.NewReader(j.Body), int64(len(j.Body))))
	if err == nil {
		return r.take(ctx, l, started, a)
	}
	return r.failed(ctx, l, j, started, err)
}

// take reads an answer and records the job's end.
func (r *Runner) take(ctx context.Context, l *once.Ledger, j once.Job, a *route.Answer) bool {
	defer a.Body.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, once.MaxResult+1))
	if err != nil {
		return r.failed(ctx, l, j, j, err)
	}
	res := &once.Result{Status: a.Status, Type: a.Type, Body: body}
	if len(body) > once.MaxResult {
		_, _ = io.Copy(io.Discard, a.Body)
		res.Body, res.Dropped = nil, true
	}
	o := once.Outcome{State: once.Done, Result: res}
	if a.Status >= http.StatusInternalServerError {
		o.State, o.Cause = once.Failed, fmt.Sprintf("worker on host %s answered with status %d", a.Host, a.Status)
		if j.Idempotent && r.record(ctx, l.Retry, j.ID, o.Cause) == nil {
			return false
		}
	}
	return r.end(ctx, l, j, o)
}

// failed decides what follows a dispatch without a whole answer. It tells
// whether the job's end is recorded.
func (r *Runner) failed(ctx context.Context, l *once.Ledger, j, started once.Job, err error) bool {
	switch {
	case started.ID == "" && (errors.Is(err, route.ErrInvalid) || errors.Is(err, route.ErrNoQueue)):
		return r.end(ctx, l, j, once.Outcome{State: once.Parked, Cause: err.Error()})
	case errors.Is(err, once.ErrAttempts):
		return r.end(ctx, l, j, once.Outcome{State: once.Failed, Cause: err.Error()})
	case started.ID == "":
		return false
	case errors.Is(err, route.ErrNotRun):
		return r.record(ctx, l.NotRun, j.ID, err.Error()) != nil
	default:
		return !r.settle(ctx, l, started)
	}
}

// record writes one word on a job that is not its end.
func (r *Runner) record(ctx context.Context, f func(context.Context, string, string) error, id, cause string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
	defer cancel()
	return f(ctx, id, cause)
}

// end records the end of a job. It is true in any case: when the record fails,
// care finds the job again.
func (r *Runner) end(ctx context.Context, l *once.Ledger, j once.Job, o once.Outcome) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
	defer cancel()
	if err := l.Finish(ctx, j.ID, o); err != nil {
		r.fleet.RecordDecision(j.ID, "outcome not recorded", err.Error())
		return true
	}
	if o.State != once.Done {
		r.fleet.RecordDecision(j.ID, string(o.State), o.Cause)
	}
	return true
}

// settle finds out what became of a task whose answer was lost. It tells
// whether the job may be dispatched again.
func (r *Runner) settle(ctx context.Context, l *once.Ledger, j once.Job) bool {
	addr, _, ok := r.fleet.Addr(j.Host)
	state, lost := "", !ok
	for end := r.clock.Now().Add(askLimit); !lost && ctx.Err() == nil; r.pause(ctx, askEvery) {
		s, _, err := r.worker.State(ctx, addr, j.TaskID())
		if errors.Is(err, endpt.ErrNoTask) || (err != nil && r.clock.Now().After(end)) {
			break
		}
		if state = s; err == nil && s != endpt.StateRunning {
			break
		}
		if err == nil {
			end = r.clock.Now().Add(askLimit)
			_ = r.worker.Renew(ctx, addr, j.TaskID(), route.LeaseTime)
		}
	}
	if ctx.Err() != nil {
		return false
	}
	return r.settled(ctx, l, j, addr, state)
}

// settled records what a worker said of a lost task, where "" means nothing.
func (r *Runner) settled(ctx context.Context, l *once.Ledger, j once.Job, addr, state string) bool {
	switch {
	case state == endpt.StateDone:
		body, err := r.worker.Result(ctx, addr, j.TaskID(), once.MaxResult+1)
		res := &once.Result{Status: http.StatusOK, Body: body, Dropped: err != nil || len(body) > once.MaxResult}
		if res.Dropped {
			res.Body = nil
		}
		r.end(ctx, l, j, once.Outcome{State: once.Done, Result: res})
		return false
	case r.cancelled(l, j.ID):
		r.end(ctx, l, j, once.Outcome{State: once.Cancelled, Cause: "cancelled by the caller while it ran"})
		return false
	case j.Idempotent:
		if err := r.record(ctx, l.Retry, j.ID, "outcome of the last dispatch was lost"); err != nil {
			r.end(ctx, l, j, once.Outcome{State: once.Failed, Cause: err.Error()})
			return false
		}
		return true
	case state == endpt.StateFailed:
		r.end(ctx, l, j, once.Outcome{State: once.Failed, Cause: "task failed at the worker"})
		return false
	default:
		r.end(ctx, l, j, once.Outcome{State: once.Unknown, Cause: "worker on host " + j.Host + " does not know the task"})
		return false
	}
}

func (r *Runner) cancelled(l *once.Ledger, id string) bool {
	j, err := l.Job(id)
	return err == nil && j.CancelRequested
}
