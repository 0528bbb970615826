package elect_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"shallotpaddle/elect"
	"shallotpaddle/fakes"
	"shallotpaddle/plat"
)

// term returns the term for which an entry leads pool p; the test fails if it does not.
func (el *election) term(t *testing.T, name string) elect.Term {
	t.Helper()
	el.mu.Lock()
	defer el.mu.Unlock()
	term, ok := el.termsHeld["p"][name]
	require.True(t, ok, "%s does not lead", name)
	return term
}

// past returns the leaders in the key of pool p's past.
func (el *election) past(t *testing.T) (out []string) {
	t.Helper()
	it, _ := el.kv.Peek("seat/past/p")
	var v struct {
		Entries []struct {
			Node string
			Boot int
		}
	}
	require.NoError(t, json.Unmarshal(it.Value, &v))
	for _, a := range v.Entries {
		out = append(out, fmt.Sprint(a.Node, a.Boot))
	}
	return out
}

// succeed starts entries one after the other, each of which is killed when it leads.
func (el *election) succeed(ctx context.Context, t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		_, kill := el.startEntry(ctx, name, []string{"p"})
		time.Sleep(ttl + time.Second)
		el.term(t, name)
		kill()
	}
}

// lead starts an entry and returns its elector and its term.
func (el *election) lead(ctx context.Context, t *testing.T, name string) (*elect.Elector, elect.Term) {
	t.Helper()
	e, _ := el.startEntry(ctx, name, []string{"p"})
	time.Sleep(ttl + time.Second)
	return e, el.term(t, name)
}

// restart starts an entry that takes part in no election, and waits until it is registered.
func (el *election) restart(ctx context.Context, name string) {
	el.startEntry(ctx, name, nil)
	time.Sleep(200 * time.Millisecond)
}

// TWICE: a leader that was killed has ended once its entry registers anew, and none of
// several may be left out.
func TestFormerLeadersEndByNewRegistration(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		el.succeed(ctx, t, "a", "b")
		c, term := el.lead(ctx, t, "c")
		require.Equal(t, []string{"a1", "b1", "c1"}, el.past(t))
		require.False(t, c.FormerEnded(term))
		el.restart(ctx, "b")
		require.False(t, c.FormerEnded(term), "a may still act")
		el.restart(ctx, "a")
		require.True(t, c.FormerEnded(term))
	})
}

// Guard: what is told of former leaders goes with the writes of the registration and the
// claim; only the boot counter is read before.
func TestFirstLeaderHasNoFormer(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		e, term := el.lead(ctx, t, "a")
		require.True(t, e.FormerEnded(term))
		e.Settle(term)
		time.Sleep(time.Second)
		calls := el.kv.Calls()
		require.Equal(t, []int{2, 1, 1, 1}, []int{calls["commit"], calls["get"], calls["list"], calls["grant"]})
		require.Equal(t, []string{"a1"}, el.past(t))
	})
}

// An entry that starts again has none but itself before it.
func TestOwnEarlierLeadershipHasEnded(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		el.succeed(ctx, t, "a")
		e, term := el.lead(ctx, t, "a")
		require.True(t, e.FormerEnded(term))
		require.Equal(t, []string{"a2"}, el.past(t))
		e.GiveUp("p")
		time.Sleep(time.Second)
		require.Greater(t, el.term(t, "a").Fence, term.Fence)
		require.True(t, e.FormerEnded(el.term(t, "a")))
		require.Equal(t, []string{"a2"}, el.past(t))
	})
}

func TestResignedLeaderHasEnded(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		a, _ := el.lead(ctx, t, "a")
		b, _ := el.startEntry(ctx, "b", []string{"p"})
		time.Sleep(time.Second)
		a.Resign(ctx)
		time.Sleep(400 * time.Millisecond)
		require.True(t, b.FormerEnded(el.term(t, "b")))
		require.Equal(t, []string{"b1"}, el.past(t))
	})
}

// A stopping entry must not wait for a store that doesn't answer.
func TestResigningWithoutStore(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		a, _ := el.lead(ctx, t, "a")
		el.setFault(func(string, string) fakes.CallFault { return fakes.DropCall })
		begun := time.Now()
		a.Resign(ctx)
		require.LessOrEqual(t, time.Since(begun), 500*time.Millisecond+1200*time.Millisecond+10*time.Millisecond)
	})
}

// TWICE: an entry whose lease has ended registers under another one. It must have lost what
// it led before its counter says so.
func TestLeaderHasLostBeforeItIsKnownToHaveEnded(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		var lease atomic.Int64
		el.commit = func(ctx context.Context, txn plat.Txn) (int64, []plat.Item, error) {
			if txn.Puts[0].Key == "seat/node/a" {
				lease.Store(txn.Puts[0].Lease)
				assert.False(t, el.holds("p", "a"), "registers while it leads")
			}
			return el.kv.Commit(ctx, txn)
		}
		var silent atomic.Bool
		el.wrap = func(name string, store elect.Store) elect.Store {
			watch := store.Watch
			store.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error) {
				if name == "a" && silent.Load() {
					return nil, 0, hang(ctx)
				}
				return watch(ctx, prefix, after, wait)
			}
			return store
		}
		_, first := el.lead(ctx, t, "a")
		b, _ := el.startEntry(ctx, "b", []string{"p"})
		time.Sleep(time.Second)
		silent.Store(true)
		el.kv.EndLease(lease.Load())
		ended := time.Now()
		for !el.holds("p", "b") || !b.FormerEnded(el.term(t, "b")) {
			require.Less(t, time.Since(ended), 3*time.Second)
			time.Sleep(time.Millisecond)
		}
		require.NotEqual(t, first.Fence, el.fence("p", "a"))
		require.Equal(t, 1, el.lostCount)
	})
}

// Leaders of whom the owner knows by other means that they act no more are left out then.
func TestSettledPast(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		el.succeed(ctx, t, "a", "b")
		c, kill := el.startEntry(ctx, "c", []string{"p"})
		time.Sleep(ttl + time.Second)
		refusals := 2
		el.setFault(func(_, key string) fakes.CallFault {
			if key == "seat/past/p" && refusals > 0 {
				refusals--
				return fakes.RefuseCall
			}
			return fakes.NoFault
		})
		c.Settle(el.term(t, "c"))
		time.Sleep(time.Second)
		require.Equal(t, []string{"c1"}, el.past(t))
		kill()
		d, term := el.lead(ctx, t, "d")
		require.Equal(t, []string{"c1", "d1"}, el.past(t))
		require.False(t, d.FormerEnded(term))
		el.restart(ctx, "c")
		require.True(t, d.FormerEnded(term))
	})
}

// TWICE: a leader that is no longer one must not take out of the list those that its
// successor has to wait for.
func TestSettlingTooLateWritesNothing(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		el.succeed(ctx, t, "a")
		b, term := el.lead(ctx, t, "b")
		el.startEntry(ctx, "c", []string{"p"})
		el.kv.Delete(elect.Key("p"))
		time.Sleep(2 * time.Second)
		el.leaders(t, []string{"p"})
		past := el.past(t)
		require.Greater(t, len(past), 1)
		b.Settle(term)
		time.Sleep(time.Second)
		require.Equal(t, past, el.past(t))
	})
}

// TWICE: an entry of an older version has led, and says nothing of it but the number of
// elections.
func TestLeaderOfOlderVersionIsNotKnownToHaveEnded(t *testing.T) {
	for name, before := range map[string][]string{"after others": {"a"}, "first": nil} {
		t.Run(name, func(t *testing.T) {
			run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
				el.succeed(ctx, t, before...)
				time.Sleep(ttl)
				el.kv.Put("seat/term/p", []byte(fmt.Sprint(len(before)+1)))
				b, term := el.lead(ctx, t, "b")
				require.Equal(t, len(before)+2, term.Number)
				el.restart(ctx, "a")
				el.restart(ctx, "old")
				require.False(t, b.FormerEnded(term))
				require.Equal(t, []string{"0", "b1"}, el.past(t))
				b.Settle(term)
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, []string{"b1"}, el.past(t))
			})
		})
	}
}

// TWICE: more leaders than the list has room for: none of them may count as ended.
func TestTooManyFormerLeaders(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		var names []string
		for i := range 17 {
			names = append(names, fmt.Sprint("n", string(rune('a'+i)), "-"))
		}
		el.succeed(ctx, t, names[:16]...)
		require.Len(t, el.past(t), 16)
		el.succeed(ctx, t, names[16])
		require.Equal(t, []string{"0", "nq-1"}, el.past(t))
		e, term := el.lead(ctx, t, "last")
		require.Equal(t, []string{"0", "nq-1", "last1"}, el.past(t))
		for _, name := range names {
			el.restart(ctx, name)
		}
		require.False(t, e.FormerEnded(term))
	})
}

// TWICE: a claim is carried out seconds later, or without an answer. The leader must know
// of those before it.
func TestLateClaimKnowsFormerLeaders(t *testing.T) {
	for _, fault := range []fakes.CallFault{fakes.DelayCall, fakes.DropAnswer} {
		for _, reads := range []fakes.CallFault{fakes.NoFault, fakes.RefuseCall} {
			t.Run(fmt.Sprint(fault, reads), func(t *testing.T) {
				run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
					el.succeed(ctx, t, "a")
					time.Sleep(ttl)
					begun := time.Now()
					claims := 0
					el.setFault(func(op, key string) fakes.CallFault {
						if key != elect.Key("p") || time.Since(begun) > 4*time.Second {
							return fakes.NoFault
						}
						switch op {
						case "get":
							return reads
						case "commit":
							if claims++; claims == 1 {
								return fault
							}
							return fakes.DropCall
						}
						return fakes.NoFault
					})
					b, _ := el.startEntry(ctx, "b", []string{"p"})
					time.Sleep(8 * time.Second)
					term := el.term(t, "b")
					require.Equal(t, 2, term.Number)
					require.Equal(t, []string{"a1", "b1"}, el.past(t))
					require.False(t, b.FormerEnded(term))
					el.restart(ctx, "a")
					require.True(t, b.FormerEnded(term))
				})
			})
		}
	}
}

// The boot counter is raised by each registration, and one without an answer that is carried
// out late neither keeps the entry from registering nor undoes the next one.
func TestRegistrationsWithoutAnswer(t *testing.T) {
	for _, fault := range []fakes.CallFault{fakes.DropAnswer, fakes.DelayCall, fakes.DropCall, fakes.RefuseCall} {
		for _, repeats := range []bool{false, true} {
			t.Run(fmt.Sprint(fault, repeats), func(t *testing.T) {
				run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
					el.repeats = repeats
					el.succeed(ctx, t, "a")
					time.Sleep(ttl)
					left := 3
					el.setFault(func(op, key string) fakes.CallFault {
						if op != "commit" || key != "seat/node/a" || left == 0 {
							return fakes.NoFault
						}
						left--
						return fault
					})
					before := el.kv.Calls()["commit"]
					_, _ = el.startEntry(ctx, "a", []string{"p"})
					time.Sleep(12 * time.Second)
					el.setFault(nil)
					require.Zero(t, left)
					el.leadsByKey(t, "p", "a")
					require.LessOrEqual(t, el.kv.Calls()["commit"]-before, 10)
					it, _ := el.kv.Peek("seat/boot/a")
					var v struct{ Boot, Lease int64 }
					require.NoError(t, json.Unmarshal(it.Value, &v))
					require.Greater(t, v.Boot, int64(1))
					require.LessOrEqual(t, v.Boot, int64(5))
					require.Equal(t, fmt.Sprint("a", v.Boot), el.past(t)[len(el.past(t))-1], "leads by its last registration")
				})
			})
		}
	}
}

// TWICE: another process has registered by this entry's name, so that the others count its
// leaderships as ended: it must give them up.
func TestSupersededEntryGivesUp(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		_, term := el.lead(ctx, t, "a")
		el.kv.Put("seat/boot/a", []byte(`{"boot":2,"lease":1}`))
		time.Sleep(10 * time.Millisecond)
		require.False(t, el.holds("p", "a"))
		time.Sleep(2*ttl + time.Second)
		require.Greater(t, el.term(t, "a").Fence, term.Fence)
		require.Equal(t, []string{"a3"}, el.past(t))
	})
}

// TWICE: a counter that was removed from the store must not begin again below those that
// others have seen.
func TestRemovedBootCounter(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		var lease atomic.Int64
		el.commit = func(ctx context.Context, txn plat.Txn) (int64, []plat.Item, error) {
			lease.Store(txn.Puts[0].Lease)
			return el.kv.Commit(ctx, txn)
		}
		el.succeed(ctx, t, "a", "a")
		el.lead(ctx, t, "a")
		el.kv.Delete("seat/boot/a")
		el.kv.EndLease(lease.Load())
		time.Sleep(ttl)
		el.term(t, "a")
		require.Equal(t, []string{"a4"}, el.past(t))
	})
}

// TWICE: a past or a boot counter that can't be read, or is out of range, tells of nobody
// that he has ended.
func TestOddPastAndBootKeys(t *testing.T) {
	odd := map[string]string{
		"empty": "", "invalid UTF-8": "\xff", "another type": `"7"`, "number": "7", "list": "[]", "nested": strings.Repeat("[", 20_000),
		"null": "null", "object": "{}", "1e400": `{"boot":1e400,"term":1e400}`, "1.5": `{"boot":1.5,"term":1.5}`,
		"negative": `{"boot":-1,"term":-1,"entries":[]}`, "largest": `{"boot":9223372036854775807,"term":9223372036854775807}`,
		"past int64": `{"boot":9223372036854775808,"term":9223372036854775808}`, "no leaders": `{"term":1,"entries":[]}`,
		"null leaders": `{"term":1,"entries":null}`, "null leader": `{"term":1,"entries":[null]}`, "no name": `{"term":1,"entries":[{"boot":1}]}`,
		"no boot": `{"term":1,"entries":[{"node":"a"}]}`, "negative boot": `{"term":1,"entries":[{"node":"a","boot":-3}]}`,
		"odd leader": `{"term":1,"entries":["a"]}`, "many": `{"term":1,"entries":[` + strings.Repeat(`{"node":"a","boot":1},`, 4000) + `null]}`,
	}
	for name, value := range odd {
		t.Run("past "+name, func(t *testing.T) {
			run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
				el.succeed(ctx, t, "a")
				el.kv.Put("seat/past/p", []byte(value))
				b, term := el.lead(ctx, t, "b")
				el.restart(ctx, "a")
				require.False(t, b.FormerEnded(term))
				require.LessOrEqual(t, len(el.past(t)), 16)
			})
		})
		t.Run("boot "+name, func(t *testing.T) {
			run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
				el.succeed(ctx, t, "a")
				el.kv.Put("seat/boot/a", []byte(value))
				el.kv.Put("seat/boot/b", []byte(value))
				el.kv.Put("seat/boot/", []byte(value))
				b, term := el.lead(ctx, t, "b")
				require.False(t, b.FormerEnded(term))
				el.restart(ctx, "a")
				require.True(t, b.FormerEnded(term), "its new counter is higher than any before")
				el.restart(ctx, "b") // as another process
				time.Sleep(3 * ttl)
			})
		})
	}
	t.Run("past without elections", func(t *testing.T) {
		run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
			el.kv.Put("seat/past/p", []byte("null"))
			e, term := el.lead(ctx, t, "a")
			require.False(t, e.FormerEnded(term))
		})
	})
}

// An entry knows from when on no leader before an election acts: from the settled one or a later
// one that it has heard of, at the time at which it heard of the first of them.
func TestSettledAtIsWhenEntryHeardOfIt(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, el *election, _ []string) {
		b, _ := el.startEntry(ctx, "b", nil)
		time.Sleep(time.Second)
		begun := sinceBoot()
		el.succeed(ctx, t, "a")
		first, ok := b.SettledAt("p", 1)
		require.True(t, ok)
		require.Greater(t, first, begun)
		_, ok = b.SettledAt("p", 2)
		require.False(t, ok)

		c, term := el.lead(ctx, t, "c")
		require.Equal(t, 2, term.Number)
		_, ok = b.SettledAt("p", 2)
		require.False(t, ok, "a may still act")
		c.Settle(term)
		time.Sleep(time.Second)
		second, ok := b.SettledAt("p", 2)
		require.True(t, ok)
		require.GreaterOrEqual(t, second, sinceBoot()-time.Second)
		again, _ := b.SettledAt("p", 1)
		require.Equal(t, first, again)

		d, _ := el.startEntry(ctx, "d", nil)
		time.Sleep(time.Second)
		late, ok := d.SettledAt("p", 1)
		require.True(t, ok)
		require.Greater(t, late, second, "an entry that starts later knows of no earlier time")
		_, ok = d.SettledAt("p", 3)
		require.False(t, ok)
	})
}
