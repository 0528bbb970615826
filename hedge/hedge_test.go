package hedge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/hedge"
	"shallotpaddle/plat"
)

const timeout = 1200 * time.Millisecond

// newWriter returns a writer to a store.
func newWriter(kv *fakes.KV) *hedge.Writer {
	return hedge.New(hedge.Params{
		Commit: kv.Commit, Grant: kv.Grant, Renew: kv.Renew, Clock: quartz.NewReal(), Timeout: timeout, Repeats: metrics.NewCounter(),
	})
}

// faultFirst injects a fault into the first calls of an operation.
func faultFirst(kv *fakes.KV, op string, count int32, fault fakes.CallFault) {
	var seen atomic.Int32
	kv.InjectFault = func(o, _ string) fakes.CallFault {
		if o == op && seen.Add(1) <= count {
			return fault
		}
		return fakes.NoFault
	}
}

func write(key, value string, rev int64) plat.Txn {
	return plat.Txn{Expect: []plat.Condition{{Key: key, Rev: rev}}, Puts: []plat.Put{{Key: key, Value: []byte(value)}}}
}

// TestHalfOfAnswersLost writes while the store loses half of the answers, and carries
// out half of those writes seconds later, as it did on Bula for 12 seconds.
func TestHalfOfAnswersLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKV()
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(1, 1))
		kv.InjectFault = func(_, _ string) fakes.CallFault {
			mu.Lock()
			defer mu.Unlock()
			return []fakes.CallFault{fakes.NoFault, fakes.NoFault, fakes.DropAnswer, fakes.DelayCall}[random.IntN(4)]
		}
		w := newWriter(kv)
		const writes = 400
		begun := time.Now()
		rev := int64(0)
		for i := range writes {
			next, _, err := w.Commit(t.Context(), write("k", fmt.Sprint(i), rev))
			require.NoError(t, err, i)
			rev = next
		}
		require.Less(t, time.Since(begun)/writes, 50*time.Millisecond)
		time.Sleep(5 * time.Second) // delayed copies are carried out
		it, _ := kv.Peek("k")
		require.Equal(t, rev, it.Rev, "a late copy changed the key")
		require.Less(t, kv.Calls()["commit"], 3*writes)
	})
}

// TestConflictWithOwnCopy loses the answer of a write that was carried out.
func TestConflictWithOwnCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKV()
		faultFirst(kv, "commit", 1, fakes.DropAnswer)
		rev, items, err := newWriter(kv).Commit(t.Context(), write("k", "a", 0))
		require.NoError(t, err)
		require.Empty(t, items)
		it, _ := kv.Peek("k")
		require.Equal(t, it.Rev, rev)
	})
}

// TestConflictWithOther loses a write before another writer's. It must not pass for
// carried out, not even if the keys have the values that it would have written, unless
// all its other conditions hold.
func TestConflictWithOther(t *testing.T) {
	for _, value := range []string{"theirs", "ours"} {
		synctest.Test(t, func(t *testing.T) {
			kv := fakes.NewKV()
			fence := kv.Put("lead", []byte("us"))
			faultFirst(kv, "commit", 1, fakes.DropCall)
			txn := write("k", "ours", 0)
			txn.Expect = append(txn.Expect, plat.Condition{Key: "lead", Rev: fence})
			kv.Put("k", []byte(value))
			kv.Put("lead", []byte("them"))
			_, items, err := newWriter(kv).Commit(t.Context(), txn)
			require.ErrorIs(t, err, plat.ErrConflict)
			require.Len(t, items, 2)
		})
	}
}

func TestLeasesWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKV()
		w := newWriter(kv)
		faultFirst(kv, "grant", 2, fakes.DropAnswer)
		begun := time.Now()
		id, err := w.Grant(t.Context(), time.Second)
		require.NoError(t, err)
		faultFirst(kv, "renew", 2, fakes.DropCall)
		require.NoError(t, w.Renew(t.Context(), id))
		require.Less(t, time.Since(begun), 200*time.Millisecond)
		time.Sleep(2 * time.Second)
		require.ErrorIs(t, w.Renew(t.Context(), id), plat.ErrNotFound)
	})
}

// TestRefusalIsNotRepeated checks that a refused write isn't repeated, and that it
// counts as unknown once a copy of it may have been carried out.
func TestRefusalIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKV()
		kv.InjectFault = func(_, _ string) fakes.CallFault { return fakes.RefuseCall }
		w := newWriter(kv)
		_, _, err := w.Commit(t.Context(), write("k", "a", 0))
		require.ErrorIs(t, err, plat.ErrUnavailable)
		require.NotErrorIs(t, err, plat.ErrUnknown)
		require.Equal(t, 1, kv.Calls()["commit"])
		var seen atomic.Int32
		kv.InjectFault = func(_, _ string) fakes.CallFault {
			if seen.Add(1) == 1 {
				return fakes.DropAnswer
			}
			return fakes.RefuseCall
		}
		_, _, err = w.Commit(t.Context(), write("k", "a", 0))
		require.ErrorIs(t, err, plat.ErrUnknown)
		require.NotErrorIs(t, err, plat.ErrUnavailable)
		require.Equal(t, 3, kv.Calls()["commit"])
	})
}

// callsFor makes writes, 20 a second, to a store that answers after a time, and returns
// the number of calls.
func callsFor(t *testing.T, writes int, answerTime time.Duration) int {
	var calls atomic.Int32
	synctest.Test(t, func(t *testing.T) {
		w := hedge.New(hedge.Params{
			Renew: func(ctx context.Context, _ int64) error {
				calls.Add(1)
				select {
				case <-time.After(answerTime):
					return nil
				case <-ctx.Done():
					return plat.ErrUnknown
				}
			},
			Clock: quartz.NewReal(), Timeout: timeout, Repeats: metrics.NewCounter(),
		})
		for range writes {
			go func() { _ = w.Renew(t.Context(), 1) }()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * timeout)
	})
	return int(calls.Load())
}

// TestSlowStoreIsNotFlooded writes to a store that is slow, or gives no answer. It gets at
// most a tenth more calls than there are writes.
func TestSlowStoreIsNotFlooded(t *testing.T) {
	const writes = 500
	for _, answerTime := range []time.Duration{240 * time.Millisecond, time.Second, time.Hour} {
		require.LessOrEqual(t, callsFor(t, writes, answerTime), writes+writes/10, answerTime)
	}
}

// TestWriteIsRepeatedWhenStoreReturns has a silent store, writes that have used up the
// repeats, and a lease to renew. When the store is back, the renewal must not wait until
// the calls made before are timed out.
func TestWriteIsRepeatedWhenStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKV()
		w := newWriter(kv)
		id, err := w.Grant(t.Context(), time.Minute)
		require.NoError(t, err)
		var back atomic.Bool
		kv.InjectFault = func(_, _ string) fakes.CallFault {
			if back.Load() {
				return fakes.NoFault
			}
			return fakes.DropCall
		}
		for i := range 8 {
			go func() { _, _, _ = w.Commit(t.Context(), write(fmt.Sprint("k", i), "a", 0)) }()
		}
		time.Sleep(timeout)
		calls := kv.Calls()["renew"]
		begun := time.Now()
		time.AfterFunc(timeout/4, func() {
			back.Store(true)
			w.Returned()
		})
		require.NoError(t, w.Renew(t.Context(), id))
		require.Less(t, time.Since(begun), timeout/2)
		require.LessOrEqual(t, kv.Calls()["renew"]-calls, 3)
		time.Sleep(2 * timeout)
	})
}
