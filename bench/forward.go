package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/coder/quartz"

	"shallotpaddle/conf"
	"shallotpaddle/daemon"
	"shallotpaddle/fakes"
)

func init() { experiments["forward"] = benchForward }

const (
	forwardHosts        = 4
	forwardRounds       = 4
	forwardRoundTime    = 700 * time.Millisecond
	forwardReadyTimeout = 20 * time.Second
	forwardToken        = "bench-operator-token"
	// heapInterval is the interval at which the heap is sampled.
	heapInterval = 2 * time.Millisecond
	// maxLatency is the upper bound of the latency histogram.
	maxLatency = time.Minute
)

const forwardNote = `
note: bench
against: 0
added:
  pools:
    - {name: p, size: 4, budget: 2, reserve: 1}
  queues:
    - {name: q, pool: p, target: 1s, objective: 0.99}
  customers:
    - {name: c, rank: 1}
  jobs:
    - {name: k, queue: q, rank: 1, run: 1ms, idempotent: true}
`

// echoWorker is a worker whose tasks return their request body at once. Unlike
// the stand-in, which gets all other calls, it stores nothing of a task, so that
// its memory does not count in the heap measurement.
type echoWorker struct{ *fakes.Worker }

func (e echoWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/run" {
		e.Worker.ServeHTTP(w, r)
		return
	}
	w.Header().Set("Task", r.Header.Get("Task"))
	copyResponse(w, r.ContentLength, r.Body)
}

func copyResponse(w http.ResponseWriter, length int64, body io.Reader) {
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, body)
}

// plainForwarder is the baseline: a reverse proxy of net/http alone, which
// forwards requests to the workers round robin.
type plainForwarder struct {
	workers []string
	next    atomic.Uint64
	client  *http.Transport
}

func (p *plainForwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	addr := p.workers[p.next.Add(1)%uint64(len(p.workers))]
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+addr+"/run", r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	req.ContentLength, req.Header = r.ContentLength, r.Header.Clone()
	res, err := p.client.RoundTrip(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer res.Body.Close()
	w.Header().Set("Task", res.Header.Get("Task"))
	w.WriteHeader(res.StatusCode)
	copyResponse(w, res.ContentLength, res.Body)
}

// forwarders are the servers of the measurement and the three targets to compare:
// a worker itself, plainForwarder, and an entry.
type forwarders struct {
	servers []*http.Server
	targets []target
	cancel  context.CancelFunc
	done    chan error
}

// target is a named set of URLs to which callers send requests.
type target struct {
	name string
	urls []string // used round robin
}

func benchForward(w io.Writer, _ uint64) error {
	f, err := newForwarders()
	if err != nil {
		return err
	}
	defer f.stop()
	fmt.Fprintf(w, "loopback, one process, %d CPUs, %d workers; %d rounds of %v a way, in turn\n",
		runtime.GOMAXPROCS(0), forwardHosts, forwardRounds, forwardRoundTime)
	fmt.Fprintln(w, "body B    callers  way     requests/s    MB/s  p50 ms  p99 ms  peak heap MB  failed")
	for _, size := range []int{1 << 10, 64 << 10, 8 << 20} {
		for _, callers := range []int{1, 16} {
			if err := f.measure(w, size, callers); err != nil {
				return err
			}
		}
	}
	return nil
}

func newForwarders() (*forwarders, error) {
	f := &forwarders{done: make(chan error, 1)}
	hosts := fakes.Hosts("w", forwardHosts, []string{"suva", "nadi"}, 2)
	var addrs, direct []string
	for i := range hosts {
		hosts[i].Addr = f.serve(echoWorker{fakes.NewWorker(hosts[i].Name)})
		addrs = append(addrs, hosts[i].Addr)
		direct = append(direct, "http://"+hosts[i].Addr+"/run")
	}
	platform := fakes.NewPlatform(func(string) {})
	platform.SetHosts(hosts)
	tr := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	proxy := f.serve(&plainForwarder{workers: addrs, client: tr})
	entry, err := f.startEntry("http://" + f.serve(platform))
	if err != nil {
		f.stop()
		return nil, err
	}
	f.targets = []target{
		{"direct", direct},
		{"plain", []string{"http://" + proxy + "/run"}},
		{"entry", []string{"http://" + entry + "/v1/queues/q/requests"}},
	}
	return f, nil
}

// serve serves a handler on a free loopback address and returns the address.
func (f *forwarders) serve(h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprintf("no loopback address: %v", err))
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: conf.DefaultHeaderTimeout}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String()
}

// startEntry starts an entry, applies the note, waits until the entry accepts work
// and returns its callers' address.
func (f *forwarders) startEntry(platform string) (string, error) {
	addrs, err := freeAddrs(3)
	if err != nil {
		return "", err
	}
	doc := conf.Default()
	doc.Self = conf.Self{Name: "e1", DC: "suva", Address: addrs[2]}
	doc.Listen.Callers.Address, doc.Listen.Operators.Address, doc.Listen.Peers.Address = addrs[0], addrs[1], addrs[2]
	doc.Platform.URL, doc.Peers.Addresses = platform, []string{addrs[2]}
	doc.Limits.ShutdownDelay = 0
	doc.Auth.Operators = []conf.Operator{{Name: "bench", Token: forwardToken}}
	set, err := conf.New(doc)
	if err != nil {
		return "", err
	}
	d, err := daemon.New(set, daemon.NewLogger(io.Discard, set.Log().Level), quartz.NewReal())
	if err != nil {
		return "", err
	}
	stop, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() { f.done <- d.Run(stop, context.Background()) }()
	return addrs[0], f.applyNote(addrs[1], d)
}

// freeAddrs returns n different free loopback addresses.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// Keep each listener open until all are found, so that the addresses differ.
		defer ln.Close()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// applyNote sends the note until it is accepted and waits until the pool has the
// slots of all hosts.
func (f *forwarders) applyNote(operators string, d *daemon.Daemon) error {
	accepted := false
	for end := time.Now().Add(forwardReadyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if d.Entry().Router().View().Pools["p"].Slots() == 8*forwardHosts {
			return nil
		}
		if accepted {
			continue
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+operators+"/v1/notes", strings.NewReader(forwardNote))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+forwardToken)
		if res, err := http.DefaultClient.Do(req); err == nil {
			accepted = res.StatusCode == http.StatusOK
			_ = res.Body.Close()
		}
	}
	return errors.New("entry takes no work")
}

func (f *forwarders) stop() {
	if f.cancel != nil {
		f.cancel()
		<-f.done
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// figures are the measurements of one target.
type figures struct {
	latency  *hdrhistogram.Histogram // in microseconds
	failed   int
	peakHeap uint64
	took     time.Duration
}

func (f *forwarders) measure(w io.Writer, size, callers int) error {
	all := make([]figures, len(f.targets))
	for i := range all {
		all[i].latency = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
	for range forwardRounds {
		for i := range f.targets {
			all[i].round(f.targets[i], size, callers)
		}
	}
	rate := func(i int) float64 { return float64(all[i].latency.TotalCount()) / all[i].took.Seconds() }
	median := func(i int) float64 { return float64(all[i].latency.ValueAtQuantile(50)) / 1000 }
	for i := range all {
		x := &all[i]
		fmt.Fprintf(w, "%8d  %7d  %-6s  %10.0f  %6.0f  %6.3f  %6.3f  %12.1f  %6d\n", size, callers, f.targets[i].name,
			rate(i), rate(i)*float64(size)/1e6, median(i), float64(x.latency.ValueAtQuantile(99))/1000, float64(x.peakHeap)/1e6, x.failed)
		if x.latency.TotalCount() == 0 {
			return fmt.Errorf("%s: no request was answered", f.targets[i].name)
		}
	}
	fmt.Fprintf(w, "%8d  %7d  entry adds %.3f ms at the median, plain %.3f; entry has %.2f of plain's throughput\n",
		size, callers, median(2)-median(0), median(1)-median(0), rate(2)/rate(1))
	return nil
}

// round sends requests from concurrent callers for forwardRoundTime.
func (x *figures) round(t target, size, callers int) {
	runtime.GC()
	stop := make(chan struct{})
	var heap sync.WaitGroup
	heap.Go(func() { x.samplePeakHeap(stop) })
	tr := &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}
	defer tr.CloseIdleConnections()
	body := slices.Repeat([]byte("b"), size)
	var mu sync.Mutex
	var wg sync.WaitGroup
	begun := time.Now()
	for c := range callers {
		wg.Go(func() {
			for n := c; time.Since(begun) < forwardRoundTime; n++ {
				from := time.Now()
				err := send(tr, t.urls[n%len(t.urls)], fmt.Sprintf("%d-%d", c, n), body)
				took := time.Since(from)
				mu.Lock()
				if err != nil {
					x.failed++
				} else {
					_ = x.latency.RecordValue(max(1, took.Microseconds()))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	x.took += time.Since(begun)
	close(stop)
	heap.Wait()
}

// samplePeakHeap records the peak heap size, in bytes, until stop is closed.
func (x *figures) samplePeakHeap(stop chan struct{}) {
	s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	t := time.NewTicker(heapInterval)
	defer t.Stop()
	for {
		metrics.Read(s)
		x.peakHeap = max(x.peakHeap, s[0].Value.Uint64())
		select {
		case <-stop:
			return
		case <-t.C:
		}
	}
}

// send sends a request and reads the whole response; any response but the body
// that was sent is an error.
func send(tr *http.Transport, url, task string, body []byte) error {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for k, v := range map[string]string{"Task": task, "Slots": "1", "Customer": "c", "Kind": "k"} {
		req.Header.Set(k, v)
	}
	res, err := tr.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err == nil && (res.StatusCode != http.StatusOK || n != int64(len(body))) {
		err = fmt.Errorf("status %d, %d bytes", res.StatusCode, n)
	}
	return err
}
