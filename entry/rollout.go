package entry

import (
	"fmt"
	"time"

	"shallotpaddle/table"
)

// Rollout tells how far a configuration has come.
type Rollout struct {
	Rev int64
	// Accepted is zero for a revision that is no longer remembered.
	Accepted time.Time
	// Entries counts the registered or live entries, InForce those of them that
	// have the revision or a later one in force.
	Entries, InForce int
	// FullEffect tells that every pool has the hosts that the newest configuration
	// declares; Pending lists what is missing.
	FullEffect bool
	Pending    []string
	// InForceAfter and FullEffectAfter are the times from acceptance, as this entry saw
	// them; zero while not reached or not known.
	InForceAfter, FullEffectAfter time.Duration
}

// rolloutProgress is what the loop remembers of the newest revision's roll-out.
type rolloutProgress struct {
	rev                     int64
	inForceAt, fullEffectAt time.Time
	pending                 []string
}

// recordProgress records when the newest revision was in force everywhere and when it
// had full effect.
func (l *loop) recordProgress(now time.Time, s *Status) {
	p := &l.progress
	if rev := s.Rev; rev != p.rev {
		*p = rolloutProgress{rev: rev}
	}
	p.pending = l.pendingChanges()
	if total, force := s.countInForce(p.rev); p.inForceAt.IsZero() && total == force {
		p.inForceAt = now
		l.entry.measures.SetForce(p.rev, now)
	}
	if p.rev > 0 && p.fullEffectAt.IsZero() && !p.inForceAt.IsZero() && len(p.pending) == 0 {
		p.fullEffectAt = now
		l.entry.measures.SetEffect(p.rev, now)
		l.entry.log.Info().Str("entry", l.entry.Name()).Int64("rev", p.rev).Msg("configuration in full effect")
	}
	s.progress = *p
}

// pendingChanges lists what the configuration asks for and the fleet does not have yet.
func (l *loop) pendingChanges() []string {
	var out []string
	for id := range table.PoolID(l.tables.Pools()) {
		p := l.tables.Pool(id)
		if n, want := len(p.Hosts()), p.Spec().Size; n < want {
			out = append(out, fmt.Sprintf("pool %s has %d of %d hosts", p.Spec().Name, n, want))
		}
	}
	for id := range table.HostID(l.tables.Hosts()) {
		if h := l.tables.Host(id); h.Next() != table.None {
			out = append(out, fmt.Sprintf("host %s moves to pool %s", h.Name(), l.poolName(h.Next())))
		}
	}
	return out
}

// countInForce counts the entries and those that have a revision in force.
func (s *Status) countInForce(rev int64) (total, force int) {
	for i := range s.Entries {
		m := &s.Entries[i]
		if !m.Registered && m.HeartbeatAge > unreachableTimeout {
			continue
		}
		total++
		if m.Rev >= rev {
			force++
		}
	}
	return total, force
}

// Rollout tells how far a revision has come; 0 stands for the newest one.
func (e *Entry) Rollout(rev int64) Rollout {
	s := e.status.Load()
	if rev == 0 {
		rev = s.Rev
	}
	r := Rollout{Rev: rev}
	r.Entries, r.InForce = s.countInForce(rev)
	if head, err := e.head(); err == nil {
		for i := range head.Notes {
			if head.Notes[i].Rev == rev {
				r.Accepted = head.Notes[i].Time
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

// elapsed returns the time from from to at, at least 1 ms once at is reached;
// clocks of entries differ.
func elapsed(at, from time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(at.Sub(from), time.Millisecond)
}
