package plat

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coder/quartz"
)

// failureThreshold is the number of consecutive failures that opens the breaker.
const failureThreshold = 5

// breaker is a circuit breaker, which refuses calls while the platform fails. After a
// pause it allows one call as a probe: an answer closes the breaker, a failure starts
// a longer pause.
type breaker struct {
	clock  quartz.Clock
	random func() float64 // in [0,1)

	mu       sync.Mutex
	failures int       // consecutive, since the last answer
	pauseEnd time.Time // when the next probe is allowed
	probing  bool      // a probe is in flight
}

func newBreaker(clock quartz.Clock) *breaker { return &breaker{clock: clock, random: rand.Float64} }

// outcome is what a call shows about the platform's health.
type outcome uint8

const (
	noOutcome outcome = iota // the caller's context ended
	answered
	failed
)

// allow tells whether a call may be made; the caller passes the outcome of an allowed
// call to record. A long poll is no probe, since its answer would come late.
func (b *breaker) allow(longPoll bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failureThreshold {
		return true
	}
	if longPoll || !b.probeDue() {
		return false
	}
	b.probing = true
	return true
}

// open tells whether allow would refuse every call.
func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= failureThreshold && !b.probeDue()
}

// probeDue tells whether an open breaker may allow a probe. The caller holds mu.
func (b *breaker) probeDue() bool { return !b.probing && !b.clock.Now().Before(b.pauseEnd) }

// record updates the breaker with the outcome of an allowed call.
func (b *breaker) record(o outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	switch o {
	case answered:
		b.failures = 0
	case failed:
		b.failures++
		if b.failures >= failureThreshold {
			b.pauseEnd = b.clock.Now().Add(Backoff(b.failures-failureThreshold+1, b.random()))
		}
	}
}
