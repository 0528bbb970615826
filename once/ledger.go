package once

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/coder/quartz"

	"shallotpaddle/plat"
)

const (
	logPrefix      = "job/"    // + log + "/" + slot
	registryPrefix = "joblog/" // + log, for every log that may hold jobs
	// acceptShare is the share of MaxLiveBytes that new jobs may fill. The rest
	// is for results and for adopting another log.
	acceptShare = 0.5
)

// LedgerLimits are the limits of one ledger: 16 MiB of live state, 96 MiB in
// the store.
var LedgerLimits = Limits{MaxSlots: 384, SpareSlots: 112, MaxLiveBytes: 16 << 20}

// Ledger holds the jobs that one incarnation of an entry has accepted or
// adopted. It is safe for concurrent use.
type Ledger struct {
	name  string // as returned by LogName
	log   *Log
	state *ledgerState
	// changing has the ids of the jobs with a record of a start or its end that
	// is not yet durable, guarded by log.mu.
	changing   map[string]bool
	lastNumber int64 // number of the last job id, guarded by log.mu

	// adoptMu is held by Adopt and DeleteAdopted. pendingCopies has, by the
	// name of the adopted log, the last record of each adoption whose records
	// are not yet durable.
	adoptMu       sync.Mutex
	pendingCopies map[string]*appendOp

	registrationSent bool // the write of the registration was sent, guarded by log.writeMu
}

// NewLedger returns the ledger of an entry's incarnation, which must be unique
// to the process. Open must be called before any other method.
func NewLedger(store Store, clock quartz.Clock, entry, incarnation string) *Ledger {
	name := LogName(entry, incarnation)
	l := &Ledger{name: name, changing: map[string]bool{}, pendingCopies: map[string]*appendOp{}}
	l.log, l.state = ledgerLog(store, clock, name, name)
	l.log.checkWritable = l.checkWritable
	return l
}

// ledgerLog returns a ledger's log and its state. writer identifies the process
// that writes to the log.
func ledgerLog(store Store, clock quartz.Clock, name, writer string) (*Log, *ledgerState) {
	log := newLog(store, clock, logPrefix+name, writer, LedgerLimits)
	state := &ledgerState{live: &log.live}
	state.reset()
	log.apply, log.reset, log.snapshotOf = state.apply, state.reset, state.snapshot
	return log, state
}

// checkWritable returns ErrSealed once another entry has taken the log over.
func (l *Ledger) checkWritable() error {
	if l.state.sealed || l.log.deleted {
		return fmt.Errorf("%s: %w", l.name, ErrSealed)
	}
	return nil
}

// Name returns the name of the ledger's log.
func (l *Ledger) Name() string { return l.name }

// SetInterval sets the shortest time between two commits.
func (l *Ledger) SetInterval(d time.Duration) { l.log.SetInterval(d) }

// Commits returns the number of segments that this process has written.
func (l *Ledger) Commits() int64 { return l.log.Commits() }

// Run commits records until ctx ends.
func (l *Ledger) Run(ctx context.Context) { l.log.run(ctx) }

// Open registers the log and creates its first segment. It may be called again
// after an error; ErrSealed means that a new incarnation is needed.
func (l *Ledger) Open(ctx context.Context) error {
	l.log.writeMu.Lock()
	defer l.log.writeMu.Unlock()
	key := registryPrefix + l.name
	if err := l.register(ctx, key); err != nil {
		return fmt.Errorf("register %s: %w", l.name, err)
	}
	if err := l.log.create(ctx); err != nil {
		return fmt.Errorf("open %s: %w", l.name, err)
	}
	// An adopter deletes the registration before the segments. If it is still
	// there, create has not made the first segment again after a deletion.
	_, err := l.log.store.Get(ctx, key)
	if errors.Is(err, plat.ErrNotFound) {
		return fmt.Errorf("open %s: %w", l.name, ErrSealed)
	}
	if err != nil {
		return asUnavailable(err)
	}
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	return l.checkWritable()
}

// register creates the registration by which adopters find the log. It does so
// only once: a registration that an adopter has deleted must not be created
// again.
func (l *Ledger) register(ctx context.Context, key string) error {
	if l.registrationSent {
		return nil
	}
	ctx, err := l.log.store.wait(ctx)
	if err != nil {
		return asUnavailable(err)
	}
	_, err = l.log.store.Put(ctx, key, []byte("{}"), 0, "")
	if errors.Is(err, plat.ErrUnavailable) {
		return err
	}
	l.registrationSent = true // the write may have failed: Open reads the registration back
	return nil
}

// Sealed reports whether another entry has taken the log over. The holder must
// then stop all work of the log.
func (l *Ledger) Sealed() bool {
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	return l.checkWritable() != nil
}

// CheckSealed reads whether another entry has written to the log, at the cost
// of one read of the store, and returns ErrSealed if the log is sealed. A
// holder calls it periodically and after it was paused; Start detects a seal in
// any case.
func (l *Ledger) CheckSealed(ctx context.Context) error {
	if err := l.log.catchUp(ctx); err != nil {
		return fmt.Errorf("check %s: %w", l.name, err)
	}
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	return l.checkWritable()
}

// Job returns a copy of a job, or ErrNotFound.
func (l *Ledger) Job(id string) (Job, error) {
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	j, ok := l.state.jobs[id]
	if !ok {
		return Job{}, fmt.Errorf("job %s: %w", id, ErrNotFound)
	}
	return *j, nil
}

// Jobs returns copies of the jobs for which keep returns true, without those
// whose adoption is not complete.
func (l *Ledger) Jobs(keep func(*Job) bool) []Job {
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	var out []Job
	for _, j := range l.state.jobs {
		if !j.AdoptionPending && keep(j) {
			out = append(out, *j)
		}
	}
	return out
}

// Accept records a new job and returns it with its id once it is durable. After
// an error for which NotRecorded is true the job will never run;
// plat.ErrUnknown means that it may have been accepted under the id returned.
func (l *Ledger) Accept(ctx context.Context, j Job) (Job, error) {
	if err := j.validate(); err != nil {
		return Job{}, err
	}
	if err := l.log.checkCapacity(j.encodedSize(), acceptShare); err != nil {
		return Job{}, err
	}
	l.log.mu.Lock()
	l.lastNumber++
	j.ID = l.name + "-" + strconv.FormatInt(l.lastNumber, 10)
	l.log.mu.Unlock()
	j.Submitted, j.State, j.Attempts, j.Starts = l.log.clock.Now(), Accepted, 0, 0
	if err := l.log.append(ctx, record{Op: opJob, Job: &j}, appendOptions{}); err != nil {
		return j, fmt.Errorf("accept: %w", err)
	}
	return j, nil
}

// beginChange returns a job in one of the states want and excludes other
// changes of it until endChange. It returns ErrState if the job is in another
// state or is being changed.
func (l *Ledger) beginChange(id string, want ...State) (*Job, error) {
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	j, ok := l.state.jobs[id]
	if !ok {
		return nil, fmt.Errorf("job %s: %w", id, ErrNotFound)
	}
	if j.AdoptionPending {
		return nil, fmt.Errorf("job %s: %w: adoption under way", id, ErrState)
	}
	if l.changing[id] {
		return nil, fmt.Errorf("job %s: %w: change under way", id, ErrState)
	}
	for _, s := range want {
		if j.State == s {
			l.changing[id] = true
			return j, nil
		}
	}
	return nil, fmt.Errorf("job %s: %w: %s", id, ErrState, j.State)
}

func (l *Ledger) endChange(id string) {
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	delete(l.changing, id)
}

// Start records a dispatch and returns the job as started once that is durable.
// Only then may the task be sent to the worker, under the id Job.TaskID. After
// plat.ErrUnknown the job must not be dispatched: if the record of the start
// becomes durable later, the ledger takes the start back.
func (l *Ledger) Start(ctx context.Context, id, host, boot string) (Job, error) {
	j, err := l.beginChange(id, Accepted)
	if err != nil {
		return Job{}, err
	}
	l.log.mu.Lock()
	exhausted := j.Attempts >= j.attemptLimit()
	l.log.mu.Unlock()
	if exhausted {
		l.endChange(id)
		return Job{}, fmt.Errorf("job %s: %w", id, ErrAttempts)
	}
	r := record{Op: opStart, ID: id, Host: host, Boot: boot}
	err = l.log.append(ctx, r, appendOptions{onLateOutcome: func(err error) { l.undoLateStart(id, err) }})
	if errors.Is(err, plat.ErrUnknown) {
		return Job{}, fmt.Errorf("start %s: %w", id, err)
	}
	defer l.endChange(id)
	if err != nil {
		return Job{}, fmt.Errorf("start %s: %w", id, err)
	}
	got, err := l.Job(id)
	if err == nil && got.State != Started {
		err = fmt.Errorf("start %s: %w: %s", id, ErrState, got.State)
	}
	return got, err
}

// undoLateStart takes back a start that became durable only after Start had
// returned plat.ErrUnknown, and that was therefore never dispatched.
func (l *Ledger) undoLateStart(id string, err error) {
	l.endChange(id)
	if err == nil {
		l.log.appendAsync(record{Op: opNotRun, ID: id, Cause: "start recorded too late", At: l.log.clock.Now()})
	}
}

// NotRun records that the last dispatch is proved not to have run, so that the
// job may start again. The record is durable before the next start.
func (l *Ledger) NotRun(ctx context.Context, id, cause string) error {
	return l.appendChange(ctx, id, record{Op: opNotRun, ID: id, Cause: truncate(cause), At: l.log.clock.Now()}, Started)
}

// Retry makes an idempotent job startable again whose last dispatch has no
// outcome.
func (l *Ledger) Retry(ctx context.Context, id, cause string) error {
	j, err := l.Job(id)
	if err != nil {
		return err
	}
	if !j.Idempotent {
		return fmt.Errorf("retry %s: %w: not idempotent", id, ErrState)
	}
	return l.appendChange(ctx, id, record{Op: opRetry, ID: id, Cause: truncate(cause), At: l.log.clock.Now()}, Started)
}

// Finish records the outcome of a job. It retries while the store refuses the
// write; plat.ErrUnknown means that the record was not yet durable when ctx
// ended. A result body that cannot be stored is left out and the result marked
// as Dropped.
func (l *Ledger) Finish(ctx context.Context, id string, o Outcome) error {
	if !o.State.Ended() {
		return fmt.Errorf("finish %s: %w: %s", id, ErrState, o.State)
	}
	res := o.Result
	if res != nil {
		res = res.bounded(l.log.checkCapacity(len(res.Body)*4/3, 1) == nil)
	}
	r := record{Op: opEnd, ID: id, State: o.State, Cause: truncate(o.Cause), Result: res, At: l.log.clock.Now()}
	return l.appendChange(ctx, id, r, Accepted, Started, Unknown)
}

// appendChange appends a record for a job in one of the states want, and
// retries while the store refuses it.
func (l *Ledger) appendChange(ctx context.Context, id string, r record, want ...State) error {
	if _, err := l.beginChange(id, want...); err != nil {
		return err
	}
	err := l.log.append(ctx, r, appendOptions{retryRefused: true, onLateOutcome: func(error) { l.endChange(id) }})
	if errors.Is(err, plat.ErrUnknown) {
		return fmt.Errorf("%s %s: %w", r.Op, id, err)
	}
	l.endChange(id)
	if err != nil {
		return fmt.Errorf("%s %s: %w", r.Op, id, err)
	}
	return nil
}

// truncate cuts a text to the longest that a record may have.
func truncate(s string) string { return s[:min(len(s), maxText)] }

// Cancel ends a job that has not started, or marks it so that the holder stops
// its task. It returns the job after that change.
func (l *Ledger) Cancel(ctx context.Context, id string) (Job, error) {
	j, err := l.Job(id)
	if err != nil || j.State.Ended() {
		return j, err
	}
	if j.AdoptionPending {
		return j, fmt.Errorf("job %s: %w: adoption under way", id, ErrState)
	}
	r := record{Op: opCancel, ID: id, At: l.log.clock.Now()}
	if err := l.log.append(ctx, r, appendOptions{retryRefused: true}); err != nil {
		return Job{}, fmt.Errorf("cancel %s: %w", id, err)
	}
	return l.Job(id)
}

// Drop removes an ended job whose result has been fetched. It does not wait
// until the removal is durable.
func (l *Ledger) Drop(id string) error {
	j, err := l.Job(id)
	if err != nil {
		return err
	}
	if !j.State.Ended() {
		return fmt.Errorf("job %s: %w: %s", id, ErrState, j.State)
	}
	l.log.appendAsync(record{Op: opDrop, ID: id})
	return nil
}

// Sweep removes the jobs that ended more than Retention ago and returns their
// number.
func (l *Ledger) Sweep() int {
	before := l.log.clock.Now().Add(-Retention)
	old := l.Jobs(func(j *Job) bool { return j.State.Ended() && j.Ended.Before(before) })
	for i := range old {
		l.log.appendAsync(record{Op: opDrop, ID: old[i].ID})
	}
	return len(old)
}

// Live returns the number of jobs in the ledger and the size of their state in
// bytes.
func (l *Ledger) Live() (jobs, bytes int) {
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	return len(l.state.jobs), l.log.live.bytes
}
