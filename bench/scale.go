package main

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotpaddle/demand"
	"shallotpaddle/sched"
	"shallotpaddle/table"
)

func init() { experiments["scale"] = benchScale }

// One pool of the size to come: 3,400 hosts in 20 pools, 230 customers.
const (
	scaleHosts     = 170
	scaleCustomers = 230
	scaleTime      = 10 * time.Minute
	// waveShare is the share of the pool's hosts that is out from waveFrom on.
	waveShare = 0.1
	waveFrom  = 3 * time.Minute
)

// largeScene is a pool of today scaled to the size to come.
func largeScene(d time.Duration) scene {
	f := demand.Diaries()
	f.Customers = demand.RankedCustomers(scaleCustomers)
	p := &f.Pools[0]
	base := p.Hosts
	for i := range p.Queues {
		p.Queues[i].Load *= float64(scaleHosts) / float64(base)
	}
	return scene{f, p.Name, "2026-06-01T10:00:00+12:00", d}
}

// benchScale runs one pool of the size to come through its bursts, with and
// without a maintenance wave, as one queue holds it all.
func benchScale(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "\none pool of %d hosts, %d customers, %s\n", scaleHosts, scaleCustomers, scaleTime)
	fmt.Fprintln(w, "| load | hosts out | policy | items | misses/rank | urgent p99 s | urgent most s | ns/item | most waiting |\n|---|---|---|---|---|---|---|---|---|")
	s := largeScene(scaleTime)
	_, arrivals, err := s.load(seed)
	if err != nil {
		return err
	}
	for _, out := range []float64{0, waveShare} {
		for _, policy := range []sched.Policy{sched.Strict, sched.Earliest, sched.Yield} {
			m := newSim(policy, arrivals[0].At, scaleHosts*table.WorkerSlots)
			m.out.urgent = hdrhistogram.New(1, 3600*1000, 3)
			m.shrinkAt, m.shrink = arrivals[0].At.Add(waveFrom), int(out*scaleHosts)*table.WorkerSlots
			o, err := m.run(s.fleet, arrivals)
			if err != nil {
				return err
			}
			fmt.Fprintf(w, "| %.0f%% | %.0f%% | %s | %d | %.3f%% | %.2f | %.2f | %d | %d |\n", 100*o.busy/o.available, 100*out, policy, o.items,
				100*o.weighted/o.weight, float64(o.urgent.ValueAtQuantile(99))/1000, float64(o.urgent.Max())/1000,
				o.spent.Nanoseconds()/int64(o.items), m.most)
		}
	}
	return nil
}
