package cache

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"shallotpaddle/plat"
)

const (
	// watchWait is how long one watch waits for a change.
	watchWait = 2 * time.Second
	// watchPace is the shortest time between two watches. Every change wakes the
	// watch of every entry, so that the reads grow with both.
	watchPace = 200 * time.Millisecond
	// relistPeriod is how often the replica is compared with a whole list.
	relistPeriod = 5 * time.Minute
	// maxPause is the longest pause before the service is tried again. The
	// client's breaker spaces out the calls that reach the service.
	maxPause = 500 * time.Millisecond
	// settlePeriod is how long updates wait after a rollback of the service, so
	// that every entry can write back the revisions that it holds.
	settlePeriod = 2 * time.Second
)

var errBackwards = errors.New("service revision went backwards")

// Run follows the documents until ctx ends, when it returns nil: a list, then
// one waiting watch at a time. After a failed watch it lists again.
func (c *Cache) Run(ctx context.Context) error {
	ctx = plat.WithClass(ctx, plat.Config)
	var f follower
	for ctx.Err() == nil {
		err := c.follow(ctx, &f)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			continue
		}
		if breaksContact(err) {
			c.since.Store(0)
		}
		f.fails++
		if c.sleep(ctx, min(maxPause, plat.Backoff(f.fails, c.random()))) != nil {
			break
		}
	}
	return nil
}

// follower is the position of Run.
type follower struct {
	rev   int64 // service revision reached
	fails int   // failures since the last answered watch
}

func breaksContact(err error) bool {
	for _, e := range []error{errBackwards, plat.ErrCompacted, plat.ErrThrottled} {
		if errors.Is(err, e) {
			return false
		}
	}
	return true
}

// follow lists once and watches until a failure or the next relist is due.
func (c *Cache) follow(ctx context.Context, f *follower) error {
	items, rev, err := c.list(ctx, c.prefix)
	c.answered(err)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	rolled := rev < f.rev
	f.rev = rev
	if behind := c.applyList(items); rolled || len(behind) > 0 {
		c.heal(ctx, rolled, behind)
	}
	due := c.clock.Now().Add(relistPeriod)
	for begun := c.clock.Now(); begun.Before(due); begun = c.clock.Now() {
		items, next, err := c.watch(ctx, c.prefix, f.rev, watchWait)
		c.answered(err)
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		if next < f.rev {
			return errBackwards
		}
		f.rev, f.fails = next, 0
		c.applyWatch(items)
		if left := watchPace - c.clock.Since(begun); left > 0 && c.sleep(ctx, left) != nil {
			return nil
		}
	}
	return nil
}

// applyList takes over a whole list and returns the keys of the documents that
// the service holds at a lower revision, or not at all.
func (c *Cache) applyList(items []plat.Item) []string {
	docs, regs := c.split(items)
	c.adopt(true, docs...)
	c.setRegs(func([]*Doc) []*Doc { return pointers(regs) })
	listed := make(map[string]int64, len(docs))
	for _, d := range docs {
		listed[d.key] = d.rev
	}
	var behind []string
	for _, d := range c.view.Load().docs {
		if listed[d.key] < d.rev {
			behind = append(behind, d.key)
		}
	}
	return behind
}

// split decodes items; values that are no documents are counted and left out.
func (c *Cache) split(items []plat.Item) (docs, regs []Doc) {
	for _, it := range items {
		if it.Deleted {
			continue
		}
		d, err := Decode(it.Key, it.Value)
		if err != nil {
			c.malformed.Add(1)
			continue
		}
		if !c.isEntry(it.Key) {
			docs = append(docs, d)
			continue
		}
		d.stored = it.Rev
		regs = append(regs, d)
	}
	return docs, regs
}

func pointers(docs []Doc) []*Doc {
	slices.SortFunc(docs, func(a, b Doc) int { return strings.Compare(a.key, b.key) })
	out := make([]*Doc, len(docs))
	for i := range docs {
		out[i] = &docs[i]
	}
	return out
}

// applyWatch takes over changes. The deletion of a registration counts; that of
// a document does not.
func (c *Cache) applyWatch(items []plat.Item) {
	docs, regs := c.split(items)
	if len(docs) > 0 {
		c.adopt(true, docs...)
	}
	gone := slices.DeleteFunc(slices.Clone(items), func(it plat.Item) bool {
		return !it.Deleted || !c.isEntry(it.Key)
	})
	if len(regs)+len(gone) == 0 {
		return
	}
	c.setRegs(func(old []*Doc) []*Doc { return mergeRegs(old, regs, gone) })
}

func mergeRegs(old []*Doc, regs []Doc, gone []plat.Item) []*Doc {
	next := slices.Clone(old)
	for i := range regs {
		at, ok := search(next, regs[i].key)
		switch {
		case !ok:
			next = slices.Insert(next, at, &regs[i])
		case next[at].stored < regs[i].stored:
			next[at] = &regs[i]
		}
	}
	for _, it := range gone {
		at, ok := search(next, it.Key)
		if ok && next[at].stored < it.Rev {
			next = slices.Delete(next, at, at+1)
		}
	}
	return next
}

func (c *Cache) setRegs(f func(old []*Doc) []*Doc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view.Load()
	next := f(v.regs)
	if slices.EqualFunc(v.regs, next, func(a, b *Doc) bool { return a.key == b.key && a.stored == b.stored }) {
		return
	}
	c.publish(&snapshot{docs: v.docs, regs: next})
	_, had := search(v.regs, c.own)
	if _, has := search(next, c.own); had && !has {
		notify(c.lost)
	}
}

// heal writes back the documents that the service holds at a lower revision.
// It reads each first, since the list may only have been older than an update.
func (c *Cache) heal(ctx context.Context, rolled bool, keys []string) {
	if rolled {
		c.rolledBack()
	}
	for _, key := range keys {
		if c.sleep(ctx, time.Duration(c.random()*float64(settlePeriod)/float64(2*len(keys)))) != nil {
			return
		}
		c.healOne(ctx, key)
	}
}

func (c *Cache) healOne(ctx context.Context, key string) {
	held, stored, behind, err := c.current(ctx, key)
	if err != nil || !behind {
		return
	}
	c.rolledBack()
	value, err := held.Encode()
	if err != nil {
		return
	}
	// A failure is left to the next list or update.
	_, err = c.put(ctx, key, value, stored, "")
	c.answered(err)
}

// rolledBack starts contact anew and holds updates back for settlePeriod,
// unless it already did so within that period.
func (c *Cache) rolledBack() {
	now := c.clock.Now()
	if now.UnixNano() < c.settled.Load() {
		return
	}
	c.rollbacks.Add(1)
	c.since.Store(now.UnixNano())
	c.settled.Store(now.Add(settlePeriod).UnixNano())
}
