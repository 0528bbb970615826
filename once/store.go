package once

import (
	"context"
	"errors"
	"fmt"

	"shallotpaddle/plat"
)

// Store is the key-value service as used by this package. The fields are
// methods of plat.Client and return its errors.
type Store struct {
	Get    func(ctx context.Context, key string) (plat.Item, error)
	Put    func(ctx context.Context, key string, value []byte, prev int64, lease string) (int64, error)
	Delete func(ctx context.Context, key string, prev int64) error
	List   func(ctx context.Context, prefix string) ([]plat.Item, int64, error)
	// Wait blocks until the program's share of the write rate allows one more
	// write, and returns the context for that write. nil means no limit.
	// Records are queued while it blocks.
	Wait func(ctx context.Context) (context.Context, error)
}

// NewStore returns the store behind a platform client, with calls of class
// Ledger. If wait is nil, the client limits the writes.
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
	s.Wait = func(ctx context.Context) (context.Context, error) { return c.ReserveWrite(class(ctx)) }
	if wait != nil {
		s.Wait = func(ctx context.Context) (context.Context, error) { return ctx, wait(ctx) }
	}
	return s
}

var (
	// ErrBusy is returned when too many records wait or the log has no space
	// left; nothing was recorded.
	ErrBusy = errors.New("ledger busy")
	// ErrSealed is returned when another entry has taken the log over. Nothing
	// was recorded, and the holder must stop the work of that log.
	ErrSealed = errors.New("log sealed")
	// ErrAdopted is returned by Adopt when another entry adopts the log.
	ErrAdopted = errors.New("log adopted by another entry")
	// ErrTooLarge is returned for a body above its limit; nothing was recorded.
	ErrTooLarge = errors.New("body too large")
	// ErrNotFound is returned for a job that is not in the ledger.
	ErrNotFound = errors.New("not found")
	// ErrState is returned when the job's state does not allow the call.
	ErrState = errors.New("state does not allow the call")
	// ErrAttempts is returned when the job has no attempts left.
	ErrAttempts = errors.New("attempts used up")
	// ErrKey is returned for a malformed Idempotency-Key.
	ErrKey = errors.New("malformed idempotency key")
	// ErrMismatch is returned when the key was used with another request.
	ErrMismatch = errors.New("idempotency key used with another request")
	// ErrCorrupt is returned for a log whose segments cannot be read.
	ErrCorrupt = errors.New("log corrupt")
)

// NotRecorded reports whether err proves that the record was not written and
// never will be. After any other error it may have been written.
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

// wait calls Wait if it is set.
func (s *Store) wait(ctx context.Context) (context.Context, error) {
	if s.Wait == nil {
		return ctx, ctx.Err()
	}
	return s.Wait(ctx)
}

// asUnavailable turns the error of a call that wrote nothing into
// plat.ErrUnavailable: a read whose answer was lost must not count as a write
// of unknown outcome.
func asUnavailable(err error) error {
	return fmt.Errorf("%w: %v", plat.ErrUnavailable, err) // must not match plat.ErrUnknown
}
