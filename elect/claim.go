package elect

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"shallotpaddle/plat"
)

// claimVacant claims pools without a leader: at once those for which this entry
// ranks first, and others if they are still vacant after rankDelay for each entry
// that ranks before it.
func (e *Elector) claimVacant(ctx context.Context, now time.Time) {
	load := map[string]int{}
	for _, l := range e.leaders {
		load[l.entry]++
	}
	for pool := range e.writePending {
		if _, known := e.leaders[pool]; !known {
			load[e.Name]++ // a claim under way counts as won
		}
	}
	for _, pool := range e.pools {
		if l, ok := e.leaders[pool]; ok {
			delete(e.vacantSince, pool)
			e.reconcileLeader(ctx, pool, l)
			continue
		}
		since, ok := e.vacantSince[pool]
		if !ok {
			since = now
			e.vacantSince[pool] = now
		}
		if e.writePending[pool] {
			continue
		}
		order := rankEntries(pool, e.coresByEntry, load)
		if len(order) > 0 {
			load[order[0]]++
		}
		rank := slices.Index(order, e.Name)
		if rank < 0 || now.Sub(since) < time.Duration(rank)*rankDelay {
			continue
		}
		e.claim(ctx, pool)
	}
}

// reclaimFormer claims the pools that this entry led when its lease ended. If the leases
// of all entries ended while the store was away, each has its pools back at once.
func (e *Elector) reclaimFormer(ctx context.Context) {
	for _, pool := range e.pools {
		if _, led := e.leaders[pool]; e.former[pool] && !led && !e.writePending[pool] {
			e.claim(ctx, pool)
		}
	}
}

// reconcileLeader handles a leader's key that names this entry while it does not
// lead. If an earlier claim was carried out late, it takes the leadership. If the
// store has refused its owner, it removes the key for a new election.
func (e *Elector) reconcileLeader(ctx context.Context, pool string, l leader) {
	if _, held := e.held[pool]; held || e.writePending[pool] || l.entry != e.Name || l.lease != e.lease {
		return
	}
	e.writePending[pool] = true
	if l.rev > e.refusedFence[pool] {
		term := e.terms[pool].number
		go e.adopt(ctx, claimEnded{pool: pool, lease: l.lease, term: term, former: e.mayAct(pool, term), rev: l.rev})
		return
	}
	txn := plat.Txn{Expect: []plat.Condition{{Key: Key(pool), Rev: l.rev}}, Remove: []string{Key(pool)}}
	go func() {
		_, _, err := e.Store.Commit(ctx, txn)
		e.pause(ctx)
		e.send(ctx, keyRemoved{pool, err})
	}()
}

// adopt takes the leadership of a late claim if its key is still there: the watch may tell
// late that it was removed.
func (e *Elector) adopt(ctx context.Context, m claimEnded) {
	rev, err := e.readBack(ctx, m.pool, m.lease)
	if err == nil && rev != m.rev {
		err = plat.ErrConflict
	}
	if err != nil {
		e.pause(ctx)
	}
	m.err = err
	e.send(ctx, m)
}

// win records the leadership of a pool and reports it.
func (e *Elector) win(t Term) {
	e.lose(t.Pool, "elected again")
	t.boot = e.boot.number
	e.held[t.Pool] = t
	e.logWon(t)
	e.Won(t)
}

// rankEntries orders the entries as candidates for a pool: by cores for each pool
// that they would then lead, most first, then by hash. Load has the number of
// pools that an entry leads.
//
// Entries may differ in size: a pool's owner on a small entry would fall behind
// while large entries only forward requests.
func rankEntries(pool string, coresByEntry map[string]float64, load map[string]int) []string {
	out := make([]string, 0, len(coresByEntry))
	for n := range coresByEntry {
		out = append(out, n)
	}
	hash := func(entry string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(pool + "/" + entry)) // never fails
		return h.Sum64()
	}
	coresPerPool := func(entry string) float64 { return coresByEntry[entry] / float64(load[entry]+1) }
	slices.SortFunc(out, func(a, b string) int {
		if c := cmp.Compare(coresPerPool(b), coresPerPool(a)); c != 0 {
			return c
		}
		if hash(a) < hash(b) {
			return -1
		}
		return 1
	})
	return out
}

// claim writes the leader's key of a pool, if it has none, and counts the term.
func (e *Elector) claim(ctx context.Context, pool string) {
	e.writePending[pool] = true
	t, lease := e.terms[pool], e.lease
	value, err := json.Marshal(leaderValue{e.Name, lease})
	if err != nil {
		e.Log.Error().Err(err).Msg("leader key cannot be encoded")
		return
	}
	number, err := json.Marshal(t.number + 1)
	if err != nil {
		e.Log.Error().Err(err).Msg("election term cannot be encoded")
		return
	}
	former := e.mayAct(pool, t.number)
	past, err := json.Marshal(pastValue{t.number + 1, append(slices.Clip(former), actor{e.Name, e.boot.number})})
	if err != nil {
		e.Log.Error().Err(err).Msg("former leaders cannot be encoded")
		return
	}
	txn := plat.Txn{
		Expect: []plat.Condition{{Key: Key(pool)}, {Key: termPrefix + pool, Rev: t.rev}},
		Puts: []plat.Put{
			{Key: Key(pool), Value: value, Lease: lease}, {Key: termPrefix + pool, Value: number}, {Key: pastPrefix + pool, Value: past},
		},
	}
	go func() {
		sent := e.SinceBoot()
		rev, _, err := e.Store.Commit(ctx, txn)
		slow := e.SinceBoot()-sent > slowAnswer
		if errors.Is(err, plat.ErrUnknown) || err == nil && slow {
			rev, err = e.readBack(ctx, pool, lease)
		}
		if err != nil {
			e.pause(ctx)
		}
		e.send(ctx, claimEnded{pool, lease, t.number + 1, former, rev, err})
	}()
}

// readBack finds out whether a claim without an answer, or with a late one, is in force. It returns
// the revision of the leader's key, or plat.ErrConflict if another holds it.
func (e *Elector) readBack(ctx context.Context, pool string, lease int64) (int64, error) {
	it, err := e.Store.Get(ctx, Key(pool))
	if err != nil {
		return 0, err
	}
	var v leaderValue
	if err := json.Unmarshal(it.Value, &v); err != nil {
		return 0, err
	}
	if v.Entry != e.Name || v.Lease != lease {
		return 0, plat.ErrConflict
	}
	return it.Rev, nil
}

func (e *Elector) onClaimEnded(m claimEnded) {
	delete(e.writePending, m.pool)
	if m.err != nil {
		e.Log.Info().Str("pool", m.pool).Err(m.err).Msg("claiming leadership failed")
		if m.rev != 0 && (errors.Is(m.err, plat.ErrNotFound) || errors.Is(m.err, plat.ErrConflict)) {
			e.applyLeader(m.pool, plat.Item{Key: Key(m.pool), Rev: m.rev, Deleted: true})
		}
		return
	}
	if e.resigned || m.lease != e.lease {
		return // the key has ended with the lease; a new one proves nothing of it
	}
	if m.rev <= e.removedAt[m.pool] {
		return // the watch has told of the key's end before the answer came
	}
	if l, ok := e.leaders[m.pool]; ok && l.rev > m.rev {
		return
	}
	e.leaders[m.pool] = leader{e.Name, e.lease, m.rev}
	delete(e.former, m.pool)
	e.win(Term{Pool: m.pool, Fence: m.rev, Number: m.term, former: m.former})
}
