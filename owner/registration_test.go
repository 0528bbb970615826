package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// oddIdentities are the odd entries that name another incarnation or address of a worker.
var oddIdentities = []string{
	"born an hour ahead", "born at the end of time", "born an hour back", "born is missing",
	"address of another worker", "address of nobody", "born ahead, address of another worker",
}

// makeOdd makes the registration of a worker odd for a while.
func (pool *testPool) makeOdd(id string, odd oddEntry, during time.Duration) {
	pool.setList(func() []hosts.Worker { return withOddEntry(pool.workers.Registered(), odd, id) })
	time.AfterFunc(during, func() { pool.setList(pool.workers.Registered) })
}

func (pool *testPool) setList(f func() []hosts.Worker) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.list = f
}

// submitOddJob submits a job of which each worker runs long-running and other subtasks, and
// returns one of the workers.
func (pool *testPool) submitOddJob(id string) string {
	pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 9 * time.Second, runs.Done }
	pool.submit(&steps.Job{ID: id, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 9, CPU: 1000, EstimateMs: 9000}, {Count: 3, CPU: 1000, LongRunning: true}}})
	time.Sleep(3 * time.Second)
	return pool.workers.Running()[runs.Task{Job: id, Step: 1}]
}

// TWICE: the registration of a busy worker is odd for a while, also around a change of owner.
// The runs that go on there start nowhere else, and none is lost.
func TestOddRegistrationEndsNoLiveIncarnation(t *testing.T) {
	const job = "0000000000000001"
	for _, name := range oddIdentities {
		for _, during := range []time.Duration{time.Second, 20 * time.Second} {
			for _, newOwner := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s for %s, new owner %v", name, during, newOwner), func(t *testing.T) {
					withoutFaults(t, 3, func(ctx context.Context, pool *testPool) {
						pool.makeOdd(pool.submitOddJob(job), oddEntries[name], during)
						if newOwner {
							pool.kill(ctx, pool.leader())
						}
						time.Sleep(during + 10*time.Second)
						assert.Equal(pool.t, 12, pool.workers.Starts(), "runs were started again")
						assert.Len(pool.t, pool.workers.Running(), 3, "LOST long-running subtasks")
					})
				})
			}
		}
	}
}

// TWICE: the same while the worker is cut off from the owner and runs on.
func TestOddRegistrationOfWorkerThatIsCutOff(t *testing.T) {
	const job = "0000000000000001"
	for _, name := range oddIdentities {
		for _, during := range []time.Duration{time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%s for %s", name, during), func(t *testing.T) {
				withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
					id := pool.submitOddJob(job)
					pool.workers.SetUnreachable(id, true)
					time.Sleep(300 * time.Millisecond)
					pool.makeOdd(id, oddEntries[name], during)
					time.Sleep(during + 4*time.Second)
					pool.workers.SetUnreachable(id, false)
					time.Sleep(time.Minute)
					assert.Len(pool.t, pool.workers.Running(), 3, "LOST long-running subtasks")
				})
			})
		}
	}
}

// LOST: a worker restarts while the owner's poll of the earlier incarnation hangs, at its
// address or another one, with a clock that may be wrong. Its subtasks run again within three seconds
// of its registration, and the worker gets work.
func TestRestartedWorkerIsFoundByItsRegistration(t *testing.T) {
	for name, address := range map[string]string{"at its address": "", "at another address": "10.0.0.77:80"} {
		t.Run(name, func(t *testing.T) {
			withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
				id := pool.submitOddJob("0000000000000001")
				lost := pool.runsOn(id)
				w := pool.registered(id)
				pool.workers.SetUnreachable(id, true)
				time.Sleep(100 * time.Millisecond)
				pool.workers.Crash(id)
				if address != "" {
					w.Address = address
				}
				pool.workers.Join(w)
				time.Sleep(3 * time.Second)
				running := pool.workers.Running()
				for _, task := range lost {
					assert.Contains(pool.t, running, task, "does not run again")
				}
				pool.submit(&steps.Job{ID: "0000000000000002", Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 12, CPU: 1000}}})
				time.Sleep(2 * time.Second)
				assert.NotEmpty(pool.t, pool.runsOn(id), "the restarted worker gets no work")
			})
		})
	}
}

// runsOn returns the subtasks that run on a worker.
func (pool *testPool) runsOn(id string) []runs.Task {
	var out []runs.Task
	for task, worker := range pool.workers.Running() {
		if worker == id {
			out = append(out, task)
		}
	}
	return out
}
