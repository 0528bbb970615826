// Package elect elects one leader for each pool among the entries, by leases in
// the platform's store. The revision at which a leader's key was created is its
// fencing token.
package elect

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"

	"shallotpaddle/plat"
)

// Keys of elections.
const (
	prefix     = "seat/"
	nodePrefix = prefix + "node/"
	leadPrefix = prefix + "lead/"
	termPrefix = prefix + "term/"
)

// Key returns the store key that the leader of a pool holds.
func Key(pool string) string { return leadPrefix + pool }

// Store has the calls to the platform's store.
type Store struct {
	List   func(ctx context.Context, prefix string) ([]plat.Item, int64, error)
	Watch  func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]plat.Item, int64, error)
	Commit func(ctx context.Context, t plat.Txn) (int64, []plat.Item, error)
	Get    func(ctx context.Context, key string) (plat.Item, error)
	Grant  func(ctx context.Context, ttl time.Duration) (int64, error)
	Renew  func(ctx context.Context, lease int64) error
	Revoke func(ctx context.Context, lease int64) error
}

// Term is one election that was won.
type Term struct {
	Pool string
	// Fence is the revision of the leader's key.
	Fence int64
	// Number counts the elections of the pool, from 1.
	Number int
}

// Params are what an elector is made of.
type Params struct {
	Name string
	// Cores is the processor that the entry has.
	Cores float64
	Store Store
	Clock quartz.Clock
	Log   *log.Logger
	// TTL is the length of the entry's lease.
	TTL time.Duration
	// Won and Lost are called by Run's goroutine.
	Won  func(Term)
	Lost func(Term, string)
}

// Elector takes part in the elections of all pools. Its tables belong to the
// goroutine in Run.
type Elector struct {
	Params
	in    chan any
	lease int64 // 0 without one
	// registered is when the lease was opened.
	registered time.Time
	renewed    time.Time
	granting   bool
	renewing   bool

	pools  []string
	nodes  map[string]float64 // processor of each entry, in cores
	leads  map[string]lead
	terms  map[string]term
	vacant map[string]time.Time // since when a pool is known to have no leader
	claims map[string]bool      // claims under way
	held   map[string]Term
	// refused has the fencing tokens whose owners were refused, by pool.
	refused map[string]int64
	synced  bool
	resign  bool
}

// lead is the holder of a leader's key.
type lead struct {
	node  string
	lease int64
	rev   int64
}

// term is the number of elections of a pool.
type term struct {
	number int
	rev    int64
}

// holder is the content of a leader's key.
type holder struct {
	Node  string `json:"node"`
	Lease int64  `json:"lease"`
}

const (
	// tick is how often vacancies and the lease are looked after.
	tick = 50 * time.Millisecond
	// settle is the time after registration in which an entry does not claim:
	// entries that start together have then seen each other.
	settle = 400 * time.Millisecond
	// rankDelay is how much longer each entry further down the order waits: more
	// than the 0.3 s by which entries that start together lie apart.
	rankDelay = 400 * time.Millisecond
	// watchWait is how long a watch waits for a change.
	watchWait = 2 * time.Second
	// retryPause is the pause after a call that failed.
	retryPause = 100 * time.Millisecond
	// renewals is the number of renewals in the time of a lease.
	renewals = 4
)

// New returns an elector that has no lease yet.
func New(p Params) *Elector {
	return &Elector{
		Params: p, in: make(chan any, 64), nodes: map[string]float64{}, leads: map[string]lead{},
		terms: map[string]term{}, vacant: map[string]time.Time{}, claims: map[string]bool{}, held: map[string]Term{},
		refused: map[string]int64{},
	}
}

// Messages to the loop.
type (
	pools   []string
	resigns struct{ done chan struct{} }
	given   struct{ pool string }
	events  struct {
		items []plat.Item
		fresh bool // the items are all there are
	}
	granted struct {
		lease int64
		err   error
	}
	renewed struct {
		lease int64
		at    time.Time
		err   error
	}
	removed struct {
		pool string
		err  error
	}
	claimed struct {
		pool string
		term int
		rev  int64
		err  error
	}
)

// SetPools tells which pools there are.
func (e *Elector) SetPools(p []string) { e.in <- pools(p) }

// GiveUp tells that this entry's owner of a pool was refused.
func (e *Elector) GiveUp(pool string) { e.in <- given{pool} }

// Resign gives up every pool and takes part no more.
func (e *Elector) Resign(ctx context.Context) {
	done := make(chan struct{})
	select {
	case e.in <- resigns{done}:
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
	go e.follow(ctx)
	timer := e.Clock.NewTicker(tick)
	defer timer.Stop()
	for {
		select {
		case m := <-e.in:
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
	case pools:
		e.pools = m
	case events:
		e.take(m)
	case granted:
		e.takeGranted(ctx, m)
	case renewed:
		e.takeRenewed(m)
	case claimed:
		e.takeClaimed(m)
	case given:
		if t, ok := e.held[m.pool]; ok {
			e.refused[m.pool] = t.Fence
		}
		e.lose(m.pool, "refused")
	case removed:
		delete(e.claims, m.pool)
		if m.err != nil {
			e.Log.Warn().Str("pool", m.pool).Err(m.err).Msg("leader's key not removed")
		}
	case resigns:
		e.resign = true
		e.giveAll(ctx, m.done)
	}
}

func (e *Elector) post(ctx context.Context, m any) {
	select {
	case e.in <- m:
	case <-ctx.Done():
	}
}

// follow passes on what changes in the elections.
func (e *Elector) follow(ctx context.Context) {
	var rev int64
	for ctx.Err() == nil {
		var items []plat.Item
		var next int64
		var err error
		fresh := rev == 0
		if fresh {
			items, next, err = e.Store.List(ctx, prefix)
		} else {
			items, next, err = e.Store.Watch(ctx, prefix, rev, watchWait)
		}
		switch {
		case errors.Is(err, plat.ErrCompacted):
			rev = 0
		case err != nil:
			e.pause(ctx)
		default:
			rev = next
			if fresh || len(items) > 0 {
				e.post(ctx, events{items, fresh})
			}
		}
	}
}

func (e *Elector) pause(ctx context.Context) {
	t := e.Clock.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// take takes in the elections as the store has them.
func (e *Elector) take(m events) {
	if m.fresh {
		clear(e.nodes)
		clear(e.leads)
		e.synced = true
	}
	for _, it := range m.items {
		switch {
		case strings.HasPrefix(it.Key, nodePrefix):
			name := strings.TrimPrefix(it.Key, nodePrefix)
			if it.Gone {
				delete(e.nodes, name)
			} else {
				e.nodes[name] = e.cores(it)
			}
		case strings.HasPrefix(it.Key, leadPrefix):
			e.takeLead(strings.TrimPrefix(it.Key, leadPrefix), it)
		case strings.HasPrefix(it.Key, termPrefix) && !it.Gone:
			t := term{rev: it.Rev}
			if err := json.Unmarshal(it.Value, &t.number); err != nil {
				e.Log.Error().Str("key", it.Key).Err(err).Msg("term not readable")
			}
			e.terms[strings.TrimPrefix(it.Key, termPrefix)] = t
		}
	}
	for pool, t := range e.held {
		if l, ok := e.leads[pool]; !ok && m.fresh || ok && l.rev > t.Fence {
			e.lose(pool, "the store has no such leader")
		}
	}
}

func (e *Elector) takeLead(pool string, it plat.Item) {
	if it.Gone {
		delete(e.leads, pool)
		if t, ok := e.held[pool]; ok && it.Rev > t.Fence {
			e.lose(pool, "the leader's key was removed")
		}
		return
	}
	var h holder
	if err := json.Unmarshal(it.Value, &h); err != nil {
		e.Log.Error().Str("key", it.Key).Err(err).Msg("leader not readable")
	}
	e.leads[pool] = lead{h.Node, h.Lease, it.Rev}
}

func (e *Elector) lose(pool, why string) {
	t, ok := e.held[pool]
	if !ok {
		return
	}
	delete(e.held, pool)
	e.Log.Warn().Str("pool", pool).Int64("fence", t.Fence).Str("cause", why).Msg("leadership lost")
	e.Lost(t, why)
}

func (e *Elector) step(ctx context.Context, now time.Time) {
	if e.resign {
		return
	}
	e.keepLease(ctx, now)
	if !e.synced || e.lease == 0 || now.Sub(e.registered) < settle {
		return
	}
	e.claimVacant(ctx, now)
}

func (e *Elector) keepLease(ctx context.Context, now time.Time) {
	switch {
	case e.lease == 0 && !e.granting:
		e.granting = true
		go func() {
			id, err := e.Store.Grant(ctx, e.TTL)
			if err == nil {
				err = e.register(ctx, id)
			}
			if err != nil {
				e.pause(ctx)
			}
			e.post(ctx, granted{id, err})
		}()
	case e.lease != 0 && !e.renewing && now.Sub(e.renewed) >= e.TTL/renewals:
		e.renewing = true
		id := e.lease
		go func() {
			err := e.Store.Renew(ctx, id)
			if err != nil {
				e.pause(ctx)
			}
			e.post(ctx, renewed{id, now, err})
		}()
	}
}

// node is the content of an entry's key.
type node struct {
	Cores float64 `json:"cores"`
}

// register makes the entry known to the others for as long as its lease lasts.
func (e *Elector) register(ctx context.Context, lease int64) error {
	value, err := json.Marshal(node{e.Cores})
	if err != nil {
		return err
	}
	_, _, err = e.Store.Commit(ctx, plat.Txn{Puts: []plat.Put{{Key: nodePrefix + e.Name, Value: value, Lease: lease}}})
	return err
}

// cores returns the processor of another entry; one that doesn't tell it comes last.
func (e *Elector) cores(it plat.Item) float64 {
	var n node
	if err := json.Unmarshal(it.Value, &n); err != nil {
		e.Log.Error().Str("key", it.Key).Err(err).Msg("entry not readable")
	}
	return n.Cores
}

func (e *Elector) takeGranted(_ context.Context, m granted) {
	e.granting = false
	if m.err != nil {
		e.Log.Warn().Err(m.err).Msg("no lease from the store")
		return
	}
	e.lease, e.registered, e.renewed = m.lease, e.Clock.Now(), e.Clock.Now()
	e.Log.Info().Int64("lease", m.lease).Dur("ttl", e.TTL).Msg("entry registered")
}

func (e *Elector) takeRenewed(m renewed) {
	e.renewing = false
	if m.lease != e.lease {
		return
	}
	if m.err == nil {
		e.renewed = m.at
		return
	}
	if errors.Is(m.err, plat.ErrNotFound) {
		e.Log.Warn().Int64("lease", m.lease).Msg("lease ended")
		e.lease = 0
		for pool := range e.held {
			e.lose(pool, "lease ended")
		}
	}
}

// giveAll ends the entry's lease, and with it all leadership.
func (e *Elector) giveAll(ctx context.Context, done chan struct{}) {
	for pool := range e.held {
		e.lose(pool, "entry stops")
	}
	lease := e.lease
	e.lease = 0
	go func() {
		defer close(done)
		if lease == 0 {
			return
		}
		if err := e.Store.Revoke(ctx, lease); err != nil {
			e.Log.Warn().Int64("lease", lease).Err(err).Msg("lease not given back")
		}
	}()
}
