package cache

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"shallotpaddle/plat"
)

const (
	// renewalsPerTTL is how often a lease is renewed within its ttl.
	renewalsPerTTL = 3
	// revokeTimeout bounds the revocation of the lease when Register returns.
	revokeTimeout = time.Second
)

// Register keeps the key entry/NAME under a lease of ttl until ctx ends, then
// revokes the lease and returns nil. It registers again when the lease has expired
// or the key is gone, at once when the watch shows it. It must be called only
// once. No other entry may use the name: a registration that exists under it is
// replaced. ErrMalformed is returned for a body that is not JSON.
func (c *Cache) Register(ctx context.Context, name string, body json.RawMessage, ttl time.Duration) error {
	d, err := Doc{key: c.prefix + entryPrefix + name}.withUpdate("", body)
	if err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	ctx = plat.WithClass(ctx, plat.Config)
	c.mu.Lock()
	c.ownKey = d.key
	c.mu.Unlock()
	var lease string
	for failures := 0; ctx.Err() == nil; {
		lease, err = c.ensureRegistered(ctx, d, ttl, lease)
		pause := ttl / renewalsPerTTL
		if err != nil {
			failures++
			pause = plat.Backoff(failures, c.random())
		} else {
			failures = 0
		}
		if !c.awaitRenewal(ctx, pause) {
			break
		}
	}
	if lease == "" {
		return nil
	}
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	// An error is ignored: a lease that is not revoked expires.
	_ = c.revoke(revokeCtx, lease)
	return nil
}

// awaitRenewal waits for d, or until the registration is lost. It returns false
// when ctx has ended.
func (c *Cache) awaitRenewal(ctx context.Context, d time.Duration) bool {
	t := c.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.registrationLost:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// ensureRegistered renews the lease, or gets a new one, and writes the registration
// if it is missing. It returns the lease, empty when a new one must be granted.
func (c *Cache) ensureRegistered(ctx context.Context, d Doc, ttl time.Duration, lease string) (string, error) {
	if lease != "" {
		err := c.renew(ctx, lease)
		c.recordContact(err)
		if errors.Is(err, plat.ErrNotFound) {
			lease = ""
		} else if err != nil {
			return lease, err
		}
	}
	if _, ok := c.Get(d.key); ok && lease != "" {
		return lease, nil
	}
	if lease == "" {
		var err error
		lease, err = c.grant(ctx, ttl)
		c.recordContact(err)
		if err != nil {
			return "", err
		}
	}
	return lease, c.putRegistration(ctx, d, lease)
}

// putRegistration writes the registration under the lease and replaces an
// existing one.
func (c *Cache) putRegistration(ctx context.Context, d Doc, lease string) error {
	value, err := d.Encode()
	if err != nil {
		return err
	}
	it, err := c.get(ctx, d.key)
	c.recordContact(err)
	if err != nil && !errors.Is(err, plat.ErrNotFound) {
		return err
	}
	_, err = c.put(ctx, d.key, value, it.Rev, lease)
	c.recordContact(err)
	return err
}
