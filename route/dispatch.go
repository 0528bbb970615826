package route

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"shallotpaddle/admit"
	"shallotpaddle/endpt"
	"shallotpaddle/share"
)

// run queues an order and dispatches it, again if need be, until there is an
// answer or an error.
func (r *Router) run(ctx context.Context, o *workOrder, body *endpt.Body) (*Answer, error) {
	if err := r.admitOrder(o); err != nil {
		return nil, err
	}
	req, err := o.pool.enqueue(o.item)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	for tries := 1; ; tries++ {
		if err := r.awaitHost(ctx, o, req); err != nil {
			return nil, err
		}
		answer, again, err := r.attempt(ctx, o, req, body, tries)
		if again == nil {
			return answer, err
		}
		if again.workerFull {
			tries--
		}
		req = o.pool.requeue(req, again.workerFull)
	}
}

// awaitHost waits until the request is granted a host. It returns an ErrNotRun
// if that takes too long, no worker of the pool answers, or the caller cancels.
func (r *Router) awaitHost(ctx context.Context, o *workOrder, req *slotRequest) error {
	timeout := r.clock.NewTimer(o.startBy.Sub(r.clock.Now()))
	defer timeout.Stop()
	cause := ErrOverdue
	select {
	case <-req.ready:
		return req.notRun()
	case <-timeout.C:
	case <-ctx.Done():
		cause = ErrCancelled
	}
	if o.pool.cancelWait(req) {
		return fmt.Errorf("%w: %w", ErrNotRun, cause)
	}
	<-req.ready
	return req.notRun()
}

// notRun returns nil if the request was granted a host.
func (r *slotRequest) notRun() error {
	if r.err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrNotRun, admit.NewRefusal(r.err, noHostsRetryAfter))
}

// redispatch means that an order must be queued and dispatched again.
type redispatch struct {
	// workerFull means that the worker did not take the task, or that its host
	// is no longer open to new work; the dispatch does not count as a try.
	workerFull bool
}

// attempt dispatches an order once. It returns an answer, a redispatch, or an
// error.
func (r *Router) attempt(ctx context.Context, o *workOrder, req *slotRequest, body *endpt.Body, try int) (*Answer, *redispatch, error) {
	if r.clock.Since(req.grantedAt) > grantRecheckAge && !o.pool.isOpen(req.host.Name) {
		return nil, &redispatch{workerFull: true}, nil
	}
	if cause := r.abortCause(ctx, o); cause != nil {
		o.pool.release(req, 0)
		return nil, nil, fmt.Errorf("%w: %w", ErrNotRun, cause)
	}
	o.dispatches++
	taskID := nextTaskID(o)
	if o.work.BeforeDispatch != nil {
		id, err := o.work.BeforeDispatch(req.host.Name)
		if err != nil {
			o.pool.release(req, 0)
			return nil, nil, fmt.Errorf("%w: %w", ErrNotRun, err)
		}
		taskID = id
	}
	startedAt := r.clock.Now()
	call := endpt.Task{
		ID: taskID, Pool: o.poolName, Queue: o.work.Queue, Kind: o.work.Kind, Slots: o.slots, Body: body,
		Repeated: o.dispatches > 1 && !o.idempotent,
	}
	var renewal *leaseRenewal
	if o.work.Durable {
		call.Lease = LeaseTime
		renewal = r.renewLease(req, taskID)
	}
	taskCtx, cancel := context.WithCancelCause(ctx)
	watch := r.watch(req, taskID, cancel)
	res, err := r.client.Run(taskCtx, req.host.Addr, call)
	if err == nil {
		answer := &answerBody{
			router: r, order: o, slots: req, startedAt: startedAt, status: res.Status, renewal: renewal, watch: watch,
			body: res.Body, requestBody: body,
		}
		return newAnswer(answer, res), nil, nil
	}
	renewal.stop()
	watch.stop()
	return r.handleFailure(ctx, o, req, body, try, err)
}

// nextTaskID returns the task id of an order's current dispatch. Work that is
// not idempotent keeps its id, so that a worker that received it before refuses
// it.
func nextTaskID(o *workOrder) string {
	if !o.idempotent || o.dispatches == 1 {
		return o.work.ID
	}
	return o.work.ID + "." + strconv.Itoa(o.dispatches)
}

// handleFailure decides whether an order whose dispatch got no answer is
// dispatched again or fails. It also excludes the host and counts the failure
// against it, depending on the error.
func (r *Router) handleFailure(ctx context.Context, o *workOrder, req *slotRequest, body *endpt.Body, try int, err error) (*Answer, *redispatch, error) {
	switch {
	case errors.Is(err, endpt.ErrFull):
		if o.work.BeforeDispatch == nil && r.canRepeat(ctx, body) {
			return nil, &redispatch{workerFull: true}, nil
		}
		o.pool.exclude(req.host.Name, share.FullBackoff)
	case errors.Is(err, endpt.ErrLeaving):
		o.pool.exclude(req.host.Name, excludeLeaving)
		if o.work.BeforeDispatch == nil && r.canRepeat(ctx, body) {
			return nil, &redispatch{workerFull: true}, nil
		}
	case ctx.Err() != nil:
	case errors.Is(err, endpt.ErrDial):
		o.pool.exclude(req.host.Name, excludeUnreachable)
		o.pool.recordOutcome(req.host.Name, false)
	case errors.Is(err, endpt.ErrUnknown):
		o.pool.recordOutcome(req.host.Name, false)
	}
	notRun := errors.Is(err, endpt.ErrNotRun)
	if (notRun || o.idempotent) && o.work.BeforeDispatch == nil && try < o.maxAttempts && r.canRepeat(ctx, body) && o.pool.spendRetry() {
		return nil, &redispatch{}, nil
	}
	o.pool.release(req, 0)
	if notRun && ctx.Err() != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrNotRun, ErrCancelled)
	}
	if notRun {
		return nil, nil, fmt.Errorf("%w: %w: %w", ErrNotRun, ErrNoRetryLeft, err)
	}
	return nil, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
}

// canRepeat reports whether the caller still waits and the body, if any, can be
// read from its start again.
func (r *Router) canRepeat(ctx context.Context, body *endpt.Body) bool {
	return ctx.Err() == nil && (body == nil || body.Replayable())
}

// abortCause returns why an order must not be dispatched any more:
// ErrCancelled, ErrOverdue or nil.
func (r *Router) abortCause(ctx context.Context, o *workOrder) error {
	switch {
	case ctx.Err() != nil:
		return ErrCancelled
	case r.clock.Now().After(o.startBy):
		return ErrOverdue
	default:
		return nil
	}
}

// runTime returns the time since startedAt. It is at least 1 ns, because 0
// stands for a task that did not run.
func (r *Router) runTime(startedAt time.Time) time.Duration {
	return max(r.clock.Since(startedAt), 1)
}
