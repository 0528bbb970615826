package burn

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"shallotpaddle/table"
)

// MaxRollouts is the number of revisions whose roll-out times are kept.
const MaxRollouts = 32

// Measures collects buffer cost, roll-out times and moves at one entry. It is
// safe for concurrent use. Each move and each pool's idle time must be added at
// one entry only, by the one that carries the duty, since Merge adds them up.
type Measures struct {
	mu   sync.Mutex
	sums Sums
}

// Sums are the measures of one entry or, after Merge, of all.
type Sums struct {
	// Buffer is the buffer cost by pool: host-seconds idle beyond need.
	Buffer map[string]float64 `json:"buffer"`
	// Hosts and Jobs are the numbers of hosts and jobs moved.
	Hosts int64 `json:"hosts"`
	Jobs  int64 `json:"jobs"`
	// Rollouts are the latest revisions, ascending, at most MaxRollouts.
	Rollouts []Rollout `json:"rollouts"`
}

// Rollout tells when a revision got how far; times not reached are zero.
type Rollout struct {
	Rev      int64     `json:"rev"`
	Accepted time.Time `json:"accepted,omitzero"`
	Force    time.Time `json:"force,omitzero"`  // in force on every entry
	Effect   time.Time `json:"effect,omitzero"` // drains and moves done
}

// Delays returns the times from acceptance to in force and to full effect; 0
// stands for not known.
func (r Rollout) Delays() (force, effect time.Duration) {
	return since(r.Accepted, r.Force), since(r.Accepted, r.Effect)
}

func since(from, to time.Time) time.Duration {
	if from.IsZero() || to.IsZero() {
		return 0
	}
	return max(to.Sub(from), 0)
}

// NewMeasures returns measures that are all zero.
func NewMeasures() *Measures { return &Measures{sums: Sums{Buffer: map[string]float64{}}} }

// IdleHosts returns how many of a pool's hosts are idle beyond need, when its work
// wants demand slots and a host has the given number of them.
func IdleHosts(hosts int, demand float64, slots int) float64 {
	return max(float64(hosts)-demand/float64(max(slots, 1)), 0)
}

// AddIdleTime adds hosts that were idle beyond need for a time.
func (m *Measures) AddIdleTime(pool string, hosts float64, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sums.Buffer[pool] += hosts * d.Seconds()
}

// AddMovedHosts adds hosts moved between pools.
func (m *Measures) AddMovedHosts(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sums.Hosts += n
}

// AddMovedJobs adds jobs moved between hosts or entries.
func (m *Measures) AddMovedJobs(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sums.Jobs += n
}

// SetAccepted records when a revision was accepted. The first record of each
// step of a revision stands; revision 0, the empty configuration, is not kept.
func (m *Measures) SetAccepted(rev int64, at time.Time) {
	m.update(Rollout{Rev: rev, Accepted: at})
}

// SetInForce records when a revision was in force on every entry.
func (m *Measures) SetInForce(rev int64, at time.Time) { m.update(Rollout{Rev: rev, Force: at}) }

// SetFullEffect records when a revision had its full effect.
func (m *Measures) SetFullEffect(rev int64, at time.Time) { m.update(Rollout{Rev: rev, Effect: at}) }

func (m *Measures) update(r Rollout) {
	if r.Rev < 1 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sums.Rollouts = mergeRollouts(m.sums.Rollouts, []Rollout{r})
}

// Sums returns a copy of the measures.
func (m *Measures) Sums() Sums {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.sums
	out.Buffer = maps.Clone(out.Buffer)
	out.Rollouts = slices.Clone(out.Rollouts)
	return out
}

// Register adds the measures to a metrics registry: buffer in host-seconds,
// moves as counts, and the latest known roll-out times in seconds.
func (m *Measures) Register(r metrics.Registry) error {
	for name, f := range map[string]func(*Sums) float64{
		"buffer":     func(s *Sums) float64 { return s.total() },
		"move.hosts": func(s *Sums) float64 { return float64(s.Hosts) },
		"move.jobs":  func(s *Sums) float64 { return float64(s.Jobs) },
		"rollout.force": func(s *Sums) float64 {
			return s.latest(func(r Rollout) time.Duration { return since(r.Accepted, r.Force) })
		},
		"rollout.effect": func(s *Sums) float64 {
			return s.latest(func(r Rollout) time.Duration { return since(r.Accepted, r.Effect) })
		},
	} {
		read := func() float64 {
			s := m.Sums()
			return f(&s)
		}
		if err := r.Register(name, metrics.NewFunctionalGaugeFloat64(read)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Sums) total() float64 {
	sum := 0.0
	for _, pool := range slices.Sorted(maps.Keys(s.Buffer)) {
		sum += s.Buffer[pool]
	}
	return sum
}

func (s *Sums) latest(f func(Rollout) time.Duration) float64 {
	for _, r := range slices.Backward(s.Rollouts) {
		if d := f(r); d > 0 {
			return d.Seconds()
		}
	}
	return 0
}

func (s Sums) merge(other Sums) Sums {
	buffer := maps.Clone(s.Buffer)
	if buffer == nil {
		buffer = map[string]float64{}
	}
	for pool, v := range other.Buffer {
		buffer[pool] += v
	}
	return Sums{
		Buffer: buffer, Hosts: s.Hosts + other.Hosts, Jobs: s.Jobs + other.Jobs,
		Rollouts: mergeRollouts(s.Rollouts, other.Rollouts),
	}
}

// mergeRollouts keeps the earliest time that is known of each step.
func mergeRollouts(a, b []Rollout) []Rollout {
	all := make(map[int64]Rollout, len(a)+len(b))
	for _, r := range slices.Concat(a, b) {
		x := all[r.Rev]
		all[r.Rev] = Rollout{
			Rev: r.Rev, Accepted: earliest(x.Accepted, r.Accepted),
			Force: earliest(x.Force, r.Force), Effect: earliest(x.Effect, r.Effect),
		}
	}
	revs := slices.Sorted(maps.Keys(all))
	revs = revs[max(0, len(revs)-MaxRollouts):]
	out := make([]Rollout, len(revs))
	for i, rev := range revs {
		out[i] = all[rev]
	}
	return out
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// seconds is for people: a duration without fractions of a millisecond.
func seconds(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return table.Duration(d.Round(time.Millisecond)).Std().String()
}
