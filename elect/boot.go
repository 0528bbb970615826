package elect

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"shallotpaddle/plat"
)

const (
	// registerTries is how often a registration is tried under one lease: again once the
	// boot counter is known, and once more if a late copy of an earlier one comes first.
	registerTries = 3
	// raiseTimeout bounds the write with which a stopping entry raises its boot counter.
	raiseTimeout = 500 * time.Millisecond
)

// bootValue is the value of an entry's boot counter. An entry raises it with each new
// registration, and when it stops, after it has lost all that it led before.
type bootValue struct {
	Boot int64 `json:"boot"`
	// Lease is the lease of the registration, so that a late copy of another one is not taken
	// for it; 0 if the entry has stopped.
	Lease int64 `json:"lease"`
}

// bootCounter is a boot counter and the revision of its key; rev is 0 without a key.
type bootCounter struct {
	number int64
	rev    int64
}

var errOutOfRange = errors.New("out of range")

// decodeBoot returns the boot counter in a key. The number of one that can't be read is the
// key's revision: each raise has written the key, so that there were no more.
func (e *Elector) decodeBoot(it plat.Item) (bootCounter, error) {
	if it.Rev == 0 {
		return bootCounter{}, nil
	}
	var v bootValue
	err := json.Unmarshal(it.Value, &v)
	if err == nil && (v.Boot <= 0 || v.Boot > it.Rev) {
		err = errOutOfRange
	}
	if err != nil {
		e.Log.Error().Str("key", it.Key).Int64("rev", it.Rev).Err(err).Msg("boot counter cannot be decoded")
		return bootCounter{it.Rev, it.Rev}, err
	}
	return bootCounter{v.Boot, it.Rev}, nil
}

// applyBoot records an entry's boot counter. One that can't be read tells nothing of what
// has ended.
func (e *Elector) applyBoot(name string, it plat.Item) {
	delete(e.boots, name)
	if name == "" || it.Deleted {
		return
	}
	if c, err := e.decodeBoot(it); err == nil {
		e.boots[name] = c
	}
}

// publishBoots makes the boot counters known to other goroutines.
func (e *Elector) publishBoots() {
	if old := e.publishedBoots.Load(); old != nil && maps.Equal(*old, e.boots) {
		return
	}
	boots := maps.Clone(e.boots)
	e.publishedBoots.Store(&boots)
}

// superseded gives up what this entry holds under a lease, as another process has raised
// its boot counter, by which the others count its leaderships as ended.
func (e *Elector) superseded(lease int64) {
	if lease == 0 || lease != e.lease {
		return
	}
	e.Log.Error().Str("entry", e.Name).Msg("entry registered by another process")
	e.registerAfter = e.Clock.Now().Add(e.TTL)
	e.endLease(lease)
}

// entryPut returns the write of the entry's key, which lasts as long as its lease.
func (e *Elector) entryPut(lease int64) (plat.Put, error) {
	value, err := json.Marshal(entryValue{e.Cores})
	return plat.Put{Key: entryPrefix + e.Name, Value: value, Lease: lease}, err
}

// writeEntry writes the entry's key again under the lease of its registration. It returns
// plat.ErrConflict if there was another registration since.
func (e *Elector) writeEntry(ctx context.Context, lease int64, boot bootCounter) error {
	put, err := e.entryPut(lease)
	if err != nil {
		return err
	}
	_, _, err = e.Store.Commit(ctx, plat.Txn{Expect: []plat.Condition{{Key: bootPrefix + e.Name, Rev: boot.rev}}, Puts: []plat.Put{put}})
	return err
}

// register writes the entry's key under a new lease and raises its boot counter. It is
// called after this entry has lost all leaderships of earlier leases: by the counter, the
// others know that these have ended.
//
// It returns the counter as far as it is known. The condition on its revision makes late
// copies of earlier registrations fail.
func (e *Elector) register(ctx context.Context, lease int64, known bootCounter) (bootCounter, error) {
	entry, err := e.entryPut(lease)
	if err != nil {
		return known, err
	}
	if known.rev == 0 {
		it, err := e.Store.Get(ctx, bootPrefix+e.Name)
		if err != nil && !errors.Is(err, plat.ErrNotFound) {
			return known, err
		}
		if err == nil {
			known, _ = e.decodeBoot(it)
		}
	}
	for range registerTries {
		var next, present bootCounter
		next, present, err = e.writeBoot(ctx, known, lease, entry)
		if err == nil {
			return next, nil
		}
		if !errors.Is(err, plat.ErrConflict) {
			return known, err
		}
		present.number = max(present.number, known.number)
		known = present
	}
	return known, err
}

// raiseBoot says that all leaderships of a stopping entry have ended. It gives up early,
// as others find out by themselves later.
func (e *Elector) raiseBoot(ctx context.Context, known bootCounter) {
	if known.rev == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, raiseTimeout)
	defer cancel()
	if _, _, err := e.writeBoot(ctx, known, 0); err != nil {
		e.Log.Warn().Err(err).Msg("raising the boot counter failed")
	}
}

// writeBoot raises the entry's boot counter together with other writes. With
// plat.ErrConflict it returns the counter that is present as well.
func (e *Elector) writeBoot(ctx context.Context, known bootCounter, lease int64, with ...plat.Put) (next, present bootCounter, err error) {
	next = bootCounter{number: known.number + 1}
	value, err := json.Marshal(bootValue{next.number, lease})
	if err != nil {
		return next, present, err
	}
	key := bootPrefix + e.Name
	txn := plat.Txn{Expect: []plat.Condition{{Key: key, Rev: known.rev}}, Puts: append(with, plat.Put{Key: key, Value: value})}
	rev, items, err := e.Store.Commit(ctx, txn)
	next.rev = rev
	for _, it := range items {
		if it.Key == key {
			present, _ = e.decodeBoot(it)
		}
	}
	return next, present, err
}
