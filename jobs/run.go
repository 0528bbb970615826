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

// runJob runs a job until its end is recorded or ctx ends. If the job was started
// before, it first asks the worker for the outcome.
func (r *Runner) runJob(ctx context.Context, l *once.Ledger, j once.Job) {
	if j.State == once.Started {
		if !r.resolveOutcome(ctx, l, j) {
			return
		}
	}
	for ctx.Err() == nil {
		cur, err := l.Job(j.ID)
		if err != nil || cur.State.Ended() {
			return
		}
		if cur.CancelRequested {
			r.recordEnd(ctx, l, cur, once.Outcome{State: once.Cancelled, Cause: "cancelled by the caller"})
			return
		}
		if r.dispatch(ctx, l, cur) {
			return
		}
		r.pause(ctx, retryDelay)
	}
}

// dispatch dispatches a job once. It returns false if the job is to be dispatched
// again.
func (r *Runner) dispatch(ctx context.Context, l *once.Ledger, j once.Job) bool {
	var started once.Job
	idempotent := j.Idempotent
	w := route.Work{
		ID: j.ID, Queue: j.Queue, Customer: j.Customer, Kind: j.Kind, Due: j.Due, Idempotent: &idempotent, Durable: true,
	}
	w.BeforeDispatch = func(host string) (string, error) {
		_, boot, _ := r.fleet.Addr(host)
		// The end of ctx must not cancel the write: it would not be known whether
		// the start is recorded.
		recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
		defer cancel()
		s, err := l.Start(recordCtx, j.ID, host, boot)
		if err != nil {
			return "", err
		}
		started = s
		return s.TaskID(), nil
	}
	a, err := r.router.Do(ctx, w, endpt.NewBody(bytes.NewReader(j.Body), int64(len(j.Body))))
	if err == nil {
		return r.recordAnswer(ctx, l, started, a)
	}
	return r.handleFailure(ctx, l, j, started, err)
}

// recordAnswer reads an answer and records the job's end. Like dispatch, it returns
// false if the job is to be dispatched again.
func (r *Runner) recordAnswer(ctx context.Context, l *once.Ledger, j once.Job, a *route.Answer) bool {
	defer a.Body.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, once.MaxResult+1))
	if err != nil {
		return r.handleFailure(ctx, l, j, j, err)
	}
	res := &once.Result{Status: a.Status, Type: a.Type, Body: body}
	if len(body) > once.MaxResult {
		_, _ = io.Copy(io.Discard, a.Body)
		res.Body, res.Dropped = nil, true
	}
	o := once.Outcome{State: once.Done, Result: res}
	if a.Status >= http.StatusInternalServerError {
		o.State, o.Cause = once.Failed, fmt.Sprintf("worker on host %s answered with status %d", a.Host, a.Status)
		if j.Idempotent && r.recordChange(ctx, l.Retry, j.ID, o.Cause) == nil {
			return false
		}
	}
	return r.recordEnd(ctx, l, j, o)
}

// handleFailure decides what follows a dispatch without a complete answer; started
// is the job as recorded at its start, empty if no start was recorded. Like
// dispatch, it returns false if the job is to be dispatched again.
func (r *Runner) handleFailure(ctx context.Context, l *once.Ledger, j, started once.Job, err error) bool {
	switch {
	case started.ID == "" && (errors.Is(err, route.ErrInvalid) || errors.Is(err, route.ErrNoQueue)):
		return r.recordEnd(ctx, l, j, once.Outcome{State: once.Parked, Cause: err.Error()})
	case errors.Is(err, once.ErrAttempts):
		return r.recordEnd(ctx, l, j, once.Outcome{State: once.Failed, Cause: err.Error()})
	case started.ID == "":
		return false
	case errors.Is(err, route.ErrNotRun):
		return r.recordChange(ctx, l.NotRun, j.ID, err.Error()) != nil
	default:
		return !r.resolveOutcome(ctx, l, started)
	}
}

// recordChange records a change of a job other than its end with record, a method
// of the ledger.
func (r *Runner) recordChange(ctx context.Context, record func(context.Context, string, string) error, id, cause string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	return record(ctx, id, cause)
}

// recordEnd records the end of a job. It always returns true: if the record fails,
// maintain starts the job again.
func (r *Runner) recordEnd(ctx context.Context, l *once.Ledger, j once.Job, o once.Outcome) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
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

// resolveOutcome asks the worker for the outcome of a task whose answer was lost,
// and renews the task's lease while it runs. It tells whether the job may be
// dispatched again.
func (r *Runner) resolveOutcome(ctx context.Context, l *once.Ledger, j once.Job) bool {
	addr, _, ok := r.fleet.Addr(j.Host)
	state, hostUnknown := "", !ok
	for deadline := r.clock.Now().Add(queryTimeout); !hostUnknown && ctx.Err() == nil; r.pause(ctx, queryInterval) {
		s, _, err := r.workers.State(ctx, addr, j.TaskID())
		if errors.Is(err, endpt.ErrNoTask) || (err != nil && r.clock.Now().After(deadline)) {
			break
		}
		if state = s; err == nil && s != endpt.StateRunning {
			break
		}
		if err == nil {
			deadline = r.clock.Now().Add(queryTimeout)
			_ = r.workers.Renew(ctx, addr, j.TaskID(), route.LeaseTime)
		}
	}
	if ctx.Err() != nil {
		return false
	}
	return r.recordResolved(ctx, l, j, addr, state)
}

// recordResolved records the outcome of a task whose answer was lost, from the state
// that the worker reported, empty if none. Like resolveOutcome, it tells whether
// the job may be dispatched again.
func (r *Runner) recordResolved(ctx context.Context, l *once.Ledger, j once.Job, addr, state string) bool {
	switch {
	case state == endpt.StateDone:
		body, err := r.workers.Result(ctx, addr, j.TaskID(), once.MaxResult+1)
		res := &once.Result{Status: http.StatusOK, Body: body, Dropped: err != nil || len(body) > once.MaxResult}
		if res.Dropped {
			res.Body = nil
		}
		r.recordEnd(ctx, l, j, once.Outcome{State: once.Done, Result: res})
		return false
	case r.cancelRequested(l, j.ID):
		r.recordEnd(ctx, l, j, once.Outcome{State: once.Cancelled, Cause: "cancelled by the caller while it ran"})
		return false
	case j.Idempotent:
		if err := r.recordChange(ctx, l.Retry, j.ID, "outcome of the last dispatch was lost"); err != nil {
			r.recordEnd(ctx, l, j, once.Outcome{State: once.Failed, Cause: err.Error()})
			return false
		}
		return true
	case state == endpt.StateFailed:
		r.recordEnd(ctx, l, j, once.Outcome{State: once.Failed, Cause: "task failed at the worker"})
		return false
	default:
		r.recordEnd(ctx, l, j, once.Outcome{State: once.Unknown, Cause: "worker on host " + j.Host + " does not know the task"})
		return false
	}
}

func (r *Runner) cancelRequested(l *once.Ledger, id string) bool {
	j, err := l.Job(id)
	return err == nil && j.CancelRequested
}
