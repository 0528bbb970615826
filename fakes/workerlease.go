package fakes

import (
	"time"

	"shallotpaddle/runs"
)

// clockSlowdown is the fraction by which the workers' clocks run slow.
const clockSlowdown = 0.02

// clock returns the worker's clock in milliseconds.
func (w *workerState) clock() int64 {
	return time.Duration(float64(time.Since(w.clockStart)) * (1 - clockSlowdown)).Milliseconds()
}

// reply returns the answer to an order. Only reports tell the incarnation.
func (w *workerState) reply() runs.Reply { return runs.Reply{ClockMs: w.clock()} }

// checkFence refuses a fencing token lower than the highest one received, else records
// it.
func (w *workerState) checkFence(fence int64) error {
	if fence < w.fence {
		return runs.ErrFence
	}
	w.fence = fence
	return nil
}

// extend extends the worker's lease to until, in milliseconds of its clock, at most to
// MaxLease from now; it never shortens the lease.
func (ws *WorkerSet) extend(w *workerState, until int64) {
	until = min(until, w.clock()+ws.MaxLease.Milliseconds())
	end := w.clockStart.Add(time.Duration(float64(until) / (1 - clockSlowdown) * float64(time.Millisecond)))
	if !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(time.Until(end), func() { ws.expireLease(w) })
}

// expireLease ends the worker's runs if its lease has not been extended since.
func (ws *WorkerSet) expireLease(w *workerState) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if time.Now().Before(w.leaseEnd) {
		return
	}
	w.leaseExpiredAt = time.Now()
	for t, r := range w.running {
		ws.end(w, t, r, runs.LeaseExpired)
	}
}
