// Package elect elects one of the entries as leader of each pool, by keys in the
// platform's store that live as long as an entry's lease. The revision at which a
// leader's key was created is its fencing token.
package elect

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"

	"shallotpaddle/plat"
)

// Prefixes of the store keys of elections.
const (
	prefix       = "seat/"
	entryPrefix  = prefix + "node/"
	leaderPrefix = prefix + "lead/"
	termPrefix   = prefix + "term/"
	bootPrefix   = prefix + "boot/"
	pastPrefix   = prefix + "past/"
)

// Key returns the store key that the leader of a pool holds.
func Key(pool string) string { return leaderPrefix + pool }

// Store has the calls to the platform's store that elections need.
type Store struct {
	List   func(ctx context.Context, prefix string) ([]plat.Item, int64, error)
	Watch  func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error)
	Commit func(ctx context.Context, t plat.Txn) (int64, []plat.Item, error)
	Get    func(ctx context.Context, key string) (plat.Item, error)
	Grant  func(ctx context.Context, ttl time.Duration) (int64, error)
	Renew  func(ctx context.Context, lease int64) error
	Revoke func(ctx context.Context, lease int64) error
}

// Term is the leadership of a pool from one election until the next.
type Term struct {
	Pool string
	// Fence is the fencing token: the revision of the leader's key.
	Fence int64
	// Number counts the elections of the pool, from 1.
	Number int
	// former has the earlier leaders that may still have acted at the election; never one of
	// this entry, whose earlier leaderships are lost before it can be elected again.
	former []actor
	boot   int64 // of this entry
}

// Params are the parameters of New.
type Params struct {
	Name string // of the entry
	// Cores is the number of processor cores that the entry has.
	Cores float64
	Store Store
	Clock quartz.Clock
	// SinceBoot returns the time since some moment, including the time for which the host
	// was suspended.
	SinceBoot func() time.Duration
	Log       *log.Logger
	// TTL is the length of the entry's lease.
	TTL time.Duration
	// Won is called when this entry becomes leader of a pool, Lost, with the
	// cause, when it no longer is. Both are called by Run's goroutine.
	Won  func(Term)
	Lost func(Term, string)
	// Surplus returns the pool that this entry would rather not lead, as it can't keep up with all
	// that it leads; empty for none. Run's goroutine calls it. Nil if pools are never handed over.
	Surplus func() string
}

// Elector takes part in the elections of all pools for one entry. Only the
// goroutine in Run may use its fields, except messages.
type Elector struct {
	Params
	messages chan any
	lease    int64 // 0 without one
	// registeredAt is when the current lease was granted.
	registeredAt time.Time
	keyWrittenAt time.Time // when the entry's key was last written
	renewedAt    time.Time
	// provenAt is the time that ProvenAt returns.
	provenAt atomic.Int64
	// watchAnsweredAt is when a call of watchStore was last answered, by SinceBoot.
	watchAnsweredAt atomic.Int64
	// troubles counts the events after which the store may have taken away leaders' keys
	// unnoticed; checked is its value when the keys were last found in place.
	troubles, checked int
	troubleAt         time.Duration // of the last trouble, by SinceBoot
	granting          bool          // a request for a lease, or a registration, is under way
	renewing          bool          // a renewal of the lease is under way

	pools        []string
	coresByEntry map[string]float64     // of the registered entries
	leaders      map[string]leader      // by pool, as the store has them
	removedAt    map[string]int64       // the last revision at which a pool was known to have no leader
	terms        map[string]termCounter // by pool
	past         map[string]pastValue   // by pool
	settled      settledTerms
	// boots has the boot counters that can be read, by entry; publishedBoots is a copy for
	// other goroutines.
	boots          map[string]bootCounter
	publishedBoots atomic.Pointer[map[string]bootCounter]
	// boot is this entry's counter as it last wrote it.
	boot bootCounter
	// registerAfter is when this entry may register again; zero for at once.
	registerAfter time.Time
	vacantSince   map[string]time.Time // when a pool was first known to have no leader
	writePending  map[string]bool      // pools whose leader key this entry is claiming or removing
	held          map[string]Term      // pools that this entry leads
	// former has the pools whose leader's key ended with this entry's lease, and that no
	// other entry has claimed since.
	former map[string]bool
	// refusedFence has the fencing token with which the store last refused this
	// entry's owner, by pool.
	refusedFence map[string]int64
	synced       bool // the elections have been read from the store
	resigned     bool // this entry takes part no more

	renewals renewals
	handover handover
}

// leader is a pool's leader: its entry, that entry's lease, and the revision of
// the leader's key.
type leader struct {
	entry string
	lease int64
	rev   int64
}

// termCounter is the number of elections of a pool and the revision of its key.
type termCounter struct {
	number int
	rev    int64
}

// leaderValue is the value of a leader's key.
type leaderValue struct {
	Entry string `json:"node"`
	Lease int64  `json:"lease"`
}

const (
	// tick is how often the elector checks for vacant pools and renews its lease.
	tick = 50 * time.Millisecond
	// claimDelay is the time after registration in which an entry claims no pool, so
	// that entries that start together see each other first.
	claimDelay = 400 * time.Millisecond
	// rankDelay is how much longer an entry waits with its claim for each entry that
	// ranks before it: more than the 0.3 s within which entries start together.
	rankDelay = 400 * time.Millisecond
	// watchTimeout is how long the store holds a watch without a change.
	watchTimeout = 2 * time.Second
	// retryDelay is the pause after a failed call to the store.
	retryDelay = 100 * time.Millisecond
	// renewalsPerTTL is how often the lease is renewed within its TTL, and maxRenewalInterval the
	// longest time between two renewals: owners count the leases of workers from them.
	renewalsPerTTL     = 4
	maxRenewalInterval = 400 * time.Millisecond
)

// New returns an elector; Run starts it.
func New(p Params) *Elector {
	e := &Elector{
		Params: p, messages: make(chan any, 64), coresByEntry: map[string]float64{}, leaders: map[string]leader{},
		terms: map[string]termCounter{}, vacantSince: map[string]time.Time{}, writePending: map[string]bool{}, held: map[string]Term{},
		refusedFence: map[string]int64{}, former: map[string]bool{}, removedAt: map[string]int64{},
		past: map[string]pastValue{}, boots: map[string]bootCounter{}, settled: settledTerms{byPool: map[string][]settledTerm{}},
	}
	e.publishBoots()
	e.provenAt.Store(int64(never))
	e.watchAnsweredAt.Store(int64(p.SinceBoot()))
	return e
}

// Messages to the goroutine in Run.
type (
	poolsChanged    []string
	resignRequested struct{ done chan struct{} }
	ownerRefused    struct{ pool string }
	storeChanged    struct {
		items    []plat.Item
		rev      int64 // every change up to it is known with the items
		complete bool  // the items are a full listing
	}
	watchFailed  struct{}
	leaseGranted struct {
		lease int64
		sent  time.Duration // by SinceBoot
		boot  bootCounter
		err   error
	}
	registered struct {
		lease int64
		err   error
	}
	leaseRenewed struct {
		lease int64
		at    time.Time
		sent  time.Duration // by SinceBoot
		slow  bool          // the answer was overdue
		err   error
		// troubles is the elector's count at the time sent.
		troubles int
		// leaders has the leaders' keys, read after the renewal; nil if they were not read.
		leaders *listing
		readErr error // of reading them
	}
	keyRemoved struct {
		pool string
		err  error
	}
	claimEnded struct {
		pool   string
		lease  int64 // of the claim
		term   int
		former []actor
		rev    int64
		err    error
	}
)

// SetPools sets the pools whose leaders are elected.
func (e *Elector) SetPools(p []string) { e.messages <- poolsChanged(p) }

// GiveUp gives up the leadership of a pool because the store refused this entry's
// owner. If the leader's key is still there, it is removed for a new election.
func (e *Elector) GiveUp(pool string) { e.messages <- ownerRefused{pool} }

// Resign gives up all leadership and takes no further part in elections. It
// returns when the lease is revoked, or the context ends.
func (e *Elector) Resign(ctx context.Context) {
	done := make(chan struct{})
	select {
	case e.messages <- resignRequested{done}:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run takes part in elections until the context ends.
func (e *Elector) Run(ctx context.Context) {
	go e.watchStore(ctx)
	timer := e.Clock.NewTicker(tick)
	defer timer.Stop()
	for {
		select {
		case m := <-e.messages:
			e.handle(ctx, m)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		e.step(ctx, e.Clock.Now())
	}
}

func (e *Elector) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case poolsChanged:
		e.pools = m
	case storeChanged:
		e.applyChanges(m)
	case leaseGranted:
		e.onLeaseGranted(ctx, m)
	case registered:
		e.granting, e.keyWrittenAt = false, e.Clock.Now()
		e.Log.Warn().Err(m.err).Msg("entry registered again")
		if errors.Is(m.err, plat.ErrNotFound) || errors.Is(m.err, plat.ErrConflict) {
			e.endLease(m.lease) // or the registration under it is no longer the last
		}
	case watchFailed:
		e.noteTrouble()
	case leaseRenewed:
		e.noteRenewal(m)
		e.onLeaseRenewed(m)
	case claimEnded:
		e.onClaimEnded(m)
	case ownerRefused:
		if t, ok := e.held[m.pool]; ok {
			e.refusedFence[m.pool] = t.Fence
		}
		e.lose(m.pool, "refused")
	case keyRemoved:
		delete(e.writePending, m.pool)
		if m.err != nil {
			e.Log.Warn().Str("pool", m.pool).Err(m.err).Msg("removing the leader key failed")
		}
	case resignRequested:
		e.resigned = true
		e.resignAll(ctx, m.done)
	}
}

// send passes a message to the goroutine in Run.
func (e *Elector) send(ctx context.Context, m any) {
	select {
	case e.messages <- m:
	case <-ctx.Done():
	}
}

// watchStore lists the keys of elections, watches them, and sends the changes.
func (e *Elector) watchStore(ctx context.Context) {
	var rev int64
	for ctx.Err() == nil {
		var items []plat.Item
		var next int64
		var err error
		complete := rev == 0
		if complete {
			items, next, err = e.Store.List(ctx, prefix)
		} else {
			items, next, err = e.Store.Watch(ctx, prefix, rev, watchTimeout)
		}
		if err != nil {
			e.send(ctx, watchFailed{})
		}
		switch {
		case errors.Is(err, plat.ErrCompacted):
			rev = 0
		case err != nil:
			e.pause(ctx)
		default:
			rev = next
			if complete || len(items) > 0 {
				e.send(ctx, storeChanged{items, next, complete})
			}
			e.watchAnsweredAt.Store(int64(e.SinceBoot()))
		}
	}
}

// pause waits for retryDelay, or until the context ends.
func (e *Elector) pause(ctx context.Context) {
	t := e.Clock.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// applyChanges updates the entries, leaders and terms from keys of the store.
func (e *Elector) applyChanges(m storeChanged) {
	if m.complete {
		clear(e.coresByEntry)
		clear(e.past)
		clear(e.boots)
		maps.DeleteFunc(e.leaders, func(_ string, l leader) bool { return l.rev <= m.rev })
		e.synced = true
	}
	for _, it := range m.items {
		switch {
		case strings.HasPrefix(it.Key, entryPrefix):
			name := strings.TrimPrefix(it.Key, entryPrefix)
			if it.Deleted {
				delete(e.coresByEntry, name)
			} else {
				e.coresByEntry[name] = e.entryCores(it)
			}
		case strings.HasPrefix(it.Key, leaderPrefix):
			e.applyLeader(strings.TrimPrefix(it.Key, leaderPrefix), it)
		case strings.HasPrefix(it.Key, termPrefix) && !it.Deleted:
			e.terms[strings.TrimPrefix(it.Key, termPrefix)] = termCounter{e.termNumber(it), it.Rev}
		case strings.HasPrefix(it.Key, pastPrefix):
			e.applyPast(strings.TrimPrefix(it.Key, pastPrefix), it)
		case strings.HasPrefix(it.Key, bootPrefix):
			e.applyBoot(strings.TrimPrefix(it.Key, bootPrefix), it)
		}
	}
	e.publishBoots()
	e.noteSettled()
	if e.boots[e.Name].rev > e.boot.rev {
		e.superseded(e.lease)
	}
	for pool, t := range e.held {
		if l, ok := e.leaders[pool]; !ok && m.complete || ok && l.rev > t.Fence {
			e.lose(pool, "the store has no such leader")
		}
	}
}

// termNumber returns the number of elections in a term's key. If it is not a possible one, it
// returns the key's revision: each election has written the key, so that there were no more.
func (e *Elector) termNumber(it plat.Item) int {
	var n int
	err := json.Unmarshal(it.Value, &n)
	if err == nil && n > 0 && int64(n) <= it.Rev {
		return n
	}
	e.Log.Error().Str("key", it.Key).Int64("rev", it.Rev).Int("number", n).Err(err).Msg("election term cannot be decoded")
	return int(it.Rev)
}

func (e *Elector) applyLeader(pool string, it plat.Item) {
	if it.Deleted {
		l := e.leaders[pool]
		if l.rev > it.Rev {
			return // the key has been written again since
		}
		e.removedAt[pool] = max(e.removedAt[pool], it.Rev)
		if l.entry == e.Name && !e.writePending[pool] {
			e.former[pool] = true
		}
		delete(e.leaders, pool)
		if t, ok := e.held[pool]; ok && it.Rev > t.Fence {
			e.lose(pool, "the leader's key was removed")
		}
		return
	}
	if it.Rev <= e.removedAt[pool] || it.Rev < e.leaders[pool].rev {
		return // a later state is known
	}
	v := e.decodeLeader(it)
	e.leaders[pool] = leader{v.Entry, v.Lease, it.Rev}
	delete(e.former, pool)
}

// decodeLeader returns the value of a leader's key: the zero value if it can't be read.
func (e *Elector) decodeLeader(it plat.Item) leaderValue {
	var v leaderValue
	if err := json.Unmarshal(it.Value, &v); err != nil {
		e.Log.Error().Str("key", it.Key).Err(err).Msg("leader key cannot be decoded")
	}
	return v
}

func (e *Elector) lose(pool, cause string) {
	t, ok := e.held[pool]
	if !ok {
		return
	}
	delete(e.held, pool)
	e.sinceRenewal(e.Log.Warn()).Str("pool", pool).Int64("fence", t.Fence).Int("term", t.Number).Str("cause", cause).Msg("leadership lost")
	e.Lost(t, cause)
}

func (e *Elector) step(ctx context.Context, now time.Time) {
	if e.resigned {
		return
	}
	e.noteSilentWatch()
	e.maintainLease(ctx, now)
	switch {
	case !e.synced || e.lease == 0:
	case now.Sub(e.registeredAt) < claimDelay:
		e.reclaimFormer(ctx)
	default:
		e.handOver(now)
		e.claimVacant(ctx, now)
	}
}

// resignAll gives up all pools, says so by the entry's boot counter, and revokes the
// entry's lease, which removes its leader keys.
func (e *Elector) resignAll(ctx context.Context, done chan struct{}) {
	for pool := range e.held {
		e.lose(pool, "entry stops")
	}
	lease, boot := e.lease, e.boot
	e.lease = 0
	e.disprove()
	go func() {
		defer close(done)
		e.raiseBoot(ctx, boot)
		if lease == 0 {
			return
		}
		if err := e.Store.Revoke(ctx, lease); err != nil {
			e.Log.Warn().Int64("lease", lease).Err(err).Msg("revoking the lease failed")
		}
	}()
}
