package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotpaddle/plat"
)

// Platform serves a Store, a list of hosts and reboots over HTTP. It limits the
// rate of calls and injects faults.
type Platform struct {
	store      *Store
	serviceMux *http.ServeMux // the calls of the platform's protocol
	controlMux *http.ServeMux // all paths, including the control calls of tests
	faults     *injector
	now        func() time.Time

	mu          sync.Mutex
	hostLists   []hostList // present and earlier lists, oldest first
	reboot      func(host string)
	rebootOps   map[string]bool // operation IDs of reboot orders
	savedStates map[string]*storeState
}

// NewPlatform returns a platform with an empty store and no hosts. It calls reboot
// once for each operation ID of a reboot order.
func NewPlatform(reboot func(host string)) *Platform {
	p := &Platform{
		store: NewStore(), serviceMux: http.NewServeMux(), controlMux: http.NewServeMux(), faults: newInjector(),
		now: time.Now, reboot: reboot, rebootOps: map[string]bool{}, savedStates: map[string]*storeState{},
	}
	p.addControl(p.controlMux)
	p.controlMux.HandleFunc("/", p.serveCounted)
	p.serviceMux.HandleFunc("GET /kv/{key...}", p.get)
	p.serviceMux.HandleFunc("PUT /kv/{key...}", p.put)
	p.serviceMux.HandleFunc("DELETE /kv/{key...}", p.remove)
	p.serviceMux.HandleFunc("GET /list", p.list)
	p.serviceMux.HandleFunc("GET /watch", p.watch)
	p.serviceMux.HandleFunc("POST /lease", p.grant)
	p.serviceMux.HandleFunc("PUT /lease/{id}", p.renew)
	p.serviceMux.HandleFunc("DELETE /lease/{id}", p.revoke)
	p.serviceMux.HandleFunc("GET /hosts", p.listHosts)
	p.serviceMux.HandleFunc("POST /hosts/{name}/reboot", p.rebootHost)
	return p
}

// SetNow replaces the clock. It must be called before the first call is served.
func (p *Platform) SetNow(now func() time.Time) { p.now = now }

// Store returns the platform's store.
func (p *Platform) Store() *Store { return p.store }

// SetDown removes all faults and, if down is true, makes every call be answered
// with 503.
func (p *Platform) SetDown(down bool) {
	p.SetFaults()
	if down {
		p.SetFaults(Fault{Kind: FaultDown})
	}
}

// Calls returns the number of reads and writes that were carried out, as in Seen.
func (p *Platform) Calls() (reads, writes int64) {
	s := p.Seen()
	return s.Reads, s.Writes
}

// ServeHTTP serves one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.controlMux.ServeHTTP(w, r) }

// serveCounted serves a call of the platform's protocol, subject to the rate limits
// and the active faults.
func (p *Platform) serveCounted(w http.ResponseWriter, r *http.Request) {
	matched, ok := p.faults.admit(classify(r), p.now())
	if !ok {
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return
	}
	p.store.Expire(p.now())
	p.serve(w, r.WithContext(withLag(r.Context(), matched)), matched)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	item, err := p.store.Get(r.PathValue("key"))
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Rev", strconv.FormatInt(item.Rev, 10))
	_, _ = w.Write(item.Value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, plat.MaxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	prev, err := strconv.ParseInt(r.FormValue("prev"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rev, err := p.store.Put(r.PathValue("key"), body, prev, r.URL.Query().Get("lease"))
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, struct {
		Rev int64 `json:"rev"`
	}{rev})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	prev, err := strconv.ParseInt(r.FormValue("prev"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.store.Delete(r.PathValue("key"), prev); err != nil {
		fail(w, err)
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	items, rev := p.store.List(r.FormValue("prefix"))
	replyItems(w, items, rev)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, err1 := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, err2 := time.ParseDuration(r.FormValue("wait"))
	if err := errors.Join(err1, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		items, rev, changed, err := p.store.changesAfter(r.FormValue("prefix"), after)
		switch {
		case err != nil:
			fail(w, err)
			return
		case len(items) > 0, rev < after:
			replyItems(w, items, rev)
			return
		case !p.await(r.Context(), changed, end.C, wait):
			replyItems(w, nil, rev)
			return
		}
	}
}

// await waits for a change or the expiry of a lease, at most for limit; it returns
// false when the watch has ended or its caller has gone.
func (p *Platform) await(ctx context.Context, changed <-chan struct{}, end <-chan time.Time, limit time.Duration) bool {
	leaseEnd := time.NewTimer(p.store.untilLeaseEnd(p.now(), limit))
	defer leaseEnd.Stop()
	select {
	case <-changed:
	case <-leaseEnd.C:
		p.store.Expire(p.now())
	case <-end:
		return false
	case <-ctx.Done():
		return false
	}
	return true
}

func (p *Platform) grant(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.FormValue("ttl"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, struct {
		ID string `json:"id"`
	}{p.store.Grant(ttl, p.now())})
}

func (p *Platform) renew(w http.ResponseWriter, r *http.Request) {
	if !p.store.Renew(r.PathValue("id"), p.now()) {
		fail(w, errNotFound)
	}
}

func (p *Platform) revoke(_ http.ResponseWriter, r *http.Request) {
	p.store.Revoke(r.PathValue("id"))
}

func (p *Platform) listHosts(w http.ResponseWriter, r *http.Request) {
	b, err := json.Marshal(struct {
		Hosts []plat.Host `json:"hosts"`
	}{p.hostsAt(p.now().Add(-lagOf(r.Context())))})
	if err != nil {
		fail(w, err)
		return
	}
	etag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(b))
	w.Header().Set("Etag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func (p *Platform) rebootHost(w http.ResponseWriter, r *http.Request) {
	op := r.FormValue("op")
	if !p.isListed(r.PathValue("name")) {
		fail(w, errNotFound)
		return
	}
	p.mu.Lock()
	isNew := !p.rebootOps[op]
	p.rebootOps[op] = true
	p.mu.Unlock()
	if isNew {
		p.faults.recordReboot(r.PathValue("name"))
		p.reboot(r.PathValue("name"))
	}
	w.WriteHeader(http.StatusAccepted)
}

// fail answers with the status that stands for an error of the Store.
func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, errCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, errNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// reply answers with v as JSON.
func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func replyItems(w http.ResponseWriter, items []plat.Item, rev int64) {
	reply(w, struct {
		Rev   int64       `json:"rev"`
		Items []plat.Item `json:"items"`
	}{rev, items})
}
