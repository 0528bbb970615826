package cache

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/plat"
)

// mustIncrement adds 1 to the document fleet/conf.
func mustIncrement(t *testing.T, c *Cache, op string) Doc {
	t.Helper()
	d, err := c.Update(context.Background(), "fleet/conf", op, add(1))
	require.NoError(t, err)
	return d
}

// rev returns the revision of fleet/conf that the cache holds.
func rev(c *Cache) int64 {
	d, _ := c.Get("fleet/conf")
	return d.Rev()
}

func TestRolledBackStoreIsBroughtForward(t *testing.T) {
	p, caches := startCaches(t, 3)
	mustIncrement(t, caches[0], "1")
	p.Save("s")
	mustIncrement(t, caches[0], "2")
	last := mustIncrement(t, caches[0], "3")
	for _, c := range caches {
		eventually(t, func() bool { return rev(c) == 3 })
	}
	p.Restore("s")
	eventually(t, func() bool {
		it, err := p.Store().Get("fleet/conf")
		require.NoError(t, err)
		d, err := Decode("fleet/conf", it.Value)
		require.NoError(t, err)
		require.GreaterOrEqual(t, rev(caches[1]), int64(3))
		return d.rev == 3 && d.isSameUpdate(last)
	})
	d := mustIncrement(t, caches[2], "4")
	require.Equal(t, int64(4), d.Rev())
	require.Equal(t, "4", string(d.Body()))
}

// TestUpdateOnRolledBackStore checks that an update detects a rollback of the store
// by itself, without a watch.
func TestUpdateOnRolledBackStore(t *testing.T) {
	p, c := startIdle(t)
	mustIncrement(t, c, "1")
	p.Save("s")
	mustIncrement(t, c, "2")
	p.Restore("s")
	var slept []time.Duration
	c.sleep = func(_ context.Context, d time.Duration) error { slept = append(slept, d); return nil }
	d := mustIncrement(t, c, "3")
	require.Equal(t, int64(3), d.Rev())
	require.Equal(t, "3", string(d.Body()))
	require.Equal(t, int64(1), c.Stats().Rollbacks)
	require.Contains(t, slept, updatePause, "the update waits for other entries")
}

func TestForkIsCounted(t *testing.T) {
	for _, later := range []int{2, 3, maxOps - 1} {
		p, a := startIdle(t)
		b := New(plat.New(""), "fleet/", a.clock)
		b.get, b.put = a.get, a.put
		mustIncrement(t, a, "1")
		p.Save("s")
		mustIncrement(t, a, "2")
		mustIncrement(t, a, "3")
		p.Restore("s")
		for i := range later {
			mustIncrement(t, b, fmt.Sprintf("b%d", i))
		}
		require.Zero(t, b.Stats())
		d := mustIncrement(t, a, "4")
		require.Equal(t, int64(later+2), d.Rev())
		require.Equal(t, Stats{Forks: 1}, a.Stats())
	}
}

func TestRevisionsNeverFall(t *testing.T) {
	_, c := startIdle(t)
	old := mustIncrement(t, c, "1")
	value, err := old.Encode()
	require.NoError(t, err)
	mustIncrement(t, c, "2")
	lower := plat.Item{Key: "fleet/conf", Value: value, Rev: 99}
	for name, offer := range map[string]func(){
		"watch":    func() { c.applyWatch([]plat.Item{lower}) },
		"list":     func() { c.applyList([]plat.Item{lower}) },
		"absent":   func() { c.applyList(nil) },
		"deletion": func() { c.applyWatch([]plat.Item{{Key: "fleet/conf", Rev: 100, Deleted: true}}) },
		"garbage":  func() { c.applyWatch([]plat.Item{{Key: "fleet/conf", Value: []byte("x"), Rev: 101}}) },
		"peer":     func() { require.False(t, c.Merge(old)) },
	} {
		offer()
		require.Equal(t, int64(2), rev(c), name)
	}
	require.Equal(t, int64(1), c.Stats().Malformed)
}

func TestMergeBetweenEntries(t *testing.T) {
	_, a := startIdle(t)
	_, b := startIdle(t)
	mustIncrement(t, a, "1")
	wire, err := json.Marshal(a.Newer(b.Versions()))
	require.NoError(t, err)
	var docs []Doc
	require.NoError(t, json.Unmarshal(wire, &docs))
	require.Len(t, docs, 1)
	require.True(t, b.Merge(docs[0]))
	require.False(t, b.Merge(docs[0]))
	require.Empty(t, a.Newer(b.Versions()))
	require.True(t, docs[0].HasOp("1"))
	require.False(t, b.Merge(Doc{key: "fleet/entry/x", rev: 1}), "registrations come from the store only")
	require.False(t, b.Merge(Doc{key: "other", rev: 1}))
	<-b.Changed()
}

func TestDeletedDocumentStaysDeleted(t *testing.T) {
	_, c := startIdle(t)
	old := mustIncrement(t, c, "1")
	require.NoError(t, c.Delete(context.Background(), "fleet/conf", "2"))
	_, ok := c.Get("fleet/conf")
	require.False(t, ok)
	c.Each("fleet/", func(d Doc) { t.Errorf("%s is listed", d.Key()) })
	require.False(t, c.Merge(old))
	d := mustIncrement(t, c, "3")
	require.Equal(t, int64(3), d.Rev())
	require.Equal(t, "1", string(d.Body()), "a deleted document starts from an empty body")
}

func TestUpdateTellsWhatIsKnown(t *testing.T) {
	drop := fakes.Fault{Kind: fakes.FaultDrop, Class: "put", Count: 1}
	down := fakes.Fault{Kind: fakes.FaultDown}
	for _, tc := range []struct {
		name   string
		faults []fakes.Fault
		want   error
		body   string // the document's body afterwards; empty if there must be none
	}{
		{"store down", []fakes.Fault{down}, plat.ErrUnavailable, ""},
		{"store refuses the write", []fakes.Fault{{Kind: fakes.FaultThrottle, Class: "put"}}, plat.ErrThrottled, ""},
		{"read lost", []fakes.Fault{{Kind: fakes.FaultDrop, Class: "get"}}, plat.ErrUnavailable, ""},
		{"one answer lost", []fakes.Fault{drop}, nil, "1"},
		{"one write lost before it took effect", []fakes.Fault{{Kind: fakes.FaultCut, Class: "put", Count: 1}}, nil, "1"},
		{"every answer lost", []fakes.Fault{{Kind: fakes.FaultDrop, Class: "put"}}, nil, "1"},
		{"every write lost", []fakes.Fault{{Kind: fakes.FaultCut, Class: "put"}}, plat.ErrUnknown, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, c := startIdle(t)
			p.SetFaults(tc.faults...)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			rounds := 0
			c.sleep = func(context.Context, time.Duration) error {
				if rounds++; rounds > 20 {
					cancel()
				}
				return ctx.Err()
			}
			_, err := c.Update(ctx, "fleet/conf", "op", add(1))
			require.ErrorIs(t, err, tc.want)
			p.SetFaults()
			it, _ := p.Store().Get("fleet/conf")
			if tc.body == "" {
				require.Zero(t, it.Rev)
				return
			}
			d, err := Decode("fleet/conf", it.Value)
			require.NoError(t, err)
			require.Equal(t, tc.body, string(d.Body()))
		})
	}
}

func TestOutageBreaksContact(t *testing.T) {
	p, caches := startCaches(t, 1)
	c := caches[0]
	eventually(t, func() bool { return !c.ContactSince().IsZero() })
	since := c.ContactSince()
	p.SetDown(true)
	eventually(t, func() bool { return c.ContactSince().IsZero() })
	require.False(t, c.Contact().IsZero())
	p.SetDown(false)
	eventually(t, func() bool { return c.ContactSince().After(since) })
}

func TestCompactedWatchListsAgain(t *testing.T) {
	p, caches := startCaches(t, 2)
	mustIncrement(t, caches[0], "1")
	p.Store().Compact()
	mustIncrement(t, caches[0], "2")
	eventually(t, func() bool { return rev(caches[1]) == 2 })
}

// TestLostRegistrationIsRenewedAtOnce uses leases so long that no renewal is due
// within the test.
func TestLostRegistrationIsRenewedAtOnce(t *testing.T) {
	for name, lose := range map[string]func(p *fakes.Platform){
		"lease ended": func(p *fakes.Platform) { p.Store().Revoke("1") },
		"rolled back": func(p *fakes.Platform) { p.Restore("empty") },
	} {
		t.Run(name, func(t *testing.T) {
			p, caches := startCaches(t, 1)
			p.Save("empty")
			c := caches[0]
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error)
			go func() { done <- c.Register(ctx, "e1", json.RawMessage(`1`), time.Hour) }()
			eventually(t, func() bool { return len(c.Registered()) == 1 })
			lose(p)
			eventually(t, func() bool {
				_, err := p.Store().Get("fleet/entry/e1")
				return err == nil && p.Seen().Classes["put"] == 2 && len(c.Registered()) == 1
			})
			cancel()
			require.NoError(t, <-done)
		})
	}
}

func TestUpdateAll(t *testing.T) {
	p, c := startIdle(t)
	ctx := context.Background()
	errFn := errors.New("no")
	no := func(json.RawMessage) (json.RawMessage, error) { return nil, errFn }
	type fns = []func(json.RawMessage) (json.RawMessage, error)
	errs, err := c.UpdateAll(ctx, "fleet/conf", "a", fns{add(1), no, add(2)})
	require.NoError(t, err)
	require.Equal(t, []error{nil, errFn, nil}, errs)
	d, _ := c.Get("fleet/conf")
	require.Equal(t, int64(1), d.Rev())
	require.Equal(t, "3", string(d.Body()))
	errs, err = c.UpdateAll(ctx, "fleet/conf", "b", fns{no, no})
	require.NoError(t, err)
	require.Equal(t, []error{errFn, errFn}, errs)
	require.Equal(t, int64(1), p.Seen().Classes["put"])
	p.SetDown(true)
	_, err = c.UpdateAll(ctx, "fleet/conf", "c", fns{add(1)})
	require.ErrorIs(t, err, plat.ErrUnavailable)
}

func TestDocEncoding(t *testing.T) {
	for _, body := range []string{`1`, `"` + strings.Repeat("<x>", 1000) + `"`, `null`} {
		d, err := Doc{key: "fleet/k"}.withUpdate("op", json.RawMessage(body))
		require.NoError(t, err)
		value, err := d.Encode()
		require.NoError(t, err)
		require.Less(t, len(value), maxPlainSize)
		got, err := Decode("fleet/k", value)
		require.NoError(t, err)
		require.Equal(t, d, got)
	}
	_, err := Doc{}.withUpdate("op", json.RawMessage(`{`))
	require.ErrorIs(t, err, ErrMalformed)
	for _, value := range []string{"", "{", `{"rev":0}`, "\x1f\x8bx", `{"rev":"x"}`} {
		_, err := Decode("fleet/k", []byte(value))
		require.ErrorIs(t, err, ErrMalformed, value)
	}
	var d Doc
	for i := range maxOps + 2 {
		d, err = d.withUpdate(fmt.Sprint(i), json.RawMessage(`1`))
		require.NoError(t, err)
	}
	require.False(t, d.HasOp("1"))
	require.True(t, d.HasOp("2"))
}

func FuzzDecode(f *testing.F) {
	long, err := Doc{key: "k", rev: 1, body: json.RawMessage(`"` + strings.Repeat("x", 2*maxPlainSize) + `"`)}.Encode()
	require.NoError(f, err)
	for _, value := range []string{`{"rev":1,"body":{}}`, `{"rev":2,"ops":["a"]}`, `{"rev":-1,"body":1}`, "\x1f\x8b", string(long)} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		d, err := Decode("k", value)
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			return
		}
		again, err := d.Encode()
		require.NoError(t, err)
		back, err := Decode("k", again)
		require.NoError(t, err)
		require.Equal(t, d.Rev(), back.Rev())
		require.JSONEq(t, string(d.Body()), string(back.Body()))
	})
}
