package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"shallotpaddle/plat"
)

// errStaleView means that another writer has reused the slot since this writer
// last read the log.
var errStaleView = errors.New("slot was reused by a later segment")

// flush commits one batch of queued records.
func (l *Log) flush(ctx context.Context) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	ctx, err := l.store.wait(ctx)
	ops := l.takeBatch()
	if len(ops) == 0 {
		return nil
	}
	if err != nil {
		err = asUnavailable(err)
	} else {
		l.writeAllowed = true
		err = l.writeBatch(ctx, ops)
	}
	if err == nil {
		l.backoff = 0
	} else {
		l.backoff = min(max(2*l.backoff, DefaultInterval), maxBackoff)
	}
	l.finishBatch(ops, err)
	return err
}

// writeBatch writes the records in the next segment whose compare-and-swap this
// writer wins.
func (l *Log) writeBatch(ctx context.Context, ops []*appendOp) error {
	for {
		if err := l.ensureFreeSlot(ctx); err != nil {
			return err
		}
		seg, i, prev, err := l.buildSegment(ops)
		if err != nil {
			return err
		}
		rev, won, err := l.writeSegment(ctx, seg, i, prev)
		if errors.Is(err, errStaleView) {
			if err := l.reload(ctx); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		if err := l.applySegment(won, i, rev); err != nil {
			return err
		}
		if won == seg && seg.hasBatch {
			return nil
		}
	}
}

// reload reads the log again for a writer whose records were not written.
func (l *Log) reload(ctx context.Context) error {
	err := l.load(ctx)
	if errors.Is(err, plat.ErrNotFound) {
		return fmt.Errorf("%w: %w", ErrSealed, err)
	}
	if err != nil {
		return asUnavailable(err)
	}
	return nil
}

// ensureFreeSlot checks that the log is writable and has a slot to spare, and
// reserves more slots otherwise: the last free slot may only take a segment
// that adds slots.
func (l *Log) ensureFreeSlot(ctx context.Context) error {
	for {
		l.mu.Lock()
		err := l.checkWritable()
		loaded := l.loaded
		_, free := l.ring.nextSlot()
		n := len(l.ring.slots)
		reserved := len(l.reservedRevs)
		l.mu.Unlock()
		switch {
		case err != nil:
			return err
		case !loaded:
			return fmt.Errorf("%w: log not loaded", plat.ErrUnavailable)
		case free > 1 || reserved > 0 || n >= l.limits.MaxSlots:
			return nil
		}
		if err := l.reserveSlots(ctx, n); err != nil {
			return err
		}
	}
}

// reserveSlots creates up to growSlots slots in the store, from slot n on. The
// next segment adds them to the ring.
func (l *Log) reserveSlots(ctx context.Context, n int) error {
	for i := n; i < min(n+growSlots, l.limits.MaxSlots); i++ {
		rev, err := l.reserve(ctx, i)
		if errors.Is(err, errStaleView) {
			return l.reload(ctx)
		}
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.reservedRevs = append(l.reservedRevs, rev)
		l.mu.Unlock()
	}
	return nil
}

// buildSegment makes the next segment from the current state: first the state
// that is carried forward, then the records of the batch. While few slots are
// free, the records are left out.
func (l *Log) buildSegment(ops []*appendOp) (seg *segment, i int, prev int64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ = l.ring.nextSlot()
	if i < 0 {
		return nil, 0, 0, fmt.Errorf("%w: no free slot", ErrBusy)
	}
	l.lastBatch++
	n := l.ring.head + 1
	seg = &segment{
		N: n, Writer: l.writer, Batch: l.lastBatch,
		Slots: len(l.ring.slots) + len(l.reservedRevs), AddedRevs: l.reservedRevs,
	}
	size := 0
	seg.hasBatch = n-l.ring.floor < int64(l.limits.MaxSlots-l.limits.SpareSlots)
	if seg.hasBatch {
		for _, o := range ops {
			size += len(o.rec) + 1
		}
	}
	if err := l.carryForward(seg, size); err != nil {
		return nil, 0, 0, err
	}
	if seg.hasBatch {
		l.addRecords(seg, ops)
	}
	return seg, i, l.ring.slots[i].rev, nil
}

// addRecords adds the records to the segment, except those whose unlessLive
// entity exists.
func (l *Log) addRecords(seg *segment, ops []*appendOp) {
	taken := map[string]bool{}
	for _, o := range ops {
		if o.unlessLive != "" {
			if _, ok := l.live.items[o.unlessLive]; ok || taken[o.unlessLive] {
				continue
			}
			taken[o.unlessLive] = true
		}
		seg.Records = append(seg.Records, o.rec)
	}
}

// carryForward copies the full state of the oldest entities into the segment
// until the log is back at its target length or the segment is full, and sets
// the floor. size is the number of bytes that the segment's other records take.
func (l *Log) carryForward(seg *segment, size int) error {
	cutoff := seg.N - l.targetLength()
	seg.Floor = seg.N
	for e := l.live.order.Front(); e != nil; e = e.Next() {
		it := e.Value.(*liveItem)
		if it.snapshotSegment > cutoff {
			seg.Floor = it.snapshotSegment
			return nil
		}
		rec, err := json.Marshal(l.snapshotOf(it.id))
		if err != nil {
			return fmt.Errorf("encode %s: %w", it.id, err)
		}
		size += len(rec) + 1
		if size > MaxSegment {
			seg.Floor = it.snapshotSegment
			return nil
		}
		seg.Records = append(seg.Records, rec)
		seg.carriedIDs = append(seg.carriedIDs, it.id)
	}
	return nil
}

// targetLength returns the length of the log, in segments, above which state is
// carried forward. It grows with the state, so that the bytes carried per
// commit stay bounded.
func (l *Log) targetLength() int64 {
	t := max(minLength, l.live.bytes/(MaxSegment/16))
	return int64(min(t, l.limits.MaxSlots-l.limits.SpareSlots-growSlots))
}

// writeSegment writes a segment into slot i if the slot's revision is prev.
// When the store's answer is lost, it repeats the write and reads the slot to
// find out whether an earlier attempt took effect. It returns the slot's
// revision and the segment in it: seg, or another writer's of the same number.
func (l *Log) writeSegment(ctx context.Context, seg *segment, i int, prev int64) (int64, *segment, error) {
	b, err := json.Marshal(seg)
	if err != nil {
		return 0, nil, fmt.Errorf("encode segment: %w", err)
	}
	uncertain := false // an earlier attempt may have taken effect
	for {
		rev, err := l.put(ctx, i, b, prev)
		switch {
		case err == nil:
			l.commits.Add(1)
			return rev, seg, nil
		case errors.Is(err, plat.ErrConflict):
			rev, won, err := l.readWinner(ctx, seg, i, uncertain)
			if err == nil || !uncertain || !errors.Is(err, plat.ErrUnavailable) {
				return rev, won, err
			}
		case errors.Is(err, plat.ErrUnavailable) && !uncertain:
			return 0, nil, err
		case errors.Is(err, plat.ErrUnavailable):
		default:
			uncertain = true
		}
		if err := l.backOff(ctx); err != nil {
			return 0, nil, ctxEndError(uncertain, err)
		}
	}
}

// readWinner reads the segment that is in slot i after a conflict. It is seg
// itself if an earlier attempt took effect. uncertain tells that an earlier
// attempt got no answer.
func (l *Log) readWinner(ctx context.Context, seg *segment, i int, uncertain bool) (int64, *segment, error) {
	it, err := l.store.Get(ctx, l.slotKey(i))
	if errors.Is(err, plat.ErrNotFound) {
		l.mu.Lock()
		l.deleted = true
		l.mu.Unlock()
		if uncertain {
			return 0, nil, fmt.Errorf("%w: log deleted", plat.ErrUnknown)
		}
		return 0, nil, fmt.Errorf("%w: log deleted", ErrSealed)
	}
	if err != nil {
		return 0, nil, asUnavailable(err)
	}
	won, err := decode(it)
	if err != nil {
		return 0, nil, err
	}
	if won.N == seg.N && won.Writer == seg.Writer && won.Batch == seg.Batch {
		return it.Rev, seg, nil
	}
	if won.N != seg.N {
		if uncertain {
			return 0, nil, fmt.Errorf("%w: slot used again", plat.ErrUnknown)
		}
		return 0, nil, errStaleView
	}
	return it.Rev, won, nil
}

// ctxEndError returns the error of a write that was given up because ctx ended.
// uncertain tells that an attempt may have taken effect.
func ctxEndError(uncertain bool, err error) error {
	if uncertain {
		return fmt.Errorf("%w: %w", plat.ErrUnknown, err)
	}
	return asUnavailable(err)
}

// applySegment adds a segment that is in the store to the ring and applies its
// records.
func (l *Log) applySegment(seg *segment, i int, rev int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(seg.AddedRevs) > 0 {
		l.reservedRevs = nil
	}
	l.ring.put(seg, i, rev)
	for _, id := range seg.carriedIDs {
		l.live.setSnapshot(id, seg.N, l.live.size(id))
	}
	return l.applyRecords(seg, len(seg.carriedIDs))
}

// catchUp reads the segments that other writers have added, unless it has done
// so within the last commit interval or a commit is in progress.
func (l *Log) catchUp(ctx context.Context) error {
	if !l.writeMu.TryLock() {
		return nil
	}
	defer l.writeMu.Unlock()
	now := l.clock.Now()
	if now.Sub(l.lastCatchUp) < time.Duration(l.interval.Load()) {
		return nil
	}
	l.lastCatchUp = now
	for {
		l.mu.Lock()
		i, _ := l.ring.nextSlot()
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
			l.deleted = true
			l.mu.Unlock()
			return fmt.Errorf("%w: log deleted", ErrSealed)
		}
		if err != nil {
			return asUnavailable(err)
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
		if err := l.applySegment(s, i, it.Rev); err != nil {
			return err
		}
	}
}
