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

// Submit accepts a job and starts it. Without an error the job is durable. The
// error is a route.ErrNotRun if it is certain that the job will never run,
// otherwise a route.ErrUnknown.
func (r *Runner) Submit(ctx context.Context, w route.Work, kind table.JobSpec, body []byte) (once.Job, error) {
	l := r.ledger.Load()
	if l == nil || r.isStopping() {
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
		r.startJob(l, j)
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

// Find reads a job from the store, for jobs that no live entry holds. Errors are
// those of once.Find.
func (r *Runner) Find(ctx context.Context, id string) (once.Job, error) {
	return once.Find(ctx, r.store, r.clock, id)
}

// Wait waits until a job that this entry holds has ended, or for limit, and returns
// the job. The error is once.ErrNotFound or that of ctx.
func (r *Runner) Wait(ctx context.Context, id string, limit time.Duration) (once.Job, error) {
	timeout := r.clock.NewTimer(limit)
	defer timeout.Stop()
	for {
		r.mu.Lock()
		jobEnded := r.jobEnded
		r.mu.Unlock()
		j, err := r.Get(id)
		if err != nil || j.State.Ended() {
			return j, err
		}
		select {
		case <-jobEnded:
		case <-timeout.C:
			return j, nil
		case <-ctx.Done():
			return j, ctx.Err()
		}
	}
}

// Cancel cancels a job that this entry holds. If its task runs, the worker is asked
// to stop it. The error is once.ErrNotFound or that of the ledger.
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
	cancel := r.cancelByJob[id]
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
	if err := r.workers.Stop(ctx, addr, j.TaskID()); err != nil && !errors.Is(err, context.Canceled) {
		r.fleet.RecordDecision(j.ID, "task not stopped", err.Error())
	}
}

// Drop removes an ended job whose result has been fetched.
func (r *Runner) Drop(id string) {
	if l := r.ledger.Load(); l != nil {
		_ = l.Drop(id)
	}
}
