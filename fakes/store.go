package fakes

import (
	"errors"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"shallotpaddle/plat"
)

var (
	errConflict = errors.New("conflict")
	errNotFound = errors.New("missing")

	errCompacted = errors.New("compacted")
)

// Store is an in-memory key-value store with compare-and-swap, leases and watches.
// Platform serves it over HTTP.
type Store struct {
	mu      sync.Mutex
	state   *storeState
	changed chan struct{} // closed and replaced at each write
	leaseID int           // ID granted last; not rolled back, so that no ID is granted twice
}

// storeState is the part of a Store that a rollback restores.
type storeState struct {
	rev          int64
	compactedRev int64 // watches after an earlier revision fail with errCompacted
	items        map[string]plat.Item
	leaseByKey   map[string]string // lease ID by key
	leases       map[string]lease
	deletedRevs  map[string]int64 // revision of the deletion by deleted key
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{}), state: &storeState{
		items:       map[string]plat.Item{},
		leaseByKey:  map[string]string{},
		leases:      map[string]lease{},
		deletedRevs: map[string]int64{},
	}}
}

func (s *storeState) clone() *storeState {
	c := *s
	c.items, c.leaseByKey = maps.Clone(s.items), maps.Clone(s.leaseByKey)
	c.leases, c.deletedRevs = maps.Clone(s.leases), maps.Clone(s.deletedRevs)
	return &c
}

func (s *Store) save() *storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

func (s *Store) restore(old *storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = old.clone()
	s.notify()
}

// Compact discards the deletions; watches after a revision before the present one
// fail from then on.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.compactedRev = s.state.rev
	clear(s.state.deletedRevs)
	s.notify()
}

// Get returns the item of a key, or errNotFound.
func (s *Store) Get(key string) (plat.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.state.items[key]
	if !ok {
		return plat.Item{}, errNotFound
	}
	return item, nil
}

// Put sets a key if its revision is prev, 0 for a key that does not exist, and
// attaches it to a lease unless that is "". It returns the new revision,
// errConflict with the key's present revision, or errNotFound for an unknown lease.
func (s *Store) Put(key string, value []byte, prev int64, lease string) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.items[key].Rev != prev {
		return s.state.items[key].Rev, errConflict
	}
	if _, ok := s.state.leases[lease]; lease != "" && !ok {
		return 0, errNotFound
	}
	s.state.rev++
	s.state.items[key] = plat.Item{Key: key, Value: value, Rev: s.state.rev}
	delete(s.state.deletedRevs, key)
	delete(s.state.leaseByKey, key)
	if lease != "" {
		s.state.leaseByKey[key] = lease
	}
	s.notify()
	return s.state.rev, nil
}

// Delete removes a key if its revision is prev; else it returns errConflict, or
// errNotFound.
func (s *Store) Delete(key string, prev int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.state.items[key]
	if !ok {
		return errNotFound
	}
	if item.Rev != prev {
		return errConflict
	}
	s.remove(key)
	s.notify()
	return nil
}

func (s *Store) remove(key string) {
	s.state.rev++
	delete(s.state.items, key)
	delete(s.state.leaseByKey, key)
	s.state.deletedRevs[key] = s.state.rev
}

// notify wakes the watches; s.mu is held.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the keys under a prefix and the store's revision.
func (s *Store) List(prefix string) ([]plat.Item, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []plat.Item
	for key, item := range s.state.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	return out, s.state.rev
}

// changesAfter returns the changes under a prefix after a revision, the store's
// revision, and a channel that is closed at the next write.
func (s *Store) changesAfter(prefix string, after int64) ([]plat.Item, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.state.compactedRev {
		return nil, 0, nil, errCompacted
	}
	var out []plat.Item
	for key, item := range s.state.items {
		if item.Rev > after && strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	for key, rev := range s.state.deletedRevs {
		if rev > after && strings.HasPrefix(key, prefix) {
			out = append(out, plat.Item{Key: key, Rev: rev, Deleted: true})
		}
	}
	return out, s.state.rev, s.changed, nil
}

// Grant opens a lease and returns its ID.
func (s *Store) Grant(ttl time.Duration, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseID++
	id := strconv.Itoa(s.leaseID)
	s.state.leases[id] = lease{ttl: ttl, end: now.Add(ttl)}
	return id
}

// Renew extends a lease by its TTL; it returns false if the lease has ended.
func (s *Store) Renew(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.state.leases[id]
	if !ok || now.After(l.end) {
		return false
	}
	l.end = now.Add(l.ttl)
	s.state.leases[id] = l
	return true
}

// Expire ends the leases that have expired at now, and deletes their keys.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.state.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

// untilLeaseEnd returns the time until the next lease expires, from 1 ms to limit.
func (s *Store) untilLeaseEnd(now time.Time, limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.state.leases {
		limit = min(limit, l.end.Sub(now)+time.Millisecond)
	}
	return max(limit, time.Millisecond)
}

// Revoke ends a lease at once and deletes its keys.
func (s *Store) Revoke(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

func (s *Store) endLease(id string) {
	delete(s.state.leases, id)
	for key, lease := range s.state.leaseByKey {
		if lease == id {
			s.remove(key)
		}
	}
	s.notify()
}
