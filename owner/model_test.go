package owner_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// troubles are what may befall the pool in a run of the model, one a time.
var troubles = map[string]func(ctx context.Context, w *world){
	"kill the owner": func(ctx context.Context, w *world) {
		if e := w.leader(); e != nil {
			w.kill(ctx, e)
		}
	},
	"owner resigns": func(ctx context.Context, w *world) {
		if e := w.leader(); e != nil {
			go func() {
				e.elect.Resign(ctx)
				time.Sleep(time.Second)
				w.kill(ctx, e)
			}()
		}
	},
	"cut the owner from the store": func(_ context.Context, w *world) {
		if e := w.leader(); e != nil {
			w.mu.Lock()
			e.cut = true
			w.mu.Unlock()
			time.AfterFunc(4*time.Second, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				e.cut = false
			})
		}
	},
	"crash a worker": func(_ context.Context, w *world) {
		if list := w.crew.Registered(); len(list) > 3 {
			v := list[w.rand.IntN(len(list))]
			w.crew.Crash(v.ID)
			time.AfterFunc(time.Duration(1+w.rand.IntN(5))*time.Second, func() { w.crew.Join(v) }) // under the same id
		}
	},
	"cut a worker off": func(_ context.Context, w *world) {
		if list := w.crew.Registered(); len(list) > 3 {
			id := list[w.rand.IntN(len(list))].ID
			w.crew.Cut(id, true)
			time.AfterFunc(time.Duration(1+w.rand.IntN(8))*time.Second, func() { w.crew.Cut(id, false) })
		}
	},
	"a worker leaves": func(_ context.Context, w *world) {
		if list := w.crew.Registered(); len(list) > 3 {
			id := list[w.rand.IntN(len(list))].ID
			w.crew.Drain(id, 2*time.Second)
			time.AfterFunc(2500*time.Millisecond, func() { w.crew.Crash(id) })
			w.join(1)
		}
	},
	"history goes": func(_ context.Context, w *world) { w.kv.Compact() },
	"the owner's keys go": func(_ context.Context, w *world) {
		if it, ok := w.kv.Peek("seat/lead/" + poolName); ok {
			w.kv.EndLease(leaseOf(it.Value))
		}
	},
}

// run plays a seeded day on the model and returns the world at its end.
func run(t *testing.T, seed uint64, prepare func(w *world)) *world {
	var w *world
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w = newWorld(t, seed)
		r := w.rand
		store, orders := r.IntN(3) == 0, r.IntN(3) == 0
		storeRand, orderRand := newLocked(seed, 1), newLocked(seed, 2)
		begun, calm := time.Now(), 25*time.Second
		w.kv.Trouble = func(op, _ string) fakes.Trouble {
			if !store || time.Since(begun) > calm || op == "watch" {
				return fakes.Smooth
			}
			return storeRand.pick(20)
		}
		w.crew.Trouble = func(_, _ string) fakes.Trouble {
			if !orders || time.Since(begun) > calm {
				return fakes.Smooth
			}
			return orderRand.pick(15)
		}
		if prepare != nil {
			prepare(w)
		}
		w.join(6)
		for i := range 3 {
			w.enter(ctx, fmt.Sprintf("n%d", i))
		}
		names := sortedKeys(troubles)
		for time.Since(begun) < calm {
			time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
			switch n := r.IntN(20); {
			case n < 12:
				w.submit(w.job())
			case n < 14 && len(w.jobs) > 0:
				w.cancel(w.jobs[r.IntN(len(w.jobs))].ID)
			case n == 14:
				troubles[names[r.IntN(len(names))]](ctx, w)
			}
		}
		time.Sleep(90 * time.Second)
		for id := range w.crew.Running() {
			w.atWork[id.Job]++
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
	return w
}

// verify checks that every job has ended as it should.
func (w *world) verify(t *testing.T) {
	for _, j := range w.jobs {
		r := w.state(j.ID)
		if j.LongRunning() && !w.cancels[j.ID] {
			require.Equal(t, steps.Open, r.State)
			require.Equal(t, j.Steps[0].Count, w.atWork[j.ID], "LOST job %s is to last", j.ID)
			continue
		}
		if r.State == steps.Open {
			w.t.Logf("job %s %+v: %+v", j.ID, j.Steps, r)
		}
		require.NotEqual(t, steps.Open, r.State, "LOST job %s", j.ID)
		if r.State == steps.Failed && !w.gang(j) {
			require.GreaterOrEqual(t, w.crew.Fails(j.ID), j.MaxAttempts, "LOST job %s is failed without cause", j.ID)
		}
		if r.State == steps.Cancelled {
			require.True(t, w.cancels[j.ID], "LOST job %s is cancelled without cause", j.ID)
		}
	}
}

// gang tells whether a job has a gang, whose members' failures add up.
func (w *world) gang(j *steps.Job) bool {
	for i := range j.Steps {
		if j.Steps[i].Gang {
			return true
		}
	}
	return false
}

// seeds returns how many seeds the model is run with.
func seeds() uint64 {
	n, err := strconv.ParseUint(os.Getenv("MODEL_SEEDS"), 10, 64)
	if err != nil {
		return 60
	}
	return n
}

// regressions are seeds that have failed, each with its cause.
var regressions = []uint64{
	21, 185, // a failure that was recorded and not acknowledged counted again after a handover
	18, 36, 51, // a lease was taken to end up to a look's wait too early
	383,    // a claim that was carried out late left a pool with a leader that did not know of it
	190,    // a look meant for a dead incarnation had the next one forget its ends
	252,    // nothing looked again at a subtask that was held back for a time
	15, 37, // the end of a run on a worker that was given up was read after the subtask had begun anew
	143, 67, // the same after a handover, whose owner did not know that it had begun anew
	53, // looks that were not answered moved the end of a dead worker's lease away
}

// TestModel plays jobs, cancellations and troubles of owners, workers and the
// store against each other, and checks the promises.
func TestModel(t *testing.T) {
	list := append([]uint64(nil), regressions...)
	for s := range seeds() {
		list = append(list, s)
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := run(t, seed, nil)
			require.Empty(t, w.crew.Faults())
			w.verify(t)
		})
	}
}

// TestModelAdvised plays the same with queues that need the advisor's word.
func TestModelAdvised(t *testing.T) {
	for seed := range seeds() / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := run(t, seed, func(w *world) { w.advised = true })
			require.Empty(t, w.crew.Faults())
			w.verify(t)
			require.Less(t, w.crew.RefusedTickets(), max(w.crew.Starts()/20, 5), "starts without a ticket that holds")
		})
	}
}

// TestModelCatches shows that the model finds what goes wrong without a safeguard.
func TestModelCatches(t *testing.T) {
	for name, prepare := range map[string]func(w *world){
		"writes that are not made": func(w *world) {
			w.commit = func(ctx context.Context, t plat.Txn) (int64, []plat.Item, error) {
				kept := t
				kept.Puts = nil
				for _, p := range t.Puts {
					if len(p.Key) < 6 || p.Key[:6] != "state/" {
						kept.Puts = append(kept.Puts, p)
					}
				}
				return w.kv.Commit(ctx, kept)
			}
		},
		"orders without a fencing token": func(w *world) {
			w.start = func(ctx context.Context, to runs.Target, s runs.Start) (runs.Reply, error) {
				s.Fence = 1 << 40
				return w.crew.Start(ctx, to, s)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range seeds() {
				w := run(t, seed, prepare)
				if len(w.crew.Faults()) > 0 || w.open() > 0 {
					return
				}
			}
			t.Error("no seed shows it")
		})
	}
}

// open returns the number of jobs that have not ended.
func (w *world) open() int {
	n := 0
	for _, j := range w.jobs {
		if !j.LongRunning() && w.state(j.ID).State == steps.Open {
			n++
		}
	}
	return n
}
