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
	"strings"
	"syscall"
	"time"

	"shallotpaddle/fakes"
	"shallotpaddle/fakes/site"
	"shallotpaddle/hosts"
)

// Names of the one queue and its pool.
const (
	Pool        = "kana"
	queueHost   = "pule25.example"
	queuePrefix = "/puxa400/"
)

// Bounds of the deployment, which its settings state.
const (
	Contact = 3 * time.Second // until a machine is in touch after a disturbance
	// ConfigApply is the longest time from the acknowledgement of a configuration until it is in force.
	ConfigApply = 2 * time.Second
	Cancel      = 3 * time.Second // from the acknowledgement of a cancellation to the last start
	StopTime    = 200 * time.Millisecond
	GangWait    = 3 * time.Second
	maxLease    = 10 * time.Second
	beat        = 1500 * time.Millisecond // of workers
	silent      = 3 * beat                // until a worker's entry is removed
)

// Entry is one process of the program.
type Entry struct {
	Name    string
	callers string // IP:port
	ready   string
	gate    *gate
	// channels are the entry's connections to the store.
	channels *channels
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
}

// Bed is a deployment.
type Bed struct {
	Rec     *Record
	KV      *fakes.KV
	Workers *Workers
	Entries []*Entry

	store   http.Handler
	client  *http.Client
	dir     string
	servers []*http.Server
	ended   bool // Close has been called
}

// New starts a deployment of entries and workers. Its settings and logs are in a temporary folder.
func New(rec *Record, entries, workers int) (*Bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	kv := fakes.NewKV()
	b := &Bed{Rec: rec, KV: kv, dir: dir, client: &http.Client{Timeout: clientTimeout + time.Second}}
	b.store = site.New(kv, fakes.NewWorkerSet(maxLease), site.Machines{}, site.Twists{}).StoreHandler()
	b.Workers = newWorkers(rec, kv)
	kv.Put("op/config", config(firstVersion, queuePrefix))
	for i := range workers {
		if err := b.Workers.add(i); err != nil {
			return b, err
		}
	}
	fleet, err := b.serve(http.HandlerFunc(b.Workers.listMachines))
	if err != nil {
		return b, err
	}
	for i := range entries {
		if err := b.startEntry(i, fleet); err != nil {
			return b, err
		}
	}
	return b, b.awaitReady()
}

// firstVersion is the number of the first configuration.
const firstVersion = 3

// config returns a configuration with a route for each prefix.
func config(version int, prefixes ...string) []byte {
	var routes []any
	for i, p := range prefixes {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("meal-log-%d", i), "Host": queueHost, "Prefix": p, "Service": Pool, "Priority": 0, "MaxAttempts": 4,
			"SlackFactor": 3, "TargetDurationMs": 600,
		})
	}
	b, _ := json.Marshal(map[string]any{ // encoding plain values can't fail
		"Version": version, "Routes": routes,
		"Services": []any{map[string]any{"Name": Pool, "AdmissionCheck": false}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	return b
}

// AddRoute writes a configuration with one more route, and returns when it was acknowledged.
func (b *Bed) AddRoute(prefix string) time.Time {
	rev := b.KV.Put("op/config", config(firstVersion+4, queuePrefix, prefix))
	b.Rec.Add("operator: configuration %d with a route for %s, acknowledged at revision %d", firstVersion+4, prefix, rev)
	return time.Now()
}

// serve serves a handler on a free loopback port.
func (b *Bed) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	b.serveOn(l, h)
	return l.Addr().String(), nil
}

func (b *Bed) serveOn(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	b.servers = append(b.servers, s)
	go func() { _ = s.Serve(l) }() // ends with Close
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// program is the program as the deploy file builds it.
const program = "target/shallotpaddle"

func (b *Bed) startEntry(i int, fleet string) error {
	e := &Entry{Name: fmt.Sprintf("edge-suva-%d", i+1), done: make(chan struct{})}
	e.gate = &gate{bed: b, entry: e.Name}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.channels = &channels{Listener: l}
	b.serveOn(e.channels, e.gate)
	store := l.Addr().String()
	var free [4]string
	for k := range free {
		if free[k], err = freeAddress(); err != nil {
			return err
		}
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
		"Orders=request", "Advisor=" + free[3], "platform.Address=" + store, "platform.form=kv", "platform.WritesPerS=400", "platform.ReadsPerS=2000",
		"platform.HistoryS=20", "platform.ValueBytes=1048576", "platform.MinTtlMs=1000", "Cloud.Address=" + fleet,
	}
	file := filepath.Join(b.dir, e.Name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(b.dir, e.Name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	e.cmd = exec.Command(program, "node", "-metrics", free[2])
	e.cmd.Env = []string{"SHALLOTPADDLE_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		return err
	}
	b.Entries = append(b.Entries, e)
	b.Rec.Add("started %s: %s node -metrics %s", e.Name, program, free[2])
	go func() {
		_ = e.cmd.Wait() // the exit code says the same
		close(e.done)
	}()
	return nil
}

// readyTimeout is how long the entries may take to be ready.
const readyTimeout = 15 * time.Second

var errNotReady = errors.New("the entries did not become ready, or have no leader")

// awaitReady waits until all entries are ready and the pool has a leader.
func (b *Bed) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if b.allReady() && b.Leader() >= 0 {
			b.Rec.Add("all entries are ready; %s leads the pool", b.Entries[b.Leader()].Name)
			return nil
		}
	}
	return errNotReady
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

// Leader returns the entry that leads the pool, -1 if there is none.
func (b *Bed) Leader() int {
	it, _ := b.KV.Peek("seat/lead/" + Pool)
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

// EntriesUp tells whether no process has ended.
func (b *Bed) EntriesUp() bool {
	for _, e := range b.Entries {
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
		_ = e.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		<-e.done
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
