package once

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"shallotpaddle/fakes"
	"shallotpaddle/plat"
)

// TestGroupCommit shows that all records of one interval are committed in one
// write.
func TestGroupCommit(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	clock := testClock(t)
	l := NewLedger(newMemory().scripted(&[]fault{}), clock, "a", "1")
	require.NoError(t, l.Open(ctx))
	trap := clock.Trap().NewTimer()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { l.Run(ctx) })
	_, err := l.Accept(ctx, Job{})
	require.NoError(t, err)
	before := l.Commits()
	var group sync.WaitGroup
	for range 100 {
		group.Go(func() {
			_, err := l.Accept(ctx, Job{})
			assert.NoError(t, err)
		})
	}
	require.Eventually(t, func() bool { return l.log.queueLen() == 100 }, time.Minute, time.Millisecond)
	trap.MustWait(ctx).MustRelease(ctx)
	trap.Close()
	clock.Advance(DefaultInterval).MustWait(ctx)
	group.Wait()
	require.Equal(t, before+1, l.Commits())
}

// TestWithdrawn shows that a record whose caller has given up before the commit
// is never written, and that the number of queued records is bounded.
func TestWithdrawn(t *testing.T) {
	s := newMemory().scripted(&[]fault{})
	l := testLedger(t, s, "a")
	l.log.requestCommit = func() {}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range maxQueued + 1 {
		_, err := l.Accept(ctx, Job{})
		require.True(t, NotRecorded(err))
	}
	require.Zero(t, l.log.queueLen())
	for range maxQueued {
		_, err := l.log.enqueue(record{Op: opDrop}, appendOptions{})
		require.NoError(t, err)
	}
	_, err := l.Accept(ctx, Job{})
	require.ErrorIs(t, err, ErrBusy)
	for l.log.queueLen() > 0 {
		require.NoError(t, l.log.flush(t.Context()))
	}
	require.Empty(t, l.Jobs(func(*Job) bool { return true }))
}

// TestNoTurn shows that new jobs are refused at once when the write rate is
// used up, and that outcomes are retried.
func TestNoTurn(t *testing.T) {
	s := newMemory().scripted(&[]fault{})
	refusals := 0
	s.Wait = func(ctx context.Context) (context.Context, error) {
		if refusals--; refusals >= 0 {
			return ctx, plat.ErrUnavailable
		}
		return ctx, nil
	}
	l := testLedger(t, s, "a")
	j, err := l.Accept(t.Context(), Job{})
	require.NoError(t, err)
	refusals = 1
	_, err = l.Accept(t.Context(), Job{})
	require.True(t, NotRecorded(err))
	refusals = 3
	require.NoError(t, l.Finish(t.Context(), j.ID, Outcome{State: Failed}))
}

// TestLateStart shows that a start that becomes durable after its caller was
// told plat.ErrUnknown is taken back.
func TestLateStart(t *testing.T) {
	l := testLedger(t, newMemory().scripted(&[]fault{}), "a")
	j, err := l.Accept(t.Context(), Job{})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	requestCommit, ops := l.log.requestCommit, []*appendOp(nil)
	l.log.requestCommit = func() { // the caller gives up while the write is in progress
		ops = l.log.takeBatch()
		cancel()
	}
	_, err = l.Start(ctx, j.ID, "h", "b")
	require.ErrorIs(t, err, plat.ErrUnknown)
	l.log.requestCommit = requestCommit
	require.NoError(t, l.log.writeBatch(t.Context(), ops))
	l.log.finishBatch(ops, nil)
	got, err := l.Job(j.ID)
	require.NoError(t, err)
	require.Equal(t, Accepted, got.State)
	_, err = l.Start(t.Context(), j.ID, "h", "b")
	require.NoError(t, err)
}

// TestPlatform runs the ledger and claims over HTTP, losing the answer of every
// third write after it has taken effect.
func TestPlatform(t *testing.T) {
	p := fakes.NewPlatform(func(string) {})
	var writes atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && writes.Add(1)%3 == 0 {
			p.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		p.ServeHTTP(w, r)
	}))
	defer srv.Close()
	client := plat.New(srv.URL)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	store, clock := NewStore(client, nil), quartz.NewReal()
	a, b := NewLedger(store, clock, "a", "1"), NewLedger(store, clock, "b", "1")
	c := NewClaims(store, clock, "a-1", 2)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, l := range []*Ledger{a, b} {
		l.SetInterval(time.Millisecond)
		require.NoError(t, l.Open(ctx))
		wg.Go(func() { l.Run(ctx) })
	}
	c.SetInterval(time.Millisecond)
	wg.Go(func() { c.Run(ctx) })

	var group sync.WaitGroup
	for i := range 50 {
		group.Go(func() {
			j, err := a.Accept(ctx, Job{})
			assert.NoError(t, err)
			_, err = a.Start(ctx, j.ID, "h", "b")
			assert.NoError(t, err)
			assert.NoError(t, a.Finish(ctx, j.ID, Outcome{State: Done}))
			r := Request{Key: string(rune('0' + i)), Token: c.Token(), Holder: "a-1"}
			got, err := c.Claim(ctx, r)
			assert.NoError(t, err)
			assert.Equal(t, New, got.State)
			assert.NoError(t, c.Settle(ctx, r, &Result{Status: 200}))
		})
	}
	group.Wait()
	require.NoError(t, a.Handover(ctx))
	got, err := b.Adopt(ctx, "a-1")
	require.NoError(t, err)
	require.Equal(t, 50, got.Ended)
}
