package route

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/quartz"

	"shallotpaddle/admit"
	"shallotpaddle/sched"
	"shallotpaddle/share"
)

// ticket is one waiting dispatch.
type ticket struct {
	item  *sched.Item
	since time.Time     // when the item began to wait for this dispatch
	ready chan struct{} // closed when host is set
	host  HostView
	taken time.Time // when the host was taken
	// failed is the host of the dispatch before, which the next one avoids; it
	// is empty for the first one.
	failed HostView
}

// pool queues the work of one pool and hands out slots of its hosts.
type pool struct {
	clock quartz.Clock

	mu   sync.Mutex
	view PoolView
	// slots is this entry's equal part of the pool's slots, at least 1.
	slots   int
	hosts   map[string]HostView
	queue   *sched.Queue
	holder  *share.Picker
	budget  *admit.Budget
	tickets map[uint64]*ticket // waiting, by item id
	wide    []*ticket          // those that take several slots
	// reserved is the host that is kept free for wide work, or empty; keep is the
	// one that was reserved last.
	reserved, keep string
	// shunned holds hosts passed over until the given time.
	shunned map[string]time.Time
	// running counts the dispatches in flight per host, including hosts that
	// have left the pool.
	running map[string]int
	ends    map[string]*ends
	paused  bool
	closed  bool // taken off the router's list
}

// ends counts task ends on one host since the last collection.
type ends struct{ good, bad float64 }

func newPool(name string, clock quartz.Clock, retry float64) *pool {
	return &pool{
		clock: clock, queue: sched.New(sched.Yield, clock), holder: share.NewPicker(xxhash.Sum64String(name)),
		budget:  admit.NewBudget(retry, admit.RetryBurst, admit.RetryEvery),
		tickets: map[uint64]*ticket{}, shunned: map[string]time.Time{},
		running: map[string]int{}, ends: map[string]*ends{}, hosts: map[string]HostView{},
	}
}

// set installs a view of the pool.
func (p *pool) set(v PoolView, serving bool, entries int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view, p.paused = v, !serving
	p.slots = max(1, v.Slots()/max(1, entries))
	p.refresh()
	p.pump()
}

// refresh rebuilds the hosts that slots may be taken on; p.mu is held.
func (p *pool) refresh() {
	now := p.clock.Now()
	clear(p.hosts)
	open := make([]share.Host, 0, len(p.view.Hosts))
	for _, h := range p.view.Hosts {
		if until, ok := p.shunned[h.Name]; ok && now.Before(until) {
			continue
		}
		delete(p.shunned, h.Name)
		p.hosts[h.Name] = h
		open = append(open, share.Host{Name: h.Name, Slots: h.Slots})
	}
	p.holder.SetHosts(open)
}

// shun passes a host over for d.
func (p *pool) shun(host string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shunned[host] = p.clock.Now().Add(d)
	p.refresh()
}

// tick ends shunning that is over and starts what can start.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, until := range p.shunned {
		if !now.Before(until) {
			p.refresh()
			break
		}
	}
	p.pump()
}

// enter queues an item.
func (p *pool) enter(item *sched.Item) (*ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errWithdrawn
	}
	if err := p.queue.Push(item); err != nil {
		return nil, err
	}
	return p.wait(item, HostView{}), nil
}

// wait registers a ticket for an item that is in the queue; p.mu is held.
func (p *pool) wait(item *sched.Item, failed HostView) *ticket {
	t := &ticket{item: item, since: p.clock.Now(), ready: make(chan struct{}), failed: failed}
	p.tickets[item.ID()] = t
	if item.Spec().Slots > 1 {
		p.wide = append(p.wide, t)
	}
	p.pump()
	return t
}

// again queues an item whose dispatch was not run and returns its new ticket.
func (p *pool) again(t *ticket, full bool) *ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots, failed := t.item.Spec().Slots, t.failed
	if full {
		p.holder.Refused(p.clock.Now(), t.host.Name, slots)
	} else {
		p.holder.Release(t.host.Name, slots)
		failed = t.host
	}
	p.leave(t.host.Name)
	p.queue.Requeue(t.item)
	return p.wait(t.item, failed)
}

// abandon takes a ticket out of the queue; it is false when a host was taken.
func (p *pool) abandon(t *ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.queue.Remove(t.item) {
		return false
	}
	delete(p.tickets, t.item.ID())
	return true
}

// release gives back a ticket's slots after its run ended. A run that did not
// happen or failed passes 0.
func (p *pool) release(t *ticket, ran time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder.Release(t.host.Name, t.item.Spec().Slots)
	p.leave(t.host.Name)
	p.queue.Done(t.item, ran)
	p.pump()
}

func (p *pool) leave(host string) {
	p.running[host]--
	if p.running[host] <= 0 {
		delete(p.running, host)
	}
}

// count records the end of a task for the host's failure rate.
func (p *pool) count(host string, good bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.ends[host]
	if e == nil {
		e = &ends{}
		p.ends[host] = e
	}
	if good {
		e.good++
		p.budget.OnSuccess()
		return
	}
	e.bad++
}

// retry spends one retry of the pool's budget.
func (p *pool) retry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Allow(p.clock.Now())
}

// pump hands free slots to waiting items; p.mu is held.
func (p *pool) pump() {
	if p.paused {
		return
	}
	now := p.clock.Now()
	p.reserve(now)
	for p.queue.Len() > 0 {
		// Work that fits on no host is passed over: it must not hold up the rest.
		item := p.queue.Pop(now, p.holder.MaxFree(now, p.reserved), p.slots)
		if item == nil {
			return
		}
		host, ok := p.take(now, p.tickets[item.ID()])
		if !ok {
			p.queue.Requeue(item)
			return
		}
		p.grant(item, host, now)
	}
}

func (p *pool) grant(item *sched.Item, host string, now time.Time) {
	t := p.tickets[item.ID()]
	delete(p.tickets, item.ID())
	t.host, t.taken = p.hosts[host], now
	p.running[host]++
	close(t.ready)
}

// still tells whether a taken host is still open to new work.
func (p *pool) still(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.hosts[host]
	return ok && !p.paused
}

// close closes the pool to new work if it has none; it tells whether it did.
func (p *pool) close() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = p.queue.Len() == 0 && len(p.running) == 0 && len(p.ends) == 0
	return p.closed
}

// forecast is what admission goes by.
type forecast struct {
	// delay is the predicted wait, run the expected run time.
	delay, run time.Duration
	// waiting counts the items of the same queue.
	waiting int
}

// forecast predicts what becomes of an item that is not queued yet.
func (p *pool) forecast(now time.Time, item *sched.Item) forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := item.Spec()
	return forecast{
		delay:   p.queue.Delay(now, p.slots, item.Rank(), s.Due),
		run:     p.queue.RunTimes().Mean(s.Queue, s.Kind, s.RunTime),
		waiting: p.queue.Waiting(s.Queue),
	}
}

// delay predicts the wait of an item of the given rank without a due time.
func (p *pool) delay(now time.Time, rank int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Delay(now, p.slots, rank, time.Time{})
}
