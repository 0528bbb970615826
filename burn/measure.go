package burn

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"shallotpaddle/table"
)

// MaxRollouts is the maximum number of revisions whose roll-out times are kept; the
// newest are kept.
const MaxRollouts = 32

// Measures collects the buffer cost, the roll-out times and the moves that one
// entry observes. It is safe for concurrent use. Each move and each pool's idle time
// must be added at one entry only, the one that is responsible for it, since Merge
// adds up the entries' sums.
type Measures struct {
	mu   sync.Mutex
	sums Sums
}

// Sums holds the measures of one entry or, after Merge, of several.
type Sums struct {
	// Buffer is the buffer cost by pool: the host-seconds that hosts were idle
	// beyond need.
	Buffer map[string]float64 `json:"buffer"`
	// Hosts is the number of hosts moved between pools, Jobs that of jobs moved
	// between hosts or entries.
	Hosts int64 `json:"hosts"`
	Jobs  int64 `json:"jobs"`
	// Rollouts are those of the newest revisions, at most MaxRollouts, in ascending
	// order of revision.
	Rollouts []Rollout `json:"rollouts"`
}

// Rollout holds the times at which a configuration revision reached each step of its
// roll-out; the time of a step that is not reached is zero.
type Rollout struct {
	Rev      int64     `json:"rev"`
	Accepted time.Time `json:"accepted,omitzero"`
	Force    time.Time `json:"force,omitzero"`  // in force on every entry
	Effect   time.Time `json:"effect,omitzero"` // drains and moves done
}

// Delays returns the time from acceptance until the revision was in force on every
// entry, and until it had full effect; 0 means not known.
func (r Rollout) Delays() (force, effect time.Duration) {
	return elapsed(r.Accepted, r.Force), elapsed(r.Accepted, r.Effect)
}

// elapsed returns the time between from and to, or 0 if one of them is zero or to is
// earlier.
func elapsed(from, to time.Time) time.Duration {
	if from.IsZero() || to.IsZero() {
		return 0
	}
	return max(to.Sub(from), 0)
}

// NewMeasures returns measures with all sums zero.
func NewMeasures() *Measures { return &Measures{sums: Sums{Buffer: map[string]float64{}}} }

// IdleHosts returns how many of a pool's hosts are idle beyond need, given the
// demand of its work in slots and the number of slots per host.
func IdleHosts(hosts int, demand float64, slots int) float64 {
	return max(float64(hosts)-demand/float64(max(slots, 1)), 0)
}

// AddIdleTime adds hosts that were idle beyond need for d to a pool's buffer cost.
func (m *Measures) AddIdleTime(pool string, hosts float64, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sums.Buffer[pool] += hosts * d.Seconds()
}

// AddMovedHosts adds n hosts moved between pools.
func (m *Measures) AddMovedHosts(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sums.Hosts += n
}

// AddMovedJobs adds n jobs moved between hosts or entries.
func (m *Measures) AddMovedJobs(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sums.Jobs += n
}

// SetAccepted records when a revision was accepted. Of several times recorded for a
// step of a revision, the earliest is kept. Revision 0, the empty configuration, is
// not recorded.
func (m *Measures) SetAccepted(rev int64, at time.Time) {
	m.addRollout(Rollout{Rev: rev, Accepted: at})
}

// SetInForce records when a revision was in force on every entry, as SetAccepted
// does.
func (m *Measures) SetInForce(rev int64, at time.Time) { m.addRollout(Rollout{Rev: rev, Force: at}) }

// SetFullEffect records when a revision had full effect, that is when its drains and
// moves were done, as SetAccepted does.
func (m *Measures) SetFullEffect(rev int64, at time.Time) {
	m.addRollout(Rollout{Rev: rev, Effect: at})
}

// addRollout merges r into the roll-outs, except revision 0.
func (m *Measures) addRollout(r Rollout) {
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

// Register adds the measures to a metrics registry as gauges: the buffer cost of all
// pools in host-seconds, the counts of moves, and the newest known roll-out times in
// seconds. It fails when a gauge of the same name is registered.
func (m *Measures) Register(r metrics.Registry) error {
	for name, f := range map[string]func(*Sums) float64{
		"buffer":     func(s *Sums) float64 { return s.totalBuffer() },
		"move.hosts": func(s *Sums) float64 { return float64(s.Hosts) },
		"move.jobs":  func(s *Sums) float64 { return float64(s.Jobs) },
		"rollout.force": func(s *Sums) float64 {
			return s.latestSeconds(func(r Rollout) time.Duration { return elapsed(r.Accepted, r.Force) })
		},
		"rollout.effect": func(s *Sums) float64 {
			return s.latestSeconds(func(r Rollout) time.Duration { return elapsed(r.Accepted, r.Effect) })
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

// totalBuffer returns the buffer cost of all pools in host-seconds.
func (s *Sums) totalBuffer() float64 {
	sum := 0.0
	for _, pool := range slices.Sorted(maps.Keys(s.Buffer)) {
		sum += s.Buffer[pool]
	}
	return sum
}

// latestSeconds returns the duration of the newest revision for which it is above 0,
// in seconds.
func (s *Sums) latestSeconds(duration func(Rollout) time.Duration) float64 {
	for _, r := range slices.Backward(s.Rollouts) {
		if d := duration(r); d > 0 {
			return d.Seconds()
		}
	}
	return 0
}

// merge returns the sums of s and other.
func (s Sums) merge(other Sums) Sums {
	buffer := maps.Clone(s.Buffer)
	if buffer == nil {
		buffer = map[string]float64{}
	}
	for pool, cost := range other.Buffer {
		buffer[pool] += cost
	}
	return Sums{
		Buffer: buffer, Hosts: s.Hosts + other.Hosts, Jobs: s.Jobs + other.Jobs,
		Rollouts: mergeRollouts(s.Rollouts, other.Rollouts),
	}
}

// mergeRollouts returns the roll-outs of both lists, with the earliest known time of
// each step, for the newest MaxRollouts revisions.
func mergeRollouts(a, b []Rollout) []Rollout {
	byRev := make(map[int64]Rollout, len(a)+len(b))
	for _, r := range slices.Concat(a, b) {
		known := byRev[r.Rev]
		byRev[r.Rev] = Rollout{
			Rev: r.Rev, Accepted: earliest(known.Accepted, r.Accepted),
			Force: earliest(known.Force, r.Force), Effect: earliest(known.Effect, r.Effect),
		}
	}
	revs := slices.Sorted(maps.Keys(byRev))
	revs = revs[max(0, len(revs)-MaxRollouts):]
	out := make([]Rollout, len(revs))
	for i, rev := range revs {
		out[i] = byRev[rev]
	}
	return out
}

// earliest returns the earlier of two times; a zero time means not known.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// formatSeconds formats a duration rounded to milliseconds; 0, not known, as "-".
func formatSeconds(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return table.Duration(d.Round(time.Millisecond)).Std().String()
}
