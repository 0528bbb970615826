package site

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"shallotpaddle/plat"
	"shallotpaddle/platform"
)

// maxPage is the largest number of items in one answer to a list.
const maxPage = 500

// maxPageBytes is the size of the values in a page, in the form in which they were written.
const maxPageBytes = 1 << 20 * 3 / 4

// item is the wire format of a key with its value.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Deleted  bool `json:",omitempty"`
}

func toItems(in []plat.Item) []item {
	out := make([]item, 0, len(in))
	for _, i := range in {
		out = append(out, item{i.Key, i.Value, i.Rev, i.Deleted})
	}
	return out
}

// Calls that the store takes per second, as the users' settings state them. A renewal
// counts as a tenth of a read.
const (
	writesPerS = 400
	readsPerS  = 2000
	renewal    = 1
	wholeCall  = 10 * renewal
)

// newLimiter returns a limiter of calls, in tenths of a call.
func newLimiter(perS int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perS*wholeCall), perS*wholeCall)
}

// StoreHandler serves the store.
func (s *Site) StoreHandler() http.Handler {
	mux := http.NewServeMux()
	for path, c := range map[string]struct {
		limit  *rate.Limiter
		price  int
		handle http.HandlerFunc
	}{
		"GET /-/kv-key":               {s.reads, wholeCall, s.getKey},
		"GET /-/kv-range":             {s.reads, wholeCall, s.list},
		"GET /-/kv-watch":             {s.reads, wholeCall, s.watch},
		"POST /-/kv-txn":              {s.writes, wholeCall, s.commit},
		"POST /-/kv-lease":            {s.writes, wholeCall, s.grant},
		"POST /-/kv-keep/{id}":        {s.reads, renewal, s.renew},
		"DELETE /-/kv-lease-end/{id}": {s.writes, wholeCall, s.revoke},
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			if !c.limit.AllowN(time.Now(), c.price) {
				s.throttled.Add(1)
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			c.handle(w, r)
		})
	}
	return mux
}

// Throttled returns the number of calls to the store beyond its rates.
func (s *Site) Throttled() int { return int(s.throttled.Load()) }

// storeError answers a call that failed.
func storeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, plat.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, plat.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, plat.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		abort()
	}
}

func (s *Site) getKey(w http.ResponseWriter, r *http.Request) {
	it, err := s.kv.Get(r.Context(), r.FormValue("Key"))
	if err != nil {
		storeError(w, err)
		return
	}
	reply(w, http.StatusOK, item{it.Key, it.Value, it.Rev, false})
}

// visible leaves out the items that Twists.HideItem hides.
func (s *Site) visible(items []plat.Item) []plat.Item {
	if s.twists.HideItem == nil {
		return items
	}
	return slices.DeleteFunc(items, s.twists.HideItem)
}

func (s *Site) list(w http.ResponseWriter, r *http.Request) {
	items, rev, err := s.kv.List(r.Context(), r.FormValue("Prefix"))
	if err != nil {
		storeError(w, err)
		return
	}
	after := r.FormValue("After")
	items = slices.DeleteFunc(s.visible(items), func(it plat.Item) bool { return it.Key <= after })
	page := firstPage(items)
	reply(w, http.StatusOK, map[string]any{"items": toItems(page), "HasMore": len(items) > len(page), "CurrentRev": rev})
}

// firstPage returns the items of a page: at least one, at most maxPage, and no more than
// maxPageBytes of values.
func firstPage(items []plat.Item) []plat.Item {
	size := 0
	for i, it := range items {
		if size += len(it.Value); i > 0 && (i == maxPage || size > maxPageBytes) {
			return items[:i]
		}
	}
	return items
}

func (s *Site) watch(w http.ResponseWriter, r *http.Request) {
	after, err1 := strconv.ParseInt(r.FormValue("After"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("WaitMs"))
	if err := errors.Join(err1, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	events, rev, err := s.kv.Watch(r.Context(), r.FormValue("Prefix"), after, time.Duration(wait)*time.Millisecond)
	if err != nil {
		storeError(w, err)
		return
	}
	reply(w, http.StatusOK, map[string]any{"events": toItems(s.visible(events)), "CurrentRev": rev})
}

func (s *Site) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string
			Revision int64
		}
		Puts   []plat.Put
		Remove []string
	}
	if !decode(w, r, &in) {
		return
	}
	t := plat.Txn{Remove: in.Remove}
	for _, e := range in.Expect {
		t.Expect = append(t.Expect, plat.Condition{Key: e.Key, Rev: e.Revision})
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, platform.OperatorPrefix) || strings.HasPrefix(p.Key, platform.WorkerPrefix) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if s.twists.LosePut == nil || !s.twists.LosePut(p.Key) {
			t.Puts = append(t.Puts, p)
		}
	}
	if len(in.Expect)+len(in.Puts)+len(in.Remove) > platform.MaxChanges {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rev, items, err := s.kv.Commit(r.Context(), t)
	switch {
	case errors.Is(err, plat.ErrConflict):
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": toItems(items)})
	case err != nil:
		storeError(w, err)
	default:
		reply(w, http.StatusOK, map[string]any{"Revision": rev})
	}
}

func (s *Site) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"TtlMs"`
	}
	if !decode(w, r, &in) {
		return
	}
	id, err := s.kv.Grant(r.Context(), time.Duration(in.TTL)*time.Millisecond)
	if err != nil {
		storeError(w, err)
		return
	}
	reply(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": in.TTL})
}

// leaseID returns the lease that a call names, 0 if it can't be read.
func leaseID(r *http.Request) int64 {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return id
}

func (s *Site) renew(w http.ResponseWriter, r *http.Request) {
	if err := s.kv.Renew(r.Context(), leaseID(r)); err != nil {
		storeError(w, err)
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

func (s *Site) revoke(w http.ResponseWriter, r *http.Request) {
	if err := s.kv.Revoke(r.Context(), leaseID(r)); err != nil {
		storeError(w, err)
		return
	}
	reply(w, http.StatusOK, struct{}{})
}
