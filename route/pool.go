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

// slotRequest is the request of one dispatch for slots on a host. It waits
// until a host is granted, and stands for the dispatch while the task runs.
type slotRequest struct {
	item      *sched.Item
	queuedAt  time.Time     // when the item began to wait for this dispatch
	ready     chan struct{} // closed when host is set
	host      HostView      // the host granted
	grantedAt time.Time
	err       error // set before ready is closed, if no host is granted
	// avoid is the host on which the previous dispatch of the item failed;
	// empty if none has. Another host is preferred.
	avoid HostView
}

// isDurable reports whether the work has been accepted before.
func (r *slotRequest) isDurable() bool { return r.item.Spec().Depth == durableQueueDepth }

// pool queues the work of one pool and grants it slots on the pool's hosts.
type pool struct {
	clock quartz.Clock

	mu   sync.Mutex
	view PoolView
	// slotShare is this entry's equal share of the pool's slots, at least 1.
	slotShare int
	hosts     map[string]HostView // not excluded, by name
	queue     *sched.Queue
	picker    *share.Picker
	budget    *admit.Budget
	waiting   map[uint64]*slotRequest // by item id
	// multiSlot holds the requests for several slots; some may no longer wait.
	multiSlot []*slotRequest
	// reservedHost is the host that is kept free for multi-slot work, or empty;
	// lastReserved is the one reserved most recently.
	reservedHost, lastReserved string
	// excludedUntil is the time by host until which the host gets no work.
	excludedUntil map[string]time.Time
	// running counts the dispatches in flight by host, including hosts that
	// have left the pool.
	running  map[string]int
	outcomes map[string]*outcomeCounts // by host
	paused   bool                      // the entry must not dispatch
	// noHostsSince is when the view was first without hosts; zero if it has some, or if
	// some have not been probed yet.
	noHostsSince time.Time
	closed       bool // taken off the router's list
}

// outcomeCounts counts the tasks that ended on one host since the last call of
// CollectOutcomes.
type outcomeCounts struct{ succeeded, failed float64 }

func newPool(name string, clock quartz.Clock, retryShare float64) *pool {
	return &pool{
		clock: clock, queue: sched.New(sched.Yield, clock), picker: share.NewPicker(xxhash.Sum64String(name)),
		budget:  admit.NewBudget(retryShare, admit.RetryBurst, admit.RetryEvery),
		waiting: map[uint64]*slotRequest{}, excludedUntil: map[string]time.Time{},
		running: map[string]int{}, outcomes: map[string]*outcomeCounts{}, hosts: map[string]HostView{},
	}
}

// setView replaces the view of the pool. If serving is false, no slots are
// granted.
func (p *pool) setView(v PoolView, serving bool, entries int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view, p.paused = v, !serving
	switch {
	case len(v.Hosts) > 0 || v.Unprobed:
		p.noHostsSince = time.Time{}
	case p.noHostsSince.IsZero():
		p.noHostsSince = p.clock.Now()
	}
	p.slotShare = max(1, v.Slots()/max(1, entries))
	p.rebuildHosts()
	p.grantSlots()
}

// rebuildHosts recomputes the hosts that may be used: those of the view without
// the excluded ones. p.mu is held.
func (p *pool) rebuildHosts() {
	now := p.clock.Now()
	clear(p.hosts)
	open := make([]share.Host, 0, len(p.view.Hosts))
	for _, h := range p.view.Hosts {
		if until, ok := p.excludedUntil[h.Name]; ok && now.Before(until) {
			continue
		}
		delete(p.excludedUntil, h.Name)
		p.hosts[h.Name] = h
		open = append(open, share.Host{Name: h.Name, Slots: h.Slots})
	}
	p.picker.SetHosts(open)
}

// exclude gives a host no new work for d.
func (p *pool) exclude(host string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excludedUntil[host] = p.clock.Now().Add(d)
	p.rebuildHosts()
}

// tick readmits hosts whose exclusion is over and grants free slots.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, until := range p.excludedUntil {
		if !now.Before(until) {
			p.rebuildHosts()
			break
		}
	}
	p.grantSlots()
	p.rejectWithoutHosts()
}

// noHosts reports whether the pool has had no host for longer than noHostsGrace.
func (p *pool) noHosts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.noHostsLocked()
}

func (p *pool) noHostsLocked() bool {
	return !p.noHostsSince.IsZero() && p.clock.Since(p.noHostsSince) >= noHostsGrace
}

// rejectWithoutHosts rejects the waiting work that is not durable once the pool has had
// no host for too long; p.mu is held.
func (p *pool) rejectWithoutHosts() {
	if !p.noHostsLocked() {
		return
	}
	for id, req := range p.waiting {
		if req.isDurable() || !p.queue.Remove(req.item) {
			continue
		}
		delete(p.waiting, id)
		req.err = ErrNoWorker
		close(req.ready)
	}
}

// enqueue queues an item and requests slots for it.
func (p *pool) enqueue(item *sched.Item) (*slotRequest, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errPoolWithdrawn
	}
	if err := p.queue.Push(item); err != nil {
		return nil, err
	}
	return p.requestSlots(item, HostView{}), nil
}

// requestSlots adds a request for an item that is in the queue; p.mu is held.
func (p *pool) requestSlots(item *sched.Item, avoid HostView) *slotRequest {
	req := &slotRequest{item: item, queuedAt: p.clock.Now(), ready: make(chan struct{}), avoid: avoid}
	p.waiting[item.ID()] = req
	if item.Spec().Slots > 1 {
		p.multiSlot = append(p.multiSlot, req)
	}
	p.grantSlots()
	return req
}

// requeue releases the slots of a dispatch, queues its item again and returns
// the new request. If workerFull, the host is passed over for a while;
// otherwise the new request avoids it.
func (p *pool) requeue(req *slotRequest, workerFull bool) *slotRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots, avoid := req.item.Spec().Slots, req.avoid
	if workerFull {
		p.picker.Refused(p.clock.Now(), req.host.Name, slots)
	} else {
		p.picker.Release(req.host.Name, slots)
		avoid = req.host
	}
	p.countEnded(req.host.Name)
	p.queue.Requeue(req.item)
	return p.requestSlots(req.item, avoid)
}

// cancelWait takes a request out of the queue; it returns false if a host has
// been granted already.
func (p *pool) cancelWait(req *slotRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.queue.Remove(req.item) {
		return false
	}
	delete(p.waiting, req.item.ID())
	return true
}

// release releases the slots of a dispatch that has ended. runTime is 0 if the
// task did not run or failed.
func (p *pool) release(req *slotRequest, runTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Release(req.host.Name, req.item.Spec().Slots)
	p.countEnded(req.host.Name)
	p.queue.Done(req.item, runTime)
	p.grantSlots()
}

// countEnded takes one dispatch off the host's count; p.mu is held.
func (p *pool) countEnded(host string) {
	p.running[host]--
	if p.running[host] <= 0 {
		delete(p.running, host)
	}
}

// recordOutcome counts a task that ended on a host, for the host's failure
// rate. A success adds to the retry budget.
func (p *pool) recordOutcome(host string, succeeded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.outcomes[host]
	if counts == nil {
		counts = &outcomeCounts{}
		p.outcomes[host] = counts
	}
	if succeeded {
		counts.succeeded++
		p.budget.OnSuccess()
		return
	}
	counts.failed++
}

// spendRetry takes one retry from the pool's budget; it returns false if there
// is none.
func (p *pool) spendRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Allow(p.clock.Now())
}

// grantSlots grants free slots to waiting items; p.mu is held.
func (p *pool) grantSlots() {
	if p.paused {
		return
	}
	now := p.clock.Now()
	p.reserveHost(now)
	for p.queue.Len() > 0 {
		// Pop skips work that fits on no host now, so that it does not block
		// the rest.
		item := p.queue.Pop(now, p.picker.MaxFree(now, p.reservedHost), p.slotShare)
		if item == nil {
			return
		}
		host, ok := p.pickHost(now, p.waiting[item.ID()])
		if !ok {
			p.queue.Requeue(item)
			return
		}
		p.grant(item, host, now)
	}
}

// grant gives a host to an item's request and counts the dispatch; p.mu is
// held.
func (p *pool) grant(item *sched.Item, host string, now time.Time) {
	req := p.waiting[item.ID()]
	delete(p.waiting, item.ID())
	req.host, req.grantedAt = p.hosts[host], now
	p.running[host]++
	close(req.ready)
}

// isOpen reports whether a host is still open to new work.
func (p *pool) isOpen(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.hosts[host]
	return ok && !p.paused
}

// closeIfIdle closes the pool to new work if no work waits or runs and all
// outcomes have been collected; it reports whether it did.
func (p *pool) closeIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = p.queue.Len() == 0 && len(p.running) == 0 && len(p.outcomes) == 0
	return p.closed
}

// forecast holds the predictions by which work is admitted.
type forecast struct {
	// delay is the predicted wait for a slot, runTime the expected run time.
	delay, runTime time.Duration
	// waiting is the number of items that wait in the same queue.
	waiting int
}

// forecast predicts the wait and run time of an item that is not queued yet.
func (p *pool) forecast(now time.Time, item *sched.Item) forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := item.Spec()
	return forecast{
		delay:   p.queue.Delay(now, p.slotShare, item.Rank(), s.Due),
		runTime: p.queue.RunTimes().Mean(s.Queue, s.Kind, s.RunTime),
		waiting: p.queue.Waiting(s.Queue),
	}
}

// predictDelay returns the predicted wait of an item of the given rank without
// a due time.
func (p *pool) predictDelay(now time.Time, rank int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Delay(now, p.slotShare, rank, time.Time{})
}
