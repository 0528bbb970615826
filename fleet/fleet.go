// Package fleet has the fleet controller, which orders moves of hosts between
// pools and the maintenance of hosts. One entry at a time is elected to run it.
// It lists each order in a plan first, and sends it after the pool's owner has
// emptied the host.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"shallotpaddle/hosts"
	"shallotpaddle/owner"
	"shallotpaddle/plat"
	"shallotpaddle/policy"
	"shallotpaddle/shift"
)

// ErrDeposed is returned when another fleet controller has been elected.
var ErrDeposed = errors.New("another fleet controller was elected")

// errStaleLeadership is returned if orders were not sent because the proof of
// leadership was too old.
var errStaleLeadership = errors.New("leadership was proved too long ago to send orders")

// ElectionName is the name of the fleet controller's election, which is held
// like that of a pool.
const ElectionName = "@fleet"

// Params are the parameters of New.
type Params struct {
	Name        string // of the entry
	ElectionKey string // store key of the election
	Fence       int64  // revision of that key: the fencing token
	// QuietPeriod is the time after the election in which no order is sent for hosts
	// to which an earlier controller may just have sent one.
	QuietPeriod time.Duration
	// SinceBoot returns the time since the start of this entry's host, including the
	// time for which the host was suspended.
	SinceBoot func() time.Duration
	// MinDowntime is the shortest time that the maintenance of a host takes.
	MinDowntime      time.Duration
	Clock            quartz.Clock
	Log              *log.Logger
	Policy           func() *policy.Version
	Waves            func() []Wave
	List             func(ctx context.Context, prefix string) ([]plat.Item, int64, error)
	Commit           func(ctx context.Context, t plat.Txn) (int64, []plat.Item, error)
	Hosts            func(ctx context.Context) ([]hosts.Host, error)
	OrderMove        func(ctx context.Context, o hosts.Order) error
	OrderMaintenance func(ctx context.Context, o hosts.Order) error
	WaveStatus       func(w policy.Wave, completed bool) plat.Put
}

// Wave is a maintenance wave and the time at which this entry first saw it.
type Wave struct {
	policy.Wave
	FirstSeen time.Time
}

// Controller is the elected fleet controller. Only the goroutine in Run may use
// its state.
type Controller struct {
	Params
	startedAt   time.Time
	plan        Plan
	planRev     int64 // the plan's revision, and fencing token of its orders; below 0 before it is read
	planChanged bool
	statusPuts  []plat.Put // wave reports to be written with the plan

	hosts []hosts.Host
	// listedAt has the time at which a reading of the list last had a host, by host.
	listedAt   map[string]time.Time
	digests    map[string]owner.Digest
	acceptedAt map[int64]time.Time // when an order was accepted, by task
	// reportedWaves has the waves that were reported as started, by number.
	reportedWaves map[string]bool
	// savedAt is when the plan was last stored.
	savedAt time.Time
	// requestedAt is when each open wave was requested at the latest, by number.
	requestedAt map[string]time.Time
	// surplusHistory has the recent numbers of surplus hosts, by pool.
	surplusHistory map[string]*shift.SurplusHistory
	// mostHosts has the largest number of hosts of each pool before the demand was
	// known.
	mostHosts map[string]int
	// firstJobSeen is when a digest first told of jobs that end by themselves.
	firstJobSeen time.Time
	// orderedBefore has the hosts to which an earlier controller may have sent orders.
	orderedBefore map[string]bool
	// planUnread tells that the earlier controllers' plan could not be read: they may have sent
	// orders to any host.
	planUnread bool
	// recentUntil has the end of the QuietPeriod of the hosts in Plan.Recent.
	recentUntil map[string]time.Time
	// endedAt has the times from which Plan.EndedWorkers are listed by this controller.
	endedAt map[string]time.Time
	// leadershipSeen is the time since boot at which the last successful write on
	// condition of the leadership was sent.
	leadershipSeen time.Duration
	// refusedHosts has the hosts that can't join a pool, by pool and host.
	refusedHosts map[string]map[string]bool
	// malformed has the entries of hosts and the digests that can't be used.
	malformed plat.Malformed
}

// tick is how often the controller reads the fleet and updates its plan.
const tick = 120 * time.Millisecond

// maxLeadershipAge is how long before an order the leadership must have been proved
// by a write. A controller that was suspended doesn't know that another was elected;
// the fleet service may carry out orders in spite of a lower fencing token.
const maxLeadershipAge = time.Second

// New returns a fleet controller; Run starts it.
func New(p Params) *Controller {
	return &Controller{
		Params: p, listedAt: map[string]time.Time{}, digests: map[string]owner.Digest{}, acceptedAt: map[int64]time.Time{},
		reportedWaves: map[string]bool{}, requestedAt: map[string]time.Time{}, surplusHistory: map[string]*shift.SurplusHistory{}, refusedHosts: map[string]map[string]bool{},
		mostHosts: map[string]int{}, orderedBefore: map[string]bool{}, recentUntil: map[string]time.Time{}, endedAt: map[string]time.Time{},
	}
}

// Run plans and sends orders until the context ends. It returns the context's
// error, or ErrDeposed once another controller has been elected.
func (c *Controller) Run(ctx context.Context) error {
	c.startedAt = c.Clock.Now()
	c.planRev = -1
	t := c.Clock.NewTicker(tick)
	defer t.Stop()
	for {
		if err := c.round(ctx); errors.Is(err, ErrDeposed) {
			c.Log.Warn().Int64("fence", c.Fence).Msg("fleet controller deposed")
			return err
		} else if err != nil && ctx.Err() == nil {
			c.Log.Warn().Err(err).Msg("fleet controller round failed")
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Controller) round(ctx context.Context) error {
	if c.planRev < 0 {
		if err := c.readPlan(ctx); err != nil {
			return err
		}
	}
	if err := c.readFleet(ctx); err != nil {
		return err
	}
	now := c.Clock.Now()
	c.removeEndedTasks(now)
	if c.Policy() != nil {
		c.planMaintenance(now)
		c.planMoves(now)
	}
	c.forgetOrdered(now)
	ready := c.markReady(now)
	if len(ready) > 0 && c.SinceBoot()-c.leadershipSeen > maxLeadershipAge/2 {
		c.planChanged = true // orders that are repeated need a new proof of leadership
	}
	// The plan, with its orders marked as ordered, is stored before they are sent.
	if err := c.savePlan(ctx); err != nil || c.planChanged {
		return err
	}
	return c.sendOrders(ctx, ready)
}

func (c *Controller) readPlan(ctx context.Context) error {
	items, _, err := c.List(ctx, PlanKey)
	if err != nil {
		return err
	}
	c.plan, c.planRev = Plan{NextID: 1}, 0
	for _, it := range items {
		if it.Key != PlanKey {
			continue
		}
		c.planRev = it.Rev
		if err := decodePlan(it.Value, &c.plan); err != nil {
			// The store changes far more often than tasks are planned: the IDs are new.
			c.plan, c.planUnread = Plan{NextID: it.Rev}, true
			c.Log.Error().Str("key", it.Key).Int64("rev", it.Rev).Err(err).Msg("fleet plan cannot be decoded")
		}
	}
	if c.plan.MaintainedByWave == nil {
		c.plan.MaintainedByWave = map[string][]string{}
	}
	if c.plan.CompletedWaves == nil {
		c.plan.CompletedWaves = map[string]bool{}
	}
	for _, t := range c.plan.Tasks {
		if t.Ordered {
			c.orderedBefore[t.Host] = true
		}
	}
	for number, ms := range c.plan.WaveAges {
		c.requestedAt[number] = c.startedAt.Add(-time.Duration(ms) * time.Millisecond)
	}
	for _, worker := range c.plan.EndedWorkers {
		c.endedAt[worker] = c.startedAt
	}
	for _, host := range c.plan.Recent {
		c.orderedBefore[host] = true
		c.recentUntil[host] = c.startedAt.Add(c.QuietPeriod)
	}
	// The plan is written once in this term before any order, so that a late write
	// of an earlier controller can't replace it, and the orders of that controller
	// have lower fencing tokens.
	c.planChanged = true
	c.Log.Info().Int64("fence", c.Fence).Int("tasks", len(c.plan.Tasks)).Msg("fleet controller started")
	return nil
}

// readFleet reads the hosts and the pools' digests.
func (c *Controller) readFleet(ctx context.Context) error {
	var g errgroup.Group
	var list []hosts.Host
	var items []plat.Item
	g.Go(func() (err error) { list, err = c.Hosts(ctx); return err })
	g.Go(func() (err error) { items, _, err = c.List(ctx, owner.DigestPrefix); return err })
	if err := g.Wait(); err != nil {
		return fmt.Errorf("reading hosts and digests failed: %w", err)
	}
	c.hosts = c.keepMissing(list, c.Clock.Now())
	for i := range list {
		if h := &list[i]; h.Fault != "" && c.malformed.Add("host/"+h.Name, h.Fault) {
			c.Log.Warn().Str("host", h.Name).Str("cause", h.Fault).Msg("entry of a host cannot be used")
		}
	}
	for _, it := range items {
		var d owner.Digest
		if err := json.Unmarshal(it.Value, &d); err != nil {
			if c.malformed.Add(it.Key, err.Error()) {
				c.Log.Error().Str("key", it.Key).Int64("rev", it.Rev).Err(err).Msg("pool digest cannot be decoded")
			}
			continue
		}
		c.digests[strings.TrimPrefix(it.Key, owner.DigestPrefix)] = d
		if d.HadJobs && c.firstJobSeen.IsZero() {
			c.firstJobSeen = c.Clock.Now()
		}
	}
	for _, key := range c.malformed.EndReading() {
		c.Log.Info().Str("key", key).Msg("entry is no longer malformed")
	}
	return nil
}

// findHost returns the host of that name, or nil if there is none.
func (c *Controller) findHost(name string) *hosts.Host {
	for i := range c.hosts {
		if c.hosts[i].Name == name {
			return &c.hosts[i]
		}
	}
	return nil
}

// removeEndedTasks removes tasks from the plan that were carried out, or no
// longer can be.
func (c *Controller) removeEndedTasks(now time.Time) {
	c.plan.Tasks = slices.DeleteFunc(c.plan.Tasks, func(t Task) bool {
		ended, why := c.taskEnded(&t, now)
		if ended {
			c.planChanged = true
			if t.Ordered {
				c.recordOrdered(t.Host, now)
			}
			if h := c.findHost(t.Host); h != nil && h.Worker == t.Worker {
				c.removeEndedWorker(t.Worker)
			}
			c.Log.Info().Str("host", t.Host).Str("kind", string(t.Kind)).Int64("task", t.ID).Str("cause", why).Msg("host task ended")
		}
		return ended
	})
}

// taskEnded reports whether a task has ended, and why.
func (c *Controller) taskEnded(t *Task, now time.Time) (bool, string) {
	h := c.findHost(t.Host)
	acceptedAt, accepted := c.acceptedAt[t.ID]
	switch {
	case h == nil:
		return true, "host is gone"
	case !accepted && h.State == hosts.Up && h.Worker != t.Worker:
		// It is unknown whether an order replaced the worker, so the host is decided
		// on again; the new worker has to be emptied as well.
		return true, "host has another worker"
	case !t.Ordered && h.State == hosts.Down:
		return true, "host is down"
	case !t.Ordered && t.Kind == Move && c.hostLoad(h).LongRunning > 0:
		return true, "long-running work has started on the host"
	case accepted && h.State == hosts.Up && now.Sub(acceptedAt) >= c.MinDowntime/2 && (h.Worker != "" || t.Worker == "" || c.isStandby(t.To)):
		return true, "carried out"
	default:
		return false, ""
	}
}

// addTask adds a task to the plan and numbers it.
func (c *Controller) addTask(t Task) {
	t.ID = c.plan.NextID
	c.plan.NextID++
	c.plan.Tasks = append(c.plan.Tasks, t)
	c.planChanged = true
	c.Log.Info().Str("host", t.Host).Str("kind", string(t.Kind)).Int64("task", t.ID).Str("from", t.From).
		Str("to", t.To).Str("wave", t.Wave).Msg("host task planned")
}

// isStandby reports whether the hosts of a pool are on standby: switched off,
// without workers.
func (c *Controller) isStandby(pool string) bool {
	v := c.Policy()
	if v == nil {
		return false
	}
	p, ok := v.Pool(pool)
	return ok && p.Standby
}

// hasTask reports whether the plan has a task for a host.
func (c *Controller) hasTask(host string) bool {
	return slices.ContainsFunc(c.plan.Tasks, func(t Task) bool { return t.Host == host })
}

// hostLoad returns the load of a host from its pool's digest.
func (c *Controller) hostLoad(h *hosts.Host) owner.HostLoad { return c.digests[h.Pool].Hosts[h.Worker] }

// poolStates returns the pools as input for the decisions of package shift, by
// name, and the processor of the largest host in thousandths of a core.
func (c *Controller) poolStates() (map[string]*shift.Pool, int) {
	out := map[string]*shift.Pool{}
	sizes := make([]int, 0, len(c.hosts))
	for _, p := range c.Policy().Pools {
		d := c.digests[p.Name]
		out[p.Name] = &shift.Pool{Name: p.Name, Standby: p.Standby, Demand: shift.Demand{CPU: d.DemandCPU, DeferrableCPU: d.DeferrableCPU}, MinHosts: max(d.MinWorkers, 1), Excluded: c.refusedHosts[p.Name]}
	}
	for i := range c.hosts {
		h := &c.hosts[i]
		sizes = append(sizes, h.Capacity.CPU)
		p := out[h.Pool]
		if p == nil || h.State != hosts.Up || c.hasTask(h.Name) || h.Worker == "" && !p.Standby {
			continue
		}
		l := c.hostLoad(h)
		p.Hosts = append(p.Hosts, shift.Host{Name: h.Name, CPU: h.Capacity.CPU, Used: l.UsedCPU, LongRunning: l.LongRunning})
	}
	for _, t := range c.plan.Tasks {
		to := t.To
		if t.Kind == Maintain {
			to = t.From
		}
		if p := out[to]; p != nil {
			p.Arriving++
		}
	}
	return out, shift.LargestCPU(sizes)
}

// planMoves plans moves of hosts to pools that need more, from pools with a
// surplus. If there are none, it plans moves of surplus hosts to standby.
func (c *Controller) planMoves(now time.Time) {
	byName, cpu := c.poolStates()
	for _, name := range c.plan.DueWorkers {
		if p := byName[c.poolOfWorker(name)]; p != nil {
			p.ReserveHosts = 1 // lets the pool's hosts be emptied one after the other
		}
	}
	pools := make([]shift.Pool, 0, len(byName))
	for _, p := range c.Policy().Pools {
		pools = append(pools, *byName[p.Name])
	}
	c.withdrawMoves(pools, cpu)
	moves := shift.Moves(pools, cpu)
	for i := range pools {
		c.surplusOf(pools[i].Name).Add(now, len(pools[i].Hosts)-shift.HostsWanted(&pools[i], cpu))
	}
	if !shift.DemandKnown(now, c.startedAt, c.firstJobSeen) {
		c.keepHosts(pools)
	}
	if len(moves) == 0 {
		moves = shift.MovesToStandby(pools, cpu, func(pool string) int { return c.surplusOf(pool).Min(now) })
	}
	for _, m := range moves {
		h := c.findHost(m.Host)
		c.addTask(Task{Kind: Move, Host: m.Host, Worker: h.Worker, From: m.From, To: m.To})
	}
}

// keepHosts raises the least number of hosts of each pool to those that it keeps until
// the demand is known.
func (c *Controller) keepHosts(pools []shift.Pool) {
	for i := range pools {
		p := &pools[i]
		c.mostHosts[p.Name] = max(c.mostHosts[p.Name], len(p.Hosts)+p.Arriving)
		p.MinHosts = max(p.MinHosts, shift.HostsKept(c.mostHosts[p.Name]))
	}
}

// withdrawMoves removes the tasks of hosts that have not been ordered to leave pools
// that lack hosts now, and adds these hosts to their pools.
func (c *Controller) withdrawMoves(pools []shift.Pool, cpu int) {
	for i := range pools {
		p := &pools[i]
		n := shift.Shortage(p, cpu)
		c.plan.Tasks = slices.DeleteFunc(c.plan.Tasks, func(t Task) bool {
			if n <= 0 || t.Ordered || t.Kind != Move || t.From != p.Name {
				return false
			}
			h := c.findHost(t.Host)
			p.Hosts = append(p.Hosts, shift.Host{Name: h.Name, CPU: h.Capacity.CPU, Used: c.hostLoad(h).UsedCPU})
			n--
			c.planChanged = true
			c.Log.Info().Str("host", t.Host).Str("pool", p.Name).Int64("task", t.ID).Msg("host task withdrawn: its pool needs the host")
			return true
		})
	}
}

// surplusOf returns the surplus history of a pool; it starts one if there is none.
func (c *Controller) surplusOf(pool string) *shift.SurplusHistory {
	history := c.surplusHistory[pool]
	if history == nil {
		history = &shift.SurplusHistory{}
		c.surplusHistory[pool] = history
	}
	return history
}

// poolOfWorker returns the pool of the host that runs a worker, or "".
func (c *Controller) poolOfWorker(worker string) string {
	for i := range c.hosts {
		if c.hosts[i].Worker == worker {
			return c.hosts[i].Pool
		}
	}
	return ""
}

// savePlan writes the plan and pending wave reports if the plan has changed, on
// condition that this controller is still the leader.
func (c *Controller) savePlan(ctx context.Context) error {
	if !c.planChanged {
		return nil
	}
	c.plan.WaveAges = c.waveAges(c.Clock.Now())
	b, err := json.Marshal(&c.plan)
	if err != nil {
		return err
	}
	t := plat.Txn{
		Expect: []plat.Condition{{Key: c.ElectionKey, Rev: c.Fence}, {Key: PlanKey, Rev: c.planRev}},
		Puts:   append([]plat.Put{{Key: PlanKey, Value: b}}, c.statusPuts...),
	}
	sent := c.SinceBoot()
	rev, items, err := c.Commit(ctx, t)
	if errors.Is(err, plat.ErrConflict) {
		return c.resolveConflict(items)
	}
	if err != nil {
		return fmt.Errorf("writing the fleet plan failed: %w", err)
	}
	c.leadershipSeen, c.savedAt = sent, c.Clock.Now()
	c.planRev, c.planChanged, c.statusPuts = rev, false, nil
	return nil
}

// resolveConflict updates the plan's revision from the keys that a conflicting
// write returned. It returns ErrDeposed if another controller leads.
func (c *Controller) resolveConflict(items []plat.Item) error {
	leaderRev := int64(0)
	for _, it := range items {
		switch it.Key {
		case c.ElectionKey:
			leaderRev = it.Rev
		case PlanKey:
			c.planRev = it.Rev // an earlier write whose answer was lost was carried out
		}
	}
	if leaderRev != c.Fence {
		return ErrDeposed
	}
	return nil
}
