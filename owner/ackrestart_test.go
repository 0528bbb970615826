package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// A worker with ends to acknowledge restarts at once; a short run is carried out and ends at its next
// incarnation, and a poll that acknowledges ends of the former arrives there before any report.
func TestAckReachesNextIncarnation(t *testing.T) {
	for at := 300 * time.Millisecond; at < 600*time.Millisecond; at += 30 * time.Millisecond {
		for _, down := range []time.Duration{0, 10 * time.Millisecond} {
			for _, dark := range []bool{false, true} {
				for _, length := range []time.Duration{3 * time.Millisecond, 40 * time.Millisecond} {
					for _, drop := range []bool{false, true} {
						t.Run(fmt.Sprintf("at %s down %s dark %v length %s drop %v", at, down, dark, length, drop), func(t *testing.T) {
							job, other := fmt.Sprintf("%016x", 1), fmt.Sprintf("%016x", 2)
							withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
								pool.workers.DecideRun = func(id runs.Task, _ int) (time.Duration, runs.Outcome) {
									if id.Job == other {
										return 300*time.Millisecond + time.Duration(id.Index)*20*time.Millisecond, runs.Done
									}
									return length, runs.Done
								}
								time.Sleep(20 * time.Second)
								pool.submit(&steps.Job{ID: other, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 15, CPU: 1000}}})
								time.Sleep(at)
								w := pool.workers.Registered()[0]
								if drop {
									pool.workers.InjectFault = func(worker, op string) fakes.CallFault {
										if worker == w.ID && op == "start" {
											return fakes.DropAnswer
										}
										return fakes.NoFault
									}
									time.AfterFunc(200*time.Millisecond, func() { pool.workers.InjectFault = nil })
								}
								pool.submit(&steps.Job{ID: job, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 30, CPU: 1000}}})
								if dark {
									pool.workers.SetUnreachable(w.ID, true)
								}
								pool.workers.Crash(w.ID)
								time.Sleep(down)
								pool.workers.Join(w)
								if dark {
									pool.workers.SetUnreachable(w.ID, false)
								}
								time.Sleep(time.Minute)
								require.Equal(t, steps.Completed, pool.state(job).State, "LOST")
							})
						})
					}
				}
			}
		}
	}
}
