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

// One pool of the planned fleet size: 3,400 hosts in 20 pools, 230 customers.
const (
	scaleHosts     = 170
	scaleCustomers = 230
	scaleRunTime   = 10 * time.Minute
	// waveShare is the share of the pool's hosts that a maintenance wave takes out of
	// service waveStart after the start.
	waveShare = 0.1
	waveStart = 3 * time.Minute
)

// largeScenario scales one of today's pools to the planned size.
func largeScenario(d time.Duration) scenario {
	f := demand.Diaries()
	f.Customers = demand.RankedCustomers(scaleCustomers)
	p := &f.Pools[0]
	base := p.Hosts
	for i := range p.Queues {
		p.Queues[i].Load *= float64(scaleHosts) / float64(base)
	}
	return scenario{f, p.Name, "2026-06-01T10:00:00+12:00", d}
}

// benchScale runs the bursts of one pool of the planned size through a single queue,
// with and without a maintenance wave.
func benchScale(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "\none pool of %d hosts, %d customers, %s\n", scaleHosts, scaleCustomers, scaleRunTime)
	fmt.Fprintln(w, "| load | hosts out | policy | items | misses/rank | urgent p99 s | urgent most s | ns/item | most waiting |\n|---|---|---|---|---|---|---|---|---|")
	s := largeScenario(scaleRunTime)
	_, arrivals, err := s.load(seed)
	if err != nil {
		return err
	}
	for _, out := range []float64{0, waveShare} {
		for _, policy := range []sched.Policy{sched.Strict, sched.Earliest, sched.Yield} {
			m := newSim(policy, arrivals[0].At, scaleHosts*table.WorkerSlots)
			m.out.urgent = hdrhistogram.New(1, 3600*1000, 3)
			m.reduceAt, m.reduceSlots = arrivals[0].At.Add(waveStart), int(out*scaleHosts)*table.WorkerSlots
			o, err := m.run(s.fleet, arrivals)
			if err != nil {
				return err
			}
			fmt.Fprintf(w, "| %.0f%% | %.0f%% | %s | %d | %.3f%% | %.2f | %.2f | %d | %d |\n", 100*o.busy/o.available, 100*out, policy, o.items,
				100*o.weightedMisses/o.totalWeight, float64(o.urgent.ValueAtQuantile(99))/1000, float64(o.urgent.Max())/1000,
				o.wallTime.Nanoseconds()/int64(o.items), m.maxWaiting)
		}
	}
	return nil
}
