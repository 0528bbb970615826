package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/hedge"
	"shallotpaddle/plat"
	"shallotpaddle/platform"
)

const (
	// modelCancels is the number of seeds of TestModelCancelled.
	modelCancels = 60
	// modelCancelTime is the time of each, and modelJobs the number of its jobs.
	modelCancelTime = 20 * time.Minute
	modelJobs       = 40
)

// cancelModel is a store with faults, entries that store cancellations, and sweepers that come, go
// and are suspended.
type cancelModel struct {
	kv *fakes.KV

	mu         sync.Mutex
	random     *rand.Rand
	faults     bool
	answeredAt map[string]time.Time // when the last cancellation was answered, by job
	unasked    []string
}

func newCancelModel(seed uint64) *cancelModel {
	m := &cancelModel{kv: fakes.NewKV(), random: rand.New(rand.NewPCG(seed, 8)), faults: true, answeredAt: map[string]time.Time{}}
	m.kv.InjectFault = func(string, string) fakes.CallFault {
		if m.faulty() && m.intN(4) == 0 {
			return fakes.CallFault(1 + m.intN(int(fakes.DelayCall)))
		}
		return fakes.NoFault
	}
	m.kv.OnPut = m.noteStored
	return m
}

func (m *cancelModel) intN(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(n)
}

func (m *cancelModel) faulty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// seconds returns a random time of up to n seconds.
func (m *cancelModel) seconds(n int) time.Duration {
	return time.Duration(m.intN(n*1000)) * time.Millisecond
}

// noteStored notes a job that is stored after its cancellation was answered.
func (m *cancelModel) noteStored(it plat.Item) {
	id, ok := strings.CutPrefix(it.Key, "job/p/")
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, ok := m.answeredAt[id]; ok && time.Since(at) <= minCancelledTime {
		m.unasked = append(m.unasked, fmt.Sprintf("%s %v after its cancellation was answered", id, time.Since(at)))
	}
}

// writer returns the writes of one process.
func (m *cancelModel) writer() *hedge.Writer {
	return hedge.New(hedge.Params{
		Commit: m.kv.Commit, Grant: m.kv.Grant, Renew: m.kv.Renew, Clock: quartz.NewReal(), Timeout: platform.StoreTimeout,
		Repeats: metrics.NewCounter(),
	})
}

// entry cancels jobs, and hands them in, until the context ends.
func (m *cancelModel) entry(ctx context.Context) {
	w := m.writer()
	c := &cancelled{
		pause: pauseFor, retention: func() time.Duration { return time.Second },
		commit: func(ctx context.Context, t plat.Txn) ([]plat.Item, error) {
			_, items, err := w.Commit(ctx, t)
			return items, err
		},
	}
	for ctx.Err() == nil {
		id := fmt.Sprint(m.intN(modelJobs))
		if m.intN(3) > 0 {
			_, _, _ = w.Commit(ctx, plat.Txn{
				Expect: []plat.Condition{{Key: "job/p/" + id}, {Key: cancelledKey(id)}},
				Puts:   []plat.Put{{Key: "job/p/" + id}},
			})
		} else if c.store(ctx, id) == nil {
			m.mu.Lock()
			m.answeredAt[id] = time.Now()
			m.mu.Unlock()
			m.kv.Delete("job/p/" + id) // as its owner would
		}
		pauseFor(ctx, m.seconds(4))
	}
}

// sweeper returns a sweeper that may be suspended before any of its writes.
func (m *cancelModel) sweeper() *sweeper {
	w := m.writer()
	return &sweeper{
		list: m.kv.List, pause: pauseFor, clock: quartz.NewReal(), log: &log.Logger{Level: log.PanicLevel},
		keep: func() time.Duration { return minCancelledTime }, removed: metrics.NewCounter(),
		commit: func(_ context.Context, t plat.Txn) (int64, []plat.Item, error) {
			if m.faulty() && m.intN(10) == 0 {
				time.Sleep(m.seconds(90))
			}
			return w.Commit(context.Background(), t)
		},
	}
}

// sweepers runs sweepers one after another until the context ends.
func (m *cancelModel) sweepers(ctx context.Context) {
	for ctx.Err() == nil {
		run, end := context.WithTimeout(ctx, m.seconds(200))
		m.sweeper().run(run)
		end()
	}
}

// No job is stored within the time for which its cancellation is kept after that was answered,
// whatever the store loses, delays or takes away and whoever sweeps; and no cancellation stays.
func TestModelCancelled(t *testing.T) {
	for seed := range uint64(modelCancels) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newCancelModel(seed)
				ctx, end := context.WithCancel(t.Context())
				var all sync.WaitGroup
				for range 3 {
					all.Go(func() { m.entry(ctx) })
				}
				all.Go(func() { m.sweepers(ctx) })
				lasting, stop := context.WithCancel(t.Context())
				all.Go(func() { m.sweeper().run(lasting) })
				for begun := time.Now(); time.Since(begun) < modelCancelTime; {
					time.Sleep(m.seconds(20))
					m.kv.EndLeases()
				}
				end()
				time.Sleep(5 * time.Second) // for calls that are carried out late
				m.mu.Lock()
				m.faults = false
				require.Empty(t, m.unasked, "UNASKED")
				require.NotEmpty(t, m.answeredAt)
				m.mu.Unlock()
				time.Sleep(5 * time.Minute)
				stop()
				all.Wait()
				items, _, err := m.kv.List(t.Context(), cancelledPrefix)
				require.NoError(t, err)
				require.Empty(t, items)
			})
		})
	}
}
