package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/coder/quartz"
	metrics "github.com/rcrowley/go-metrics"

	"shallotpaddle/cache"
	"shallotpaddle/fakes"
	"shallotpaddle/plat"
)

func init() { experiments["calls"] = benchCalls }

// Settings of the experiment.
const (
	callsSpan = 20 * time.Second
	callsTTL  = 10 * time.Second // lease of an entry's registration
	callsKey  = "fleet/conf"
)

// benchCalls measures the entries' calls to the key-value service while they watch
// it and keep their registrations alive, without changes and with one a second.
func benchCalls(w io.Writer, _ uint64) error {
	fmt.Fprintln(w, "entries  changes/s  reads/s  writes/s  peak reads  peak writes")
	for _, n := range []int{9, 27, 64} {
		for _, perSecond := range []int{0, 1} {
			if err := callsRun(w, n, perSecond); err != nil {
				return fmt.Errorf("%d entries: %w", n, err)
			}
		}
	}
	return nil
}

func callsRun(w io.Writer, n, perSecond int) error {
	p := fakes.NewPlatform(func(string) {})
	f := &cluster{}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	defer f.stop()
	for i := range n {
		client := plat.NewGuarded("http://plat", quartz.NewReal(), metrics.NewRegistry())
		client.SetRates(plat.RatesPerEntry(n))
		client.SetTransport(delayedTransport{p, &f.traffic})
		c := cache.New(client, "fleet/", quartz.NewReal())
		f.entries = append(f.entries, c)
		f.running.Go(func() { _ = c.Run(ctx) })
		f.running.Go(func() {
			_ = c.Register(ctx, fmt.Sprintf("entry-%d", i), json.RawMessage(`{"addr":"10.0.0.1:7000"}`), callsTTL)
		})
	}
	for len(f.entries[0].Registered()) < n {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(callsTTL)
	p.ResetPeak()
	reads, writes := p.Calls()
	end := time.Now().Add(callsSpan)
	for i := 0; time.Now().Before(end); i++ {
		if perSecond > 0 {
			if err := callsChange(ctx, f.entries[i%n], i); err != nil {
				return err
			}
		}
		time.Sleep(time.Second / time.Duration(max(1, perSecond)))
	}
	reads2, writes2 := p.Calls()
	peak := p.Seen().Peak
	fmt.Fprintf(w, "%7d  %9d  %7.1f  %8.1f  %10d  %11d\n", n, perSecond,
		float64(reads2-reads)/callsSpan.Seconds(), float64(writes2-writes)/callsSpan.Seconds(), peak["read"], peak["write"])
	return nil
}

func callsChange(ctx context.Context, c *cache.Cache, i int) error {
	ctx = plat.WithClass(ctx, plat.Config)
	_, err := c.Update(ctx, callsKey, fmt.Sprintf("op-%d", i), func(json.RawMessage) (json.RawMessage, error) {
		return json.Marshal(i)
	})
	return err
}
