package fakes

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// WorkerSet is a set of in-memory workers that run subtasks on orders, hold leases,
// refuse lower fencing tokens, and check the promises that are made to them.
// Times are those of package time, so that it runs in a synctest bubble.
type WorkerSet struct {
	// DecideRun decides how long a run takes and how it ends.
	DecideRun func(t runs.Task, run int) (time.Duration, runs.Outcome)
	// InjectFault decides what becomes of an order; nil is Smooth.
	InjectFault func(worker string, op string) CallFault
	// OnAckedEnd is called for each end that a worker is told to forget, unless nil;
	// what it returns is a broken promise.
	OnAckedEnd func(e runs.End) string
	// MaxLease is the longest lease.
	MaxLease time.Duration

	mu      sync.Mutex
	workers map[string]*workerState
	jobs    map[string]*steps.Job
	ended   map[runs.Task]bool // ended done, and somebody has read so
	done    map[runs.Task]bool // ended done, and taken note of
	failed  map[runs.Task]int  // ends that were taken note of
	fails   map[runs.Task]int  // all ends by failure
	cancels map[string]time.Time
	faults  []string
	starts  int
	alone   int
	begun   map[runs.Task]time.Time // when each was started last
	tickets map[string]time.Time    // when each was given

	refusedTickets int
}

// workerState is one worker of a Crew.
type workerState struct {
	hosts.Worker
	up      bool
	cut     bool // calls get no answer, runs go on
	fence   int64
	epoch   time.Time // zero of its clock
	until   time.Time
	lapse   *time.Timer
	running map[runs.Task]*worked
	barred  map[runs.Task]int // highest run that ended or was stopped
	ends    []runs.End
	endedAt map[int64]time.Time // by number
	lapsed  time.Time           // when a lease that ended last had work
	count   int64
	used    hosts.Resources
	changed chan struct{}
	// drained is when the worker was marked as leaving, or joined as such.
	drained time.Time
}

// worked is a run on a worker.
type worked struct {
	run   int
	step  *steps.Step
	timer *time.Timer
	since time.Time
}

// Times of workers.
const (
	crewLatency = time.Millisecond
	crewTimeout = 700 * time.Millisecond
	crewDelay   = 3 * time.Second
	crewStartup = 300 * time.Millisecond // of lasting subtasks
	crewStop    = 100 * time.Millisecond
	crewGang    = 3 * time.Second // that a gang's member waits for the others
)

// NewWorkerSet returns a crew without workers.
func NewWorkerSet(holdMax time.Duration) *WorkerSet {
	return &WorkerSet{
		MaxLease: holdMax, workers: map[string]*workerState{}, jobs: map[string]*steps.Job{}, done: map[runs.Task]bool{},
		ended: map[runs.Task]bool{}, failed: map[runs.Task]int{}, fails: map[runs.Task]int{}, cancels: map[string]time.Time{},
		begun: map[runs.Task]time.Time{},
	}
}

// Join adds a worker, or a new incarnation of one.
func (c *WorkerSet) Join(w hosts.Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	w.StartedMs = now.UnixMilli()
	c.workers[w.ID] = &workerState{
		Worker: w, up: true, epoch: now.Add(-time.Minute), running: map[runs.Task]*worked{}, barred: map[runs.Task]int{},
		endedAt: map[int64]time.Time{}, drained: now, changed: make(chan struct{}),
	}
}

// Crash ends a worker's life; all that runs there ends unseen.
func (c *WorkerSet) Crash(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	w.up = false
	for t, r := range w.running {
		r.timer.Stop()
		delete(w.running, t)
	}
}

// SetUnreachable makes a worker unreachable while its runs go on.
func (c *WorkerSet) SetUnreachable(id string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].cut = cut
}

// Drain marks a worker as leaving.
func (c *WorkerSet) Drain(id string, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	w.Draining, w.DrainLeft, w.drained = true, left, time.Now()
}

// Registered returns the workers that the platform would list.
func (c *WorkerSet) Registered() []hosts.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []hosts.Worker
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		if w := c.workers[id]; w.up {
			out = append(out, w.Worker)
		}
	}
	return out
}

// Starts returns the number of runs that began.
func (c *WorkerSet) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// Running returns the runs at work, by subtask.
func (c *WorkerSet) Running() map[runs.Task]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[runs.Task]string{}
	for id, w := range c.workers {
		for t := range w.running {
			out[t] = id
		}
	}
	return out
}

// call makes one call to a worker.
func (c *WorkerSet) call(ctx context.Context, to runs.Target, op string, do func(w *workerState) error) error {
	trouble := c.trouble(to.ID, op)
	out := plat.ErrUnknown // unless it gets there
	act := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if w := c.workers[to.ID]; w != nil && w.up && !w.cut {
			out = do(w)
		}
	}
	c.mu.Lock()
	w := c.workers[to.ID]
	reach := w != nil && w.up && !w.cut
	c.mu.Unlock()
	switch {
	case w != nil && !w.up:
		return errAfter(ctx, crewLatency, plat.ErrUnavailable) // refused
	case !reach, trouble == DropCall:
		return errAfter(ctx, crewTimeout, plat.ErrUnknown)
	case trouble == RefuseCall:
		return errAfter(ctx, crewLatency, plat.ErrUnavailable)
	case trouble == DropAnswer:
		act()
		return errAfter(ctx, crewTimeout, plat.ErrUnknown)
	case trouble == DelayCall:
		// Whoever ordered it may be gone by then; an incarnation that is gone
		// carries out nothing.
		time.AfterFunc(crewDelay, func() { c.onlyBy(w, act) })
		return errAfter(ctx, crewTimeout, plat.ErrUnknown)
	}
	// An order that is on its way arrives even if its sender ends.
	time.Sleep(crewLatency)
	act()
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", plat.ErrUnknown, err)
	}
	return out
}

// onlyBy carries out a late order if the incarnation that received it lives.
func (c *WorkerSet) onlyBy(w *workerState, act func()) {
	c.mu.Lock()
	same := c.workers[w.ID] == w
	c.mu.Unlock()
	if same {
		act()
	}
}

// slowClock is the share by which the workers' clocks are slow.
const slowClock = 0.02

func (w *workerState) clock() int64 {
	return time.Duration(float64(time.Since(w.epoch)) * (1 - slowClock)).Milliseconds()
}

func (w *workerState) reply() runs.Reply {
	return runs.Reply{ClockMs: w.clock(), StartedMs: w.StartedMs}
}

// hear takes in a fencing token.
func (w *workerState) hear(fence int64) error {
	if fence < w.fence {
		return runs.ErrFence
	}
	w.fence = fence
	return nil
}

// extend takes in a lease.
func (c *WorkerSet) extend(w *workerState, until int64) {
	until = min(until, w.clock()+c.MaxLease.Milliseconds())
	end := w.epoch.Add(time.Duration(float64(until) / (1 - slowClock) * float64(time.Millisecond)))
	if !end.After(w.until) {
		return
	}
	w.until = end
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Until(end), func() { c.lapsed(w) })
}

func (c *WorkerSet) lapsed(w *workerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, r := range w.running {
		if !time.Now().Before(w.until) {
			w.lapsed = time.Now()
			c.end(w, t, r, runs.LeaseExpired)
		}
	}
}

// end ends a run and lists its end.
func (c *WorkerSet) end(w *workerState, t runs.Task, r *worked, how runs.Outcome) {
	if w.running[t] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, t)
	w.barred[t] = max(w.barred[t], r.run)
	if !r.step.Fills {
		w.used.CPU -= r.step.CPU
	}
	w.used.Mem -= r.step.Mem
	w.count++
	if how == runs.Failed {
		c.fails[t]++
	}
	w.endedAt[w.count] = time.Now()
	w.ends = append(w.ends, runs.End{Number: w.count, Task: t, Run: r.run, Outcome: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

// Start begins a run.
func (c *WorkerSet) Start(ctx context.Context, to runs.Target, s runs.Start) (r runs.Reply, err error) {
	err = c.call(ctx, to, "start", func(w *workerState) error {
		r = w.reply()
		return c.start(w, s)
	})
	return r, err
}

func (c *WorkerSet) start(w *workerState, s runs.Start) error {
	if err := w.hear(s.Fence); err != nil {
		return err
	}
	if s.UntilMs <= w.clock() {
		return runs.ErrLeaseOver
	}
	c.extend(w, s.UntilMs)
	if r := w.running[s.Task]; r != nil && r.run == s.Run {
		return nil
	}
	if s.Run <= w.barred[s.Task] || w.running[s.Task] != nil {
		return runs.ErrStaleRun
	}
	j := c.jobs[s.Task.Job]
	if j == nil {
		c.fault("UNASKED %s", s.Task)
		return nil
	}
	if err := c.checkTicket(w, s); err != nil {
		return err
	}
	step := &j.Steps[s.Task.Step]
	c.check(w, s, j, step)
	c.starts++
	c.begun[s.Task] = time.Now()
	length, how := c.DecideRun(s.Task, s.Run)
	r := &worked{run: s.Run, step: step, since: time.Now()}
	r.timer = time.AfterFunc(length, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.end(w, s.Task, r, how)
		if step.Gang {
			c.endGang(s.Task, s.Run, how)
		}
	})
	if step.LongRunning {
		r.timer.Stop()
	}
	if step.Gang {
		time.AfterFunc(crewGang, func() { c.leaveAlone(w, s.Task, r) })
	}
	w.running[s.Task] = r
	if !step.Fills {
		w.used.CPU += step.CPU
	}
	w.used.Mem += step.Mem
	return nil
}

// leaveAlone ends a gang's member whose others have not come.
func (c *WorkerSet) leaveAlone(w *workerState, t runs.Task, r *worked) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.running[t] != r {
		return
	}
	n := 0
	for _, o := range c.workers {
		for other, v := range o.running {
			if other.ParentStep() == t.ParentStep() && v.run == r.run {
				n++
			}
		}
	}
	if n < r.step.Count {
		c.alone++
		c.end(w, t, r, runs.GangIncomplete)
	}
}

// GangTimeouts returns how often a gang's member waited in vain.
func (c *WorkerSet) GangTimeouts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alone
}

// endGang ends the other members of a gang together with one.
func (c *WorkerSet) endGang(one runs.Task, run int, how runs.Outcome) {
	if how != runs.Done {
		how = runs.GangBroken
	}
	for _, w := range c.workers {
		for t, r := range w.running {
			if t.Job == one.Job && t.Occur == one.Occur && t.Step == one.Step && r.run == run {
				c.end(w, t, r, how)
			}
		}
	}
}

// Stop ends a run and bars it.
func (c *WorkerSet) Stop(ctx context.Context, to runs.Target, s runs.Stop) (r runs.Reply, err error) {
	err = c.call(ctx, to, "stop", func(w *workerState) error {
		r = w.reply()
		if err := w.hear(s.Fence); err != nil {
			return err
		}
		w.barred[s.Task] = max(w.barred[s.Task], s.Run)
		if run := w.running[s.Task]; run != nil && run.run == s.Run {
			time.AfterFunc(crewStop, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.end(w, s.Task, run, runs.Stopped)
			})
		}
		return nil
	})
	return r, err
}

// Pace does nothing but hear the token.
func (c *WorkerSet) Pace(ctx context.Context, to runs.Target, p runs.Pace) (r runs.Reply, err error) {
	err = c.call(ctx, to, "pace", func(w *workerState) error {
		r = w.reply()
		return w.hear(p.Fence)
	})
	return r, err
}

// Renew extends the lease, forgets ends and reports.
func (c *WorkerSet) Renew(ctx context.Context, to runs.Target, n runs.Renew) (out runs.Report, err error) {
	wait := time.After(time.Duration(n.WaitMs) * time.Millisecond)
	for first := true; ; first = false {
		var changed chan struct{}
		err = c.call(ctx, to, "renew", func(w *workerState) error {
			if err := w.hear(n.Fence); err != nil {
				return err
			}
			if first {
				c.forget(w, n.AckedThrough)
				if n.UntilMs > w.clock() {
					c.extend(w, n.UntilMs)
				}
			}
			out, changed = c.report(w), w.changed
			return nil
		})
		if err != nil || n.WaitMs == 0 || len(out.Ended) > 0 || changed == nil {
			return out, err
		}
		select {
		case <-changed:
		case <-wait:
			return out, nil
		case <-ctx.Done():
			return out, fmt.Errorf("%w: %w", plat.ErrUnknown, ctx.Err())
		}
	}
}

// forget drops the ends up to a number: they are taken note of.
func (c *WorkerSet) forget(w *workerState, noted int64) {
	w.ends = slices.DeleteFunc(w.ends, func(e runs.End) bool {
		if e.Number > noted {
			return false
		}
		c.note(w, e)
		return true
	})
}

func (c *WorkerSet) report(w *workerState) runs.Report {
	r := runs.Report{Reply: w.reply(), Ended: slices.Clone(w.ends)}
	for t, v := range w.running {
		percent := 50
		if v.step.LongRunning && time.Since(v.since) >= crewStartup {
			percent = 100
		}
		r.Running = append(r.Running, runs.Running{Task: t, Run: v.run, Percent: percent})
	}
	for _, e := range w.ends {
		if e.Outcome == runs.Done {
			c.ended[e.Task] = true
		}
	}
	return r
}
