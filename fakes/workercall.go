package fakes

import (
	"context"
	"fmt"
	"time"

	"shallotpaddle/plat"
	"shallotpaddle/runs"
)

// call makes a call to a worker, subject to the injected fault; do carries it out with
// ws.mu held. It returns plat.ErrUnavailable if the call is refused and
// plat.ErrUnknown if it gets no answer.
func (ws *WorkerSet) call(ctx context.Context, to runs.Target, op string, do func(w *workerState) error) error {
	fault := ws.injectedFault(to.ID, op)
	result := plat.ErrUnknown // unless do is called
	deliver := func() {
		ws.mu.Lock()
		defer ws.mu.Unlock()
		if w := ws.workers[to.ID]; w != nil && w.isAt(to.Address) && w.up && !w.unreachable {
			result = do(w)
		}
	}
	ws.mu.Lock()
	w := ws.workers[to.ID]
	astray := w == nil || !w.isAt(to.Address)
	reachable := !astray && w.up && !w.unreachable
	replaced := (astray || !w.up) && ws.addressTaken(w, to.Address)
	ws.mu.Unlock()
	switch {
	case replaced:
		return errAfter(ctx, workerLatency, runs.ErrIncarnation)
	case !astray && !w.up && !w.unreachable:
		return errAfter(ctx, workerLatency, plat.ErrUnavailable) // refused
	case !reachable, fault == DropCall:
		return errAfter(ctx, workerTimeout, plat.ErrUnknown)
	case fault == RefuseCall:
		return errAfter(ctx, workerLatency, plat.ErrUnavailable)
	case fault == DropAnswer:
		deliver()
		return errAfter(ctx, workerTimeout, plat.ErrUnknown)
	case fault == DelayCall:
		// The sender may have ended by then, and another incarnation with the same ID may
		// carry out the order.
		time.AfterFunc(ws.lateOrderDelay(), deliver)
		return errAfter(ctx, workerTimeout, plat.ErrUnknown)
	}
	// An order that has been sent arrives even if its sender's context ends.
	time.Sleep(workerLatency)
	deliver()
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", plat.ErrUnknown, err)
	}
	return result
}

// isAt reports whether a call to the address reaches the worker; a call without an address does.
func (w *workerState) isAt(address string) bool { return address == "" || address == w.Address }

// lateOrderDelay returns the time after which an order with the fault DelayCall is
// carried out.
func (ws *WorkerSet) lateOrderDelay() time.Duration {
	if ws.LateOrderDelay == nil {
		return defaultOrderDelay
	}
	return ws.LateOrderDelay()
}
