package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"shallotpaddle/fakes"
	"shallotpaddle/fakes/site"
	"shallotpaddle/steps"
)

// Workers that restart and are cut off follow each other, with a mean pause of restartGap between
// the begins of two.
const (
	restartGap = 1500 * time.Millisecond
	minCut     = time.Second
	maxCut     = 9 * time.Second
	orderLimit = 2 * time.Second // from a worker's return until it is cut off without an order
)

// restartSchedule returns the restarts of a run that cuts follow.
func restartSchedule(seed uint64, d time.Duration) []event {
	r := rand.New(rand.NewPCG(seed, streamRestart))
	var out []event
	for at := firstFault; at < d; at += minGap + time.Duration(r.Float64()*2*float64(restartGap)) {
		length := minCut + time.Duration(r.Float64()*float64(maxCut-minCut))
		out = append(out, event{"worker restarted and cut", at, length, r.IntN(1 << 16), r.Float64()})
	}
	return out
}

// restartPlan is the manner of a restart and of the cut after it.
type restartPlan struct {
	idle   bool          // a worker that runs nothing, if there is one
	dark   time.Duration // how long it is silent before, 0 if calls are refused while it is down
	down   time.Duration // until it is back under its ID
	submit time.Duration // from the begin until a job is handed in
	lost   int           // polls of the next incarnation without an answer
	cut    time.Duration // from the first order that reaches it until it is cut off
	closed bool          // the cut closes its connections, else they are silent
	listed bool          // its entry stays
}

func drawRestart(r *rand.Rand) restartPlan {
	ms := func(least, most int) time.Duration {
		return time.Duration(least+r.IntN(most-least)) * time.Millisecond
	}
	p := restartPlan{
		idle: r.IntN(4) > 0, down: ms(50, 1200), lost: r.IntN(6), cut: ms(0, 2000), closed: r.IntN(4) == 0, listed: r.IntN(2) == 0,
	}
	if r.IntN(2) == 0 {
		p.dark = ms(1, 1000)
	}
	if r.IntN(2) == 0 { // before the owner's next call
		p.down, p.cut = ms(50, 150), ms(0, 100)
	}
	p.submit = p.dark + p.down + ms(0, 600)
	return p
}

// restartAndCut restarts a worker under its ID, and cuts it off after its first order.
func restartAndCut(ctx context.Context, s *Soak, e event) bool {
	r := rand.New(rand.NewPCG(uint64(e.Pick), streamRestart))
	p := drawRestart(r)
	if p.idle {
		e.Pick = s.idlePick(e.Pick)
	}
	return onWorker(func(ctx context.Context, s *Soak, w *worker, e event) {
		s.checks.log.Info().Str("worker", w.ID).Str("plan", fmt.Sprintf("%+v", p)).Msg("worker restarts")
		handIn := time.AfterFunc(p.submit, func() { s.handIn(longLoad(r, w)) })
		defer handIn.Stop()
		s.restart(ctx, w, p)
		if !s.has(w) {
			return
		}
		ordered := s.watchOrders(w.ID, p.lost)
		defer s.workerFaults.Delete(w.ID)
		select {
		case <-ordered:
		case <-time.After(orderLimit):
		case <-ctx.Done():
			return
		}
		wait(ctx, p.cut)
		s.checks.log.Info().Str("worker", w.ID).Msg("worker is cut off")
		s.cutWorker(ctx, w, p, e.For)
	})(ctx, s, e)
}

// idlePick returns the pick of a worker that runs nothing and has no fault, the given one if there
// is none. Of workers with as much room, owners start work on the first.
func (s *Soak) idlePick(pick int) int {
	busy := map[string]bool{}
	for _, id := range s.workers.Running() {
		busy[id] = true
	}
	for i := pick % len(site.Pools); i < s.opt.Workers; i += len(site.Pools) {
		if w := s.worker(i); !busy[w.ID] && w.busy.TryLock() {
			w.busy.Unlock()
			return i
		}
	}
	return pick
}

func (s *Soak) restart(ctx context.Context, w *worker, p restartPlan) {
	if p.dark > 0 {
		s.workers.SetUnreachable(w.ID, true)
		wait(ctx, p.dark)
	} else {
		w.link.cut()
		defer w.link.join()
	}
	s.workers.Crash(w.ID)
	wait(ctx, p.down)
	if s.has(w) {
		s.workers.Join(w.Worker)
	}
}

func (s *Soak) cutWorker(ctx context.Context, w *worker, p restartPlan, d time.Duration) {
	if p.closed {
		w.link.cut()
		defer w.link.join()
	} else {
		s.workers.SetUnreachable(w.ID, true)
		defer s.workers.SetUnreachable(w.ID, false)
	}
	if !p.listed {
		s.unheard.Store(w.ID, true)
		defer s.unheard.Delete(w.ID)
	}
	wait(ctx, d)
}

// watchOrders leaves the next polls of a worker without an answer, and returns a channel that is
// closed with the first start there.
func (s *Soak) watchOrders(worker string, polls int) <-chan struct{} {
	var mu sync.Mutex
	ordered, started := make(chan struct{}), false
	s.workerFaults.Store(worker, func(op string) fakes.CallFault {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case op == "start" && !started:
			started = true
			close(ordered)
		case op == "renew" && polls > 0:
			polls--
			return fakes.DropCall
		}
		return fakes.NoFault
	})
	return ordered
}

// workerFault returns the fault of a call to a worker.
func (s *Soak) workerFault(worker, op string) fakes.CallFault {
	if f, ok := s.workerFaults.Load(worker); ok {
		return f.(func(string) fakes.CallFault)(op)
	}
	return fakes.NoFault
}

// longLoad draws a job in the pool of w of subtasks that outlast a cut, and fit on workers that run
// little.
func longLoad(r *rand.Rand, w *worker) *load {
	l := &load{length: 10*time.Second + time.Duration(r.IntN(4000))*time.Millisecond}
	l.ID, l.Payload, l.MaxAttempts = fmt.Sprintf("%016x", r.Uint64()), "long work", maxAttempts
	for queue, of := range site.Pools {
		if of == w.Pool {
			l.Queue = queue
		}
	}
	l.Steps = []steps.Step{{Count: 2, CPU: 3 * capacity.CPU / 4, Mem: 50, EstimateMs: l.length.Milliseconds()}}
	return l
}
