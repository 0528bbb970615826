package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"shallotpaddle/admit"
	"shallotpaddle/sched"
	"shallotpaddle/table"
)

func init() { experiments["admit"] = benchAdmit }

func benchAdmit(w io.Writer, seed uint64) error {
	if err := benchRefusal(w, seed); err != nil {
		return err
	}
	benchRetries(w, seed)
	benchCancel(w)
	return nil
}

// benchRefusal compares early refusal with taking everything in, on a pool that
// is too small.
func benchRefusal(w io.Writer, seed uint64) error {
	s := scenes()[0]
	s.duration = time.Hour
	_, arrivals, err := s.load(seed)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "\n### early refusal, %s/%s, %d items over %s\n\n", s.fleet.Name, s.pool, len(arrivals), s.duration)
	fmt.Fprintln(w, "| hosts | early refusal | taken in | refused | late of those taken in | on time of all | on time, weighted by rank | urgent p99 s |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	weight := 0.0
	for i := range arrivals {
		weight += 1 / float64(sched.Rank(0, arrivals[i].Customer.Rank, arrivals[i].Queue.Rank))
	}
	for _, hosts := range []int{10, 8, 7, 6} {
		for _, early := range []bool{false, true} {
			m := newSim(sched.Yield, arrivals[0].At, hosts*table.WorkerSlots)
			if early {
				m.control = admit.New(admit.DefaultLimits())
			}
			o, err := m.run(s.fleet, arrivals)
			if err != nil {
				return err
			}
			late := o.hopeless
			for _, n := range o.misses {
				late += n
			}
			fmt.Fprintf(w, "| %d | %t | %d | %d | %.2f%% | %.2f%% | %.2f%% | %.2f |\n", hosts, early, o.items, o.refused,
				100*float64(late)/float64(o.items), 100*float64(o.items-late)/float64(len(arrivals)),
				100*(o.weight-o.weighted)/weight, float64(o.urgent.ValueAtQuantile(99))/1000)
		}
	}
	return nil
}

// benchRetries counts dispatches while a share of all runs fails.
func benchRetries(w io.Writer, seed uint64) {
	const items = 100000
	fmt.Fprintf(w, "\n### retries, %d items at 100 a second, at most %d attempts\n\n", items, table.DefaultAttempts)
	fmt.Fprintln(w, "| failing runs | dispatches per item, no budget | with budget | done, no budget | with budget |\n|---|---|---|---|---|")
	for _, failing := range []float64{0.01, 0.05, 0.2, 1} {
		free, freeDone := retries(seed, items, failing, nil)
		b := admit.NewBudget(admit.RetryShare, admit.RetryBurst, admit.RetryEvery)
		held, heldDone := retries(seed, items, failing, b)
		fmt.Fprintf(w, "| %.0f%% | %.3f | %.3f | %.2f%% | %.2f%% |\n", 100*failing, free, held, 100*freeDone, 100*heldDone)
	}
}

// retries returns the dispatches per item and the share of items done.
func retries(seed uint64, items int, failing float64, b *admit.Budget) (dispatches, done float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	now := time.Unix(0, 0)
	sent, good := 0, 0
	for range items {
		now = now.Add(10 * time.Millisecond)
		for try := range table.DefaultAttempts {
			if try > 0 && b != nil && !b.Allow(now) {
				break
			}
			sent++
			if rng.Float64() >= failing {
				good++
				if b != nil {
					b.OnSuccess()
				}
				break
			}
		}
	}
	return float64(sent) / float64(items), float64(good) / float64(items)
}

// benchCancel measures a wave of cancellations of waiting work, in ticks.
func benchCancel(w io.Writer) {
	const waiting = 10000
	c := &clock{now: time.Unix(1e9, 0)}
	q := sched.New(sched.Yield, c)
	wave := admit.NewCancelQueue[*sched.Item](admit.CancelsPerTick)
	for i := range waiting {
		it := sched.NewItem(uint64(i), sched.Spec{
			Queue: "q", Kind: "k", Customer: fmt.Sprint(i % 230), CustomerRank: 1 + i%230, Arrived: c.now,
			Due: c.now.Add(time.Duration(i%100) * time.Second),
		})
		if q.Push(it) == nil {
			wave.Add(it)
		}
	}
	ticks, longest, sum := 0, time.Duration(0), time.Duration(0)
	for wave.Len() > 0 {
		began := time.Now()
		for _, it := range wave.Next() {
			q.Remove(it)
		}
		took := time.Since(began)
		ticks, longest, sum = ticks+1, max(longest, took), sum+took
	}
	fmt.Fprintf(w, "\n### cancellations\n\n%d waiting items cancelled in %d ticks, %d ns each, longest tick %s, %d left\n",
		waiting, ticks, sum.Nanoseconds()/waiting, longest.Round(time.Microsecond), q.Len())
}
