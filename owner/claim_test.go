package owner_test

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
)

// answerEverything lets something that is no worker answer each call to an address, and returns
// the number of calls so far.
func (pool *testPool) answerEverything(address string) *atomic.Int64 {
	calls := &atomic.Int64{}
	start, renew := pool.start, pool.renew
	pool.start = func(ctx context.Context, to runs.Target, s runs.Start) (runs.Reply, error) {
		if to.Address == address {
			calls.Add(1)
			time.Sleep(time.Millisecond)
			return runs.Reply{}, nil
		}
		return start(ctx, to, s)
	}
	pool.renew = func(ctx context.Context, to runs.Target, n runs.Renew) (runs.Report, error) {
		if to.Address == address {
			calls.Add(1)
			time.Sleep(time.Millisecond)
			return runs.Report{}, nil
		}
		return renew(ctx, to, n)
	}
	return calls
}

// TWICE: the registration of a busy worker names an address where something answers each call
// but does not say which incarnation it is.
func TestAnswerWithoutIncarnationProvesNoClaim(t *testing.T) {
	const job, address = "0000000000000001", "10.9.9.9:80"
	for name, change := range map[string]func(w *hosts.Worker){
		"address":             func(w *hosts.Worker) { w.Address = address },
		"address, no born":    func(w *hosts.Worker) { w.Address, w.StartedMs = address, 0 },
		"address, born ahead": func(w *hosts.Worker) { w.Address, w.StartedMs = address, math.MaxInt64 },
	} {
		for _, cutOff := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, cut off %v", name, cutOff), func(t *testing.T) {
				withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
					calls := pool.answerEverything(address)
					id := pool.submitOddJob(job)
					pool.workers.SetUnreachable(id, cutOff)
					pool.makeOdd(id, func(list []hosts.Worker, i int) []hosts.Worker {
						change(&list[i])
						return list
					}, 4*time.Second)
					time.Sleep(3 * time.Second)
					pool.workers.SetUnreachable(id, false)
					time.Sleep(7 * time.Second)
					assert.Equal(pool.t, 12, pool.workers.Starts(), "runs were started again")
					assert.Len(pool.t, pool.workers.Running(), 3, "LOST long-running subtasks")
					assert.Empty(pool.t, pool.workers.Violations())
					assert.Less(pool.t, calls.Load(), int64(20), "calls to the address")
				})
			})
		}
	}
}
