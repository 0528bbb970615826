package plat_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"shallotpaddle/fakes"
	"shallotpaddle/plat"
	"shallotpaddle/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// longTimeout bounds a call that is answered.
	longTimeout = time.Minute
	// shortTimeout bounds a call that is answered only after slowDelay.
	shortTimeout = 100 * time.Millisecond
	slowDelay    = table.Duration(time.Minute)
)

// testEnv has a client of a fake platform with one key, one lease and one host.
type testEnv struct {
	p     *fakes.Platform
	c     *plat.Client
	rev   int64
	lease string
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	e := &testEnv{p: fakes.NewPlatform(func(string) {})}
	e.p.SetHosts([]plat.Host{{Name: "h1", State: plat.StateLive}})
	var err error
	e.rev, err = e.p.Store().Put("a/k", []byte("v"), 0, "")
	require.NoError(t, err)
	e.lease = e.p.Store().Grant(time.Hour, time.Now())
	srv := httptest.NewServer(e.p)
	e.c = plat.New(srv.URL)
	e.c.SetTimeout(longTimeout)
	t.Cleanup(func() { e.c.Close(); srv.CloseClientConnections(); srv.Close() })
	return e
}

// method is a method of the client with its calls for each case of TestContract.
type method struct {
	name  string
	call  func(ctx context.Context, e *testEnv) error
	class string // class of the call in fakes.Fault
	// write tells that a lost answer leaves the effect unknown.
	write bool
	// conflict and missing are nil where the case does not exist.
	conflict, missing func(ctx context.Context, e *testEnv) error
}

var methods = []method{
	{
		name: "get", class: "get",
		call:    func(ctx context.Context, e *testEnv) error { _, err := e.c.Get(ctx, "a/k"); return err },
		missing: func(ctx context.Context, e *testEnv) error { _, err := e.c.Get(ctx, "a/none"); return err },
	},
	{
		name: "put", class: "put", write: true,
		call: func(ctx context.Context, e *testEnv) error {
			_, err := e.c.Put(ctx, "a/k", []byte("w"), e.rev, "")
			return err
		},
		conflict: func(ctx context.Context, e *testEnv) error {
			_, err := e.c.Put(ctx, "a/k", []byte("w"), 0, "")
			return err
		},
		missing: func(ctx context.Context, e *testEnv) error {
			_, err := e.c.Put(ctx, "a/l", []byte("w"), 0, "none")
			return err
		},
	},
	{
		name: "delete", class: "delete", write: true,
		call:     func(ctx context.Context, e *testEnv) error { return e.c.Delete(ctx, "a/k", e.rev) },
		conflict: func(ctx context.Context, e *testEnv) error { return e.c.Delete(ctx, "a/k", e.rev+1) },
		missing:  func(ctx context.Context, e *testEnv) error { return e.c.Delete(ctx, "a/none", 1) },
	},
	{
		name: "list", class: "list",
		call: func(ctx context.Context, e *testEnv) error { _, _, err := e.c.List(ctx, "a/"); return err },
	},
	{
		name: "watch", class: "watch",
		call: func(ctx context.Context, e *testEnv) error { _, _, err := e.c.Watch(ctx, "a/", 0, 0); return err },
	},
	{
		name: "grant", class: "lease", write: true,
		call: func(ctx context.Context, e *testEnv) error { _, err := e.c.Grant(ctx, time.Minute); return err },
	},
	{
		name: "renew", class: "lease", write: true,
		call:    func(ctx context.Context, e *testEnv) error { return e.c.Renew(ctx, e.lease) },
		missing: func(ctx context.Context, e *testEnv) error { return e.c.Renew(ctx, "none") },
	},
	{
		name: "revoke", class: "lease", write: true,
		call: func(ctx context.Context, e *testEnv) error { return e.c.Revoke(ctx, e.lease) },
	},
	{
		name: "hosts", class: "hosts",
		call: func(ctx context.Context, e *testEnv) error { _, err := e.c.Hosts(ctx); return err },
	},
	{
		name: "reboot", class: "reboot", write: true,
		call:    func(ctx context.Context, e *testEnv) error { return e.c.Reboot(ctx, "h1", "op") },
		missing: func(ctx context.Context, e *testEnv) error { return e.c.Reboot(ctx, "none", "op") },
	},
}

// effects returns how many calls of the class took effect.
func (e *testEnv) effects(class string) int64 { return e.p.Seen().Classes[class] }

func TestContract(t *testing.T) {
	faults := []struct {
		name  string
		fault fakes.Fault
		want  error
		// effect is the number of calls that the platform served.
		effect int64
	}{
		{"ok", fakes.Fault{Kind: fakes.FaultSlow}, nil, 1},
		{"429", fakes.Fault{Kind: fakes.FaultThrottle}, plat.ErrThrottled, 0},
		{"503", fakes.Fault{Kind: fakes.FaultDown}, plat.ErrUnavailable, 0},
		{"slow past timeout", fakes.Fault{Kind: fakes.FaultLate, Delay: slowDelay}, plat.ErrUnknown, 1},
		{"cut before effect", fakes.Fault{Kind: fakes.FaultCut}, plat.ErrUnknown, 0},
		{"cut after effect", fakes.Fault{Kind: fakes.FaultDrop}, plat.ErrUnknown, 1},
	}
	for _, m := range methods {
		for _, f := range faults {
			t.Run(m.name+"/"+f.name, func(t *testing.T) {
				e := newTestEnv(t)
				if f.fault.Kind == fakes.FaultLate {
					e.c.SetTimeout(shortTimeout)
				}
				f.fault.Class = m.class
				e.p.SetFaults(f.fault)
				err := m.call(context.Background(), e)
				require.ErrorIs(t, err, f.want)
				require.Equal(t, f.effect, e.effects(m.class))
				if errors.Is(err, plat.ErrUnavailable) {
					require.NotErrorIs(t, err, plat.ErrUnknown)
				}
			})
		}
		for name, c := range map[string]struct {
			call func(ctx context.Context, e *testEnv) error
			want error
		}{"conflict": {m.conflict, plat.ErrConflict}, "missing": {m.missing, plat.ErrNotFound}} {
			if c.call != nil {
				t.Run(m.name+"/"+name, func(t *testing.T) {
					require.ErrorIs(t, c.call(context.Background(), newTestEnv(t)), c.want)
				})
			}
		}
	}
}

func TestContractRefusedConnection(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	e := &testEnv{c: plat.New(srv.URL)}
	for _, m := range methods {
		require.ErrorIs(t, m.call(context.Background(), e), plat.ErrUnavailable, m.name)
	}
}

func TestContractSizes(t *testing.T) {
	e := newTestEnv(t)
	ctx := context.Background()
	full := []byte(strings.Repeat("x", plat.MaxValue))
	_, err := e.c.Put(ctx, "a/full", full, 0, "")
	require.NoError(t, err)
	it, err := e.c.Get(ctx, "a/full")
	require.NoError(t, err)
	require.Equal(t, full, it.Value)
	_, err = e.c.Put(ctx, "a/over", append(full, 'x'), 0, "")
	require.ErrorIs(t, err, plat.ErrTooLarge)
	_, err = e.c.Get(ctx, "a/over")
	require.ErrorIs(t, err, plat.ErrNotFound)
}

func TestWatchCompacted(t *testing.T) {
	e := newTestEnv(t)
	e.p.Store().Compact()
	_, _, err := e.c.Watch(context.Background(), "a/", 0, 0)
	require.ErrorIs(t, err, plat.ErrCompacted)
}

func TestStatusErrors(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusNotFound:              plat.ErrNotFound,
		http.StatusConflict:              plat.ErrConflict,
		http.StatusGone:                  plat.ErrCompacted,
		http.StatusRequestEntityTooLarge: plat.ErrTooLarge,
		http.StatusTooManyRequests:       plat.ErrThrottled,
		http.StatusServiceUnavailable:    plat.ErrUnavailable,
		http.StatusInternalServerError:   plat.ErrUnknown,
		http.StatusBadGateway:            plat.ErrUnknown,
	} {
		c := plat.New("http://plat")
		c.SetTransport(handlerTransport{http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })})
		for _, m := range methods {
			require.ErrorIs(t, m.call(context.Background(), &testEnv{c: c}), want, "%s: %d", m.name, status)
		}
	}
}
