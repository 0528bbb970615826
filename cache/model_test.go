package cache

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotpaddle/plat"
)

const modelKey = "fleet/x"

// model is a store that serves one call at a time, in random order and with random
// results, for actors that each run one update.
type model struct {
	rt           *rapid.T
	caches       []*Cache
	actors       []*actor
	item         plat.Item   // the key; Rev 0 while it does not exist
	rev          int64       // revision of the store
	versions     []plat.Item // every version that the key has had
	delayed      []storeCall // writes without an answer that may still arrive
	maxRevs      []int64     // highest document revision seen in each cache
	otherUpdates int         // updates of other entries
}

// storeCall is a call to the store: a write, a sleep between calls or else a read.
type storeCall struct {
	put   bool
	sleep bool
	value []byte
	prev  int64
}

type answer struct {
	item plat.Item
	err  error
}

type actor struct {
	cache   *Cache
	op      string
	cancel  context.CancelFunc
	calls   chan storeCall // closed when the update has ended
	reply   chan answer
	call    storeCall // the call that waits for its answer
	ready   *answer   // the answer to call, if it has been served but the answer is held back
	hasRead bool      // a call of this actor has been served
	ended   bool
	err     error
}

type actorKey struct{}

// callModel passes an actor's call to the model and waits for the answer.
func callModel(ctx context.Context, c storeCall) (plat.Item, error) {
	a := ctx.Value(actorKey{}).(*actor)
	a.calls <- c
	r := <-a.reply
	return r.item, r.err
}

func (m *model) addCache() {
	c := New(plat.New(""), "fleet/", quartz.NewMock(m.rt).WithLogger(quartz.NoOpLogger))
	c.random = func() float64 { return 0 }
	c.get = func(ctx context.Context, _ string) (plat.Item, error) { return callModel(ctx, storeCall{}) }
	c.put = func(ctx context.Context, _ string, value []byte, prev int64, _ string) (int64, error) {
		it, err := callModel(ctx, storeCall{put: true, value: value, prev: prev})
		return it.Rev, err
	}
	c.sleep = func(ctx context.Context, _ time.Duration) error {
		if _, err := callModel(ctx, storeCall{sleep: true}); err != nil {
			return err
		}
		return ctx.Err()
	}
	m.caches, m.maxRevs = append(m.caches, c), append(m.maxRevs, 0)
}

// start starts an actor and waits for its first call.
func (m *model) start(c *Cache, op string) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &actor{cache: c, op: op, cancel: cancel, calls: make(chan storeCall), reply: make(chan answer)}
	m.actors = append(m.actors, a)
	go func() {
		defer close(a.calls)
		_, a.err = c.Update(context.WithValue(ctx, actorKey{}, a), modelKey, op, appendOp(op))
	}()
	a.next()
}

// next waits for the actor's next call, or its end.
func (a *actor) next() {
	var ok bool
	a.call, ok = <-a.calls
	a.ended = !ok
}

func appendOp(op string) func(json.RawMessage) (json.RawMessage, error) {
	return func(body json.RawMessage) (json.RawMessage, error) {
		var ops []string
		if body != nil {
			if err := json.Unmarshal(body, &ops); err != nil {
				return nil, err
			}
		}
		return json.Marshal(append(ops, op))
	}
}

// apply serves a call.
func (m *model) apply(c storeCall) answer {
	switch {
	case c.sleep:
		return answer{}
	case c.put && c.prev != m.item.Rev:
		return answer{err: plat.ErrConflict}
	case c.put:
		m.rev++
		m.item = plat.Item{Key: modelKey, Value: c.value, Rev: m.rev}
		m.versions = append(m.versions, m.item)
	case m.item.Rev == 0:
		return answer{err: plat.ErrNotFound}
	}
	return answer{item: m.item}
}

// step serves or answers the call of one actor.
func (m *model) step(a *actor) {
	var r answer
	fates := []string{"serve", "hold", "refuse", "lose before", "lose after"}
	if a.call.put {
		fates = append(fates, "delay")
	}
	switch {
	case a.ready != nil:
		r, a.ready = *a.ready, nil
	case a.call.sleep:
		r = answer{}
	default:
		switch rapid.SampledFrom(fates).Draw(m.rt, "fate") {
		case "serve":
			a.hasRead = true
			r = m.apply(a.call)
		case "hold":
			a.hasRead = true
			held := m.apply(a.call)
			a.ready = &held
			return
		case "refuse":
			r.err = plat.ErrUnavailable
		case "lose before":
			r.err = plat.ErrUnknown
		case "lose after":
			m.apply(a.call)
			r.err = plat.ErrUnknown
		case "delay":
			m.delayed = append(m.delayed, a.call)
			r.err = plat.ErrUnknown
		}
	}
	a.reply <- r
	a.next()
}

func (m *model) running() []*actor {
	var out []*actor
	for _, a := range m.actors {
		if !a.ended {
			out = append(out, a)
		}
	}
	return out
}

// runRandomAct does one random step and checks that no replica goes back.
func (m *model) runRandomAct() {
	running := m.running()
	a := running[rapid.IntRange(0, len(running)-1).Draw(m.rt, "actor")]
	c := m.caches[rapid.IntRange(0, len(m.caches)-1).Draw(m.rt, "cache")]
	switch rapid.SampledFrom([]string{"step", "step", "step", "step", "arrive", "watch", "merge", "others", "cancel"}).Draw(m.rt, "act") {
	case "step":
		m.step(a)
	case "arrive":
		if n := len(m.delayed); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(m.rt, "delayed")
			m.apply(m.delayed[i])
			m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
		}
	case "watch":
		if len(m.versions) > 0 {
			c.applyWatch([]plat.Item{m.versions[rapid.IntRange(0, len(m.versions)-1).Draw(m.rt, "version")]})
		}
	case "merge":
		if d, ok := a.cache.Get(modelKey); ok {
			c.Merge(d)
		}
	case "others":
		// Update gives no guarantee for an op that is requested only
		// after the document has dropped it.
		if slices.ContainsFunc(running, func(a *actor) bool { return !a.hasRead }) {
			return
		}
		for range rapid.SampledFrom([]int{1, maxOps - 1, maxOps, maxOps + 1}).Draw(m.rt, "updates") {
			m.updateByOther()
		}
	case "cancel":
		a.cancel()
	}
	for i, c := range m.caches {
		d, _ := c.Get(modelKey)
		require.GreaterOrEqual(m.rt, d.Rev(), m.maxRevs[i], "a replica went back")
		m.maxRevs[i] = d.Rev()
	}
}

// updateByOther writes an update of an entry that is not an actor.
func (m *model) updateByOther() {
	d := m.stored()
	m.otherUpdates++
	op := fmt.Sprintf("other-%d", m.otherUpdates)
	body, err := appendOp(op)(d.body)
	require.NoError(m.rt, err)
	d, err = d.withUpdate(op, body)
	require.NoError(m.rt, err)
	value, err := d.Encode()
	require.NoError(m.rt, err)
	m.apply(storeCall{put: true, value: value, prev: m.item.Rev})
}

// stored returns the document in the store.
func (m *model) stored() Doc {
	if m.item.Rev == 0 {
		return Doc{key: modelKey}
	}
	d, err := Decode(modelKey, m.item.Value)
	require.NoError(m.rt, err)
	return d
}

// finish ends all actors and lets every delayed write arrive.
func (m *model) finish() {
	for _, a := range m.running() {
		a.cancel()
		for !a.ended {
			if a.ready == nil {
				a.ready = &answer{}
				if !a.call.sleep {
					a.ready.err = plat.ErrUnknown
				}
			}
			m.step(a)
		}
	}
	for _, c := range m.delayed {
		m.apply(c)
	}
}

// check compares the results of the actors' updates with the document in the
// store.
func (m *model) check() {
	var ops []string
	if d := m.stored(); d.rev > 0 {
		require.NoError(m.rt, json.Unmarshal(d.body, &ops))
	}
	times := map[string]int{}
	for _, op := range ops {
		times[op]++
		require.Equal(m.rt, 1, times[op], "op %s applied twice", op)
	}
	mayBeApplied := map[string]bool{}
	for _, a := range m.actors {
		if a.err == nil {
			require.Equal(m.rt, 1, times[a.op], "op %s reported as applied", a.op)
		}
		if a.err == nil || errors.Is(a.err, plat.ErrUnknown) {
			mayBeApplied[a.op] = true
		}
	}
	for _, a := range m.actors {
		if !mayBeApplied[a.op] {
			require.Zero(m.rt, times[a.op], "op %s reported as not applied: %v", a.op, a.err)
		}
	}
	for _, c := range m.caches {
		require.Zero(m.rt, c.Stats(), "no rollback, fork or malformed value")
	}
}

// TestUpdateModel interleaves the calls of updates by two or three entries, some
// with the same op. Answers are lost, delayed or held back.
func TestUpdateModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{rt: rt}
		for range rapid.IntRange(2, 3).Draw(rt, "caches") {
			m.addCache()
		}
		for i := range rapid.IntRange(2, 5).Draw(rt, "actors") {
			op := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "op")
			m.start(m.caches[i%len(m.caches)], op)
		}
		for range rapid.IntRange(1, 60).Draw(rt, "acts") {
			if len(m.running()) == 0 {
				break
			}
			m.runRandomAct()
		}
		m.finish()
		m.check()
	})
}
