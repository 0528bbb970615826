package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"
	metrics "github.com/rcrowley/go-metrics"

	"shallotpaddle/cache"
	"shallotpaddle/fakes"
	"shallotpaddle/plat"
)

func init() { experiments["docs"] = benchDocs }

// Sizes of the experiment.
const (
	docsHosts   = 3400
	docsDCs     = 9
	docsPools   = 20
	docsSteady  = 100 // changes of one host each, spread over docsSpan
	docsSpan    = 5 * time.Second
	docsLatency = 2 * time.Millisecond   // round trip of one call to the platform
	docsTimeout = 60 * time.Second       // time limit of one update
	docsSettle  = 500 * time.Millisecond // for watches to deliver the last change
)

// placementRecord is one host's record in a document.
type placementRecord struct {
	Pool  string `json:"pool"`
	Next  string `json:"next,omitempty"`
	Since string `json:"since,omitempty"`
}

// layout is one way to distribute the hosts' records over documents: key returns
// the key of the document that holds a host.
type layout struct {
	name string
	key  func(host int) string
}

var layouts = []layout{
	{"one", func(int) string { return "fleet/place" }},
	{"per data centre", func(h int) string { return fmt.Sprintf("fleet/place/dc%d", h%docsDCs) }},
	{"per pool", func(h int) string { return "fleet/place/" + poolOf(h) }},
	{"per host", func(h int) string { return "fleet/place/" + hostName(h) }},
}

func hostName(h int) string {
	return fmt.Sprintf("dc%d-r%03d-h%d", h%docsDCs, h/docsDCs/4, h/docsDCs%4)
}

func poolOf(h int) string { return fmt.Sprintf("pool-%02d", h/docsDCs%docsPools) }

// benchDocs compares one document for the whole fleet with one per data centre,
// per pool and per host under two loads: changes of single hosts at a steady
// rate, and the loss of a data centre, whose hosts change at once in one batch
// per document.
func benchDocs(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "%d hosts, %d data centres, %d pools; a platform call takes %v\n", docsHosts, docsDCs, docsPools, docsLatency)
	fmt.Fprintln(w, "layout           entries  load    changes  writes  conflicts  put B/change  watch B/change/entry  p50 ms  p99 ms  whole s  list B")
	for _, l := range layouts {
		for _, n := range []int{9, 64} {
			if err := docsRun(w, l, n, seed); err != nil {
				return fmt.Errorf("%s, %d entries: %w", l.name, n, err)
			}
		}
	}
	return docsDecode(w)
}

// traffic counts the calls and bytes between the entries and the platform.
type traffic struct {
	puts, conflicts, putBytes, watchBytes, listBytes atomic.Int64
}

// delayedTransport is an HTTP transport that calls the platform's handler in the
// caller's goroutine, delayed by docsLatency.
type delayedTransport struct {
	platform http.Handler
	traffic  *traffic
}

func (t delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	if r.Body == nil {
		r.Body = http.NoBody
	}
	time.Sleep(docsLatency / 2)
	rec := &recorder{header: http.Header{}, status: http.StatusOK}
	t.platform.ServeHTTP(rec, r)
	time.Sleep(docsLatency / 2)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	t.count(r, rec)
	return &http.Response{
		StatusCode: rec.status, Status: http.StatusText(rec.status), Header: rec.header,
		Body: io.NopCloser(&rec.body), Request: r,
	}, nil
}

func (t delayedTransport) count(r *http.Request, rec *recorder) {
	switch {
	case r.Method == http.MethodPut:
		t.traffic.puts.Add(1)
		t.traffic.putBytes.Add(r.ContentLength)
		if rec.status == http.StatusConflict {
			t.traffic.conflicts.Add(1)
		}
	case strings.HasPrefix(r.URL.Path, "/watch"):
		t.traffic.watchBytes.Add(int64(rec.body.Len()))
	case strings.HasPrefix(r.URL.Path, "/list"):
		t.traffic.listBytes.Add(int64(rec.body.Len()))
	}
}

type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) { r.status = status }

func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }

// cluster is a platform stand-in with entries that watch it.
type cluster struct {
	layout  layout
	traffic traffic
	entries []*cache.Cache
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newCluster(l layout, n int) (*cluster, error) {
	p := fakes.NewPlatform(func(string) {})
	f := &cluster{layout: l}
	if err := f.writeDocs(p); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for range n {
		client := plat.NewGuarded("http://plat", quartz.NewReal(), metrics.NewRegistry())
		client.SetRates(plat.RatesPerEntry(n))
		client.SetTransport(delayedTransport{p, &f.traffic})
		c := cache.New(client, "fleet/", quartz.NewReal())
		f.entries = append(f.entries, c)
		f.running.Go(func() { _ = c.Run(ctx) })
	}
	for _, c := range f.entries {
		for len(c.Versions()) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return f, nil
}

func (f *cluster) stop() {
	f.cancel()
	f.running.Wait()
}

// writeDocs writes the documents directly into the platform's store.
func (f *cluster) writeDocs(p *fakes.Platform) error {
	bodies := map[string]map[string]placementRecord{}
	for h := range docsHosts {
		k := f.layout.key(h)
		if bodies[k] == nil {
			bodies[k] = map[string]placementRecord{}
		}
		bodies[k][hostName(h)] = placementRecord{Pool: poolOf(h)}
	}
	for k, body := range bodies {
		b, err := json.Marshal(body)
		if err != nil {
			return err
		}
		var d cache.Doc
		env := fmt.Sprintf(`{"key":%q,"rev":1,"body":%s}`, k, b)
		if err := json.Unmarshal([]byte(env), &d); err != nil {
			return err
		}
		value, err := d.Encode()
		if err != nil {
			return err
		}
		if _, err := p.Store().Put(k, value, 0, ""); err != nil {
			return err
		}
	}
	return nil
}

// moveHosts marks hosts of one document for a move to the spare pool, in one update.
func (f *cluster) moveHosts(entry int, op string, hosts []int) error {
	ctx, cancel := context.WithTimeout(plat.WithClass(context.Background(), plat.Permits), docsTimeout)
	defer cancel()
	fn := func(body json.RawMessage) (json.RawMessage, error) {
		var m map[string]placementRecord
		if err := json.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		for _, h := range hosts {
			m[hostName(h)] = placementRecord{Pool: poolOf(h), Next: "spare", Since: op}
		}
		return json.Marshal(m)
	}
	for {
		_, err := f.entries[entry].Update(ctx, f.layout.key(hosts[0]), op, fn)
		// A throttled call, or an update that gave up after too many conflicts,
		// has certainly not been written and can be retried.
		if errors.Is(err, plat.ErrThrottled) || errors.Is(err, plat.ErrConflict) {
			continue
		}
		return err
	}
}

// batch is one update: the entry that does it, its delay after the start of the
// run, and the hosts that it changes.
type batch struct {
	entry int
	delay time.Duration
	hosts []int
}

func steadyBatches(n int, seed uint64) []batch {
	r := rand.New(rand.NewPCG(seed, 0))
	out := make([]batch, docsSteady)
	for i := range out {
		out[i] = batch{r.IntN(n), time.Duration(r.Int64N(int64(docsSpan))), []int{r.IntN(docsHosts)}}
	}
	return out
}

// lostDCBatches returns the updates after the loss of data centre 0: for each
// pool, the entry that owns it updates the lost hosts, in one update per document.
func (f *cluster) lostDCBatches() []batch {
	type owner struct {
		entry int
		key   string
	}
	hosts := map[owner][]int{}
	for h := 0; h < docsHosts; h += docsDCs {
		o := owner{h / docsDCs % docsPools % len(f.entries), f.layout.key(h)}
		hosts[o] = append(hosts[o], h)
	}
	var out []batch
	for o, hs := range hosts {
		out = append(out, batch{entry: o.entry, hosts: hs})
	}
	return out
}

func docsRun(w io.Writer, l layout, n int, seed uint64) error {
	f, err := newCluster(l, n)
	if err != nil {
		return err
	}
	defer f.stop()
	list := f.traffic.listBytes.Load() / int64(n)
	for _, load := range []struct {
		name    string
		batches []batch
	}{{"steady", steadyBatches(n, seed)}, {"dc lost", f.lostDCBatches()}} {
		res, err := f.run(load.batches)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%-16s %7d  %-7s %7d  %6d  %9d  %12.0f  %20.0f  %6.1f  %6.1f  %7.2f  %6d\n",
			l.name, n, load.name, res.changes, res.writes, res.conflicts, res.putBytes, res.watchBytes,
			millis(res.p50), millis(res.p99), res.total.Seconds(), list)
	}
	return nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

type docsResult struct {
	changes              int
	writes, conflicts    int64
	putBytes, watchBytes float64 // per change, watchBytes also per entry
	p50, p99, total      time.Duration
}

// run carries out batches and measures their traffic and latencies.
func (f *cluster) run(batches []batch) (docsResult, error) {
	puts, conflicts := f.traffic.puts.Load(), f.traffic.conflicts.Load()
	putBytes, watchBytes := f.traffic.putBytes.Load(), f.traffic.watchBytes.Load()
	took := make([]time.Duration, len(batches))
	errs := make([]error, len(batches))
	begun := time.Now()
	var wg sync.WaitGroup
	changes := 0
	for i, b := range batches {
		changes += len(b.hosts)
		wg.Go(func() {
			time.Sleep(b.delay)
			from := time.Now()
			errs[i] = f.moveHosts(b.entry, fmt.Sprintf("e%02d-%d-%d", b.entry, len(batches), i), b.hosts)
			took[i] = time.Since(from)
		})
	}
	wg.Wait()
	total := time.Since(begun)
	time.Sleep(docsSettle)
	slices.Sort(took)
	per := float64(changes)
	return docsResult{
		changes: changes, writes: f.traffic.puts.Load() - puts, conflicts: f.traffic.conflicts.Load() - conflicts,
		putBytes:   float64(f.traffic.putBytes.Load()-putBytes) / per,
		watchBytes: float64(f.traffic.watchBytes.Load()-watchBytes) / per / float64(len(f.entries)),
		p50:        took[len(took)/2], p99: took[len(took)*99/100], total: total,
	}, errors.Join(errs...)
}

// docsDecode prints the time in which an entry decodes one changed document.
func docsDecode(w io.Writer) error {
	const rounds = 200
	fmt.Fprintln(w, "layout           hosts  stored B  decode and parse us")
	for _, l := range layouts {
		f := &cluster{layout: l}
		p := fakes.NewPlatform(func(string) {})
		if err := f.writeDocs(p); err != nil {
			return err
		}
		it, err := p.Store().Get(l.key(0))
		if err != nil {
			return err
		}
		var m map[string]placementRecord
		begun := time.Now()
		for range rounds {
			d, err := cache.Decode(it.Key, it.Value)
			if err != nil {
				return err
			}
			m = nil
			if err := json.Unmarshal(d.Body(), &m); err != nil {
				return err
			}
		}
		fmt.Fprintf(w, "%-16s %5d  %8d  %19.0f\n", l.name, len(m), len(it.Value), float64(time.Since(begun).Microseconds())/rounds)
	}
	return nil
}
