package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"shallotpaddle/elect"
	"shallotpaddle/fakes"
	"shallotpaddle/fleet"
	"shallotpaddle/hosts"
	"shallotpaddle/owner"
	"shallotpaddle/plat"
	"shallotpaddle/policy"
)

const (
	down  = 2 * time.Second
	quiet = 3 * time.Second
	cpu   = 32000
)

// service is a fleet service that checks the orders it gets.
type service struct {
	t    *testing.T
	kv   *fakes.KV
	most int

	mu     sync.Mutex
	hosts  []hosts.Host
	lives  int
	fence  map[string]int64
	done   map[string]bool // maintained, by host and wave
	orders []order
	faults []string
	// lose makes the next orders be carried out without an answer.
	lose int
}

type order struct {
	hosts.Order
	at time.Time
}

func newService(t *testing.T) *service {
	f := &service{t: t, kv: fakes.NewKV(), fence: map[string]int64{}, done: map[string]bool{}}
	for i := range 6 {
		h := hosts.Host{Name: fmt.Sprintf("m-%d", i), Pool: "a", State: hosts.Up, Capacity: hosts.Resources{CPU: cpu}}
		if i >= 4 {
			h.Pool = "off"
		} else {
			h.Worker = f.life()
		}
		f.hosts = append(f.hosts, h)
	}
	return f
}

func (f *service) life() string { f.lives++; return fmt.Sprintf("i-%d", f.lives) }

func (f *service) list(context.Context) ([]hosts.Host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hosts), nil
}

func (f *service) plan() fleet.Plan {
	var p fleet.Plan
	if it, ok := f.kv.Peek(fleet.PlanKey); ok {
		require.NoError(f.t, json.Unmarshal(it.Value, &p))
	}
	return p
}

func (f *service) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// carry checks and carries out an order.
func (f *service) carry(o hosts.Order, state hosts.State) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, order{o, time.Now()})
	if o.Fence < f.fence[o.Host] {
		return hosts.ErrFence
	}
	f.fence[o.Host] = o.Fence
	i := slices.IndexFunc(f.hosts, func(h hosts.Host) bool { return h.Name == o.Host })
	h := &f.hosts[i]
	if h.State == state || f.done[o.Host+o.Wave] && o.Wave != "" || h.Pool == o.Pool {
		return nil // done or under way already
	}
	f.done[o.Host+o.Wave] = true
	planned := slices.ContainsFunc(f.plan().Tasks, func(t fleet.Task) bool { return t.Host == o.Host && t.Ordered })
	if !planned {
		f.fault("%s: the order is not on the plan", o.Host)
	}
	if h.Worker != "" && f.digest(h.Pool).Released[h.Worker] == 0 {
		f.fault("%s: the worker was not emptied", o.Host)
	}
	busy := 0
	for _, other := range f.hosts {
		if other.State == hosts.Maintenance {
			busy++
		}
	}
	if state == hosts.Maintenance && busy >= f.most {
		f.fault("%s: %d hosts are down already", o.Host, busy)
	}
	if o.Pool != "" {
		h.Pool = o.Pool
	}
	h.State, h.Worker = state, ""
	name := o.Host
	time.AfterFunc(down, func() { f.back(name) })
	if f.lose > 0 {
		f.lose--
		return plat.ErrUnknown
	}
	return nil
}

func (f *service) back(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.hosts {
		if h := &f.hosts[i]; h.Name == name {
			h.State = hosts.Up
			if h.Pool != "off" {
				h.Worker = f.life()
			}
		}
	}
}

func (f *service) digest(pool string) owner.Digest {
	var d owner.Digest
	if it, ok := f.kv.Peek(owner.DigestKey(pool)); ok {
		require.NoError(f.t, json.Unmarshal(it.Value, &d))
	}
	return d
}

// own plays the owner of pool a: it empties workers a while after they are to be.
func (f *service) own(ctx context.Context, want int) {
	for ctx.Err() == nil {
		p := f.plan()
		time.Sleep(300 * time.Millisecond)
		d := owner.Digest{DemandCPU: want, MinWorkers: 1, Hosts: map[string]owner.HostLoad{}, Released: p.Wishes("a", 1).Release}
		f.mu.Lock()
		for _, h := range f.hosts {
			if h.Pool == "a" && h.Worker != "" {
				d.Hosts[h.Worker] = owner.HostLoad{}
			}
		}
		f.mu.Unlock()
		b, err := json.Marshal(d)
		require.NoError(f.t, err)
		f.kv.Put(owner.DigestKey("a"), b)
	}
}

// lead starts a steward and returns how to end it.
func (f *service) lead(ctx context.Context, name string, q time.Duration, waves []fleet.Wave) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	key := elect.LeadKey(fleet.Seat)
	fence := f.kv.Put(key, []byte(name))
	v := &policy.Version{Number: 1, Pools: []policy.Pool{{Name: "a"}, {Name: "off", Standby: true}}}
	s := fleet.New(fleet.Params{
		Name: name, Lead: key, Fence: fence, Quiet: q, Down: down, Clock: quartz.NewReal(),
		Log:    &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		Policy: func() *policy.Version { return v }, Waves: func() []fleet.Wave { return waves },
		List: f.kv.List, Commit: f.kv.Commit, Hosts: f.list,
		Move:   func(_ context.Context, o hosts.Order) error { return f.carry(o, hosts.Moving) },
		Upkeep: func(_ context.Context, o hosts.Order) error { return f.carry(o, hosts.Maintenance) },
		Status: func(w policy.Wave, completed bool) plat.Put {
			return plat.Put{Key: "status/" + w.Number, Value: fmt.Append(nil, completed)}
		},
	})
	go func() { _ = s.Run(ctx) }() // ends with the context or another's election
	return cancel
}

func (f *service) status(wave string) string {
	it, _ := f.kv.Peek("status/" + wave)
	return string(it.Value)
}

func wave(most int, names ...string) []fleet.Wave {
	return []fleet.Wave{{Wave: policy.Wave{Number: "1", Hosts: names, Within: 26 * time.Second, MaxDown: most}, Seen: time.Now()}}
}

// TestWaveOverHandover has the steward end in the middle of a wave, with an
// answer lost: the next one goes on, after a pause, and every host is maintained.
func TestWaveOverHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newService(t)
		f.most, f.lose = 2, 1
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(5 * time.Second) // for what is under way
		defer cancel()
		go f.own(ctx, 0)
		waves := wave(2, "m-0", "m-1", "m-2", "m-4", "m-5")
		end := f.lead(ctx, "e-1", 0, waves)
		time.Sleep(4 * time.Second)
		require.Equal(t, "false", f.status("1"))
		end()
		handover := time.Now()
		f.lead(ctx, "e-2", quiet, waves)
		time.Sleep(30 * time.Second)
		require.Equal(t, "true", f.status("1"))
		require.Empty(t, f.faults)
		done := map[string]bool{}
		for _, o := range f.orders {
			done[o.Host] = true
			if o.Holder == "e-2" {
				require.GreaterOrEqual(t, o.at.Sub(handover), quiet)
			}
		}
		require.Len(t, done, 5)
	})
}

// TestMovesIntoAskedPool has a pool ask for more than it holds.
func TestMovesIntoAskedPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newService(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(5 * time.Second) // for what is under way
		defer cancel()
		go f.own(ctx, 9*cpu)
		f.lead(ctx, "e-1", 0, nil)
		time.Sleep(10 * time.Second)
		for _, h := range f.hosts {
			require.Equal(t, "a", h.Pool)
			require.NotEmpty(t, h.Worker)
		}
		require.Empty(t, f.faults)
		require.Len(t, f.orders, 2, "each host moves once")
	})
}

// TestDeposedStewardGivesNoOrders has another steward elected while one runs.
func TestDeposedStewardGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newService(t)
		f.most = 1
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(5 * time.Second) // for what is under way
		defer cancel()
		go f.own(ctx, 0)
		f.lead(ctx, "e-1", 0, wave(1, "m-0", "m-1", "m-2"))
		time.Sleep(1500 * time.Millisecond)
		f.kv.Put(elect.LeadKey(fleet.Seat), []byte("e-2"))
		time.Sleep(500 * time.Millisecond)
		n := len(f.orders)
		time.Sleep(10 * time.Second)
		require.Len(t, f.orders, n)
		require.Empty(t, f.faults)
	})
}
