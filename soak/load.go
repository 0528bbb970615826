package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotpaddle/fakes/site"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

const (
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 3 * time.Second
	// maxTries is how often a caller hands a job in that got no answer.
	maxTries = 5
	// retryPause is the pause between two tries.
	retryPause = 200 * time.Millisecond
	// askPeriod is how often a caller asks for the state of a job.
	askPeriod = 400 * time.Millisecond
	// maxOpen is the number of jobs from which on no more are handed in, so that faults
	// leave no backlog that outlasts the soak.
	maxOpen = 120
	// recoverLimit is the longest time from the end of the last fault until a hand-in is
	// accepted, the users' RecoveryS.
	recoverLimit = 12 * time.Second
	// lingerLimit is how long a subtask may run on after all jobs have ended.
	lingerLimit = 4 * time.Second
)

// status is what a caller knows of a job.
type status uint8

const (
	sent status = iota
	unknown
	refused
	accepted
	ended
)

func (s status) String() string {
	return [...]string{"sent", "unknown", "refused", "accepted", "ended"}[s]
}

// load is a job that is handed in, and what it does.
type load struct {
	steps.Job                // its Workspace is the one that is stored
	space      string        // workspace of its caller, as that was named at first
	length     time.Duration // of a run
	failFirst  int           // number of runs of a subtask that fail
	cancelAt   time.Duration // after its acceptance; 0 for never
	begun      bool          // a subtask has started
	status     status
	cancelSent bool
	state      string // that was shown last
}

// lasts is a failFirst that no number of runs reaches.
const lasts = 1 << 20

// newLoad draws a job.
func newLoad(r *rand.Rand, now time.Time) *load {
	l := &load{length: time.Duration(100+r.IntN(700)) * time.Millisecond}
	l.ID, l.Payload, l.MaxAttempts = fmt.Sprintf("%016x", r.Uint64()), fmt.Sprintf("work %d", r.IntN(1000)), maxAttempts
	step := func(after ...int) steps.Step {
		return steps.Step{Count: 1 + r.IntN(5), CPU: 400 + 200*r.IntN(6), Mem: 200, EstimateMs: l.length.Milliseconds(), After: after}
	}
	l.Queue = []string{"soak", "bake"}[r.IntN(2)]
	l.Steps = []steps.Step{step()}
	first := &l.Steps[0]
	switch n := r.IntN(100); {
	case n < 25:
		for i := range 1 + r.IntN(2) {
			l.Steps = append(l.Steps, step(i))
		}
		l.failFirst = r.IntN(2)
	case n < 35:
		l.failFirst = 1 + r.IntN(maxAttempts-1)
	case n < 40:
		l.failFirst = lasts
	case n < 50:
		first.MaxPerWorker, first.CPU = 1, 400
	case n < 58:
		first.Gang, first.Count = true, 2+r.IntN(3)
	case n < 65:
		l.Repetitions, l.FirstMs, l.IntervalMs = 2, now.Add(time.Second).UnixMilli(), 1000
	case n < 68:
		first.LongRunning, first.Count, first.CPU = true, 2, 400
	}
	if r.IntN(10) == 0 && !l.LongRunning() {
		l.cancelAt = time.Duration(1+r.IntN(1500)) * time.Millisecond
	}
	return l
}

// decideRun returns how long a run takes and how it ends. The worker set is locked.
func (s *Soak) decideRun(t runs.Task, _ int) (time.Duration, runs.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[t.Job]
	l.begun = true
	if l.status == refused {
		s.check("REFUSED", false, "%s started after its hand-in was refused", t)
	}
	if s.starts[t]++; s.starts[t] <= l.failFirst {
		return l.length, runs.Failed
	}
	return l.length, runs.Done
}

// runLoad hands jobs in until the traffic ends; each is followed until life ends.
func (s *Soak) runLoad(traffic, life context.Context, jobs *errgroup.Group, r *rand.Rand) {
	for traffic.Err() == nil {
		if s.openJobs() < maxOpen {
			s.submit(life, jobs, newLoad(r, time.Now()), r.Uint64())
		}
		wait(traffic, time.Duration(r.ExpFloat64()/s.opt.Rate*float64(time.Second)))
	}
}

func (s *Soak) openJobs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.loads {
		if l.status == sent || l.status == accepted {
			n++
		}
	}
	return n
}

// submit hands a job in, and follows it.
func (s *Soak) submit(life context.Context, jobs *errgroup.Group, l *load, seed uint64) {
	if s.opt.plant.load != nil {
		s.opt.plant.load(l)
	}
	if s.spaces != nil {
		s.spaces.assign(l)
	}
	s.mu.Lock()
	s.loads[l.ID] = l
	s.mu.Unlock()
	s.workers.AddJob(&l.Job)
	jobs.Go(func() error {
		c := &client{soak: s, load: l, rand: rand.New(rand.NewPCG(seed, streamLoad))}
		if c.handIn(life) {
			c.follow(life)
		}
		return nil
	})
}

// client is the caller of one job.
type client struct {
	soak *Soak
	load *load
	rand *rand.Rand
}

// address returns the address of one of the entries.
func (c *client) address() string {
	return c.soak.entries[c.rand.IntN(len(c.soak.entries))].Callers
}

func (c *client) setStatus(to status) {
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	c.load.status = to
}

// handIn hands the job in, and repeats that until there is an answer. It returns whether
// the job was accepted.
func (c *client) handIn(ctx context.Context) bool {
	job := &c.load.Job
	if c.soak.opt.plant.apart != nil {
		job = c.soak.opt.plant.apart(*job)
	}
	for try := range maxTries {
		begun := time.Now()
		address, key := c.address(), c.key()
		word := c.soak.caller.Submit(ctx, address, key, job)
		c.soak.checkKey(address, job.Queue, key, begun, word)
		switch word {
		case site.Yes:
			c.setStatus(accepted)
			c.soak.checks.accepted(begun)
			return true
		case site.Rejected, site.NoQueue:
			if try == 0 {
				c.refuse()
				return false
			}
		}
		wait(ctx, retryPause)
	}
	c.setStatus(unknown)
	return false
}

// refuse records that the only hand-in of the job was refused.
func (c *client) refuse() {
	c.soak.mu.Lock()
	c.load.status = refused
	begun := c.load.begun
	c.soak.mu.Unlock()
	c.soak.check("REFUSED", !begun, "%s was refused and had started", c.load.ID)
}

// follow asks for the state of the job until it has ended, and cancels it if it is to be.
func (c *client) follow(life context.Context) {
	l, cancelAt := c.load, time.Now().Add(c.load.cancelAt)
	settling := c.soak.settling
	for life.Err() == nil {
		if l.LongRunning() {
			select {
			case <-settling:
				c.requireAtWork(life)
				c.cancel(life)
				settling = nil
			default:
			}
		} else if l.cancelAt > 0 && !l.cancelSent && time.Now().After(cancelAt) {
			c.cancel(life)
		}
		if c.ask(life); l.hasEnded() {
			c.setStatus(ended)
			c.soak.check("ENDS", true, "")
			return
		}
		wait(life, askPeriod)
	}
	if !c.soak.interrupted() {
		c.soak.check("ENDS", false, "%s is %q when the soak ends", l.ID, l.state)
	}
}

// askers is the number of callers that ask again for jobs that have ended.
const askers = 8

// askAgain asks for all jobs that have ended once more: they are known, and as they were.
func (s *Soak) askAgain(ctx context.Context, r *rand.Rand) {
	var list []*load
	s.mu.Lock()
	for _, l := range s.loads {
		if l.status == ended {
			list = append(list, l)
		}
	}
	s.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(askers)
	for _, l := range list {
		c := &client{soak: s, load: l, rand: rand.New(rand.NewPCG(r.Uint64(), streamLoad))}
		g.Go(func() error {
			before, answered := l.state, false
			for try := 0; try < maxTries && !answered && ctx.Err() == nil; try++ {
				answered = c.ask(ctx)
			}
			if ctx.Err() == nil {
				s.check("STATE", answered && l.state == before, "%s was %q, and is %q when asked again, answered: %v", l.ID, before, l.state, answered)
			}
			return nil
		})
	}
	_ = g.Wait() // no caller returns an error
}

// ask asks for the state of the job, and returns whether there was an answer.
func (c *client) ask(ctx context.Context) bool {
	l, s, address, key, begun := c.load, c.soak, c.address(), c.seeKey(), time.Now()
	word, state := s.caller.State(ctx, address, key, &l.Job)
	s.checkKey(address, l.Queue, key, begun, word)
	if word == site.Gone && (s.spaces == nil || s.spaces.shows(key, l.space)) {
		s.check("KNOWN", false, "%s is not known at %s", l.ID, address)
	}
	if word != site.Yes {
		return false
	}
	s.check("KNOWN", true, "")
	l.state = state
	s.check("STATE", c.isTrue(state), "%s is shown as %q", l.ID, state)
	return true
}

// hasEnded tells whether the state that was shown last is a final one.
func (l *load) hasEnded() bool {
	return slices.Contains([]string{"completed", "failed", "cancelled"}, l.state)
}

// isTrue tells whether a state can be that of the job.
func (c *client) isTrue(state string) bool {
	l, workers := c.load, c.soak.workers
	switch state {
	case "queued", "running":
		return true
	case "completed":
		return workers.JobDone(l.ID)
	case "failed":
		return workers.MaxFailures(l.ID) >= l.MaxAttempts
	case "cancelled":
		return l.cancelSent
	default:
		return false
	}
}

// cancel cancels the job, and repeats that until it is acknowledged.
func (c *client) cancel(ctx context.Context) {
	c.load.cancelSent = true
	for ctx.Err() == nil {
		if c.soak.opt.plant.noCancel || c.soak.caller.Cancel(ctx, c.address(), c.seeKey(), &c.load.Job) == site.Yes {
			c.soak.workers.RecordCancel(c.load.ID)
			return
		}
		wait(ctx, retryPause)
	}
}

// requireAtWork waits until all subtasks of a job that lasts are running.
func (c *client) requireAtWork(ctx context.Context) {
	n := 0
	for ctx.Err() == nil {
		n = 0
		for t := range c.soak.workers.Running() {
			if t.Job == c.load.ID {
				n++
			}
		}
		if n == c.load.Steps[0].Count {
			break
		}
		wait(ctx, askPeriod)
	}
	if c.soak.interrupted() {
		return
	}
	c.soak.check("ENDS", n == c.load.Steps[0].Count, "%s lasts, and %d of %d subtasks are running", c.load.ID, n, c.load.Steps[0].Count)
}

// settle waits after the last fault until hand-ins are accepted and all jobs have ended.
func (s *Soak) settle(ctx context.Context, lastFault time.Time, jobs *errgroup.Group, endLife func(), r *rand.Rand) {
	defer endLife()
	s.awaitRecovery(ctx, lastFault, jobs, r)
	close(s.settling)
	var once sync.WaitGroup
	done := make(chan struct{})
	once.Go(func() {
		_ = jobs.Wait() // no job returns an error
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	endLife()
	once.Wait()
	s.askAgain(ctx, r)
	s.awaitWaves(ctx)
	end := time.Now().Add(lingerLimit)
	for len(s.lingering()) > 0 && time.Now().Before(end) && ctx.Err() == nil {
		wait(ctx, askPeriod)
	}
	if ctx.Err() == nil {
		s.check("UNASKED", len(s.lingering()) == 0, "subtasks run %s after all jobs had ended: %v", lingerLimit, s.lingering())
	}
}

// lingering returns the subtasks that run, but for those of jobs whose callers don't know
// whether they were accepted.
func (s *Soak) lingering() []runs.Task {
	running := slices.Collect(maps.Keys(s.workers.Running()))
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(running, func(t runs.Task) bool { return s.loads[t.Job].status == unknown })
}

// awaitRecovery hands jobs in until one is accepted.
func (s *Soak) awaitRecovery(ctx context.Context, lastFault time.Time, jobs *errgroup.Group, r *rand.Rand) {
	for ctx.Err() == nil {
		l := newLoad(r, time.Now())
		s.submit(ctx, jobs, l, r.Uint64())
		for try := 0; try < 10 && ctx.Err() == nil; try++ {
			wait(ctx, retryPause)
			s.mu.Lock()
			recovered := l.status == accepted || l.status == ended
			s.mu.Unlock()
			if took := time.Since(lastFault); recovered || took > recoverLimit {
				s.check("RECOVER", recovered, "no hand-in accepted %s after the last fault", took)
				return
			}
		}
	}
}
