package route

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/admit"
)

// enqueue queues work without dispatching it.
func (b *harness) enqueue(kind string) (*workOrder, *slotRequest) {
	o, err := b.resolve(b.work("w", kind))
	require.NoError(b.t, err)
	req, err := o.pool.enqueue(o.item)
	require.NoError(b.t, err)
	return o, req
}

func (r *slotRequest) granted() bool {
	select {
	case <-r.ready:
		return true
	default:
		return false
	}
}

// Work for four slots must not block work for one slot while no host has four
// free slots, and must not starve either.
func TestMultiSlotWork(t *testing.T) {
	b := newHarness(t, []string{"r1", "r2"}, 4)
	var running []*slotRequest
	for range 6 {
		_, req := b.enqueue("once")
		require.True(t, req.granted())
		running = append(running, req)
	}
	_, multi := b.enqueue("wide")
	require.False(t, multi.granted(), "two slots are free, but no host has four")
	p := b.pool("p")
	var waiting []*slotRequest
	for range 100 {
		_, req := b.enqueue("once")
		waiting = append(waiting, req)
	}
	require.True(t, waiting[0].granted())
	require.True(t, waiting[1].granted(), "work for one slot is not blocked")
	// The oldest run ends each 100 ms.
	for n := 0; !multi.granted(); n++ {
		require.Less(t, n, int(reserveAfter/(100*time.Millisecond))+10, "work for four slots starves")
		for len(waiting) > 0 && waiting[0].granted() {
			running, waiting = append(running, waiting[0]), waiting[1:]
		}
		require.NotEmpty(t, running)
		b.clock.Advance(100 * time.Millisecond).MustWait(t.Context())
		p.release(running[0], time.Millisecond)
		running = running[1:]
	}
	p.release(multi, time.Millisecond)
	for len(waiting) > 0 {
		require.True(t, waiting[0].granted() || len(running) > 0)
		for len(waiting) > 0 && waiting[0].granted() {
			running, waiting = append(running, waiting[0]), waiting[1:]
		}
		p.release(running[0], time.Millisecond)
		running = running[1:]
	}
	for _, req := range running {
		p.release(req, time.Millisecond)
	}
	b.requireFree()
}

// No host is reserved for low-ranked work that takes several slots while work
// of the first rank waits.
func TestMultiSlotWorkWaitsItsTurn(t *testing.T) {
	b := newHarness(t, []string{"r1", "r2"}, 4)
	low := b.work("w", "wide")
	low.Customer = "z"
	var running, waiting []*slotRequest
	for range 40 {
		_, req := b.enqueue("once")
		waiting = append(waiting, req)
	}
	o, err := b.resolve(low)
	require.NoError(t, err)
	multi, err := o.pool.enqueue(o.item)
	require.NoError(t, err)
	for len(waiting) > 0 {
		for len(waiting) > 0 && waiting[0].granted() {
			running, waiting = append(running, waiting[0]), waiting[1:]
		}
		require.False(t, multi.granted() && len(waiting) > 0)
		require.True(t, len(running) == 8 || len(waiting) == 0, "%d of 8 slots in use", len(running))
		b.clock.Advance(100 * time.Millisecond).MustWait(t.Context())
		o.pool.release(running[0], time.Second)
		running = running[1:]
	}
	for _, req := range running {
		o.pool.release(req, time.Second)
	}
	require.True(t, multi.granted())
}

// The reservation of a host ends when the work that it is for is cancelled.
func TestMultiSlotWorkCancelled(t *testing.T) {
	b := newHarness(t, []string{"r1"}, 4)
	_, first := b.enqueue("once")
	o, multi := b.enqueue("wide")
	b.clock.Advance(reserveAfter).MustWait(t.Context())
	_, single := b.enqueue("once")
	require.False(t, single.granted(), "the host is reserved")
	require.True(t, o.pool.cancelWait(multi))
	o.pool.tick()
	require.True(t, single.granted())
	o.pool.release(first, 0)
	o.pool.release(single, 0)
	b.requireFree()
}

func TestWithdrawnPool(t *testing.T) {
	b := newHarness(t, []string{"r1"}, 1)
	o, req := b.enqueue("once")
	idle, err := b.resolve(b.work("w", "once"))
	require.NoError(t, err)
	b.SetView(&View{Serving: true})
	require.NotNil(t, b.pool("p"), "work is in flight")
	o.pool.release(req, 0)
	b.SetView(&View{Serving: true})
	require.Nil(t, b.pool("p"))
	_, err = b.run(t.Context(), idle, nil)
	require.ErrorIs(t, err, ErrNotRun)
}

// A task that ends while its lease is being renewed leaves no renewal behind.
func TestLeaseStopsDuringRenewal(t *testing.T) {
	b := newHarness(t, []string{"r1"}, 1)
	received, answer := make(chan struct{}), make(chan struct{})
	b.answerRenewal = func(http.ResponseWriter) {
		received <- struct{}{}
		<-answer
	}
	l := b.renewLease(&slotRequest{host: b.hosts[0]}, "w")
	done := b.clock.Advance(LeaseTime / 3)
	<-received
	l.stop()
	close(answer)
	done.MustWait(t.Context())
	_, pending := b.clock.Peek()
	require.False(t, pending, "no renewal is scheduled")

	b.answerRenewal = func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) }
	l = b.renewLease(&slotRequest{host: b.hosts[0]}, "w")
	b.clock.Advance(LeaseTime / 3).MustWait(t.Context())
	_, pending = b.clock.Peek()
	require.False(t, pending, "the worker does not know the task")
	l.stop()
}

// No worker of a pool answers, as the probes of one round fell into a cut. Work that
// waits is refused after two rounds, new work at once, until a worker answers; durable
// work waits on.
func TestPoolWithoutWorkersRefusesWork(t *testing.T) {
	b := newHarness(t, []string{"r1"}, 1)
	b.setHosts(nil)
	waiting := make(chan error, 1)
	go func() { waiting <- b.do("waiting", "once") }()
	durable := make(chan error, 1)
	go func() {
		w := b.work("durable", "once")
		w.Durable = true
		a, err := b.Do(t.Context(), w, nil)
		if err == nil {
			err = a.Body.Close()
		}
		durable <- err
	}()
	for b.Stats()["p"].Waiting < 2 {
		require.NoError(t, t.Context().Err())
	}
	b.clock.Advance(noHostsGrace - time.Millisecond)
	b.pool("p").tick()
	require.Empty(t, waiting)
	b.clock.Advance(time.Millisecond)
	b.pool("p").tick()
	for _, err := range []error{<-waiting, b.do("new", "once")} {
		require.ErrorIs(t, err, ErrNotRun)
		require.ErrorIs(t, err, ErrNoWorker)
		require.Equal(t, noHostsRetryAfter, admit.RetryAfter(err))
	}
	require.Empty(t, b.dispatches())
	b.setHosts(b.hosts)
	require.NoError(t, <-durable)
	require.NoError(t, b.do("again", "once"))
	b.requireFree()
}

// An entry that is held up at its start has no result of a probe for longer than
// noHostsGrace. Work must wait: the workers have not been asked. The grace begins with the
// first results.
func TestUnprobedPoolKeepsWork(t *testing.T) {
	b := newHarness(t, []string{"r1"}, 1)
	b.setPool(PoolView{Name: "p", Unprobed: true})
	o, waiting := b.enqueue("once")
	b.clock.Advance(2 * noHostsGrace)
	o.pool.tick()
	require.False(t, waiting.granted(), "neither dispatched nor refused")
	require.NoError(t, b.admitOrder(o))

	b.setPool(PoolView{Name: "p"})
	b.clock.Advance(noHostsGrace - time.Millisecond)
	o.pool.tick()
	require.False(t, waiting.granted())
	b.clock.Advance(time.Millisecond)
	o.pool.tick()
	require.ErrorIs(t, waiting.notRun(), ErrNoWorker)
	require.ErrorIs(t, b.admitOrder(o), ErrNoWorker)
}
