package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"shallotpaddle/fakes"
)

// LOST: a worker restarts while half of the calls to it get no answer, at its address or at
// another one. Its subtasks run again within one second: a reading of the list and a few calls.
func TestRestartedWorkerIsFoundAmongLostCalls(t *testing.T) {
	for _, address := range []string{"", "10.0.0.77:80"} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("address %q, seed %d", address, seed), func(t *testing.T) {
				withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
					id := pool.submitOddJob("0000000000000001")
					time.Sleep(time.Duration(seed) * 37 * time.Millisecond)
					lost, w := pool.runsOn(id), pool.registered(id)
					pool.workers.Crash(id)
					time.Sleep(300 * time.Millisecond)
					if address != "" {
						w.Address = address
					}
					r := newLockedRand(seed, 9)
					pool.workers.InjectFault = func(worker, _ string) fakes.CallFault {
						if worker == id && r.intN(2) == 0 {
							return fakes.DropCall
						}
						return fakes.NoFault
					}
					pool.workers.Join(w)
					time.Sleep(time.Second)
					running := pool.workers.Running()
					for _, task := range lost {
						assert.Contains(pool.t, running, task, "does not run again")
					}
				})
			})
		}
	}
}
