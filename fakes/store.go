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
	errMissing  = errors.New("missing")

	errCompacted = errors.New("compacted")
)

// Store is an in-memory key-value service with compare-and-swap, leases and
// watches.
type Store struct {
	mu      sync.Mutex
	state   *state
	changed chan struct{} // closed and replaced at each write
	leaseID int           // not part of the state, so that no id is used twice
}

// state is what a rollback of the store takes back.
type state struct {
	rev    int64
	floor  int64 // watches from before it fail
	items  map[string]plat.Item
	holds  map[string]string // key to lease
	leases map[string]lease
	gone   map[string]int64 // deleted key to revision of deletion
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{}), state: &state{
		items:  map[string]plat.Item{},
		holds:  map[string]string{},
		leases: map[string]lease{},
		gone:   map[string]int64{},
	}}
}

func (s *state) clone() *state {
	c := *s
	c.items, c.holds = maps.Clone(s.items), maps.Clone(s.holds)
	c.leases, c.gone = maps.Clone(s.leases), maps.Clone(s.gone)
	return &c
}

func (s *Store) save() *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

func (s *Store) restore(old *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = old.clone()
	s.notify()
}

// Compact forgets deletions; watches from before the current revision fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.floor = s.state.rev
	clear(s.state.gone)
	s.notify()
}

// Get returns a key's item.
func (s *Store) Get(key string) (plat.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.state.items[key]
	if !ok {
		return plat.Item{}, errMissing
	}
	return it, nil
}

// Put sets a key if its revision is prev.
func (s *Store) Put(key string, value []byte, prev int64, lease string) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.items[key].Rev != prev {
		return s.state.items[key].Rev, errConflict
	}
	if _, ok := s.state.leases[lease]; lease != "" && !ok {
		return 0, errMissing
	}
	s.state.rev++
	s.state.items[key] = plat.Item{Key: key, Value: value, Rev: s.state.rev}
	delete(s.state.gone, key)
	delete(s.state.holds, key)
	if lease != "" {
		s.state.holds[key] = lease
	}
	s.notify()
	return s.state.rev, nil
}

// Delete removes a key if its revision is prev.
func (s *Store) Delete(key string, prev int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.state.items[key]
	if !ok {
		return errMissing
	}
	if it.Rev != prev {
		return errConflict
	}
	s.remove(key)
	s.notify()
	return nil
}

func (s *Store) remove(key string) {
	s.state.rev++
	delete(s.state.items, key)
	delete(s.state.holds, key)
	s.state.gone[key] = s.state.rev
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the keys under a prefix and the store's revision.
func (s *Store) List(prefix string) ([]plat.Item, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []plat.Item
	for k, it := range s.state.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	return out, s.state.rev
}

// since returns the changes under a prefix after a revision, and a channel that
// closes at the next write.
func (s *Store) since(prefix string, after int64) ([]plat.Item, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.state.floor {
		return nil, 0, nil, errCompacted
	}
	var out []plat.Item
	for k, it := range s.state.items {
		if it.Rev > after && strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	for k, rev := range s.state.gone {
		if rev > after && strings.HasPrefix(k, prefix) {
			out = append(out, plat.Item{Key: k, Rev: rev, Deleted: true})
		}
	}
	return out, s.state.rev, s.changed, nil
}

// Grant opens a lease.
func (s *Store) Grant(ttl time.Duration, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseID++
	id := strconv.Itoa(s.leaseID)
	s.state.leases[id] = lease{ttl: ttl, end: now.Add(ttl)}
	return id
}

// Renew extends a lease; it tells whether the lease still exists.
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

// Expire ends the leases that are due at now and deletes their keys.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.state.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

// lapseIn returns the time until the next lease ends, at most limit.
func (s *Store) lapseIn(now time.Time, limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.state.leases {
		limit = min(limit, l.end.Sub(now)+time.Millisecond)
	}
	return max(limit, time.Millisecond)
}

// Revoke ends a lease at once.
func (s *Store) Revoke(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

func (s *Store) endLease(id string) {
	delete(s.state.leases, id)
	for k, l := range s.state.holds {
		if l == id {
			s.remove(k)
		}
	}
	s.notify()
}
