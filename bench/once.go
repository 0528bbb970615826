package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/coder/quartz"
	"golang.org/x/time/rate"

	"shallotpaddle/fakes"
	"shallotpaddle/once"
	"shallotpaddle/plat"
)

const (
	onceWarmup    = 4 * time.Second      // load before each run, in which the job logs grow
	onceRunTime   = 4 * time.Second      // length of one run
	onceCallDelay = 2 * time.Millisecond // delay of each call to the stand-in
	onceJobRate   = 300                  // jobs per second over all entries
	onceWriteRate = 150                  // writes per second over all entries: half of plat.ServiceWrites
	onceBodyBytes = 1 << 10              // size of a job's body
	onceUnlimited = 1 << 20              // calls per second
	onceSizeItems = 2000                 // jobs and claims stored to measure their size
)

func init() { experiments["once"] = benchOnce }

// benchOnce measures the job ledger and the claims over HTTP with the platform's
// stand-in.
func benchOnce(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "%d jobs/s offered, %d B body, each accepted, started and finished; store answers in %s\n",
		onceJobRate, onceBodyBytes, onceCallDelay)
	fmt.Fprintln(w, "entries  share/s  accepted/s  writes/s  records/write  accept p50 p99  start p50 p99 (ms)")
	for _, share := range []float64{0, onceWriteRate} {
		for _, n := range []int{1, 6, 9, 64} {
			if err := onceLoad(w, seed, n, share); err != nil {
				return err
			}
		}
	}
	return onceSizes(w)
}

// oncePlatform is a platform stand-in that delays each call and counts the bytes of
// request bodies.
type oncePlatform struct {
	fake  *fakes.Platform
	srv   *http.Server
	url   string
	bytes atomic.Int64
}

func newOncePlatform(delay time.Duration) (*oncePlatform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &oncePlatform{fake: fakes.NewPlatform(func(string) {}), url: "http://" + ln.Addr().String()}
	p.srv = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.bytes.Add(max(r.ContentLength, 0))
		time.Sleep(delay)
		p.fake.ServeHTTP(w, r)
	})}
	go func() { _ = p.srv.Serve(ln) }()
	return p, nil
}

// onceRun is the measurements of one run under load; latencies are in microseconds.
type onceRun struct {
	mu            sync.Mutex
	accept, start *hdrhistogram.Histogram
	accepted      atomic.Int64
	records       atomic.Int64
}

func onceLoad(w io.Writer, seed uint64, n int, share float64) error {
	p, err := newOncePlatform(onceCallDelay)
	if err != nil {
		return err
	}
	defer p.srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	run := &onceRun{accept: hdrhistogram.New(1, 60_000_000, 3), start: hdrhistogram.New(1, 60_000_000, 3)}
	var wg sync.WaitGroup
	ledgers := make([]*once.Ledger, n)
	for i := range ledgers {
		var wait func(context.Context) error
		if share > 0 {
			wait = rate.NewLimiter(rate.Limit(share/float64(n)), 1).Wait
		}
		client := plat.New(p.url)
		defer client.Close()
		ledgers[i] = once.NewLedger(once.NewStore(client, wait), quartz.NewReal(), "e"+strconv.Itoa(i), "1")
	}
	if err := openAll(ctx, ledgers); err != nil {
		return err
	}
	for _, l := range ledgers {
		wg.Go(func() { l.Run(ctx) })
	}
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	warm := &onceRun{accept: hdrhistogram.New(1, 60_000_000, 3), start: hdrhistogram.New(1, 60_000_000, 3)}
	warm.offer(ctx, ledgers, rng, onceWarmup)
	_, before := p.fake.Calls()
	run.offer(ctx, ledgers, rng, onceRunTime)
	_, after := p.fake.Calls()
	cancel()
	wg.Wait()
	writes := float64(after - before)
	span := onceRunTime.Seconds()
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(w, "%7d  %7.0f  %10.0f  %8.0f  %13.1f  %9.0f %4.0f  %8.0f %4.0f\n",
		n, share, float64(run.accepted.Load())/span, writes/span, float64(run.records.Load())/writes,
		ms(run.accept, 50), ms(run.accept, 99), ms(run.start, 50), ms(run.start, 99))
	return nil
}

func openAll(ctx context.Context, ledgers []*once.Ledger) error {
	errs := make(chan error, len(ledgers))
	for _, l := range ledgers {
		go func() { errs <- openOne(ctx, l) }()
	}
	for range ledgers {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// openOne opens a ledger and retries while the stand-in's rate limit refuses it.
func openOne(ctx context.Context, l *once.Ledger) error {
	for {
		err := l.Open(ctx)
		if !errors.Is(err, plat.ErrUnavailable) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// offer sends jobs at random intervals to random entries. It does not wait for jobs
// that are under way when span ends.
func (o *onceRun) offer(ctx context.Context, ledgers []*once.Ledger, rng *rand.Rand, span time.Duration) {
	end := time.Now().Add(span)
	for next := time.Now(); next.Before(end); {
		next = next.Add(time.Duration(rng.ExpFloat64() / onceJobRate * float64(time.Second)))
		time.Sleep(time.Until(next))
		l := ledgers[rng.IntN(len(ledgers))]
		go o.runJob(ctx, l)
	}
}

func (o *onceRun) runJob(ctx context.Context, l *once.Ledger) {
	begin := time.Now()
	j, err := l.Accept(ctx, once.Job{Queue: "q", Customer: "c", Kind: "k", Body: make([]byte, onceBodyBytes)})
	if err != nil {
		return
	}
	o.accepted.Add(1)
	o.recordLatency(o.accept, begin)
	begin = time.Now()
	if _, err := l.Start(ctx, j.ID, "host", "boot"); err != nil {
		return
	}
	o.recordLatency(o.start, begin)
	if l.Finish(ctx, j.ID, once.Outcome{State: once.Done, Result: &once.Result{Status: 200}}) != nil {
		return
	}
	o.records.Add(1)
	_ = l.Drop(j.ID)
	o.records.Add(1)
}

func (o *onceRun) recordLatency(h *hdrhistogram.Histogram, begin time.Time) {
	o.records.Add(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = h.RecordValue(time.Since(begin).Microseconds())
}

// onceSizes prints the sizes of an open job and of a claim.
func onceSizes(w io.Writer) error {
	p, err := newOncePlatform(0)
	if err != nil {
		return err
	}
	defer p.srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := plat.New(p.url)
	defer client.Close()
	p.fake.SetRates(onceUnlimited, onceUnlimited)
	store, clock := once.NewStore(client, nil), quartz.NewReal()
	l, c := once.NewLedger(store, clock, "e", "1"), once.NewClaims(store, clock, "e-1", once.DefaultShards)
	l.SetInterval(time.Millisecond)
	c.SetInterval(time.Millisecond)
	if err := l.Open(ctx); err != nil {
		return err
	}
	go l.Run(ctx)
	go c.Run(ctx)
	err = onceSize(w, p, "open job", func() int { _, b := l.Live(); return b }, func(int) error {
		_, err := l.Accept(ctx, once.Job{Queue: "digest", Customer: "nursery", Kind: "photo", Body: make([]byte, onceBodyBytes)})
		return err
	})
	if err != nil {
		return err
	}
	return onceSize(w, p, "claim", func() int { _, b := c.Live(); return b }, func(i int) error {
		key := fmt.Sprintf("8e03978e-40d5-43dd-bc93-%012d", i)
		r := once.Request{Customer: "nursery", Key: key, Digest: uint64(i), Token: c.Token(), Holder: "e-1"}
		if _, err := c.Claim(ctx, r); err != nil {
			return err
		}
		return c.Settle(ctx, r, &once.Result{Status: 200, Type: "application/json", Body: make([]byte, 64)})
	})
}

func onceSize(w io.Writer, p *oncePlatform, name string, live func() int, add func(int) error) error {
	heap, sent := onceHeap(p), p.bytes.Load()
	errs := make(chan error, onceSizeItems)
	slots := make(chan struct{}, 256)
	for i := range onceSizeItems {
		slots <- struct{}{}
		go func() { errs <- add(i); <-slots }()
	}
	for range onceSizeItems {
		if err := <-errs; err != nil {
			return err
		}
	}
	sent = p.bytes.Load() - sent
	heap = onceHeap(p) - heap
	fmt.Fprintf(w, "%-8s  state %d B, sent to the store %d B each; heap %d KB for 1,000\n",
		name, live()/onceSizeItems, sent/onceSizeItems, heap*1000/onceSizeItems/1024)
	return nil
}

// onceHeap returns the heap in use, in bytes, without the stand-in's stored values.
func onceHeap(p *oncePlatform) int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	stored := int64(0)
	items, _ := p.fake.Store().List("")
	for _, it := range items {
		stored += int64(cap(it.Value))
	}
	return int64(m.HeapAlloc) - stored
}
