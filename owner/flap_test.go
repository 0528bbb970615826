package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// flap makes a worker go down and up by turns, n times.
func (pool *testPool) flap(w hosts.Worker, n int, up, down time.Duration) {
	for range n {
		time.Sleep(up)
		pool.workers.Crash(w.ID)
		time.Sleep(down)
		pool.workers.Join(w)
	}
}

// LOST: a sound job was given up as the only worker that can run it went down and up by turns
// (review/7), whatever its turns.
func TestJobOutlastsFlappingHost(t *testing.T) {
	for _, up := range []int{50, 100, 200, 300, 500, 700, 1000, 1200, 1500, 2200, 3000} {
		for _, down := range []int{200, 700, 2500} {
			for name, step := range map[string]steps.Step{
				"plain": {Count: 1, CPU: 1000, Label: onlyLabel},
				"gang":  {Count: 2, CPU: 1000, Label: onlyLabel, Gang: true},
			} {
				t.Run(fmt.Sprint(name, up, down), func(t *testing.T) {
					pool := withoutFaults(t, 5, func(_ context.Context, pool *testPool) {
						pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 3 * time.Second, runs.Done }
						w := pool.joinOnly()
						pool.submit(&steps.Job{ID: crashingJob, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{step}})
						pool.flap(w, 30, time.Duration(up)*time.Millisecond, time.Duration(down)*time.Millisecond)
						time.Sleep(30 * time.Second)
					})
					require.Equal(t, steps.Completed, pool.state(crashingJob).State)
				})
			}
		}
	}
}

// LOST: the same beside other work, whose runs are young whenever the worker goes down.
func TestJobsOutlastFlappingHost(t *testing.T) {
	pool := withoutFaults(t, 5, func(_ context.Context, pool *testPool) {
		pool.runsDone()
		w := pool.joinOnly()
		for i := range 20 {
			pool.submit(&steps.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 4, CPU: 500, Label: onlyLabel}}})
		}
		pool.flap(w, 20, 900*time.Millisecond, 500*time.Millisecond)
		time.Sleep(60 * time.Second)
	})
	pool.requireOnlyFailed(t)
}

// LOST: jobs were given up as the racks of their pool crashed by turns: a trial is no proof while
// hosts crash by themselves.
func TestJobsOutlastRacksThatCrash(t *testing.T) {
	for offset := range 8 {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			pool := withoutFaults(t, 8, func(_ context.Context, pool *testPool) {
				pool.runsDone()
				go pool.submitSound(60, 200*time.Millisecond)
				time.Sleep(time.Duration(50*offset) * time.Millisecond)
				list := pool.workers.Registered()
				for i := range 40 {
					rack := list[4*(i%2):][:4]
					for _, w := range rack {
						pool.workers.Crash(w.ID)
					}
					time.Sleep(300 * time.Millisecond)
					for _, w := range rack {
						pool.workers.Join(w)
					}
					time.Sleep(150 * time.Millisecond)
				}
				time.Sleep(2 * time.Minute)
			})
			pool.requireOnlyFailed(t)
		})
	}
}

// BUDGET: a subtask that crashes its worker is given up as well where it can run on one only, where
// that has crashed by itself before, and beside hosts that go on crashing.
func TestCrashingSubtaskIsGivenUpBesideFlappingHosts(t *testing.T) {
	for name, c := range map[string]struct {
		label   string
		flapped int // the only worker, before
		beside  int // another worker, meanwhile
	}{
		"one host":                  {onlyLabel, 0, 0},
		"one host, after its turns": {onlyLabel, 8, 0},
		"many hosts":                {"", 0, 30},
		"one host, others crash":    {onlyLabel, 0, 30},
	} {
		t.Run(name, func(t *testing.T) {
			crashes := 0
			pool := withoutFaults(t, 5, func(_ context.Context, pool *testPool) {
				pool.crashes(crashingJob)
				w, other := pool.joinOnly(), pool.workers.Registered()[0]
				pool.flap(w, c.flapped, 500*time.Millisecond, 300*time.Millisecond)
				pool.submit(&steps.Job{ID: crashingJob, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 1000, Label: c.label}}})
				go pool.submitSound(30, 400*time.Millisecond)
				pool.flap(other, c.beside, 500*time.Millisecond, 300*time.Millisecond)
				time.Sleep(90 * time.Second)
				crashes = pool.workers.Crashes(runs.Task{Job: crashingJob})
			})
			pool.requireOnlyFailed(t, crashingJob)
			require.LessOrEqual(t, crashes, 5)
		})
	}
}

// LOST: the same while owners are killed: trials that were announced, and that no owner came to start,
// counted as crashes.
func TestJobOutlastsFlappingHostAndOwners(t *testing.T) {
	for _, up := range []int{100, 300, 500, 700, 1000, 1200, 1500} {
		for _, every := range []int{2500, 3300, 4000, 6100} {
			t.Run(fmt.Sprint(up, "-", every), func(t *testing.T) {
				pool := withoutFaults(t, 5, func(ctx context.Context, pool *testPool) {
					pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 3 * time.Second, runs.Done }
					w := pool.joinOnly()
					pool.submit(&steps.Job{ID: crashingJob, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 1000, Label: onlyLabel}}})
					go func() {
						for range 8 {
							time.Sleep(time.Duration(every) * time.Millisecond)
							if e := pool.leader(); e != nil {
								pool.kill(ctx, e)
							}
						}
					}()
					pool.flap(w, 30, time.Duration(up)*time.Millisecond, 700*time.Millisecond)
					time.Sleep(60 * time.Second)
				})
				require.Equal(t, steps.Completed, pool.state(crashingJob).State)
			})
		}
	}
}
