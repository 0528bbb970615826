package fakes

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotpaddle/plat"
)

// CallFault is what becomes of one call to a KV.
type CallFault uint8

// Troubles of a call.
const (
	NoFault    CallFault = iota
	RefuseCall           // not done, and said so
	DropCall             // not done, no answer
	DropAnswer           // done, no answer
	DelayCall            // done some seconds later if its conditions still hold, no answer
)

// kvTimeout is after how long a call without an answer gives up, and kvLatency
// how long one takes that is answered.
const (
	kvTimeout = 1200 * time.Millisecond
	kvLatency = 2 * time.Millisecond
	kvDelay   = 3 * time.Second
)

// KV is an in-memory key-value service with one revision counter, conditional
// transactions, leases and watches. Times are those of package time, so that it
// runs in a synctest bubble.
type KV struct {
	// InjectFault decides what becomes of a call by its operation (list, watch,
	// commit, get, grant, renew, revoke) and key; nil is Smooth. It is set before
	// the first call.
	InjectFault func(op, key string) CallFault

	mu      sync.Mutex
	rev     int64
	items   map[string]plat.Item
	holds   map[string]int64 // key to lease
	leases  map[int64]kvLease
	events  []plat.Item // oldest first
	floor   int64       // events up to this revision are forgotten
	changed chan struct{}
	// Calls counts calls by operation.
	calls map[string]int
}

type kvLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewKV returns an empty service.
func NewKV() *KV {
	return &KV{
		rev: 100, items: map[string]plat.Item{}, holds: map[string]int64{}, leases: map[int64]kvLease{},
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// Calls returns the number of calls by operation.
func (k *KV) Calls() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.calls)
}

// enter lets a call in; do carries it out. It returns whether there is an answer.
func (k *KV) enter(ctx context.Context, op, key string, do func()) error {
	k.mu.Lock()
	k.calls[op]++
	trouble := k.InjectFault
	k.mu.Unlock()
	t := NoFault
	if trouble != nil {
		t = trouble(op, key)
	}
	switch t {
	case RefuseCall:
		return errAfter(ctx, kvLatency, plat.ErrUnavailable)
	case DropCall:
		return errAfter(ctx, kvTimeout, plat.ErrUnknown)
	case DropAnswer:
		do()
		return errAfter(ctx, kvTimeout, plat.ErrUnknown)
	case DelayCall:
		time.AfterFunc(kvDelay, do)
		return errAfter(ctx, kvTimeout, plat.ErrUnknown)
	}
	if err := errAfter(ctx, kvLatency, nil); err != nil {
		return err
	}
	do()
	return nil
}

// errAfter returns err after a time, or that the outcome is unknown if the
// context ends first.
func errAfter(ctx context.Context, d time.Duration, err error) error {
	select {
	case <-time.After(d):
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", plat.ErrUnknown, ctx.Err())
	}
}

// Get returns a key.
func (k *KV) Get(ctx context.Context, key string) (it plat.Item, err error) {
	ok := false
	if err := k.enter(ctx, "get", key, func() { it, ok = k.Peek(key) }); err != nil {
		return plat.Item{}, err
	}
	if !ok {
		return plat.Item{}, plat.ErrNotFound
	}
	return it, nil
}

// Peek returns a key without a call.
func (k *KV) Peek(key string) (plat.Item, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	it, ok := k.items[key]
	return it, ok
}

// List returns the keys with a prefix.
func (k *KV) List(ctx context.Context, prefix string) (out []plat.Item, rev int64, err error) {
	err = k.enter(ctx, "list", prefix, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		rev = k.rev
		for _, key := range slices.Sorted(maps.Keys(k.items)) {
			if strings.HasPrefix(key, prefix) {
				out = append(out, k.items[key])
			}
		}
	})
	return out, rev, err
}

// Watch returns what has changed after a revision.
func (k *KV) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error) {
	if err := k.enter(ctx, "watch", prefix, func() {}); err != nil {
		return nil, 0, err
	}
	end := time.After(wait)
	for {
		out, rev, changed, err := k.since(prefix, after)
		if err != nil || len(out) > 0 {
			return out, rev, err
		}
		select {
		case <-changed:
		case <-end:
			return nil, rev, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (k *KV) since(prefix string, after int64) ([]plat.Item, int64, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if after < k.floor {
		return nil, 0, nil, plat.ErrCompacted
	}
	var out []plat.Item
	for _, e := range k.events {
		if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
		}
	}
	return out, k.rev, k.changed, nil
}

// Compact forgets the history.
func (k *KV) Compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.events, k.floor = nil, k.rev
	k.notify()
}

// Commit carries out a transaction.
func (k *KV) Commit(ctx context.Context, t plat.Txn) (rev int64, items []plat.Item, err error) {
	key := ""
	if len(t.Puts) > 0 {
		key = t.Puts[0].Key
	}
	var fault error
	err = k.enter(ctx, "commit", key, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		rev, items, fault = k.commit(t)
	})
	if err != nil {
		return 0, nil, err
	}
	return rev, items, fault
}

func (k *KV) commit(t plat.Txn) (int64, []plat.Item, error) {
	var is []plat.Item
	hold := true
	for _, c := range t.Expect {
		it := k.items[c.Key]
		if it.Rev != c.Rev {
			hold = false
		}
		if it.Key != "" {
			is = append(is, it)
		}
	}
	if !hold {
		return 0, is, plat.ErrConflict
	}
	for _, p := range t.Puts {
		if _, ok := k.leases[p.Lease]; !ok && p.Lease != 0 {
			return 0, nil, plat.ErrNotFound
		}
	}
	k.rev++
	for _, p := range t.Puts {
		it := plat.Item{Key: p.Key, Value: slices.Clone(p.Value), Rev: k.rev}
		k.items[p.Key] = it
		k.events = append(k.events, it)
		delete(k.holds, p.Key)
		if p.Lease != 0 {
			k.holds[p.Key] = p.Lease
		}
	}
	for _, key := range t.Remove {
		k.remove(key)
	}
	k.notify()
	return k.rev, nil, nil
}

func (k *KV) remove(key string) {
	if _, ok := k.items[key]; !ok {
		return
	}
	delete(k.items, key)
	delete(k.holds, key)
	k.events = append(k.events, plat.Item{Key: key, Rev: k.rev, Deleted: true})
}

func (k *KV) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// Put sets a key without conditions, as operators and workers do.
func (k *KV) Put(key string, value []byte) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	rev, _, err := k.commit(plat.Txn{Puts: []plat.Put{{Key: key, Value: value}}})
	if err != nil {
		panic(err) // a change without conditions or lease
	}
	return rev
}

// Grant opens a lease.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (id int64, err error) {
	err = k.enter(ctx, "grant", "", func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		id = int64(len(k.leases)) + k.rev*1000
		for k.leases[id].timer != nil {
			id++
		}
		k.leases[id] = kvLease{ttl, time.AfterFunc(ttl, func() { k.EndLease(id) })}
	})
	return id, err
}

// Renew extends a lease.
func (k *KV) Renew(ctx context.Context, id int64) error {
	found := false
	if err := k.enter(ctx, "renew", "", func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		l, ok := k.leases[id]
		if found = ok && l.timer.Stop(); found {
			l.timer.Reset(l.ttl)
		}
	}); err != nil {
		return err
	}
	if !found {
		return plat.ErrNotFound
	}
	return nil
}

// Revoke ends a lease.
func (k *KV) Revoke(ctx context.Context, id int64) error {
	return k.enter(ctx, "revoke", "", func() { k.EndLease(id) })
}

// EndLease ends a lease without a call.
func (k *KV) EndLease(id int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, ok := k.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(k.leases, id)
	k.rev++
	for _, key := range slices.Sorted(maps.Keys(k.holds)) {
		if k.holds[key] == id {
			k.remove(key)
		}
	}
	k.notify()
}
