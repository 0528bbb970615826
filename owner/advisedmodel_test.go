package owner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"

	"shallotpaddle/advice"
	"shallotpaddle/fakes"
	"shallotpaddle/steps"
)

// TestModelAdvisedPools plays pools of one entry that share its turn at the advisor, with drawn times
// of the advisor, while it fails, owners end and jobs are cancelled. No rule is broken and every
// job ends.
func TestModelAdvisedPools(t *testing.T) {
	for seed := range seeds() / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			for _, pool := range playAdvisedPools(t, seed) {
				require.Empty(t, pool.workers.Violations())
				pool.requireJobsEnded(t)
				require.Less(t, pool.workers.RefusedTickets(), max(pool.workers.Starts()/20, 5), "starts without a ticket that holds")
			}
		})
	}
}

func playAdvisedPools(t *testing.T, seed uint64) []*testPool {
	r := rand.New(rand.NewPCG(seed, 11))
	pools := make([]*testPool, 1+r.IntN(4))
	validMs := int64(1500 + r.IntN(3000))
	advisor := &steps.AdvisorTiming{AnswerMs: 5 + r.Int64N(validMs/3), PerWorkerMs: r.Int64N(validMs / 40), TicketValidMs: validMs}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		turn, line := fakes.NewAdvisorTurn(), advice.New(quartz.NewReal())
		faults, begun := newLockedRand(seed, 12), time.Now()
		for p := range pools {
			pool := newTestPool(t, 10*seed+uint64(p))
			pool.turn, pool.line, pool.advised, pool.advisor = turn, line, true, advisor
			pool.workers.InjectFault = func(_, op string) fakes.CallFault {
				if op != "ask" || time.Since(begun) > 25*time.Second {
					return fakes.NoFault
				}
				return faults.pick(8)
			}
			pool.addWorkers(4 + r.IntN(6))
			pool.startEntry(ctx, "e")
			pools[p] = pool
		}
		time.Sleep(2 * time.Second)
		for time.Since(begun) < 25*time.Second {
			time.Sleep(time.Duration(r.IntN(600)) * time.Millisecond)
			pool := pools[r.IntN(len(pools))]
			switch r.IntN(10) {
			case 0:
				if e := pool.leader(); e != nil {
					pool.kill(ctx, e)
				}
			case 1:
				if len(pool.jobs) > 0 {
					pool.cancel(pool.jobs[r.IntN(len(pool.jobs))].ID)
				}
			default:
				pool.submit(pool.randomJob())
			}
		}
		// The advisor takes up to 1.5 s for each of some hundred questions.
		time.Sleep(5 * time.Minute)
		for _, pool := range pools {
			for id := range pool.workers.Running() {
				pool.activeAtEnd[id.Job]++
			}
		}
		stop()
		time.Sleep(5 * time.Second)
	})
	return pools
}
