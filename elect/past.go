package elect

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"shallotpaddle/plat"
)

const (
	// maxPast is the largest number of leaders in the key of a pool's past.
	maxPast = 16
	// maxSettled is the number of elections of a pool of which an entry remembers when the
	// leaders before them had ended.
	maxSettled = 32
	// settleTries is how often Settle tries its write.
	settleTries = 4
	// settleTimeout bounds Settle with all tries.
	settleTimeout = 5 * time.Second
)

// actor is an entry between two raises of its boot counter. The zero actor is never known
// to have ended.
type actor struct {
	Entry string `json:"node"`
	Boot  int64  `json:"boot"`
}

// ended reports whether an actor is known to have lost all that it led.
func (a actor) ended(boots map[string]bootCounter) bool {
	return a.Entry != "" && a.Boot > 0 && boots[a.Entry].number > a.Boot
}

// pastValue is the value of the key of a pool's past: the leaders up to an election that
// may still act, its winner last.
//
// Each claim writes it together with the number of elections. An older version of the
// program writes the latter only, so that the two differ.
type pastValue struct {
	Term    int     `json:"term"`
	Leaders []actor `json:"entries"`
}

func (e *Elector) applyPast(pool string, it plat.Item) {
	if it.Deleted {
		delete(e.past, pool)
		return
	}
	var v pastValue
	if err := json.Unmarshal(it.Value, &v); err != nil {
		e.Log.Error().Str("key", it.Key).Err(err).Msg("former leaders cannot be decoded")
		v = pastValue{}
	}
	e.past[pool] = v
}

// mayAct returns the leaders of a pool up to an election that are not known to have ended,
// without those of this entry.
func (e *Elector) mayAct(pool string, term int) []actor {
	p, ok := e.past[pool]
	if !ok && term == 0 {
		return nil
	}
	if term == 0 || p.Term != term || len(p.Leaders) == 0 {
		return []actor{{}}
	}
	var out []actor
	for _, a := range p.Leaders {
		own := a.Entry == e.Name && a.Boot > 0 && a.Boot <= e.boot.number
		if !own && !a.ended(e.boots) {
			out = append(out, a)
		}
	}
	if len(out) >= maxPast {
		return []actor{{}} // stands for all of them
	}
	return out
}

// FormerEnded reports whether all earlier leaders of the pool are known to have ended: each
// has stopped or registered anew since. It is safe for concurrent use.
func (e *Elector) FormerEnded(t Term) bool {
	boots := *e.publishedBoots.Load()
	for _, a := range t.former {
		if !a.ended(boots) {
			return false
		}
	}
	return true
}

// settledTerm tells that at a time, by SinceBoot, no leader before an election acted any more.
type settledTerm struct {
	number int
	at     time.Duration
}

// settledTerms has the settled elections of each pool in order. Its mutex guards it.
type settledTerms struct {
	mu     sync.Mutex
	byPool map[string][]settledTerm
}

// noteSettled records the elections before which no leader acts any more, as this entry sees now.
func (e *Elector) noteSettled() {
	s := &e.settled
	s.mu.Lock()
	defer s.mu.Unlock()
	for pool, p := range e.past {
		if p.Term == 0 || p.Term != e.terms[pool].number || len(p.Leaders) != 1 || p.Leaders[0].Entry == "" {
			continue
		}
		list := s.byPool[pool]
		if n := len(list); n > 0 && list[n-1].number >= p.Term {
			continue
		}
		if len(list) >= maxSettled {
			list = list[1:]
		}
		s.byPool[pool] = append(list, settledTerm{p.Term, e.SinceBoot()})
	}
}

// SettledAt returns the earliest time, by SinceBoot, at which this entry knew that no leader of a
// pool before an election acted any more; false if it did not. It is safe for concurrent use.
func (e *Elector) SettledAt(pool string, number int) (time.Duration, bool) {
	e.settled.mu.Lock()
	defer e.settled.mu.Unlock()
	for _, t := range e.settled.byPool[pool] {
		if t.number >= number {
			return t.at, true
		}
	}
	return 0, false
}

// Settle makes it known to later leaders of the pool that none before this one acts any
// more. It returns at once and does no more than try. It is safe for concurrent use.
func (e *Elector) Settle(t Term) {
	if len(t.former) == 0 {
		return // it is known already
	}
	value, err := json.Marshal(pastValue{t.Number, []actor{{e.Name, t.boot}}})
	if err != nil {
		e.Log.Error().Err(err).Msg("former leaders cannot be encoded")
		return
	}
	txn := plat.Txn{Expect: []plat.Condition{{Key: Key(t.Pool), Rev: t.Fence}}, Puts: []plat.Put{{Key: pastPrefix + t.Pool, Value: value}}}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		for range settleTries {
			_, _, err := e.Store.Commit(ctx, txn)
			if err == nil || errors.Is(err, plat.ErrConflict) || ctx.Err() != nil {
				return
			}
			e.Log.Warn().Str("pool", t.Pool).Err(err).Msg("writing the former leaders failed")
			e.pause(ctx)
		}
	}()
}
