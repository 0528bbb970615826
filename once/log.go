package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"

	"shallotpaddle/plat"
)

const (
	// DefaultInterval is the shortest time between two commits of a log.
	DefaultInterval = 50 * time.Millisecond
	// MaxSegment is the largest segment, in bytes, well under plat.MaxValue.
	MaxSegment = 256 << 10
	// maxBatch is the largest total size of the new records in a segment, in
	// bytes. The rest is for state that is carried forward.
	maxBatch = 128 << 10
	// maxQueued is the largest number of records that wait for a commit.
	maxQueued = 4096
	// initialSlots is the number of slots of a new log, growSlots the number
	// that is added at a time.
	initialSlots = 4
	growSlots    = 2
	// minLength is the number of segments up to which no state is carried
	// forward.
	minLength = 8
	// minBackoff and maxBackoff bound the delay after a failed write.
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
)

// Limits bound the size of a log in the store to MaxSlots*MaxSegment bytes.
type Limits struct {
	// MaxSlots is the largest number of slots, each a key of the store.
	MaxSlots int
	// SpareSlots is the number of slots kept free for carrying state forward.
	// It must be more than MaxLiveBytes/(MaxSegment - largest entity).
	SpareSlots int
	// MaxLiveBytes is the largest size of the live state, in bytes.
	MaxLiveBytes int
}

// Log is an append-only log with group commit. The function fields apply,
// reset, snapshotOf and checkWritable are its state machine; they are called
// with mu held.
type Log struct {
	prefix string
	// writer is unique to the process's incarnation.
	writer string
	store  Store
	clock  quartz.Clock
	limits Limits

	// apply applies a record of segment n to the state.
	apply func(n int64, rec json.RawMessage) error
	// reset clears the state before the log is read again.
	reset func()
	// snapshotOf returns a record with the full state of a live entity.
	snapshotOf func(id string) any
	// checkWritable returns the reason why nothing more may be written, or nil.
	checkWritable func() error
	// requestCommit causes a commit of the queue soon. Tests replace it.
	requestCommit func()
	// sleep returns after a time or when ctx ends. Tests replace it.
	sleep func(ctx context.Context, d time.Duration)

	interval atomic.Int64
	commits  atomic.Int64
	wake     chan struct{}

	// writeMu is held during a whole commit; mu is never held during a call.
	writeMu      sync.Mutex
	lastBatch    int64
	backoff      time.Duration
	writeAllowed bool // the write rate already allows the next put
	lastCatchUp  time.Time

	mu           sync.Mutex
	ring         ring
	live         liveSet
	reservedRevs []int64 // revisions of slots reserved but not yet in the ring
	loaded       bool
	deleted      bool // deleted from the store after an adoption
	queue        []*appendOp
	queuedBytes  int // total size of queue
}

// appendOp is one record that is being appended to the log.
type appendOp struct {
	appendOptions
	rec        json.RawMessage
	committing bool // part of a commit in progress
	done       chan error
	abandoned  bool // the caller has given up waiting
}

// appendOptions say how a record is written.
type appendOptions struct {
	// retryRefused keeps the record in the queue while the store refuses it.
	// Such a record is queued beyond maxQueued, and stays when its caller gives
	// up.
	retryRefused bool
	// unlessLive is the id of an entity that makes the record void if it is
	// live. A void record is left out of the segment: a replay that starts
	// after the floor has passed the entity's end could not tell that it was
	// void.
	unlessLive string
	// onLateOutcome is called with the outcome if the caller has given up
	// waiting for it.
	onLateOutcome func(error)
}

func newLog(store Store, clock quartz.Clock, prefix, writer string, lim Limits) *Log {
	l := &Log{prefix: prefix, writer: writer, store: store, clock: clock, limits: lim, wake: make(chan struct{}, 1)}
	l.checkWritable = func() error { return nil }
	l.requestCommit, l.sleep = l.signal, l.timerSleep
	l.interval.Store(int64(DefaultInterval))
	l.live.reset()
	return l
}

// SetInterval sets the shortest time between two commits.
func (l *Log) SetInterval(d time.Duration) { l.interval.Store(int64(d)) }

// Commits returns the number of segments written by this process.
func (l *Log) Commits() int64 { return l.commits.Load() }

// signal makes run commit the queue.
func (l *Log) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run commits queued records until ctx ends.
func (l *Log) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.refuseQueued()
			return
		case <-l.wake:
		}
		start := l.clock.Now()
		_ = l.flush(ctx)
		l.timerSleep(ctx, time.Duration(l.interval.Load())-l.clock.Since(start)+l.retryDelay())
		if l.queueLen() > 0 {
			l.signal()
		}
	}
}

// timerSleep returns after d on the log's clock or when ctx ends.
func (l *Log) timerSleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := l.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// retryDelay returns the delay after a failed commit, with jitter.
func (l *Log) retryDelay() time.Duration {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	return jitter(l.backoff)
}

// jitter returns a random time between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// backOff waits before a call is repeated, each time about twice as long. It
// returns the error of ctx.
func (l *Log) backOff(ctx context.Context) error {
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.sleep(ctx, jitter(l.backoff))
	return ctx.Err()
}

// queueLen returns the number of queued records.
func (l *Log) queueLen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// append adds a record and waits until it is durable. After an error for which
// NotRecorded is true it will never be durable. plat.ErrUnknown means that ctx
// ended first; onLateOutcome is then called with the outcome once that is
// known.
func (l *Log) append(ctx context.Context, rec any, opts appendOptions) error {
	o, err := l.enqueue(rec, opts)
	if err != nil {
		return err
	}
	l.requestCommit()
	return l.await(ctx, o)
}

// appendAsync adds a record with retryRefused and does not wait until it is
// durable. It drops a record that cannot be queued.
func (l *Log) appendAsync(rec any) {
	if _, err := l.enqueue(rec, appendOptions{retryRefused: true}); err == nil {
		l.requestCommit()
	}
}

func (l *Log) enqueue(rec any, opts appendOptions) (*appendOp, error) {
	b, err := json.Marshal(rec)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if len(b) > maxBatch {
		return nil, fmt.Errorf("%w: record of %d bytes", ErrTooLarge, len(b))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkWritable(); err != nil {
		return nil, err
	}
	if !opts.retryRefused && len(l.queue) >= maxQueued {
		return nil, fmt.Errorf("%w: %d records wait", ErrBusy, len(l.queue))
	}
	o := &appendOp{appendOptions: opts, rec: b, done: make(chan error, 1)}
	l.queue = append(l.queue, o)
	l.queuedBytes += len(b)
	return o, nil
}

// checkCapacity returns ErrBusy if n more bytes would raise the live state
// above the given share of MaxLiveBytes.
func (l *Log) checkCapacity(n int, share float64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if used := l.live.bytes + l.queuedBytes + n; float64(used) > share*float64(l.limits.MaxLiveBytes) {
		return fmt.Errorf("%w: %d of %d bytes kept", ErrBusy, used, l.limits.MaxLiveBytes)
	}
	return nil
}

// await waits for the outcome of a record. If ctx ends first, a record that is
// not yet in a commit is withdrawn, except with retryRefused.
func (l *Log) await(ctx context.Context, o *appendOp) error {
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case err := <-o.done:
		return err
	default:
	}
	if o.committing || o.retryRefused {
		o.abandoned = true
		return fmt.Errorf("%w: %w", plat.ErrUnknown, ctx.Err())
	}
	l.withdraw(o)
	return fmt.Errorf("%w: %w", plat.ErrUnavailable, ctx.Err())
}

func (l *Log) withdraw(o *appendOp) {
	if i := slices.Index(l.queue, o); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		l.queuedBytes -= len(o.rec)
	}
}

// takeBatch moves the oldest records, up to maxBatch bytes, from the queue into
// a commit.
func (l *Log) takeBatch() []*appendOp {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for n < len(l.queue) && size+len(l.queue[n].rec) <= maxBatch {
		size += len(l.queue[n].rec) + 1
		l.queue[n].committing = true
		l.queuedBytes -= len(l.queue[n].rec)
		n++
	}
	ops := slices.Clone(l.queue[:n])
	l.queue = slices.Delete(l.queue, 0, n)
	return ops
}

// finishBatch reports the outcome of a commit to the waiting callers. After a
// refusal, records with retryRefused go back to the front of the queue.
func (l *Log) finishBatch(ops []*appendOp, err error) {
	var lateOps []*appendOp
	l.mu.Lock()
	var retried []*appendOp
	for _, o := range ops {
		if o.retryRefused && errors.Is(err, plat.ErrUnavailable) {
			o.committing = false
			retried = append(retried, o)
			l.queuedBytes += len(o.rec)
			continue
		}
		o.done <- err
		if o.onLateOutcome != nil && o.abandoned {
			lateOps = append(lateOps, o)
		}
	}
	l.queue = slices.Insert(l.queue, 0, retried...)
	l.mu.Unlock()
	for _, o := range lateOps {
		o.onLateOutcome(err)
	}
}

// refuseQueued fails the records that are still queued when the log stops.
func (l *Log) refuseQueued() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.queue {
		o.done <- fmt.Errorf("%w: log stopped", plat.ErrUnavailable)
	}
	l.queue, l.queuedBytes = nil, 0
}
