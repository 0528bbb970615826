// Package fleet gives orders on hosts: it moves them between pools and has
// them maintained. One entry at a time is elected to run it. Owners of pools
// empty the hosts that its plan names before it gives the order.
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

// ErrDeposed is returned when the store has another steward.
var ErrDeposed = errors.New("another steward was elected")

// Seat is the name under which the steward is elected.
const Seat = "@fleet"

// Params are what a steward is made of.
type Params struct {
	Name  string // of the entry
	Lead  string // key of the election
	Fence int64  // its revision
	// Quiet is the time after the election in which no order is given, so that
	// orders of two stewards on one host lie apart.
	Quiet time.Duration
	// Down is how long a maintenance takes at least.
	Down   time.Duration
	Clock  quartz.Clock
	Log    *log.Logger
	Policy func() *policy.Version
	Waves  func() []Wave
	List   func(ctx context.Context, prefix string) ([]plat.Item, int64, error)
	Commit func(ctx context.Context, t plat.Txn) (int64, []plat.Item, error)
	Hosts  func(ctx context.Context) ([]hosts.Host, error)
	Move   func(ctx context.Context, o hosts.Order) error
	Upkeep func(ctx context.Context, o hosts.Order) error
	Status func(w policy.Wave, completed bool) plat.Put
}

// Wave is a wave of maintenance and when it was first seen.
type Wave struct {
	policy.Wave
	Seen time.Time
}

// Steward is the elected steward. Its state belongs to the goroutine in Run.
type Steward struct {
	Params
	began time.Time
	plan  Plan
	rev   int64 // of the plan; also the fencing token of the orders that it names
	dirty bool
	puts  []plat.Put // reports that go with the next write of the plan

	hosts   []hosts.Host
	digests map[string]owner.Digest
	given   map[int64]time.Time // when an order was answered, by task
	// reported has the waves that were reported as running.
	reported map[string]bool
	// calm has how many hosts each pool could spare lately.
	calm map[string]*shift.SpareHistory
	// refuses has the hosts that can't be part of a pool, by pool.
	refuses map[string]map[string]bool
}

// tick is how often the steward looks at the fleet.
const tick = 120 * time.Millisecond

// New returns a steward that has read nothing.
func New(p Params) *Steward {
	return &Steward{
		Params: p, digests: map[string]owner.Digest{}, given: map[int64]time.Time{},
		reported: map[string]bool{}, calm: map[string]*shift.SpareHistory{}, refuses: map[string]map[string]bool{},
	}
}

// Run gives orders until the context ends, or returns ErrDeposed.
func (s *Steward) Run(ctx context.Context) error {
	s.began = s.Clock.Now()
	s.rev = -1
	t := s.Clock.NewTicker(tick)
	defer t.Stop()
	for {
		if err := s.round(ctx); errors.Is(err, ErrDeposed) {
			s.Log.Warn().Int64("fence", s.Fence).Msg("steward deposed")
			return err
		} else if err != nil && ctx.Err() == nil {
			s.Log.Warn().Err(err).Msg("round of the steward failed")
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Steward) round(ctx context.Context) error {
	if s.rev < 0 {
		if err := s.readPlan(ctx); err != nil {
			return err
		}
	}
	if err := s.observe(ctx); err != nil {
		return err
	}
	now := s.Clock.Now()
	s.settle(now)
	if s.Policy() != nil {
		s.maintain(now)
		s.move(now)
	}
	var ready []int
	if now.Sub(s.began) >= s.Quiet {
		ready = s.mark()
	}
	// What is planned, and which orders may be given, is stored before the orders.
	if err := s.save(ctx); err != nil || s.dirty {
		return err
	}
	return s.give(ctx, ready)
}

func (s *Steward) readPlan(ctx context.Context) error {
	items, _, err := s.List(ctx, PlanKey)
	if err != nil {
		return err
	}
	s.plan, s.rev = Plan{Next: 1}, 0
	for _, it := range items {
		if it.Key != PlanKey {
			continue
		}
		s.rev = it.Rev
		if err := json.Unmarshal(it.Value, &s.plan); err != nil {
			s.Log.Error().Err(err).Msg("plan not readable")
		}
	}
	if s.plan.Done == nil {
		s.plan.Done = map[string][]string{}
	}
	if s.plan.Over == nil {
		s.plan.Over = map[string]bool{}
	}
	// The plan is written once in this term before any order, so that an earlier
	// steward's late write can't undo it and its orders' tokens are lower.
	s.dirty = true
	s.Log.Info().Int64("fence", s.Fence).Int("tasks", len(s.plan.Tasks)).Msg("steward began")
	return nil
}

// observe reads the fleet and the pools' digests.
func (s *Steward) observe(ctx context.Context) error {
	var g errgroup.Group
	var list []hosts.Host
	var items []plat.Item
	g.Go(func() (err error) { list, err = s.Hosts(ctx); return err })
	g.Go(func() (err error) { items, _, err = s.List(ctx, owner.DigestPrefix); return err })
	if err := g.Wait(); err != nil {
		return fmt.Errorf("fleet not readable: %w", err)
	}
	s.hosts = list
	for _, it := range items {
		var d owner.Digest
		if err := json.Unmarshal(it.Value, &d); err != nil {
			s.Log.Error().Str("key", it.Key).Err(err).Msg("digest not readable")
			continue
		}
		s.digests[strings.TrimPrefix(it.Key, owner.DigestPrefix)] = d
	}
	return nil
}

// find returns a host by name, or nil.
func (s *Steward) find(name string) *hosts.Host {
	for i := range s.hosts {
		if s.hosts[i].Name == name {
			return &s.hosts[i]
		}
	}
	return nil
}

// settle takes tasks off the plan that are carried out or can't be.
func (s *Steward) settle(now time.Time) {
	s.plan.Tasks = slices.DeleteFunc(s.plan.Tasks, func(t Task) bool {
		over, why := s.over(&t, now)
		if over {
			s.dirty = true
			s.Log.Info().Str("host", t.Host).Str("kind", string(t.Kind)).Int64("task", t.ID).Str("cause", why).Msg("task on host over")
		}
		return over
	})
}

// over tells whether a task has ended, and why.
func (s *Steward) over(t *Task, now time.Time) (bool, string) {
	h := s.find(t.Host)
	answered, done := s.given[t.ID]
	switch {
	case h == nil:
		return true, "host is gone"
	case !done && h.State == hosts.Up && h.Worker != t.Worker:
		// Whether an order did that is not known: it is decided anew, for a worker
		// that has to be emptied again.
		return true, "host has another worker"
	case !t.Ordered && h.State == hosts.Down:
		return true, "host is down"
	case done && h.State == hosts.Up && now.Sub(answered) >= s.Down/2 && (h.Worker != "" || t.Worker == "" || s.isOff(t.To)):
		return true, "carried out"
	default:
		return false, ""
	}
}

// add puts a task on the plan.
func (s *Steward) add(t Task) {
	t.ID = s.plan.Next
	s.plan.Next++
	s.plan.Tasks = append(s.plan.Tasks, t)
	s.dirty = true
	s.Log.Info().Str("host", t.Host).Str("kind", string(t.Kind)).Int64("task", t.ID).Str("from", t.From).
		Str("to", t.To).Str("wave", t.Wave).Msg("task on host planned")
}

// isOff tells whether the hosts of a pool are off: they have no workers.
func (s *Steward) isOff(pool string) bool {
	v := s.Policy()
	if v == nil {
		return false
	}
	p, ok := v.Pool(pool)
	return ok && p.Standby
}

func (s *Steward) busy(host string) bool {
	return slices.ContainsFunc(s.plan.Tasks, func(t Task) bool { return t.Host == host })
}

// load returns a host's use as its pool's owner tells it.
func (s *Steward) load(h *hosts.Host) owner.HostLoad { return s.digests[h.Pool].Hosts[h.Worker] }

// pools returns the pools as the decisions see them, and the processor of the
// largest host.
func (s *Steward) pools() (map[string]*shift.Pool, int) {
	out := map[string]*shift.Pool{}
	cpu := 0
	for _, p := range s.Policy().Pools {
		d := s.digests[p.Name]
		out[p.Name] = &shift.Pool{Name: p.Name, Standby: p.Standby, DemandCPU: d.DemandCPU, MinHosts: max(d.MinWorkers, 1), Excluded: s.refuses[p.Name]}
	}
	for i := range s.hosts {
		h := &s.hosts[i]
		cpu = max(cpu, h.Capacity.CPU)
		p := out[h.Pool]
		if p == nil || h.State != hosts.Up || s.busy(h.Name) || h.Worker == "" && !p.Standby {
			continue
		}
		l := s.load(h)
		p.Hosts = append(p.Hosts, shift.Host{Name: h.Name, CPU: h.Capacity.CPU, Used: l.UsedCPU, LongRunning: l.Lasting})
	}
	for _, t := range s.plan.Tasks {
		to := t.To
		if t.Kind == Maintain {
			to = t.From
		}
		if p := out[to]; p != nil {
			p.Arriving++
		}
	}
	return out, cpu
}

// move plans hosts into pools that ask for more than they hold, and out of those
// that can do without.
func (s *Steward) move(now time.Time) {
	byName, cpu := s.pools()
	for _, name := range s.plan.Due {
		if p := byName[s.poolOf(name)]; p != nil {
			p.ReserveHosts = 1 // to empty the pool's hosts one after the other
		}
	}
	pools := make([]shift.Pool, 0, len(byName))
	for _, p := range s.Policy().Pools {
		pools = append(pools, *byName[p.Name])
	}
	moves := shift.Moves(pools, cpu)
	for i := range pools {
		s.calmOf(pools[i].Name).Add(now, shift.Surplus(&pools[i], cpu))
	}
	if len(moves) == 0 {
		moves = shift.MovesToStandby(pools, cpu, func(pool string) int { return s.calmOf(pool).Spare(now) })
	}
	for _, m := range moves {
		h := s.find(m.Host)
		s.add(Task{Kind: Move, Host: m.Host, Worker: h.Worker, From: m.From, To: m.To})
	}
}

func (s *Steward) calmOf(pool string) *shift.SpareHistory {
	c := s.calm[pool]
	if c == nil {
		c = &shift.SpareHistory{}
		s.calm[pool] = c
	}
	return c
}

// poolOf returns the pool of a worker, or nothing.
func (s *Steward) poolOf(worker string) string {
	for i := range s.hosts {
		if s.hosts[i].Worker == worker {
			return s.hosts[i].Pool
		}
	}
	return ""
}

// save writes the plan if it has changed.
func (s *Steward) save(ctx context.Context) error {
	if !s.dirty {
		return nil
	}
	b, err := json.Marshal(&s.plan)
	if err != nil {
		return err
	}
	t := plat.Txn{
		Expect: []plat.Condition{{Key: s.Lead, Rev: s.Fence}, {Key: PlanKey, Rev: s.rev}},
		Puts:   append([]plat.Put{{Key: PlanKey, Value: b}}, s.puts...),
	}
	rev, items, err := s.Commit(ctx, t)
	if errors.Is(err, plat.ErrConflict) {
		return s.adopt(items)
	}
	if err != nil {
		return fmt.Errorf("plan not written: %w", err)
	}
	s.rev, s.dirty, s.puts = rev, false, nil
	return nil
}

// adopt takes in the keys as they are after the plan was refused.
func (s *Steward) adopt(items []plat.Item) error {
	lead := int64(0)
	for _, it := range items {
		switch it.Key {
		case s.Lead:
			lead = it.Rev
		case PlanKey:
			s.rev = it.Rev // an earlier write without an answer has landed
		}
	}
	if lead != s.Fence {
		return ErrDeposed
	}
	return nil
}
