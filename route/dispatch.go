package route

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"shallotpaddle/endpt"
	"shallotpaddle/share"
)

// run queues an order and dispatches it until it has an answer or an error.
func (r *Router) run(ctx context.Context, o *order, body *endpt.Body) (*Answer, error) {
	if err := r.admitOrder(o); err != nil {
		return nil, err
	}
	t, err := o.pool.enter(o.item)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	for tries := 1; ; tries++ {
		if err := r.await(ctx, o, t); err != nil {
			return nil, err
		}
		a, next, err := r.attempt(ctx, o, t, body, tries)
		if next == nil {
			return a, err
		}
		if next.full {
			tries--
		}
		t = o.pool.again(t, next.full)
	}
}

// await waits until a host is taken for the ticket.
func (r *Router) await(ctx context.Context, o *order, t *ticket) error {
	select {
	case <-t.ready:
		return nil
	default:
	}
	late := r.clock.NewTimer(o.limit.Sub(r.clock.Now()))
	defer late.Stop()
	cause := ErrOverdue
	select {
	case <-t.ready:
		return nil
	case <-late.C:
	case <-ctx.Done():
		cause = ErrCancelled
	}
	if o.pool.abandon(t) {
		return fmt.Errorf("%w: %w", ErrNotRun, cause)
	}
	<-t.ready
	return nil
}

// again tells that an order is to be queued once more.
type again struct {
	full bool // the worker had no free slot; this is not counted as a try
}

// attempt dispatches once. It returns an answer, an error, or again.
func (r *Router) attempt(ctx context.Context, o *order, t *ticket, body *endpt.Body, try int) (*Answer, *again, error) {
	if r.clock.Since(t.taken) > staleGrant && !o.pool.still(t.host.Name) {
		return nil, &again{full: true}, nil
	}
	if cause := r.ended(ctx, o); cause != nil {
		o.pool.release(t, 0)
		return nil, nil, fmt.Errorf("%w: %w", ErrNotRun, cause)
	}
	o.dispatches++
	task := taskID(o)
	if o.work.BeforeDispatch != nil {
		id, err := o.work.BeforeDispatch(t.host.Name)
		if err != nil {
			o.pool.release(t, 0)
			return nil, nil, fmt.Errorf("%w: %w", ErrNotRun, err)
		}
		task = id
	}
	began := r.clock.Now()
	call := endpt.Task{
		ID: task, Pool: o.poolName, Queue: o.work.Queue, Kind: o.work.Kind, Slots: o.slots, Body: body,
		Again: o.dispatches > 1 && !o.idempotent,
	}
	var kept *lease
	if o.work.Durable {
		call.Lease = LeaseTime
		kept = r.keep(t, task)
	}
	run, cancel := context.WithCancelCause(ctx)
	seen := r.watch(t, task, cancel)
	res, err := r.client.Run(run, t.host.Addr, call)
	if err == nil {
		a := &answerBody{
			router: r, order: o, ticket: t, began: began, status: res.Status, lease: kept, watch: seen,
			body: res.Body, sent: body,
		}
		return newAnswer(a, res), nil, nil
	}
	kept.stop()
	seen.stop()
	return r.failed(ctx, o, t, body, try, err)
}

// taskID names a dispatch. Work that must not run twice keeps one id, so that
// a worker that has seen it refuses it.
func taskID(o *order) string {
	if !o.idempotent || o.dispatches == 1 {
		return o.work.ID
	}
	return o.work.ID + "." + strconv.Itoa(o.dispatches)
}

// failed decides what follows a dispatch without an answer.
func (r *Router) failed(ctx context.Context, o *order, t *ticket, body *endpt.Body, try int, err error) (*Answer, *again, error) {
	switch {
	case errors.Is(err, endpt.ErrFull):
		if o.work.BeforeDispatch == nil && r.mayRepeat(ctx, body) {
			return nil, &again{full: true}, nil
		}
		o.pool.shun(t.host.Name, share.FullBackoff)
	case errors.Is(err, endpt.ErrLeaving):
		o.pool.shun(t.host.Name, shunLeaving)
		if o.work.BeforeDispatch == nil && r.mayRepeat(ctx, body) {
			return nil, &again{full: true}, nil
		}
	case ctx.Err() != nil:
	case errors.Is(err, endpt.ErrDial):
		o.pool.shun(t.host.Name, shunDial)
		o.pool.count(t.host.Name, false)
	case errors.Is(err, endpt.ErrUnknown):
		o.pool.count(t.host.Name, false)
	}
	notRun := errors.Is(err, endpt.ErrNotRun)
	if (notRun || o.idempotent) && o.work.BeforeDispatch == nil && try < o.attempts && r.mayRepeat(ctx, body) && o.pool.retry() {
		return nil, &again{}, nil
	}
	o.pool.release(t, 0)
	if notRun && ctx.Err() != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrNotRun, ErrCancelled)
	}
	if notRun {
		return nil, nil, fmt.Errorf("%w: %w: %w", ErrNotRun, ErrNoRetryLeft, err)
	}
	return nil, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
}

func (r *Router) mayRepeat(ctx context.Context, body *endpt.Body) bool {
	return ctx.Err() == nil && (body == nil || body.Replayable())
}

// ended tells why work must not be dispatched any more, or nil.
func (r *Router) ended(ctx context.Context, o *order) error {
	switch {
	case ctx.Err() != nil:
		return ErrCancelled
	case r.clock.Now().After(o.limit):
		return ErrOverdue
	default:
		return nil
	}
}

// elapsed returns the time since began, at least 1 ns, which tells a run from
// one that did not happen.
func (r *Router) elapsed(began time.Time) time.Duration {
	return max(r.clock.Since(began), 1)
}
