package owner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"shallotpaddle/owner"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
)

// maxLostInRow is how long after a loss its subtasks must have started again by the rule LOST, as
// it holds at any time of the day: for 3 s, from 6 s after the last run of a subtask that lasts.
const maxLostInRow = 9 * time.Second

// stopInTurn stops an entry in an orderly way, and starts it again under its name a second later.
func (pool *testPool) stopInTurn(ctx context.Context, e *entry) {
	e.elect.Resign(ctx)
	pool.restart(ctx, e, time.Second)
}

// endOwnersInTurn ends each owner some time after its election until done.
func (pool *testPool) endOwnersInTurn(ctx context.Context, done <-chan struct{}, gap time.Duration, end func(*testPool, context.Context, *entry)) {
	pause := func(d time.Duration) bool {
		select {
		case <-done:
			return false
		case <-time.After(d):
			return true
		}
	}
	for pause(0) {
		e := pool.leader()
		if e == nil {
			pause(10 * time.Millisecond)
			continue
		}
		if pause(gap) && pool.leader() == e {
			end(pool, ctx, e)
		}
	}
}

// takeoverEnds are the ways in which owners end, in turn.
var takeoverEnds = map[string]func(*testPool, context.Context, *entry){
	"stopped": (*testPool).stopInTurn,
	"killed":  (*testPool).kill,
}

// LOST: each new owner began the wait for a silent worker of the roster anew, so that accepted
// work never started while owners changed more often than that.
func TestTakeoversInARowBesideLostWorkerEnd(t *testing.T) {
	for how, end := range takeoverEnds {
		for _, gap := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
			for name, registered := range map[string]bool{"lost": false, "lost and registered": true} {
				t.Run(fmt.Sprintf("%s, %s %s apart", name, how, gap), func(t *testing.T) {
					withLoad(t, 6, func(ctx context.Context, p *loadedPool, at map[runs.Task]string) {
						w := p.workers.Registered()[0]
						p.workers.SetUnreachable(w.ID, true)
						if !registered {
							p.mu.Lock()
							p.list = p.reachable
							p.mu.Unlock()
						}
						end(p.testPool, ctx, p.leader())
						done := make(chan struct{})
						defer close(done)
						go p.endOwnersInTurn(ctx, done, gap, end)
						took := p.untilRestarted(at)
						t.Logf("all run again after %s", took)
						assert.LessOrEqual(t, took, maxLostInRow, "LOST")
						assert.Empty(t, p.stoppedRuns(runsElsewhere(at, w.ID), time.Second), "LOST")
					})
				})
			}
		}
	}
}

// reachableByTurns cuts each entry from a part of the workers, and now and then from the store. Who
// is cut from what changes every three seconds.
func reachableByTurns(seed uint64) *split {
	draw := func(n int, names ...any) int {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, append(names, time.Now().Unix()/3)...)
		return rand.New(rand.NewPCG(seed, h.Sum64())).IntN(n)
	}
	return &split{
		reaches: func(entry, worker string) bool { return draw(4, entry, "/", worker, "/") > 0 },
		noStore: func(entry string) bool { return draw(8, entry, "/store/") == 0 },
	}
}

// takeoversInARow prepares a run in which owners are stopped and killed in a row, while workers
// are cut off, or from some of the entries.
func takeoversInARow(seed uint64) func(pool *testPool) {
	return func(pool *testPool) {
		cutWorkers(pool)
		if seed%2 == 1 {
			pool.failures["crash a worker"] = failures["crash a worker"]
		}
		pool.workers.InTouchSince = pool.inTouchSince
		pool.setSplit(reachableByTurns(seed))
		decide, lengths := pool.workers.DecideRun, newLockedRand(seed, 14)
		pool.workers.DecideRun = func(t runs.Task, run int) (time.Duration, runs.Outcome) {
			length, how := decide(t, run)
			if lengths.intN(4) == 0 {
				length *= 8
			}
			return length, how
		}
		r, begun := rand.New(rand.NewPCG(seed, 13)), time.Now()
		go func() {
			for time.Since(begun) < failuresEnd {
				time.Sleep(time.Duration(300+r.IntN(2000)) * time.Millisecond)
				if e := pool.leader(); e != nil && r.IntN(3) > 0 {
					pool.stopInTurn(e.parent, e)
				} else if e != nil {
					pool.kill(e.parent, e)
				}
			}
			pool.setSplit(nil)
		}()
	}
}

// TestModelTakeoversInARow does the same as TestModel while each owner lasts for a moment, and
// owners reach other workers than the ones before.
func TestModelTakeoversInARow(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			pool := run(t, seed, takeoversInARow(seed))
			require.Empty(t, pool.workers.Violations())
			pool.requireJobsEnded(t)
		})
	}
}

// changeRosters changes the entries of rosters that are written to the store.
func (pool *testPool) changeRosters(change func(entry map[string]any)) {
	var mu sync.Mutex
	pool.commit = func(ctx context.Context, txn plat.Txn) (int64, []plat.Item, error) {
		txn.Puts = slices.Clone(txn.Puts)
		for i, p := range txn.Puts {
			var list []map[string]any
			if p.Key != owner.RosterPrefix+poolName || json.Unmarshal(p.Value, &list) != nil {
				continue
			}
			mu.Lock()
			for _, e := range list {
				change(e)
			}
			mu.Unlock()
			txn.Puts[i].Value, _ = json.Marshal(list)
		}
		return pool.kv.Commit(ctx, txn)
	}
}

// TestModelTakeoversInARowCatches checks that takeovers in a row detect a missing safeguard.
func TestModelTakeoversInARowCatches(t *testing.T) {
	for name, prepare := range map[string]func(pool *testPool){
		"workers that stay silent in the roster when they have answered": func(pool *testPool) {
			silent := map[any]map[string]any{}
			pool.changeRosters(func(e map[string]any) {
				if e["silent"] != nil {
					silent[e["id"]] = e
				} else if s := silent[e["id"]]; s != nil && s["born"] == e["born"] {
					e["silent"], e["silentTerm"], e["silentFrom"] = s["silent"], s["silentTerm"], s["silentFrom"]
				}
			})
		},
		"silence that is taken for longer than it is": func(pool *testPool) {
			pool.changeRosters(func(e map[string]any) {
				if ms, ok := e["silent"].(float64); ok {
					e["silent"] = ms + 3000
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range seeds() {
				pool := run(t, seed, func(pool *testPool) {
					prepare(pool)
					takeoversInARow(seed)(pool)
				})
				if slices.ContainsFunc(pool.workers.Violations(), func(v string) bool { return strings.HasPrefix(v, "TWICE") }) {
					t.Logf("seed %d", seed)
					return
				}
			}
			t.Error("no seed reveals the missing safeguard")
		})
	}
}
