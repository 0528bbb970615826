package route

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"shallotpaddle/admit"
	"shallotpaddle/endpt"
	"shallotpaddle/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// received is a task that reached a worker.
type received struct{ id, rack, host string }

// harness is a router with scripted workers, one per host.
type harness struct {
	*Router
	t     *testing.T
	clock *quartz.Mock
	// serve answers the n-th dispatch, counted from 0 across all workers.
	serve         func(n int, w http.ResponseWriter, r *http.Request)
	answerRenewal func(w http.ResponseWriter) // answers lease renewals

	mu    sync.Mutex
	seen  []received
	hosts []HostView
}

func newHarness(t *testing.T, racks []string, slots int) *harness {
	b := &harness{t: t, clock: quartz.NewMock(t).WithLogger(quartz.NoOpLogger), serve: answerOK}
	client := endpt.New(64)
	for i, rack := range racks {
		h := HostView{Name: string(rune('a' + i)), Rack: rack, Slots: slots}
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.handle(h, w, r) }))
		t.Cleanup(srv.Close)
		h.Addr = strings.TrimPrefix(srv.URL, "http://")
		b.hosts = append(b.hosts, h)
	}
	t.Cleanup(client.Close)
	b.Router = New(b.clock, client, func(Record) {})
	b.setHosts(b.hosts)
	return b
}

func (b *harness) handle(h HostView, w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		b.answerRenewal(w)
		return
	}
	b.mu.Lock()
	n := len(b.seen)
	b.seen = append(b.seen, received{r.Header.Get("Task"), h.Rack, h.Name})
	b.mu.Unlock()
	w.Header().Set("Task", r.Header.Get("Task"))
	b.serve(n, w, r)
}

func (b *harness) dispatches() []received {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]received(nil), b.seen...)
}

func (b *harness) setHosts(hosts []HostView) { b.setPool(PoolView{Name: "p", Hosts: hosts}) }

func (b *harness) setPool(p PoolView) {
	b.SetView(&View{
		Serving: true,
		Pools:   map[string]PoolView{p.Name: p},
		Queues:  map[string]QueueView{"q": {Spec: table.QueueSpec{Name: "q", Pool: "p"}}},
		Customers: map[string]table.CustomerSpec{
			"c": {Name: "c", Rank: 1}, "z": {Name: "z", Rank: 99},
		},
		Jobs: map[string]table.JobSpec{
			"read": {Name: "read", Queue: "q", Idempotent: true, Attempts: 3},
			"once": {Name: "once", Queue: "q", Attempts: 3},
			"wide": {Name: "wide", Queue: "q", Slots: 4},
		},
	})
}

func (b *harness) work(id, kind string) Work {
	return Work{ID: id, Queue: "q", Customer: "c", Kind: kind}
}

// do runs work and reads its answer to the end.
func (b *harness) do(id, kind string) error {
	a, err := b.Do(b.t.Context(), b.work(id, kind), nil)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(a.Body)
	return errors.Join(err, a.Body.Close(), a.Body.Close())
}

// requireFree requires that every slot has been released exactly once.
func (b *harness) requireFree() {
	b.t.Helper()
	p := b.pool("p")
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := 0
	for _, h := range p.hosts {
		slots += h.Slots
	}
	require.Equal(b.t, slots, p.picker.Free(b.clock.Now().Add(time.Hour)))
	require.Zero(b.t, p.queue.Held())
	require.Empty(b.t, p.running)
	require.Empty(b.t, p.waiting)
	require.Zero(b.t, b.Active())
}

func answerOK(_ int, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }

func abortConnection(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func cutAnswer(_ int, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "9")
	_, _ = io.WriteString(w, "x")
}

func refuseAs(why string) func(int, http.ResponseWriter, *http.Request) {
	return func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Refused", why)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func TestRetry(t *testing.T) {
	for _, tc := range []struct {
		name, kind string
		serve      func(int, http.ResponseWriter, *http.Request)
		want       error
		n          int  // number of dispatches
		oneID      bool // all dispatches use the same task id
	}{
		{"answered", "once", answerOK, nil, 1, true},
		{"cut, idempotent", "read", abortConnection, nil, 2, false},
		{"cut, not idempotent", "once", abortConnection, ErrUnknown, 1, true},
		{"answer cut, idempotent", "read", cutAnswer, ErrUnknown, 1, true},
		{"full, not idempotent", "once", refuseAs("full"), nil, 2, true},
		{"full, idempotent", "read", refuseAs("full"), nil, 2, false},
		{"leaving, not idempotent", "once", refuseAs("leaving"), nil, 2, true},
		{"duplicate, not idempotent", "once", refuseAs("duplicate"), ErrUnknown, 1, true},
		{"duplicate, idempotent", "read", refuseAs("duplicate"), nil, 2, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newHarness(t, []string{"r1", "r1", "r1", "r2"}, 2)
			b.serve = func(n int, w http.ResponseWriter, r *http.Request) {
				if n == 0 {
					tc.serve(n, w, r)
					return
				}
				answerOK(n, w, r)
			}
			err := b.do("w", tc.kind)
			if tc.want == nil {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, tc.want)
			}
			seen := b.dispatches()
			require.Len(t, seen, tc.n)
			if tc.n == 2 {
				require.Equal(t, tc.oneID, seen[0].id == seen[1].id)
				require.NotEqual(t, seen[0].host, seen[1].host)
			}
			b.requireFree()
		})
	}
}

// The first dispatch of each request fails; the retry must use another rack.
func TestRetryGoesToAnotherRack(t *testing.T) {
	b := newHarness(t, []string{"r1", "r1", "r1", "r2", "r2", "r2"}, 2)
	b.serve = func(n int, w http.ResponseWriter, r *http.Request) {
		if n%2 == 0 {
			abortConnection(n, w, r)
		}
		answerOK(n, w, r)
	}
	for range admit.RetryBurst {
		require.NoError(t, b.do("w", "read"))
	}
	seen := b.dispatches()
	for i := 0; i < len(seen); i += 2 {
		require.NotEqual(t, seen[i].rack, seen[i+1].rack)
	}
	b.requireFree()
}

// When all workers fail everything, the retry budget limits the extra
// dispatches.
func TestRetryBudget(t *testing.T) {
	b := newHarness(t, []string{"r1", "r2", "r3"}, 8)
	b.serve = abortConnection
	const requests = 60
	for range requests {
		require.ErrorIs(t, b.do("w", "read"), ErrUnknown)
	}
	require.Len(t, b.dispatches(), requests+admit.RetryBurst)
	b.requireFree()
}

func TestAttempts(t *testing.T) {
	b := newHarness(t, []string{"r1", "r2", "r3", "r4", "r5"}, 8)
	b.serve = abortConnection
	require.ErrorIs(t, b.do("w", "read"), ErrUnknown)
	require.Len(t, b.dispatches(), 3)
}

// Callers cancel while slots become free. No slot may be lost or released
// twice, and work reported as not run must not have been dispatched.
func TestCallersGiveUp(t *testing.T) {
	b := newHarness(t, []string{"r1"}, 1)
	for range 100 {
		first, err := b.Do(t.Context(), b.work("first", "once"), nil)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error)
		go func() {
			a, err := b.Do(ctx, b.work("second", "once"), nil)
			if err == nil {
				err = a.Body.Close()
			}
			result <- err
		}()
		for b.Stats()["p"].Waiting == 0 {
			require.NoError(t, t.Context().Err())
		}
		before := len(b.dispatches())
		go cancel()
		require.NoError(t, first.Body.Close())
		if err := <-result; errors.Is(err, ErrNotRun) {
			require.ErrorIs(t, err, ErrCancelled)
			require.Len(t, b.dispatches(), before)
		}
		b.requireFree()
	}
}

// A host that leaves the pool between the grant and the dispatch gets no task.
func TestStaleGrant(t *testing.T) {
	for _, leave := range []bool{true, false} {
		b := newHarness(t, []string{"r1"}, 1)
		o, err := b.resolve(b.work("w", "once"))
		require.NoError(t, err)
		req, err := o.pool.enqueue(o.item)
		require.NoError(t, err)
		<-req.ready
		b.clock.Advance(2 * grantRecheckAge).MustWait(t.Context())
		if leave {
			b.setHosts(nil)
		}
		a, again, err := b.attempt(t.Context(), o, req, nil, 1)
		require.NoError(t, err)
		if !leave {
			require.NoError(t, a.Body.Close())
			continue
		}
		require.NotNil(t, again)
		req = o.pool.requeue(req, again.workerFull)
		require.Empty(t, b.dispatches())
		require.True(t, o.pool.cancelWait(req))
		b.requireFree()
	}
}

func TestDueTimes(t *testing.T) {
	b := newHarness(t, []string{"r1"}, 1)
	late := b.work("late", "once")
	late.Due = b.clock.Now()
	_, err := b.Do(t.Context(), late, nil)
	require.ErrorIs(t, err, ErrInvalid)

	first, err := b.Do(t.Context(), b.work("first", "once"), nil)
	require.NoError(t, err)
	trap := b.clock.Trap().NewTimer()
	result := make(chan error)
	go func() {
		w := b.work("second", "once")
		w.Due = b.clock.Now().Add(time.Minute)
		_, err := b.Do(t.Context(), w, nil)
		result <- err
	}()
	trap.MustWait(t.Context()).MustRelease(t.Context())
	trap.Close()
	b.clock.Advance(time.Minute).MustWait(t.Context())
	err = <-result
	require.ErrorIs(t, err, ErrNotRun)
	require.ErrorIs(t, err, ErrOverdue)
	require.NoError(t, first.Body.Close())
	require.Len(t, b.dispatches(), 1)
	b.requireFree()
}

func TestStop(t *testing.T) {
	b := newHarness(t, []string{"r1"}, 1)
	first, err := b.Do(t.Context(), b.work("first", "once"), nil)
	require.NoError(t, err)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, int64(1), b.Stop(ended), "work in flight is counted")
	_, err = b.Do(t.Context(), b.work("second", "once"), nil)
	require.ErrorIs(t, err, ErrNotRun)
	require.ErrorIs(t, err, ErrStopping)
	got, err := io.ReadAll(first.Body)
	require.NoError(t, err)
	require.Equal(t, "x", string(got), "work in flight is not cut off")
	require.Zero(t, b.Stop(ended))
	b.requireFree()
}
