package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"shallotpaddle/cache"
	"shallotpaddle/peers"
	"shallotpaddle/plat"
	"shallotpaddle/share"
	"shallotpaddle/table"
)

// JSON-RPC methods that peers call.
const (
	methodHeartbeat = "beat"
	methodDocs      = "docs"
	methodHosts     = "hosts"
	methodBurn      = "burn"
	methodExplain   = "why"
	methodJob       = "job"
	methodClaim     = "claim"
)

// callTimeout bounds one call to a peer.
const callTimeout = time.Second

func poolOwner(pool string, live []string) string { return share.Owner(pool, live) }

// heartbeatSpacing times the number of peers is the least interval of heartbeats;
// it overrides a shorter interval from the settings. This bounds the rate at
// which an entry sends heartbeats, however many peers there are.
const heartbeatSpacing = 32 * time.Millisecond

// sendHeartbeats sends a heartbeat to every known peer and returns the time until
// the next one is due.
func (l *loop) sendHeartbeats(ctx context.Context, now time.Time) time.Duration {
	b := l.makeHeartbeat(now)
	addrs := l.peerAddrs()
	for addr := range addrs {
		go l.entry.sendHeartbeat(ctx, addr, b)
	}
	return max(l.entry.settings.Peers().HeartbeatInterval.Std(), time.Duration(len(addrs))*heartbeatSpacing)
}

func (l *loop) makeHeartbeat(now time.Time) peers.Heartbeat {
	e := l.entry
	b := peers.Heartbeat{
		From: e.Name(), DC: e.settings.Self().DC, Addr: e.settings.Self().Address, Boot: e.bootID,
		VersionsHash: l.hash, ConfigRev: l.tables.Config().Rev, StoreReachable: e.hasStoreContact(now), Stopping: e.stopping.Load(),
		Ledger: e.jobs.Ledger(), Loads: map[string]peers.Load{},
	}
	closed := make([]string, 0, len(l.closingRevs))
	for host := range l.closingRevs {
		closed = append(closed, host)
	}
	for host := range e.router.RunningOn(closed) {
		b.HostsInUse = append(b.HostsInUse, host)
	}
	for pool, s := range e.router.Stats() {
		if s.Waiting+s.Running > 0 {
			b.Loads[pool] = peers.Load{
				Waiting: s.Waiting, Demand: s.Demand, Running: s.Running, LateFor: l.lateDuration(pool, now),
			}
		}
	}
	for _, report := range l.hostReports {
		b.HostReports = append(b.HostReports, report)
	}
	return b
}

// hasStoreContact tells whether contact with the store is unbroken and the store
// has answered within isolationTimeout.
func (e *Entry) hasStoreContact(now time.Time) bool {
	return !e.docs.ContactSince().IsZero() && now.Sub(e.docs.Contact()) < isolationTimeout
}

// peerAddrs returns the peers' addresses from the settings, the registrations in
// the store and the heartbeats received.
func (l *loop) peerAddrs() map[string]struct{} {
	out := map[string]struct{}{}
	for _, a := range l.entry.settings.Peers().Addresses {
		out[a] = struct{}{}
	}
	l.entry.docs.Each(keyPrefix+"entry/", func(d cache.Doc) {
		var reg struct {
			Addr string `json:"addr"`
		}
		if json.Unmarshal(d.Body(), &reg) == nil && reg.Addr != "" {
			out[reg.Addr] = struct{}{}
		}
	})
	for _, m := range l.members.All() {
		out[m.Addr()] = struct{}{}
	}
	delete(out, l.entry.settings.Self().Address)
	return out
}

func (e *Entry) sendHeartbeat(ctx context.Context, addr string, b peers.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply peers.HeartbeatReply
	if err := e.node.Call(ctx, addr, methodHeartbeat, b, &reply); err != nil {
		return
	}
	if reply.Versions == nil {
		return
	}
	e.post(ctx, versionsReport{from: reply.From, versions: reply.Versions})
	if e.isBehind(reply.Versions) {
		e.fetchDocs(ctx, addr)
	}
}

// isBehind tells whether versions, those of a peer, hold a newer revision of a
// document than this entry has.
func (e *Entry) isBehind(versions map[string]int64) bool {
	own := e.docs.Versions()
	for k, v := range versions {
		if v > own[k] {
			return true
		}
	}
	return false
}

// fetchDocs fetches the documents of which a peer has newer revisions.
func (e *Entry) fetchDocs(ctx context.Context, addr string) {
	var docs []cache.Doc
	if err := e.node.Call(ctx, addr, methodDocs, e.docs.Versions(), &docs); err != nil {
		e.log.Warn().Str("peer", addr).Err(err).Msg("could not fetch newer documents from peer")
		return
	}
	for _, d := range docs {
		e.docs.Merge(d)
	}
}

// versionsReport carries a peer's document versions to the loop.
type versionsReport struct {
	from     string
	versions map[string]int64
}

func (m versionsReport) apply(l *loop) { l.members.RecordVersions(m.from, m.versions) }

// heartbeatCall carries a received heartbeat to the loop, which answers on reply.
type heartbeatCall struct {
	beat  peers.Heartbeat
	reply chan peers.HeartbeatReply
}

func (m heartbeatCall) apply(l *loop) {
	now := l.entry.clock.Now()
	l.members.RecordHeartbeat(m.beat, now, l.hash, l.versions)
	l.applyHostReports(m.beat, now)
	r := peers.HeartbeatReply{From: l.entry.Name()}
	if m.beat.VersionsHash != l.hash {
		r.Versions = l.versions
	}
	m.reply <- r
}

// applyHostReports records the health of the hosts in the pools that a peer owns.
// A heartbeat lists only the hosts that are not healthy or are leaving.
func (l *loop) applyHostReports(b peers.Heartbeat, now time.Time) {
	reports := make(map[string]peers.HostReport, len(b.HostReports))
	for _, report := range b.HostReports {
		reports[report.Host] = report
	}
	for id := range table.PoolID(l.tables.Pools()) {
		if l.poolOwners[l.poolName(id)] != b.From {
			continue
		}
		for _, h := range l.tables.Pool(id).Hosts() {
			l.applyHostReport(h, reports, now)
		}
	}
}

func (l *loop) applyHostReport(id table.HostID, reports map[string]peers.HostReport, now time.Time) {
	h := l.tables.Host(id)
	report, ok := reports[h.Name()]
	healthy := !ok || (report.Healthy && !report.Leaving)
	if healthy != h.Healthy() {
		l.dirty = true
	}
	l.tables.SetProbeResult(id, healthy, now, h.BootID(), h.Slots(), h.BusySlots())
}

// serve answers a peer's call.
func (e *Entry) serve(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodHeartbeat:
		return e.serveHeartbeat(ctx, params)
	case methodDocs:
		var versions map[string]int64
		if err := json.Unmarshal(params, &versions); err != nil {
			return nil, fmt.Errorf("versions: %w", err)
		}
		return e.docs.Newer(versions), nil
	case methodHosts:
		return e.publishedHosts(), nil
	default:
		return e.serveWork(ctx, method, params)
	}
}

func (e *Entry) serveHeartbeat(ctx context.Context, params json.RawMessage) (any, error) {
	m := heartbeatCall{reply: make(chan peers.HeartbeatReply, 1)}
	if err := json.Unmarshal(params, &m.beat); err != nil {
		return nil, fmt.Errorf("heartbeat: %w", err)
	}
	e.post(ctx, m)
	select {
	case r := <-m.reply:
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// publishedHosts returns the hosts of the last published status, for a peer that
// can't read the platform's list.
func (e *Entry) publishedHosts() []plat.Host {
	s := e.status.Load()
	out := make([]plat.Host, 0, len(s.Hosts))
	for i := range s.Hosts {
		h := &s.Hosts[i]
		out = append(out, plat.Host{Name: h.Name, DC: h.DC, Rack: h.Rack, Addr: h.Addr, State: plat.StateLive})
	}
	return out
}
