// Case 1: one worker is cut off once, for 5 seconds, and runs on. The owner never acknowledges
// the ends that it could not read meanwhile, nor any later end of that worker, and after 300 of
// them it gives the worker no more work: jobs that need a worker of that kind wait forever.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"shallotpaddle/review/bed"
)

const (
	entries = 3
	workers = 6
	victim  = 0 // the only worker of the rare kind

	settle = 5 * time.Second
	cutFor = 5 * time.Second
	// The worker's entry is removed within the cut if the last one was written that long before it.
	sinceBeat = 700 * time.Millisecond
	handIn    = 200 * time.Millisecond // between two jobs of each kind
	traffic   = 25 * time.Second       // from the end of the disturbance
	finish    = 14 * time.Second       // from the end of the traffic until jobs must be done
	stalled   = 3 * time.Second        // for which a job has nothing running
)

func main() { bed.Run(bed.Options{Entries: entries, Workers: workers}, play) }

func play(b *bed.Bed, trouble bool) (string, error) {
	common, rare := newLoad(b, bed.CommonKind, 0x3fa0c6d100000000), newLoad(b, bed.RareKind, 0x71e5b29000000000)
	time.Sleep(settle)
	for b.Workers.SinceBeat(victim) < sinceBeat {
		time.Sleep(10 * time.Millisecond)
	}
	if trouble {
		b.Workers.Cut(victim, true)
	}
	time.Sleep(cutFor)
	if trouble {
		b.Workers.Cut(victim, false)
	}
	time.Sleep(traffic)
	common.end()
	rare.end()
	b.Rec.Add("client: no more jobs; %d and %d were accepted for the two kinds", len(common.jobs), len(rare.jobs))
	time.Sleep(finish)
	for _, l := range []*load{common, rare} {
		if broken := watch(b, l); broken != "" {
			return broken, nil
		}
	}
	return "", nil
}

// load hands in jobs that need a worker of one kind.
type load struct {
	kind string
	stop chan struct{}
	done sync.WaitGroup
	jobs []string // that were accepted; to be read after end
}

func newLoad(b *bed.Bed, kind string, firstID int) *load {
	l := &load{kind: kind, stop: make(chan struct{})}
	l.done.Go(func() {
		t := time.NewTicker(handIn)
		defer t.Stop()
		for k := 0; ; k++ {
			select {
			case <-l.stop:
				return
			case <-t.C:
			}
			id := fmt.Sprintf("%016x", firstID+k)
			job := &bed.Job{ID: id, Spec: "meal-log", Steps: []bed.Step{{Count: 3, CPU: 1800, MemMB: 3600, EstimateMs: 400, Requirements: kind}}}
			if a := b.Submit(k%entries, job); a.Status == http.StatusOK {
				l.jobs = append(l.jobs, id)
			}
		}
	})
	return l
}

func (l *load) end() {
	close(l.stop)
	l.done.Wait()
}

// watch returns what broke the rule LOST: an accepted job is not done, and has nothing running for
// stalled, while all workers are up, the one that it needs runs nothing, and the others next to nothing.
func watch(b *bed.Bed, l *load) string {
	open := l.open(b)
	if len(open) == 0 {
		return ""
	}
	begun := time.Now()
	for time.Since(begun) < stalled+500*time.Millisecond {
		if there, all := b.Workers.Active(victim); there > 0 || all > workers {
			return "" // it goes on, late
		}
		time.Sleep(10 * time.Millisecond)
	}
	still := l.open(b)
	if len(still) < len(open) {
		return ""
	}
	return fmt.Sprintf("%d of %d accepted jobs that need a worker of kind %s are not done %s after the end of the traffic, the first is %s; for %s that worker, which is up, has run nothing",
		len(still), len(l.jobs), l.kind, finish, still[0], time.Since(begun).Round(100*time.Millisecond))
}

// open returns the accepted jobs that are not done.
func (l *load) open(b *bed.Bed) []string {
	var out []string
	for _, id := range l.jobs {
		if a := b.State(0, id); a.State != "completed" {
			out = append(out, id)
		}
	}
	return out
}
