package plat

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coder/quartz"
	"golang.org/x/time/rate"
)

// Rates that the key-value service allows all entries together, in calls per second.
const (
	ServiceWrites = 300
	ServiceReads  = 2000
)

const (
	// serviceShare is the fraction of the service's rates that all entries use
	// together.
	serviceShare = 0.45
	// burstShare is the fraction of an entry's calls per second that may be made at
	// once.
	burstShare = 0.25
	// minRate is the lowest rate of an entry, in calls per second.
	minRate = 0.1
	// maxQueueTime is how long a call may wait for a token before it is refused.
	maxQueueTime = time.Second
)

// RatesPerEntry returns the calls per second that each of n entries may make, so that
// all of them together stay below half of the service's rates.
func RatesPerEntry(n int) (writes, reads float64) {
	part := serviceShare / float64(max(n, 1))
	return part * ServiceWrites, part * ServiceReads
}

// limiter limits the calls of one entry with one token bucket for reads and one for
// writes. Calls with a lower priority leave a part of the burst to those with a higher
// one and wait while such a call waits.
type limiter struct {
	clock quartz.Clock
	// maxWait is how long a call may wait for a token.
	maxWait time.Duration

	mu     sync.Mutex
	reads  bucket
	writes bucket
}

type bucket struct {
	tokens *rate.Limiter
	// waiting is the number of calls that wait for a token, by class.
	waiting [Rest + 1]int
}

func newLimiter(clock quartz.Clock) *limiter {
	l := &limiter{clock: clock, maxWait: maxQueueTime}
	l.reads.tokens, l.writes.tokens = rate.NewLimiter(0, 1), rate.NewLimiter(0, 1)
	l.set(RatesPerEntry(1))
	return l
}

// set limits the calls in any one second to writes and reads; a burst of one call and
// minRate are allowed even if that is more.
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

// take takes a token for one call, or returns the time after which to try again. A
// call leaves more tokens in the bucket the lower its priority. limiter.mu must be held.
func (b *bucket) take(now time.Time, class Class) (time.Duration, bool) {
	for c := Config; c < class; c++ {
		if b.waiting[c] > 0 {
			return b.refillTime(1), false
		}
	}
	leave := float64(class) / float64(Rest+1) * float64(b.tokens.Burst()-1)
	if missing := 1 + leave - b.tokens.TokensAt(now); missing > 0 {
		return b.refillTime(missing), false
	}
	return 0, b.tokens.AllowN(now, 1)
}

func (b *bucket) refillTime(tokens float64) time.Duration {
	return max(time.Millisecond, time.Duration(tokens/float64(b.tokens.Limit())*float64(time.Second)))
}

// wait waits until the call may be made. It returns ErrUnavailable if that takes more
// than maxWait.
func (l *limiter) wait(ctx context.Context, class Class, write bool) error {
	b := &l.reads
	if write {
		b = &l.writes
	}
	start := l.clock.Now()
	retryIn, ok := l.try(b, class, 0)
	for ; !ok; retryIn, ok = l.try(b, class, -1) {
		if l.clock.Since(start)+retryIn > l.maxWait {
			return fmt.Errorf("%w: %w", ErrUnavailable, ErrThrottled)
		}
		l.addWaiting(b, class, 1)
		if err := l.sleep(ctx, retryIn); err != nil {
			l.addWaiting(b, class, -1)
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
	return nil
}

// try adds delta to the number of waiting calls and then takes a token like take.
func (l *limiter) try(b *bucket, class Class, delta int) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.waiting[class] += delta
	return b.take(l.clock.Now(), class)
}

func (l *limiter) addWaiting(b *bucket, class Class, delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.waiting[class] += delta
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
