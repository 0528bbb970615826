package entry

import (
	"fmt"
	"time"

	"shallotpaddle/table"
)

// Rollout is the progress of a configuration revision.
type Rollout struct {
	Rev int64
	// Accepted is the time at which the release note was accepted; zero if the
	// configuration document no longer holds that note.
	Accepted time.Time
	// Entries is the number of entries that are registered or have sent heartbeats
	// lately, InForce the number of those that have the revision or a later one in
	// force.
	Entries, InForce int
	// FullEffect is true when all entries have the revision in force and every pool
	// has the hosts that the newest configuration declares. Pending lists what is
	// missing.
	FullEffect bool
	Pending    []string
	// InForceAfter and FullEffectAfter are the durations from acceptance until the
	// revision was in force on all entries and until it had full effect, as this
	// entry saw them; zero if not reached or not known.
	InForceAfter, FullEffectAfter time.Duration
}

// rolloutProgress is the progress of the newest revision that the loop has seen.
type rolloutProgress struct {
	rev                     int64
	inForceAt, fullEffectAt time.Time
	pending                 []string
}

// recordProgress records when the newest revision was in force on all entries and
// when it had full effect.
func (l *loop) recordProgress(now time.Time, s *Status) {
	p := &l.progress
	if rev := s.Rev; rev != p.rev {
		*p = rolloutProgress{rev: rev}
	}
	p.pending = l.pendingChanges()
	if total, inForce := s.countInForce(p.rev); p.inForceAt.IsZero() && total == inForce {
		p.inForceAt = now
		l.entry.measures.SetInForce(p.rev, now)
	}
	if p.rev > 0 && p.fullEffectAt.IsZero() && !p.inForceAt.IsZero() && len(p.pending) == 0 {
		p.fullEffectAt = now
		l.entry.measures.SetFullEffect(p.rev, now)
		l.entry.log.Info().Str("entry", l.entry.Name()).Int64("rev", p.rev).Msg("configuration in full effect")
	}
	s.progress = *p
}

// pendingChanges lists, for operators, the hosts that pools still lack and the
// moves that are not complete.
func (l *loop) pendingChanges() []string {
	var out []string
	for id := range table.PoolID(l.tables.Pools()) {
		p := l.tables.Pool(id)
		if n, want := len(p.Hosts()), p.Spec().Size; n < want {
			out = append(out, fmt.Sprintf("pool %s has %d of %d hosts", p.Spec().Name, n, want))
		}
	}
	for id := range table.HostID(l.tables.Hosts()) {
		if h := l.tables.Host(id); h.MoveTarget() != table.None {
			out = append(out, fmt.Sprintf("host %s moves to pool %s", h.Name(), l.poolName(h.MoveTarget())))
		}
	}
	return out
}

// countInForce counts the entries, and those of them that have rev or a later
// revision in force. Entries neither registered nor heard within
// unreachableTimeout don't count.
func (s *Status) countInForce(rev int64) (total, inForce int) {
	for i := range s.Entries {
		m := &s.Entries[i]
		if !m.Registered && m.HeartbeatAge > unreachableTimeout {
			continue
		}
		total++
		if m.Rev >= rev {
			inForce++
		}
	}
	return total, inForce
}

// Rollout returns the progress of a revision; 0 stands for the newest one.
func (e *Entry) Rollout(rev int64) Rollout {
	s := e.status.Load()
	if rev == 0 {
		rev = s.Rev
	}
	r := Rollout{Rev: rev}
	r.Entries, r.InForce = s.countInForce(rev)
	if doc, err := e.configDoc(); err == nil {
		for i := range doc.Notes {
			if doc.Notes[i].Rev == rev {
				r.Accepted = doc.Notes[i].Time
			}
		}
	}
	p := s.progress
	if rev > p.rev {
		r.Pending = []string{fmt.Sprintf("revision %d is not in force here", rev)}
		return r
	}
	r.Pending = p.pending
	r.FullEffect = len(p.pending) == 0 && r.Entries == r.InForce
	if rev == p.rev && !r.Accepted.IsZero() {
		r.InForceAfter, r.FullEffectAfter = elapsed(p.inForceAt, r.Accepted), elapsed(p.fullEffectAt, r.Accepted)
	}
	return r
}

// elapsed returns the duration between from and at, or 0 if at is zero. It is at
// least 1 ms otherwise, since the clocks of entries differ and at may seem to be
// the earlier time.
func elapsed(at, from time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(at.Sub(from), time.Millisecond)
}
