package elect

import (
	"context"
	"errors"
	"math"
	"strings"
	"time"

	"shallotpaddle/plat"
)

const (
	// leaseMargin is how much earlier than by this entry's clock the store may end a lease.
	leaseMargin = 50 * time.Millisecond
	// slowAnswer is the time without an answer after which copies of a call may have been
	// lost. The store usually answers in 4 ms.
	slowAnswer = 200 * time.Millisecond
	// watchSlack is how much later than its wait a watch may be answered before it counts
	// as silent.
	watchSlack = 500 * time.Millisecond
	// never is before any time by SinceBoot.
	never = time.Duration(math.MinInt64 / 2)
)

// listing is the result of a linearizable read of the leaders' keys. It has every change
// up to rev.
type listing struct {
	items []plat.Item
	rev   int64
}

// ProvenAt returns when the last call was sent, by SinceBoot, that proved that the entry's
// lease and leader keys were in force. Without a lease it returns a time before any other.
// It is safe for concurrent use.
func (e *Elector) ProvenAt() time.Duration { return time.Duration(e.provenAt.Load()) }

// Proven reports whether the entry's lease certainly lasts, so that no other entry can
// have been elected in its place. While the store can't be reached, it does not report so,
// although nobody can be elected then. It is safe for concurrent use.
func (e *Elector) Proven() bool { return e.SinceBoot() < e.ProvenAt()+e.TTL-leaseMargin }

// prove records that the store has answered a call for the lease that was sent at a time.
func (e *Elector) prove(sent time.Duration) { e.provenAt.Store(int64(sent)) }

// disprove records that the entry has no lease.
func (e *Elector) disprove() { e.provenAt.Store(int64(never)) }

// noteTrouble records an event after which the store may have taken away leaders' keys
// unnoticed.
func (e *Elector) noteTrouble() {
	e.troubles++
	e.troubleAt = e.SinceBoot()
}

// doubtful reports whether the store may have taken away leaders' keys unnoticed. The lease
// can outlast its keys, so that a renewal alone proves nothing of them then.
func (e *Elector) doubtful() bool {
	return e.troubles != e.checked || e.troubleAt > time.Duration(e.watchAnsweredAt.Load())
}

// noteSilentWatch counts a watch whose answer is overdue as trouble.
func (e *Elector) noteSilentWatch() {
	if e.SinceBoot()-time.Duration(e.watchAnsweredAt.Load()) > watchTimeout+watchSlack {
		e.noteTrouble()
	}
}

// renew renews the lease. If the entry holds pools, and their keys are in doubt, it reads
// the leaders' keys afterwards.
func (e *Elector) renew(ctx context.Context, m leaseRenewed, holds, doubtful bool) {
	m.sent = e.SinceBoot()
	m.err = e.Store.Renew(ctx, m.lease)
	m.slow = e.SinceBoot()-m.sent > slowAnswer
	switch {
	case m.err == nil && holds && (doubtful || m.slow):
		items, rev, err := e.Store.List(ctx, leaderPrefix)
		if m.readErr = err; err == nil {
			m.leaders = &listing{items, rev}
		}
	case m.err != nil && !errors.Is(m.err, plat.ErrNotFound):
		e.pause(ctx)
	}
	e.send(ctx, m)
}

func (e *Elector) onLeaseRenewed(m leaseRenewed) {
	e.renewing = false
	if m.lease != e.lease {
		return
	}
	switch {
	case errors.Is(m.err, plat.ErrNotFound):
		e.endLease(m.lease)
		return
	case m.err != nil:
		e.noteTrouble()
		return
	case m.leaders != nil:
		e.checked = m.troubles
		if e.checkLeaders(*m.leaders) {
			e.renewedAt = m.at
			return // leaves the owners time to stop before there is new proof
		}
	case m.slow, m.readErr != nil:
		e.noteTrouble()
	}
	if m.leaders == nil && e.doubtful() && len(e.held) > 0 {
		if m.readErr != nil {
			e.renewedAt = m.at
		}
		return // the next renewal reads the leaders' keys
	}
	e.renewedAt = m.at
	e.prove(m.sent)
}

// checkLeaders compares the leaders with those that the store has, and gives up the pools
// whose key of this entry is not there. It reports whether there was one.
func (e *Elector) checkLeaders(l listing) bool {
	held := len(e.held)
	present := make(map[string]plat.Item, len(l.items))
	for _, it := range l.items {
		present[strings.TrimPrefix(it.Key, leaderPrefix)] = it
	}
	for pool, known := range e.leaders {
		if _, ok := present[pool]; !ok && known.rev <= l.rev {
			e.applyLeader(pool, plat.Item{Key: Key(pool), Rev: l.rev, Deleted: true})
		}
	}
	for pool, it := range present {
		// A late claim of this entry is left to the watch, which tells its term as well.
		if it.Rev > e.leaders[pool].rev && e.decodeLeader(it).Entry != e.Name {
			e.applyLeader(pool, it)
		}
	}
	for pool, t := range e.held {
		it, ok := present[pool]
		if it.Rev > t.Fence || !ok && t.Fence <= l.rev {
			e.lose(pool, "the store has no such leader")
		}
	}
	return len(e.held) < held
}
