package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"shallotpaddle/fakes"
	"shallotpaddle/fakes/site"
	"shallotpaddle/hosts"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

const (
	entries      = 3
	readyLimit   = 20 * time.Second
	callTimeout  = 3 * time.Second
	startLimit   = 10 * time.Second
	clientHost   = "soup.example"
	clientPrefix = "/soup/"
	maxAttempts  = 4
)

// workerRoom is the capacity of each worker.
var workerRoom = hosts.Resources{CPU: 4000, Mem: 8192}

// rig is the platform, its workers and the entries.
type rig struct {
	dir, program string
	ports        int    // given out
	ip           string // loopback address, so that several rigs don't take each other's ports
	begun        time.Time
	kv           *fakes.KV
	workers      *fakes.WorkerSet
	site         *site.Site
	store, fleet string // addresses
	procs        []*exec.Cmd
	front, ready []string // addresses of the entries
	metrics      []string
	work         time.Duration           // of a subtask
	list         map[string]hosts.Worker // by ID
	starter      chan func()
	servers      []*http.Server
	stopBeats    context.CancelFunc
	client       *http.Client

	mu       sync.Mutex
	out      *os.File
	started  map[string]time.Time // first start of a subtask by job
	accepted map[string]time.Time // time of the answer by job
	dark     map[string]bool      // workers without power
}

// newRig serves the stand-ins; start starts the entries.
func newRig(recordFile, program string) (*rig, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, fmt.Errorf("rig3: %w", err)
	}
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, fmt.Errorf("rig3: %w", err)
	}
	r := &rig{
		dir: dir, program: program, ip: fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(254), rand.IntN(255)), begun: time.Now(), kv: fakes.NewKV(), workers: fakes.NewWorkerSet(site.MaxLease), out: out,
		client:  &http.Client{Timeout: callTimeout},
		started: map[string]time.Time{}, accepted: map[string]time.Time{}, dark: map[string]bool{}, list: map[string]hosts.Worker{}, work: workTime,
	}
	r.starter = make(chan func())
	go r.runStarter()
	r.workers.DecideRun = r.decideRun
	r.site = site.New(r.kv, r.workers, site.Machines{Left: func(hosts.Worker) {}, Back: func(string, string) {}}, site.Twists{})
	if r.store, err = r.serve(r.site.StoreHandler()); err != nil {
		return nil, err
	}
	if r.fleet, err = r.serve(r.site.FleetHandler()); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stopBeats = stop
	go func() {
		tick := time.NewTicker(site.Heartbeat)
		defer tick.Stop()
		for ctx.Err() == nil {
			r.site.Beat(func(string) bool { return true })
			<-tick.C
		}
	}()
	return r, nil
}

// record writes a line to the record.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// decideRun records the start of a run, and returns how long it takes and how it ends.
func (r *rig) decideRun(t runs.Task, run int) (time.Duration, runs.Outcome) {
	r.record("a worker starts %s run %d", t, run)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.started[t.Job]; !ok {
		r.started[t.Job] = time.Now()
	}
	return r.work, runs.Done
}

// waiting returns how many jobs had been accepted for age at a time, and have had no start so far.
func (r *rig) waiting(at time.Time, age time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id, when := range r.accepted {
		if _, ok := r.started[id]; !ok && at.Sub(when) > age {
			n++
		}
	}
	return n
}

func (r *rig) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", r.ip+":0")
	if err != nil {
		return "", fmt.Errorf("rig3: %w", err)
	}
	s := &http.Server{Handler: h}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// addWorkers adds workers to a pool.
func (r *rig) addWorkers(pool string, n int) error {
	for i := range n {
		id := fmt.Sprintf("%s-%d", pool, i)
		address, err := r.serve(r.mayBeDark(id, r.site.WorkerHandler(id)))
		if err != nil {
			return err
		}
		rack := fmt.Sprintf("r%d", i%2)
		w := hosts.Worker{
			ID: id, Pool: pool, Address: address, Centre: fmt.Sprintf("z%d", i%entries), Capacity: workerRoom,
			Labels: []string{"plain", rack}, Rack: rack, Host: "m-" + id,
		}
		r.list[id] = w
		r.workers.Join(w)
		r.site.Enter(w)
	}
	return nil
}

// configure writes a configuration in which the queue belongs to a service.
func (r *rig) configure(version int, service string, services ...string) error {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"Name": s})
	}
	b, err := json.Marshal(map[string]any{
		"Version": version, "Services": list, "Limits": map[string]any{"MaxBodyBytes": 1 << 20},
		"Routes": []any{map[string]any{
			"Name": "soup", "Host": clientHost, "Prefix": clientPrefix, "Service": service, "MaxAttempts": maxAttempts, "SlackFactor": 3,
			"TargetDurationMs": 1000, "TimeoutMs": 3000,
		}},
	})
	if err != nil {
		return fmt.Errorf("rig3: %w", err)
	}
	r.kv.Put("op/config", b)
	r.record("operator writes version %d: the route belongs to service %s", version, service)
	return nil
}

// firstPort is the first port of the entries. It is below those that the system gives out.
const firstPort = 20000

// freeAddress returns an address that nothing else listens on.
func (r *rig) freeAddress() string {
	r.ports++
	return fmt.Sprintf("%s:%d", r.ip, firstPort+r.ports)
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// start starts the entries, and waits until they are ready.
func (r *rig) start(ctx context.Context) error {
	for i := range entries {
		var a [3]string // frontend, readiness, metrics
		for n := range a {
			a[n] = r.freeAddress()
		}
		r.front, r.ready, r.metrics = append(r.front, a[0]), append(r.ready, a[1]), append(r.metrics, a[2])
		r.procs = append(r.procs, nil)
		e := site.Entry{Name: entryName(i), Centre: fmt.Sprintf("z%d", i), Callers: a[0], Readiness: a[1], Store: r.store, Fleet: r.fleet}
		if err := os.WriteFile(r.settingsOf(i), []byte(r.site.Settings(&e)), 0o600); err != nil {
			return fmt.Errorf("rig3: %w", err)
		}
		if err := r.startEntry(i); err != nil {
			return err
		}
	}
	end := time.Now().Add(readyLimit)
	for _, a := range r.ready {
		for {
			if status, _, _ := r.call(ctx, http.MethodGet, a, "/-/readyz", nil); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return errors.New("an entry isn't ready")
			}
			pause(ctx, 100*time.Millisecond)
		}
	}
	r.record("all entries are ready")
	return nil
}

func (r *rig) settingsOf(i int) string { return filepath.Join(r.dir, entryName(i)+".conf") }

// startEntry starts the process of an entry. The kernel ends it with the rig.
func (r *rig) startEntry(i int) error {
	logs, err := os.OpenFile(filepath.Join(r.dir, entryName(i)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("rig3: %w", err)
	}
	defer logs.Close()
	p := exec.Command(r.program, "node", "-metrics", r.metrics[i])
	p.Env = append(os.Environ(), "SHALLOTPADDLE_SETTINGS="+r.settingsOf(i))
	p.Stdout, p.Stderr = logs, logs
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	begun := make(chan error)
	r.starter <- func() { begun <- p.Start() }
	if err := <-begun; err != nil {
		return fmt.Errorf("rig3: %w", err)
	}
	r.procs[i] = p
	r.record("%s started", entryName(i))
	return nil
}

// runStarter starts processes from one thread, which lasts as long as the rig: the kernel ends them
// with it.
func (r *rig) runStarter() {
	runtime.LockOSThread()
	for f := range r.starter {
		f()
	}
}

// call sends a request to an entry, and returns the status and the body of its answer.
func (r *rig) call(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("rig3: %w", err)
	}
	req.Host = clientHost
	req.Header.Set("Content-Type", "application/json")
	res, err := r.client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("rig3: %w", err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("rig3: %w", err)
	}
	return res.StatusCode, b, nil
}

// submit hands a job of one subtask in, at one entry after the other, until it is accepted.
func (r *rig) submit(ctx context.Context, first int, id string) error {
	r.workers.AddJob(&steps.Job{
		ID: id, Queue: "soup", Payload: "soup " + id, MaxAttempts: maxAttempts, Steps: []steps.Step{{Count: 1, CPU: workerRoom.CPU, Mem: 256, EstimateMs: r.work.Milliseconds()}},
	})
	body := fmt.Appendf(nil, `{"Spec":"soup %s","Steps":[{"Count":1,"Cpu":%d,"MemMb":256,"EstimateMs":%d}]}`, id, workerRoom.CPU, r.work.Milliseconds())
	end := time.Now().Add(startLimit)
	for try := 0; time.Now().Before(end); try++ {
		i := (first + try) % len(r.front)
		status, _, err := r.call(ctx, http.MethodPost, r.front[i], clientPrefix+id, body)
		r.record("POST %s%s at entry %d: %d", clientPrefix, id, i, status)
		if err == nil && status/100 == 2 {
			r.mu.Lock()
			r.accepted[id] = time.Now()
			r.mu.Unlock()
			return nil
		}
		pause(ctx, 200*time.Millisecond)
	}
	return errors.New("a job isn't accepted")
}

// close ends everything that the rig started.
func (r *rig) close() {
	for _, p := range r.procs {
		if p == nil {
			continue
		}
		_ = p.Process.Signal(os.Interrupt)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	r.stopBeats()
	for _, s := range r.servers {
		_ = s.Close()
	}
	for _, v := range r.workers.Violations() {
		r.record("a stand-in of a worker noticed: %s", v)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
	_ = r.out.Close()
}

// pause waits for a time, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// trouble tells whether the disruption is to come.
func trouble() bool { return strings.TrimSpace(os.Getenv("TROUBLE")) != "0" }
