package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// burstDuration is how long each queue's burst lasts; one queue bursts at a
	// time, in turn.
	burstDuration = 2 * time.Second
	// burstFactor and quietFactor are a queue's request rate during its burst and
	// between bursts, as a multiple of its mean rate.
	burstFactor = 5.0
	quietFactor = 0.05
	// sendInterval is the interval between batches of requests.
	sendInterval = 20 * time.Millisecond
	// requestTimeout bounds one request, its answer included.
	requestTimeout = 10 * time.Second
)

// queueLoad is the work that the demo sends to one queue.
type queueLoad struct {
	queue, customer, kind string
	meanRate              float64 // requests per second
	runTime               time.Duration
}

// demoCounts counts requests by the outcome that the caller saw. wrong counts
// successful answers whose body was not that of the caller's own request.
type demoCounts struct{ answered, notRun, unknown, wrong int64 }

// loadGenerator sends requests to the entries in turn.
type loadGenerator struct {
	client *http.Client
	addrs  []string
	sent   atomic.Int64

	mu     sync.Mutex
	counts demoCounts
	wg     sync.WaitGroup
}

// runDemoLoad sends requests until ctx ends, waits for the outstanding answers
// and returns the counts.
func runDemoLoad(ctx context.Context, addrs []string, loads []queueLoad) demoCounts {
	l := &loadGenerator{
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		addrs:  addrs,
	}
	defer l.client.CloseIdleConnections()
	// due is the number of requests to send now, by index in loads; fractions
	// carry over to the next batch.
	due := make([]float64, len(loads))
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	start := time.Now()
	for {
		select {
		case <-ctx.Done():
			l.wg.Wait()
			return l.counts
		case now := <-tick.C:
			bursting := int(now.Sub(start)/burstDuration) % len(loads)
			for i, d := range loads {
				due[i] += d.meanRate * rateFactor(i == bursting) * sendInterval.Seconds()
				for ; due[i] >= 1; due[i]-- {
					l.wg.Go(func() { l.send(d) })
				}
			}
		}
	}
}

func rateFactor(burst bool) float64 {
	if burst {
		return burstFactor
	}
	return quietFactor
}

// send sends one request and counts its outcome. The stand-in worker answers
// with the request's own body.
func (l *loadGenerator) send(d queueLoad) {
	n := l.sent.Add(1)
	body := fmt.Sprintf("run=%s;%s for %s, number %d", d.runTime, d.kind, d.customer, n)
	url := "http://" + l.addrs[n%int64(len(l.addrs))] + "/v1/queues/" + d.queue + "/requests"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		l.count(&l.counts.notRun)
		return
	}
	req.Header.Set("Customer", d.customer)
	req.Header.Set("Kind", d.kind)
	res, err := l.client.Do(req)
	if err != nil {
		l.count(&l.counts.unknown)
		return
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		l.count(&l.counts.unknown)
	case res.Header.Get("Outcome") == "not-run":
		l.count(&l.counts.notRun)
	case res.StatusCode >= http.StatusBadRequest:
		l.count(&l.counts.unknown)
	case string(answer) != body:
		l.count(&l.counts.wrong)
	default:
		l.count(&l.counts.answered)
	}
}

func (l *loadGenerator) count(n *int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*n++
}
