package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// restartCut is a worker that restarts under its ID, answers a start that was meant for its former
// incarnation, and is cut off soon after.
type restartCut struct {
	longRunning bool
	// uptime is how long the former incarnation had been known, gap the time from the restart to
	// the job, and cutAfter the time from the first start at the worker to the cut.
	uptime, gap, cutAfter time.Duration
	// dark is for how long the worker is silent before its restart.
	dark time.Duration
	// lostPolls is the number of polls of the next incarnation that get no answer.
	lostPolls int
	// kill tells that the owner is killed at the time killAfter after the cut.
	kill      bool
	killAfter time.Duration
}

func (c restartCut) name() string {
	return fmt.Sprintf("long-running %v, up %s, gap %s, cut %s, dark %s, lost %d, kill %v %s", c.longRunning, c.uptime, c.gap, c.cutAfter, c.dark, c.lostPolls, c.kill, c.killAfter)
}

// play plays the case and returns the rules that it broke.
func (c restartCut) play(t *testing.T) {
	job := fmt.Sprintf("%016x", 1)
	withoutFaults(t, 3, func(ctx context.Context, pool *testPool) {
		pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 20 * time.Second, runs.Done }
		time.Sleep(c.uptime)
		w := pool.workers.Registered()[0]
		pool.workers.InjectFault = c.fault(ctx, pool, w)
		if c.dark > 0 {
			pool.workers.SetUnreachable(w.ID, true)
			time.Sleep(c.dark)
		}
		pool.workers.Crash(w.ID)
		pool.workers.Join(w)
		time.Sleep(c.gap)
		pool.submit(&steps.Job{ID: job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 6, CPU: 1000, LongRunning: c.longRunning}}})
		time.Sleep(time.Minute)
		require.True(t, len(pool.workers.Running()) == 6 || pool.state(job).State == steps.Completed, "LOST %s", job)
	})
}

// fault cuts the worker off after its first start, and kills the owner.
func (c restartCut) fault(ctx context.Context, pool *testPool, w hosts.Worker) func(worker, op string) fakes.CallFault {
	var mu sync.Mutex
	started, lost := false, 0
	return func(worker, op string) fakes.CallFault {
		if worker != w.ID {
			return fakes.NoFault
		}
		mu.Lock()
		defer mu.Unlock()
		if op == "start" && !started {
			started = true
			time.AfterFunc(c.cutAfter, func() { pool.workers.SetUnreachable(w.ID, true) })
			time.AfterFunc(c.cutAfter+9*time.Second, func() { pool.workers.SetUnreachable(w.ID, false) })
			if c.kill {
				time.AfterFunc(max(c.cutAfter+c.killAfter, 0), func() {
					if e := pool.leader(); e != nil {
						pool.kill(ctx, e)
					}
				})
			}
		}
		if op == "renew" && started && lost < c.lostPolls {
			lost++
			return fakes.DropAnswer
		}
		return fakes.NoFault
	}
}

// TWICE: a worker restarts under its ID and answers a start that was meant for its former
// incarnation. Its clock has begun anew, so that it takes its longest lease; the owner counts the
// lease by the former clock, gives the worker up when it is cut off, and starts the subtask elsewhere.
func TestStartAnsweredByNextIncarnationBeforeCut(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		for _, gap := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 350 * time.Millisecond, 600 * time.Millisecond} {
			for cut := 2 * time.Millisecond; cut < 1200*time.Millisecond; cut += 97 * time.Millisecond {
				c := restartCut{longRunning: longRunning, uptime: 20 * time.Second, gap: gap, cutAfter: cut}
				t.Run(c.name(), c.play)
			}
		}
	}
}

// TWICE: the same, and the owner is killed around the cut. Its successor can't reach the worker, and
// knows only the former incarnation from the roster.
func TestStartAnsweredByNextIncarnationBeforeOwnerIsKilled(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		for _, gap := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 350 * time.Millisecond} {
			for _, cut := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond} {
				for _, kill := range []time.Duration{-200 * time.Millisecond, 0, 30 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
					c := restartCut{longRunning: longRunning, uptime: 20 * time.Second, gap: gap, cutAfter: cut, kill: true, killAfter: kill}
					t.Run(c.name(), c.play)
				}
			}
		}
	}
}

// TWICE: the same after a silence instead of a refusal, and polls of the next incarnation get no
// answer, so that the owner doesn't hear of it for as long as that takes.
func TestStartAnsweredByNextIncarnationWhosePollsAreLost(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		for _, lost := range []int{0, 1, 2, 4} {
			for gap := 50 * time.Millisecond; gap < time.Second; gap += 300 * time.Millisecond {
				for cut := 300 * time.Millisecond; cut < 2*time.Second; cut += 200 * time.Millisecond {
					c := restartCut{longRunning: longRunning, uptime: 20 * time.Second, dark: 600 * time.Millisecond, gap: gap, lostPolls: lost, cutAfter: cut}
					t.Run(c.name(), c.play)
				}
			}
		}
	}
}
