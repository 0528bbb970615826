package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"shallotpaddle/plat"
)

// errBehind tells that the slot was used again since this writer's view.
var errBehind = errors.New("log has moved on")

// flush commits one batch of waiting records.
func (l *Log) flush(ctx context.Context) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	ctx, err := l.store.wait(ctx)
	ops := l.take()
	if len(ops) == 0 {
		return nil
	}
	if err != nil {
		err = refused(err)
	} else {
		l.paid = true
		err = l.write(ctx, ops)
	}
	if err == nil {
		l.backoff = 0
	} else {
		l.backoff = min(max(2*l.backoff, DefaultInterval), maxBackoff)
	}
	l.settle(ops, err)
	return err
}

// write puts the records into the next segment that this writer wins.
func (l *Log) write(ctx context.Context, ops []*op) error {
	for {
		if err := l.ready(ctx); err != nil {
			return err
		}
		seg, i, prev, err := l.build(ops)
		if err != nil {
			return err
		}
		rev, won, err := l.place(ctx, seg, i, prev)
		if errors.Is(err, errBehind) {
			if err := l.reload(ctx); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		if err := l.admit(won, i, rev); err != nil {
			return err
		}
		if won == seg && seg.whole {
			return nil
		}
	}
}

// reload loads the log anew for a writer whose records are not written.
func (l *Log) reload(ctx context.Context) error {
	err := l.load(ctx)
	if errors.Is(err, plat.ErrNotFound) {
		return fmt.Errorf("%w: %w", ErrSealed, err)
	}
	if err != nil {
		return refused(err)
	}
	return nil
}

// ready checks that the log may be written and has a free slot to spare: the
// last one may only take a segment that adds slots.
func (l *Log) ready(ctx context.Context) error {
	for {
		l.mu.Lock()
		err := l.stop()
		loaded := l.loaded
		_, dead := l.ring.next()
		n := len(l.ring.slots)
		have := len(l.blanks)
		l.mu.Unlock()
		switch {
		case err != nil:
			return err
		case !loaded:
			return fmt.Errorf("%w: log not loaded", plat.ErrUnavailable)
		case dead > 1 || have > 0 || n >= l.limits.MaxSlots:
			return nil
		}
		if err := l.grow(ctx, n); err != nil {
			return err
		}
	}
}

// grow reserves slots, which the next segment adds to the ring.
func (l *Log) grow(ctx context.Context, n int) error {
	for i := n; i < min(n+growSlots, l.limits.MaxSlots); i++ {
		rev, err := l.reserve(ctx, i)
		if errors.Is(err, errBehind) {
			return l.reload(ctx)
		}
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.blanks = append(l.blanks, rev)
		l.mu.Unlock()
	}
	return nil
}

// build makes the next segment from the state as it is now: carried state
// first, then the records unless free slots are short.
func (l *Log) build(ops []*op) (seg *segment, i int, prev int64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ = l.ring.next()
	if i < 0 {
		return nil, 0, 0, fmt.Errorf("%w: no free slot", ErrBusy)
	}
	l.batch++
	n := l.ring.head + 1
	seg = &segment{
		N: n, Writer: l.writer, Batch: l.batch,
		Slots: len(l.ring.slots) + len(l.blanks), Grow: l.blanks,
	}
	size := 0
	seg.whole = n-l.ring.floor < int64(l.limits.MaxSlots-l.limits.SpareSlots)
	if seg.whole {
		for _, o := range ops {
			size += len(o.rec) + 1
		}
	}
	if err := l.carry(seg, size); err != nil {
		return nil, 0, 0, err
	}
	if seg.whole {
		l.fill(seg, ops)
	}
	return seg, i, l.ring.slots[i].rev, nil
}

// fill adds the records that are not void.
func (l *Log) fill(seg *segment, ops []*op) {
	taken := map[string]bool{}
	for _, o := range ops {
		if o.unless != "" {
			if _, ok := l.live.items[o.unless]; ok || taken[o.unless] {
				continue
			}
			taken[o.unless] = true
		}
		seg.Recs = append(seg.Recs, o.rec)
	}
}

// carry copies the full state of the oldest entities into the segment until
// the log is back at its target length, and sets the floor.
func (l *Log) carry(seg *segment, size int) error {
	keep := seg.N - l.target()
	seg.Floor = seg.N
	for e := l.live.order.Front(); e != nil; e = e.Next() {
		it := e.Value.(*liveItem)
		if it.base > keep {
			seg.Floor = it.base
			return nil
		}
		rec, err := json.Marshal(l.state(it.id))
		if err != nil {
			return fmt.Errorf("encode %s: %w", it.id, err)
		}
		size += len(rec) + 1
		if size > MaxSegment {
			seg.Floor = it.base
			return nil
		}
		seg.Recs = append(seg.Recs, rec)
		seg.carried = append(seg.carried, it.id)
	}
	return nil
}

// target is the length of log, in segments, beyond which state is carried: it
// grows with the state, so that the bytes carried per commit stay bounded.
func (l *Log) target() int64 {
	t := max(minTarget, l.live.bytes/(MaxSegment/16))
	return int64(min(t, l.limits.MaxSlots-l.limits.SpareSlots-growSlots))
}

// place writes a segment into slot i and settles a lost answer. It returns the
// segment that is in the slot: seg, or another writer's of the same number.
func (l *Log) place(ctx context.Context, seg *segment, i int, prev int64) (int64, *segment, error) {
	b, err := json.Marshal(seg)
	if err != nil {
		return 0, nil, fmt.Errorf("encode segment: %w", err)
	}
	sent := false // an earlier try may have taken effect
	for {
		rev, err := l.put(ctx, i, b, prev)
		switch {
		case err == nil:
			l.commits.Add(1)
			return rev, seg, nil
		case errors.Is(err, plat.ErrConflict):
			rev, won, err := l.winner(ctx, seg, i, sent)
			if err == nil || !sent || !errors.Is(err, plat.ErrUnavailable) {
				return rev, won, err
			}
		case errors.Is(err, plat.ErrUnavailable) && !sent:
			return 0, nil, err
		case errors.Is(err, plat.ErrUnavailable):
		default:
			sent = true
		}
		if err := l.pause(ctx); err != nil {
			return 0, nil, abandoned(sent, err)
		}
	}
}

// winner reads the segment that took the slot in place of seg.
func (l *Log) winner(ctx context.Context, seg *segment, i int, sent bool) (int64, *segment, error) {
	it, err := l.store.Get(ctx, l.slotKey(i))
	if errors.Is(err, plat.ErrNotFound) {
		l.mu.Lock()
		l.gone = true
		l.mu.Unlock()
		if sent {
			return 0, nil, fmt.Errorf("%w: log deleted", plat.ErrUnknown)
		}
		return 0, nil, fmt.Errorf("%w: log deleted", ErrSealed)
	}
	if err != nil {
		return 0, nil, refused(err)
	}
	won, err := decode(it)
	if err != nil {
		return 0, nil, err
	}
	if won.N == seg.N && won.Writer == seg.Writer && won.Batch == seg.Batch {
		return it.Rev, seg, nil
	}
	if won.N != seg.N {
		if sent {
			return 0, nil, fmt.Errorf("%w: slot used again", plat.ErrUnknown)
		}
		return 0, nil, errBehind
	}
	return it.Rev, won, nil
}

func abandoned(sent bool, err error) error {
	if sent {
		return fmt.Errorf("%w: %w", plat.ErrUnknown, err)
	}
	return refused(err)
}

// admit applies a segment that is in the store.
func (l *Log) admit(seg *segment, i int, rev int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(seg.Grow) > 0 {
		l.blanks = nil
	}
	l.ring.put(seg, i, rev)
	for _, id := range seg.carried {
		l.live.rebase(id, seg.N, l.live.size(id))
	}
	return l.replay(seg, len(seg.carried))
}

// sync reads the segments that other writers have added, unless it has just
// been done or a commit is under way.
func (l *Log) sync(ctx context.Context) error {
	if !l.writing.TryLock() {
		return nil
	}
	defer l.writing.Unlock()
	now := l.clock.Now()
	if now.Sub(l.synced) < time.Duration(l.interval.Load()) {
		return nil
	}
	l.synced = now
	for {
		l.mu.Lock()
		i, _ := l.ring.next()
		n := l.ring.head + 1
		var rev int64
		if i >= 0 {
			rev = l.ring.slots[i].rev
		}
		l.mu.Unlock()
		if i < 0 {
			return l.load(ctx)
		}
		it, err := l.store.Get(ctx, l.slotKey(i))
		if errors.Is(err, plat.ErrNotFound) {
			l.mu.Lock()
			l.gone = true
			l.mu.Unlock()
			return fmt.Errorf("%w: log deleted", ErrSealed)
		}
		if err != nil {
			return refused(err)
		}
		if it.Rev == rev {
			return nil
		}
		s, err := decode(it)
		if err != nil {
			return err
		}
		if s.N != n {
			return l.load(ctx)
		}
		if err := l.admit(s, i, it.Rev); err != nil {
			return err
		}
	}
}
