package once

import (
	"context"
	"errors"
	"fmt"

	"shallotpaddle/plat"
)

// Store is the key-value service as seen by this package; the fields are those
// of plat.Client and return its errors.
type Store struct {
	Get    func(ctx context.Context, key string) (plat.Item, error)
	Put    func(ctx context.Context, key string, value []byte, prev int64, lease string) (int64, error)
	Delete func(ctx context.Context, key string, prev int64) error
	List   func(ctx context.Context, prefix string) ([]plat.Item, int64, error)
	// Wait blocks until the program's write share allows one more write and
	// returns the context to make it with; nil means no limit. Records go on
	// collecting while it blocks.
	Wait func(ctx context.Context) (context.Context, error)
}

// NewStore returns the store of a platform client, with calls of class Ledger.
// A nil wait leaves the limit to the client.
func NewStore(c *plat.Client, wait func(context.Context) error) Store {
	class := func(ctx context.Context) context.Context { return plat.WithClass(ctx, plat.Ledger) }
	s := Store{
		Get: func(ctx context.Context, key string) (plat.Item, error) { return c.Get(class(ctx), key) },
		Put: func(ctx context.Context, key string, value []byte, prev int64, lease string) (int64, error) {
			return c.Put(class(ctx), key, value, prev, lease)
		},
		Delete: func(ctx context.Context, key string, prev int64) error { return c.Delete(class(ctx), key, prev) },
		List: func(ctx context.Context, prefix string) ([]plat.Item, int64, error) {
			return c.List(class(ctx), prefix)
		},
	}
	s.Wait = func(ctx context.Context) (context.Context, error) { return c.Reserve(class(ctx)) }
	if wait != nil {
		s.Wait = func(ctx context.Context) (context.Context, error) { return ctx, wait(ctx) }
	}
	return s
}

var (
	// ErrBusy is returned when a bound on waiting or kept records is reached;
	// nothing was recorded.
	ErrBusy = errors.New("ledger busy")
	// ErrSealed is returned when another entry has taken the log over; nothing
	// was recorded and the holder must stop the work of that log.
	ErrSealed = errors.New("log sealed")
	// ErrAdopted is returned by Adopt when another entry adopts the log.
	ErrAdopted = errors.New("log adopted by another entry")
	// ErrTooLarge is returned for a body above its limit; nothing was recorded.
	ErrTooLarge = errors.New("body too large")
	// ErrNotFound is returned for a job or claim that is not kept.
	ErrNotFound = errors.New("not found")
	// ErrState is returned when the job's state does not allow the call.
	ErrState = errors.New("state does not allow the call")
	// ErrAttempts is returned when the job's dispatches are used up.
	ErrAttempts = errors.New("attempts used up")
	// ErrKey is returned for a malformed Idempotency-Key.
	ErrKey = errors.New("malformed idempotency key")
	// ErrMismatch is returned when the key was used with another request.
	ErrMismatch = errors.New("idempotency key used with another request")
	// ErrCorrupt is returned for a log whose segments cannot be read.
	ErrCorrupt = errors.New("log corrupt")
)

// NotRecorded tells whether err proves that the record was not written and
// never will be. All other errors leave it open.
func NotRecorded(err error) bool {
	if err == nil || errors.Is(err, plat.ErrUnknown) {
		return false
	}
	for _, e := range []error{
		ErrBusy, ErrSealed, ErrTooLarge, ErrNotFound, ErrState, ErrAttempts,
		ErrKey, ErrMismatch, plat.ErrUnavailable,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func (s *Store) wait(ctx context.Context) (context.Context, error) {
	if s.Wait == nil {
		return ctx, ctx.Err()
	}
	return s.Wait(ctx)
}

// asUnavailable turns the error of a read into one that says that nothing was
// written: the lost answer of a read is not an unknown write.
func asUnavailable(err error) error {
	return fmt.Errorf("%w: %v", plat.ErrUnavailable, err) // must not match plat.ErrUnknown
}
