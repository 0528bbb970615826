package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"shallotpaddle/fakes"
	"shallotpaddle/fakes/site"
	"shallotpaddle/hosts"
)

// fault is a kind of fault.
type fault struct {
	weight      int           // how often it is drawn, against the others
	least, most time.Duration // how long it lasts
	gentle      bool          // leaves the entries in touch
	// run causes the fault, waits for its end, and undoes it. It returns false if it can't
	// be caused now.
	run func(ctx context.Context, s *Soak, e event) bool
}

// faults are the kinds of fault by name.
var faults map[string]fault

func init() {
	faults = map[string]fault{
		"entry paused":          {3, 300 * time.Millisecond, 6 * time.Second, false, onEntry(pauseEntry)},
		"entry killed":          {3, 100 * time.Millisecond, 3 * time.Second, false, onEntry(killEntry)},
		"entry stopped":         {2, 100 * time.Millisecond, time.Second, false, onEntry(stopEntry)},
		"entry reloaded":        {1, 0, 0, true, onEntry(reloadEntry)},
		"all entries killed":    {1, 100 * time.Millisecond, 2 * time.Second, false, killAll},
		"entry-store delayed":   {2, time.Second, 4 * time.Second, false, onEntryLink(delay)},
		"entry-store reset":     {2, 0, 0, false, onEntryLink(resetLink)},
		"entry-store cut":       {3, 500 * time.Millisecond, 5 * time.Second, false, onEntryLink(cutLink)},
		"entry-store one way":   {2, 500 * time.Millisecond, 4 * time.Second, false, onEntryLink(oneWay)},
		"entry-store silent":    {2, 500 * time.Millisecond, 4 * time.Second, false, onEntryLink(silence)},
		"worker-link delayed":   {2, time.Second, 4 * time.Second, false, onWorkerLink(delay)},
		"worker-link reset":     {2, 0, 0, false, onWorkerLink(resetLink)},
		"worker-link cut":       {2, 500 * time.Millisecond, 6 * time.Second, false, onWorkerLink(cutLink)},
		"worker-link one way":   {2, 500 * time.Millisecond, 4 * time.Second, false, onWorkerLink(oneWay)},
		"worker-link silent":    {2, 500 * time.Millisecond, 6 * time.Second, false, onWorkerLink(silence)},
		"store down":            {1, 300 * time.Millisecond, 3 * time.Second, false, storeFault(fakes.RefuseCall, 1)},
		"store answers lost":    {2, time.Second, 3 * time.Second, false, storeFault(fakes.DropAnswer, 0.3)},
		"store writes late":     {2, time.Second, 3 * time.Second, false, storeFault(fakes.DelayCall, 0.2)},
		"store slow":            {1, time.Second, 3 * time.Second, false, slowStore},
		"store history dropped": {1, 0, 0, true, func(_ context.Context, s *Soak, _ event) bool { s.kv.Compact(); return true }},
		"wave":                  {1, 0, 0, true, startWave},
		"configuration":         {2, 0, 0, true, changeConfig},
		"worker crashed":        {3, 500 * time.Millisecond, 4 * time.Second, true, onWorker(crashWorker)},
		"worker drained":        {2, 2500 * time.Millisecond, 5 * time.Second, true, onWorker(drainWorker)},
		"worker shrunk":         {1, 6 * time.Second, 8 * time.Second, true, onWorker(shrinkWorker)},
		"entry odd":             {0, 0, 0, true, oddEntry},    // see oddSchedule
		"pool split":            {0, 0, 0, false, splitPools}, // see splitSchedule
		"crowd":                 {0, 0, 0, false, crowd},      // see crowdSchedule

		"workspace burst":   {0, 0, 0, true, burst}, // see spacesSchedule, also for the next six
		"key replaced":      {0, 0, 0, true, replaceKey},
		"quota lowered":     {0, 0, 0, true, lowerQuota},
		"workspace renamed": {0, 0, 0, true, renameSpace},
		"workspace removed": {0, 0, 0, true, removeSpace},
		"queue public":      {0, 0, 0, true, openQueuePublic},
		"revocation strict": {0, 0, 0, true, strictEntry},

		"worker restarted and cut": {0, 0, 0, false, restartAndCut}, // see restartSchedule
	}
}

// onEntry returns a fault of an entry's process. An entry has one such fault at a time.
func onEntry(f func(ctx context.Context, s *Soak, en *entry, e event)) func(context.Context, *Soak, event) bool {
	return func(ctx context.Context, s *Soak, e event) bool {
		for i := range s.entries {
			en := s.entries[(e.Pick+i)%len(s.entries)]
			if en.busy.TryLock() {
				defer en.busy.Unlock()
				f(ctx, s, en, e)
				return true
			}
		}
		return false
	}
}

func pauseEntry(ctx context.Context, _ *Soak, en *entry, e event) {
	en.process().signal(syscall.SIGSTOP)
	wait(ctx, e.For)
	en.process().signal(syscall.SIGCONT)
}

func killEntry(ctx context.Context, s *Soak, en *entry, e event) {
	en.process().kill()
	wait(ctx, e.For)
	s.startEntry(en)
}

// stopEntry stops an entry, which must end well within the grace period; in half of the
// cases its settings change meanwhile.
func stopEntry(ctx context.Context, s *Soak, en *entry, e event) {
	if e.Size < 0.5 && listens(en.Callers) {
		hangup := time.AfterFunc(time.Duration(e.Size*float64(time.Second)), func() { en.process().signal(syscall.SIGHUP) })
		defer hangup.Stop()
	}
	s.stopProcess(en)
	wait(ctx, e.For)
	s.startEntry(en)
}

func (s *Soak) stopProcess(en *entry) {
	p, up := en.process(), listens(en.Callers)
	if !s.opt.plant.noTerm {
		p.signal(syscall.SIGTERM)
	}
	begun, stalled := time.Now(), s.checks.stallTime()
	limit := site.GracePeriod
	for left := limit; left > 0; left = time.Until(begun.Add(limit)) {
		select {
		case <-p.done:
			s.checks.log.Info().Str("entry", en.Name).Dur("took", time.Since(begun)).Msg("entry stopped")
			s.check("EXIT", p.cmd.ProcessState.ExitCode() == 0 || !up, "%s exited with %s after SIGTERM", en.Name, p.cmd.ProcessState)
			return
		case <-time.After(left):
			limit = site.GracePeriod + s.checks.stallTime() - stalled
		}
	}
	s.check("EXIT", false, "%s still runs %s after SIGTERM", en.Name, time.Since(begun))
	p.kill()
}

// listens tells whether there is a listener at an address. A process without one has just
// begun, and may end by a signal that it doesn't handle yet.
func listens(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

func reloadEntry(_ context.Context, s *Soak, en *entry, _ event) {
	en.Reloads++
	s.writeSettings(en)
	if listens(en.Callers) {
		en.process().signal(syscall.SIGHUP)
	}
}

func killAll(ctx context.Context, s *Soak, e event) bool {
	var locked []*entry
	for _, en := range s.entries {
		if en.busy.TryLock() {
			locked = append(locked, en)
			continue
		}
		for _, en := range locked {
			en.busy.Unlock()
		}
		return false
	}
	for _, en := range locked {
		en.process().signal(syscall.SIGKILL)
	}
	for _, en := range locked {
		<-en.process().done
	}
	wait(ctx, e.For)
	for _, en := range locked {
		s.startEntry(en)
		en.busy.Unlock()
	}
	return true
}

func onEntryLink(f func(ctx context.Context, l *link, e event)) func(context.Context, *Soak, event) bool {
	return func(ctx context.Context, s *Soak, e event) bool {
		f(ctx, s.entries[e.Pick%len(s.entries)].store, e)
		return true
	}
}

func onWorkerLink(f func(ctx context.Context, l *link, e event)) func(context.Context, *Soak, event) bool {
	return func(ctx context.Context, s *Soak, e event) bool {
		f(ctx, s.worker(e.Pick).link, e)
		return true
	}
}

// maxDelay is the longest delay of a connection in milliseconds: calls of the program
// to workers time out after 700 ms, those to the store after 1,200 ms.
const maxDelay = 1500

// delay delays the calls, so that they are carried out late, or the answers.
func delay(ctx context.Context, l *link, e event) {
	ms := 20 + int(e.Size*e.Size*maxDelay)
	undo := l.toxic("latency", streamOf(e), 1, fmt.Sprintf(`{"latency":%d,"jitter":%d}`, ms, ms/2))
	defer undo()
	wait(ctx, e.For)
}

func resetLink(_ context.Context, l *link, _ event) { l.reset() }

func cutLink(ctx context.Context, l *link, e event) {
	l.cut()
	defer l.join()
	wait(ctx, e.For)
}

// oneWay drops all bytes in one direction.
func oneWay(ctx context.Context, l *link, e event) {
	defer l.toxic("timeout", streamOf(e), 1, `{"timeout":0}`)()
	wait(ctx, e.For)
}

// streamOf returns the direction of a fault that has one.
func streamOf(e event) string {
	if e.Pick/2%2 == 0 {
		return "upstream"
	}
	return "downstream"
}

// silence drops all bytes of some connections, while others work.
func silence(ctx context.Context, l *link, e event) {
	share := 0.3 + 0.7*e.Size
	defer l.toxic("timeout", "upstream", share, `{"timeout":0}`)()
	defer l.toxic("timeout", "downstream", share, `{"timeout":0}`)()
	wait(ctx, e.For)
}

// storeFault returns a fault of a share of the calls to the store. Two such faults
// exclude each other.
func storeFault(f fakes.CallFault, share float64) func(context.Context, *Soak, event) bool {
	return func(ctx context.Context, s *Soak, e event) bool {
		var mu sync.Mutex
		r := rand.New(rand.NewPCG(uint64(e.Pick), streamStore))
		inject := func(op, _ string) fakes.CallFault {
			mu.Lock()
			defer mu.Unlock()
			// A watch that is carried out late has no effect, and one without an answer is
			// a slow one.
			if share < 1 && op == "watch" || r.Float64() >= share {
				return fakes.NoFault
			}
			return f
		}
		if !s.storeFault.CompareAndSwap(nil, &inject) {
			return false
		}
		defer s.storeFault.Store(nil)
		wait(ctx, e.For)
		return true
	}
}

func slowStore(ctx context.Context, s *Soak, e event) bool {
	for _, en := range s.entries {
		defer en.store.toxic("latency", "downstream", 1, fmt.Sprintf(`{"latency":%d}`, 10+int(e.Size*300)))()
	}
	wait(ctx, e.For)
	return true
}

// onWorker returns a fault of a worker. A worker has one such fault at a time, and half
// of them have none.
func onWorker(f func(ctx context.Context, s *Soak, w *worker, e event)) func(context.Context, *Soak, event) bool {
	return func(ctx context.Context, s *Soak, e event) bool {
		w := s.worker(e.Pick)
		if s.busyWorkers.Add(1) > int64(s.opt.Workers/2) || !w.busy.TryLock() {
			s.busyWorkers.Add(-1)
			return false
		}
		defer s.busyWorkers.Add(-1)
		defer w.busy.Unlock()
		f(ctx, s, w, e)
		return true
	}
}

// crashWorker crashes a worker, which is back under its ID.
func crashWorker(ctx context.Context, s *Soak, w *worker, e event) {
	s.workers.Crash(w.ID)
	w.link.cut()
	wait(ctx, e.For)
	if s.has(w) {
		w.link.join()
		s.workers.Join(w.Worker)
	}
}

// drainWorker makes a worker leave; another one takes its place.
func drainWorker(ctx context.Context, s *Soak, w *worker, e event) {
	s.workers.Drain(w.ID, drainNotice)
	s.mu.Lock()
	name := fmt.Sprintf("m%02d", s.nextWorker)
	s.mu.Unlock()
	s.returnMachine(name, w.Pool)
	wait(ctx, e.For)
	if s.has(w) {
		s.workers.Crash(w.ID)
		s.dropWorker(w.Worker)
		s.site.Leave(w.Host)
	}
}

// drainNotice is the least time from a worker's notice to its end.
const drainNotice = 2 * time.Second

// shrinkWorker halves a worker's capacity.
func shrinkWorker(ctx context.Context, s *Soak, w *worker, e event) {
	s.workers.SetCapacity(w.ID, hosts.Resources{CPU: capacity.CPU / 2, Mem: capacity.Mem / 2})
	wait(ctx, e.For)
	s.workers.SetCapacity(w.ID, capacity)
}

// Waves.
const (
	waveSize = 3 // machines
	waveTime = 15 * time.Second
)

// startWave requests the maintenance of some machines.
func startWave(_ context.Context, s *Soak, e event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var machines []string
	for i := range min(waveSize, len(s.pool)) {
		machines = append(machines, s.pool[(e.Pick+i)%len(s.pool)].Host)
	}
	s.waves++
	s.site.PutWave(strconv.Itoa(s.waves), machines, waveTime, 1+e.Pick%2)
	return true
}

// changeConfig adds a queue to the configuration.
func changeConfig(_ context.Context, s *Soak, _ event) bool {
	s.mu.Lock()
	s.configs++
	s.configAt = time.Now()
	s.mu.Unlock()
	s.configure(nil)
	return true
}

// wait waits for d, or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
