package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
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
	away, cut := f.away, f.cut
	f.mu.Unlock()
	if away {
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
		f.next.ServeHTTP(rw, r.WithContext(ctx))
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
func (f *front) turnAway(d time.Duration) {
	f.mu.Lock()
	f.away = true
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
