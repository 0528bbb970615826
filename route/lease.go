package route

import (
	"context"
	"errors"
	"sync"

	"github.com/coder/quartz"

	"shallotpaddle/endpt"
)

// leaseRenewal renews the lease of a task at its worker until it is stopped. It
// is nil for a task without a lease.
type leaseRenewal struct {
	router       *Router
	addr, taskID string

	mu      sync.Mutex
	timer   *quartz.Timer
	stopped bool
}

// renewLease starts to renew the lease of a task.
func (r *Router) renewLease(req *slotRequest, taskID string) *leaseRenewal {
	l := &leaseRenewal{router: r, addr: req.host.Addr, taskID: taskID}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = r.clock.AfterFunc(LeaseTime/3, l.renew)
	return l
}

// renew renews the lease once and schedules the next renewal, unless the worker
// no longer has the task.
func (l *leaseRenewal) renew() {
	ctx, cancel := context.WithTimeout(context.Background(), LeaseTime/3)
	defer cancel()
	err := l.router.client.Renew(ctx, l.addr, l.taskID, LeaseTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || errors.Is(err, endpt.ErrNoTask) {
		return
	}
	l.timer.Reset(LeaseTime / 3)
}

// stop ends the renewal. A call to the worker that is in flight is not
// cancelled, but is the last one.
func (l *leaseRenewal) stop() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.timer.Stop()
}
