package endpt_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/endpt"
)

// pipes is a listener whose connections stay in the process.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case p.conns <- theirs:
		return ours, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Calls to a worker share one connection. Those that waited for it until their time-out
// say nothing about the worker while it answers the others; if it answers none, or not the
// one that was sent, they do.
func TestCallsThatWaitedAreNoSilence(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		// replies are the worker's times for the calls in the order in which they come;
		// there is no reply to further ones.
		replies  []time.Duration
		calls    int
		answered int
		busy     int // failed with ErrBusy
	}{
		{"slow worker", []time.Duration{600 * ms, 600 * ms, 600 * ms}, 8, 3, 5},
		{"silent worker", nil, 8, 0, 0},
		{"silent after the first reply", []time.Duration{900 * ms}, 2, 1, 0},
		{"one reply that is too late", []time.Duration{2500 * ms}, 1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answered, busy := callPiped(t, c.replies, c.calls)
				require.Equal(t, c.answered, answered)
				require.Equal(t, c.busy, busy)
			})
		})
	}
}

// callPiped makes calls at the same time to a worker with the given times of replies, and
// returns how many were answered and how many failed with ErrBusy.
func callPiped(t *testing.T, replies []time.Duration, calls int) (answered, busy int) {
	ln := newPipes()
	var n atomic.Int64
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i := int(n.Add(1)) - 1
		if i >= len(replies) {
			<-r.Context().Done()
			return
		}
		select {
		case <-time.After(replies[i]):
		case <-r.Context().Done():
			return
		}
		_, _ = w.Write([]byte(`{"state":"running"}`))
	})}
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	client := endpt.New(4)
	client.SetControlDial(ln.dial)
	defer client.Close()
	results := make(chan error, calls)
	for range calls {
		go func() {
			_, _, err := client.State(t.Context(), "worker", "t")
			results <- err
		}()
	}
	for range calls {
		err := <-results
		switch {
		case err == nil:
			answered++
		case errors.Is(err, endpt.ErrBusy):
			busy++
		}
	}
	return answered, busy
}
