package fakes_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/plat"
)

// servePlatform serves a platform whose clock only changes when the test sets *now.
func servePlatform(t *testing.T) (p *fakes.Platform, c *plat.Client, now *time.Time, base string) {
	t.Helper()
	p = fakes.NewPlatform(func(string) {})
	at := time.Unix(1e9, 0)
	now = &at
	p.SetNow(func() time.Time { return *now })
	srv := httptest.NewServer(p)
	c = plat.New(srv.URL)
	t.Cleanup(func() { c.Close(); srv.Close() })
	return p, c, now, srv.URL
}

func postFault(t *testing.T, base, body string, status int) {
	t.Helper()
	res, err := http.Post(base+"/fault", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, status, res.StatusCode)
}

func TestRates(t *testing.T) {
	p, c, now, _ := servePlatform(t)
	ctx := context.Background()
	p.SetRates(2, 3)
	for second := 1; second <= 2; second++ {
		for i := range 4 {
			_, err := c.Get(ctx, "k")
			require.Equal(t, i >= 3, errors.Is(err, plat.ErrThrottled), "read %d", i)
			err = c.Revoke(ctx, "none")
			require.Equal(t, i >= 2, errors.Is(err, plat.ErrThrottled), "write %d", i)
		}
		require.Equal(t, int64(3*second), p.Seen().Refused)
		*now = now.Add(time.Second)
	}
	require.Equal(t, map[string]int{"read": 4, "write": 4}, p.Seen().Peak)
	reads, writes := p.Calls()
	require.Equal(t, []int64{6, 4}, []int64{reads, writes})
}

func TestFaultsByClassAndPrefix(t *testing.T) {
	p, c, _, base := servePlatform(t)
	ctx := context.Background()
	postFault(t, base, `{"set":[{"kind":"down","class":"write","prefix":"a/"},{"kind":"throttle","class":"list","prefix":"b/x","count":1}]}`, 200)
	_, err := c.Put(ctx, "a/k", nil, 0, "")
	require.ErrorIs(t, err, plat.ErrUnavailable)
	_, err = c.Put(ctx, "b/k", nil, 0, "")
	require.NoError(t, err)
	_, err = c.Get(ctx, "a/k")
	require.ErrorIs(t, err, plat.ErrNotFound)
	_, _, err = c.List(ctx, "a/")
	require.NoError(t, err)
	_, _, err = c.List(ctx, "b/")
	require.ErrorIs(t, err, plat.ErrThrottled)
	_, _, err = c.List(ctx, "b/")
	require.NoError(t, err, "the count is used up")
	require.Equal(t, map[string]int64{"down": 1, "throttle": 1}, p.Seen().Faults)
	postFault(t, base, `{"set":[]}`, 200)
	_, err = c.Put(ctx, "a/k", nil, 0, "")
	require.NoError(t, err)
	postFault(t, base, `{"set":[{"kind":"unheard"}]}`, 400)
	postFault(t, base, `{"unheard":1}`, 400)
	postFault(t, base, `{"restore":"unheard"}`, 404)
}

func TestRollback(t *testing.T) {
	_, c, _, base := servePlatform(t)
	ctx := context.Background()
	_, err := c.Put(ctx, "k", []byte("1"), 0, "")
	require.NoError(t, err)
	postFault(t, base, `{"save":"s"}`, 200)
	_, err = c.Put(ctx, "k", []byte("2"), 1, "")
	require.NoError(t, err)
	postFault(t, base, `{"restore":"s"}`, 200)
	it, err := c.Get(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, plat.Item{Key: "k", Value: []byte("1"), Rev: 1}, it)
	_, rev, err := c.Watch(ctx, "", 2, time.Minute)
	require.NoError(t, err, "a watch after a revision that was rolled back returns at once")
	require.Equal(t, int64(1), rev)
}

func TestHostListLags(t *testing.T) {
	p, c, now, base := servePlatform(t)
	p.SetHosts([]plat.Host{{Name: "old"}})
	*now = now.Add(10 * time.Second)
	p.SetHosts([]plat.Host{{Name: "new"}})
	for lag, want := range map[string]string{"0s": "new", "5s": "old", "1h": "old"} {
		postFault(t, base, `{"set":[{"kind":"lag","class":"hosts","delay":"`+lag+`"}]}`, 200)
		hosts, err := c.Hosts(context.Background())
		require.NoError(t, err)
		require.Equal(t, want, hosts[0].Name, lag)
	}
}

func TestLeaseEndWakesWatch(t *testing.T) {
	p := fakes.NewPlatform(func(string) {})
	var elapsed atomic.Int64
	p.SetNow(func() time.Time { return time.Unix(1e9, elapsed.Load()) })
	srv := httptest.NewServer(p)
	defer srv.Close()
	c := plat.New(srv.URL)
	defer c.Close()
	ctx := context.Background()
	lease, err := c.Grant(ctx, 10*time.Millisecond)
	require.NoError(t, err)
	rev, err := c.Put(ctx, "k", nil, 0, lease)
	require.NoError(t, err)
	got := make(chan []plat.Item)
	go func() {
		items, _, _ := c.Watch(ctx, "", rev, time.Minute)
		got <- items
	}()
	require.Eventually(t, func() bool { return p.Seen().Classes["watch"] == 1 }, 10*time.Second, time.Millisecond)
	elapsed.Store(int64(time.Second))
	require.Equal(t, []plat.Item{{Key: "k", Rev: rev + 1, Deleted: true}}, <-got)
}

func TestSeenAndHostsOverHTTP(t *testing.T) {
	p, c, _, base := servePlatform(t)
	req, err := http.NewRequest(http.MethodPut, base+"/hosts", strings.NewReader(`{"hosts":[{"name":"h","addr":"x:1"}]}`))
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, "x:1", p.AddrOf("h"))
	for range 2 {
		require.NoError(t, c.Reboot(context.Background(), "h", "op"))
	}
	res, err = http.Get(base + "/seen")
	require.NoError(t, err)
	defer res.Body.Close()
	var seen fakes.Seen
	require.NoError(t, json.NewDecoder(res.Body).Decode(&seen))
	require.Equal(t, []string{"h"}, seen.Reboots)
	require.Equal(t, int64(2), seen.Classes["reboot"])
}
