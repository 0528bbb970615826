package cmds

import (
	"context"
	_ "embed" // for the users' release notes
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
	// Sizes of each demo fleet.
	demoEntries      = 2
	demoHosts        = 12
	demoHostsPerRack = 2
	demoToken        = "demo-operator-token"
	// demoHeartbeat is the interval of heartbeats between the entries.
	demoHeartbeat = 200 * time.Millisecond
)

var (
	//go:embed demo/naidu.yaml
	naiduNote string
	//go:embed demo/peachtree.yaml
	peachtreeNote string
)

// demoUser describes the demo fleet of one user, a small copy of the real one.
type demoUser struct {
	name     string
	dcs      []string
	note     string
	wavePool string // pool whose hosts are drained one after another
	loads    []queueLoad
}

var demoUsers = []demoUser{
	{
		name: "naidu", dcs: []string{"suva", "nadi", "lautoka", "labasa"}, note: naiduNote, wavePool: "photos",
		loads: []queueLoad{
			{queue: "logs", customer: "nasese", kind: "incident-note", meanRate: 20, runTime: 20 * time.Millisecond},
			{queue: "digests", customer: "namaka", kind: "photo-digest", meanRate: 20, runTime: 50 * time.Millisecond},
			{queue: "sessions", customer: "nasese", kind: "sign-in", meanRate: 20, runTime: 20 * time.Millisecond},
		},
	},
	{
		name: "peachtree", dcs: []string{"macon", "forsyth", "milledgeville"}, note: peachtreeNote, wavePool: "badges",
		loads: []queueLoad{
			{queue: "proofs", customer: "dawson-family", kind: "proof", meanRate: 20, runTime: 20 * time.Millisecond},
			{queue: "badges", customer: "walk-in", kind: "print-badges", meanRate: 20, runTime: 50 * time.Millisecond},
			{queue: "tools", customer: "walk-in", kind: "office-tool", meanRate: 20, runTime: 20 * time.Millisecond},
		},
	},
}

// demoFleet runs a stand-in platform, stand-in workers and real entries in this
// process.
type demoFleet struct {
	user    demoUser
	servers []*http.Server
	workers map[string]*fakes.Worker // by host
	entries []demoEntry
	cancel  context.CancelFunc // stops the entries
	running errgroup.Group     // entries
}

// demoEntry holds the listen addresses of one entry.
type demoEntry struct{ callerAddr, operatorAddr, peerAddr string }

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
	hosts := fakes.Hosts(f.user.name+"-", demoHosts, f.user.dcs, demoHostsPerRack)
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
	if err := f.reserveAddresses(); err != nil {
		return err
	}
	for i := range f.entries {
		if err := f.startEntry(stop, i, "http://"+addr, logs); err != nil {
			return err
		}
	}
	return nil
}

// serve serves h on a free loopback port and returns its address.
func (f *demoFleet) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: conf.DefaultHeaderTimeout}
	f.servers = append(f.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// reserveAddresses chooses free listen addresses for the entries. All listeners
// are open at once so that the addresses differ; they are closed before the
// entries listen on the addresses.
func (f *demoFleet) reserveAddresses() error {
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
		return errors.New("no free port on the loopback interface")
	}
	return nil
}

func (f *demoFleet) startEntry(stop context.Context, i int, platformURL string, logs io.Writer) error {
	entry := f.entries[i]
	doc := conf.Default()
	doc.Self = conf.Self{Name: fmt.Sprintf("%s-entry-%d", f.user.name, i+1), DC: f.user.dcs[i], Address: entry.peerAddr}
	doc.Listen.Callers.Address, doc.Listen.Operators.Address, doc.Listen.Peers.Address = entry.callerAddr, entry.operatorAddr, entry.peerAddr
	doc.Platform.URL = platformURL
	for _, p := range f.entries {
		doc.Peers.Addresses = append(doc.Peers.Addresses, p.peerAddr)
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
	f.running.Go(func() error { return d.Run(stop, context.Background()) })
	return nil
}

// stop stops the entries gracefully, then the stand-ins.
func (f *demoFleet) stop() {
	f.cancel()
	_ = f.running.Wait()
	for _, s := range f.servers {
		_ = s.Close()
	}
}

func (f *demoFleet) callerAddrs() []string {
	out := make([]string, len(f.entries))
	for i := range f.entries {
		out[i] = f.entries[i].callerAddr
	}
	return out
}
