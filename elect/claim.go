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
// comes first, later others that are still vacant.
func (e *Elector) claimVacant(ctx context.Context, now time.Time) {
	load := map[string]int{}
	for _, l := range e.leads {
		load[l.node]++
	}
	for pool := range e.claims {
		if _, known := e.leads[pool]; !known {
			load[e.Name]++ // as good as won
		}
	}
	for _, pool := range e.pools {
		if l, ok := e.leads[pool]; ok {
			delete(e.vacant, pool)
			e.settleOwn(ctx, pool, l)
			continue
		}
		since, ok := e.vacant[pool]
		if !ok {
			since = now
			e.vacant[pool] = now
		}
		if e.claims[pool] {
			continue
		}
		order := rank(pool, e.nodes, load)
		if len(order) > 0 {
			load[order[0]]++
		}
		at := slices.Index(order, e.Name)
		if at < 0 || now.Sub(since) < time.Duration(at)*rankDelay {
			continue
		}
		e.claim(ctx, pool)
	}
}

// settleOwn looks after a leader's key that is this entry's while it does not
// lead: a claim that was carried out after it was given up is taken, and one
// whose owner was refused is removed, so that there is a new election.
func (e *Elector) settleOwn(ctx context.Context, pool string, l lead) {
	if _, held := e.held[pool]; held || e.claims[pool] || l.node != e.Name || l.lease != e.lease {
		return
	}
	if l.rev > e.refused[pool] {
		e.win(Term{pool, l.rev, e.terms[pool].number})
		return
	}
	e.claims[pool] = true
	txn := plat.Txn{Expect: []plat.Condition{{Key: Key(pool), Rev: l.rev}}, Remove: []string{Key(pool)}}
	go func() {
		_, _, err := e.Store.Commit(ctx, txn)
		e.pause(ctx)
		e.post(ctx, removed{pool, err})
	}()
}

func (e *Elector) win(t Term) {
	e.held[t.Pool] = t
	e.Log.Info().Str("pool", t.Pool).Int64("fence", t.Fence).Int("term", t.Number).Msg("leadership won")
	e.Won(t)
}

// rank orders entries for a pool: those first that have the most processor for
// each pool that they would then hold, then by hash.
//
// It answers fleets whose entries differ: a pool's owner on a small entry falls
// behind while large ones only forward.
func rank(pool string, nodes map[string]float64, load map[string]int) []string {
	out := make([]string, 0, len(nodes))
	for n := range nodes {
		out = append(out, n)
	}
	hash := func(node string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(pool + "/" + node)) // never fails
		return h.Sum64()
	}
	share := func(node string) float64 { return nodes[node] / float64(load[node]+1) }
	slices.SortFunc(out, func(a, b string) int {
		if c := cmp.Compare(share(b), share(a)); c != 0 {
			return c
		}
		if hash(a) < hash(b) {
			return -1
		}
		return 1
	})
	return out
}

func (e *Elector) claim(ctx context.Context, pool string) {
	e.claims[pool] = true
	t, lease := e.terms[pool], e.lease
	value, err := json.Marshal(holder{e.Name, lease})
	if err != nil {
		e.Log.Error().Err(err).Msg("leader not encodable")
		return
	}
	number, err := json.Marshal(t.number + 1)
	if err != nil {
		e.Log.Error().Err(err).Msg("term not encodable")
		return
	}
	txn := plat.Txn{
		Expect: []plat.Condition{{Key: Key(pool)}, {Key: termPrefix + pool, Rev: t.rev}},
		Puts:   []plat.Put{{Key: Key(pool), Value: value, Lease: lease}, {Key: termPrefix + pool, Value: number}},
	}
	go func() {
		rev, _, err := e.Store.Commit(ctx, txn)
		if errors.Is(err, plat.ErrUnknown) {
			rev, err = e.readBack(ctx, pool, lease)
		}
		if err != nil {
			e.pause(ctx)
		}
		e.post(ctx, claimed{pool, t.number + 1, rev, err})
	}()
}

// readBack tells whether a claim without an answer was carried out.
func (e *Elector) readBack(ctx context.Context, pool string, lease int64) (int64, error) {
	it, err := e.Store.Get(ctx, Key(pool))
	if err != nil {
		return 0, err
	}
	var h holder
	if err := json.Unmarshal(it.Value, &h); err != nil {
		return 0, err
	}
	if h.Node != e.Name || h.Lease != lease {
		return 0, plat.ErrConflict
	}
	return it.Rev, nil
}

func (e *Elector) takeClaimed(m claimed) {
	delete(e.claims, m.pool)
	if m.err != nil {
		e.Log.Info().Str("pool", m.pool).Err(m.err).Msg("claim failed")
		return
	}
	if e.resign {
		return
	}
	if l, ok := e.leads[m.pool]; ok && l.rev > m.rev {
		return
	}
	e.leads[m.pool] = lead{e.Name, e.lease, m.rev}
	e.win(Term{m.pool, m.rev, m.term})
}
