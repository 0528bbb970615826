package cache

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"

	"shallotpaddle/plat"
)

// Registrations are kept below this part of the prefix.
const entryDir = "entry/"

// ErrKey is returned for a key that is outside the prefix or not writable.
var ErrKey = errors.New("key not usable")

// Cache is the replica. Its methods may be called from any goroutine.
type Cache struct {
	prefix string
	clock  quartz.Clock

	get   func(ctx context.Context, key string) (plat.Item, error)
	put   func(ctx context.Context, key string, value []byte, prev int64, lease string) (int64, error)
	list  func(ctx context.Context, prefix string) ([]plat.Item, int64, error)
	watch func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error)
	// reserve waits for the turn of a write; the write is made with the context
	// that it returns.
	reserve func(ctx context.Context) (context.Context, error)
	grant   func(ctx context.Context, ttl time.Duration) (string, error)
	renew   func(ctx context.Context, lease string) error
	revoke  func(ctx context.Context, lease string) error
	sleep   func(ctx context.Context, d time.Duration) error
	random  func() float64 // in [0,1)

	mu      sync.Mutex // held by writers of view
	view    atomic.Pointer[snapshot]
	changed chan struct{}
	// own is the key of this entry's registration, empty before Register; lost
	// holds a value after it has gone from the view.
	own  string
	lost chan struct{}

	contact atomic.Int64 // Unix nanoseconds of the last answer; 0 before the first
	since   atomic.Int64 // start of unbroken contact; 0 while broken
	settled atomic.Int64 // time before which updates wait after a rollback

	forks, rollbacks, malformed atomic.Int64
}

// snapshot is immutable once published. Both lists are sorted by key.
type snapshot struct {
	docs []*Doc
	regs []*Doc
}

// New returns an empty replica of the documents whose keys begin with prefix,
// such as "fleet/".
func New(client *plat.Client, prefix string, clock quartz.Clock) *Cache {
	c := &Cache{
		prefix: prefix, clock: clock,
		get: client.Get, put: client.Put, list: client.List, watch: client.Watch,
		reserve: client.ReserveWrite, grant: client.Grant, renew: client.Renew, revoke: client.Revoke,
		random: rand.Float64, changed: make(chan struct{}, 1), lost: make(chan struct{}, 1),
	}
	c.sleep = c.sleepClock
	c.view.Store(&snapshot{})
	return c
}

func (c *Cache) sleepClock(ctx context.Context, d time.Duration) error {
	t := c.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func search(docs []*Doc, key string) (int, bool) {
	return slices.BinarySearchFunc(docs, key, func(d *Doc, k string) int { return cmp.Compare(d.key, k) })
}

func find(docs []*Doc, key string) (Doc, bool) {
	if i, ok := search(docs, key); ok {
		return *docs[i], true
	}
	return Doc{}, false
}

// Get returns a document or registration; a deleted document is not found.
func (c *Cache) Get(key string) (Doc, bool) {
	v := c.view.Load()
	if c.isEntry(key) {
		return find(v.regs, key)
	}
	d, ok := find(v.docs, key)
	return d, ok && !d.Deleted()
}

// Each calls f for each document and registration whose key begins with
// prefix, in key order within each kind.
func (c *Cache) Each(prefix string, f func(Doc)) {
	v := c.view.Load()
	for _, docs := range [][]*Doc{v.docs, v.regs} {
		i, _ := search(docs, prefix)
		for ; i < len(docs) && strings.HasPrefix(docs[i].key, prefix); i++ {
			if !docs[i].Deleted() {
				f(*docs[i])
			}
		}
	}
}

// Versions returns the revision of every document, deleted ones included, for
// comparison between entries.
func (c *Cache) Versions() map[string]int64 {
	docs := c.view.Load().docs
	out := make(map[string]int64, len(docs))
	for _, d := range docs {
		out[d.key] = d.rev
	}
	return out
}

// Newer returns the documents whose revision is above the one in versions, the
// form that Versions returns.
func (c *Cache) Newer(versions map[string]int64) []Doc {
	var out []Doc
	for _, d := range c.view.Load().docs {
		if d.rev > versions[d.key] {
			out = append(out, *d)
		}
	}
	return out
}

// Merge takes over a peer's document if its revision is higher than the one
// held, and tells whether it did.
func (c *Cache) Merge(d Doc) bool {
	if !c.writable(d.key) || d.rev < 1 {
		return false
	}
	return c.adopt(false, d)
}

// Registered returns the names of the registered entries, sorted.
func (c *Cache) Registered() []string {
	regs := c.view.Load().regs
	out := make([]string, len(regs))
	for i, d := range regs {
		out[i] = strings.TrimPrefix(d.key, c.prefix+entryDir)
	}
	return out
}

// Changed returns a channel that holds a value after documents or
// registrations have changed. It is meant for one receiver.
func (c *Cache) Changed() <-chan struct{} { return c.changed }

// Contact returns when the service last answered; zero before the first answer.
func (c *Cache) Contact() time.Time { return fromNanos(c.contact.Load()) }

// ContactSince returns since when contact with the service has been unbroken;
// zero while it is broken. A rollback of the service starts it anew.
func (c *Cache) ContactSince() time.Time { return fromNanos(c.since.Load()) }

// Stats counts events that an operator should know of.
type Stats struct {
	// Rollbacks counts the lists that showed the service at an earlier state.
	Rollbacks int64
	// Forks counts documents replaced by one that does not contain their last
	// update, as far as its remembered operations tell.
	Forks int64
	// Malformed counts values that were no documents.
	Malformed int64
}

// Stats returns the counts since the start.
func (c *Cache) Stats() Stats {
	return Stats{Rollbacks: c.rollbacks.Load(), Forks: c.forks.Load(), Malformed: c.malformed.Load()}
}

func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

func (c *Cache) isEntry(key string) bool { return strings.HasPrefix(key, c.prefix+entryDir) }

func (c *Cache) writable(key string) bool {
	return strings.HasPrefix(key, c.prefix) && len(key) > len(c.prefix) && !c.isEntry(key)
}

// answered notes that the service answered a call, whatever the answer.
func (c *Cache) answered(err error) {
	if err != nil && !refusedByState(err) {
		return
	}
	now := c.clock.Now().UnixNano()
	c.contact.Store(now)
	c.since.CompareAndSwap(0, now)
}

func refusedByState(err error) bool {
	return errors.Is(err, plat.ErrConflict) || errors.Is(err, plat.ErrNotFound)
}

// adopt publishes the documents that are newer than those held and tells
// whether there were any. The service also decides between two updates of the
// same revision, which a rollback can leave behind.
func (c *Cache) adopt(fromStore bool, docs ...Doc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.view.Load()
	next, fresh := old.docs, false
	for _, d := range docs {
		i, ok := search(next, d.key)
		if ok && !c.replaces(next[i], d, fromStore) {
			continue
		}
		if !fresh {
			next, fresh = slices.Clone(next), true
		}
		if ok {
			next[i] = &d
		} else {
			next = slices.Insert(next, i, &d)
		}
	}
	if fresh {
		c.publish(&snapshot{docs: next, regs: old.regs})
	}
	return fresh
}

func (c *Cache) replaces(held *Doc, d Doc, fromStore bool) bool {
	if held.rev > d.rev || held.rev == d.rev && (!fromStore || held.same(d)) {
		return false
	}
	if !d.follows(*held) {
		c.forks.Add(1)
	}
	return true
}

func (c *Cache) publish(s *snapshot) {
	c.view.Store(s)
	notify(c.changed)
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
