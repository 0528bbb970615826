package entry

import (
	"time"

	"shallotpaddle/route"
	"shallotpaddle/sched"
	"shallotpaddle/table"
)

// publish builds the view that the router works with and the status.
func (l *loop) publish() {
	now := l.entry.clock.Now()
	reason := l.unreadyReason(now)
	l.entry.router.SetView(l.makeView(reason == "" || reason == unreadyStopping || reason == unreadyNoProbes))
	l.entry.status.Store(l.makeStatus(now, reason))
}

// Reasons why an entry takes no work, as the readiness check reports them.
const (
	unreadyStopping = "entry is stopping"
	unreadyNoConf   = "no configuration yet"
	unreadyNoHosts  = "no list of hosts yet"
	unreadyIsolated = "no word from the store or a live peer"
	unreadyNoProbes = "the workers have not been probed yet"
)

// unreadyReason returns why the entry takes no work, or "" if it takes work.
func (l *loop) unreadyReason(now time.Time) string {
	e := l.entry
	switch {
	case e.stopping.Load():
		return unreadyStopping
	case l.tables.Config().Rev == 0:
		return unreadyNoConf
	case l.tables.Hosts() == 0:
		return unreadyNoHosts
	case l.isolated(now):
		return unreadyIsolated
	case l.awaitsFirstProbes():
		return unreadyNoProbes
	}
	return ""
}

// awaitsFirstProbes tells whether the entry has started and could dispatch nothing of some
// pool, as the results of the first probes are not there yet. Once the pools have been
// probed it stays false: new hosts must not make all entries unready at once.
func (l *loop) awaitsFirstProbes() bool {
	if l.probed {
		return false
	}
	for id := range table.PoolID(l.tables.Pools()) {
		if v := l.poolView(l.tables.Pool(id)); v.Unprobed && len(v.Hosts) == 0 {
			return true
		}
	}
	for id := range table.HostID(l.tables.Hosts()) {
		l.probed = l.probed || !l.tables.Host(id).LastProbed().IsZero()
	}
	return false
}

// isolated tells whether other entries may move hosts without this entry's
// knowledge: it has no contact with the store, receives no heartbeats of a peer
// that has, and hears less than half of the entries. While it hears half of them,
// an entry on the other side of a network partition hears at most half, and so
// does not presume the silent ones to be down. An entry that has never reached
// the store and knows no peer is isolated, too.
func (l *loop) isolated(now time.Time) bool {
	if now.Sub(l.entry.docs.Contact()) < isolationTimeout {
		return false
	}
	for _, m := range l.members.All() {
		if now.Sub(m.LastHeard()) < isolationTimeout && m.Heartbeat().StoreReachable {
			return false
		}
	}
	return !halfHeard(l.countEntries(now)) || l.entry.docs.Contact().IsZero() && l.members.Len() == 0
}

// countEntries counts the entries of which heartbeats arrived within
// isolationTimeout, and those that are known from heartbeats or registered, both
// with this one. Peers that are stopping don't count unless they are registered.
func (l *loop) countEntries(now time.Time) (heard, known int) {
	names := map[string]bool{l.entry.Name(): true}
	heard = 1
	for _, m := range l.members.All() {
		if m.Heartbeat().Stopping {
			continue
		}
		names[m.Name()] = true
		if now.Sub(m.LastHeard()) < isolationTimeout {
			heard++
		}
	}
	for _, n := range l.entry.docs.Registered() {
		names[n] = true
	}
	return heard, len(names)
}

// halfHeard tells whether an entry that has lost the store may go on dispatching.
// In a network partition it excludes majorityHeard on the other side.
func halfHeard(heard, known int) bool { return 2*heard >= known }

// majorityHeard tells whether an entry may presume silent ones to be down when a
// host is to be rebooted or moved.
func majorityHeard(heard, known int) bool { return 2*heard > known }

// makeView builds the router's view from the tables and the configuration.
func (l *loop) makeView(serving bool) *route.View {
	c := l.tables.Config()
	v := &route.View{
		Rev: c.Rev, Serving: serving, Entries: len(l.members.Live(l.entry.clock.Now(), heartbeatTimeout)),
		Pools:     make(map[string]route.PoolView, len(c.Pools)),
		Queues:    make(map[string]route.QueueView, len(c.Queues)),
		Customers: make(map[string]table.CustomerSpec, len(c.Customers)),
		Jobs:      make(map[string]table.JobSpec, len(c.Jobs)),
	}
	for id := range table.PoolID(l.tables.Pools()) {
		p := l.tables.Pool(id)
		v.Pools[p.Spec().Name] = l.poolView(p)
	}
	for i := range c.Queues {
		w, err := sched.ParseWindow(c.Queues[i].Hours, c.Queues[i].Tz)
		if err != nil {
			l.entry.log.Error().Str("queue", c.Queues[i].Name).Err(err).Msg("ignoring invalid hours of queue; work may start at any time")
		}
		v.Queues[c.Queues[i].Name] = route.QueueView{Spec: c.Queues[i], Window: w}
	}
	for _, s := range c.Customers {
		v.Customers[s.Name] = s
	}
	for _, s := range c.Jobs {
		v.Jobs[s.Name] = s
	}
	return v
}

func (l *loop) poolView(p *table.Pool) route.PoolView {
	out := route.PoolView{Name: p.Spec().Name}
	for _, id := range p.Hosts() {
		h := l.tables.Host(id)
		out.Unprobed = out.Unprobed || h.AwaitsProbe()
		if h.UsableSlots() == 0 {
			continue
		}
		out.Hosts = append(out.Hosts, route.HostView{
			Name: h.Name(), Addr: h.Addr(), Rack: h.Rack(), Slots: h.UsableSlots(),
		})
	}
	return out
}

func (l *loop) makeStatus(now time.Time, unreadyReason string) *Status {
	live := l.members.Live(now, heartbeatTimeout)
	s := &Status{Ready: unreadyReason == "", UnreadyReason: unreadyReason, Rev: l.tables.Config().Rev, Live: live}
	s.hostIndex = make(map[string]int, l.tables.Hosts())
	for id := range table.PoolID(l.tables.Pools()) {
		s.Pools = append(s.Pools, l.poolStatus(l.tables.Pool(id)))
	}
	for id := range table.HostID(l.tables.Hosts()) {
		s.Hosts = append(s.Hosts, l.hostStatus(l.tables.Host(id)))
		s.hostIndex[l.tables.Host(id).Name()] = int(id)
	}
	s.Entries = l.memberStatuses(now)
	l.recordProgress(now, s)
	return s
}

func (l *loop) poolStatus(p *table.Pool) PoolStatus {
	s := PoolStatus{
		Name: p.Spec().Name, Owner: l.poolOwners[p.Spec().Name],
		Hosts: len(p.Hosts()), Out: p.OutOfService(), Budget: p.Spec().Budget,
	}
	for _, id := range p.Hosts() {
		s.Slots += l.tables.Host(id).UsableSlots()
	}
	own := l.entry.router.Stats()[s.Name]
	s.Waiting, s.Busy = own.Waiting, own.Running
	for _, m := range l.members.All() {
		load := m.Heartbeat().Loads[s.Name]
		s.Waiting += load.Waiting
		s.Busy += load.Running
	}
	return s
}

func (l *loop) hostStatus(h *table.Host) HostStatus {
	return HostStatus{
		Name: h.Name(), DC: h.DC(), Rack: h.Rack(), Addr: h.Addr(), Boot: h.BootID(),
		Pool: l.poolName(h.Pool()), Next: l.poolName(h.MoveTarget()),
		Reason: h.Reason(), Phase: h.Phase(), Healthy: h.Healthy(), Busy: h.BusySlots(), Slots: h.Slots(),
	}
}

func (l *loop) poolName(id table.PoolID) string {
	if id == table.None {
		return ""
	}
	return l.tables.Pool(id).Spec().Name
}

func (l *loop) memberStatuses(now time.Time) []MemberStatus {
	self := l.entry.settings.Self()
	registered := map[string]bool{}
	for _, n := range l.entry.docs.Registered() {
		registered[n] = true
	}
	out := []MemberStatus{{
		Name: self.Name, DC: self.DC, Addr: self.Address, Rev: l.tables.Config().Rev, Registered: registered[self.Name],
	}}
	for _, m := range l.members.All() {
		out = append(out, MemberStatus{
			Name: m.Name(), DC: m.Heartbeat().DC, Addr: m.Addr(), Ledger: m.Heartbeat().Ledger, Rev: m.Heartbeat().ConfigRev,
			HeartbeatAge: now.Sub(m.LastHeard()), Registered: registered[m.Name()],
		})
		delete(registered, m.Name())
	}
	delete(registered, self.Name)
	for n := range registered {
		out = append(out, MemberStatus{Name: n, HeartbeatAge: -1, Registered: true})
	}
	return out
}

// updateDemand records each pool's demand for slots, summed over all entries and
// smoothed, and for how long its predicted delay has exceeded the targets.
func (l *loop) updateDemand(now time.Time) {
	stats := l.entry.router.Stats()
	for id := range table.PoolID(l.tables.Pools()) {
		p := l.tables.Pool(id)
		name := p.Spec().Name
		l.updateLate(name, now)
		own := stats[name]
		slots, late := float64(own.Demand+own.Running), l.lateDuration(name, now)
		for _, m := range l.members.All() {
			load := m.Heartbeat().Loads[name]
			slots += float64(load.Demand + load.Running)
			late = max(late, load.LateFor)
		}
		l.tables.SetDemand(id, p.Demand()+demandGain*(slots-p.Demand()), late)
	}
}

// demandGain is the weight of the newest value in the exponential moving average of
// a pool's demand.
const demandGain = 0.2

// updateLate records since when the pool's delay, as predicted by this entry, has
// exceeded the shortest target of its queues.
func (l *loop) updateLate(pool string, now time.Time) {
	target := time.Duration(0)
	for i := range l.tables.Config().Queues {
		q := &l.tables.Config().Queues[i]
		if q.Pool == pool && (target == 0 || q.Target.Std() < target) {
			target = q.Target.Std()
		}
	}
	if target == 0 || l.entry.router.PredictDelay(pool) <= target {
		delete(l.lateSince, pool)
		return
	}
	if _, ok := l.lateSince[pool]; !ok {
		l.lateSince[pool] = now
	}
}

// lateDuration returns for how long the pool's predicted delay at this entry has
// exceeded its target; zero if it does not.
func (l *loop) lateDuration(pool string, now time.Time) time.Duration {
	since, ok := l.lateSince[pool]
	if !ok {
		return 0
	}
	return now.Sub(since)
}
