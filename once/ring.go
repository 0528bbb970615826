package once

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"shallotpaddle/plat"
)

// segment is the document in one slot. N is its number, or 0 in a slot that is
// reserved and not yet used.
type segment struct {
	N int64 `json:"n"`
	// Floor is the number of the oldest segment that a reader still needs.
	Floor int64 `json:"floor,omitempty"`
	// Writer and Batch identify the write, so that a writer whose answer was
	// lost can tell whether the write took effect.
	Writer string `json:"writer,omitempty"`
	Batch  int64  `json:"batch,omitempty"`
	// Slots is the number of slots in use from this segment on.
	Slots int `json:"slots,omitempty"`
	// AddedRevs has the store's revisions of the slots that this segment adds
	// to the ring.
	AddedRevs []int64           `json:"grow,omitempty"`
	Records   []json.RawMessage `json:"recs,omitempty"`
	// hasBatch is true if Records has all records of the batch, and not only
	// state that is carried forward.
	hasBatch bool
	// carriedIDs has the entities whose full state comes first in Records. It
	// is set only in the process that built the segment.
	carriedIDs []string
}

// slot is one key of the ring.
type slot struct {
	n   int64 // number of the segment in the slot, 0 when reserved
	rev int64 // store's revision of the key
}

// ring maps segments to slots. While the log is in use, slots are never deleted
// or created a second time, so that a writer with a stale view always gets a
// conflict. The earlier segments alone determine the slot of the next one.
type ring struct {
	slots []slot
	head  int64 // number of the newest segment, 0 when there is none
	floor int64 // number of the oldest segment still needed
}

// nextSlot returns the slot of segment head+1, or -1 if no slot is free, and
// the number of free slots. A slot is free if its segment is below the floor.
func (r *ring) nextSlot() (i, free int) {
	i = -1
	for j, s := range r.slots {
		if s.n >= r.floor {
			continue
		}
		free++
		if i < 0 || s.n < r.slots[i].n {
			i = j
		}
	}
	return i, free
}

func (r *ring) put(seg *segment, i int, rev int64) {
	r.slots[i] = slot{n: seg.N, rev: rev}
	for _, g := range seg.AddedRevs {
		r.slots = append(r.slots, slot{rev: g})
	}
	r.head, r.floor = seg.N, seg.Floor
}

func (l *Log) slotKey(i int) string { return fmt.Sprintf("%s/%04d", l.prefix, i) }

// load reads the whole log from the store. It returns plat.ErrNotFound for a
// log that does not exist and ErrCorrupt for one that is being deleted.
func (l *Log) load(ctx context.Context) error {
	items, _, err := l.store.List(ctx, l.prefix+"/")
	if err != nil {
		return asUnavailable(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restore(items)
}

// restore replaces the log's state by that in the items of the store.
func (l *Log) restore(items []plat.Item) error {
	segs, r, err := l.parse(items)
	if err != nil {
		return err
	}
	l.ring, l.reservedRevs = *r, nil
	l.live.reset()
	l.reset()
	for _, s := range segs {
		if err := l.applyRecords(s, 0); err != nil {
			return err
		}
	}
	l.loaded = true
	return nil
}

// parse returns the segments from the floor on, in order, and the ring.
func (l *Log) parse(items []plat.Item) ([]*segment, *ring, error) {
	var segs []*segment
	slots := map[int]slot{}
	for _, it := range items {
		i, err := strconv.Atoi(strings.TrimPrefix(it.Key, l.prefix+"/"))
		if err != nil {
			return nil, nil, fmt.Errorf("%w: key %s", ErrCorrupt, it.Key)
		}
		s, err := decode(it)
		if err != nil {
			return nil, nil, err
		}
		segs = append(segs, s)
		slots[i] = slot{n: s.N, rev: it.Rev}
	}
	slices.SortFunc(segs, func(a, b *segment) int { return cmp.Compare(a.N, b.N) })
	if len(segs) == 0 || segs[len(segs)-1].N == 0 {
		return nil, nil, fmt.Errorf("%s: %w", l.prefix, plat.ErrNotFound)
	}
	last := segs[len(segs)-1]
	segs = slices.DeleteFunc(segs, func(s *segment) bool { return s.N < last.Floor })
	if int64(len(segs)) != last.N-last.Floor+1 {
		return nil, nil, fmt.Errorf("%s: %w: segments missing", l.prefix, ErrCorrupt)
	}
	r := &ring{slots: make([]slot, last.Slots), head: last.N, floor: last.Floor}
	for i := range r.slots {
		s, ok := slots[i]
		if !ok {
			return nil, nil, fmt.Errorf("%s: %w: slot %d missing", l.prefix, ErrCorrupt, i)
		}
		r.slots[i] = s
	}
	return segs, r, nil
}

func decode(it plat.Item) (*segment, error) {
	var s segment
	if err := json.Unmarshal(it.Value, &s); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", it.Key, ErrCorrupt, err)
	}
	return &s, nil
}

// applyRecords applies the records of a segment except the first skip.
func (l *Log) applyRecords(s *segment, skip int) error {
	for _, rec := range s.Records[skip:] {
		if err := l.apply(s.N, rec); err != nil {
			return fmt.Errorf("%s segment %d: %w: %w", l.prefix, s.N, ErrCorrupt, err)
		}
	}
	return nil
}

// create writes the first segment of a new log, or loads the log if another
// writer has just created it.
func (l *Log) create(ctx context.Context, recs ...json.RawMessage) error {
	var addedRevs []int64
	for i := 1; i < initialSlots; i++ {
		rev, err := l.reserve(ctx, i)
		if errors.Is(err, errStaleView) {
			return l.load(ctx)
		}
		if err != nil {
			return err
		}
		addedRevs = append(addedRevs, rev)
	}
	l.lastBatch++
	s := &segment{N: 1, Floor: 1, Writer: l.writer, Batch: l.lastBatch, Slots: initialSlots, AddedRevs: addedRevs, Records: recs}
	if _, _, err := l.writeSegment(ctx, s, 0, 0); err != nil && !errors.Is(err, errStaleView) {
		return err
	}
	return l.load(ctx)
}

// reserve creates slot i without a segment and returns its revision. It returns
// errStaleView if the slot already has a segment.
func (l *Log) reserve(ctx context.Context, i int) (int64, error) {
	for {
		rev, err := l.put(ctx, i, []byte(`{"n":0}`), 0)
		if err == nil || errors.Is(err, plat.ErrUnavailable) {
			return rev, err
		}
		it, err := l.store.Get(ctx, l.slotKey(i))
		if err == nil {
			s, err := decode(it)
			if err == nil && s.N != 0 {
				err = errStaleView
			}
			return it.Rev, err
		}
		if err := l.backOff(ctx); err != nil {
			return 0, asUnavailable(err)
		}
	}
}

// put writes slot i after waiting for the write rate, unless flush has done so.
func (l *Log) put(ctx context.Context, i int, value []byte, prev int64) (int64, error) {
	if !l.writeAllowed {
		var err error
		if ctx, err = l.store.wait(ctx); err != nil {
			return 0, asUnavailable(err)
		}
	}
	l.writeAllowed = false
	return l.store.Put(ctx, l.slotKey(i), value, prev, "")
}
