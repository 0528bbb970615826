package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"shallotpaddle/fakes/site"
	"shallotpaddle/owner"
	"shallotpaddle/plat"
	"shallotpaddle/steps"
)

// openQueue is the queue that is public now and then.
const openQueue = "bake"

// strictDelay is within which an entry acts by the setting StrictRevocation: it reads its settings
// again at SIGHUP.
const strictDelay = 2 * time.Second

// openness has whether openQueue is public, and the times before and after the write of the last
// change; the latter is zero until it has been written.
type openness struct {
	public            bool
	changing, changed time.Time
}

// settledAt tells whether all entries must act by it at a time.
func (o openness) settledAt(t time.Time) bool {
	return o.changing.IsZero() || !o.changed.IsZero() && t.Sub(o.changed) > applyLimit
}

// openness returns whether openQueue is public.
func (sp *spaces) openness() openness {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	return sp.open
}

// checkOpen checks the answer to a call on openQueue, and tells whether its key counts.
func (s *Soak) checkOpen(address string, begun time.Time, word site.Word) bool {
	o := s.spaces.openness()
	switch {
	case !o.settledAt(begun):
		return false
	case !o.public:
		return true
	case word == site.Denied && !s.checks.reachesStore():
		s.checks.excuse("KEYS public queue")
	default:
		s.check("KEYS", word != site.Denied, "a call on a public queue is denied by %s, %s after its configuration", s.entryAt(address), begun.Sub(o.changed))
	}
	return false
}

// openQueuePublic makes a queue public, and not public again.
func openQueuePublic(ctx context.Context, s *Soak, e event) bool {
	if s.spaces.openness().public {
		return false
	}
	s.setPublic(true)
	wait(ctx, e.For)
	s.setPublic(false)
	return true
}

func (s *Soak) setPublic(public bool) {
	s.configure(func([]*space) { s.spaces.open = openness{public: public, changing: time.Now()} })
}

// renameSpace changes the name of a workspace, which keeps its keys. Its jobs keep the former name.
func renameSpace(_ context.Context, s *Soak, e event) bool {
	done := false
	s.configure(func(list []*space) {
		if w := unchanged(list, e.Pick); w != nil {
			w.names++
			w.Name, done = fmt.Sprintf("%s.%d", w.first, w.names), true
		}
	})
	return done
}

// unchanged returns one of the workspaces that have a quota, of those whose quota is not lowered and
// that are not removed; nil if there is none.
func unchanged(list []*space, pick int) *space {
	for i := range list {
		if w := list[(pick+i)%len(list)]; !w.lowered && !w.absent() && w.first != lastingSpace {
			return w
		}
	}
	return nil
}

// removeSpace removes a workspace, and adds it again under its name with new keys.
func removeSpace(ctx context.Context, s *Soak, e event) bool {
	var w *space
	s.configure(func(list []*space) {
		if w = unchanged(list, e.Pick); w != nil {
			w.formerKeys, w.Keys, w.removedAt = w.Keys, nil, time.Now()
		}
	})
	if w == nil {
		return false
	}
	wait(ctx, e.For)
	s.configure(func([]*space) {
		for range 3 {
			w.newKey()
		}
	})
	return true
}

// absent tells whether a workspace is not in the configuration.
func (w *space) absent() bool { return len(w.Keys) == 0 }

// strictEntry makes an entry serve no keys while it can't tell whether they were removed.
func strictEntry(ctx context.Context, s *Soak, e event) bool {
	var strict *entry
	onEntry(func(_ context.Context, s *Soak, en *entry, _ event) {
		if !en.Strict && listens(en.Callers) {
			strict = en
			s.setStrict(en, true)
		}
	})(ctx, s, e)
	if strict == nil {
		return false
	}
	wait(ctx, e.For)
	strict.busy.Lock()
	defer strict.busy.Unlock()
	s.setStrict(strict, false)
	return true
}

func (s *Soak) setStrict(en *entry, strict bool) {
	en.Strict = strict
	s.writeSettings(en)
	since := int64(0)
	if strict {
		since = time.Now().UnixNano()
	}
	en.strictSince.Store(since)
	if listens(en.Callers) {
		en.process().signal(syscall.SIGHUP)
	}
}

// isStrict tells whether the entry at an address accepted no removed keys for longer than
// site.RevokeTime, whether or not it reached the store.
func (s *Soak) isStrict(address string, begun time.Time) bool {
	for _, en := range s.entries {
		if since := en.strictSince.Load(); en.Callers == address && since != 0 {
			return begun.Sub(time.Unix(0, since)) > strictDelay
		}
	}
	return false
}

// recordSpace gives a job that is stored the workspace that it has there: it depends on the
// configuration that the accepting entry has.
func (s *Soak) recordSpace(it plat.Item) {
	parts := strings.Split(it.Key, "/")
	if s.spaces == nil || len(parts) != 3 || it.Key != owner.JobKey(parts[1], parts[2]) {
		return
	}
	var j steps.Job
	if json.Unmarshal(it.Value, &j) == nil && j.ID == parts[2] {
		s.workers.SetWorkspace(j.ID, j.Workspace)
	}
}

// keptQuotas adds the quotas of the workspaces that the last configuration had to those of a new
// one: jobs of a workspace that is no longer configured keep its last quota.
func (sp *spaces) keptQuotas(v quotas) {
	if len(sp.versions) == 0 {
		return
	}
	for name, q := range sp.versions[len(sp.versions)-1].limits {
		if _, ok := v.limits[name]; !ok {
			v.limits[name] = q
		}
	}
}

// seeKey returns a key that shows the job: one of its workspace, or any one if that is not in the
// configuration of any entry.
func (c *client) seeKey() string {
	s := c.soak
	if s.spaces == nil {
		return ""
	}
	if s.spaces.isGone(c.load.space) {
		return s.validKey(c.rand.IntN(1 << 16))
	}
	return c.key()
}

// isGone tells whether a workspace has left the configuration of all entries.
func (sp *spaces) isGone(first string) bool {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	w := sp.space(first)
	return w.absent() && time.Since(w.removedAt) > applyLimit+time.Second
}

// shows tells whether a key shows a job of a workspace at all entries.
func (sp *spaces) shows(key, first string) bool {
	sp.mu.Lock()
	life := sp.keys[key]
	sp.mu.Unlock()
	return life != nil && life.workspace == first || sp.isGone(first)
}

// space returns the workspace that had a name at first. The lock is held.
func (sp *spaces) space(first string) *space {
	i := slices.IndexFunc(sp.list, func(w *space) bool { return w.first == first })
	return sp.list[i]
}
