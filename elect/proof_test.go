package elect_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/elect"
	"shallotpaddle/plat"
)

// fence returns the fencing token by which an entry leads a pool; 0 if it does not.
func (el *election) fence(pool, name string) int64 {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.termsHeld[pool][name].Fence
}

// holds reports whether an entry leads a pool.
func (el *election) holds(pool, name string) bool { return el.fence(pool, name) != 0 }

// hang waits until the context ends.
func hang(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// TWICE: the store takes away a leader's key but still renews its lease, and the watch tells
// nothing. After a trouble, no renewal may count as proof until the leader has found its keys
// in place, or has given up.
func TestRenewalProvesNothingOfKeysThatAreGone(t *testing.T) {
	const removalAfter, healedAfter = 5 * time.Second, 6 * time.Second // from the trouble's begin
	type seam struct {
		renew func(ctx context.Context, renew func() error) error
		watch func(ctx context.Context) error
	}
	answered := func(_ context.Context, renew func() error) error { return renew() }
	for name, s := range map[string]seam{
		"answers to renewals lost": {func(_ context.Context, renew func() error) error {
			_ = renew() // carried out
			time.Sleep(1200 * time.Millisecond)
			return plat.ErrUnknown
		}, hang},
		"renewals refused now and then": {func(_ context.Context, renew func() error) error {
			if err := renew(); err != nil || time.Now().UnixMilli()%2 == 0 {
				return err
			}
			return plat.ErrUnavailable
		}, hang},
		"renewals answered late": {func(_ context.Context, renew func() error) error {
			err := renew()
			time.Sleep(600 * time.Millisecond)
			return err
		}, hang},
		"watch fails": {answered, func(context.Context) error {
			time.Sleep(300 * time.Millisecond)
			return plat.ErrUnavailable
		}},
		"watch hangs": {answered, hang},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
				var renewals, watches atomic.Bool // are in trouble
				el.wrap = func(name string, store elect.Store) elect.Store {
					if name != "a" {
						return store
					}
					healthy := store
					store.Renew = func(ctx context.Context, lease int64) error {
						if !renewals.Load() {
							return healthy.Renew(ctx, lease)
						}
						return s.renew(ctx, func() error { return healthy.Renew(ctx, lease) })
					}
					store.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error) {
						if watches.Load() {
							return nil, 0, s.watch(ctx)
						}
						return healthy.Watch(ctx, prefix, after, wait)
					}
					return store
				}
				a, _ := el.startEntry(ctx, "a", []string{"p"})
				time.Sleep(time.Second)
				b, _ := el.startEntry(ctx, "b", []string{"p"})
				time.Sleep(3 * time.Second)
				require.True(t, el.holds("p", "a"))
				require.True(t, a.Proven())

				begun := time.Now()
				renewals.Store(true)
				watches.Store(true)
				time.Sleep(removalAfter)
				require.True(t, el.holds("p", "a"))
				fence, removed := el.fence("p", "a"), sinceBoot()
				el.kv.Delete(elect.Key("p"))
				for el.fence("p", "a") == fence {
					require.Less(t, a.ProvenAt(), removed, "counts on a key that is gone")
					require.Less(t, time.Since(begun), healedAfter+time.Second, "still leads")
					if time.Since(begun) >= healedAfter {
						renewals.Store(false)
					}
					time.Sleep(time.Millisecond)
				}
				require.Less(t, a.ProvenAt(), removed, "counts on a key that is gone")
				renewals.Store(false)
				time.Sleep(2 * time.Second)
				el.leadsByKey(t, "p", el.leaders(t, []string{"p"})["p"])
				require.True(t, a.Proven(), "its lease lasts")
				require.True(t, b.Proven())
			})
		})
	}
}

// TWICE: the same, and the successor is elected before the renewals are answered again.
func TestLeaderIsNotProvenAfterCutWhileAnotherLeads(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		var cut, silent atomic.Bool
		el.wrap = func(name string, store elect.Store) elect.Store {
			if name != "a" {
				return store
			}
			healthy := store
			store.Renew = func(ctx context.Context, lease int64) error {
				err := healthy.Renew(ctx, lease)
				if cut.Load() {
					time.Sleep(1200 * time.Millisecond)
					return plat.ErrUnknown
				}
				return err
			}
			store.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error) {
				items, rev, err := healthy.Watch(ctx, prefix, after, wait)
				if silent.Load() {
					return nil, 0, hang(ctx)
				}
				return items, rev, err
			}
			return store
		}
		a, _ := el.startEntry(ctx, "a", []string{"p"})
		time.Sleep(time.Second)
		el.startEntry(ctx, "b", []string{"p"})
		time.Sleep(3 * time.Second)
		require.True(t, el.holds("p", "a"))
		cut.Store(true)
		silent.Store(true)
		for a.Proven() {
			time.Sleep(time.Millisecond)
		}
		el.kv.Delete(elect.Key("p"))
		for !el.holds("p", "b") {
			require.False(t, a.Proven())
			time.Sleep(time.Millisecond)
		}
		require.True(t, el.holds("p", "a"), "it can't know yet")
		cut.Store(false)
		healed := time.Now()
		for el.holds("p", "a") {
			require.False(t, a.Proven(), "while another leads")
			require.Less(t, time.Since(healed), 2*time.Second)
			time.Sleep(time.Millisecond)
		}
		require.Equal(t, 1, el.lostCount)
	})
}

// Guard: the store prices each call. An entry whose calls are answered renews its lease and
// watches, and makes no other call.
func TestSteadyStateHasNoOtherCalls(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, pools []string) {
		el.startEntry(ctx, "a", pools)
		time.Sleep(3 * time.Second)
		el.leaders(t, pools)
		before := el.kv.Calls()
		const span = 30 * time.Second
		time.Sleep(span)
		after := el.kv.Calls()
		for _, op := range []string{"list", "get", "commit", "grant", "revoke"} {
			require.Equal(t, before[op], after[op], op)
		}
		require.LessOrEqual(t, after["renew"]-before["renew"], int(span/(ttl/4)))
		require.LessOrEqual(t, after["watch"]-before["watch"], int(span/(2*time.Second))+1)
	})
}

// TWICE: a claim is carried out and its key taken away, of which the watch tells before the
// claim's answer comes: the entry must not lead by that key.
func TestClaimWhoseKeyIsGoneIsNoElection(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		var removed atomic.Bool
		el.commit = func(ctx context.Context, txn plat.Txn) (int64, []plat.Item, error) {
			rev, items, err := el.kv.Commit(ctx, txn)
			if txn.Puts[0].Key == elect.Key("p") && removed.CompareAndSwap(false, true) {
				el.kv.Delete(elect.Key("p"))
				time.Sleep(800 * time.Millisecond)
			}
			return rev, items, err
		}
		el.startEntry(ctx, "a", []string{"p"})
		time.Sleep(4 * time.Second)
		require.True(t, removed.Load())
		el.leadsByKey(t, "p", "a")
		require.Equal(t, 1, el.wonCount)
	})
}

// TWICE: the same, and the watch tells nothing.
func TestLateAnswerToClaimWhoseKeyIsGone(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		var removed atomic.Bool
		el.commit = func(ctx context.Context, txn plat.Txn) (int64, []plat.Item, error) {
			rev, items, err := el.kv.Commit(ctx, txn)
			if txn.Puts[0].Key == elect.Key("p") && removed.CompareAndSwap(false, true) {
				el.kv.Delete(elect.Key("p"))
				time.Sleep(800 * time.Millisecond)
			}
			return rev, items, err
		}
		el.wrap = func(_ string, store elect.Store) elect.Store {
			watch := store.Watch
			store.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error) {
				items, rev, err := watch(ctx, prefix, after, wait)
				if removed.Load() {
					time.Sleep(2 * time.Second)
				}
				return items, rev, err
			}
			return store
		}
		el.startEntry(ctx, "a", []string{"p"})
		for begun := time.Now(); time.Since(begun) < 6*time.Second; time.Sleep(time.Millisecond) {
			if el.holds("p", "a") {
				el.leadsByKey(t, "p", "a")
			}
		}
		el.leadsByKey(t, "p", "a")
	})
}

// TWICE: a claim without an answer is carried out and its key taken away again; the watch,
// which is late, has told of the claim only.
func TestLateClaimWhoseKeyIsGoneIsNotAdopted(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		var claims, reads atomic.Int32
		el.commit = func(ctx context.Context, txn plat.Txn) (int64, []plat.Item, error) {
			rev, items, err := el.kv.Commit(ctx, txn)
			if txn.Puts[0].Key != elect.Key("p") {
				return rev, items, err
			}
			if claims.Add(1) > 1 {
				return rev, items, err
			}
			time.AfterFunc(1800*time.Millisecond, func() { el.kv.Delete(elect.Key("p")) })
			time.Sleep(1200 * time.Millisecond)
			return 0, nil, plat.ErrUnknown
		}
		el.wrap = func(_ string, store elect.Store) elect.Store {
			healthy := store
			store.Get = func(ctx context.Context, key string) (plat.Item, error) {
				if reads.Add(1) < 3 && key == elect.Key("p") && claims.Load() == 1 {
					return plat.Item{}, plat.ErrUnavailable
				}
				return healthy.Get(ctx, key)
			}
			store.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error) {
				items, rev, err := healthy.Watch(ctx, prefix, after, wait)
				if len(items) > 0 && claims.Load() > 0 {
					time.Sleep(2 * time.Second)
				}
				return items, rev, err
			}
			return store
		}
		el.startEntry(ctx, "a", []string{"p"})
		for begun := time.Now(); time.Since(begun) < 8*time.Second; time.Sleep(time.Millisecond) {
			if el.holds("p", "a") {
				el.leadsByKey(t, "p", "a")
			}
		}
		require.Positive(t, claims.Load())
		el.leadsByKey(t, "p", "a")
	})
}

// leadsByKey requires that an entry leads a pool by the leader's key in the store.
func (el *election) leadsByKey(t *testing.T, pool, name string) {
	t.Helper()
	it, ok := el.kv.Peek(elect.Key(pool))
	require.True(t, ok, "leads by a key that is gone")
	el.mu.Lock()
	defer el.mu.Unlock()
	require.Equal(t, it.Rev, el.termsHeld[pool][name].Fence)
}

// An entry without a lease must not find its last proof recent, right after the host's start.
func TestNoProofBeforeRegistration(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		el.wrap = func(_ string, store elect.Store) elect.Store {
			store.Grant = func(context.Context, time.Duration) (int64, error) { return 0, errors.New("refused") }
			return store
		}
		e, _ := el.startEntry(ctx, "a", []string{"p"})
		time.Sleep(time.Second)
		require.Less(t, e.ProvenAt(), -24*time.Hour)
		require.Greater(t, sinceBoot()-e.ProvenAt(), 24*time.Hour, "no overflow")
	})
}
