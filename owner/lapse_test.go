package owner_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// cutWorker is a pool of six workers, the first of which is the only one of its kind.
type cutWorker struct {
	*testPool
	next int
}

// playCut runs a pool in which jobs for the rare kind and for any other keep arriving, three subtasks
// each, for half a minute after play, and requires that all are done soon after. It returns the log.
func playCut(t *testing.T, play func(ctx context.Context, p *cutWorker)) string {
	var logged bytes.Buffer
	pool := withoutFaults(t, 0, func(ctx context.Context, pool *testPool) {
		p := &cutWorker{testPool: pool}
		pool.mu.Lock()
		pool.list = pool.reachable
		pool.log.Writer = log.IOWriter{Writer: &logged}
		pool.mu.Unlock()
		pool.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 400 * time.Millisecond, runs.Done }
		for i := range 6 {
			kind := "a"
			if i == 0 {
				kind = "b"
			}
			pool.workers.Join(hosts.Worker{ID: fmt.Sprintf("w%d", i), Pool: poolName, Capacity: hosts.Resources{CPU: 8000, Mem: 8000}, Labels: []string{kind}})
		}
		time.Sleep(2 * time.Second)
		p.load(2 * time.Second)
		play(ctx, p)
		p.load(30 * time.Second)
		time.Sleep(14 * time.Second)
	})
	require.Zero(t, pool.countOpen(), "LOST, of %d jobs", len(pool.jobs))
	return logged.String()
}

// load hands in jobs for a time, fifteen subtasks a second for each kind.
func (p *cutWorker) load(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, kind := range []string{"a", "b"} {
			p.next++
			p.submit(&steps.Job{ID: fmt.Sprintf("%016x", p.next), Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 3, CPU: 500, EstimateMs: 400, Label: kind}}})
		}
	}
}

// cut cuts workers off, one after the other, each for a time.
func (p *cutWorker) cut(d time.Duration, ids ...string) {
	for _, id := range ids {
		p.workers.SetUnreachable(id, true)
		p.load(d)
		p.workers.SetUnreachable(id, false)
	}
}

// LOST: a worker is cut off once and finishes its runs meanwhile. Their ends are superseded, and
// none of the worker's later ends was acknowledged, so that it got no more work after 300 of them.
func TestWorkerThatWasCutOffGetsWork(t *testing.T) {
	all := []string{"w0", "w1", "w2", "w3", "w4", "w5"}
	for name, play := range map[string]func(ctx context.Context, p *cutWorker){
		"once":        func(_ context.Context, p *cutWorker) { p.cut(5*time.Second, "w0") },
		"five times":  func(_ context.Context, p *cutWorker) { p.cut(5*time.Second, "w0", "w0", "w0", "w0", "w0") },
		"all workers": func(_ context.Context, p *cutWorker) { p.cut(5*time.Second, all...) },
		"then the owner is lost": func(ctx context.Context, p *cutWorker) {
			p.cut(5*time.Second, "w0")
			p.load(3 * time.Second)
			p.kill(ctx, p.leader())
		},
		"the owner is lost before it returns": func(ctx context.Context, p *cutWorker) {
			p.workers.SetUnreachable("w0", true)
			p.load(4700 * time.Millisecond)
			p.kill(ctx, p.leader())
			p.load(time.Second)
			p.workers.SetUnreachable("w0", false)
		},
		"the owner is lost in the cut": func(ctx context.Context, p *cutWorker) {
			p.workers.SetUnreachable("w0", true)
			p.load(time.Second)
			p.kill(ctx, p.leader())
			p.load(9 * time.Second)
			p.workers.SetUnreachable("w0", false)
		},
		"two owners are lost": func(ctx context.Context, p *cutWorker) {
			p.workers.SetUnreachable("w0", true)
			p.load(5 * time.Second)
			p.kill(ctx, p.leader())
			p.load(5 * time.Second)
			p.kill(ctx, p.leader())
			p.load(time.Second)
			p.workers.SetUnreachable("w0", false)
		},
	} {
		t.Run(name, func(t *testing.T) { playCut(t, play) })
	}
}

// LOST: nothing shows that the leases of workers with withheld ends have lapsed, as they don't
// say which incarnation answers. Each must rest until its lease has lapsed, one at a time, and
// lose what lasts there to another worker before.
func TestWorkerWithWithheldEndsRests(t *testing.T) {
	for name, v := range map[string]struct {
		ids   []string
		rests bool // else the worker is idle before it has too many such ends
	}{"busy": {[]string{"w0"}, true}, "idle": {[]string{"w1"}, false}, "all": {[]string{"w0", "w1", "w2", "w3", "w4", "w5"}, true}} {
		t.Run(name, func(t *testing.T) {
			lasting := &steps.Job{ID: fmt.Sprintf("%016x", 1<<40), Queue: "q", Steps: []steps.Step{{Count: 5, CPU: 500, LongRunning: true, MaxUnavailable: 1, Label: "a"}}}
			var away time.Duration
			logged := playCut(t, func(_ context.Context, p *cutWorker) {
				p.hideIncarnations()
				p.cut(8*time.Second, v.ids...)
				p.submit(lasting) // one that ran in the cut would be listed as lapsed
				p.load(10 * time.Second)
				for range 600 {
					p.next++
					p.submit(&steps.Job{ID: fmt.Sprintf("%016x", p.next), Queue: "q", MaxAttempts: 3, Steps: []steps.Step{{Count: 3, CPU: 500, EstimateMs: 400, Label: "a"}}})
					time.Sleep(100 * time.Millisecond)
					if n := p.runningOf(lasting); n < 4 {
						away += 100 * time.Millisecond
					}
				}
				p.cancel(lasting.ID)
			})
			require.NotZero(t, strings.Count(logged, "ignoring the end of a superseded run"))
			rests := strings.Count(logged, "worker gets no starts until its lease lapses")
			require.Equal(t, v.rests, rests > 0)
			require.Equal(t, rests, strings.Count(logged, "worker may be used again"))
			require.NotZero(t, strings.Count(logged, "withheld ends may be acknowledged"))
			require.Zero(t, away, "AVAIL")
		})
	}
}

// hideIncarnations makes workers say nothing of their incarnation.
func (p *cutWorker) hideIncarnations() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = func() []hosts.Worker {
		out := p.reachable()
		for i := range out {
			out[i].StartedMs = 0
		}
		return out
	}
	p.renew = func(ctx context.Context, to runs.Target, n runs.Renew) (runs.Report, error) {
		r, err := p.workers.Renew(ctx, to, n)
		r.StartedMs = 0
		return r, err
	}
}

// runningOf returns how many subtasks of a job are active.
func (p *cutWorker) runningOf(j *steps.Job) int {
	n := 0
	for task := range p.workers.Running() {
		if task.Job == j.ID {
			n++
		}
	}
	return n
}
