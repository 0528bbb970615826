package owner_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"

	"shallotpaddle/advice"
	"shallotpaddle/fakes"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// advisedLoad is a load of an entry that owns pools with an advisor.
type advisedLoad struct {
	pools         int
	advisor       steps.AdvisorTiming
	every, lasts  time.Duration // between two jobs of a pool; of the load
	mayRun        func(s runs.Step, worker string) bool
	workers       int
	longest, rest time.Duration // of a run; after the load until all jobs must have ended
	slowPool      bool          // the advisor takes too long for the tickets of the last pool
	step          steps.Step    // of each job; two subtasks that run for longest if it has none
	meanwhile     func(ctx context.Context, pools []*testPool)
}

func (l advisedLoad) String() string {
	return fmt.Sprintf("%d pools %d+%d of %d ms every %s", l.pools, l.advisor.AnswerMs, l.advisor.PerWorkerMs, l.advisor.TicketValidMs, l.every)
}

// play plays the load and returns the pools, in which all jobs should have ended.
func (l advisedLoad) play(t *testing.T, inject func(worker, op string) fakes.CallFault) []*testPool {
	var pools []*testPool
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		turn, line := fakes.NewAdvisorTurn(), advice.New(quartz.NewReal())
		for p := range l.pools {
			pool := newTestPool(t, uint64(p))
			pool.turn, pool.line, pool.advised, pool.advisor = turn, line, true, &l.advisor
			pool.workers.MayRun, pool.workers.InjectFault = l.mayRun, inject
			pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return l.longest, runs.Done }
			if l.slowPool && p == l.pools-1 {
				pool.advisor = &steps.AdvisorTiming{AnswerMs: 2500, TicketValidMs: 2000}
			}
			pool.addWorkers(l.workers)
			pool.startEntry(ctx, "e")
			pools = append(pools, pool)
		}
		time.Sleep(3 * time.Second)
		if l.step.Count == 0 {
			l.step = steps.Step{Count: 2, CPU: 500, Mem: 100, EstimateMs: l.longest.Milliseconds()}
		}
		if l.meanwhile != nil {
			go l.meanwhile(ctx, pools)
		}
		var handIns sync.WaitGroup
		for p, pool := range pools {
			handIns.Go(func() {
				for n := range int(l.lasts / l.every) {
					pool.submit(&steps.Job{
						ID: fmt.Sprintf("%08x%08x", p, n), Queue: "q", MaxAttempts: 3, SlackFactor: 1.6, TargetMs: 600,
						Steps: []steps.Step{l.step},
					})
					time.Sleep(l.every)
				}
			})
		}
		handIns.Wait()
		time.Sleep(l.rest)
		stop()
		synctest.Wait()
	})
	return pools
}

// requireJobsDone requires that all jobs of the load have ended as done.
func (pool *testPool) requireJobsDone(t *testing.T) {
	open := 0
	for _, j := range pool.jobs {
		if pool.state(j.ID).State != steps.Completed {
			open++
		}
	}
	require.Zero(t, open, "of %d jobs are not done", len(pool.jobs))
	require.Empty(t, pool.workers.Violations())
}

func anyWorker(runs.Step, string) bool { return true }

// LOST: an entry that came to own a second pool started nothing in either, as its questions to
// the advisor waited for each other until each ticket had run out on arrival (review/3).
func TestAdvisedPoolsOfOneEntryStart(t *testing.T) {
	for _, l := range []advisedLoad{
		{pools: 2, advisor: steps.AdvisorTiming{AnswerMs: 100, PerWorkerMs: 50, TicketValidMs: 2000}, every: 700 * time.Millisecond},
		{pools: 3, advisor: steps.AdvisorTiming{AnswerMs: 100, PerWorkerMs: 50, TicketValidMs: 2000}, every: 1500 * time.Millisecond},
		{pools: 1, advisor: steps.AdvisorTiming{AnswerMs: 500, PerWorkerMs: 100, TicketValidMs: 2000}, every: time.Second},
	} {
		t.Run(l.String(), func(t *testing.T) {
			l.mayRun, l.workers, l.longest, l.lasts, l.rest = anyWorker, 8, 500*time.Millisecond, 40*time.Second, 14*time.Second
			for _, pool := range l.play(t, nil) {
				pool.requireJobsDone(t)
			}
		})
	}
}

// Subtasks start in each pool of an entry whenever questions about the workers that a job needs
// take less than all of the advisor's time, for decisions of up to nine tenths of a ticket's
// validity.
func TestAdvisedPoolsStartWhereTheTimesAllow(t *testing.T) {
	const validMs = 2000
	for _, pools := range []int{1, 2, 4} {
		for tenths := int64(1); tenths <= 9; tenths++ {
			l := advisedLoad{
				pools: pools, advisor: steps.AdvisorTiming{AnswerMs: tenths * validMs / 10, PerWorkerMs: 20, TicketValidMs: validMs},
				mayRun: anyWorker, workers: 8, longest: 500 * time.Millisecond, lasts: time.Minute, rest: 14 * time.Second,
			}
			question := time.Duration(l.advisor.AnswerMs+l.advisor.PerWorkerMs) * time.Millisecond
			l.every = question * time.Duration(pools) * 10 / 8 // four fifths of the advisor's time
			t.Run(l.String(), func(t *testing.T) {
				var questions, tickets, used int64
				for _, pool := range l.play(t, nil) {
					pool.requireJobsDone(t)
					require.Zero(t, pool.workers.RefusedTickets())
					require.Zero(t, pool.stats.TicketsLate.Count())
					questions += pool.stats.Questions.Count()
					tickets += pool.stats.Tickets.Count()
					used += pool.stats.TicketsUsed.Count()
				}
				// One ticket is enough for both subtasks of a job. A second one costs the advisor little.
				t.Logf("%d questions, %d of %d tickets not used", questions, tickets-used, tickets)
				require.LessOrEqual(t, questions-used, questions/10, "questions without a ticket that was used")
			})
		}
	}
}

// After a peak that the advisor can't keep up with, what waited starts.
func TestAdvisedPoolsRecoverFromPeak(t *testing.T) {
	for _, pools := range []int{1, 3} {
		l := advisedLoad{
			pools: pools, advisor: steps.AdvisorTiming{AnswerMs: 400, PerWorkerMs: 50, TicketValidMs: 2000}, every: 250 * time.Millisecond,
			mayRun: anyWorker, workers: 8, longest: 500 * time.Millisecond, lasts: 5 * time.Second, rest: time.Duration(pools) * 10 * time.Second,
		}
		t.Run(l.String(), func(t *testing.T) {
			for _, pool := range l.play(t, nil) {
				pool.requireJobsDone(t)
			}
		})
	}
}

// Of steps that only a quarter of the workers may run, all start.
func TestAdvisedPoolsWithFewAllowed(t *testing.T) {
	l := advisedLoad{
		pools: 2, advisor: steps.AdvisorTiming{AnswerMs: 100, PerWorkerMs: 50, TicketValidMs: 2000}, every: 1500 * time.Millisecond,
		workers: 8, longest: 500 * time.Millisecond, lasts: 40 * time.Second, rest: 14 * time.Second,
		mayRun: func(s runs.Step, worker string) bool {
			h := fnv.New32a()
			_, _ = h.Write([]byte(s.Job)) // never fails
			return worker == fmt.Sprintf("i-%d", 1+h.Sum32()%8) || worker == fmt.Sprintf("i-%d", 1+(h.Sum32()/8+1)%8)
		},
	}
	for _, pool := range l.play(t, nil) {
		pool.requireJobsDone(t)
	}
}

// An advisor that refuses all questions, answers none, or is slow for ten seconds stops the pools of an
// entry for little longer than that.
func TestAdvisedPoolsOutlastAdvisor(t *testing.T) {
	for name, fault := range map[string]fakes.CallFault{"refuses": fakes.RefuseCall, "silent": fakes.DropCall, "slow": fakes.DelayCall} {
		t.Run(name, func(t *testing.T) {
			var once sync.Once
			var begun time.Time
			l := advisedLoad{
				pools: 2, advisor: steps.AdvisorTiming{AnswerMs: 100, PerWorkerMs: 50, TicketValidMs: 2000}, every: 700 * time.Millisecond,
				mayRun: anyWorker, workers: 8, longest: 500 * time.Millisecond, lasts: 30 * time.Second, rest: 14 * time.Second,
			}
			var asked atomic.Int64
			pools := l.play(t, func(_, op string) fakes.CallFault {
				if op != "ask" {
					return fakes.NoFault
				}
				once.Do(func() { begun = time.Now() })
				if since := time.Since(begun); since < 5*time.Second || since > 15*time.Second {
					return fakes.NoFault
				}
				asked.Add(1)
				return fault
			})
			for _, pool := range pools {
				pool.requireJobsDone(t)
			}
			require.LessOrEqual(t, asked.Load(), int64(15), "questions in ten seconds")
		})
	}
}

// Where no ticket can be proved to be valid on arrival, the entry says so, and asks little.
func TestAdvisorTooSlowForItsTickets(t *testing.T) {
	l := advisedLoad{
		pools: 2, advisor: steps.AdvisorTiming{AnswerMs: 1500, PerWorkerMs: 600, TicketValidMs: 2000}, every: time.Second,
		mayRun: anyWorker, workers: 8, longest: 500 * time.Millisecond, lasts: 10 * time.Second, rest: 30 * time.Second,
	}
	for _, pool := range l.play(t, nil) {
		require.NotZero(t, pool.stats.QuestionsLate.Count())
		require.Equal(t, pool.stats.Questions.Count(), pool.stats.QuestionsLate.Count())
		// One question brings two starts; the pause grows from 0.25 s to 8 s.
		require.LessOrEqual(t, pool.workers.RefusedTickets(), 2*9)
	}
}

// A pool whose queue has times that allow no ticket takes no turns from one whose times do.
func TestSlowAdvisorDoesNotStopOtherPool(t *testing.T) {
	l := advisedLoad{
		pools: 2, advisor: steps.AdvisorTiming{AnswerMs: 200, PerWorkerMs: 20, TicketValidMs: 2000}, every: time.Second,
		mayRun: anyWorker, workers: 8, longest: 500 * time.Millisecond, lasts: 40 * time.Second, rest: 14 * time.Second,
		slowPool: true,
	}
	l.play(t, nil)[0].requireJobsDone(t)
}

// Owners that end while their questions are under way leave the turn to others.
func TestAdvisedPoolsOutlastTheirOwners(t *testing.T) {
	l := advisedLoad{
		pools: 3, advisor: steps.AdvisorTiming{AnswerMs: 100, PerWorkerMs: 50, TicketValidMs: 2000}, every: 1500 * time.Millisecond,
		mayRun: anyWorker, workers: 8, longest: 500 * time.Millisecond, lasts: 40 * time.Second, rest: 14 * time.Second,
		meanwhile: func(ctx context.Context, pools []*testPool) {
			for n := range 12 {
				time.Sleep(2930 * time.Millisecond)
				if e := pools[n%3].leader(); e != nil {
					pools[n%3].kill(ctx, e)
				}
			}
		},
	}
	for _, pool := range l.play(t, nil) {
		pool.requireJobsDone(t)
	}
}

// Steps that need more workers than one question names, or all at once, start.
func TestAdvisedWideSteps(t *testing.T) {
	for name, step := range map[string]steps.Step{
		"gang":       {Count: 36, CPU: 8000, Mem: 100, Gang: true},
		"oneworker":  {Count: 50, CPU: 100, Mem: 10, MaxPerWorker: 1},
		"many":       {Count: 500, CPU: 500, Mem: 10},
		"smallgangs": {Count: 6, CPU: 3000, Mem: 10, Gang: true, OneRack: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := advisedLoad{
				pools: 2, advisor: steps.AdvisorTiming{AnswerMs: 40, PerWorkerMs: 2, TicketValidMs: 3000}, every: 8 * time.Second,
				mayRun: anyWorker, workers: 40, longest: time.Second, lasts: 40 * time.Second, rest: 14 * time.Second, step: step,
			}
			var questions, used int64
			for _, pool := range l.play(t, nil) {
				pool.requireJobsDone(t)
				questions += pool.stats.Questions.Count()
				used += pool.stats.TicketsUsed.Count()
			}
			t.Logf("%d questions, %d tickets used", questions, used)
			require.Less(t, questions, int64(100), "questions about ten jobs")
		})
	}
}
