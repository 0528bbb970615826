package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"shallotpaddle/plat"
	"shallotpaddle/platform"
)

const (
	// cancelledPrefix is the prefix of the keys of cancellations whose jobs were not in the store.
	cancelledPrefix = "cancelled/"
	// minCancelledTime is the shortest time for which such a cancellation is kept.
	minCancelledTime = time.Minute
	// cancelledSlack is added to the time for which the state of an ended job is kept.
	cancelledSlack = 10 * time.Second
	// cancelledGap is the pause after a write of such cancellations: those that arrive
	// meanwhile share the next one.
	cancelledGap = 100 * time.Millisecond
	// maxCancelledBatch is the largest number of cancellations in one write.
	maxCancelledBatch = platform.MaxChanges
)

// errManyCancels is returned while more jobs are cancelled that are not in the store than it
// should be told about.
var errManyCancels = errors.New("too many cancellations of unknown jobs")

func cancelledKey(id string) string { return cancelledPrefix + id }

// cancelled stores cancellations of jobs that the store does not have. Their hand-ins may be
// under way: each is stored on condition that its job has no such cancellation. The keys
// have no lease, as the store may end the leases of an entry at any time; a sweeper removes them.
type cancelled struct {
	pause     func(ctx context.Context, d time.Duration)
	commit    func(ctx context.Context, t plat.Txn) ([]plat.Item, error)
	retention func() time.Duration // of the state of an ended job

	mu      sync.Mutex
	next    *cancelledBatch // to be written next, nil if none waits
	writing bool            // a goroutine writes batches
}

// cancelledBatch is a set of cancellations that share a write. err is set before done is closed.
type cancelledBatch struct {
	ids  []string
	done chan struct{}
	err  error
}

// keepTime returns how long a cancellation is kept at least.
func (c *cancelled) keepTime() time.Duration {
	return max(c.retention()+cancelledSlack, minCancelledTime)
}

// store returns once the cancellation of a job is stored: a hand-in of the job that is
// not stored by then never will be. It returns errManyCancels, with which nothing is stored,
// or another error if that is not known.
func (c *cancelled) store(ctx context.Context, id string) error {
	b := c.join(id)
	if b == nil {
		return errManyCancels
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return plat.ErrUnknown
	}
}

// join adds a job to the batch that is written next, or returns nil if that is full.
func (c *cancelled) join(id string) *cancelledBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &cancelledBatch{done: make(chan struct{})}
	}
	if len(c.next.ids) == maxCancelledBatch {
		return nil
	}
	c.next.ids = append(c.next.ids, id)
	if !c.writing {
		c.writing = true
		go c.write()
	}
	return c.next
}

// take returns the batch to write, or nil if there is none, after which nobody writes.
func (c *cancelled) take() *cancelledBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.next
	c.next = nil
	c.writing = b != nil
	return b
}

// write writes batches until none waits. A caller who gives up doesn't end a write that others
// wait for.
func (c *cancelled) write() {
	ctx := context.Background()
	for b := c.take(); b != nil; b = c.take() {
		b.err = c.put(ctx, b.ids)
		close(b.done)
		c.pause(ctx, cancelledGap)
	}
}

// put stores cancellations. The keys have no conditions: an earlier cancellation of the same job may
// be about to be removed.
func (c *cancelled) put(ctx context.Context, ids []string) error {
	t := plat.Txn{}
	for _, id := range ids {
		t.Puts = append(t.Puts, plat.Put{Key: cancelledKey(id), Value: []byte(`{}`)})
	}
	_, err := c.commit(ctx, t)
	return err
}

// onlyCancelled reports whether, of the keys in the items of a conflict, only the cancellation of a
// job exists, so that the job was not stored.
func onlyCancelled(items []plat.Item, id string) bool {
	found := false
	for _, it := range items {
		switch {
		case it.Rev == 0 || it.Deleted:
		case it.Key == cancelledKey(id):
			found = true
		default:
			return false
		}
	}
	return found
}
