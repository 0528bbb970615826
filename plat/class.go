package plat

import (
	"context"
	"time"
)

// Class is the priority of a call; a lower value has a higher priority.
type Class uint8

// Classes of calls.
const (
	Config  Class = iota // configuration, registration and the watch
	Permits              // outages and moves of hosts
	Ledger               // accepted jobs and keyed claims
	Rest                 // all other calls
)

var classNames = [...]string{"config", "permits", "ledger", "rest"}

// String returns the class in the form used by logs and metrics.
func (c Class) String() string { return classNames[c] }

type classKey struct{}

// WithClass returns a context whose calls have class c. Calls with a context without
// a class are Rest.
func WithClass(ctx context.Context, c Class) context.Context {
	return context.WithValue(ctx, classKey{}, c)
}

func classOf(ctx context.Context) Class {
	if c, ok := ctx.Value(classKey{}).(Class); ok {
		return c
	}
	return Rest
}

const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// Backoff returns the pause before the next attempt after n consecutive failures. It
// doubles with each failure up to two seconds; random, in [0,1), is the jitter, which
// shortens it by up to half.
func Backoff(n int, random float64) time.Duration {
	d := backoffMax
	if n = max(n, 1) - 1; n < 6 {
		d = min(d, backoffBase<<n)
	}
	return d - time.Duration(random*float64(d)/2)
}
