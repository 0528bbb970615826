package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// maxLost is how long after a loss its subtasks must have started again, by the rule LOST: 3 s
// after 4 s without a further loss.
const maxLost = 7 * time.Second

// restart ends an entry at once and starts it again under its name some time later.
func (pool *testPool) restart(ctx context.Context, e *entry, down time.Duration) {
	pool.end(e)
	time.AfterFunc(down, func() { pool.startEntry(ctx, e.name) })
}

// end ends an entry for good.
func (pool *testPool) end(e *entry) {
	e.stop()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	delete(pool.entries, e.name)
}

// awaitLeader waits for an entry that owns the pool.
func (pool *testPool) awaitLeader() *entry {
	e := pool.leader()
	for ; e == nil; e = pool.leader() {
		time.Sleep(10 * time.Millisecond)
	}
	return e
}

// stoppedRuns watches the given runs for a time and returns those that did not go on.
func (pool *testPool) stoppedRuns(at map[runs.Task]string, d time.Duration) []string {
	stopped := map[string]bool{}
	for begun := time.Now(); time.Since(begun) < d; time.Sleep(50 * time.Millisecond) {
		now := pool.workers.Running()
		for task, worker := range at {
			if now[task] != worker {
				stopped[fmt.Sprintf("%s on %s", task, worker)] = true
			}
		}
	}
	return sortedKeys(stopped)
}

// untilAllRun returns the time until the number of active runs is n again, at most a minute.
func (pool *testPool) untilAllRun(n int) time.Duration {
	begun := time.Now()
	for len(pool.workers.Running()) < n && time.Since(begun) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun)
}

// withLoad runs f on a pool without faults that runs two subtasks and a long-running one for each
// of its workers, which outlast the test.
func withLoad(t *testing.T, workers int, f func(ctx context.Context, p *loadedPool, at map[runs.Task]string)) {
	withoutFaults(t, workers, func(ctx context.Context, pool *testPool) {
		p := newLoadedPool(pool, workers)
		p.submitLongRunning()
		p.submitSteps(time.Hour, steps.Step{Count: 2 * workers, CPU: 1000, MaxPerWorker: 4})
		time.Sleep(3 * time.Second)
		at := pool.workers.Running()
		require.Len(t, at, 3*workers)
		f(ctx, p, at)
	})
}

// LOST: an owner that can't reach the store for 20 s gave up its own leases, though no other
// one could be elected and all workers answered it.
func TestStoreAwayKeepsWorkRunning(t *testing.T) {
	for name, v := range map[string]struct {
		workers int
		// during is called as the store goes away, with the workers.
		during func(pool *testPool, list []hosts.Worker) (lost string)
	}{
		"one worker":    {workers: 1},
		"two workers":   {workers: 2},
		"three workers": {workers: 3},
		"six workers":   {workers: 6},
		"six workers, one answers late": {workers: 6, during: func(pool *testPool, list []hosts.Worker) string {
			slowAnswers(400*time.Millisecond)(pool, list[2])
			return ""
		}},
		"six workers, one is lost": {workers: 6, during: func(pool *testPool, list []hosts.Worker) string {
			pool.workers.SetUnreachable(list[0].ID, true)
			return list[0].ID
		}},
		"three workers, one crashes": {workers: 3, during: func(pool *testPool, list []hosts.Worker) string {
			pool.workers.Crash(list[0].ID)
			return list[0].ID
		}},
		"three workers, one restarts": {workers: 3, during: func(pool *testPool, list []hosts.Worker) string {
			restartAfter(2*time.Second, time.Second)(pool, list[1])
			return list[1].ID
		}},
		"two workers, one is lost": {workers: 2, during: func(pool *testPool, list []hosts.Worker) string {
			pool.workers.SetUnreachable(list[1].ID, true)
			return list[1].ID
		}},
		"workers came and left": {workers: 4, during: func(pool *testPool, list []hosts.Worker) string {
			pool.setStoreAway(false)
			pool.addWorkers(3)
			time.Sleep(2 * time.Second)
			pool.workers.Crash(list[0].ID)
			time.Sleep(10 * time.Second)
			pool.setStoreAway(true)
			return list[0].ID
		}},
	} {
		t.Run(name, func(t *testing.T) {
			withLoad(t, v.workers, func(_ context.Context, p *loadedPool, at map[runs.Task]string) {
				p.setStoreAway(true)
				if v.during != nil {
					lost := v.during(p.testPool, p.workers.Registered())
					for task, worker := range at {
						if worker == lost {
							delete(at, task)
						}
					}
				}
				time.AfterFunc(20*time.Second, func() { p.setStoreAway(false) })
				assert.Empty(t, p.stoppedRuns(at, 45*time.Second), "LOST")
				if len(at) == 3*v.workers {
					assert.Equal(t, len(at), p.workers.Starts())
				}
			})
		})
	}
}

// LOST: subtasks of a worker that was lost together with the owner did not start again in time,
// as the next owner waited for the former one.
func TestTakeoverIsAsQuickAsBefore(t *testing.T) {
	losses := map[string]func(pool *testPool, w hosts.Worker){
		"is cut off": func(pool *testPool, w hosts.Worker) { pool.workers.SetUnreachable(w.ID, true) },
		"crashes":    func(pool *testPool, w hosts.Worker) { pool.workers.Crash(w.ID) },
		"restarts": func(pool *testPool, w hosts.Worker) {
			pool.workers.Crash(w.ID)
			time.AfterFunc(1500*time.Millisecond, func() { pool.workers.Join(w) })
		},
	}
	ends := map[string]func(ctx context.Context, pool *testPool, e *entry){
		"owner is replaced": func(ctx context.Context, pool *testPool, e *entry) { pool.kill(ctx, e) },
		"owner is gone":     func(_ context.Context, pool *testPool, e *entry) { pool.end(e) },
		"owner restarts":    func(ctx context.Context, pool *testPool, e *entry) { pool.restart(ctx, e, time.Second) },
	}
	for _, workers := range []int{3, 6} {
		for _, lost := range []int{0, workers - 1} {
			for loss, lose := range losses {
				for how, end := range ends {
					t.Run(fmt.Sprintf("worker %d of %d %s, %s", lost+1, workers, loss, how), func(t *testing.T) {
						withLoad(t, workers, func(ctx context.Context, p *loadedPool, at map[runs.Task]string) {
							w := p.workers.Registered()[lost]
							rest := runsElsewhere(at, w.ID)
							end(ctx, p.testPool, p.leader())
							lose(p.testPool, w)
							p.requireRestarted(t, at, rest)
						})
					})
				}
			}
		}
	}
}

// runsElsewhere returns the runs on other workers than the given one.
func runsElsewhere(at map[runs.Task]string, lost string) map[runs.Task]string {
	rest := map[runs.Task]string{}
	for task, worker := range at {
		if worker != lost {
			rest[task] = worker
		}
	}
	return rest
}

// requireRestarted checks that the runs of a worker that is lost now start again in time, and that
// the rest go on.
func (p *loadedPool) requireRestarted(t *testing.T, all, rest map[runs.Task]string) {
	t.Helper()
	took := p.untilRestarted(all)
	t.Logf("all run again after %s", took)
	assert.LessOrEqual(t, took, maxLost, "LOST")
	assert.Empty(t, p.stoppedRuns(rest, time.Second), "LOST")
}

// untilRestarted returns the time until the given runs, or later ones of their subtasks, are at
// work on workers that can be reached, at most a minute.
func (p *loadedPool) untilRestarted(all map[runs.Task]string) time.Duration {
	begun := time.Now()
	back := func() bool {
		now, n := p.workers.Running(), 0
		for task := range all {
			if worker := now[task]; worker != "" && !p.workers.Unreachable(worker) {
				n++
			}
		}
		return n == len(all)
	}
	for !back() && time.Since(begun) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun)
}

// LOST: in a pool of two workers, the one that was left is no majority, and the next owner
// waited though the former one's entry had started again.
func TestRestartOfOwnerEndsWait(t *testing.T) {
	for lost := range 2 {
		for down := 500 * time.Millisecond; down <= 2*time.Second; down += 500 * time.Millisecond {
			t.Run(fmt.Sprintf("worker %d is cut off, %s", lost+1, down), func(t *testing.T) {
				withLoad(t, 2, func(ctx context.Context, p *loadedPool, at map[runs.Task]string) {
					w := p.workers.Registered()[lost]
					p.restart(ctx, p.leader(), down)
					p.workers.SetUnreachable(w.ID, true)
					p.requireRestarted(t, at, runsElsewhere(at, w.ID))
				})
			})
		}
	}
}

// LOST: all entries and workers were lost and came back, and accepted work waited for owners
// that had ended.
func TestRestartOfAllEndsWait(t *testing.T) {
	const limit = 10 * time.Second // after all are back
	for name, renamed := range map[string]bool{"workers under their names": false, "other workers": true} {
		for _, workers := range []int{1, 2, 6} {
			t.Run(fmt.Sprintf("%s, %d", name, workers), func(t *testing.T) {
				withLoad(t, workers, func(ctx context.Context, p *loadedPool, at map[runs.Task]string) {
					list := p.workers.Registered()
					for _, w := range list {
						p.workers.Crash(w.ID)
					}
					p.mu.Lock()
					entries := make([]*entry, 0, len(p.entries))
					for _, e := range p.entries {
						entries = append(entries, e)
					}
					p.mu.Unlock()
					for _, e := range entries {
						p.restart(ctx, e, 3*time.Second)
					}
					time.Sleep(3 * time.Second)
					if renamed {
						p.addWorkers(workers)
					} else {
						for _, w := range list {
							p.workers.Join(w)
						}
					}
					took := p.untilAllRun(len(at))
					t.Logf("all run again after %s", took)
					assert.LessOrEqual(t, took, limit, "LOST")
				})
			})
		}
	}
}

// LOST: the next owner waited for workers that had left the pool before, or had been given up.
func TestTakeoverWaitsForNoFormerWorkers(t *testing.T) {
	leave := func(pool *testPool, w hosts.Worker) {
		pool.workers.Drain(w.ID, 2*time.Second)
		time.AfterFunc(2500*time.Millisecond, func() { pool.workers.Crash(w.ID) })
	}
	cut := func(pool *testPool, w hosts.Worker) { pool.workers.SetUnreachable(w.ID, true) }
	for name, v := range map[string]struct {
		lose       func(pool *testPool, w hosts.Worker)
		gap, since time.Duration
		registered bool // though they are cut off
	}{
		"left":                                  {lose: leave, since: 15 * time.Second},
		"left one by one":                       {lose: leave, gap: 5 * time.Second, since: 5 * time.Second},
		"cut off":                               {lose: cut, since: 15 * time.Second},
		"cut off one by one":                    {lose: cut, gap: 5 * time.Second, since: 10 * time.Second},
		"cut off and registered for a minute":   {lose: cut, since: time.Minute, registered: true},
		"cut off and registered for 15 seconds": {lose: cut, since: 15 * time.Second, registered: true},
	} {
		t.Run(name, func(t *testing.T) {
			withoutFaults(t, 6, func(ctx context.Context, pool *testPool) {
				if !v.registered {
					pool.mu.Lock()
					pool.list = pool.reachable
					pool.mu.Unlock()
				}
				p := newLoadedPool(pool, 6)
				for _, w := range pool.workers.Registered()[:5] {
					v.lose(pool, w)
					time.Sleep(v.gap)
				}
				time.Sleep(v.since)
				pool.kill(ctx, pool.leader())
				p.submitSteps(time.Hour, steps.Step{Count: 2, CPU: 1000})
				took := pool.untilAllRun(2)
				t.Logf("started after %s", took)
				assert.LessOrEqual(t, took, maxLost, "LOST")
			})
		})
	}
}

// LOST: owners were lost one after the other, each of them while it waited for the one before.
func TestTakeoversInARowEndWait(t *testing.T) {
	for gap := 500 * time.Millisecond; gap <= 4*time.Second; gap += 500 * time.Millisecond {
		t.Run(fmt.Sprint(gap, " apart"), func(t *testing.T) {
			withLoad(t, 6, func(ctx context.Context, p *loadedPool, at map[runs.Task]string) {
				w := p.workers.Registered()[0]
				p.workers.SetUnreachable(w.ID, true)
				for range 3 {
					p.kill(ctx, p.leader())
					p.awaitLeader()
					time.Sleep(gap)
				}
				p.kill(ctx, p.leader())
				p.requireRestarted(t, at, runsElsewhere(at, w.ID))
			})
		})
	}
}
