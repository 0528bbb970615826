package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"shallotpaddle/bench/drive"
	"shallotpaddle/eject"
	"shallotpaddle/table"
)

func init() { experiments["eject"] = ejecting }

const (
	ejectStep   = time.Second
	ejectTrials = 40
	// ejectKeep is the decay of task outcomes per step.
	ejectKeep = 0.98
	// taskRate is the number of tasks that end on a host per step.
	taskRate = 0.5
	// faultTime is how long a correlated failure lasts.
	faultTime = 5 * time.Minute
)

// fault gives the share of a host's tasks that fail, some time after its start.
type fault struct {
	name  string
	share func(member int, after time.Duration) float64
}

func ejecting(out io.Writer, seed uint64) error {
	rest := 0.01
	faults := []fault{
		{"one host fails everything", func(i int, _ time.Duration) float64 {
			if i == 0 {
				return 1
			}
			return rest
		}},
		{"all fail everything", func(int, time.Duration) float64 { return 1 }},
		{"all fail, rising to 90 % in a minute", func(_ int, d time.Duration) float64 {
			return min(0.9, rest+0.9*d.Minutes())
		}},
		{"half of the hosts fail everything", func(i int, _ time.Duration) float64 {
			if i%2 == 0 {
				return 1
			}
			return rest
		}},
		{"all fail one task in three", func(int, time.Duration) float64 { return 1.0 / 3 }},
	}
	bare := eject.DefaultSettings()
	bare.MinFailureRatio, bare.MaxEjectedShare = 0, 1
	for _, f := range faults {
		trials(out, f, "policy", eject.DefaultSettings(), seed)
		trials(out, f, "share only", bare, seed)
	}
	return nil
}

// trials repeats a fault and prints the ejections.
func trials(out io.Writer, f fault, policy string, set eject.Settings, seed uint64) {
	var first []time.Duration
	total, wrong := 0, 0
	for i := range ejectTrials {
		at, n, bad := ejectTrial(f, set, rand.New(rand.NewPCG(seed, uint64(i))))
		total += n
		wrong += bad
		if n > 0 {
			first = append(first, at)
		}
	}
	fmt.Fprintf(out, "%-37s %-10s trials %d, ejections %d, of hosts that fail no more than the pool %d", f.name, policy, ejectTrials, total, wrong)
	if len(first) > 0 {
		slices.Sort(first)
		fmt.Fprintf(out, ", first after p50 %s, max %s", first[len(first)/2], first[len(first)-1])
	}
	fmt.Fprintln(out)
}

// ejectTrial runs one fault in a pool of twelve hosts. It returns the time of
// the first ejection, the number of them, and how many hit a host that did not
// fail more than the rest of its pool.
func ejectTrial(f fault, set eject.Settings, rng *rand.Rand) (first time.Duration, n, wrong int) {
	w := drive.Fleets()[0].World()
	for i := range w.Config.Pools {
		w.Config.Pools[i].Period = 0
	}
	e := drive.NewEntry(w, "a")
	e.Eject = eject.New(set)
	for range 60 {
		e.Tick()
		w.Advance(ejectStep)
	}
	begin := w.Now
	alone := f.share(0, faultTime) > f.share(1, faultTime) && f.share(0, faultTime) > f.share(2, faultTime)
	for ; w.Now.Sub(begin) < faultTime; w.Advance(ejectStep) {
		e.Refresh()
		addEnds(e, f, w.Now.Sub(begin), rng)
		for _, c := range e.Run() {
			if e.CarryOut(c) != nil || c.Kind != table.RequestPermit || c.Reason != table.Repair {
				continue
			}
			if n++; n == 1 {
				first = w.Now.Sub(begin)
			}
			if !alone || e.Tables.Pool(c.Pool).Hosts()[0] != c.Host {
				wrong++
			}
		}
	}
	return first, n, wrong
}

// addEnds adds one step's task ends to the hosts of the second pool.
func addEnds(e *drive.Entry, f fault, after time.Duration, rng *rand.Rand) {
	for i, id := range e.Tables.Pool(1).Hosts() {
		h := e.Tables.Host(id)
		if h.UsableSlots() == 0 || rng.Float64() >= taskRate*float64(h.UsableSlots())/float64(h.Slots()) {
			e.Tables.AddTaskOutcomes(id, ejectKeep, 0, 0)
			continue
		}
		if rng.Float64() < f.share(i, after) {
			e.Tables.AddTaskOutcomes(id, ejectKeep, 0, 1)
		} else {
			e.Tables.AddTaskOutcomes(id, ejectKeep, 1, 0)
		}
	}
}
