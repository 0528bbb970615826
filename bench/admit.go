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

// benchRefusal compares early refusal with accepting all work, on a pool that
// is too small.
func benchRefusal(w io.Writer, seed uint64) error {
	s := scenarios()[0]
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
				m.admission = admit.New(admit.DefaultLimits())
			}
			o, err := m.run(s.fleet, arrivals)
			if err != nil {
				return err
			}
			late := o.infeasible
			for _, n := range o.missesByTier {
				late += n
			}
			fmt.Fprintf(w, "| %d | %t | %d | %d | %.2f%% | %.2f%% | %.2f%% | %.2f |\n", hosts, early, o.items, o.refused,
				100*float64(late)/float64(o.items), 100*float64(o.items-late)/float64(len(arrivals)),
				100*(o.totalWeight-o.weightedMisses)/weight, float64(o.urgent.ValueAtQuantile(99))/1000)
		}
	}
	return nil
}

// benchRetries counts dispatches per item at several failure rates, with and
// without a retry budget.
func benchRetries(w io.Writer, seed uint64) {
	const items = 100000
	fmt.Fprintf(w, "\n### retries, %d items at 100 a second, at most %d attempts\n\n", items, table.DefaultAttempts)
	fmt.Fprintln(w, "| failing runs | dispatches per item, no budget | with budget | done, no budget | with budget |\n|---|---|---|---|---|")
	for _, failing := range []float64{0.01, 0.05, 0.2, 1} {
		unlimited, unlimitedDone := retries(seed, items, failing, nil)
		b := admit.NewBudget(admit.RetryShare, admit.RetryBurst, admit.RetryEvery)
		budgeted, budgetedDone := retries(seed, items, failing, b)
		fmt.Fprintf(w, "| %.0f%% | %.3f | %.3f | %.2f%% | %.2f%% |\n", 100*failing, unlimited, budgeted, 100*unlimitedDone, 100*budgetedDone)
	}
}

// retries returns the dispatches per item and the share of items that succeed;
// without a budget b every failed attempt is retried.
func retries(seed uint64, items int, failing float64, b *admit.Budget) (dispatches, done float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	now := time.Unix(0, 0)
	sent, succeeded := 0, 0
	for range items {
		now = now.Add(10 * time.Millisecond)
		for try := range table.DefaultAttempts {
			if try > 0 && b != nil && !b.Allow(now) {
				break
			}
			sent++
			if rng.Float64() >= failing {
				succeeded++
				if b != nil {
					b.OnSuccess()
				}
				break
			}
		}
	}
	return float64(sent) / float64(items), float64(succeeded) / float64(items)
}

// benchCancel cancels many waiting items at once and measures how many ticks the
// cancellations are spread over and how long each tick takes.
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
