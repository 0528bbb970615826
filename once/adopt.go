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

// Adoption has the jobs of an adopted log by what its adopter has to do with
// them.
type Adoption struct {
	// Runnable has the jobs to start: accepted ones, and started ones that are
	// idempotent.
	Runnable []Job
	// Unresolved has the jobs that were started, are not idempotent and have no
	// outcome. They are never dispatched again: the worker is asked by
	// Job.TaskID, and without an answer the outcome is Unknown.
	Unresolved []Job
	// Ended is the number of jobs that already have an outcome.
	Ended int
}

// errDeleted means that another entry has adopted and deleted the log.
var errDeleted = fmt.Errorf("%w: log deleted", ErrAdopted)

// Adoptable returns the names of the registered logs that are not in live, and
// of those whose adoption this ledger has begun. live has the names of the logs
// of live entries that have not handed over.
func (l *Ledger) Adoptable(ctx context.Context, live []string) ([]string, error) {
	items, _, err := l.log.store.List(ctx, registryPrefix)
	if err != nil {
		return nil, asUnavailable(err)
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
	for name, a := range l.state.adoptions {
		if a.phase == intended {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out), nil
}

// Handover seals the log so that any entry may adopt it. When it returns,
// records appended before are durable; later changes return ErrSealed.
func (l *Ledger) Handover(ctx context.Context) error {
	if err := l.log.append(ctx, record{Op: opSeal}, appendOptions{}); err != nil {
		return fmt.Errorf("handover %s: %w", l.name, err)
	}
	return nil
}

// Adopt takes over the log of an entry that is gone or has handed over. If
// several entries try, one succeeds and the others get ErrAdopted. ErrBusy
// means that this ledger has no space for the log's jobs. After any other error
// the call may be repeated.
func (l *Ledger) Adopt(ctx context.Context, name string) (Adoption, error) {
	l.adoptMu.Lock()
	defer l.adoptMu.Unlock()
	if err := l.adopt(ctx, name); err != nil {
		return Adoption{}, fmt.Errorf("adopt %s: %w", name, err)
	}
	// If this fails, DeleteAdopted completes the deletion.
	_ = l.deleteLog(ctx, name)
	return l.adoptedJobs(name), nil
}

// adopt records the intent to adopt the log, seals the log and copies its jobs.
func (l *Ledger) adopt(ctx context.Context, name string) error {
	// Copies from earlier adoptions that are not yet durable may include an
	// adoption of this log.
	for _, n := range slices.Sorted(maps.Keys(l.pendingCopies)) {
		if err := l.awaitCopies(ctx, n, l.pendingCopies[n]); err != nil {
			return err
		}
	}
	a := l.adoptionOf(name)
	if a.phase == adopted {
		return nil
	}
	r := record{Op: opAdopt, Log: name, Phase: intended, InheritedFrom: a.inheritedFrom}
	if err := l.log.append(ctx, r, appendOptions{}); err != nil {
		return err
	}
	st, err := l.seal(ctx, name, a.inheritedFrom)
	if errors.Is(err, errDeleted) || (a.phase == "" && (errors.Is(err, ErrAdopted) || errors.Is(err, ErrBusy))) {
		// An intent from an earlier call stays: its seal may still take effect, or
		// be inherited.
		l.log.appendAsync(record{Op: opAdopt, Log: name, Phase: retired})
	}
	if err != nil {
		return err
	}
	o, err := l.copyJobs(name, st)
	if err != nil {
		return err
	}
	return l.awaitCopies(ctx, name, o)
}

// adoptionOf returns the recorded state of a log's adoption.
func (l *Ledger) adoptionOf(name string) adoptionState {
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	return l.state.adoptions[name]
}

// seal writes this ledger's seal into a log, so that its holder can write no
// more, and returns the log's final state. replaceable has the logs whose
// seal it may replace.
func (l *Ledger) seal(ctx context.Context, name string, replaceable []string) (*ledgerState, error) {
	if _, err := l.log.store.Get(ctx, registryPrefix+name); err != nil {
		if errors.Is(err, plat.ErrNotFound) {
			return nil, errDeleted
		}
		return nil, asUnavailable(err)
	}
	source, st := ledgerLog(l.log.store, l.log.clock, name, l.name)
	source.sleep = l.log.sleep
	source.checkWritable = func() error {
		if st.sealed && st.adopter != "" && st.adopter != l.name && !slices.Contains(replaceable, st.adopter) {
			return fmt.Errorf("%w: %s", ErrAdopted, st.adopter)
		}
		return nil
	}
	if err := l.loadSource(ctx, source); err != nil {
		return nil, err
	}
	if st.sealed && st.adopter == l.name {
		return st, nil
	}
	// The log's holder may itself have adopted its adopter's log, and with it
	// the intent to adopt this one.
	replaceable = slices.Concat(replaceable, st.adoptions[name].inheritedFrom)
	if source.checkWritable() != nil {
		if err := l.checkAbandoned(ctx, name, st.adopter); err != nil {
			return nil, err
		}
		replaceable = append(replaceable, st.adopter)
	}
	if err := l.log.checkCapacity(source.live.bytes, 1); err != nil {
		return nil, err
	}
	o, err := source.enqueue(record{Op: opSeal, Adopter: l.name}, appendOptions{})
	if err != nil {
		return nil, err
	}
	if err := source.flush(ctx); err != nil {
		if errors.Is(err, ErrSealed) {
			return nil, fmt.Errorf("%w: %w", ErrAdopted, err)
		}
		return nil, err
	}
	return st, <-o.done
}

// checkAbandoned returns nil if the adopter of a log is itself sealed and has
// not completed the adoption, which it then never will. Otherwise it returns
// ErrAdopted, or plat.ErrUnavailable if the adopter's log cannot be read.
func (l *Ledger) checkAbandoned(ctx context.Context, name, adopter string) error {
	log, st := ledgerLog(l.log.store, l.log.clock, adopter, l.name)
	err := log.load(ctx)
	if errors.Is(err, plat.ErrUnavailable) {
		return err
	}
	if err != nil || !st.sealed || st.adoptions[name].phase == adopted {
		return fmt.Errorf("%w: adopter %s, adoption phase %q, load error: %v", ErrAdopted, adopter, st.adoptions[name].phase, err)
	}
	return nil
}

// loadSource loads a log that is to be adopted.
func (l *Ledger) loadSource(ctx context.Context, source *Log) error {
	err := source.load(ctx)
	if errors.Is(err, plat.ErrNotFound) {
		// The holder has not yet written the first segment: write it in its place.
		err = source.create(ctx)
	}
	if errors.Is(err, ErrCorrupt) {
		return fmt.Errorf("%w: %w", ErrAdopted, err)
	}
	return err
}

// copyJobs adds the jobs and adoptions of a sealed log to this one. It returns
// the last record, which completes the adoption.
func (l *Ledger) copyJobs(name string, st *ledgerState) (*appendOp, error) {
	for _, id := range slices.Sorted(maps.Keys(st.jobs)) {
		c := *st.jobs[id]
		if c.AdoptionPending {
			continue // will be copied from AdoptedFrom, whose adoption is inherited
		}
		c.AdoptedFrom, c.AdoptionPending = name, true
		if c.State == Started && c.Idempotent {
			c.reopen(&record{Cause: "holder gone", At: l.log.clock.Now()})
		}
		if _, err := l.log.enqueue(record{Op: opJob, Job: &c}, appendOptions{retryRefused: true}); err != nil {
			return nil, err
		}
	}
	for _, log := range slices.Sorted(maps.Keys(st.adoptions)) {
		if log == name {
			continue
		}
		if _, err := l.log.enqueue(inheritedAdoption(name, log, st.adoptions[log]), appendOptions{retryRefused: true}); err != nil {
			return nil, err
		}
	}
	o, err := l.log.enqueue(record{Op: opAdopt, Log: name, Phase: adopted}, appendOptions{retryRefused: true})
	if err == nil {
		l.pendingCopies[name] = o
	}
	return o, err
}

// inheritedAdoption returns the record that continues an adoption of log which
// the holder of the sealed log name has recorded.
func inheritedAdoption(name, log string, a adoptionState) record {
	r := record{Op: opAdopt, Log: log, Phase: a.phase}
	if r.Phase == intended {
		r.InheritedFrom = append(slices.Clone(a.inheritedFrom), name)
	}
	return r
}

// awaitCopies waits until o, the last record of an adoption, is durable.
func (l *Ledger) awaitCopies(ctx context.Context, name string, o *appendOp) error {
	l.log.requestCommit()
	err := l.log.await(ctx, o)
	if l.adoptionOf(name).phase == adopted {
		err = nil
	}
	if err == nil || !errors.Is(err, plat.ErrUnknown) {
		delete(l.pendingCopies, name)
	}
	return err
}

// adoptedJobs groups the jobs that were adopted from a log.
func (l *Ledger) adoptedJobs(name string) Adoption {
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

// DeleteAdopted deletes the logs whose adoption is complete and that are still
// in the store.
func (l *Ledger) DeleteAdopted(ctx context.Context) error {
	l.adoptMu.Lock()
	defer l.adoptMu.Unlock()
	var names []string
	l.log.mu.Lock()
	for n, a := range l.state.adoptions {
		if a.phase == adopted {
			names = append(names, n)
		}
	}
	l.log.mu.Unlock()
	var errs []error
	slices.Sort(names)
	for _, n := range names {
		errs = append(errs, l.deleteLog(ctx, n))
	}
	return errors.Join(errs...)
}

// deleteLog deletes an adopted log. The registration goes first, so that a
// holder that was paused in Open notices the deletion. The seal goes last, so
// that a partly deleted log never looks adoptable.
func (l *Ledger) deleteLog(ctx context.Context, name string) error {
	s := &l.log.store
	it, err := s.Get(ctx, registryPrefix+name)
	if err == nil {
		err = l.deleteItem(ctx, it)
	}
	if err != nil && !errors.Is(err, plat.ErrNotFound) {
		return err
	}
	items, _, err := s.List(ctx, logPrefix+name+"/")
	if err != nil {
		return asUnavailable(err)
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
		if err := l.deleteItem(ctx, it); err != nil && !errors.Is(err, plat.ErrNotFound) {
			return err
		}
	}
	l.log.appendAsync(record{Op: opAdopt, Log: name, Phase: retired})
	return nil
}

func (l *Ledger) deleteItem(ctx context.Context, it plat.Item) error {
	ctx, err := l.log.store.wait(ctx)
	if err != nil {
		return asUnavailable(err)
	}
	return l.log.store.Delete(ctx, it.Key, it.Rev)
}

// Find reads a job from the store, for entries that do not hold it: first from
// the log that accepted it, then from all others. It reads whole logs, so
// callers should ask the live entries first.
func Find(ctx context.Context, store Store, clock quartz.Clock, id string) (Job, error) {
	log, err := LogOf(id)
	if err != nil {
		return Job{}, err
	}
	j, err := findInLog(ctx, store, clock, log, id)
	if !errors.Is(err, ErrNotFound) {
		return j, err
	}
	items, _, err := store.List(ctx, registryPrefix)
	if err != nil {
		return Job{}, asUnavailable(err)
	}
	for _, it := range items {
		j, err := findInLog(ctx, store, clock, strings.TrimPrefix(it.Key, registryPrefix), id)
		if !errors.Is(err, ErrNotFound) {
			return j, err
		}
	}
	return Job{}, fmt.Errorf("job %s: %w", id, ErrNotFound)
}

func findInLog(ctx context.Context, store Store, clock quartz.Clock, log, id string) (Job, error) {
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
