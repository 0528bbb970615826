package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"shallotpaddle/endpt"
	"shallotpaddle/peers"
	"shallotpaddle/plat"
	"shallotpaddle/table"
)

const (
	// scanInterval is the interval of scans, which probe hosts and collect counts.
	scanInterval = time.Second
	// maxProbes is the most hosts that one scan probes; with more hosts, they take
	// turns. See maxFirstProbes for the exception.
	maxProbes = 12
	// maxFirstProbes is the most hosts never probed before that one scan probes. It is
	// higher so that a new entry has probed all its hosts within seconds.
	maxFirstProbes = 250
	// outcomeDecay is the factor by which each scan reduces a host's counts of task
	// ends.
	outcomeDecay = 0.98
	// hostListInterval is the interval at which the platform's list of hosts is read.
	hostListInterval = 2 * time.Second
)

// startProbes starts the probes of one scan. It chooses from the hosts of owned
// pools and, while an owned pool has too few hosts, those without a pool.
func (l *loop) startProbes(ctx context.Context) {
	var all []probe
	lacksHosts := false
	for id := range table.PoolID(l.tables.Pools()) {
		p := l.tables.Pool(id)
		if !p.Owned() {
			continue
		}
		lacksHosts = lacksHosts || len(p.Hosts()) < p.Spec().Size
		for _, h := range p.Hosts() {
			all = append(all, l.newProbe(h))
		}
	}
	for id := range table.HostID(l.tables.Hosts()) {
		if h := l.tables.Host(id); lacksHosts && h.Pool() == table.None && h.Listing() == table.Live {
			all = append(all, l.newProbe(id))
		}
	}
	all = chooseProbes(all)
	now := l.entry.clock.Now()
	for i := range all {
		l.lastProbed[all[i].host] = now
	}
	if len(all) > 0 {
		go l.entry.probeAll(ctx, all)
	}
}

func (l *loop) newProbe(id table.HostID) probe {
	h := l.tables.Host(id)
	return probe{host: h.Name(), addr: h.Addr(), urgent: h.OutOfService() || !h.Healthy(), lastProbed: l.lastProbed[h.Name()]}
}

// probe is one probe of a host and its result.
type probe struct {
	host, addr string
	urgent     bool      // out of service or unhealthy: a change may wait for the result
	lastProbed time.Time // zero if never
	ok         bool      // the host answered
	// void is set if the probe failed by this process, as it was held up meanwhile or its
	// other calls took the connection: the failure says nothing about the host.
	void  bool
	usage endpt.Usage
}

// chooseProbes returns the probes to make now, by priority and among equals the
// host not probed for the longest time first: at most maxFirstProbes of hosts
// never probed, filled up with others to maxProbes.
func chooseProbes(all []probe) []probe {
	slices.SortFunc(all, func(a, b probe) int {
		if c := cmp.Compare(a.priority(), b.priority()); c != 0 {
			return c
		}
		return a.lastProbed.Compare(b.lastProbed)
	})
	first := 0
	for first < len(all) && first < maxFirstProbes && all[first].lastProbed.IsZero() {
		first++
	}
	return all[:min(len(all), max(first, maxProbes))]
}

// priority orders probes, lowest first: of hosts never probed, urgent ones, others.
func (p *probe) priority() int {
	switch {
	case p.lastProbed.IsZero():
		return 0
	case p.urgent:
		return 1
	default:
		return 2
	}
}

// probeAll probes hosts concurrently and posts the results as one message.
func (e *Entry) probeAll(ctx context.Context, all []probe) {
	done := make(chan struct{})
	for i := range all {
		go func() {
			defer func() { done <- struct{}{} }()
			heldUp := e.router.Suspension().HeldUp()
			u, err := e.endpoints.Usage(ctx, all[i].addr)
			all[i].ok, all[i].usage = err == nil, u
			all[i].void = err != nil && (errors.Is(err, endpt.ErrBusy) || e.router.Suspension().HeldUp() != heldUp)
		}()
	}
	for range all {
		<-done
	}
	e.post(ctx, probeResults{hosts: all})
}

// probeResults carries the probes of one scan, with their results, to the loop.
type probeResults struct {
	hosts []probe
}

func (m probeResults) apply(l *loop) {
	now := l.entry.clock.Now()
	for i := range m.hosts {
		p := &m.hosts[i]
		if p.void {
			l.lastProbed[p.host] = p.lastProbed
			continue
		}
		l.applyProbe(p, now)
	}
	l.dirty = true
}

func (l *loop) applyProbe(p *probe, now time.Time) {
	id := l.tables.HostByName(p.host)
	if id == table.None {
		return
	}
	h := l.tables.Host(id)
	if p.ok != h.Healthy() {
		l.entry.log.Info().Str("host", p.host).Bool("healthy", p.ok).Msg("probe")
	}
	if !p.ok {
		l.tables.SetProbeResult(id, false, now, "", 0, 0)
		l.hostReports[p.host] = peers.HostReport{Host: p.host}
		return
	}
	l.tables.SetProbeResult(id, true, now, p.usage.Boot, p.usage.Slots, p.usage.Busy)
	if p.usage.Open {
		delete(l.hostReports, p.host)
		return
	}
	l.tables.SetListing(id, table.Leaving)
	l.hostReports[p.host] = peers.HostReport{Host: p.host, Healthy: true, Leaving: true}
}

// followHostList reads the platform's list of hosts periodically until ctx ends.
// If the platform does not answer and no list is known yet, it takes that of a
// peer, so that an entry started during an outage of the platform knows the
// hosts' addresses.
func (e *Entry) followHostList(ctx context.Context) error {
	e.refreshHostList(ctx)
	return e.clock.TickerFunc(ctx, hostListInterval, func() error {
		e.refreshHostList(ctx)
		return nil
	}).Wait()
}

func (e *Entry) refreshHostList(ctx context.Context) {
	hosts, err := e.store.Hosts(ctx)
	if err != nil && len(e.status.Load().Hosts) == 0 {
		hosts, err = e.peerHostList(ctx)
	}
	if err == nil {
		e.post(ctx, hostListUpdate{hosts: hosts})
	}
}

var errNoPeer = errors.New("no peer answered")

func (e *Entry) peerHostList(ctx context.Context) ([]plat.Host, error) {
	for _, addr := range e.settings.Peers().Addresses {
		if addr == e.settings.Self().Address {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		var hosts []plat.Host
		err := e.node.Call(call, addr, methodHosts, nil, &hosts)
		cancel()
		if err == nil && len(hosts) > 0 {
			return hosts, nil
		}
	}
	return nil, errNoPeer
}

// hostListUpdate carries a list of hosts to the loop.
type hostListUpdate struct {
	hosts []plat.Host
}

func (m hostListUpdate) apply(l *loop) {
	clear(l.hostList)
	for _, h := range m.hosts {
		l.hostList[h.Name] = h
	}
	l.dirty = true
}
