package once

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/coder/quartz"

	"shallotpaddle/plat"
)

// Adoption tells what an adopter has to do with the jobs of a log.
type Adoption struct {
	// Runnable has the jobs to start: accepted ones, and started ones that are
	// idempotent.
	Runnable []Job
	// Unresolved has the jobs that were started, are not idempotent and have no
	// outcome. They are never dispatched again: the worker is asked by Job.TaskID,
	// and without an answer the outcome is Unknown.
	Unresolved []Job
	// Ended is the number of jobs whose outcome is kept.
	Ended int
}

// errDeleted tells that the log's adoption was completed by another entry.
var errDeleted = fmt.Errorf("%w: log deleted", ErrAdopted)

// Adoptable returns the logs in the store that are not in live, the names of the
// logs of live entries that have not handed over, and those whose adoption this
// ledger has begun.
func (l *Ledger) Adoptable(ctx context.Context, live []string) ([]string, error) {
	items, _, err := l.log.store.List(ctx, registryPrefix)
	if err != nil {
		return nil, refused(err)
	}
	var out []string
	for _, it := range items {
		name := strings.TrimPrefix(it.Key, registryPrefix)
		if name != l.name && !slices.Contains(live, name) {
			out = append(out, name)
		}
	}
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	for name, a := range l.st.adopts {
		if a.phase == intended {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out), nil
}

// Handover seals the log for any adopter. Records appended before are durable
// when it returns; afterwards every change is ErrSealed.
func (l *Ledger) Handover(ctx context.Context) error {
	if err := l.log.append(ctx, record{Op: opSeal}, terms{}); err != nil {
		return fmt.Errorf("handover %s: %w", l.name, err)
	}
	return nil
}

// Adopt takes over the log of an entry that is gone or has handed over. Of
// several adopters one wins, the others get ErrAdopted. ErrBusy means that this
// ledger has no room. After any other error the call may be repeated.
func (l *Ledger) Adopt(ctx context.Context, name string) (Adoption, error) {
	l.adopting.Lock()
	defer l.adopting.Unlock()
	if err := l.adopt(ctx, name); err != nil {
		return Adoption{}, fmt.Errorf("adopt %s: %w", name, err)
	}
	// What is left of the deletion is done by DeleteAdopted.
	_ = l.retire(ctx, name)
	return l.adoption(name), nil
}

func (l *Ledger) adopt(ctx context.Context, name string) error {
	// Copies that are on their way may change what is known of this log.
	for _, n := range slices.Sorted(maps.Keys(l.copies)) {
		if err := l.copied(ctx, n, l.copies[n]); err != nil {
			return err
		}
	}
	a := l.phase(name)
	if a.phase == adopted {
		return nil
	}
	r := record{Op: opAdopt, Log: name, Phase: intended, From: a.from}
	if err := l.log.append(ctx, r, terms{}); err != nil {
		return err
	}
	st, err := l.seal(ctx, name, a.from)
	if errors.Is(err, errDeleted) || (a.phase == "" && (errors.Is(err, ErrAdopted) || errors.Is(err, ErrBusy))) {
		// An older intent stays: its seal may yet turn up, or be inherited.
		l.log.post(record{Op: opAdopt, Log: name, Phase: retired})
	}
	if err != nil {
		return err
	}
	o, err := l.copy(name, st)
	if err != nil {
		return err
	}
	return l.copied(ctx, name, o)
}

// phase returns the adoption of a log as recorded.
func (l *Ledger) phase(name string) adoption {
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	return l.st.adopts[name]
}

// seal ends the log for its holder and returns its final state.
func (l *Ledger) seal(ctx context.Context, name string, from []string) (*ledgerState, error) {
	if _, err := l.log.store.Get(ctx, registryPrefix+name); err != nil {
		if errors.Is(err, plat.ErrNotFound) {
			return nil, errDeleted
		}
		return nil, refused(err)
	}
	dead, st := ledgerLog(l.log.store, l.log.clock, name, l.name)
	dead.nap = l.log.nap
	dead.stop = func() error {
		if st.sealed && st.owner != "" && st.owner != l.name && !slices.Contains(from, st.owner) {
			return fmt.Errorf("%w: %s", ErrAdopted, st.owner)
		}
		return nil
	}
	if err := l.loadDead(ctx, dead); err != nil {
		return nil, err
	}
	if st.sealed && st.owner == l.name {
		return st, nil
	}
	// The log's holder may itself have adopted that of its adopter.
	from = slices.Concat(from, st.adopts[name].from)
	if dead.stop() != nil {
		if err := l.released(ctx, name, st.owner); err != nil {
			return nil, err
		}
		from = append(from, st.owner)
	}
	if err := l.log.room(dead.live.bytes, 1); err != nil {
		return nil, err
	}
	o, err := dead.enqueue(record{Op: opSeal, By: l.name}, terms{})
	if err != nil {
		return nil, err
	}
	if err := dead.flush(ctx); err != nil {
		if errors.Is(err, ErrSealed) {
			return nil, fmt.Errorf("%w: %w", ErrAdopted, err)
		}
		return nil, err
	}
	return st, <-o.done
}

// released returns nil when the adopter of a log is itself sealed without having
// completed the adoption, and so never will.
func (l *Ledger) released(ctx context.Context, name, owner string) error {
	log, st := ledgerLog(l.log.store, l.log.clock, owner, l.name)
	err := log.load(ctx)
	if errors.Is(err, plat.ErrUnavailable) {
		return err
	}
	if err != nil || !st.sealed || st.adopts[name].phase == adopted {
		return fmt.Errorf("%w: %s, %q, %v", ErrAdopted, owner, st.adopts[name].phase, err)
	}
	return nil
}

func (l *Ledger) loadDead(ctx context.Context, dead *Log) error {
	err := dead.load(ctx)
	if errors.Is(err, plat.ErrNotFound) {
		// The holder has not come as far as the first segment: take it away.
		err = dead.create(ctx)
	}
	if errors.Is(err, ErrCorrupt) {
		return fmt.Errorf("%w: %w", ErrAdopted, err)
	}
	return err
}

// copy adds the sealed log's jobs and adoptions to this log; the last record
// completes the adoption.
func (l *Ledger) copy(name string, st *ledgerState) (*op, error) {
	for _, id := range slices.Sorted(maps.Keys(st.jobs)) {
		c := *st.jobs[id]
		if c.AdoptionPending {
			continue // taken from its own log, whose adoption is inherited
		}
		c.AdoptedFrom, c.AdoptionPending = name, true
		if c.State == Started && c.Idempotent {
			c.reopen(&record{Cause: "holder gone", At: l.log.clock.Now()})
		}
		if _, err := l.log.enqueue(record{Op: opJob, Job: &c}, terms{keep: true}); err != nil {
			return nil, err
		}
	}
	for _, log := range slices.Sorted(maps.Keys(st.adopts)) {
		if log == name {
			continue
		}
		if _, err := l.log.enqueue(inherit(name, log, st.adopts[log]), terms{keep: true}); err != nil {
			return nil, err
		}
	}
	o, err := l.log.enqueue(record{Op: opAdopt, Log: name, Phase: adopted}, terms{keep: true})
	if err == nil {
		l.copies[name] = o
	}
	return o, err
}

// inherit returns the record of an adoption that the sealed log's holder began.
func inherit(name, log string, a adoption) record {
	r := record{Op: opAdopt, Log: log, Phase: a.phase}
	if r.Phase == intended {
		r.From = append(slices.Clone(a.from), name)
	}
	return r
}

// copied waits until the adoption is complete.
func (l *Ledger) copied(ctx context.Context, name string, o *op) error {
	l.log.kick()
	err := l.log.await(ctx, o)
	if l.phase(name).phase == adopted {
		err = nil
	}
	if err == nil || !errors.Is(err, plat.ErrUnknown) {
		delete(l.copies, name)
	}
	return err
}

// adoption sorts the jobs that came from a log.
func (l *Ledger) adoption(name string) Adoption {
	var a Adoption
	jobs := l.Jobs(func(j *Job) bool { return j.AdoptedFrom == name })
	slices.SortFunc(jobs, func(a, b Job) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range jobs {
		switch j.State {
		case Accepted:
			a.Runnable = append(a.Runnable, j)
		case Started:
			a.Unresolved = append(a.Unresolved, j)
		default:
			a.Ended++
		}
	}
	return a
}

// DeleteAdopted deletes the logs whose adoption is complete and that are still in the
// store.
func (l *Ledger) DeleteAdopted(ctx context.Context) error {
	l.adopting.Lock()
	defer l.adopting.Unlock()
	var names []string
	l.log.mu.Lock()
	for n, a := range l.st.adopts {
		if a.phase == adopted {
			names = append(names, n)
		}
	}
	l.log.mu.Unlock()
	var errs []error
	slices.Sort(names)
	for _, n := range names {
		errs = append(errs, l.retire(ctx, n))
	}
	return errors.Join(errs...)
}

// retire deletes a log. The registration goes first, so that a holder that was
// paused while opening finds out; the seal goes last, so that a log partly
// deleted never looks as if it could be adopted.
func (l *Ledger) retire(ctx context.Context, name string) error {
	s := &l.log.store
	it, err := s.Get(ctx, registryPrefix+name)
	if err == nil {
		err = l.remove(ctx, it)
	}
	if err != nil && !errors.Is(err, plat.ErrNotFound) {
		return err
	}
	items, _, err := s.List(ctx, logPrefix+name+"/")
	if err != nil {
		return refused(err)
	}
	number := func(it plat.Item) int64 {
		seg, err := decode(it)
		if err != nil {
			return 0
		}
		return seg.N
	}
	slices.SortFunc(items, func(a, b plat.Item) int { return cmp.Compare(number(a), number(b)) })
	for _, it := range items {
		if err := l.remove(ctx, it); err != nil && !errors.Is(err, plat.ErrNotFound) {
			return err
		}
	}
	l.log.post(record{Op: opAdopt, Log: name, Phase: retired})
	return nil
}

func (l *Ledger) remove(ctx context.Context, it plat.Item) error {
	ctx, err := l.log.store.wait(ctx)
	if err != nil {
		return refused(err)
	}
	return l.log.store.Delete(ctx, it.Key, it.Rev)
}

// Find looks a job up in the store, for entries that do not hold it: first in
// the log that accepted it, then in all others. It reads whole logs; callers ask
// the live entries first.
func Find(ctx context.Context, store Store, clock quartz.Clock, id string) (Job, error) {
	log, err := LogOf(id)
	if err != nil {
		return Job{}, err
	}
	j, err := findIn(ctx, store, clock, log, id)
	if !errors.Is(err, ErrNotFound) {
		return j, err
	}
	items, _, err := store.List(ctx, registryPrefix)
	if err != nil {
		return Job{}, refused(err)
	}
	for _, it := range items {
		j, err := findIn(ctx, store, clock, strings.TrimPrefix(it.Key, registryPrefix), id)
		if !errors.Is(err, ErrNotFound) {
			return j, err
		}
	}
	return Job{}, fmt.Errorf("job %s: %w", id, ErrNotFound)
}

func findIn(ctx context.Context, store Store, clock quartz.Clock, log, id string) (Job, error) {
	l, st := ledgerLog(store, clock, log, "")
	err := l.load(ctx)
	if errors.Is(err, plat.ErrNotFound) || errors.Is(err, ErrCorrupt) {
		return Job{}, fmt.Errorf("job %s: %w", id, ErrNotFound)
	}
	if err != nil {
		return Job{}, err
	}
	j, ok := st.jobs[id]
	if !ok {
		return Job{}, fmt.Errorf("job %s: %w", id, ErrNotFound)
	}
	return *j, nil
}
