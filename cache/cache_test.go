package cache

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"shallotpaddle/fakes"
	"shallotpaddle/plat"
)

// TestMain sets the seed and the number of runs of the model test; flags override
// them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// startCaches starts a fake platform and n caches that follow it until the test
// ends.
func startCaches(t *testing.T, n int) (*fakes.Platform, []*Cache) {
	t.Helper()
	p := fakes.NewPlatform(func(string) {})
	srv := httptest.NewServer(p)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, n)
	caches := make([]*Cache, n)
	clients := make([]*plat.Client, n)
	for i := range caches {
		clients[i] = plat.New(srv.URL)
		caches[i] = New(clients[i], "fleet/", quartz.NewReal())
		go func() { done <- caches[i].Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range caches {
			require.NoError(t, <-done)
		}
		for _, c := range clients {
			c.Close()
		}
		srv.Close()
	})
	return p, caches
}

// startIdle starts a fake platform and returns it with a cache that does not follow
// it and whose clock does not advance.
func startIdle(t *testing.T) (*fakes.Platform, *Cache) {
	t.Helper()
	p := fakes.NewPlatform(func(string) {})
	srv := httptest.NewServer(p)
	client := plat.New(srv.URL)
	t.Cleanup(func() { client.Close(); srv.Close() })
	return p, New(client, "fleet/", quartz.NewMock(t).WithLogger(quartz.NoOpLogger))
}

func add(n int) func(json.RawMessage) (json.RawMessage, error) {
	return func(body json.RawMessage) (json.RawMessage, error) {
		var have int
		if body != nil {
			if err := json.Unmarshal(body, &have); err != nil {
				return nil, err
			}
		}
		return json.RawMessage(strconv.Itoa(have + n)), nil
	}
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 10*time.Second, 5*time.Millisecond)
}

func TestUpdateReachesEveryReplica(t *testing.T) {
	_, caches := startCaches(t, 2)
	ctx := context.Background()
	_, err := caches[0].Update(ctx, "fleet/conf", "a", add(1))
	require.NoError(t, err)
	d, err := caches[1].Update(ctx, "fleet/conf", "b", add(2))
	require.NoError(t, err)
	require.Equal(t, int64(2), d.Rev())
	again, err := caches[0].Update(ctx, "fleet/conf", "b", add(2))
	require.NoError(t, err)
	require.Equal(t, d, again)
	for _, c := range caches {
		eventually(t, func() bool { d, _ := c.Get("fleet/conf"); return string(d.Body()) == "3" })
	}
	errFn := errors.New("no")
	_, err = caches[0].Update(ctx, "fleet/conf", "c", func(json.RawMessage) (json.RawMessage, error) { return nil, errFn })
	require.ErrorIs(t, err, errFn)
	_, err = caches[0].Update(ctx, "fleet/entry/a", "c", add(1))
	require.ErrorIs(t, err, ErrKey)
}

func TestRegister(t *testing.T) {
	p, caches := startCaches(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- caches[0].Register(ctx, "e1", json.RawMessage(`{"addr":"x"}`), time.Minute) }()
	eventually(t, func() bool { return len(caches[1].Registered()) == 1 })
	require.Equal(t, []string{"e1"}, caches[1].Registered())
	d, ok := caches[1].Get("fleet/entry/e1")
	require.True(t, ok)
	require.JSONEq(t, `{"addr":"x"}`, string(d.Body()))
	cancel()
	require.NoError(t, <-done)
	eventually(t, func() bool { return len(caches[1].Registered()) == 0 })
	_, writes := p.Calls()
	require.Equal(t, int64(3), writes)
}
