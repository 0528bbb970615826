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

// guard stands before every call of a client: rates, breaker and counts.
type guard struct {
	clock   quartz.Clock
	limiter *limiter
	breaker *breaker

	calls   [Rest + 1]metrics.Counter
	refused metrics.Counter
	unknown metrics.Counter
	failed  metrics.Counter
	// latency holds the time of answered calls but waiting watches, in
	// microseconds.
	latency metrics.Histogram
}

// Size and decay of the sample of latencies.
const (
	latencySample = 1028
	latencyDecay  = 0.015
)

// NewGuarded returns a client that holds its calls to a share of the service's
// rates, by class, and stops calling for a while when the platform fails. Until
// SetRates is called the share is that of a single entry.
//
// It counts in reg: plat.calls.CLASS, plat.refused (calls not made, for the
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

// SetRates bounds this entry's calls per second, as Share returns them. A
// client that is not guarded has no bound.
func (c *Client) SetRates(writes, reads float64) {
	if c.guard != nil {
		c.guard.limiter.set(writes, reads)
	}
}

type reservedKey struct{}

// ReserveWrite waits for the turn of one write and returns a context whose first
// write does not wait again. A read that the write is conditional on can then
// be made right before it. ErrUnavailable is returned as for the write.
func (c *Client) ReserveWrite(ctx context.Context) (context.Context, error) {
	if c.guard == nil {
		return ctx, nil
	}
	if err := c.guard.turn(ctx, true); err != nil {
		return ctx, fmt.Errorf("reserve: %w", err)
	}
	reserved := &atomic.Bool{}
	reserved.Store(true)
	return context.WithValue(ctx, reservedKey{}, reserved), nil
}

func useReserved(ctx context.Context) bool {
	reserved, ok := ctx.Value(reservedKey{}).(*atomic.Bool)
	return ok && reserved.CompareAndSwap(true, false)
}

// errOpen is the refusal of the breaker.
var errOpen = fmt.Errorf("%w: breaker open", ErrUnavailable)

// turn waits until the rates allow a call. It refuses at once while the breaker
// is open, so that calls which are not made do not use the rates up.
func (g *guard) turn(ctx context.Context, write bool) error {
	if g.breaker.open() {
		g.refused.Inc(1)
		return errOpen
	}
	if write && useReserved(ctx) {
		return nil
	}
	err := g.limiter.wait(ctx, classOf(ctx), write)
	if err != nil {
		g.refused.Inc(1)
	}
	return err
}

// enter returns nil when the call may be made; leave must follow it.
func (g *guard) enter(ctx context.Context, write, waits bool) error {
	if err := g.turn(ctx, write); err != nil {
		return err
	}
	if !g.breaker.allow(waits) {
		g.refused.Inc(1)
		return errOpen
	}
	g.calls[classOf(ctx)].Inc(1)
	return nil
}

func (g *guard) leave(ctx context.Context, err error, took time.Duration, waits bool) {
	if ctx.Err() != nil {
		g.breaker.done(noOutcome)
		return
	}
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) {
		g.breaker.done(failed)
		g.failed.Inc(1)
		if errors.Is(err, ErrUnknown) {
			g.unknown.Inc(1)
		}
		return
	}
	g.breaker.done(answered)
	if !waits {
		g.latency.Update(took.Microseconds())
	}
}
