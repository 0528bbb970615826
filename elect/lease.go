package elect

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"shallotpaddle/plat"
)

// maintainLease requests a lease if there is none, and renews it in time.
func (e *Elector) maintainLease(ctx context.Context, now time.Time) {
	switch {
	case e.lease == 0 && !e.granting:
		e.granting = true
		go func() {
			sent := e.SinceBoot()
			id, err := e.Store.Grant(ctx, e.TTL)
			if err == nil {
				err = e.register(ctx, id)
			}
			if err != nil {
				e.pause(ctx)
			}
			e.send(ctx, leaseGranted{id, sent, err})
		}()
	case e.lease != 0 && !e.granting && e.unregistered(now):
		// A copy of an earlier registration was carried out late, under a lease that
		// has ended since.
		e.granting = true
		id := e.lease
		go func() {
			e.send(ctx, registered{id, e.register(ctx, id)})
		}()
	case e.lease != 0 && !e.renewing && now.Sub(e.renewedAt) >= renewalInterval:
		e.renewing = true
		id := e.lease
		go func() {
			sent := e.SinceBoot()
			err := e.Store.Renew(ctx, id)
			if err != nil && !errors.Is(err, plat.ErrNotFound) {
				e.pause(ctx)
			}
			e.send(ctx, leaseRenewed{id, now, sent, err})
		}()
	}
}

// unregistered reports whether the entry's key has ended although its lease has not. The
// watch may tell late that the key is there.
func (e *Elector) unregistered(now time.Time) bool {
	_, known := e.coresByEntry[e.Name]
	return e.synced && !known && now.Sub(e.keyWrittenAt) >= e.TTL
}

// entryValue is the value of an entry's key.
type entryValue struct {
	Cores float64 `json:"cores"`
}

// register writes the entry's key, which lasts as long as its lease.
func (e *Elector) register(ctx context.Context, lease int64) error {
	value, err := json.Marshal(entryValue{e.Cores})
	if err != nil {
		return err
	}
	_, _, err = e.Store.Commit(ctx, plat.Txn{Puts: []plat.Put{{Key: entryPrefix + e.Name, Value: value, Lease: lease}}})
	return err
}

// entryCores returns the cores in an entry's key: 0 if it has none, so that the
// entry ranks last.
func (e *Elector) entryCores(it plat.Item) float64 {
	var v entryValue
	if err := json.Unmarshal(it.Value, &v); err != nil {
		e.Log.Error().Str("key", it.Key).Err(err).Msg("entry key cannot be decoded")
	}
	return v.Cores
}

func (e *Elector) onLeaseGranted(_ context.Context, m leaseGranted) {
	e.granting = false
	if m.err != nil {
		e.noteFailure(m.err, "requesting a lease failed")
		return
	}
	e.lease, e.registeredAt, e.keyWrittenAt, e.renewedAt = m.lease, e.Clock.Now(), e.Clock.Now(), e.Clock.Now()
	e.prove(m.sent)
	e.logRegistered(m)
}

func (e *Elector) onLeaseRenewed(m leaseRenewed) {
	e.renewing = false
	if m.lease != e.lease {
		return
	}
	if m.err == nil {
		e.renewedAt = m.at
		e.prove(m.sent)
		return
	}
	if errors.Is(m.err, plat.ErrNotFound) {
		e.endLease(m.lease)
	}
}

// endLease gives up what this entry held under a lease that the store no longer has.
func (e *Elector) endLease(lease int64) {
	if lease == 0 || lease != e.lease {
		return
	}
	e.sinceRenewal(e.Log.Warn()).Int64("lease", lease).Int("pools", len(e.held)).Msg("lease expired")
	e.lease = 0
	for pool := range e.held {
		e.lose(pool, "lease ended")
	}
	for pool, l := range e.leaders {
		if l.entry == e.Name && l.lease == lease {
			delete(e.leaders, pool)
			e.former[pool] = true
		}
	}
}

// leaseMargin is how much earlier than by this entry's clock the store may end a lease.
const leaseMargin = 50 * time.Millisecond

// prove records that the store has answered a call for the lease that was sent at a time.
func (e *Elector) prove(sent time.Duration) { e.provenUntil.Store(int64(sent + e.TTL - leaseMargin)) }

// Proven reports whether the entry's lease certainly lasts, so that no other entry can
// have been elected in its place. While the store can't be reached, it does not report so,
// although nobody can be elected then. It is safe for concurrent use.
func (e *Elector) Proven() bool { return int64(e.SinceBoot()) < e.provenUntil.Load() }

// ProvenAt returns when, by SinceBoot, the last call was sent by which the store has proved
// that the entry's lease lasts.
func (e *Elector) ProvenAt() time.Duration {
	return time.Duration(e.provenUntil.Load()) - e.TTL + leaseMargin
}
