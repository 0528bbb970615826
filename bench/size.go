package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"shallotpaddle/cache"
	"shallotpaddle/conf"
	"shallotpaddle/entry"
	"shallotpaddle/fakes"
	"shallotpaddle/note"
	placement "shallotpaddle/place"
	"shallotpaddle/plat"
	"shallotpaddle/table"
)

func init() {
	experiments["size"] = benchSize
	experiments["size-one"] = func(w io.Writer, _ uint64) error { return sizeCase(w, 1, 3400) }
}

const (
	sizePools        = 20
	sizeCustomers    = 230
	sizeDCs          = 9
	sizeHostsPerRack = 4
	// sizeSteadyTime is the time over which the steady state is measured.
	sizeSteadyTime = 10 * time.Second
	// sizeChanges is the number of configuration changes that are timed.
	sizeChanges = 5
)

// benchSize measures the resources that the control plane costs each entry in the
// steady state, without callers' requests, and the time until a configuration is
// in force on all entries.
func benchSize(w io.Writer, _ uint64) error {
	fmt.Fprintln(w, "entries hosts  cpu/entry heap/entry  sent/entry  recv/entry  calls/entry writes/s reads/s  force p50  force max")
	for _, c := range []struct{ entries, hosts int }{
		{1, 340},
		{1, 3400},
		{9, 340},
		{9, 1700},
		{9, 3400},
		{27, 3400},
		{64, 3400},
	} {
		if err := sizeCase(w, c.entries, c.hosts); err != nil {
			return fmt.Errorf("%d entries, %d hosts: %w", c.entries, c.hosts, err)
		}
	}
	return nil
}

// entryGroup is the entries that run in this process.
type entryGroup struct {
	entries []*entry.Entry
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func sizeCase(w io.Writer, entries, hosts int) error {
	s, err := startStandIns()
	if err != nil {
		return err
	}
	defer s.stop()
	if err := sizeHosts(s, hosts); err != nil {
		return err
	}
	base := heapBytes()
	c, err := startEntries(s, entries)
	if err != nil {
		return err
	}
	defer c.stop()
	if err := c.waitReady(hosts); err != nil {
		return err
	}
	if err := sizeMeasure(w, s, c, hosts, base); err != nil || entries != 9 || hosts != 3400 {
		return err
	}
	return sizeDocs(w, s)
}

// sizeHosts writes the placement of each host in a pool and lists the hosts at the
// platform.
func sizeHosts(s *standIns, n int) error {
	dcs := make([]string, sizeDCs)
	for i := range dcs {
		dcs[i] = fmt.Sprintf("dc%d", i+1)
	}
	hosts := fakes.Hosts("h", n, dcs, sizeHostsPerRack)
	docs := map[string]*placement.Doc{}
	for i := range hosts {
		hosts[i].Addr = s.worker
		d := docs[hosts[i].DC]
		if d == nil {
			d = &placement.Doc{Hosts: map[string]placement.Record{}}
			docs[hosts[i].DC] = d
		}
		if err := d.Assign(hosts[i].Name, fmt.Sprintf("pool%02d", i%sizePools), 0, time.Now()); err != nil {
			return err
		}
	}
	client := plat.New("http://" + s.platform)
	defer client.Close()
	store := cache.New(client, "fleet/", quartz.NewReal())
	for dc, d := range docs {
		_, err := store.Update(context.Background(), "fleet/place/"+dc, "seed", func(json.RawMessage) (json.RawMessage, error) {
			return d.Encode()
		})
		if err != nil {
			return err
		}
	}
	return s.send("PUT", "/hosts", map[string]any{"hosts": hosts})
}

func startEntries(s *standIns, n int) (*entryGroup, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &entryGroup{cancel: cancel}
	lns := make([]net.Listener, n)
	addrs := make([]string, n)
	for i := range lns {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cancel()
			return nil, err
		}
		lns[i], addrs[i] = ln, ln.Addr().String()
	}
	for i, ln := range lns {
		e, err := sizeEntry(s, i, addrs)
		if err != nil {
			cancel()
			return nil, err
		}
		c.entries = append(c.entries, e)
		c.wg.Go(func() { _ = e.Run(ctx, ln) })
	}
	return c, nil
}

func sizeEntry(s *standIns, i int, addrs []string) (*entry.Entry, error) {
	doc := conf.Default()
	doc.Self = conf.Self{Name: fmt.Sprintf("entry-%d", i+1), DC: fmt.Sprintf("dc%d", i%sizeDCs+1), Address: addrs[i]}
	doc.Listen.Callers.Address = "127.0.0.1:1"
	doc.Listen.Operators.Address = "127.0.0.1:2"
	doc.Listen.Peers.Address = "127.0.0.1:3"
	doc.Platform.URL = "http://" + s.platform
	doc.Peers.Addresses = addrs[:min(len(addrs), 3)]
	doc.Auth.Operators = []conf.Operator{{Name: "bench", Token: "bench-operator-token"}}
	set, err := conf.New(doc)
	if err != nil {
		return nil, err
	}
	quiet := &log.Logger{Level: log.ErrorLevel}
	return entry.New(set, quartz.NewReal(), quiet, metrics.NewRegistry()), nil
}

func (c *entryGroup) stop() {
	c.cancel()
	c.wg.Wait()
}

// waitReady applies the first note and waits until every entry has 99% of the slots
// and sees all entries.
func (c *entryGroup) waitReady(hosts int) error {
	n, err := note.Parse("bench", sizeNote(0, hosts))
	if err != nil {
		return err
	}
	if err := c.apply(n); err != nil {
		return err
	}
	return c.wait(time.Minute, func(s *entry.Status) bool {
		slots := 0
		for i := range s.Pools {
			slots += s.Pools[i].Slots
		}
		return slots >= hosts*table.WorkerSlots*99/100 && len(s.Live) == len(c.entries)
	})
}

var errTimeout = errors.New("state not reached before the time limit")

func (c *entryGroup) wait(limit time.Duration, ok func(*entry.Status) bool) error {
	end := time.Now().Add(limit)
	for _, e := range c.entries {
		for !ok(e.Status()) {
			if time.Now().After(end) {
				return errTimeout
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

func (c *entryGroup) apply(n *note.Note) error {
	for range 50 {
		_, err := c.entries[0].Apply(context.Background(), n, false)
		if err == nil {
			return nil
		}
		if !errors.Is(err, entry.ErrNotAccepted) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errTimeout
}

// sizeNote returns the first note for revision 0, and for later revisions a note
// that changes one pool.
func sizeNote(rev int64, hosts int) []byte {
	pool := func(i int) string {
		return fmt.Sprintf("    - {name: pool%02d, size: %d, budget: %d, reserve: 1, period: 672h}\n",
			i, hosts/sizePools, 3+int(rev)%2)
	}
	if rev > 0 {
		return fmt.Appendf(nil, "note: change-%d\nagainst: %d\noperator: bench\nchanged:\n  pools:\n%s", rev, rev, pool(0))
	}
	text := "note: first\nagainst: 0\noperator: bench\nadded:\n  pools:\n"
	for i := range sizePools {
		text += pool(i)
	}
	text += "  queues:\n"
	for i := range 2 * sizePools {
		text += fmt.Sprintf("    - {name: queue%02d, pool: pool%02d, target: 6.8s, objective: 0.99}\n", i, i%sizePools)
	}
	text += "  customers:\n"
	for i := range sizeCustomers {
		text += fmt.Sprintf("    - {name: team%03d, rank: %d, quota: 0.1}\n", i, i+1)
	}
	text += "  jobs:\n"
	for i := range 3 * sizePools {
		text += fmt.Sprintf("    - {name: kind%02d, queue: queue%02d, rank: %d, run: 2s}\n", i, i%(2*sizePools), i%5+1)
	}
	return []byte(text)
}

func sizeMeasure(w io.Writer, s *standIns, c *entryGroup, hosts int, base uint64) error {
	time.Sleep(3 * time.Second) // let connections and first probes settle
	before, err := s.seen()
	if err != nil {
		return err
	}
	cpu, sent, recv := cpuTime(), c.sumGauge("peers.sent"), c.sumGauge("peers.received")
	time.Sleep(sizeSteadyTime)
	n := float64(len(c.entries))
	secs := sizeSteadyTime.Seconds()
	cpu, sent, recv = cpuTime()-cpu, c.sumGauge("peers.sent")-sent, c.sumGauge("peers.received")-recv
	after, err := s.seen()
	if err != nil {
		return err
	}
	heap := heapBytes() - base
	force, err := c.timesToForce(hosts)
	if err != nil {
		return err
	}
	reads, writes := float64(after.Reads-before.Reads)/secs, float64(after.Writes-before.Writes)/secs
	fmt.Fprintf(w, "%7d %5d  %8.2f%% %7.1f MB %7.2f KB/s %7.2f KB/s %9.2f/s %8.1f %7.1f %10s %10s\n",
		len(c.entries), hosts, 100*cpu.Seconds()/secs/n, float64(heap)/n/1e6,
		float64(sent)/secs/n/1e3, float64(recv)/secs/n/1e3, (reads+writes)/n, writes, reads,
		force[len(force)/2].Round(time.Millisecond), force[len(force)-1].Round(time.Millisecond))
	return nil
}

// sizeDocs prints the total sizes of the control documents as stored and decoded.
func sizeDocs(w io.Writer, s *standIns) error {
	client := plat.New("http://" + s.platform)
	defer client.Close()
	items, _, err := client.List(context.Background(), "fleet/")
	if err != nil {
		return err
	}
	stored, body, count := map[string]int{}, map[string]int{}, map[string]int{}
	for _, it := range items {
		kind := strings.Split(it.Key, "/")[1]
		d, err := cache.Decode(it.Key, it.Value)
		if err != nil {
			continue // a registration, which is not a document
		}
		stored[kind] += len(it.Value)
		body[kind] += len(d.Body())
		count[kind]++
	}
	for _, kind := range slices.Sorted(maps.Keys(count)) {
		fmt.Fprintf(w, "documents %s: %d, %d B as stored, %d B decoded, all together\n", kind, count[kind], stored[kind], body[kind])
	}
	return nil
}

// timesToForce applies changes and returns the sorted times from acceptance until
// each is in force on every entry.
func (c *entryGroup) timesToForce(hosts int) ([]time.Duration, error) {
	var out []time.Duration
	for i := range sizeChanges {
		rev := int64(i + 1)
		n, err := note.Parse("bench", sizeNote(rev, hosts))
		if err != nil {
			return nil, err
		}
		if err := c.apply(n); err != nil {
			return nil, err
		}
		at := time.Now()
		if err := c.wait(10*time.Second, func(s *entry.Status) bool { return s.Rev > rev }); err != nil {
			return nil, err
		}
		out = append(out, time.Since(at))
	}
	slices.Sort(out)
	return out, nil
}

// sumGauge returns the sum of a gauge over the entries.
func (c *entryGroup) sumGauge(name string) int64 {
	var sum int64
	for _, e := range c.entries {
		if v, ok := e.Metrics()[name]["value"].(int64); ok {
			sum += v
		}
	}
	return sum
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
