package main

import (
	"fmt"
	"io"

	"shallotpaddle/demand"
	"shallotpaddle/sched"
	"shallotpaddle/table"
)

func init() { experiments["buffer"] = benchBuffer }

// The service level that a pool has to reach.
const (
	// maxMissShare is the largest share of missed due times, weighted by 1/rank.
	maxMissShare = 0.005
	// maxUrgentDelay is the largest start delay of urgent work at the 99th
	// percentile, in milliseconds.
	maxUrgentDelay = 6800
	// maxHosts is the largest pool that is tried.
	maxHosts = 24
)

// benchBuffer finds the fewest hosts with which each policy reaches the service
// level, and the idle host-hours that remain.
func benchBuffer(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "\nfewest hosts for misses/rank <= %.1f%% and urgent p99 <= %.1f s\n", 100*maxMissShare, maxUrgentDelay/1000.0)
	fmt.Fprintln(w, "| scene | policy | hosts | idle host-hours | misses/rank | urgent p99 s |\n|---|---|---|---|---|---|")
	for _, s := range scenarios() {
		_, arrivals, err := s.load(seed)
		if err != nil {
			return err
		}
		for _, policy := range []sched.Policy{sched.Strict, sched.Earliest, sched.Yield} {
			hosts, o, err := fewestHosts(policy, s.fleet, arrivals)
			if err != nil {
				return err
			}
			if o == nil {
				fmt.Fprintf(w, "| %s/%s | %s | over %d | | | |\n", s.fleet.Name, s.pool, policy, maxHosts)
				continue
			}
			fmt.Fprintf(w, "| %s/%s | %s | %d | %.1f | %.3f%% | %.2f |\n", s.fleet.Name, s.pool, policy, hosts,
				(o.available-o.busy)/table.WorkerSlots/3600, 100*o.weightedMisses/o.totalWeight, float64(o.urgent.ValueAtQuantile(99))/1000)
		}
	}
	return nil
}

// fewestHosts finds the smallest sufficient pool by binary search; o is nil if
// maxHosts are too few.
func fewestHosts(policy sched.Policy, f *demand.Fleet, arrivals []demand.Arrival) (hosts int, o *outcome, err error) {
	low, high := 5, maxHosts+1
	for low < high {
		mid := (low + high) / 2
		got, err := newSim(policy, arrivals[0].At, mid*table.WorkerSlots).run(f, arrivals)
		if err != nil {
			return 0, nil, err
		}
		if got.weightedMisses > maxMissShare*got.totalWeight || got.urgent.ValueAtQuantile(99) > maxUrgentDelay {
			low = mid + 1
			continue
		}
		high, o = mid, got
	}
	return high, o, nil
}
