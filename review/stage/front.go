package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"shallotpaddle/fakes"
)

// front is the store as one entry reaches it. The store can turn the entry away.
type front struct {
	next http.Handler
	kv   *fakes.KV

	mu     sync.Mutex
	away   bool
	silent bool          // calls while away, and those that wait, get no answer instead of a 503
	cut    chan struct{} // closed when the entry is turned away
	leases []int64       // that were granted to the entry
}

func newFront(next http.Handler, kv *fakes.KV) *front {
	return &front{next: next, kv: kv, cut: make(chan struct{})}
}

// answerTime is added to the 2 ms of fakes.KV: the users' store takes 4 ms an answer.
const answerTime = 2 * time.Millisecond

// ServeHTTP serves one call of the entry. Calls that wait are cut when the entry is turned away.
func (f *front) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	away, silent, cut := f.away, f.silent, f.cut
	f.mu.Unlock()
	switch {
	case away && silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case away:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(answerTime)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	if r.URL.Path != "/-/kv-lease" {
		f.serveUncut(ctx, rw, r)
		return
	}
	copied := &copier{ResponseWriter: rw}
	f.next.ServeHTTP(copied, r.WithContext(ctx))
	var got struct{ Lease int64 }
	if json.Unmarshal(copied.body.Bytes(), &got) == nil && got.Lease != 0 {
		f.mu.Lock()
		f.leases = append(f.leases, got.Lease)
		f.mu.Unlock()
	}
}

// serveUncut serves a call. If it was cut and the store is silent, it gets no answer, while its channel
// stays open.
func (f *front) serveUncut(ctx context.Context, rw http.ResponseWriter, r *http.Request) {
	defer func() {
		if v := recover(); v != nil {
			f.mu.Lock()
			silent := f.silent
			f.mu.Unlock()
			if silent {
				<-r.Context().Done()
			}
			panic(v)
		}
	}()
	f.next.ServeHTTP(rw, r.WithContext(ctx))
}

// copier keeps a copy of a response's body.
type copier struct {
	http.ResponseWriter
	body bytes.Buffer
}

// Write writes to the response and to the copy.
func (c *copier) Write(b []byte) (int, error) {
	c.body.Write(b)
	return c.ResponseWriter.Write(b)
}

// turnAway rejects the entry's calls for a time, and takes away the keys of its leases at once.
func (f *front) turnAway(d time.Duration, silent bool) {
	f.mu.Lock()
	f.away, f.silent = true, silent
	close(f.cut)
	leases := f.leases
	f.leases = nil
	f.mu.Unlock()
	for _, id := range leases {
		f.kv.EndLease(id)
	}
	time.Sleep(d)
	f.mu.Lock()
	f.away, f.cut = false, make(chan struct{})
	f.mu.Unlock()
}

// dropKeys gives the entry no answer for a time, and takes away the keys of its leases at once, while
// the leases last.
func (f *front) dropKeys(d time.Duration) {
	f.mu.Lock()
	leases := append([]int64(nil), f.leases...)
	f.away, f.silent = true, true
	close(f.cut)
	f.mu.Unlock()
	time.Sleep(10 * time.Millisecond) // calls that wait end before
	for _, prefix := range []string{"seat/lead/", "seat/node/"} {
		items, _, err := f.kv.List(context.Background(), prefix)
		if err != nil {
			continue
		}
		for _, it := range items {
			if f.holds(it.Value, leases) {
				f.kv.Delete(it.Key)
			}
		}
	}
	time.Sleep(d)
	f.mu.Lock()
	f.away, f.cut = false, make(chan struct{})
	f.mu.Unlock()
}

// holds reports whether a leader's key names one of the leases.
func (f *front) holds(value []byte, leases []int64) bool {
	var v struct {
		Lease int64 `json:"lease"`
	}
	return json.Unmarshal(value, &v) == nil && slices.Contains(leases, v.Lease)
}
