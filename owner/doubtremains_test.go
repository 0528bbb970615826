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

// A worker that has just answered restarts at once; the start reaches its next incarnation, which is
// cut off, and the owner is killed.
func TestRestartWithinAnswerAge(t *testing.T) {
	for _, gap := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 150 * time.Millisecond} {
		for _, cut := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond} {
			for _, kill := range []time.Duration{-1, 0, time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
				t.Run(fmt.Sprintf("gap %s cut %s kill %s", gap, cut, kill), func(t *testing.T) {
					job, other := fmt.Sprintf("%016x", 1), fmt.Sprintf("%016x", 2)
					withoutFaults(t, 3, func(ctx context.Context, pool *testPool) {
						pool.workers.DecideRun = func(id runs.Task, _ int) (time.Duration, runs.Outcome) {
							if id.Job == other {
								return 100 * time.Millisecond, runs.Done
							}
							return 20 * time.Second, runs.Done
						}
						time.Sleep(20 * time.Second)
						// Ends on all workers make them answer polls now.
						pool.submit(&steps.Job{ID: other, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 6, CPU: 1000}}})
						for pool.state(other).State != steps.Completed {
							time.Sleep(5 * time.Millisecond)
						}
						w := pool.workers.Registered()[0]
						var mu sync.Mutex
						started := false
						pool.workers.InjectFault = func(worker, op string) fakes.CallFault {
							mu.Lock()
							defer mu.Unlock()
							if worker == w.ID && op == "start" && !started {
								started = true
								time.AfterFunc(cut, func() { pool.workers.SetUnreachable(w.ID, true) })
								time.AfterFunc(cut+9*time.Second, func() { pool.workers.SetUnreachable(w.ID, false) })
								if kill >= 0 {
									time.AfterFunc(cut+kill, func() {
										if e := pool.leader(); e != nil {
											pool.kill(ctx, e)
										}
									})
								}
							}
							return fakes.NoFault
						}
						pool.workers.Crash(w.ID)
						pool.workers.Join(w)
						time.Sleep(gap)
						pool.submit(&steps.Job{ID: job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 6, CPU: 1000}}})
						time.Sleep(time.Minute)
					})
				})
			}
		}
	}
}

// As TestSuccessorHoldsBackUnansweredStarts; the owner is killed early, or the next incarnation isn't
// registered, or the owner can't reach the store from before the start until it is killed.
func TestLateStart(t *testing.T) {
	for _, late := range []time.Duration{6 * time.Second, 8 * time.Second, 11 * time.Second} {
		for _, kill := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond, 1100 * time.Millisecond, 1300 * time.Millisecond, 1500 * time.Millisecond, -1} {
			for _, hidden := range []bool{false, true} {
				for _, cut := range []bool{false, true} {
					t.Run(fmt.Sprintf("late %s kill %s hidden %v cut %v", late, kill, hidden, cut), func(t *testing.T) {
						testLate(t, late, kill, hidden, cut, false)
					})
				}
			}
		}
	}
}

// The owner can't reach the store while its start gets no answer, and goes on by the word of the workers.
func TestLateStartWithoutStore(t *testing.T) {
	for _, late := range []time.Duration{6 * time.Second, 8 * time.Second, 11 * time.Second} {
		for _, kill := range []time.Duration{1500 * time.Millisecond, 3 * time.Second} {
			for _, cut := range []bool{false, true} {
				t.Run(fmt.Sprintf("late %s kill %s cut %v", late, kill, cut), func(t *testing.T) {
					testLate(t, late, kill, false, cut, true)
				})
			}
		}
	}
}

func testLate(t *testing.T, late, kill time.Duration, hidden, cut, noStore bool) {
	job := fmt.Sprintf("%016x", 1)
	withoutFaults(t, 3, func(ctx context.Context, pool *testPool) {
		pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 40 * time.Second, runs.Done }
		var mu sync.Mutex
		var first hosts.Worker
		pool.workers.InjectFault = func(worker, op string) fakes.CallFault {
			mu.Lock()
			defer mu.Unlock()
			if op != "start" || first.ID != "" {
				return fakes.NoFault
			}
			first = pool.registered(worker)
			s := runs.Start{Task: runs.Task{Job: job}, Run: 1, UntilMs: time.Hour.Milliseconds(), Fence: pool.fence()}
			pool.workers.SetUnreachable(worker, true)
			if noStore {
				if e := pool.leader(); e != nil {
					time.AfterFunc(0, func() { pool.setCut(e, true) })
				}
			}
			time.AfterFunc(100*time.Millisecond, func() { pool.workers.Crash(worker) })
			if kill >= 0 {
				time.AfterFunc(kill, func() {
					if e := pool.leader(); e != nil {
						pool.kill(ctx, e)
					}
				})
			}
			time.AfterFunc(late-time.Millisecond, func() {
				if hidden {
					pool.setList(func() []hosts.Worker {
						var out []hosts.Worker
						for _, w := range pool.workers.Registered() {
							if w.ID != worker {
								out = append(out, w)
							}
						}
						return out
					})
				}
				pool.workers.Join(first)
			})
			time.AfterFunc(late, func() {
				_, _ = pool.workers.Start(context.Background(), runs.Target{ID: worker}, s)
				if cut {
					pool.workers.SetUnreachable(worker, true)
					time.AfterFunc(9*time.Second, func() { pool.workers.SetUnreachable(worker, false) })
				}
			})
			return fakes.NoFault
		}
		pool.submit(&steps.Job{ID: job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 1000}}})
		time.Sleep(100 * time.Second)
		require.True(t, pool.state(job).State == steps.Completed, "LOST %s", job)
	})
}
