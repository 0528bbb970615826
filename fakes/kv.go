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

// CallFault is the fault that is injected into one call to a KV or a WorkerSet.
type CallFault uint8

// Faults of a call.
const (
	NoFault    CallFault = iota
	RefuseCall           // not carried out; answered with plat.ErrUnavailable
	DropCall             // not carried out; no answer
	DropAnswer           // carried out; no answer
	DelayCall            // carried out 3 seconds later, if its conditions hold then; no answer
)

// Times of calls to a KV.
const (
	// kvTimeout is the time after which a call without an answer fails with
	// plat.ErrUnknown.
	kvTimeout = 1200 * time.Millisecond
	// kvLatency is the time that an answered call takes.
	kvLatency = 2 * time.Millisecond
	// kvLateDelay is the time after which a call with the fault DelayCall is carried
	// out.
	kvLateDelay = 3 * time.Second
)

// KV is an in-memory key-value store with one revision counter, conditional
// transactions, leases and watches. It uses the clock of package time, so that it
// can run in a synctest bubble.
type KV struct {
	// silent makes watches hear of no change, and wait longer than asked for.
	silent bool
	// LateCompaction makes watches report compacted history only when their wait is
	// over.
	LateCompaction bool
	// InjectFault returns the fault of a call by its operation (list, watch, commit,
	// get, grant, renew, revoke) and key; nil stands for NoFault. It is set before the
	// first call.
	InjectFault func(op, key string) CallFault
	// OnPut is called, unless nil, for each item that is written. The store is locked. It is set
	// before the first call.
	OnPut func(plat.Item)

	mu           sync.Mutex
	rev          int64
	items        map[string]plat.Item
	leaseByKey   map[string]int64 // lease ID by key
	leases       map[int64]kvLease
	events       []plat.Item    // oldest first
	compactedRev int64          // events up to this revision are discarded
	changed      chan struct{}  // closed and replaced at each write
	calls        map[string]int // number of calls by operation
}

type kvLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewKV returns an empty store.
func NewKV() *KV {
	return &KV{
		rev: 100, items: map[string]plat.Item{}, leaseByKey: map[string]int64{}, leases: map[int64]kvLease{},
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// Calls returns the number of calls by operation.
func (k *KV) Calls() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.calls)
}

// SetFault replaces InjectFault while calls may be under way.
func (k *KV) SetFault(inject func(op, key string) CallFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.InjectFault = inject
}

// call counts a call and carries it out with do, subject to the injected fault. It
// returns plat.ErrUnavailable if the call is refused and plat.ErrUnknown if it gets no
// answer.
func (k *KV) call(ctx context.Context, op, key string, do func()) error {
	k.mu.Lock()
	k.calls[op]++
	inject := k.InjectFault
	k.mu.Unlock()
	fault := NoFault
	if inject != nil {
		fault = inject(op, key)
	}
	switch fault {
	case RefuseCall:
		return errAfter(ctx, kvLatency, plat.ErrUnavailable)
	case DropCall:
		return errAfter(ctx, kvTimeout, plat.ErrUnknown)
	case DropAnswer:
		do()
		return errAfter(ctx, kvTimeout, plat.ErrUnknown)
	case DelayCall:
		time.AfterFunc(kvLateDelay, do)
		return errAfter(ctx, kvTimeout, plat.ErrUnknown)
	}
	if err := errAfter(ctx, kvLatency, nil); err != nil {
		return err
	}
	do()
	return nil
}

// errAfter returns err after d, or plat.ErrUnknown if the context ends first.
func errAfter(ctx context.Context, d time.Duration, err error) error {
	select {
	case <-time.After(d):
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", plat.ErrUnknown, ctx.Err())
	}
}

// Get returns the item of a key, or plat.ErrNotFound.
func (k *KV) Get(ctx context.Context, key string) (item plat.Item, err error) {
	ok := false
	if err := k.call(ctx, "get", key, func() { item, ok = k.Peek(key) }); err != nil {
		return plat.Item{}, err
	}
	if !ok {
		return plat.Item{}, plat.ErrNotFound
	}
	return item, nil
}

// Peek returns the item of a key without counting a call or injecting a fault.
func (k *KV) Peek(key string) (plat.Item, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	item, ok := k.items[key]
	return item, ok
}

// List returns the items under a prefix, and the store's revision.
func (k *KV) List(ctx context.Context, prefix string) (out []plat.Item, rev int64, err error) {
	err = k.call(ctx, "list", prefix, func() {
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

// Watch returns the changes under a prefix after a revision, and the store's
// revision. It waits for a change, at most for wait. It returns plat.ErrCompacted if
// the events after that revision are discarded.
func (k *KV) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error) {
	if err := k.call(ctx, "watch", prefix, func() {}); err != nil {
		return nil, 0, err
	}
	end := time.After(wait)
	for {
		out, rev, changed, err := k.changesAfter(prefix, after)
		if changed != nil && k.isSilent() {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		}
		if err != nil && k.LateCompaction {
			return nil, 0, errAfterWait(ctx, end, err)
		}
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

func (k *KV) isSilent() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silent
}

// errAfterWait returns an error when the wait of a watch is over.
func errAfterWait(ctx context.Context, end <-chan time.Time, err error) error {
	select {
	case <-end:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *KV) changesAfter(prefix string, after int64) ([]plat.Item, int64, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if after < k.compactedRev {
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

// SetSilent sets whether watches hear of no change, and wait longer than asked for.
func (k *KV) SetSilent(silent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent = silent
	k.notify()
}

// Compact discards the events up to the present revision.
func (k *KV) Compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.events, k.compactedRev = nil, k.rev
	k.notify()
}

// Commit carries out a transaction and returns its revision, or plat.ErrConflict with
// the present items of the expected keys, or plat.ErrNotFound for an unknown lease.
func (k *KV) Commit(ctx context.Context, t plat.Txn) (rev int64, items []plat.Item, err error) {
	key := ""
	if len(t.Puts) > 0 {
		key = t.Puts[0].Key
	}
	var commitErr error
	err = k.call(ctx, "commit", key, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		rev, items, commitErr = k.commit(t)
	})
	if err != nil {
		return 0, nil, err
	}
	return rev, items, commitErr
}

func (k *KV) commit(t plat.Txn) (int64, []plat.Item, error) {
	var present []plat.Item
	conditionsHold := true
	for _, c := range t.Expect {
		item := k.items[c.Key]
		if item.Rev != c.Rev {
			conditionsHold = false
		}
		if item.Key != "" {
			present = append(present, item)
		}
	}
	if !conditionsHold {
		return 0, present, plat.ErrConflict
	}
	for _, p := range t.Puts {
		if _, ok := k.leases[p.Lease]; !ok && p.Lease != 0 {
			return 0, nil, plat.ErrNotFound
		}
	}
	k.rev++
	for _, p := range t.Puts {
		item := plat.Item{Key: p.Key, Value: slices.Clone(p.Value), Rev: k.rev}
		k.items[p.Key] = item
		k.events = append(k.events, item)
		if k.OnPut != nil {
			k.OnPut(item)
		}
		delete(k.leaseByKey, p.Key)
		if p.Lease != 0 {
			k.leaseByKey[p.Key] = p.Lease
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
	delete(k.leaseByKey, key)
	k.events = append(k.events, plat.Item{Key: key, Rev: k.rev, Deleted: true})
}

func (k *KV) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// Put sets a key without conditions, as operators and workers do, and returns its
// revision. No call is counted and no fault injected.
func (k *KV) Put(key string, value []byte) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	rev, _, err := k.commit(plat.Txn{Puts: []plat.Put{{Key: key, Value: value}}})
	if err != nil {
		panic(err) // can't fail: no conditions, no lease
	}
	return rev
}

// Delete removes a key without conditions, as workers do. No call is counted and no
// fault injected.
func (k *KV) Delete(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, _, err := k.commit(plat.Txn{Remove: []string{key}})
	if err != nil {
		panic(err) // can't fail: no conditions, no lease
	}
}

// Grant opens a lease and returns its ID.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (id int64, err error) {
	err = k.call(ctx, "grant", "", func() {
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

// Renew extends a lease by its TTL, or returns plat.ErrNotFound.
func (k *KV) Renew(ctx context.Context, id int64) error {
	found := false
	if err := k.call(ctx, "renew", "", func() {
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

// Revoke ends a lease and deletes its keys.
func (k *KV) Revoke(ctx context.Context, id int64) error {
	return k.call(ctx, "revoke", "", func() { k.EndLease(id) })
}

// EndLeases ends all leases and deletes their keys, as a store may do to an entry that it turns
// away.
func (k *KV) EndLeases() {
	k.mu.Lock()
	ids := slices.Sorted(maps.Keys(k.leases))
	k.mu.Unlock()
	for _, id := range ids {
		k.EndLease(id)
	}
}

// LeasedKeys returns the keys that are deleted with a lease, in order.
func (k *KV) LeasedKeys() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Sorted(maps.Keys(k.leaseByKey))
}

// EndLease ends a lease and deletes its keys, without counting a call or injecting a
// fault.
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
	for _, key := range slices.Sorted(maps.Keys(k.leaseByKey)) {
		if k.leaseByKey[key] == id {
			k.remove(key)
		}
	}
	k.notify()
}
