package proof

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
)

const (
	// traceInterval is the interval of the calls that proxyTrace makes.
	traceInterval = 50 * time.Millisecond
	// lateReply is the time from which on a call counts as late. Entries ask a worker for
	// a task whose answer is awaited after 1 s (limits.watch).
	lateReply = 500 * time.Millisecond
)

// proxyTrace calls a server through a fault proxy, both in this process, and records when
// the replies were late. That tells a test that failed beside load whether the proxies in
// front of its workers were held up.
type proxyTrace struct {
	mu   sync.Mutex
	late []lateCall
}

// lateCall is a call that proxyTrace made, and its time including the wait before it.
type lateCall struct {
	begun time.Time
	took  time.Duration
}

// proxies is the trace of this test program; TestMain starts it.
var proxies proxyTrace

// start starts the calls; they end with the program.
func (p *proxyTrace) start() error {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	proxy := toxiproxy.NewProxy()
	proxy.Name, proxy.Listen, proxy.Upstream = "trace", "127.0.0.1:0", strings.TrimPrefix(srv.URL, "http://")
	if err := proxy.Start(); err != nil {
		return err
	}
	go func() {
		for {
			begun := time.Now()
			<-time.After(traceInterval)
			if res, err := http.Get("http://" + proxy.Listen); err == nil {
				_ = res.Body.Close()
			}
			p.record(begun, time.Since(begun))
		}
	}()
	return nil
}

func (p *proxyTrace) record(begun time.Time, took time.Duration) {
	if took < lateReply {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late = append(p.late, lateCall{begun, took})
}

// since describes the late calls that ended after begun.
func (p *proxyTrace) since(begun time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	longest := time.Duration(0)
	for _, c := range p.late {
		if c.begun.Add(c.took).Before(begun) {
			continue
		}
		longest = max(longest, c.took)
		out = append(out, fmt.Sprintf("%s %s", c.begun.UTC().Format("15:04:05.000"), c.took.Round(time.Millisecond)))
	}
	return fmt.Sprintf("proxies of this program: %d replies later than %s, the latest after %s: %s",
		len(out), lateReply, longest.Round(time.Millisecond), strings.Join(out, ", "))
}

// logUnclear logs the results that are neither answered nor certainly not run, with what
// the caller was told.
func logUnclear(t *testing.T, all []result) {
	for i := range all {
		if a := &all[i]; a.outcome == "broken" || a.outcome == "unknown" {
			t.Logf("%s: %s %d %s %v", a.outcome, a.id, a.status, a.body, a.err)
		}
	}
}

// logCut logs the tasks that were cut off, with their times at the worker.
func logCut(t *testing.T, f *fleet) {
	for _, r := range cutTasks(f.startedTasks()) {
		began, ended := time.Unix(0, r.Began), time.Unix(0, r.Ended)
		t.Logf("cut off by %s: %s on %s, began %s, ended after %s", r.Cut, r.ID, r.Host,
			began.UTC().Format("15:04:05.000"), ended.Sub(began).Round(time.Millisecond))
	}
}
