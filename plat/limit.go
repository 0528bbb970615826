package plat

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coder/quartz"
	"golang.org/x/time/rate"
)

// Rates of the key-value service, in calls per second, for all entries.
const (
	ServiceWrites = 300
	ServiceReads  = 2000
)

const (
	// serviceShare is the part of the service's rates that all entries use.
	serviceShare = 0.45
	// burstShare is the part of an entry's calls per second that may come at once.
	burstShare = 0.25
	// minRate is the least rate of an entry, in calls per second.
	minRate = 0.1
	// queueTime is how long a call waits for its turn before it is refused.
	queueTime = time.Second
)

// RatesPerEntry returns the calls per second that one of n entries may make, so that
// all of them stay under half of the service's rates.
func RatesPerEntry(n int) (writes, reads float64) {
	part := serviceShare / float64(max(n, 1))
	return part * ServiceWrites, part * ServiceReads
}

// limiter holds the calls of one entry to its share of the service's rates.
// Lower classes leave a part of the burst to higher ones and let them go first.
type limiter struct {
	clock quartz.Clock
	// queue is how long a call waits for its turn.
	queue time.Duration

	mu     sync.Mutex
	reads  bucket
	writes bucket
}

type bucket struct {
	tokens *rate.Limiter
	// waiting counts the calls that wait for their turn, by class.
	waiting [Rest + 1]int
}

func newLimiter(clock quartz.Clock) *limiter {
	l := &limiter{clock: clock, queue: queueTime}
	l.reads.tokens, l.writes.tokens = rate.NewLimiter(0, 1), rate.NewLimiter(0, 1)
	l.set(RatesPerEntry(1))
	return l
}

// set bounds the calls in any one second to writes and reads, but for a burst
// of one call and minRate.
func (l *limiter) set(writes, reads float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.writes.set(now, writes)
	l.reads.set(now, reads)
}

func (b *bucket) set(now time.Time, perSecond float64) {
	burst := max(1, int(perSecond*burstShare))
	b.tokens.SetLimitAt(now, rate.Limit(max(minRate, perSecond-float64(burst))))
	b.tokens.SetBurstAt(now, burst)
}

// take takes one call's token, or returns the time after which to try again.
func (b *bucket) take(now time.Time, class Class) (time.Duration, bool) {
	for c := Config; c < class; c++ {
		if b.waiting[c] > 0 {
			return b.until(1), false
		}
	}
	spare := float64(class) / float64(Rest+1) * float64(b.tokens.Burst()-1)
	if missing := 1 + spare - b.tokens.TokensAt(now); missing > 0 {
		return b.until(missing), false
	}
	return 0, b.tokens.AllowN(now, 1)
}

func (b *bucket) until(tokens float64) time.Duration {
	return max(time.Millisecond, time.Duration(tokens/float64(b.tokens.Limit())*float64(time.Second)))
}

// wait returns nil when the call may be made, within the queue time.
func (l *limiter) wait(ctx context.Context, class Class, write bool) error {
	b := &l.reads
	if write {
		b = &l.writes
	}
	begun := l.clock.Now()
	left, ok := l.try(b, class, 0)
	for ; !ok; left, ok = l.try(b, class, -1) {
		if l.clock.Since(begun)+left > l.queue {
			return fmt.Errorf("%w: %w", ErrUnavailable, ErrThrottled)
		}
		l.count(b, class, 1)
		if err := l.sleep(ctx, left); err != nil {
			l.count(b, class, -1)
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
	return nil
}

// try takes a token after it has changed the number of waiting calls.
func (l *limiter) try(b *bucket, class Class, waiting int) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.waiting[class] += waiting
	return b.take(l.clock.Now(), class)
}

func (l *limiter) count(b *bucket, class Class, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.waiting[class] += n
}

func (l *limiter) sleep(ctx context.Context, d time.Duration) error {
	t := l.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
