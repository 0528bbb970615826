package fakes

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"shallotpaddle/plat"
	"shallotpaddle/runs"
)

// Renew extends the lease, removes the acknowledged ends and returns a report.
func (ws *WorkerSet) Renew(ctx context.Context, to runs.Target, n runs.Renew) (out runs.Report, err error) {
	wait := time.After(time.Duration(n.WaitMs) * time.Millisecond)
	var from *workerState
	silent := false // nothing ended the connection to an earlier incarnation
	for {
		first := from == nil
		var changed chan struct{}
		err = ws.call(ctx, to, "renew", func(w *workerState) error {
			if !first && w != from {
				silent = from.unreachable
				return plat.ErrUnknown // the connection ended with the incarnation
			}
			from, out.Reply = w, w.reply()
			if err := w.checkFence(n.Fence); err != nil {
				return err
			}
			if first {
				ws.ackEnds(w, n.AckedThrough)
				if n.UntilMs > w.clock() {
					ws.extend(w, n.UntilMs)
				}
			}
			out, changed = ws.report(w), w.changed
			return nil
		})
		switch {
		case silent:
			return out, errAfter(ctx, workerTimeout, plat.ErrUnknown)
		case !first && (errors.Is(err, plat.ErrUnavailable) || errors.Is(err, runs.ErrIncarnation)):
			return out, fmt.Errorf("%w: %w", plat.ErrUnknown, err) // it was carried out before the wait
		}
		if err != nil || n.WaitMs == 0 || len(out.Ended) > 0 || changed == nil {
			return out, err
		}
		select {
		case <-changed:
		case <-wait:
			n.WaitMs = 0 // the clock and the runs are those at the end of the wait
		case <-ctx.Done():
			return out, fmt.Errorf("%w: %w", plat.ErrUnknown, ctx.Err())
		}
	}
}

// ackEnds removes the ends up to a number, which are acknowledged.
func (ws *WorkerSet) ackEnds(w *workerState, through int64) {
	w.unackedEnds = slices.DeleteFunc(w.unackedEnds, func(e runs.End) bool {
		if e.Number > through {
			return false
		}
		ws.ackEnd(w, e)
		return true
	})
}

// report returns the worker's active runs and unacknowledged ends; ws.mu is held.
func (ws *WorkerSet) report(w *workerState) runs.Report {
	r := runs.Report{Reply: runs.Reply{ClockMs: w.clock(), StartedMs: w.StartedMs}, Ended: slices.Clone(w.unackedEnds[:min(len(w.unackedEnds), maxEndsListed)])}
	for t, v := range w.running {
		percent := 50
		if v.step.LongRunning && time.Since(v.started) >= startupTime {
			percent = 100
		}
		r.Running = append(r.Running, runs.Running{Task: t, Run: v.run, Percent: percent, Checkpoint: ws.checkpoint(v)})
	}
	for _, e := range r.Ended {
		if e.Outcome == runs.Done {
			ws.reportedDone[e.Task] = true
		}
	}
	return r
}
