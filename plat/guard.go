package plat

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"
	metrics "github.com/rcrowley/go-metrics"
)

// guard applies the rate limits and the breaker to every call of a client, and counts
// the calls.
type guard struct {
	clock   quartz.Clock
	limiter *limiter
	breaker *breaker

	calls   [Rest + 1]metrics.Counter
	refused metrics.Counter
	unknown metrics.Counter
	failed  metrics.Counter
	// latency holds the durations of answered calls, except long polls, in
	// microseconds.
	latency metrics.Histogram
}

// Size and decay factor of the sample of latencies.
const (
	latencySample = 1028
	latencyDecay  = 0.015
)

// NewGuarded returns a client that limits its calls to a part of the service's rates,
// with priority by class, and stops calling for a while when the platform fails. Until
// SetRates is called, the rates are those of a single entry.
//
// Its metrics in reg are plat.calls.CLASS, plat.refused (calls not made because of the
// rates or the breaker), plat.failed, plat.unknown and plat.latency.
func NewGuarded(base string, clock quartz.Clock, reg metrics.Registry) *Client {
	c := New(base)
	g := &guard{
		clock: clock, limiter: newLimiter(clock), breaker: newBreaker(clock),
		refused: metrics.NewRegisteredCounter("plat.refused", reg),
		unknown: metrics.NewRegisteredCounter("plat.unknown", reg),
		failed:  metrics.NewRegisteredCounter("plat.failed", reg),
		latency: metrics.NewRegisteredHistogram("plat.latency", reg,
			metrics.NewExpDecaySample(latencySample, latencyDecay)),
	}
	for i := range g.calls {
		g.calls[i] = metrics.NewRegisteredCounter("plat.calls."+Class(i).String(), reg)
	}
	c.guard = g
	return c
}

// SetRates limits the writes and reads per second, as returned by RatesPerEntry. It has
// no effect on a client of New.
func (c *Client) SetRates(writes, reads float64) {
	if c.guard != nil {
		c.guard.limiter.set(writes, reads)
	}
}

type reservationKey struct{}

// ReserveWrite waits until the rates allow a write and returns a context whose first
// write does not wait again. A read on which the write is conditional can then be
// made right before it. It returns ErrUnavailable as the write would.
func (c *Client) ReserveWrite(ctx context.Context) (context.Context, error) {
	if c.guard == nil {
		return ctx, nil
	}
	if err := c.guard.waitTurn(ctx, true); err != nil {
		return ctx, fmt.Errorf("reserve: %w", err)
	}
	reserved := &atomic.Bool{}
	reserved.Store(true)
	return context.WithValue(ctx, reservationKey{}, reserved), nil
}

func takeReservation(ctx context.Context) bool {
	reserved, ok := ctx.Value(reservationKey{}).(*atomic.Bool)
	return ok && reserved.CompareAndSwap(true, false)
}

// errBreakerOpen is returned for a call that the breaker refuses.
var errBreakerOpen = fmt.Errorf("%w: breaker open", ErrUnavailable)

// waitTurn waits until the rates allow a call. It fails at once while the breaker is
// open, so that calls that are not made don't use up the rates.
func (g *guard) waitTurn(ctx context.Context, write bool) error {
	if g.breaker.open() {
		g.refused.Inc(1)
		return errBreakerOpen
	}
	if write && takeReservation(ctx) {
		return nil
	}
	err := g.limiter.wait(ctx, classOf(ctx), write)
	if err != nil {
		g.refused.Inc(1)
	}
	return err
}

// beforeCall returns nil if the call may be made; afterCall must follow then.
func (g *guard) beforeCall(ctx context.Context, write, longPoll bool) error {
	if err := g.waitTurn(ctx, write); err != nil {
		return err
	}
	if !g.breaker.allow(longPoll) {
		g.refused.Inc(1)
		return errBreakerOpen
	}
	g.calls[classOf(ctx)].Inc(1)
	return nil
}

// afterCall records the outcome of a call in the breaker and the metrics.
func (g *guard) afterCall(ctx context.Context, err error, took time.Duration, longPoll bool) {
	if ctx.Err() != nil {
		g.breaker.record(noOutcome)
		return
	}
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) {
		g.breaker.record(failed)
		g.failed.Inc(1)
		if errors.Is(err, ErrUnknown) {
			g.unknown.Inc(1)
		}
		return
	}
	g.breaker.record(answered)
	if !longPoll {
		g.latency.Update(took.Microseconds())
	}
}
