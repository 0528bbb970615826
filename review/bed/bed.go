package bed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"shallotpaddle/fakes"
	"shallotpaddle/fakes/site"
	"shallotpaddle/hosts"
)

// Pool is the name of the first pool.
const Pool = "kana"

// pools are the names of the pools; a deployment has the first ones.
var pools = []string{Pool, "itaba", "moce"}

// PoolName returns the name of a pool.
func PoolName(pool int) string { return pools[pool] }

// queueHost is the host name of all queues.
const queueHost = "pule25.example"

// queuePrefix returns the path of the queue of a pool.
func queuePrefix(pool int) string { return fmt.Sprintf("/puxa%d/", 400+pool) }

// Options describe a deployment.
type Options struct {
	Entries int
	Pools   int // 0 stands for 1
	Workers int // of each pool
	Advice  *Advice
}

// Bounds of the deployment, which its settings state.
const (
	Contact  = 3 * time.Second // until a machine is in touch after a disturbance
	Cancel   = 3 * time.Second // from the acknowledgement of a cancellation to the last start
	StopTime = 200 * time.Millisecond
	GangWait = 3 * time.Second
	maxLease = 10 * time.Second
	beat     = 1500 * time.Millisecond // of workers
	silent   = 3 * beat                // until a worker's entry is removed
)

// Entry is one process of the program.
type Entry struct {
	Name    string
	callers string // IP:port
	ready   string
	gate    *gate
	args    []string
	env     []string
	log     string // path of the file with its output
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	killed  bool          // by Kill, and not started again
}

// Bed is a deployment.
type Bed struct {
	Rec     *Record
	KV      *fakes.KV
	Workers *Workers
	Entries []*Entry

	store   http.Handler
	options Options
	client  *http.Client
	dir     string
	fleet   string // address of the platform's list of machines
	servers []*http.Server
	ended   bool // Close has been called
}

// New starts a deployment. Its settings and logs are in a temporary folder.
func New(rec *Record, o Options) (*Bed, error) {
	o.Pools = max(o.Pools, 1)
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	kv := fakes.NewKV()
	b := &Bed{Rec: rec, KV: kv, dir: dir, options: o, client: &http.Client{Timeout: clientTimeout + time.Second}}
	b.store = site.New(kv, fakes.NewWorkerSet(maxLease), site.Machines{}, site.Twists{}).StoreHandler()
	b.Workers = newWorkers(rec, kv)
	b.Workers.advice = o.Advice
	kv.Put("op/config", b.config())
	for i := range o.Pools * o.Workers {
		if err := b.Workers.add(i, pools[i/o.Workers]); err != nil {
			return b, err
		}
	}
	if b.fleet, err = b.serve(http.HandlerFunc(b.Workers.listMachines)); err != nil {
		return b, err
	}
	release := []func() error{}
	for i := range o.Entries {
		r, err := b.prepareEntry(i)
		if err != nil {
			return b, err
		}
		release = append(release, r)
	}
	for i, e := range b.Entries {
		if err := errors.Join(release[i](), b.startProcess(e)); err != nil {
			return b, err
		}
	}
	return b, b.awaitReady()
}

// config returns the configuration, with a route for each pool.
func (b *Bed) config() []byte {
	var routes, services []any
	for i := range b.options.Pools {
		r := map[string]any{
			"Name": "r-" + pools[i], "Host": queueHost, "Prefix": queuePrefix(i), "Service": pools[i], "Priority": 0, "MaxAttempts": 4,
			"SlackFactor": 3, "TargetDurationMs": 600,
		}
		if a := b.options.Advice; a != nil {
			r["Advisor"] = map[string]any{"DecisionMs": a.Decision.Milliseconds(), "PeriodMs": a.Period.Milliseconds(), "ValidMs": a.Valid.Milliseconds()}
		}
		routes = append(routes, r)
		services = append(services, map[string]any{"Name": pools[i], "AdmissionCheck": false})
	}
	text, _ := json.Marshal(map[string]any{ // encoding plain values can't fail
		"Version": 3, "Routes": routes, "Services": services, "Limits": map[string]any{"MaxBodyBytes": 262144},
	})
	return text
}

// serve serves a handler on a free loopback port.
func (b *Bed) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	b.servers = append(b.servers, s)
	go func() { _ = s.Serve(l) }() // ends with Close
	return l.Addr().String(), nil
}

// reserve returns n loopback addresses whose ports are free, and kept so until release is called.
func reserve(n int) (addresses []string, release func() error, err error) {
	var held []net.Listener
	release = func() error {
		var errs []error
		for _, l := range held {
			errs = append(errs, l.Close())
		}
		return errors.Join(errs...)
	}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, errors.Join(err, release())
		}
		held = append(held, l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, release, nil
}

// program is the program as the deploy file builds it.
const program = "target/shallotpaddle"

// prepareEntry makes all that an entry needs but its process. release frees the ports that the process
// is to listen on.
func (b *Bed) prepareEntry(i int) (release func() error, err error) {
	e := &Entry{Name: fmt.Sprintf("edge-suva-%d", i+1), done: make(chan struct{})}
	e.gate = &gate{bed: b, entry: e.Name}
	store, err := b.serve(e.gate)
	if err != nil {
		return nil, err
	}
	advisor, err := b.serve(&advisor{bed: b, entry: e.Name})
	if err != nil {
		return nil, err
	}
	free, release, err := reserve(3)
	if err != nil {
		return nil, err
	}
	e.callers, e.ready = free[0], free[1]
	lines := []string{
		"NodeName=" + e.Name, "Role=entry", "MachineClass=edge", "Serves=edge", "Ip=127.0.0.1", "Zone=suva", "Region=viti", "Zones.suva=viti",
		"ListenAddrs.Frontend=" + e.callers, "ListenAddrs.Readiness=" + e.ready, "Bootstrap=true",
		"Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.RamMb=284", "Limits.MaxFds=4100", "HeartbeatMs=1500",
		"Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.DrainMs=2000", "Bounds.GraceS=6", "Bounds.ConfigApplyMs=2000",
		"Bounds.HoldMaxMs=10000", "Bounds.StopMs=200", "Bounds.GangMs=3000", "Bounds.cancel_ms=3000", "Bounds.visible_ms=3000",
		"Bounds.status_s=120", "Bounds.RemoteFactor=1.5", "Bounds.CheckpointIntervalS=0.5", "Bounds.RestoreMs=100", "Bounds.NoticeMs=4500",
		"Bounds.MigrationS=1.5", "Bounds.MaintenanceS=2", "Bounds.FencingEnforced=true", "Bounds.LeaseMs=3000",
		"Orders=request", "Advisor=" + advisor, "platform.Address=" + store, "platform.form=kv", "platform.WritesPerS=400", "platform.ReadsPerS=2000",
		"platform.HistoryS=20", "platform.ValueBytes=1048576", "platform.MinTtlMs=1000", "Cloud.Address=" + b.fleet,
	}
	file := filepath.Join(b.dir, e.Name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, errors.Join(err, release())
	}
	e.args = []string{"node", "-metrics", free[2]}
	e.env = []string{"SHALLOTPADDLE_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	e.log = filepath.Join(b.dir, e.Name+".log")
	b.Entries = append(b.Entries, e)
	return release, nil
}

// starts receives what starts a process. It runs on one thread that lasts as long as this program: the kernel
// kills the processes when that thread ends, however this program ends.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for f := range starts {
			f()
		}
	}()
}

func (b *Bed) startProcess(e *Entry) error {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	e.cmd, e.done, e.killed = exec.Command(program, e.args...), make(chan struct{}), false
	e.cmd.Env, e.cmd.Stdout, e.cmd.Stderr = e.env, out, out
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts <- func() { started <- e.cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	b.Rec.Add("started %s: %s %s", e.Name, program, strings.Join(e.args, " "))
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait() // the exit code says the same
		close(done)
	}(e.cmd, e.done)
	return nil
}

// Kill kills the process of an entry.
func (b *Bed) Kill(entry int) {
	e := b.Entries[entry]
	e.killed = true
	_ = e.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	<-e.done
	b.Rec.Add("trouble: %s is killed", e.Name)
}

// StartAgain starts an entry that was killed.
func (b *Bed) StartAgain(entry int) error { return b.startProcess(b.Entries[entry]) }

// readyTimeout is how long the entries may take to be ready.
const readyTimeout = 10 * time.Second

var errNotReady = errors.New("the entries did not become ready, or have no leader")

// awaitReady waits until all entries are ready and the pool has a leader.
func (b *Bed) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if b.allReady() && b.allLed() {
			return nil
		}
	}
	return errNotReady
}

// allLed tells whether each pool has a leader, and adds the leaders to the record then.
func (b *Bed) allLed() bool {
	var leaders []string
	for i := range b.options.Pools {
		l := b.LeaderOf(i)
		if l < 0 {
			return false
		}
		leaders = append(leaders, pools[i]+" by "+b.Entries[l].Name)
	}
	b.Rec.Add("all entries are ready; the pools are led: %s", strings.Join(leaders, ", "))
	return true
}

func (b *Bed) allReady() bool {
	for _, e := range b.Entries {
		res, err := b.client.Get("http://" + e.ready + "/-/readyz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// Leader returns the entry that leads the first pool, -1 if there is none.
func (b *Bed) Leader() int { return b.LeaderOf(0) }

// LeaderOf returns the entry that leads a pool, -1 if there is none.
func (b *Bed) LeaderOf(pool int) int {
	it, _ := b.KV.Peek("seat/lead/" + pools[pool])
	for i, e := range b.Entries {
		if strings.Contains(string(it.Value), `"`+e.Name+`"`) {
			return i
		}
	}
	return -1
}

// Follower returns an entry that leads neither the pool nor the fleet, -1 if there is none.
func (b *Bed) Follower() int {
	it, _ := b.KV.Peek("seat/lead/@fleet")
	for i, e := range b.Entries {
		if i != b.Leader() && !strings.Contains(string(it.Value), `"`+e.Name+`"`) {
			return i
		}
	}
	return -1
}

// EntriesUp tells whether no process has ended by itself.
func (b *Bed) EntriesUp() bool {
	for _, e := range b.Entries {
		if e.killed {
			continue
		}
		select {
		case <-e.done:
			return false
		default:
		}
	}
	return true
}

// Close ends all processes and stand-ins. The logs of the entries stay if keep is true.
func (b *Bed) Close(keep bool) {
	if b.ended {
		return
	}
	b.ended = true
	for _, e := range b.Entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
			<-e.done
		}
	}
	b.Workers.close()
	for _, s := range b.servers {
		_ = s.Shutdown(canceled())
		_ = s.Close()
	}
	if keep {
		fmt.Fprintln(os.Stderr, "logs of the entries:", b.dir)
		return
	}
	_ = os.RemoveAll(b.dir)
}

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Capacity is the room of each worker.
var Capacity = hosts.Resources{CPU: 32000, Mem: 131072}
