package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"

	"shallotpaddle/hosts"
)

// mark returns the tasks whose hosts are empty, and says on the plan that their
// orders may have been given.
func (s *Steward) mark() []int {
	var ready []int
	for i := range s.plan.Tasks {
		t := &s.plan.Tasks[i]
		if _, answered := s.given[t.ID]; answered || !s.empty(t) {
			continue
		}
		if !t.Ordered {
			t.Ordered = true
			s.dirty = true
		}
		if t.Kind == Maintain && !slices.Contains(s.plan.Done[t.Wave], t.Host) {
			s.dirty = true
		}
		ready = append(ready, i)
	}
	return ready
}

// empty tells whether nothing runs on a task's host.
func (s *Steward) empty(t *Task) bool {
	return t.Ordered || t.Worker == "" || s.digests[t.From].Released[t.Worker] == t.ID
}

// give sends orders, all at once.
func (s *Steward) give(ctx context.Context, which []int) error {
	errs := make([]error, len(which))
	var wg sync.WaitGroup
	for k, i := range which {
		t := s.plan.Tasks[i]
		o := hosts.Order{Host: t.Host, Pool: t.To, Wave: t.Wave, Holder: s.Name, Fence: s.rev}
		wg.Go(func() {
			if t.Kind == Move {
				errs[k] = s.Move(ctx, o)
			} else {
				errs[k] = s.Upkeep(ctx, o)
			}
		})
	}
	wg.Wait()
	for k, i := range which {
		if err := s.answered(&s.plan.Tasks[i], errs[k]); err != nil {
			return err
		}
	}
	s.plan.Tasks = slices.DeleteFunc(s.plan.Tasks, func(t Task) bool { return t.ID == 0 })
	return nil
}

// keepEnded is the number of ended workers that the plan names; entries of
// workers that have left are removed within seconds.
const keepEnded = 100

// ended notes that an order has ended a worker's life.
func (s *Steward) ended(worker string) {
	if worker == "" {
		return
	}
	s.plan.Ended = append(s.plan.Ended, worker)
	if n := len(s.plan.Ended); n > keepEnded {
		s.plan.Ended = slices.Clone(s.plan.Ended[n-keepEnded:])
	}
	s.dirty = true
}

// answered takes in the word on an order.
func (s *Steward) answered(t *Task, err error) error {
	s.Log.Info().Str("host", t.Host).Str("kind", string(t.Kind)).Int64("task", t.ID).Int64("fence", s.rev).
		Str("to", t.To).Str("wave", t.Wave).Err(err).Msg("order on host")
	switch {
	case err == nil:
		s.given[t.ID] = s.Clock.Now()
		s.ended(t.Worker)
		if t.Kind == Maintain {
			s.plan.Done[t.Wave] = append(s.plan.Done[t.Wave], t.Host)
			s.dirty = true
		}
	case errors.Is(err, hosts.ErrFence):
		return ErrDeposed
	case errors.Is(err, hosts.ErrInvalid) && t.Kind == Move:
		s.refuse(t.To, t.Host)
		t.ID = 0
		s.dirty = true
	case errors.Is(err, hosts.ErrNotUp), errors.Is(err, hosts.ErrNotInWave), errors.Is(err, hosts.ErrInvalid):
		t.ID = 0 // not done; decided anew
		s.dirty = true
	}
	return nil
}

// refuse notes that a host can't be part of a pool.
func (s *Steward) refuse(pool, host string) {
	if s.refuses[pool] == nil {
		s.refuses[pool] = map[string]bool{}
	}
	s.refuses[pool][host] = true
	s.Log.Warn().Str("host", host).Str("pool", pool).Msg("host can't be part of the pool")
}
