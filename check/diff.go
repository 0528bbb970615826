package check

import (
	"fmt"
	"slices"
	"strings"
)

// Against returns what the configuration changes of the version in force, with the effect on
// waiting and running work. What callers or jobs may suffer from is a warning, the rest a note.
func (d *Draft) Against(inForce *Draft) []Finding {
	r := &report{}
	if d.Version <= inForce.Version {
		r.add(Error, Line(d.Line), "version %d is not higher than %d, which is in force: it would be ignored", d.Version, inForce.Version)
	}
	r.add(Note, Line(d.Line), "%s; %s; %s; %s",
		diffQueues(r, inForce.Queues, d.Queues), diffPools(r, inForce.Pools, d.Pools),
		diffWorkspaces(r, inForce, d), diffKeys(r, inForce, d))
	if d.KeysRequired != inForce.KeysRequired {
		if d.KeysRequired {
			r.add(Warning, Line(d.Line), "workspaces are introduced: calls without a key on queues that aren't public get 401")
		} else {
			r.add(Warning, Line(d.Line), "the list of workspaces is gone: no call needs a key, and new jobs belong to no workspace")
		}
	}
	return r.list
}

// counts are the numbers of differences of one kind.
type counts struct{ added, removed, changed int }

func (c counts) text(what string) string {
	return fmt.Sprintf("%s: %d added, %d removed, %d changed", what, c.added, c.removed, c.changed)
}

// former returns the place of something that only the version in force has.
func former(kind, name string, line int) string {
	if name == "" {
		return Line(line) + " of the version in force"
	}
	return fmt.Sprintf("%s %q", kind, name)
}

// index returns the first element of each name.
func index[T any](list []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		if n := name(&list[i]); m[n] == nil {
			m[n] = &list[i]
		}
	}
	return m
}

// diff calls pair with each name's first element in both lists, of which one may be nil.
func diff[T any](was, is []T, name func(*T) string, pair func(old, latest *T)) {
	before, after := index(was, name), index(is, name)
	for i := range was {
		if n := name(&was[i]); before[n] == &was[i] && after[n] == nil {
			pair(&was[i], nil)
		}
	}
	for i := range is {
		if n := name(&is[i]); after[n] == &is[i] {
			pair(before[n], &is[i])
		}
	}
}

func diffQueues(r *report, was, is []Queue) string {
	var c counts
	diff(was, is, func(q *Queue) string { return q.Name }, func(old, q *Queue) {
		switch {
		case q == nil:
			c.removed++
			r.add(Warning, former("queue", old.Name, old.Line), "removed: callers get 404 unless another queue matches, accepted jobs go on")
		case old == nil:
			c.added++
			r.add(Note, q.place(), "added, served by pool %q", q.Pool)
		default:
			was, is := *old, *q
			was.Line, is.Line = 0, 0
			if was != is {
				c.changed++
				diffQueue(r, old, q)
			}
		}
	})
	return c.text("queues")
}

// diffQueue reports the changes of one queue.
func diffQueue(r *report, old, q *Queue) {
	if old.Pool != q.Pool {
		r.add(Warning, q.place(), "changes from pool %q to %q: jobs that wait or run stay in the former, only new ones go to the other", old.Pool, q.Pool)
	}
	if !strings.EqualFold(old.Host, q.Host) || old.Prefix != q.Prefix {
		r.add(Warning, q.place(), "changes from %q to %q: callers of the former address get 404 unless another queue matches, accepted jobs go on",
			old.Host+old.Prefix, q.Host+q.Prefix)
	}
	if old.Public && !q.Public {
		r.add(Warning, q.place(), "no longer public: callers without a key get 401")
	}
	if !old.Public && q.Public {
		r.add(Note, q.place(), "now public: new jobs belong to no workspace")
	}
	if old.Rank != q.Rank || old.Target != q.Target || old.Attempts != q.Attempts || old.Slack != q.Slack {
		r.add(Note, q.place(), "its rank, deadline or attempts change: for new jobs only, accepted ones keep the former")
	}
}

func diffPools(r *report, was, is []Pool) string {
	var c counts
	diff(was, is, func(p *Pool) string { return p.Name }, func(old, p *Pool) {
		switch {
		case p == nil:
			c.removed++
			r.add(Warning, former("pool", old.Name, old.Line),
				"removed: its jobs are answered 410 once no queue names it, and run only as long as its present owner does, as no other is elected")
		case old == nil:
			c.added++
			r.add(Note, p.place(), "added: it has no host until hosts move there")
		case old.Standby != p.Standby:
			c.changed++
			if p.Standby {
				r.add(Warning, p.place(), "becomes a standby pool: its jobs wait, as its hosts are off")
			} else {
				r.add(Note, p.place(), "is no longer on standby")
			}
		}
	})
	return c.text("pools")
}

func diffWorkspaces(r *report, inForce, d *Draft) string {
	var c counts
	byKey := keyOwners(d.Workspaces)
	diff(inForce.Workspaces, d.Workspaces, func(w *Workspace) string { return w.Name }, func(old, w *Workspace) {
		switch {
		case w == nil:
			c.removed++
			left := slices.ContainsFunc(old.Keys, func(k string) bool { return byKey[k] != nil })
			if left {
				r.add(Warning, former("workspace", old.Name, old.Line),
					"removed or renamed, as other workspaces have keys of it: accepted jobs go on under its last quota, and any key sees them")
			} else {
				r.add(Warning, former("workspace", old.Name, old.Line), "removed: its callers get 401; accepted jobs go on under its last quota, and any key sees them")
			}
		case old == nil:
			c.added++
			r.add(Note, w.place(), "added")
		default:
			if diffWorkspace(r, old, w) {
				c.changed++
			}
		}
	})
	return c.text("workspaces")
}

// diffWorkspace reports the changes of a workspace's weight and quota.
func diffWorkspace(r *report, old, w *Workspace) bool {
	changed := false
	if old.Weight != w.Weight {
		changed = true
		r.add(Note, w.place(), "the weight changes from %v to %v: waiting jobs are ordered by the new one", old.Weight.Value, w.Weight.Value)
	}
	is := w.quota()
	for i, q := range old.quota() {
		a, b := limit(q.Value), limit(is[i].Value)
		switch {
		case a == b:
			continue
		case b > 0 && (a == 0 || b < a):
			r.add(Warning, w.place(), "the quota of %s is lowered from %s to %s: what runs goes on, and nothing starts until the use is below",
				q.name, quotaText(a), quotaText(b))
		default:
			r.add(Note, w.place(), "the quota of %s is raised from %s to %s", q.name, quotaText(a), quotaText(b))
		}
		changed = true
	}
	return changed
}

// limit returns the limit that a quota has effect as: 0 is none.
func limit(quota float64) int64 { return int64(min(max(quota, 0), maxQuota)) }

// maxQuota is the largest quota that an entry knows; a larger one counts as this one.
const maxQuota = 1e9

func quotaText(q int64) string {
	if q == 0 {
		return "no limit"
	}
	return fmt.Sprint(q)
}

// keyOwners returns the workspace to which each key belongs.
func keyOwners(list []Workspace) map[string]*Workspace {
	m := map[string]*Workspace{}
	for i := range list {
		for _, k := range list[i].Keys {
			if k != "" && m[k] == nil {
				m[k] = &list[i]
			}
		}
	}
	return m
}

// diffKeys reports the keys that a workspace gets, loses, or loses to another.
func diffKeys(r *report, inForce, d *Draft) string {
	before, after := keyOwners(inForce.Workspaces), keyOwners(d.Workspaces)
	named := index(d.Workspaces, func(w *Workspace) string { return w.Name })
	var c counts
	added, removed, moved := map[*Workspace]int{}, map[*Workspace]int{}, map[*Workspace]int{}
	for k, w := range after {
		if before[k] == nil {
			c.added++
			added[w]++
		}
	}
	for k, old := range before {
		w := after[k]
		switch {
		case w == nil:
			c.removed++
			removed[old]++
		case w.Name != old.Name:
			c.changed++
			moved[old]++
		}
	}
	for i := range inForce.Workspaces {
		old := &inForce.Workspaces[i]
		where := former("workspace", old.Name, old.Line)
		if n := removed[old]; n > 0 {
			r.add(Warning, where, "%d of its keys removed: their callers get 401, accepted jobs go on", n)
		}
		if n := moved[old]; n > 0 && named[old.Name] != nil {
			r.add(Warning, where, "%d of its keys belong to another workspace now: with these its jobs are answered 410", n)
		}
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		if n := added[w]; n > 0 {
			r.add(Note, w.place(), "keys added: %d", n)
		}
	}
	return c.text("keys")
}
