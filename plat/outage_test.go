package plat_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/quartz"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/plat"
)

// handlerTransport passes requests to a handler in the caller's goroutine.
type handlerTransport struct{ h http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	if r.Body == nil {
		r.Body = http.NoBody
	}
	rec := httptest.NewRecorder()
	t.h.ServeHTTP(rec, r)
	return rec.Result(), nil
}

// TestOutageEndsWithoutStampede checks that all entries together stay below half of the
// service's rates when an outage ends, although each calls as often as it can in every
// class before, during and after the outage.
func TestOutageEndsWithoutStampede(t *testing.T) {
	const (
		step   = 40 * time.Millisecond
		outage = 5 * time.Second
		after  = 5 * time.Second
	)
	for _, n := range []int{9, 64} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
			p := fakes.NewPlatform(func(string) {})
			p.SetNow(func() time.Time { return clock.Now() })
			clients := make([]*plat.Client, n)
			for i := range clients {
				clients[i] = plat.NewGuarded("http://plat", clock, metrics.NewRegistry())
				clients[i].SetTransport(handlerTransport{p})
				clients[i].SetRates(plat.RatesPerEntry(n))
				clients[i].RefuseAtOnce()
				clients[i].SetRandom(rand.New(rand.NewPCG(1, uint64(i))).Float64)
			}
			answered := make([]int, n)
			callFor := func(d time.Duration) {
				for range d / step {
					clock.Advance(step)
					for i, c := range clients {
						answered[i] += callAll(c, i)
					}
				}
			}
			callFor(2 * time.Second)
			p.SetDown(true)
			callFor(outage)
			p.SetDown(false)
			p.ResetPeak()
			clear(answered)
			callFor(after)
			seen := p.Seen()
			require.Less(t, seen.Peak["write"], plat.ServiceWrites/2)
			require.Less(t, seen.Peak["read"], plat.ServiceReads/2)
			require.Zero(t, seen.Refused)
			require.NotContains(t, answered, 0, "every entry is answered again")
			t.Logf("%d entries, peak calls a second after the outage: %v", n, seen.Peak)
		})
	}
}

// callAll makes a read and a write in each class and returns how many of them were
// answered.
func callAll(c *plat.Client, i int) int {
	answered := 0
	for class := plat.Config; class <= plat.Rest; class++ {
		ctx := plat.WithClass(context.Background(), class)
		key := fmt.Sprintf("k/%d/%d", i, class)
		if _, _, err := c.List(ctx, key); err == nil {
			answered++
		}
		if _, err := c.Put(ctx, key, nil, 0, ""); err == nil {
			answered++
		}
	}
	return answered
}

func TestGuardCounts(t *testing.T) {
	reg := metrics.NewRegistry()
	p := fakes.NewPlatform(func(string) {})
	clock := quartz.NewMock(t)
	c := plat.NewGuarded("http://plat", clock, reg)
	c.SetTransport(handlerTransport{p})
	c.RefuseAtOnce()
	c.SetRates(8, 8)
	clock.Advance(time.Minute)
	ctx := plat.WithClass(context.Background(), plat.Config)
	for range 2 {
		_, err := c.Put(ctx, "k", nil, 0, "")
		require.NotErrorIs(t, err, plat.ErrUnavailable)
	}
	_, err := c.Put(ctx, "k", nil, 0, "")
	require.ErrorIs(t, err, plat.ErrThrottled)
	p.SetDown(true)
	_, err = c.Get(ctx, "k")
	require.ErrorIs(t, err, plat.ErrUnavailable)
	count := func(name string) int64 { return reg.Get(name).(metrics.Counter).Count() }
	require.Equal(t, int64(3), count("plat.calls.config"))
	require.Equal(t, int64(1), count("plat.refused"))
	require.Equal(t, int64(1), count("plat.failed"))
	require.Equal(t, int64(2), reg.Get("plat.latency").(metrics.Histogram).Count())
}

func TestReserve(t *testing.T) {
	p := fakes.NewPlatform(func(string) {})
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	c := plat.NewGuarded("http://plat", clock, metrics.NewRegistry())
	c.SetTransport(handlerTransport{p})
	c.RefuseAtOnce()
	c.SetRates(1, 10)
	clock.Advance(time.Minute)
	ctx, err := c.ReserveWrite(context.Background())
	require.NoError(t, err)
	_, err = c.ReserveWrite(context.Background())
	require.ErrorIs(t, err, plat.ErrThrottled)
	_, err = c.Get(ctx, "k")
	require.ErrorIs(t, err, plat.ErrNotFound)
	_, err = c.Put(ctx, "k", nil, 0, "")
	require.NoError(t, err)
	_, err = c.Put(ctx, "l", nil, 0, "")
	require.ErrorIs(t, err, plat.ErrThrottled, "one write is reserved")
}
