package carry_test

import (
	"maps"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotpaddle/table"
)

// draw begins a change of a random host. Steps that carry an outage on come up
// as often as those that begin one.
func (m *model) draw(t *rapid.T, a *actor) {
	why := rapid.SampledFrom([]table.Reason{table.Maintenance, table.Move}).Draw(t, "why")
	m.decide(a, rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.SampledFrom(hosts).Draw(t, "host"),
		rapid.SampledFrom(pools).Draw(t, "pool"), why)
}

func (m *model) run(t *rapid.T) {
	keys := append(slices.Sorted(maps.Keys(m.store)), "conf")
	anyone := rapid.SampledFrom(m.actors)
	advance := func(t *rapid.T) {
		a := anyone.Draw(t, "actor")
		if len(a.steps) > 0 {
			m.advance(t, a, rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "repeated"}).Draw(t, "fate"))
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"": m.check,
		"refresh": func(t *rapid.T) {
			m.refresh(anyone.Draw(t, "actor"), rapid.SampledFrom(keys).Draw(t, "key"))
		},
		"look": func(t *rapid.T) {
			m.look(anyone.Draw(t, "actor"), keys)
		},
		"decide": func(t *rapid.T) {
			a := anyone.Draw(t, "actor")
			if len(a.steps) == 0 {
				m.draw(t, a)
			}
		},
		"move": func(t *rapid.T) { // a whole move without a fault
			a, host := anyone.Draw(t, "actor"), rapid.SampledFrom(hosts).Draw(t, "host")
			for _, k := range []table.ChangeKind{table.Permit, table.StartMove, table.CompleteMove, table.EndOutage} {
				m.whole(t, a, keys, table.Change{Kind: k, Reason: table.Move}, host)
			}
		},
		"maintain": func(t *rapid.T) { // a maintenance, from any phase on, without a fault
			a, host := anyone.Draw(t, "actor"), rapid.SampledFrom(hosts).Draw(t, "host")
			steps := []table.ChangeKind{table.Permit, table.Reboot, table.StartProbation, table.EndOutage}
			for _, k := range steps[rapid.IntRange(0, 2).Draw(t, "first"):] {
				m.hosts[host].boot++
				m.hosts[host].ordered = false
				m.whole(t, a, keys, table.Change{Kind: k, Reason: table.Maintenance}, host)
			}
		},
		"pause": func(t *rapid.T) { // a reboot is recorded and its order held back
			a, host := anyone.Draw(t, "actor"), rapid.SampledFrom(hosts).Draw(t, "host")
			if len(a.steps) > 0 {
				return
			}
			m.look(a, keys)
			m.decide(a, table.Reboot, host, pools[0], table.Maintenance)
			for len(a.steps) > 1 {
				m.advance(t, a, "ok")
			}
		},
		"begin": func(t *rapid.T) { // a permit or its recall without a fault
			a, host := anyone.Draw(t, "actor"), rapid.SampledFrom(hosts).Draw(t, "host")
			k := rapid.SampledFrom([]table.ChangeKind{table.Permit, table.Permit, table.CancelPermit}).Draw(t, "kind")
			m.whole(t, a, keys, table.Change{Kind: k, Reason: table.Maintenance}, host)
		},
		"advance": advance, "advance more": advance, "advance most": advance,
		"deliver": func(t *rapid.T) {
			if len(m.late) > 0 {
				m.put(t, m.late[0])
				m.late = m.late[1:]
			}
		},
		"crash": func(t *rapid.T) {
			a := anyone.Draw(t, "actor")
			a.steps, a.read = nil, nil
		},
		"boot": func(t *rapid.T) { // an ordered reboot ends, or a host restarts by itself
			h := m.hosts[rapid.SampledFrom(hosts).Draw(t, "host")]
			h.boot++
			h.ordered = false
		},
		"budget": func(t *rapid.T) {
			c := m.conf.Clone()
			c.Rev++
			c.Pools[0].Budget = rapid.IntRange(1, 3).Draw(t, "budget")
			m.budget[c.Rev] = c.Pools[0].Budget
			m.conf = c
		},
	})
}

// TestModel interleaves three entries step by step over a store that loses and
// delays answers and writes.
func TestModel(t *testing.T) {
	done := map[table.ChangeKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		m.run(t)
		for k, n := range m.done {
			done[k] += n
		}
	})
	for _, k := range kinds {
		require.Positive(t, done[k], "%s was carried out", k)
	}
}

// quiet is a test that may fail without failing its parent.
type quiet struct {
	*testing.T
	failed atomic.Bool
}

func (q *quiet) Fail()                 { q.failed.Store(true) }
func (q *quiet) FailNow()              { q.Fail(); runtime.Goexit() }
func (q *quiet) Failed() bool          { return q.failed.Load() }
func (q *quiet) Errorf(string, ...any) { q.Fail() }
func (q *quiet) Error(...any)          { q.Fail() }
func (q *quiet) Fatalf(string, ...any) { q.FailNow() }
func (q *quiet) Fatal(...any)          { q.FailNow() }
func (q *quiet) Logf(string, ...any)   {}

// TestModelCanFail leaves out one safeguard at a time and expects TestModel's
// checks to find it.
func TestModelCanFail(t *testing.T) {
	for _, broken := range []string{"budget", "compare", "left", "ended", "confirm"} {
		t.Run(broken, func(t *testing.T) {
			q := &quiet{T: t}
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(q, func(t *rapid.T) {
					m := newModel()
					m.broken = broken
					m.run(t)
				})
			}()
			<-done
			require.True(t, q.failed.Load(), "the model's checks miss a broken %s", broken)
		})
	}
}
