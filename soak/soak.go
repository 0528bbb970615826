package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotpaddle/daemon"
	"shallotpaddle/fakes"
	"shallotpaddle/fakes/site"
	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/policy"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// Options are the settings of a soak.
type Options struct {
	Seed    uint64
	For     time.Duration // how long there are faults
	Gap     time.Duration // mean pause between two faults
	Entries int           // number of processes
	Workers int
	Rate    float64 // jobs handed in per second
	Program string  // path of the program
	Dir     string  // for logs, settings and the report
	// Odd leaves odd entries among those of the workers, beside the other faults.
	Odd bool
	// Split splits pools between two groups of entries, beside the other faults.
	Split bool
	// Restart restarts workers under their IDs and cuts them off soon after, beside the other
	// faults, and has long subtasks at work.
	Restart bool
	// Crowd sends crowds of clients that are not trusted, beside the other faults.
	Crowd bool
	// Spaces configures workspaces with keys and quotas, and changes these beside the other faults.
	Spaces bool
	// Settle is the longest time from the last fault until all jobs must have ended.
	Settle time.Duration
	// plant is a fault that the soak must notice, and at which it ends then.
	plant plant
}

// plant has the faults of a stand-in or of the soak itself, which break a promise.
type plant struct {
	site.Twists
	// answer falsifies the answers to callers.
	answer func(method string, status int, state string) (int, string)
	// apart changes a job on its way to the entries.
	apart func(steps.Job) *steps.Job
	// events replaces the schedule.
	events []event
	// promise is the name of the promise that is broken, empty if nothing is planted.
	promise string
	// spaces changes the workspaces that are written into a configuration.
	spaces func(version int, list []policy.Workspace) []policy.Workspace
	// public changes whether openQueue is public in a configuration.
	public func(public bool) bool
	// load changes the jobs that are drawn.
	load func(*load)
	// noRestart leaves killed entries dead; noCancel and noTerm keep cancels and SIGTERM
	// from being sent.
	noRestart, noCancel, noTerm bool
}

// capacity is that of each worker.
var capacity = hosts.Resources{CPU: 4000, Mem: 4096}

// maxAttempts is the queue's.
const maxAttempts = 3

// Soak is one run.
type Soak struct {
	opt     Options
	begun   time.Time
	kv      *fakes.KV
	workers *fakes.WorkerSet
	site    *site.Site
	starter *starter
	caller  *site.Caller
	net     *loopback
	entries []*entry
	fleet   string // address

	storeFault atomic.Pointer[func(op, key string) fakes.CallFault]
	split      atomic.Pointer[split] // nil without one
	unheard    sync.Map              // IDs of workers that don't reach the store
	// workerFaults has the faults of calls to workers by ID, as func(op string) fakes.CallFault.
	workerFaults sync.Map
	// handIn hands a job in beside the usual ones, while there are faults.
	handIn      func(*load)
	senders     sync.Map // sender by fencing token, of all that the store has seen
	busyWorkers atomic.Int64
	interrupted func() bool
	checks      *checks
	spaces      *spaces    // nil without workspaces
	configuring sync.Mutex // held while a configuration is written
	versions    int        // number of configurations, guarded by configuring

	mu         sync.Mutex
	pool       []*worker
	nextWorker int
	loads      map[string]*load // by job ID
	starts     map[runs.Task]int
	closers    []func()
	logs       *os.File
	closed     bool
	configs    int           // number of configurations that added a queue
	configAt   time.Time     // time of the last one
	waves      int           // number of waves
	settling   chan struct{} // closed when jobs that last are to be cancelled
}

// entry is an entry's process with its settings and its link to the store.
type entry struct {
	site.Entry
	file, log string
	store     *link
	busy      sync.Mutex // held by a fault of the process
	// strictSince is since when the entry is to have the setting StrictRevocation, in Unix
	// nanoseconds; 0 while it isn't.
	strictSince atomic.Int64
	proc        atomic.Pointer[process]
}

func (en *entry) process() *process { return en.proc.Load() }

// worker is a stand-in of a worker with its link.
type worker struct {
	hosts.Worker
	link *link
	busy sync.Mutex // held by a fault of the worker
}

// New returns a soak whose stand-ins and entries run; Close ends them.
func New(opt Options) (*Soak, error) {
	logs, err := os.OpenFile(filepath.Join(opt.Dir, "soak.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	s := &Soak{
		opt: opt, kv: fakes.NewKV(), workers: fakes.NewWorkerSet(site.MaxLease), starter: newStarter(), settling: make(chan struct{}),
		caller: site.NewCaller(callTimeout), checks: newChecks(daemon.NewLogger(logs, "info")), loads: map[string]*load{}, starts: map[runs.Task]int{},
		logs: logs,
	}
	s.kv.InjectFault = func(op, key string) fakes.CallFault {
		if f := s.storeFault.Load(); f != nil {
			return (*f)(op, key)
		}
		return fakes.NoFault
	}
	s.kv.OnPut = func(it plat.Item) {
		s.recordSender(it)
		s.recordSpace(it)
	}
	s.workers.DecideRun = s.decideRun
	s.workers.InjectFault = s.workerFault
	s.caller.Twist = opt.plant.answer
	s.workers.PoolOf = site.Pools
	s.site = site.New(s.kv, s.workers, site.Machines{Left: s.dropWorker, Back: s.returnMachine}, opt.plant.Twists)
	s.site.SetPaths(s.path)
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Soak) start() error {
	var err error
	if s.net, err = newLoopback(); err != nil {
		return err
	}
	store, err := s.serve(s.site.StoreHandler())
	if err != nil {
		return err
	}
	if s.fleet, err = s.serve(s.site.FleetHandler()); err != nil {
		return err
	}
	if s.opt.Spaces {
		s.spaces = newSpaces(s.opt.Seed)
		s.workers.CheckQuota = s.checkQuota
	}
	s.configure(nil)
	pools := slices.Sorted(maps.Values(site.Pools))
	for i := range s.opt.Workers {
		if err := s.addWorker(fmt.Sprintf("m%02d", i), pools[i%len(pools)]); err != nil {
			return err
		}
	}
	for i := range s.opt.Entries {
		if err := s.addEntry(i, store); err != nil {
			return err
		}
	}
	return nil
}

// serve serves a stand-in and returns its address.
func (s *Soak) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", s.net.address())
	if err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }() // it ends with Close
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

// newLink returns a link to an address, which is cut for good at the end.
func (s *Soak) newLink(name, upstream string) (*link, error) {
	l, err := newLink(name, s.net.address(), upstream)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, l.cut)
	return l, nil
}

func (s *Soak) addEntry(i int, store string) error {
	name := fmt.Sprintf("e%02d", i)
	l, err := s.newLink(name+">store", store)
	if err != nil {
		return err
	}
	en := &entry{
		Entry: site.Entry{Name: name, Centre: centreName(i), Callers: s.net.address(), Readiness: s.net.address(), Store: l.listen, Fleet: s.fleet},
		file:  filepath.Join(s.opt.Dir, name+".conf"), log: filepath.Join(s.opt.Dir, name+".log"), store: l,
	}
	s.writeSettings(en)
	s.entries = append(s.entries, en)
	s.startEntry(en)
	return nil
}

// writeSettings replaces an entry's settings at once: its process may just be reading them.
func (s *Soak) writeSettings(en *entry) {
	next := en.file + ".next"
	err := os.WriteFile(next, []byte(s.site.Settings(&en.Entry)), 0o600)
	if err == nil {
		err = os.Rename(next, en.file)
	}
	if err != nil {
		s.check("SOAK", false, "%v", err)
	}
}

// startEntry starts an entry's process, and watches that it doesn't end by itself.
func (s *Soak) startEntry(en *entry) {
	if s.opt.plant.noRestart && en.process() != nil {
		return
	}
	p, err := s.starter.start(en.log, s.opt.Program, "node", "-settings", en.file)
	if err != nil {
		s.check("SOAK", false, "%v", err)
		return
	}
	en.proc.Store(p)
	go func() {
		<-p.done
		s.check("EXIT", p.stopped.Load(), "%s ended by itself: %s", en.Name, p.cmd.ProcessState)
	}()
}

// centres is the number of data centres.
const centres = 3

// centreName returns the data centre of the entry or machine with a number.
func centreName(number int) string { return fmt.Sprintf("z%d", number%centres) }

// addWorker adds a worker with a new ID on a machine.
func (s *Soak) addWorker(machine, pool string) error {
	s.mu.Lock()
	n := s.nextWorker
	s.nextWorker++
	s.mu.Unlock()
	id := fmt.Sprintf("w%02d", n)
	address, err := s.serve(s.site.WorkerHandler(id))
	if err != nil {
		return err
	}
	l, err := s.newLink(id, address)
	if err != nil {
		return err
	}
	rack := fmt.Sprintf("r%d", n%2)
	number, _ := strconv.Atoi(strings.TrimPrefix(machine, "m"))
	w := &worker{link: l, Worker: hosts.Worker{
		ID: id, Pool: pool, Address: l.listen, Centre: centreName(number), Capacity: capacity, Labels: []string{"plain", rack}, Rack: rack, Host: machine,
	}}
	s.workers.Join(w.Worker)
	s.site.Enter(w.Worker)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool = append(s.pool, w)
	return nil
}

// returnMachine adds a worker on a machine that was moved or maintained.
func (s *Soak) returnMachine(machine, pool string) {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return
	}
	if err := s.addWorker(machine, pool); err != nil {
		s.check("SOAK", false, "%v", err)
	}
}

// worker returns one of the workers.
func (s *Soak) worker(pick int) *worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool[pick%len(s.pool)]
}

// dropWorker drops a worker that an order on its machine has ended.
func (s *Soak) dropWorker(w hosts.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.pool {
		if v.ID == w.ID {
			go v.link.cut() // for good
		}
	}
	s.pool = slices.DeleteFunc(s.pool, func(v *worker) bool { return v.ID == w.ID })
}

// has tells whether a worker has not been dropped.
func (s *Soak) has(w *worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.pool, w)
}

// Close ends the entries and the stand-ins.
func (s *Soak) Close() {
	for _, en := range s.entries {
		if p := en.process(); p != nil {
			p.kill()
		}
	}
	s.starter.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, f := range s.closers {
		f()
	}
	if s.net != nil {
		s.net.close()
	}
	s.caller.Close()
	_ = s.logs.Close()
}

// Run runs the load and the faults until the schedule is over and all jobs have ended.
func (s *Soak) Run(ctx context.Context, progress func(Report)) Report {
	var running sync.WaitGroup // faults
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.interrupted = func() bool { return ctx.Err() != nil }
	background, stop := context.WithCancel(ctx)
	defer stop()
	s.checks.onViolation = func(promise string) {
		if s.opt.plant.promise == promise {
			cancel()
		}
	}
	go every(background, site.Heartbeat, func() { s.site.Beat(s.reachesStore) })
	if s.opt.plant.promise == "" { // a stall must not excuse what was planted
		go s.checks.watchStalls(background)
	}
	go every(background, violationsPeriod, s.readViolations)
	go every(background, violationsPeriod, s.checkWaves)
	for _, en := range s.entries {
		go s.checkConfig(background, en)
		go s.checkKeys(background, en)
	}
	go every(background, time.Second, func() { progress(s.report()) })
	s.awaitReady(ctx)
	s.begun = time.Now()
	traffic, stopTraffic := context.WithTimeout(ctx, s.opt.For)
	defer stopTraffic()
	life, endLife := context.WithCancel(ctx)
	var jobs errgroup.Group
	s.handIn = func(l *load) { s.submit(life, &jobs, l, s.opt.Seed) }
	var planned sync.WaitGroup
	planned.Go(func() { s.runFaults(traffic, &running) })
	r := rand.New(rand.NewPCG(s.opt.Seed, streamLoad))
	s.runLoad(traffic, life, &jobs, r)
	planned.Wait()
	last := s.checks.awaitEnd(ctx)
	settle, done := context.WithTimeout(ctx, s.opt.Settle)
	defer done()
	s.settle(settle, last, &jobs, endLife, r)
	s.readViolations()
	out := s.report()
	out.Interrupted = ctx.Err() != nil
	return out
}

// runFaults causes the faults of the schedule until the context ends.
func (s *Soak) runFaults(ctx context.Context, running *sync.WaitGroup) {
	events := s.opt.plant.events
	if events == nil && s.opt.plant.promise == "" {
		events = schedule(s.opt.Seed, s.opt.For, s.opt.Gap)
	}
	if s.opt.Odd {
		events = merge(events, oddSchedule(s.opt.Seed, s.opt.For))
	}
	if s.opt.Split {
		events = merge(events, splitSchedule(s.opt.Seed, s.opt.For))
	}
	if s.opt.Crowd {
		events = merge(events, crowdSchedule(s.opt.Seed, s.opt.For))
	}
	if s.opt.Restart {
		events = merge(events, restartSchedule(s.opt.Seed, s.opt.For))
	}
	if s.opt.Spaces {
		events = merge(events, spacesSchedule(s.opt.Seed, s.opt.For))
	}
	for _, e := range events {
		wait(ctx, time.Until(s.begun.Add(e.At)))
		if ctx.Err() != nil {
			return
		}
		s.checks.log.Info().Str("kind", e.Kind).Dur("for", e.For).Int("pick", e.Pick).Float64("size", e.Size).Msg("fault")
		end := s.checks.disturb(e.Kind)
		running.Go(func() {
			s.checks.countFault(e.Kind, faults[e.Kind].run(ctx, s, e))
			end()
		})
	}
}

// reachesStore tells whether a worker's entry reaches the store.
func (s *Soak) reachesStore(worker string) bool {
	_, away := s.unheard.Load(worker)
	return !away
}

// readyLimit is how long the first start of the entries may take.
const readyLimit = 15 * time.Second

func (s *Soak) awaitReady(ctx context.Context) {
	end := time.Now().Add(readyLimit)
	for _, en := range s.entries {
		for !s.caller.Ready(ctx, en.Readiness) && ctx.Err() == nil {
			if time.Now().After(end) {
				s.check("RECOVER", false, "%s is not ready %s after its start", en.Name, readyLimit)
				return
			}
			wait(ctx, 50*time.Millisecond)
		}
	}
}

// every calls f now and then every period, until the context ends.
func every(ctx context.Context, period time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		wait(ctx, period)
	}
}
