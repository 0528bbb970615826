// Command stage runs entries of the program as processes against stand-ins of the users' platform
// and workers, plays one case of the second review, and writes down what was sent, answered and run.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if it could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"shallotpaddle/fakes"
	"shallotpaddle/fakes/site"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	pool      = "kana"
	host      = "stage.example"
	prefix    = "/meals/"
	heartbeat = 1500 * time.Millisecond
	// beatCheck is how soon a worker's first entry of a life is written.
	beatCheck = 50 * time.Millisecond
)

// task is what is seen of a subtask.
type task struct {
	runs    int
	active  int
	endedAt time.Time // of the last run
	ends    map[string]int
}

// stage is the platform with its workers and entries.
type stage struct {
	dir, program string
	trouble      bool
	begun        time.Time
	kv           *fakes.KV
	net          *addresses
	workers      []*worker
	entries      []*entry
	// starts has the starts of processes. One thread makes them, which lasts as long as the stage: the
	// kernel ends the processes with it, however the stage ends.
	starts chan func()

	mu     sync.Mutex
	record io.Writer
	tasks  map[string]*task
	twice  string                   // the first subtask that had two runs at the same time
	work   map[string]time.Duration // by job ID; 0 for one that lasts
}

// entry is one process of the program.
type entry struct {
	name, callers, readiness, metrics, file, log string
	store                                        *front
	proc                                         *exec.Cmd
	done                                         chan struct{}
}

func main() { os.Exit(realMain(os.Args[1:])) }

func realMain(args []string) int {
	f := flag.NewFlagSet("stage", flag.ContinueOnError)
	name := f.String("case", "", "`name` of the case")
	program := f.String("program", "target/shallotpaddle", "`path` of the program")
	dir := f.String("dir", "", "temporary `directory` for settings and logs")
	record := f.String("record", "record.txt", "`file` for the record")
	trouble := f.Bool("trouble", true, "cause the disruption")
	if err := f.Parse(args); err != nil || *dir == "" {
		return exitNotRun
	}
	play := cases[*name]
	if play == nil {
		return exitNotRun
	}
	out, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	s := &stage{
		dir: *dir, program: *program, trouble: *trouble, begun: time.Now(), kv: fakes.NewKV(), record: out,
		tasks: map[string]*task{}, work: map[string]time.Duration{}, starts: make(chan func()),
	}
	go func() {
		runtime.LockOSThread()
		for f := range s.starts {
			f()
		}
	}()
	if s.net, err = newAddresses(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	broken, err := play(s)
	if err != nil {
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if broken != "" {
		s.note("BROKEN %s", broken)
		fmt.Println("BROKEN", broken)
		return exitBroken
	}
	s.note("HELD")
	fmt.Println("HELD")
	return exitHeld
}

// note writes a line of the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (s *stage) workOf(name string) (length time.Duration, lasts bool) {
	id, _, _ := strings.Cut(name, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	length = s.work[id]
	return max(length, time.Millisecond), length == 0
}

func (s *stage) taskOf(name string) *task {
	t := s.tasks[name]
	if t == nil {
		t = &task{ends: map[string]int{}}
		s.tasks[name] = t
	}
	return t
}

func (s *stage) runStarted(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.taskOf(name)
	t.runs++
	if t.active++; t.active > 1 && s.twice == "" {
		s.twice = fmt.Sprintf("TWICE: %s has %d runs at the same time, on workers that are up", name, t.active)
	}
}

func (s *stage) runEnded(name, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.taskOf(name)
	t.active--
	t.endedAt = time.Now()
	t.ends[how]++
}

// ends returns how often runs of a job have ended so.
func (s *stage) ends(job, how string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, t := range s.tasks {
		if strings.HasPrefix(name, job+".") {
			n += t.ends[how]
		}
	}
	return n
}

// addresses hands out addresses of a loopback network, of which no outgoing connection takes one.
type addresses struct {
	prefix string
	hold   net.Listener // keeps other stages off the network
	port   int
}

// firstPort is the first port that is handed out.
const firstPort = 20000

func newAddresses() (*addresses, error) {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(255))
		if l, err := net.Listen("tcp", prefix+"254:7000"); err == nil {
			return &addresses{prefix, l, firstPort}, nil
		}
	}
	return nil, errNoNetwork
}

var errNoNetwork = errors.New("no loopback network is free")

// next returns an address that was not handed out before.
func (a *addresses) next() string {
	a.port++
	return fmt.Sprintf("%s1:%d", a.prefix, a.port)
}

func (s *stage) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", s.net.next())
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }() // it ends with the process
	return l.Addr().String(), nil
}

// start starts the platform, workers and entries, and waits until these are ready.
func (s *stage) start(workers, entries int, labels func(i int) []string) error {
	platform := site.New(s.kv, fakes.NewWorkerSet(maxLease), site.Machines{}, site.Twists{})
	fleet, err := s.serve(http.HandlerFunc(s.machines))
	if err != nil {
		return err
	}
	config, _ := json.Marshal(map[string]any{ // encoding plain values can't fail
		"Version": 1,
		"Routes": []any{map[string]any{
			"Name": "meals", "Host": host, "Prefix": prefix, "Service": pool, "MaxAttempts": 3, "SlackFactor": 3, "TargetDurationMs": 1000,
		}},
		"Services": []any{map[string]any{"Name": pool, "AdmissionCheck": false}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	s.kv.Put("op/config", config)
	for i := range workers {
		w := &worker{
			id: fmt.Sprintf("i-%04d", i), pool: pool, address: s.net.next(), machine: fmt.Sprintf("m-%04d", i), labels: labels(i), stage: s,
		}
		if err := w.up(); err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	go s.beat()
	for i := range entries {
		if err := s.addEntry(i, platform.StoreHandler(), fleet); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := s.awaitReady(e, 15*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // the pool has its owner, which knows the workers
	return nil
}

// beat writes the workers' entries: at once when a life begins, then every heartbeat. An entry is
// removed after three heartbeats of silence.
func (s *stage) beat() {
	type entry struct {
		born, at time.Time
		drain    bool
	}
	written := map[*worker]entry{}
	for sequence := int64(1); ; sequence++ {
		for _, w := range s.workers {
			w.mu.Lock()
			up, born, drain := w.isUp(), w.born, w.drain
			w.mu.Unlock()
			e, known := written[w]
			switch {
			case up && (!known || e.born != born || e.drain != drain || time.Since(e.at) >= heartbeat):
				s.kv.Put("servers/"+w.id, w.registration(sequence))
				written[w] = entry{born, time.Now(), drain}
			case !up && known && time.Since(e.at) > 3*heartbeat:
				s.kv.Delete("servers/" + w.id)
				delete(written, w)
				s.note("entry of worker %s removed", w.id)
			}
		}
		time.Sleep(beatCheck)
	}
}

// machines serves the list of machines; the cases have no orders for them.
func (s *stage) machines(rw http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		answer(rw, http.StatusConflict, map[string]string{"Reason": "busy"})
		return
	}
	list := []any{}
	for _, w := range s.workers {
		w.mu.Lock()
		state, id := "up", w.id
		if !w.isUp() {
			state, id = "down", ""
		}
		list = append(list, map[string]any{
			"Machine": w.machine, "Pool": w.pool, "State": state, "Zone": "suva", "Labels": w.labels,
			"Capacity": map[string]int{"Cpu": 32000, "MemMb": 131072}, "Id": id,
		})
		w.mu.Unlock()
	}
	answer(rw, http.StatusOK, map[string]any{"Machines": list})
}

func (s *stage) addEntry(i int, storeHandler http.Handler, fleet string) error {
	e := &entry{name: fmt.Sprintf("edge-suva-%d", i+1), callers: s.net.next(), readiness: s.net.next(), metrics: s.net.next()}
	e.store = newFront(storeHandler, s.kv)
	store, err := s.serve(e.store)
	if err != nil {
		return err
	}
	e.file, e.log = filepath.Join(s.dir, e.name+".conf"), filepath.Join(s.dir, e.name+".log")
	settings := []string{
		"NodeName=" + e.name, "Ip=127.0.0.1", "Zone=suva", "Region=viti", "ListenAddrs.Frontend=" + e.callers, "ListenAddrs.Readiness=" + e.readiness,
		"Limits.CpuShare=0.4", "Limits.RamMb=284", "Limits.MaxFds=4100", "HeartbeatMs=1500", "Bounds.ContactMs=3000", "Bounds.AckMs=4000",
		"Bounds.DrainMs=2000", "Bounds.GraceS=6", "Bounds.HoldMaxMs=10000", "Bounds.StopMs=200", "Bounds.GangMs=3000", "Bounds.status_s=120",
		"Bounds.RemoteFactor=1.5", "Bounds.NoticeMs=4500", "Bounds.MigrationS=1.5", "Bounds.MaintenanceS=2", "Bounds.FencingEnforced=true",
		"Bounds.LeaseMs=3000", "Bounds.ImpactMs=4000", "Orders=request", "platform.Address=" + store, "platform.form=kv", "platform.WritesPerS=400",
		"platform.ReadsPerS=2000", "platform.MinTtlMs=1000", "Cloud.Address=" + fleet,
	}
	if err := os.WriteFile(e.file, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	return s.startEntry(e)
}

// startEntry starts an entry's process with the command of the deploy file.
func (s *stage) startEntry(e *entry) error {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	e.proc = exec.Command(s.program, "node", "-metrics", e.metrics)
	e.proc.Env = append(os.Environ(), "SHALLOTPADDLE_SETTINGS="+e.file)
	e.proc.Stdout, e.proc.Stderr = out, out
	e.proc.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	s.starts <- func() { started <- e.proc.Start() }
	if err := <-started; err != nil {
		return err
	}
	e.done = make(chan struct{})
	go func(p *exec.Cmd, done chan struct{}) {
		_ = p.Wait() // the state says the same
		close(done)
	}(e.proc, e.done)
	s.note("entry %s started, process %d", e.name, e.proc.Process.Pid)
	return nil
}

// restart stops an entry with SIGTERM and starts it again, as a rolling restart does.
func (s *stage) restart(e *entry) error {
	s.note("SIGTERM to %s", e.name)
	_ = e.proc.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-e.done:
	case <-time.After(6 * time.Second):
		s.note("SIGKILL to %s", e.name)
		_ = e.proc.Process.Kill()
		<-e.done
	}
	if err := s.startEntry(e); err != nil {
		return err
	}
	return s.awaitReady(e, 10*time.Second)
}

var errNotReady = errors.New("an entry is not ready in time")

func (s *stage) awaitReady(e *entry, within time.Duration) error {
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		res, err := http.Get("http://" + e.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			s.note("entry %s is ready", e.name)
			return nil
		}
	}
	return errNotReady
}

// call sends a caller's request to the first entry that answers it.
func (s *stage) call(method, id string, body any) (int, string) {
	b, _ := json.Marshal(body) // encoding plain values can't fail
	for range 50 {
		for _, e := range s.entries {
			status, text := callAt(e, method, id, b)
			if status == http.StatusOK || status == http.StatusGone {
				return status, text
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, ""
}

// callAt sends a caller's request to one entry. It returns 0 if there is no answer.
func callAt(e *entry, method, id string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("X-Deadline-Ms", "3000")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(text)
}

// submit hands a job in; work is the time of each subtask, 0 if they last.
func (s *stage) submit(id string, work time.Duration, steps ...map[string]any) error {
	s.mu.Lock()
	s.work[id] = work
	s.mu.Unlock()
	status, _ := s.call(http.MethodPost, id, map[string]any{"Spec": "job " + id, "Steps": steps})
	s.note("POST %s answered %d", id, status)
	if status != http.StatusOK {
		return fmt.Errorf("job %s was answered %d", id, status)
	}
	return nil
}

// state asks for a job's state.
func (s *stage) state(id string) string {
	status, text := s.call(http.MethodGet, id, nil)
	var got struct{ State string }
	_ = json.Unmarshal([]byte(text), &got) // a 410 has none
	if status == http.StatusGone {
		return "410"
	}
	return got.State
}

// owner returns the entry that leads the pool, or nil.
func (s *stage) owner() *entry {
	it, ok := s.kv.Peek("seat/lead/" + pool)
	if !ok {
		return nil
	}
	var v struct {
		Node string `json:"node"`
	}
	_ = json.Unmarshal(it.Value, &v) // then there is no such entry
	if i := slices.IndexFunc(s.entries, func(e *entry) bool { return e.name == v.Node }); i >= 0 {
		return s.entries[i]
	}
	return nil
}

// absent returns the first subtask of a job that lasts which nothing runs, and for how long that has
// been so, or has been so since the job was accepted.
func (s *stage) absent(job string, count int, accepted time.Time) (string, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, longest := "", time.Duration(0)
	for i := range count {
		id := fmt.Sprintf("%s.0.0.%d", job, i)
		t := s.taskOf(id)
		since := t.endedAt
		if since.IsZero() {
			since = accepted
		}
		if d := time.Since(since); t.active == 0 && d > longest {
			name, longest = id, d
		}
	}
	return name, longest
}

// lastingLimit is how long a subtask that lasts may have no run: 6 s after its last one, and 3 s.
const lastingLimit = 9 * time.Second

// watchLasting returns what was broken for a job that lasts within a time, or "".
func (s *stage) watchLasting(job string, count int, accepted time.Time, within time.Duration) string {
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		if name, d := s.absent(job, count, accepted); d > lastingLimit {
			s.noteReturn(job, count, accepted)
			return fmt.Sprintf("LOST: %s lasts and has had no run for %.1f s, with most of the workers' room free", name, d.Seconds())
		}
	}
	return ""
}

// noteReturn notes when all subtasks that last run again, or for how long one has had no run by then.
func (s *stage) noteReturn(job string, count int, accepted time.Time) {
	var longest time.Duration
	for limit := time.Now().Add(returnLimit); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		_, d := s.absent(job, count, accepted)
		if d == 0 {
			s.note("all subtasks of %s run again; one had no run for %.1f s", job, longest.Seconds())
			return
		}
		longest = max(longest, d)
	}
	s.note("a subtask of %s has had no run for %.1f s", job, longest.Seconds())
}

// returnLimit is for how long a broken rule is watched.
const returnLimit = 30 * time.Second

// close ends the entries' processes.
func (s *stage) close() {
	for _, e := range s.entries {
		if e.proc != nil && e.proc.Process != nil && e.done != nil {
			_ = e.proc.Process.Kill() // it may have ended
			<-e.done
		}
	}
}
