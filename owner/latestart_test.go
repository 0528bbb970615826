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

// TWICE: a start gets no answer and is carried out late, by the next incarnation of the
// worker. The subtask runs nowhere else by then, whether a second try of the start was
// answered or not, and whatever its kind.
func TestLateStartReachesRestartedWorker(t *testing.T) {
	for _, step := range []steps.Step{{Count: 1, CPU: 1000}, {Count: 1, CPU: 1000, LongRunning: true, MaxUnavailable: 1}} {
		for _, tries := range []int{1, 2} {
			for delay := 2 * time.Second; delay <= 12*time.Second; delay += 500 * time.Millisecond {
				name := fmt.Sprintf("long-running %v, %d tries, %s late", step.LongRunning, tries, delay)
				t.Run(name, func(t *testing.T) { testLateStart(t, step, tries, delay) })
			}
		}
	}
}

// testLateStart has the first start of a subtask carried out after a delay. Its worker
// crashes after the given number of tries, and is back half a second before the start
// arrives.
func testLateStart(t *testing.T, step steps.Step, tries int, delay time.Duration) {
	task := runs.Task{Job: fmt.Sprintf("%016x", 1)}
	withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
		pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return time.Minute, runs.Done }
		pool.workers.LateOrderDelay = func() time.Duration { return delay }
		first := make(chan string, 1)
		pool.workers.InjectFault = func(worker, op string) fakes.CallFault {
			if op != "start" {
				return fakes.NoFault
			}
			select {
			case first <- worker:
				return fakes.DelayCall
			default:
				return fakes.NoFault
			}
		}
		pool.submit(&steps.Job{ID: task.Job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{step}})
		time.Sleep(200 * time.Millisecond)
		id := pool.lateWorker(first)
		if tries == 2 {
			time.Sleep(time.Second)
		}
		worker := pool.registered(id)
		pool.workers.Crash(id)
		time.AfterFunc(delay-500*time.Millisecond-time.Duration(tries-1)*time.Second, func() { pool.workers.Join(worker) })
		time.Sleep(time.Minute)
		_, running := pool.workers.Running()[task]
		require.True(t, running || pool.state(task.Job).State == steps.Completed, "LOST %s", task)
	})
}

// lateWorker returns the worker that was sent the first start.
func (pool *testPool) lateWorker(first chan string) string {
	id := <-first
	first <- id
	return id
}

// registered returns the registration of a worker.
func (pool *testPool) registered(id string) hosts.Worker {
	for _, w := range pool.workers.Registered() {
		if w.ID == id {
			return w
		}
	}
	pool.t.Fatalf("worker %s is not registered", id)
	return hosts.Worker{}
}

// TWICE: a subtask has ended by its second try, and its end is noted. Its worker restarts, and
// the first try is carried out there before the owner can make the next incarnation refuse
// it. The end must not have been noted while that is possible.
func TestLateStartAfterNotedEnd(t *testing.T) {
	for delay := 2 * time.Second; delay <= 12*time.Second; delay += time.Second {
		t.Run(delay.String(), func(t *testing.T) { testStartAfterEnd(t, delay) })
	}
}

// testStartAfterEnd has the first start of a subtask carried out after a delay. Its worker
// crashes when the subtask has ended and is back half a second before the start arrives;
// stops of the run don't reach it.
func testStartAfterEnd(t *testing.T, delay time.Duration) {
	task := runs.Task{Job: fmt.Sprintf("%016x", 1)}
	withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
		pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 100 * time.Millisecond, runs.Done }
		pool.workers.LateOrderDelay = func() time.Duration { return delay }
		first := make(chan string, 1)
		pool.workers.InjectFault = func(worker, op string) fakes.CallFault {
			if op == "stop" {
				return fakes.DropCall
			}
			if op != "start" {
				return fakes.NoFault
			}
			select {
			case first <- worker:
				return fakes.DelayCall
			default:
				return fakes.NoFault
			}
		}
		pool.submit(&steps.Job{ID: task.Job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 1000}}})
		time.Sleep(1500*time.Millisecond - 100*time.Millisecond)
		worker := pool.registered(pool.lateWorker(first))
		pool.workers.Crash(worker.ID)
		time.AfterFunc(delay-1900*time.Millisecond, func() { pool.workers.Join(worker) })
		time.Sleep(time.Minute)
		require.Equal(t, steps.Completed, pool.state(task.Job).State, "LOST %s", task)
	})
}

// TWICE: the stop that makes a restarted worker refuse an unanswered start gets no answer. It is
// sent again within the time that a worker usually needs, as the start may arrive meanwhile.
func TestUnansweredBlockIsRepeatedSoon(t *testing.T) {
	withoutFaults(t, 1, func(_ context.Context, pool *testPool) {
		var mu sync.Mutex
		var stops []time.Time
		started := false
		pool.workers.InjectFault = func(_, op string) fakes.CallFault {
			mu.Lock()
			defer mu.Unlock()
			if op == "stop" {
				stops = append(stops, time.Now())
			}
			if started = started || op == "start"; !started {
				return fakes.NoFault // a worker that does not answer gets no start
			}
			return fakes.DropCall
		}
		pool.submit(&steps.Job{ID: fmt.Sprintf("%016x", 1), Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 1000, LongRunning: true}}})
		time.Sleep(8 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		require.Greater(t, len(stops), 2)
		require.Less(t, stops[1].Sub(stops[0]), 200*time.Millisecond)
		require.Less(t, stops[2].Sub(stops[1]), 200*time.Millisecond)
	})
}
