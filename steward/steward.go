// Package steward gives orders on hosts: it moves them between pools and has
// them maintained. One entry at a time is elected to run it. Owners of pools
// empty the hosts that its plan names before it gives the order.
package steward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
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
}

// tick is how often the steward looks at the fleet.
const tick = 120 * time.Millisecond

// New returns a steward that has read nothing.
func New(p Params) *Steward {
	return &Steward{
		Params: p, digests: map[string]owner.Digest{}, given: map[int64]time.Time{},
		reported: map[string]bool{},
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
		s.move()
	}
	if err := s.save(ctx); err != nil {
		return err
	}
	if now.Sub(s.began) < s.Quiet {
		return nil
	}
	return s.order(ctx)
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
	case done && h.State == hosts.Up && now.Sub(answered) >= s.Down/2 && (h.Worker != "" || t.Worker == ""):
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
		out[p.Name] = &shift.Pool{Name: p.Name, Standby: p.Standby, Want: d.Want, Floor: max(d.Floor, 1)}
	}
	for i := range s.hosts {
		h := &s.hosts[i]
		cpu = max(cpu, h.Room.CPU)
		p := out[h.Pool]
		if p == nil || h.State != hosts.Up || s.busy(h.Name) || h.Worker == "" && !p.Standby {
			continue
		}
		l := s.load(h)
		p.Hosts = append(p.Hosts, shift.Host{Name: h.Name, CPU: h.Room.CPU, Used: l.Used, Lasting: l.Lasting})
	}
	for _, t := range s.plan.Tasks {
		to := t.To
		if t.Kind == Maintain {
			to = t.From
		}
		if p := out[to]; p != nil {
			p.Coming++
		}
	}
	return out, cpu
}

// move plans hosts into pools that ask for more than they hold.
func (s *Steward) move() {
	byName, cpu := s.pools()
	for _, name := range s.plan.Due {
		if p := byName[s.poolOf(name)]; p != nil {
			p.Reserve = 1 // to empty the pool's hosts one after the other
		}
	}
	pools := make([]shift.Pool, 0, len(byName))
	for _, p := range s.Policy().Pools {
		pools = append(pools, *byName[p.Name])
	}
	for _, m := range shift.Moves(pools, cpu) {
		h := s.find(m.Host)
		s.add(Task{Kind: Move, Host: m.Host, Worker: h.Worker, From: m.From, To: m.To})
	}
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

// emptyTime is how long it takes to empty a host.
const emptyTime = 2 * time.Second

// waveMargin is kept free at the end of a wave.
const waveMargin = 5 * time.Second

// lastingAtOnce is the number of hosts with lasting work that are emptied at
// once in a pool.
const lastingAtOnce = 1

// maintain plans the hosts that waves ask for.
func (s *Steward) maintain(now time.Time) {
	limits := s.limits()
	var due []string
	for _, w := range s.Waves() {
		if s.plan.Over[w.Number] {
			continue
		}
		if !s.reported[w.Number] {
			s.reported[w.Number] = true
			s.puts = append(s.puts, s.Status(w.Wave, false))
			s.dirty = true
		}
		due = append(due, s.maintainWave(&w, limits, now)...)
	}
	slices.Sort(due)
	if !slices.Equal(due, s.plan.Due) {
		s.plan.Due = due
		s.dirty = true
	}
}

// limits returns what the maintenance may take from each pool now.
func (s *Steward) limits() map[string]*shift.Limit {
	pools, _ := s.pools()
	out := make(map[string]*shift.Limit, len(pools))
	for name, p := range pools {
		out[name] = &shift.Limit{Spare: len(p.Hosts) - p.Floor, Lasting: lastingAtOnce}
	}
	for i := range s.hosts {
		h := &s.hosts[i]
		if l := out[h.Pool]; l != nil && s.busy(h.Name) && s.load(h).Lasting > 0 {
			l.Lasting--
		}
	}
	return out
}

// maintainWave plans the next hosts of a wave and returns the workers whose
// maintenance is still to come.
func (s *Steward) maintainWave(w *Wave, limits map[string]*shift.Limit, now time.Time) []string {
	active := 0
	for _, t := range s.plan.Tasks {
		if t.Wave == w.Number {
			active++
		}
	}
	due, left := s.due(w)
	if left == 0 && active == 0 {
		s.plan.Over[w.Number] = true
		s.puts = append(s.puts, s.Status(w.Wave, true))
		s.dirty = true
		s.Log.Info().Str("wave", w.Number).Msg("wave completed")
		return nil
	}
	for _, d := range shift.Maintain(due, w.Most-active, s.pace(w, left, now)-active, limits) {
		h := s.find(d.Name)
		s.add(Task{Kind: Maintain, Host: d.Name, Worker: h.Worker, From: h.Pool, Wave: w.Number})
	}
	var workers []string
	for _, d := range due {
		if h := s.find(d.Name); h.Worker != "" {
			workers = append(workers, h.Worker)
		}
	}
	return workers
}

// due returns the hosts of a wave that can be maintained now, and how many are
// left in all.
func (s *Steward) due(w *Wave) ([]shift.Due, int) {
	var due []shift.Due
	left := 0
	for _, name := range w.Hosts {
		h := s.find(name)
		if h == nil || slices.Contains(s.plan.Done[w.Number], name) {
			continue
		}
		left++
		if s.busy(name) || h.State != hosts.Up {
			continue
		}
		l := s.load(h)
		p, ok := s.Policy().Pool(h.Pool)
		due = append(due, shift.Due{
			Host: shift.Host{Name: name, CPU: h.Room.CPU, Used: l.Used, Lasting: l.Lasting},
			Pool: h.Pool, Off: ok && p.Standby || h.Worker == "",
		})
	}
	return due, left
}

// pace returns how many hosts must be under way to be in time.
func (s *Steward) pace(w *Wave, left int, now time.Time) int {
	rest := w.Within - waveMargin - now.Sub(w.Seen)
	each := s.Down + emptyTime
	rounds := int(rest / each)
	if rounds < 1 {
		return left
	}
	return (left + rounds - 1) / rounds
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

// order gives the orders whose hosts are empty. An order that may have been
// given is on the plan as such before.
func (s *Steward) order(ctx context.Context) error {
	var now []int
	for i := range s.plan.Tasks {
		t := &s.plan.Tasks[i]
		if _, answered := s.given[t.ID]; answered || !s.empty(t) {
			continue
		}
		if !t.Ordered {
			t.Ordered = true
			s.dirty = true
		}
		if t.Kind == Maintain && !slices.Contains(s.plan.Done[t.Wave], t.Host) {
			s.dirty = true
		}
		now = append(now, i)
	}
	if len(now) == 0 {
		return nil
	}
	if err := s.save(ctx); err != nil || s.dirty {
		return err
	}
	return s.give(ctx, now)
}

// empty tells whether nothing runs on a task's host.
func (s *Steward) empty(t *Task) bool {
	return t.Ordered || t.Worker == "" || s.digests[t.From].Released[t.Worker] == t.ID
}

// give sends orders, all at once.
func (s *Steward) give(ctx context.Context, which []int) error {
	errs := make([]error, len(which))
	var wg sync.WaitGroup
	for k, i := range which {
		t := s.plan.Tasks[i]
		o := hosts.Order{Host: t.Host, Pool: t.To, Wave: t.Wave, Holder: s.Name, Fence: s.rev}
		wg.Go(func() {
			if t.Kind == Move {
				errs[k] = s.Move(ctx, o)
			} else {
				errs[k] = s.Upkeep(ctx, o)
			}
		})
	}
	wg.Wait()
	for k, i := range which {
		if err := s.answered(&s.plan.Tasks[i], errs[k]); err != nil {
			return err
		}
	}
	s.plan.Tasks = slices.DeleteFunc(s.plan.Tasks, func(t Task) bool { return t.ID == 0 })
	return nil
}

// keepEnded is the number of ended workers that the plan names; entries of
// workers that have left are removed within seconds.
const keepEnded = 100

// ended notes that an order has ended a worker's life.
func (s *Steward) ended(worker string) {
	if worker == "" {
		return
	}
	s.plan.Ended = append(s.plan.Ended, worker)
	if n := len(s.plan.Ended); n > keepEnded {
		s.plan.Ended = slices.Clone(s.plan.Ended[n-keepEnded:])
	}
	s.dirty = true
}

// answered takes in the word on an order.
func (s *Steward) answered(t *Task, err error) error {
	s.Log.Info().Str("host", t.Host).Str("kind", string(t.Kind)).Int64("task", t.ID).Int64("fence", s.rev).
		Str("to", t.To).Str("wave", t.Wave).Err(err).Msg("order on host")
	switch {
	case err == nil:
		s.given[t.ID] = s.Clock.Now()
		s.ended(t.Worker)
		if t.Kind == Maintain {
			s.plan.Done[t.Wave] = append(s.plan.Done[t.Wave], t.Host)
			s.dirty = true
		}
	case errors.Is(err, hosts.ErrFence):
		return ErrDeposed
	case errors.Is(err, hosts.ErrBusy), errors.Is(err, hosts.ErrWave), errors.Is(err, hosts.ErrInvalid):
		t.ID = 0 // not done; decided anew
		s.dirty = true
	}
	return nil
}
