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
	// scanInterval is the interval of probes and of the collection of counts.
	scanInterval = time.Second
	// maxProbes bounds the probes per scan; hosts take turns beyond it.
	maxProbes = 12
	// maxFirstProbes bounds the probes per scan of hosts never asked before, so that a
	// new entry learns its hosts within seconds.
	maxFirstProbes = 250
	// outcomeDecay is what remains of a host's counts of task ends per scan.
	outcomeDecay = 0.98
	// hostListInterval is the interval at which the platform's list is read.
	hostListInterval = 2 * time.Second
)

// startProbes asks hosts for their usage, at most maxProbes of them: those of
// owned pools, pressing ones first, and hosts without a pool while an owned
// pool lacks hosts.
func (l *loop) startProbes(ctx context.Context) {
	var all []probe
	short := false
	for id := range table.PoolID(l.tables.Pools()) {
		p := l.tables.Pool(id)
		if !p.Owned() {
			continue
		}
		short = short || len(p.Hosts()) < p.Spec().Size
		for _, h := range p.Hosts() {
			all = append(all, l.newProbe(h))
		}
	}
	for id := range table.HostID(l.tables.Hosts()) {
		if h := l.tables.Host(id); short && h.Pool() == table.None && h.Listing() == table.Live {
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
	return probe{host: h.Name(), addr: h.Addr(), urgent: h.Out() || !h.Healthy(), lastProbed: l.lastProbed[h.Name()]}
}

// probe is one host to ask.
type probe struct {
	host, addr string
	urgent     bool      // out of service or silent, so that a step waits for the answer
	lastProbed time.Time // when it was last asked; zero if never
	ok         bool
	usage      endpt.Usage
}

// chooseProbes picks the hosts to ask now: those never asked, at most maxFirst,
// and of the others maxProbes, pressing ones first, then those not asked for the
// longest time.
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

// priority orders probes: never asked, pressing, others.
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

// probeAll probes hosts side by side and posts the answers as one message.
func (e *Entry) probeAll(ctx context.Context, all []probe) {
	done := make(chan struct{})
	for i := range all {
		go func() {
			defer func() { done <- struct{}{} }()
			u, err := e.endpoints.Usage(ctx, all[i].addr)
			all[i].ok, all[i].usage = err == nil, u
		}()
	}
	for range all {
		<-done
	}
	e.post(ctx, probeResults{hosts: all})
}

// probeResults carries the answers of one scan to the loop.
type probeResults struct {
	hosts []probe
}

func (m probeResults) apply(l *loop) {
	now := l.entry.clock.Now()
	for i := range m.hosts {
		l.applyProbe(&m.hosts[i], now)
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
		l.tables.SetProbe(id, false, now, "", 0, 0)
		l.hostReports[p.host] = peers.Word{Host: p.host}
		return
	}
	l.tables.SetProbe(id, true, now, p.usage.Boot, p.usage.Slots, p.usage.Busy)
	if p.usage.Open {
		delete(l.hostReports, p.host)
		return
	}
	l.tables.SetListing(id, table.Leaving)
	l.hostReports[p.host] = peers.Word{Host: p.host, Healthy: true, Leaving: true}
}

// followHostList follows the platform's list of hosts until ctx ends. Without the
// platform it takes a peer's list, so that an entry started in an outage knows
// the hosts' addresses.
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

// hostListUpdate carries the platform's list to the loop.
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
