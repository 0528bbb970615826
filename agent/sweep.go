package agent

import (
	"context"
	"errors"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"shallotpaddle/aging"
	"shallotpaddle/plat"
	"shallotpaddle/platform"
)

const (
	// sweepInterval is the time between two lists of the cancellations.
	sweepInterval = 10 * time.Second
	// sweepGap is the pause between two removals, so that many of them leave most of the store's
	// writes to others.
	sweepGap = 20 * time.Millisecond
	// maxSweepBatch is the largest number of keys in one removal: each takes a condition as well.
	maxSweepBatch = platform.MaxChanges / 2
	// cancelledAgeKey is the key of the clock by which cancellations are removed.
	cancelledAgeKey = aging.KeyPrefix + "@cancelled"
)

// sweeper removes cancellations that were stored by cancelled and are old enough. Each removal, and
// each write of the clock, is conditional on the revisions that were read, so that one that is
// late, or another sweeper, does no harm.
type sweeper struct {
	list   func(ctx context.Context, prefix string) ([]plat.Item, int64, error)
	commit func(ctx context.Context, t plat.Txn) (int64, []plat.Item, error)
	pause  func(ctx context.Context, d time.Duration)
	clock  quartz.Clock
	log    *log.Logger
	// keep returns how long a cancellation is kept at least.
	keep    func() time.Duration
	removed metrics.Counter

	ages   *aging.Clock  // nil until it was read
	kept   time.Duration // the memory of ages
	ageRev int64         // of its key
}

// run sweeps until the context ends.
func (s *sweeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.sweep(ctx); err != nil && ctx.Err() == nil {
			s.ages = nil // what the store has is not known
			s.log.Warn().Err(err).Msg("removing old cancellations failed; retrying")
		}
		s.pause(ctx, sweepInterval)
	}
}

// sweep removes the cancellations that are old enough. Without any, the clock is not stored.
func (s *sweeper) sweep(ctx context.Context) error {
	items, rev, err := s.list(ctx, cancelledPrefix)
	if err != nil || len(items) == 0 {
		return err
	}
	if s.ages == nil || s.kept != s.keep() {
		if err := s.load(ctx); err != nil {
			return err
		}
	}
	now := s.clock.Now()
	s.ages.Note(rev, now)
	if err := s.save(ctx, now); err != nil {
		return err
	}
	var old []plat.Item
	for _, it := range items {
		if s.ages.Older(it.Rev, s.kept, now) {
			old = append(old, it)
		}
	}
	for len(old) > 0 && ctx.Err() == nil {
		n := min(len(old), maxSweepBatch)
		if err := s.remove(ctx, old[:n]); err != nil {
			return err
		}
		old = old[n:]
		s.pause(ctx, sweepGap)
	}
	return ctx.Err()
}

// load reads the clock.
func (s *sweeper) load(ctx context.Context) error {
	items, _, err := s.list(ctx, cancelledAgeKey)
	if err != nil {
		return err
	}
	now := s.clock.Now()
	s.kept, s.ageRev = s.keep(), 0
	s.ages = aging.New(s.kept, now)
	for _, it := range items {
		if it.Key != cancelledAgeKey {
			continue
		}
		s.ageRev = it.Rev
		if err := s.ages.Load(it.Value, it.Rev, now); err != nil {
			s.log.Error().Str("key", it.Key).Int64("rev", it.Rev).Err(err).Msg("clock of old keys cannot be decoded")
		}
	}
	return nil
}

// save stores the clock.
func (s *sweeper) save(ctx context.Context, now time.Time) error {
	value, err := s.ages.Encode(now)
	if err != nil {
		return err
	}
	rev, _, err := s.commit(ctx, plat.Txn{
		Expect: []plat.Condition{{Key: cancelledAgeKey, Rev: s.ageRev}},
		Puts:   []plat.Put{{Key: cancelledAgeKey, Value: value}},
	})
	if err == nil {
		s.ageRev = rev
	}
	return err
}

// remove removes cancellations unless one of them was written or removed since they were read.
func (s *sweeper) remove(ctx context.Context, items []plat.Item) error {
	t := plat.Txn{}
	for _, it := range items {
		t.Expect = append(t.Expect, plat.Condition{Key: it.Key, Rev: it.Rev})
		t.Remove = append(t.Remove, it.Key)
	}
	_, _, err := s.commit(ctx, t)
	if errors.Is(err, plat.ErrConflict) {
		return nil // the next list tells
	}
	if err == nil {
		s.removed.Inc(int64(len(items)))
	}
	return err
}
