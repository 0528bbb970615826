package jobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"shallotpaddle/once"
	"shallotpaddle/route"
	"shallotpaddle/table"
)

// Submit accepts a job and starts it. The job is durable when it returns
// without an error; once.NotRecorded tells whether an error proves that it will
// never run.
func (r *Runner) Submit(ctx context.Context, w route.Work, kind table.JobSpec, body []byte) (once.Job, error) {
	l := r.ledger.Load()
	if l == nil || r.isClosing() {
		return once.Job{}, fmt.Errorf("%w: %w", route.ErrNotRun, ErrClosed)
	}
	j := once.Job{
		Queue: w.Queue, Customer: w.Customer, Kind: w.Kind, Due: w.Due, Body: body,
		Idempotent: kind.Idempotent, MaxAttempts: kind.Attempts,
	}
	if w.Idempotent != nil {
		j.Idempotent = *w.Idempotent
	}
	if j.MaxAttempts <= 0 {
		j.MaxAttempts = table.DefaultAttempts
	}
	j, err := l.Accept(ctx, j)
	switch {
	case err == nil:
		r.begin(l, j)
		return j, nil
	case once.NotRecorded(err):
		return j, fmt.Errorf("%w: %w", route.ErrNotRun, err)
	default:
		return j, fmt.Errorf("%w: %w", route.ErrUnknown, err)
	}
}

// Get returns a job that this entry holds, or once.ErrNotFound.
func (r *Runner) Get(id string) (once.Job, error) {
	l := r.ledger.Load()
	if l == nil {
		return once.Job{}, once.ErrNotFound
	}
	return l.Job(id)
}

// Find looks a job up in the store, for one that no live entry holds.
func (r *Runner) Find(ctx context.Context, id string) (once.Job, error) {
	return once.Find(ctx, r.store, r.clock, id)
}

// Wait returns a job that this entry holds once it has ended, or as it is after
// a time.
func (r *Runner) Wait(ctx context.Context, id string, limit time.Duration) (once.Job, error) {
	over := r.clock.NewTimer(limit)
	defer over.Stop()
	for {
		r.mu.Lock()
		ended := r.ended
		r.mu.Unlock()
		j, err := r.Get(id)
		if err != nil || j.State.Ended() {
			return j, err
		}
		select {
		case <-ended:
		case <-over.C:
			return j, nil
		case <-ctx.Done():
			return j, ctx.Err()
		}
	}
}

// Cancel cancels a job that this entry holds. A task that runs is asked to stop.
func (r *Runner) Cancel(ctx context.Context, id string) (once.Job, error) {
	l := r.ledger.Load()
	if l == nil {
		return once.Job{}, once.ErrNotFound
	}
	j, err := l.Cancel(ctx, id)
	if err != nil {
		return j, err
	}
	r.mu.Lock()
	cancel := r.running[id]
	r.mu.Unlock()
	if j.State == once.Cancelled && cancel != nil {
		cancel()
	}
	if j.State == once.Started {
		r.stopTask(ctx, j)
	}
	return j, nil
}

func (r *Runner) stopTask(ctx context.Context, j once.Job) {
	addr, _, ok := r.fleet.Addr(j.Host)
	if !ok {
		return
	}
	if err := r.worker.Stop(ctx, addr, j.TaskID()); err != nil && !errors.Is(err, context.Canceled) {
		r.fleet.RecordDecision(j.ID, "task not stopped", err.Error())
	}
}

// Drop forgets an ended job whose result has been fetched.
func (r *Runner) Drop(id string) {
	if l := r.ledger.Load(); l != nil {
		_ = l.Drop(id)
	}
}
