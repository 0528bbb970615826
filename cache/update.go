package cache

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"shallotpaddle/plat"
)

// maxConflicts bounds the number of write conflicts of one update.
const maxConflicts = 16

// noRev means that there is no store revision.
const noRev = -1

// Update applies fn to the body of a document, nil for one that does not
// exist, and writes the result if nobody else wrote in between; otherwise it
// applies fn again to the newer body. A nil or null result deletes the document.
// The update is applied at most once for an op, however often and from whichever
// entry it is requested, as long as the document keeps the op.
//
// A nil error means that the update is in the store. With plat.ErrUnknown it may
// be there or may still take effect later. With every other error it is not and
// won't be: fn's own error, plat.ErrUnavailable, plat.ErrTooLarge,
// plat.ErrConflict after too many conflicts, ErrKey.
func (c *Cache) Update(ctx context.Context, key, op string, fn func(body json.RawMessage) (json.RawMessage, error)) (Doc, error) {
	if !c.isWritable(key) {
		return Doc{}, fmt.Errorf("update %s: %w", key, ErrKey)
	}
	if d, ok := find(c.view.Load().docs, key); ok && d.HasOp(op) {
		return d, nil
	}
	u := &update{c: c, key: key, op: op, fn: fn, unansweredRev: noRev, checkedRev: -1}
	for rounds := 0; ; rounds++ {
		doc, done, err := u.runRound(ctx)
		if done {
			return doc, u.wrap(err)
		}
		if sleepErr := c.sleep(ctx, plat.Backoff(rounds, c.random())); sleepErr != nil {
			return Doc{}, u.wrap(u.giveUpError(sleepErr))
		}
	}
}

// UpdateAll applies several functions to a document in one write. A function
// that fails leaves the body as it was; its error is in the slice at its index,
// and the other functions are still applied. Nothing is written when all fail.
// The second result is Update's error; if it is not nil, the slice is
// meaningless. The functions must be deterministic, since they may be applied
// again.
func (c *Cache) UpdateAll(ctx context.Context, key, op string, fns []func(body json.RawMessage) (json.RawMessage, error)) ([]error, error) {
	errs := make([]error, len(fns))
	_, err := c.Update(ctx, key, op, func(body json.RawMessage) (json.RawMessage, error) {
		applied := false
		for i, fn := range fns {
			next, err := fn(body)
			errs[i] = err
			if err == nil {
				body, applied = next, true
			}
		}
		if !applied {
			return nil, errNoneApplied
		}
		return body, nil
	})
	if errors.Is(err, errNoneApplied) {
		err = nil
	}
	return errs, err
}

var errNoneApplied = errors.New("no function applied")

// Delete deletes a document. Its revision is incremented and kept, so that no
// replica restores the document. Errors are those of Update.
func (c *Cache) Delete(ctx context.Context, key, op string) error {
	_, err := c.Update(ctx, key, op, func(json.RawMessage) (json.RawMessage, error) { return nil, nil })
	return err
}

// update is the state of one call of Update.
type update struct {
	c       *Cache
	key, op string
	fn      func(body json.RawMessage) (json.RawMessage, error)
	// unansweredRev is the store revision that a write without an answer is
	// conditional on: the write can take effect for as long as the key stays at
	// that revision. It is noRev when there is no such write.
	unansweredRev int64
	conflicts     int
	// checkedRev is the highest document revision that was read and did not
	// contain the op; no update up to it had the op. It is -1 before the first
	// read.
	checkedRev int64
	// foundBehind is true once the service was found at a lower revision than the
	// replica.
	foundBehind bool
}

func (u *update) wrap(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("update %s: %w", u.key, err)
}

// giveUpError returns the error of an update that ends early because of cause.
func (u *update) giveUpError(cause error) error {
	if u.unansweredRev != noRev {
		return fmt.Errorf("%w: %w", plat.ErrUnknown, textOnly(cause))
	}
	return fmt.Errorf("%w: %w", plat.ErrUnavailable, cause)
}

// textOnly returns an error with the same text that matches no other error, for
// a cause whose type would promise more than is known of the update.
func textOnly(err error) error { return errors.New(err.Error()) }

// runRound reads the document, checks it and writes it once. With done the update
// has ended.
func (u *update) runRound(ctx context.Context) (doc Doc, done bool, err error) {
	if err := u.c.awaitUpdatePause(ctx); err != nil {
		return Doc{}, true, u.giveUpError(err)
	}
	ctx, err = u.c.reserve(ctx)
	if err != nil {
		return u.handleFailure(ctx, err)
	}
	base, storeRev, behind, err := u.c.readNewest(ctx, u.key)
	if err != nil {
		return u.handleFailure(ctx, err)
	}
	if behind && !u.foundBehind {
		u.foundBehind = true
		u.c.recordRollback()
		return Doc{}, false, nil
	}
	if base.HasOp(u.op) {
		return base, true, nil
	}
	if done, err := u.checkEarlierRounds(base, storeRev); done {
		return Doc{}, true, err
	}
	return u.write(ctx, base, storeRev)
}

// checkEarlierRounds decides whether an earlier round's write may have taken
// effect, for a document that does not list the op. A write without an answer can
// no longer take effect once the key's store revision has changed. If more updates
// were made since the last round than a document keeps ids of, the op may have
// been among them.
func (u *update) checkEarlierRounds(base Doc, storeRev int64) (done bool, err error) {
	if u.checkedRev >= 0 && base.rev > u.checkedRev+maxOps {
		return true, fmt.Errorf("%w: too many updates since", plat.ErrUnknown)
	}
	u.checkedRev = base.rev
	if u.unansweredRev != storeRev {
		u.unansweredRev = noRev
	}
	if u.unansweredRev == noRev && u.conflicts >= maxConflicts {
		return true, fmt.Errorf("%w: %d times", plat.ErrConflict, u.conflicts)
	}
	return false, nil
}

func (u *update) write(ctx context.Context, base Doc, storeRev int64) (doc Doc, done bool, err error) {
	value, next, err := u.apply(base)
	if err != nil {
		if u.unansweredRev != noRev {
			err = u.giveUpError(err)
		}
		return Doc{}, true, err
	}
	_, err = u.c.put(ctx, u.key, value, storeRev, "")
	u.c.recordContact(err)
	switch {
	case err == nil:
		u.c.mergeDocs(true, next)
		return next, true, nil
	case errors.Is(err, plat.ErrConflict):
		u.conflicts++
		return Doc{}, false, nil
	case errors.Is(err, plat.ErrUnknown):
		u.unansweredRev = storeRev
		return Doc{}, false, nil
	}
	return u.handleFailure(ctx, err)
}

func (u *update) apply(base Doc) ([]byte, Doc, error) {
	var held json.RawMessage
	if !base.Deleted() {
		held = base.body
	}
	body, err := u.fn(held)
	if err != nil {
		return nil, Doc{}, err
	}
	next, err := base.withUpdate(u.op, body)
	if err != nil {
		return nil, Doc{}, err
	}
	value, err := next.Encode()
	return value, next, err
}

// handleFailure handles a call that failed without writing. While the outcome of an
// earlier write is unknown, the update is tried again until ctx ends.
func (u *update) handleFailure(ctx context.Context, err error) (Doc, bool, error) {
	if ctx.Err() != nil {
		return Doc{}, true, u.giveUpError(ctx.Err())
	}
	if u.unansweredRev != noRev {
		return Doc{}, false, nil
	}
	if errors.Is(err, plat.ErrUnknown) {
		// The call was a read, which changes nothing; write handles this error
		// of a write.
		err = fmt.Errorf("%w: %w", plat.ErrUnavailable, textOnly(err))
	}
	return Doc{}, true, err
}

// readNewest reads a document from the store. It returns the newer of the stored
// document and the one held when the read began, the store revision, 0 for a key
// that does not exist, and whether the stored document is older than the held
// one.
func (c *Cache) readNewest(ctx context.Context, key string) (d Doc, storeRev int64, behind bool, err error) {
	held, _ := find(c.view.Load().docs, key)
	held.key = key
	it, err := c.get(ctx, key)
	c.recordContact(err)
	if errors.Is(err, plat.ErrNotFound) {
		return held, 0, held.rev > 0, nil
	}
	if err != nil {
		return Doc{}, 0, false, err
	}
	d, err = Decode(key, it.Value)
	if err != nil {
		c.malformed.Add(1)
		return Doc{}, 0, false, err
	}
	if held.rev > d.rev {
		return held, it.Rev, true, nil
	}
	c.mergeDocs(true, d)
	return d, it.Rev, false, nil
}

// awaitUpdatePause waits until the pause of updates after a rollback has passed.
func (c *Cache) awaitUpdatePause(ctx context.Context) error {
	left := time.Unix(0, c.updatesPausedUntil.Load()).Sub(c.clock.Now())
	if left <= 0 {
		return nil
	}
	return c.sleep(ctx, left)
}
