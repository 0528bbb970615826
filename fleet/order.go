package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"shallotpaddle/hosts"
)

// markReady returns the indexes of the tasks whose orders can be sent, as their
// hosts are empty, and marks these tasks as ordered.
func (c *Controller) markReady(now time.Time) []int {
	var ready []int
	for i := range c.plan.Tasks {
		t := &c.plan.Tasks[i]
		if _, accepted := c.acceptedAt[t.ID]; accepted || !c.isEmptied(t) || c.isQuiet(t.Host, now) {
			continue
		}
		if !t.Ordered {
			t.Ordered = true
			c.planChanged = true
		}
		if t.Kind == Maintain && !slices.Contains(c.plan.MaintainedByWave[t.Wave], t.Host) {
			c.planChanged = true
		}
		ready = append(ready, i)
	}
	return ready
}

// isQuiet reports whether an earlier controller may just have sent an order for a
// host: orders of two controllers for one host must not overlap.
func (c *Controller) isQuiet(host string, now time.Time) bool {
	return (c.orderedBefore[host] || c.planUnread) && now.Sub(c.startedAt) < c.QuietPeriod
}

// recordOrdered keeps a host in the plan until the QuietPeriod after an order for it
// is over, although its task has ended.
func (c *Controller) recordOrdered(host string, now time.Time) {
	c.recentUntil[host] = now.Add(c.QuietPeriod)
	if !slices.Contains(c.plan.Recent, host) {
		c.plan.Recent = append(c.plan.Recent, host)
	}
}

// forgetOrdered removes the hosts from the plan whose QuietPeriod is over. That
// alone causes no write.
func (c *Controller) forgetOrdered(now time.Time) {
	c.plan.Recent = slices.DeleteFunc(c.plan.Recent, func(host string) bool {
		if now.Before(c.recentUntil[host]) {
			return false
		}
		delete(c.recentUntil, host)
		return true
	})
}

// isEmptied reports whether nothing runs on a task's host.
func (c *Controller) isEmptied(t *Task) bool {
	return t.Ordered || t.Worker == "" || c.digests[t.From].Released[t.Worker] == t.ID
}

// sendOrders sends the orders of the tasks at these indexes concurrently.
func (c *Controller) sendOrders(ctx context.Context, indexes []int) error {
	if len(indexes) == 0 {
		return nil
	}
	if age := c.SinceBoot() - c.leadershipSeen; age > maxLeadershipAge {
		return fmt.Errorf("%w: %v", errStaleLeadership, age)
	}
	errs := make([]error, len(indexes))
	var wg sync.WaitGroup
	for k, i := range indexes {
		t := c.plan.Tasks[i]
		o := hosts.Order{Host: t.Host, Pool: t.To, Wave: t.Wave, Holder: c.Name, Fence: c.planRev}
		wg.Go(func() {
			if t.Kind == Move {
				errs[k] = c.OrderMove(ctx, o)
			} else {
				errs[k] = c.OrderMaintenance(ctx, o)
			}
		})
	}
	wg.Wait()
	for k, i := range indexes {
		if err := c.applyAnswer(&c.plan.Tasks[i], errs[k]); err != nil {
			return err
		}
	}
	now := c.Clock.Now()
	c.plan.Tasks = slices.DeleteFunc(c.plan.Tasks, func(t Task) bool {
		if t.ID == 0 {
			c.recordOrdered(t.Host, now)
		}
		return t.ID == 0
	})
	return nil
}

const (
	// endedWorkerTime is how long the plan lists a worker that an order has ended:
	// longer than it takes for its registration to be removed.
	endedWorkerTime = 6 * time.Second
	// maxEndedWorkers bounds the number of workers that the plan lists as ended.
	maxEndedWorkers = 2000
)

// addEndedWorker adds a worker that an order has ended to the plan, and removes those
// that have been listed for endedWorkerTime.
func (c *Controller) addEndedWorker(worker string) {
	if worker == "" {
		return
	}
	now := c.Clock.Now()
	c.endedAt[worker] = now
	c.plan.EndedWorkers = append(c.plan.EndedWorkers, worker)
	c.plan.EndedWorkers = slices.DeleteFunc(c.plan.EndedWorkers, func(id string) bool {
		old := now.Sub(c.endedAt[id]) >= endedWorkerTime
		if old {
			delete(c.endedAt, id)
		}
		return old
	})
	if n := len(c.plan.EndedWorkers); n > maxEndedWorkers {
		c.plan.EndedWorkers = slices.Clone(c.plan.EndedWorkers[n-maxEndedWorkers:])
	}
	c.planChanged = true
}

// removeEndedWorker removes a worker from those that the plan lists as ended: it goes on,
// as its host had been moved or maintained before the order.
func (c *Controller) removeEndedWorker(worker string) {
	delete(c.endedAt, worker)
	c.plan.EndedWorkers = slices.DeleteFunc(c.plan.EndedWorkers, func(id string) bool { return id == worker })
}

// applyAnswer updates the plan with the result of an order; an ID of 0 marks a
// task to be removed.
func (c *Controller) applyAnswer(t *Task, err error) error {
	c.Log.Info().Str("host", t.Host).Str("kind", string(t.Kind)).Int64("task", t.ID).Int64("fence", c.planRev).
		Str("to", t.To).Str("wave", t.Wave).Err(err).Msg("host order answered")
	switch {
	case err == nil:
		c.acceptedAt[t.ID] = c.Clock.Now()
		c.addEndedWorker(t.Worker)
		if t.Kind == Maintain {
			c.plan.MaintainedByWave[t.Wave] = append(c.plan.MaintainedByWave[t.Wave], t.Host)
			c.planChanged = true
		}
	case errors.Is(err, hosts.ErrFence):
		return ErrDeposed
	case errors.Is(err, hosts.ErrInvalid) && t.Kind == Move:
		c.addRefusedHost(t.To, t.Host)
		t.ID = 0
		c.planChanged = true
	case errors.Is(err, hosts.ErrNotUp), errors.Is(err, hosts.ErrNotInWave), errors.Is(err, hosts.ErrInvalid):
		t.ID = 0 // not carried out; decided on again in the next round
		c.planChanged = true
	}
	return nil
}

// addRefusedHost records that a host can't join a pool.
func (c *Controller) addRefusedHost(pool, host string) {
	if c.refusedHosts[pool] == nil {
		c.refusedHosts[pool] = map[string]bool{}
	}
	c.refusedHosts[pool][host] = true
	c.Log.Warn().Str("host", host).Str("pool", pool).Msg("host can't join the pool")
}
