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

// drawChange begins a random change of a random host. Changes that continue an
// outage are as likely as those that begin one.
func (m *model) drawChange(t *rapid.T, a *actor) {
	reason := rapid.SampledFrom([]table.Reason{table.Maintenance, table.Move}).Draw(t, "why")
	m.decide(a, rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.SampledFrom(hosts).Draw(t, "host"),
		rapid.SampledFrom(pools).Draw(t, "pool"), reason)
}

func (m *model) run(t *rapid.T) {
	keys := append(slices.Sorted(maps.Keys(m.docs)), "conf")
	anyone := rapid.SampledFrom(m.actors)
	advance := func(t *rapid.T) {
		a := anyone.Draw(t, "actor")
		if len(a.steps) > 0 {
			m.advance(t, a, rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "repeated"}).Draw(t, "outcome"))
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"": m.check,
		"refresh": func(t *rapid.T) {
			m.refresh(anyone.Draw(t, "actor"), rapid.SampledFrom(keys).Draw(t, "key"))
		},
		"look": func(t *rapid.T) {
			m.refreshAll(anyone.Draw(t, "actor"), keys)
		},
		"decide": func(t *rapid.T) {
			a := anyone.Draw(t, "actor")
			if len(a.steps) == 0 {
				m.drawChange(t, a)
			}
		},
		"move": func(t *rapid.T) { // a whole move without a fault
			a, host := anyone.Draw(t, "actor"), rapid.SampledFrom(hosts).Draw(t, "host")
			for _, k := range []table.ChangeKind{table.RequestPermit, table.StartMove, table.CompleteMove, table.EndOutage} {
				m.runChange(t, a, keys, table.Change{Kind: k, Reason: table.Move}, host)
			}
		},
		"maintain": func(t *rapid.T) { // a maintenance without a fault, begun at a random phase
			a, host := anyone.Draw(t, "actor"), rapid.SampledFrom(hosts).Draw(t, "host")
			steps := []table.ChangeKind{table.RequestPermit, table.Reboot, table.StartProbation, table.EndOutage}
			for _, k := range steps[rapid.IntRange(0, 2).Draw(t, "first"):] {
				m.hosts[host].boot++
				m.hosts[host].rebooting = false
				m.runChange(t, a, keys, table.Change{Kind: k, Reason: table.Maintenance}, host)
			}
		},
		"pause": func(t *rapid.T) { // a reboot is recorded but not ordered yet
			a, host := anyone.Draw(t, "actor"), rapid.SampledFrom(hosts).Draw(t, "host")
			if len(a.steps) > 0 {
				return
			}
			m.refreshAll(a, keys)
			m.decide(a, table.Reboot, host, pools[0], table.Maintenance)
			for len(a.steps) > 1 {
				m.advance(t, a, "ok")
			}
		},
		"begin": func(t *rapid.T) { // a permit or its cancellation, without a fault
			a, host := anyone.Draw(t, "actor"), rapid.SampledFrom(hosts).Draw(t, "host")
			k := rapid.SampledFrom([]table.ChangeKind{table.RequestPermit, table.RequestPermit, table.CancelPermit}).Draw(t, "kind")
			m.runChange(t, a, keys, table.Change{Kind: k, Reason: table.Maintenance}, host)
		},
		"advance": advance, "advance more": advance, "advance most": advance,
		"deliver": func(t *rapid.T) {
			if len(m.delayed) > 0 {
				m.put(t, m.delayed[0])
				m.delayed = m.delayed[1:]
			}
		},
		"crash": func(t *rapid.T) {
			a := anyone.Draw(t, "actor")
			a.steps, a.readDoc = nil, nil
		},
		"boot": func(t *rapid.T) { // an ordered reboot ends, or a host restarts by itself
			h := m.hosts[rapid.SampledFrom(hosts).Draw(t, "host")]
			h.boot++
			h.rebooting = false
		},
		"budget": func(t *rapid.T) {
			c := m.config.Clone()
			c.Rev++
			c.Pools[0].Budget = rapid.IntRange(1, 3).Draw(t, "budget")
			m.budgets[c.Rev] = c.Pools[0].Budget
			m.config = c
		},
	})
}

// TestModel interleaves the steps of three entries on a store that loses answers
// and delays writes.
func TestModel(t *testing.T) {
	done := map[table.ChangeKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		m.run(t)
		for k, n := range m.completed {
			done[k] += n
		}
	})
	for _, k := range kinds {
		require.Positive(t, done[k], "%s was never carried out", k)
	}
}

// recordingT records that a test failed without failing its parent.
type recordingT struct {
	*testing.T
	failed atomic.Bool
}

func (r *recordingT) Fail()                 { r.failed.Store(true) }
func (r *recordingT) FailNow()              { r.Fail(); runtime.Goexit() }
func (r *recordingT) Failed() bool          { return r.failed.Load() }
func (r *recordingT) Errorf(string, ...any) { r.Fail() }
func (r *recordingT) Error(...any)          { r.Fail() }
func (r *recordingT) Fatalf(string, ...any) { r.FailNow() }
func (r *recordingT) Fatal(...any)          { r.FailNow() }
func (r *recordingT) Logf(string, ...any)   {}

// TestModelCanFail disables one safeguard at a time. TestModel's checks must then
// fail, which shows that they can detect the harm that the safeguard prevents.
func TestModelCanFail(t *testing.T) {
	for _, safeguard := range []string{"budget", "compare", "left", "ended", "confirm"} {
		t.Run(safeguard, func(t *testing.T) {
			r := &recordingT{T: t}
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(r, func(t *rapid.T) {
					m := newModel()
					m.disabled = safeguard
					m.run(t)
				})
			}()
			<-done
			require.True(t, r.failed.Load(), "the model's checks pass without the safeguard %s", safeguard)
		})
	}
}
