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

// entryPrefix follows the cache's prefix in the keys of registrations.
const entryPrefix = "entry/"

// ErrKey is returned for a key outside the prefix and for one that can't be
// updated, such as a registration.
var ErrKey = errors.New("key not usable")

// Cache is the replica. Its methods may be called from any goroutine.
type Cache struct {
	prefix string
	clock  quartz.Clock

	get   func(ctx context.Context, key string) (plat.Item, error)
	put   func(ctx context.Context, key string, value []byte, prev int64, lease string) (int64, error)
	list  func(ctx context.Context, prefix string) ([]plat.Item, int64, error)
	watch func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error)
	// reserve waits until a write may be made; the write uses the context that
	// reserve returns.
	reserve func(ctx context.Context) (context.Context, error)
	grant   func(ctx context.Context, ttl time.Duration) (string, error)
	renew   func(ctx context.Context, lease string) error
	revoke  func(ctx context.Context, lease string) error
	sleep   func(ctx context.Context, d time.Duration) error
	random  func() float64 // in [0,1)

	mu      sync.Mutex // guards ownKey and stores in view
	view    atomic.Pointer[snapshot]
	changed chan struct{}
	// ownKey is the key of this entry's registration, empty before Register;
	// registrationLost holds a value after it has disappeared from the view.
	ownKey           string
	registrationLost chan struct{}

	lastContact        atomic.Int64 // Unix nanoseconds of the last answer; 0 before the first
	contactSince       atomic.Int64 // Unix nanoseconds of the start of unbroken contact; 0 while broken
	updatesPausedUntil atomic.Int64 // Unix nanoseconds until which updates wait after a rollback

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
		random: rand.Float64, changed: make(chan struct{}, 1), registrationLost: make(chan struct{}, 1),
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
	if c.isRegistration(key) {
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

// Merge replaces the document held by a peer's one if that has a higher revision,
// and tells whether it did.
func (c *Cache) Merge(d Doc) bool {
	if !c.isWritable(d.key) || d.rev < 1 {
		return false
	}
	return c.mergeDocs(false, d)
}

// Registered returns the names of the registered entries, sorted.
func (c *Cache) Registered() []string {
	regs := c.view.Load().regs
	out := make([]string, len(regs))
	for i, d := range regs {
		out[i] = strings.TrimPrefix(d.key, c.prefix+entryPrefix)
	}
	return out
}

// Changed returns a channel that holds a value after documents or
// registrations have changed. It is meant for one receiver.
func (c *Cache) Changed() <-chan struct{} { return c.changed }

// Contact returns when the service last answered; zero before the first answer.
func (c *Cache) Contact() time.Time { return fromNanos(c.lastContact.Load()) }

// ContactSince returns since when contact with the service has been unbroken;
// zero while it is broken. A rollback of the service resets it to the current
// time.
func (c *Cache) ContactSince() time.Time { return fromNanos(c.contactSince.Load()) }

// Stats holds counts of events that operators should know of.
type Stats struct {
	// Rollbacks counts how often the service was found restored to an earlier
	// state.
	Rollbacks int64
	// Forks counts documents replaced by one that does not contain their last
	// update, as far as its last operation ids show.
	Forks int64
	// Malformed counts values that could not be decoded as documents.
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

func (c *Cache) isRegistration(key string) bool { return strings.HasPrefix(key, c.prefix+entryPrefix) }

func (c *Cache) isWritable(key string) bool {
	return strings.HasPrefix(key, c.prefix) && len(key) > len(c.prefix) && !c.isRegistration(key)
}

// recordContact records that the service has answered a call, if the call's error
// is nil, a conflict or a missing key.
func (c *Cache) recordContact(err error) {
	if err != nil && !isStoreAnswer(err) {
		return
	}
	now := c.clock.Now().UnixNano()
	c.lastContact.Store(now)
	c.contactSince.CompareAndSwap(0, now)
}

func isStoreAnswer(err error) bool {
	return errors.Is(err, plat.ErrConflict) || errors.Is(err, plat.ErrNotFound)
}

// mergeDocs publishes those documents that are newer than the ones held and tells
// whether there were any. Of two different updates with the same revision, which
// can exist after a rollback, the service's one is used.
func (c *Cache) mergeDocs(fromStore bool, docs ...Doc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.view.Load()
	next, changed := old.docs, false
	for _, d := range docs {
		i, ok := search(next, d.key)
		if ok && !c.replaces(next[i], d, fromStore) {
			continue
		}
		if !changed {
			next, changed = slices.Clone(next), true
		}
		if ok {
			next[i] = &d
		} else {
			next = slices.Insert(next, i, &d)
		}
	}
	if changed {
		c.publish(&snapshot{docs: next, regs: old.regs})
	}
	return changed
}

// replaces tells whether d replaces held, and counts a fork if it does not descend
// from held.
func (c *Cache) replaces(held *Doc, d Doc, fromStore bool) bool {
	if held.rev > d.rev || held.rev == d.rev && (!fromStore || held.isSameUpdate(d)) {
		return false
	}
	if !d.descendsFrom(*held) {
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
