package cmds

import (
	"context"
	_ "embed" // the users' notes
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/coder/quartz"
	"golang.org/x/sync/errgroup"

	"shallotpaddle/conf"
	"shallotpaddle/daemon"
	"shallotpaddle/fakes"
	"shallotpaddle/table"
)

const (
	demoEntries = 2
	demoHosts   = 12
	demoRack    = 2
	demoToken   = "demo-operator-token"
	// demoHeartbeat is the interval of heartbeats between the entries.
	demoHeartbeat = 200 * time.Millisecond
)

var (
	//go:embed demo/naidu.yaml
	naiduNote string
	//go:embed demo/peachtree.yaml
	peachtreeNote string
)

// demoUser is one user's fleet in small.
type demoUser struct {
	name   string
	dcs    []string
	note   string
	wave   string // pool that is drained host by host
	demand []demand
}

var demoUsers = []demoUser{
	{
		name: "naidu", dcs: []string{"suva", "nadi", "lautoka", "labasa"}, note: naiduNote, wave: "photos",
		demand: []demand{
			{queue: "logs", customer: "nasese", kind: "incident-note", rate: 20, run: 20 * time.Millisecond},
			{queue: "digests", customer: "namaka", kind: "photo-digest", rate: 20, run: 50 * time.Millisecond},
			{queue: "sessions", customer: "nasese", kind: "sign-in", rate: 20, run: 20 * time.Millisecond},
		},
	},
	{
		name: "peachtree", dcs: []string{"macon", "forsyth", "milledgeville"}, note: peachtreeNote, wave: "badges",
		demand: []demand{
			{queue: "proofs", customer: "dawson-family", kind: "proof", rate: 20, run: 20 * time.Millisecond},
			{queue: "badges", customer: "walk-in", kind: "print-badges", rate: 20, run: 50 * time.Millisecond},
			{queue: "tools", customer: "walk-in", kind: "office-tool", rate: 20, run: 20 * time.Millisecond},
		},
	},
}

// demoFleet is a platform, workers and entries in this process.
type demoFleet struct {
	user    demoUser
	servers []*http.Server
	workers map[string]*fakes.Worker
	entries []demoEntry
	cancel  context.CancelFunc
	run     errgroup.Group
}

// demoEntry has the addresses of one entry.
type demoEntry struct{ callers, operators, peers string }

func startDemoFleet(u demoUser, logs io.Writer) (*demoFleet, error) {
	f := &demoFleet{user: u, workers: map[string]*fakes.Worker{}}
	stop, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	if err := f.start(stop, logs); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *demoFleet) start(stop context.Context, logs io.Writer) error {
	platform := fakes.NewPlatform(func(host string) { f.workers[host].Reboot() })
	hosts := fakes.Hosts(f.user.name+"-", demoHosts, f.user.dcs, demoRack)
	for i := range hosts {
		w := fakes.NewWorker(hosts[i].Name)
		f.workers[hosts[i].Name] = w
		addr, err := f.serve(w)
		if err != nil {
			return err
		}
		hosts[i].Addr = addr
	}
	platform.SetHosts(hosts)
	addr, err := f.serve(platform)
	if err != nil {
		return err
	}
	if err := f.reserve(); err != nil {
		return err
	}
	for i := range f.entries {
		if err := f.startEntry(stop, i, "http://"+addr, logs); err != nil {
			return err
		}
	}
	return nil
}

func (f *demoFleet) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: conf.DefaultHeaderTimeout}
	f.servers = append(f.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// reserve finds free addresses for the entries. All are open at once, so that
// they differ; they are closed before the entries take them.
func (f *demoFleet) reserve() error {
	var open []net.Listener
	defer func() {
		for _, ln := range open {
			_ = ln.Close()
		}
	}()
	free := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ""
		}
		open = append(open, ln)
		return ln.Addr().String()
	}
	for range demoEntries {
		f.entries = append(f.entries, demoEntry{free(), free(), free()})
	}
	if len(open) != 3*demoEntries {
		return errors.New("no free address on the loopback interface")
	}
	return nil
}

func (f *demoFleet) startEntry(stop context.Context, i int, platform string, logs io.Writer) error {
	x := f.entries[i]
	doc := conf.Default()
	doc.Self = conf.Self{Name: fmt.Sprintf("%s-entry-%d", f.user.name, i+1), DC: f.user.dcs[i], Address: x.peers}
	doc.Listen.Callers.Address, doc.Listen.Operators.Address, doc.Listen.Peers.Address = x.callers, x.operators, x.peers
	doc.Platform.URL = platform
	for _, p := range f.entries {
		doc.Peers.Addresses = append(doc.Peers.Addresses, p.peers)
	}
	doc.Peers.HeartbeatInterval = table.Duration(demoHeartbeat)
	doc.Limits.ShutdownDelay = 0
	doc.Limits.DrainTimeout = table.Duration(5 * time.Second)
	doc.Hosts.RecoveryTime, doc.Hosts.ProbationTime = table.Duration(time.Second), table.Duration(time.Second)
	doc.Auth.Operators = []conf.Operator{{Name: "demo", Token: demoToken}}
	set, err := conf.New(doc)
	if err != nil {
		return err
	}
	d, err := daemon.New(set, daemon.NewLogger(logs, set.Log().Level), quartz.NewReal())
	if err != nil {
		return err
	}
	f.run.Go(func() error { return d.Run(stop, context.Background()) })
	return nil
}

// stop stops the entries gracefully, then the stand-ins.
func (f *demoFleet) stop() {
	f.cancel()
	_ = f.run.Wait()
	for _, s := range f.servers {
		_ = s.Close()
	}
}

func (f *demoFleet) callers() []string {
	out := make([]string, len(f.entries))
	for i := range f.entries {
		out[i] = f.entries[i].callers
	}
	return out
}
