package elect

import (
	"context"
	"encoding/json"
	"time"

	"shallotpaddle/plat"
)

// maintainLease requests a lease if there is none, and renews it in time.
func (e *Elector) maintainLease(ctx context.Context, now time.Time) {
	switch {
	case e.lease == 0 && !e.granting && !now.Before(e.registerAfter):
		e.granting = true
		boot := e.boot
		go func() {
			sent := e.SinceBoot()
			id, err := e.Store.Grant(ctx, e.TTL)
			if err == nil {
				boot, err = e.register(ctx, id, boot)
			}
			if err != nil {
				e.pause(ctx)
			}
			e.send(ctx, leaseGranted{id, sent, boot, err})
		}()
	case e.lease != 0 && !e.granting && e.unregistered(now):
		// A registration of an older version of the program was carried out late, under a
		// lease that has ended since.
		e.granting = true
		id, boot := e.lease, e.boot
		go func() {
			e.send(ctx, registered{id, e.writeEntry(ctx, id, boot)})
		}()
	case e.lease != 0 && !e.renewing && now.Sub(e.renewedAt) >= min(e.TTL/renewalsPerTTL, maxRenewalInterval):
		e.renewing = true
		m := leaseRenewed{lease: e.lease, at: now, troubles: e.troubles}
		holds, doubtful := len(e.held) > 0, e.doubtful()
		go e.renew(ctx, m, holds, doubtful)
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
	e.boot = m.boot
	if m.err != nil {
		e.noteFailure(m.err, "requesting a lease failed")
		return
	}
	if e.resigned {
		return // the lease ends by itself
	}
	e.lease, e.registeredAt, e.keyWrittenAt, e.renewedAt = m.lease, e.Clock.Now(), e.Clock.Now(), e.Clock.Now()
	e.prove(m.sent)
	e.logRegistered(m)
}

// endLease gives up what this entry held under a lease that the store no longer has.
func (e *Elector) endLease(lease int64) {
	if lease == 0 || lease != e.lease {
		return
	}
	e.sinceRenewal(e.Log.Warn()).Int64("lease", lease).Int("pools", len(e.held)).Msg("lease expired")
	e.lease = 0
	e.disprove()
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
