package fair

import (
	"slices"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
	"shallotpaddle/policy"
	"shallotpaddle/steps"
)

const (
	// maxLoadAge is the age up to which a published load counts.
	maxLoadAge = 2 * time.Second
	// gangRetry is when the caller of a gang that is larger than its quota should come back: only
	// a new configuration changes the refusal.
	gangRetry = time.Minute
	// minRetry and maxRetry bound the time after which other callers should come back.
	minRetry, maxRetry = time.Second, 2 * time.Minute
)

// Refusal tells why a job is refused.
type Refusal struct {
	// Gang tells that a gang of the job is larger than the quota of its workspace.
	Gang bool
	// After is the time after which the job would have a chance to be on time.
	After time.Duration
	// Own is the time that the pool needs for the job.
	Own time.Duration
	// Wait is how long the job would wait, and Useful the time within which it must end to be
	// worth anything.
	Wait, Useful time.Duration
}

// Admit returns the refusal of a job that would certainly be worth nothing when it ends, or that
// can never run; false if there is none. It keeps a backlog from outlasting its cause when a pool
// gets several times the load that it can do, or when all callers come back after an outage: work
// that is too late is not taken on. The load is that of the job's pool, nil if none is known, and
// the workspace nil for none; excess tells that the job would be beyond its entitlement. In doubt a
// job is not refused.
func Admit(l *Load, j *steps.Job, w *policy.Workspace, excess bool, now time.Time) (Refusal, bool) {
	if w != nil && gangTooLarge(j, w.Quota) {
		return Refusal{Gang: true, After: gangRetry}, true
	}
	if l == nil || len(l.Rows) == 0 || now.Sub(time.UnixMilli(l.At)).Abs() > maxLoadAge {
		return Refusal{}, false
	}
	if j.Repetitions > 0 || j.LongRunning() || j.Advisor != nil {
		return Refusal{}, false
	}
	v := visit{load: l, job: j, excess: excess, age: max(now.Sub(time.UnixMilli(l.At)), 0)}
	if w != nil {
		v.workspace = w.Name
	}
	path := v.end(none)
	onTime := time.Duration(float64(path)*j.SlackFactor) + time.Duration(j.TargetMs)*time.Millisecond
	useful := pack.WorthlessFactor * onTime
	if onTime <= 0 || v.end(soon) <= onTime || v.end(late) <= useful {
		return Refusal{}, false
	}
	end := v.end(late)
	return Refusal{After: min(max(end-onTime, minRetry), maxRetry), Own: v.own(), Wait: end - path, Useful: useful}, true
}

// gangTooLarge reports whether a gang of a job is larger than a quota.
func gangTooLarge(j *steps.Job, quota hosts.Resources) bool {
	over := func(count, need, limit int) bool { return limit > 0 && count*need > limit }
	return slices.ContainsFunc(j.Steps, func(s steps.Step) bool {
		return s.Gang && (over(s.Count, s.CPU, quota.CPU) || over(s.Count, s.Mem, quota.Mem) || over(s.Count, s.GPU, quota.GPU))
	})
}

// visit is a job that is compared with a load.
type visit struct {
	load      *Load
	job       *steps.Job
	workspace string
	excess    bool
	age       time.Duration // of the load: its backlog may have shrunk for so long
}

func none(Wait) int64   { return 0 }
func soon(w Wait) int64 { return w.Soon }
func late(w Wait) int64 { return w.Late }

// end returns when the job ends at its declared estimates, if each step without others before it
// waits. Later steps may find room at once.
func (v *visit) end(which func(Wait) int64) time.Duration {
	host := v.load.Host.resources()
	ends := make([]time.Duration, len(v.job.Steps))
	var last time.Duration
	for i := range v.job.Steps {
		s := &v.job.Steps[i]
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		if p, waits := PartOf(s, s.Count, 0, host); waits && len(s.After) == 0 {
			ends[i] = max(time.Duration(which(v.wait(s, p)))*time.Millisecond-v.age, 0)
		}
		ends[i] += time.Duration(s.EstimateMs) * time.Millisecond
		last = max(last, ends[i])
	}
	return last
}

// wait returns how long a subtask of a step waits at least.
func (v *visit) wait(s *steps.Step, p Part) Wait {
	fits := s.CPU <= v.load.Room.CPU && s.Mem <= v.load.Room.Mem && s.GPU <= v.load.Room.GPU
	rows := v.load.rows(p)
	for i := len(rows) - 1; i >= 0; i-- {
		switch r := &rows[i]; {
		case r.Rank == v.job.Rank:
			return r.of(v.workspace, v.excess, fits)
		case r.Rank < v.job.Rank && !fits:
			return Wait{r.End, r.End}
		}
	}
	return Wait{}
}

// rows returns the rows of the kind of a part and of the largest size that is not above its own.
func (l *Load) rows(p Part) []Row {
	var out []Row
	for i, r := range l.Rows {
		if r.Kind != p.Kind || r.Size > p.Size {
			continue
		}
		if len(out) > 0 && out[0].Size == r.Size {
			out = l.Rows[i-len(out) : i+1]
		} else {
			out = l.Rows[i : i+1]
		}
	}
	return out
}

// of returns the least wait of a workspace's job. An excess job comes after the others of its
// workspace.
func (r *Row) of(workspace string, excess, fits bool) Wait {
	s := r.Spaces[workspace]
	least, own, quota := r.Entitled, s.Entitled, s.Quota
	if excess {
		least, own = max(r.Excess, s.Entitled.Late), s.Excess
		quota = Wait{max(s.Quota.Late, s.Beyond.Soon), max(s.Quota.Late, s.Beyond.Late)}
	}
	if fits { // some worker may have room for it: only the quota keeps it waiting
		return quota
	}
	return Wait{max(least, own.Soon, quota.Soon), max(least, own.Late, quota.Late)}
}

// own returns how long the pool needs for the job.
func (v *visit) own() time.Duration {
	var sum time.Duration
	for i := range v.job.Steps {
		s := &v.job.Steps[i]
		p, ok := PartOf(s, s.Count, time.Duration(s.EstimateMs)*time.Millisecond, v.load.Host.resources())
		if ok && int(p.Kind) < len(v.load.Rate) && v.load.Rate[p.Kind] > 0 {
			sum += drain(p.Work, v.load.Rate[p.Kind])
		}
	}
	return sum
}

// Returns spreads the callers that are told to come back: each one after those before it, by the
// time that the pool needs for their jobs. The zero value has told nobody. It is not safe for
// concurrent use.
type Returns struct {
	next map[string]time.Time // by pool
}

// Reset forgets what callers of a pool were told: the pool is no longer full.
func (r *Returns) Reset(pool string) { delete(r.next, pool) }

// After returns when the caller of a refused job should come back.
func (r *Returns) After(pool string, f Refusal, now time.Time) time.Duration {
	if f.Gang {
		return f.After
	}
	if r.next == nil {
		r.next = map[string]time.Time{}
	}
	at := now.Add(f.After)
	if next := r.next[pool]; at.Before(next) {
		at = next
	}
	if last := now.Add(maxRetry); at.After(last) {
		at = last
	}
	r.next[pool] = at.Add(f.Own)
	return at.Sub(now)
}
