package owner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"

	"shallotpaddle/hosts"
	"shallotpaddle/owner"
	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// unprovenEntries are entries that no worker stands behind: calls to them get the error.
var unprovenEntries = map[string]error{
	"nobody answers": plat.ErrUnknown, "nobody listens": plat.ErrUnavailable, "another worker answers": runs.ErrIncarnation,
}

// addPhantom adds an entry to the list of workers; calls to it fail.
func (pool *testPool) addPhantom(failure error) {
	born := time.Now().UnixMilli()
	pool.mu.Lock()
	pool.list = func() []hosts.Worker { return append(pool.workers.Registered(), phantom(born, nobody)) }
	pool.mu.Unlock()
	renew := pool.renew
	pool.renew = func(ctx context.Context, to runs.Target, n runs.Renew) (runs.Report, error) {
		if to.ID != "odd" {
			return renew(ctx, to, n)
		}
		if failure == plat.ErrUnknown {
			<-ctx.Done()
			return runs.Report{}, fmt.Errorf("%w: %w", failure, ctx.Err())
		}
		time.Sleep(time.Millisecond)
		return runs.Report{}, failure
	}
}

// LOST: an entry that names no worker made each takeover last as long as the longest lease,
// 4.2 s, in which nothing that was accepted before could start.
func TestTakeoverDoesNotWaitForPhantom(t *testing.T) {
	for name, failure := range unprovenEntries {
		t.Run(name, func(t *testing.T) {
			withoutFaults(t, 3, func(ctx context.Context, pool *testPool) {
				pool.addPhantom(failure)
				time.Sleep(5 * time.Second)
				for i := range 4 {
					pool.kill(ctx, pool.leader())
					id := fmt.Sprintf("%016x", i)
					pool.submit(&steps.Job{ID: id, Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 1, CPU: 1000}}})
					for pool.leader() == nil {
						time.Sleep(time.Millisecond)
					}
					elected := time.Now()
					for !pool.state(id).Started && time.Since(elected) < 20*time.Second {
						time.Sleep(time.Millisecond)
					}
					t.Logf("started %s after the election", time.Since(elected))
					assert.Less(pool.t, time.Since(elected), time.Second)
					for _, task := range pool.state(id).Tasks {
						assert.Empty(pool.t, task.Crashes, "announced, as if a worker had been lost")
					}
					time.Sleep(5 * time.Second)
				}
			})
		})
	}
}

// An entry that names no worker caused a write of the list of workers, one of the digest and
// two lines in the log on each reading of the list, for ever.
func TestPhantomCausesNoWrites(t *testing.T) {
	for name, failure := range unprovenEntries {
		t.Run(name, func(t *testing.T) {
			withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
				var mu sync.Mutex
				var lines bytes.Buffer
				writes := 0
				commit := pool.commit
				pool.mu.Lock()
				pool.commit = func(ctx context.Context, tx plat.Txn) (int64, []plat.Item, error) {
					mu.Lock()
					writes += len(tx.Puts)
					mu.Unlock()
					return commit(ctx, tx)
				}
				pool.mu.Unlock()
				pool.log.Writer = log.IOWriter{Writer: writerFunc(func(b []byte) (int, error) {
					mu.Lock()
					defer mu.Unlock()
					return lines.Write(b)
				})}
				pool.addPhantom(failure)
				time.Sleep(time.Minute)
				mu.Lock()
				defer mu.Unlock()
				n := bytes.Count(lines.Bytes(), []byte{'\n'})
				t.Logf("%d keys written and %d lines logged in a minute", writes, n)
				assert.LessOrEqual(pool.t, writes, 1)
				assert.LessOrEqual(pool.t, n, 20)
			})
		})
	}
}

type writerFunc func(b []byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// A worker that is reached only a while after it was registered gets work at once then.
func TestWorkerGetsWorkWhenItAnswers(t *testing.T) {
	withoutFaults(t, 1, func(_ context.Context, pool *testPool) {
		pool.addWorkers(1)
		pool.workers.SetUnreachable("i-2", true)
		time.Sleep(20 * time.Second)
		pool.workers.SetUnreachable("i-2", false)
		time.Sleep(1500 * time.Millisecond)
		pool.submit(&steps.Job{ID: fmt.Sprintf("%016x", 1), Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 2, CPU: 8000}}})
		time.Sleep(150 * time.Millisecond)
		assert.Len(pool.t, pool.workers.Running(), 2)
	})
}

// TWICE: a worker gets no run before the roster with it is stored: the next owner waits for no
// other worker.
func TestNoStartBeforeRosterIsStored(t *testing.T) {
	withoutFaults(t, 1, func(_ context.Context, pool *testPool) {
		var stored atomic.Bool
		commit := pool.commit
		pool.commit = func(ctx context.Context, tx plat.Txn) (int64, []plat.Item, error) {
			if !stored.Load() && slices.ContainsFunc(tx.Puts, func(p plat.Put) bool { return p.Key == "pool/"+poolName }) {
				return 0, nil, plat.ErrUnavailable
			}
			return commit(ctx, tx)
		}
		pool.addWorkers(1)
		time.Sleep(2 * time.Second)
		pool.submit(&steps.Job{ID: fmt.Sprintf("%016x", 1), Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 2, CPU: 8000, LongRunning: true}}})
		time.Sleep(2 * time.Second)
		assert.Len(pool.t, pool.workers.Running(), 1)
		stored.Store(true)
		time.Sleep(time.Second)
		assert.Len(pool.t, pool.workers.Running(), 2)
	})
}

// LIMIT: the entry of a worker tells a capacity that none has for some seconds. It gets no more
// than the others could take.
func TestOddCapacityOverloadsNoWorker(t *testing.T) {
	withoutFaults(t, 3, func(_ context.Context, pool *testPool) {
		pool.mu.Lock()
		pool.list = func() []hosts.Worker { return oddEntries["capacity of no worker"](pool.workers.Registered(), 0) }
		pool.mu.Unlock()
		time.Sleep(time.Second)
		for i := range 60 {
			pool.submit(&steps.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 4, CPU: 1000}}})
		}
		time.Sleep(5 * time.Second)
	})
}

// LOST: at a change of owner, the digest asked for no worker until the first one had answered
// the new owner, so that the hosts of long-running subtasks seemed to be spare.
func TestTakeoverKeepsMinWorkers(t *testing.T) {
	withoutFaults(t, 4, func(ctx context.Context, pool *testPool) {
		pool.submit(&steps.Job{ID: fmt.Sprintf("%016x", 1), Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 4, CPU: 8000, LongRunning: true}}})
		time.Sleep(3 * time.Second)
		minWorkers := func() int {
			it, _ := pool.kv.Peek(owner.DigestKey(poolName))
			var d owner.Digest
			assert.NoError(pool.t, json.Unmarshal(it.Value, &d))
			return d.MinWorkers
		}
		assert.Equal(pool.t, 4, minWorkers())
		pool.mu.Lock()
		pool.list = func() []hosts.Worker {
			time.Sleep(500 * time.Millisecond)
			return pool.workers.Registered()
		}
		pool.mu.Unlock()
		pool.kill(ctx, pool.leader())
		least := 4
		for range 5000 {
			least = min(least, minWorkers())
			time.Sleep(time.Millisecond)
		}
		assert.Equal(pool.t, 4, least)
	})
}
