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
	// watchWait is how long the service waits for a change to answer a watch.
	watchWait = 2 * time.Second
	// minWatchInterval is the shortest time between two watches. Every change
	// ends the watch of every entry, so the number of reads grows with the rate
	// of changes times the number of entries.
	minWatchInterval = 200 * time.Millisecond
	// relistPeriod is the interval at which the replica is compared with a list of
	// all documents.
	relistPeriod = 5 * time.Minute
	// maxRetryDelay bounds the delay before the service is called again after a
	// failure. The client's circuit breaker limits how often calls reach it.
	maxRetryDelay = 500 * time.Millisecond
	// updatePause is how long updates wait after a rollback of the service, so
	// that every entry can write back the documents that it holds.
	updatePause = 2 * time.Second
)

var errRevisionDecreased = errors.New("service revision went backwards")

// Run keeps the replica up to date until ctx ends, when it returns nil: it lists
// the documents, then watches them. After a failed watch it lists them again.
func (c *Cache) Run(ctx context.Context) error {
	ctx = plat.WithClass(ctx, plat.Config)
	var pos watchPosition
	for ctx.Err() == nil {
		err := c.listAndWatch(ctx, &pos)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			continue
		}
		if breaksContact(err) {
			c.contactSince.Store(0)
		}
		pos.failures++
		if c.sleep(ctx, min(maxRetryDelay, plat.Backoff(pos.failures, c.random()))) != nil {
			break
		}
	}
	return nil
}

// watchPosition is what Run keeps from one list to the next.
type watchPosition struct {
	rev      int64 // service revision up to which changes are applied
	failures int   // failures since the last successful watch
}

// breaksContact tells whether contact with the service counts as broken after err.
// Errors that show an answer of the service don't break it.
func breaksContact(err error) bool {
	for _, e := range []error{errRevisionDecreased, plat.ErrCompacted, plat.ErrThrottled} {
		if errors.Is(err, e) {
			return false
		}
	}
	return true
}

// listAndWatch lists the documents once, then watches them until a watch fails or
// the next list is due.
func (c *Cache) listAndWatch(ctx context.Context, pos *watchPosition) error {
	items, rev, err := c.list(ctx, c.prefix)
	c.recordContact(err)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	rolledBack := rev < pos.rev
	pos.rev = rev
	if behind := c.applyList(items); rolledBack || len(behind) > 0 {
		c.restoreDocs(ctx, rolledBack, behind)
	}
	due := c.clock.Now().Add(relistPeriod)
	for started := c.clock.Now(); started.Before(due); started = c.clock.Now() {
		items, next, err := c.watch(ctx, c.prefix, pos.rev, watchWait)
		c.recordContact(err)
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		if next < pos.rev {
			return errRevisionDecreased
		}
		pos.rev, pos.failures = next, 0
		c.applyWatch(items)
		if left := minWatchInterval - c.clock.Since(started); left > 0 && c.sleep(ctx, left) != nil {
			return nil
		}
	}
	return nil
}

// applyList applies a list of all items and returns the keys of the documents
// that the service has at a lower revision than the replica, or not at all.
func (c *Cache) applyList(items []plat.Item) []string {
	docs, regs := c.decodeItems(items)
	c.mergeDocs(true, docs...)
	c.updateRegs(func([]*Doc) []*Doc { return sortedPointers(regs) })
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

// decodeItems decodes items. Values that can't be decoded are counted and left
// out.
func (c *Cache) decodeItems(items []plat.Item) (docs, regs []Doc) {
	for _, it := range items {
		if it.Deleted {
			continue
		}
		d, err := Decode(it.Key, it.Value)
		if err != nil {
			c.malformed.Add(1)
			continue
		}
		if !c.isRegistration(it.Key) {
			docs = append(docs, d)
			continue
		}
		d.storeRev = it.Rev
		regs = append(regs, d)
	}
	return docs, regs
}

func sortedPointers(docs []Doc) []*Doc {
	slices.SortFunc(docs, func(a, b Doc) int { return strings.Compare(a.key, b.key) })
	out := make([]*Doc, len(docs))
	for i := range docs {
		out[i] = &docs[i]
	}
	return out
}

// applyWatch applies changes. The deletion of a registration's key is applied; that
// of a document's key is ignored, since a deleted document keeps its key.
func (c *Cache) applyWatch(items []plat.Item) {
	docs, regs := c.decodeItems(items)
	if len(docs) > 0 {
		c.mergeDocs(true, docs...)
	}
	deleted := slices.DeleteFunc(slices.Clone(items), func(it plat.Item) bool {
		return !it.Deleted || !c.isRegistration(it.Key)
	})
	if len(regs)+len(deleted) == 0 {
		return
	}
	c.updateRegs(func(old []*Doc) []*Doc { return mergeRegs(old, regs, deleted) })
}

// mergeRegs returns old with newer registrations applied and with those removed
// whose deletion is newer.
func mergeRegs(old []*Doc, regs []Doc, deleted []plat.Item) []*Doc {
	next := slices.Clone(old)
	for i := range regs {
		at, ok := search(next, regs[i].key)
		switch {
		case !ok:
			next = slices.Insert(next, at, &regs[i])
		case next[at].storeRev < regs[i].storeRev:
			next[at] = &regs[i]
		}
	}
	for _, it := range deleted {
		at, ok := search(next, it.Key)
		if ok && next[at].storeRev < it.Rev {
			next = slices.Delete(next, at, at+1)
		}
	}
	return next
}

// updateRegs publishes the registrations that update returns, if they differ, and
// signals registrationLost when this entry's own one has disappeared.
func (c *Cache) updateRegs(update func(old []*Doc) []*Doc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view.Load()
	next := update(v.regs)
	if slices.EqualFunc(v.regs, next, func(a, b *Doc) bool { return a.key == b.key && a.storeRev == b.storeRev }) {
		return
	}
	c.publish(&snapshot{docs: v.docs, regs: next})
	_, had := search(v.regs, c.ownKey)
	if _, has := search(next, c.ownKey); had && !has {
		notify(c.registrationLost)
	}
}

// restoreDocs writes back the documents that the service has at a lower revision.
// It reads each one first, since the list may have been older than an update that
// the replica has already.
func (c *Cache) restoreDocs(ctx context.Context, rolledBack bool, keys []string) {
	if rolledBack {
		c.recordRollback()
	}
	for _, key := range keys {
		if c.sleep(ctx, time.Duration(c.random()*float64(updatePause)/float64(2*len(keys)))) != nil {
			return
		}
		c.restoreDoc(ctx, key)
	}
}

func (c *Cache) restoreDoc(ctx context.Context, key string) {
	held, storeRev, behind, err := c.readNewest(ctx, key)
	if err != nil || !behind {
		return
	}
	c.recordRollback()
	value, err := held.Encode()
	if err != nil {
		return
	}
	// After a failure the next list or update tries again.
	_, err = c.put(ctx, key, value, storeRev, "")
	c.recordContact(err)
}

// recordRollback counts a rollback, resets the start of contact and makes updates
// wait for updatePause, unless they are waiting already.
func (c *Cache) recordRollback() {
	now := c.clock.Now()
	if now.UnixNano() < c.updatesPausedUntil.Load() {
		return
	}
	c.rollbacks.Add(1)
	c.contactSince.Store(now.UnixNano())
	c.updatesPausedUntil.Store(now.Add(updatePause).UnixNano())
}
