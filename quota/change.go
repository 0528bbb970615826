package quota

import (
	"maps"
	"slices"
	"time"

	"shallotpaddle/policy"
)

// SetPolicy sets the configuration in force. A workspace that it doesn't have keeps its last
// quota, unless no workspace has one.
func (l *Ledger) SetPolicy(v *policy.Version, now time.Time) {
	if v == nil || v == l.version {
		return
	}
	before, wasActive := l.version, l.active
	first := before == nil
	l.version, l.active, l.setAt = v, v.Limited(), now
	list := v.Workspaces()
	for i := range list {
		w := &list[i]
		s := l.spaces[w.Name]
		if s == nil && !w.Limited() {
			continue
		}
		added := false
		if s == nil {
			s = l.space(w.Name)
			s.quota = amount{}
			if before != nil {
				_, had := before.Workspace(w.Name)
				added = !had
			}
		}
		l.setQuota(s, of(w.Quota), first || added, wasActive, now)
		s.version = v.Number
		if left := firstQuotaTime - now.Sub(w.LimitedAt); first && !w.LimitedAt.IsZero() && left > 0 {
			s.verifyFirst(now.Add(left))
		}
		if added {
			// Jobs of it came with the version, and start without a quota where an older one is in force.
			s.verifyFrom(now.Add(applyTime), now)
		}
	}
	for _, s := range l.spaces {
		if _, ok := v.Workspace(s.name); !ok {
			to := s.quota
			if w, number, ok := v.Former(s.name); ok && number > s.version {
				to, s.version = of(w.Quota), number // the version that had it was replaced before this owner asked
			}
			l.setQuota(s, to, first, wasActive, now)
		}
	}
	l.notePools(now)
	l.forgetSpaces()
}

// spareSpaces is how many workspaces are remembered that the configuration doesn't have.
const spareSpaces = 1000

// forgetSpaces drops workspaces of which nothing is left once there are many of them.
func (l *Ledger) forgetSpaces() {
	if len(l.spaces) <= len(l.version.Workspaces())+spareSpaces {
		return
	}
	for name, s := range l.spaces {
		// An answer to a write under way needs its workspace.
		writing := slices.ContainsFunc(l.inFlight, func(w Write) bool { return w.workspace == name })
		if _, ok := l.workspace(name); !ok && !writing && s.doc == nil && s.used.none() && s.want.none() {
			delete(l.spaces, name)
			delete(l.byKey, Key(name))
		}
	}
}

// setQuota sets the quota of a workspace. Nothing was limited before if the ledger was not active;
// fresh tells that no earlier quota is known to have been in force.
func (l *Ledger) setQuota(s *space, to amount, fresh, wasActive bool, now time.Time) {
	if !wasActive && l.active {
		s.quota = amount{}
	}
	if !fresh {
		s.noteChange(to, now)
	}
	s.quota = to
}

// noteChange notes that the quota changes while the owner is at work.
func (s *space) noteChange(to amount, now time.Time) {
	first, lowered := false, false
	for _, q := range [][2]int{{s.quota.CPU, to.CPU}, {s.quota.Mem, to.Mem}, {s.quota.GPU, to.GPU}} {
		first = first || q[0] <= 0 && q[1] > 0
		lowered = lowered || q[1] > 0 && q[1] < q[0]
	}
	switch {
	case first:
		s.verifyFirst(now.Add(firstQuotaTime))
	case lowered:
		s.verifyFrom(now.Add(applyTime), now)
	}
}

// verifyFirst holds all starts until the documents were listed at a time or later.
func (s *space) verifyFirst(at time.Time) {
	if at.After(s.firstQuota) {
		s.firstQuota = at
	}
	// The list that is due then is enough for what is due earlier.
	s.verify = slices.DeleteFunc(s.verify, func(v time.Time) bool { return !v.After(s.firstQuota) })
	s.verify = slices.Insert(s.verify, 0, s.firstQuota)
}

// verifyFrom holds starts from a time on, until the documents were listed at that time or later.
func (s *space) verifyFrom(at, now time.Time) {
	if !at.After(s.firstQuota) {
		return // nothing starts before a list that is later
	}
	s.verify = append(s.verify, at)
	slices.SortFunc(s.verify, time.Time.Compare)
	// One list is enough for all that are due.
	due := 0
	for due < len(s.verify) && !now.Before(s.verify[due]) {
		due++
	}
	s.verify = slices.Delete(s.verify, 0, max(due-1, 0))
}

// verifyDue reports whether nothing starts until the documents were listed anew.
func (s *space) verifyDue(now time.Time) bool { return len(s.verify) > 0 && !now.Before(s.verify[0]) }

// verified notes a list of the documents that was asked for at a time.
func (s *space) verified(begun time.Time) {
	s.verify = slices.DeleteFunc(s.verify, func(at time.Time) bool { return !begun.Before(at) })
	if !begun.Before(s.firstQuota) {
		s.firstQuota = time.Time{}
	}
}

// notePools notes since when pools with grants are not in the configuration.
func (l *Ledger) notePools(now time.Time) {
	named := map[string]bool{}
	for _, s := range l.spaces {
		if s.doc == nil {
			continue
		}
		for pool := range s.doc.Pools {
			if _, ok := l.version.Pool(pool); !ok {
				named[pool] = true
				if l.gone[pool].IsZero() {
					l.gone[pool] = now
				}
			}
		}
	}
	maps.DeleteFunc(l.gone, func(pool string, _ time.Time) bool { return !named[pool] })
}
