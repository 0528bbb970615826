package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"shallotpaddle/fakes/site"
	"shallotpaddle/hosts"
	"shallotpaddle/policy"
	"shallotpaddle/steps"
)

const (
	spaceGap  = 1500 * time.Millisecond // mean pause between the begins of two faults of workspaces
	spaceMost = 5 * time.Second         // how long one lasts at most
	// applyLimit is the longest time from the write of a configuration until all entries act by
	// it, the users' ConfigApplyMs.
	applyLimit = 3 * time.Second
	// chargeLimit is the longest time for which an owner that does not reach the store is in charge
	// by its workers' answers, and acts by an earlier configuration.
	chargeLimit = 20 * time.Second
	// keyPeriod is how often each entry is called with wrong and valid keys.
	keyPeriod = 150 * time.Millisecond
	// spaceOpen is the number of open jobs of a workspace from which on a burst hands no more in, so
	// that its backlog does not outlast the soak.
	spaceOpen = 40
	// leastQuota is the CPU of the smallest subtask.
	leastQuota = 400
)

// lastingSpace is the workspace of the jobs that last or have long subtasks. It has no quota: such a
// job whose caller has no answer is never cancelled, and would use up a quota until the end.
const lastingSpace = "w3"

// longRun is the length of a run from which on a job is one of lastingSpace.
const longRun = 5 * time.Second

// replacedQuota ends the text of a violation by a start that an earlier configuration would have
// allowed: an entry that does not reach the store can't know of the newer one.
const replacedQuota = "by a configuration that was replaced"

// space is a workspace as the operator configures it. It is not in the configuration while it has no
// keys.
type space struct {
	policy.Workspace
	first      string          // name at the begin
	names      int             // number of other names that it has had
	usual      hosts.Resources // quota when it is not lowered
	lowered    bool
	keys       int       // number of keys that it has had
	formerKeys []string  // those that it had when it was removed last
	removedAt  time.Time // when that was
}

// newKey adds a key.
func (w *space) newKey() {
	w.Keys = append(w.Keys, fmt.Sprintf("key-%s-%d", w.first, w.keys))
	w.keys++
}

// keyLife has the times of a key, zero until they have come.
type keyLife struct {
	added     time.Time       // after the write
	removing  time.Time       // before the write
	removed   time.Time       // after the write
	workspace string          // as it was named at first
	initial   bool            // in the first configuration
	denied    map[string]bool // addresses of the entries that denied it too late
}

// quotas are those of a configuration.
type quotas struct {
	at     time.Time // of the write
	limits map[string]hosts.Resources
}

// spaces are the workspaces of a soak.
type spaces struct {
	mu       sync.Mutex
	list     []*space
	keys     map[string]*keyLife
	versions []quotas
	open     openness
}

// newSpaces draws the workspaces. The names have characters that the keys of the store need to have
// encoded.
func newSpaces(seed uint64) *spaces {
	r := rand.New(rand.NewPCG(seed, streamSpaces))
	sp := &spaces{keys: map[string]*keyLife{}}
	for _, name := range []string{"w0", "w/1", "w 2"} {
		w := &space{Workspace: policy.Workspace{Name: name, Weight: float64(2 + r.IntN(4)), Quota: hosts.Resources{CPU: 6000 + r.IntN(8000)}}}
		if r.IntN(2) == 0 {
			w.Quota.Mem = 2000 + r.IntN(2000)
		}
		w.usual, w.first = w.Quota, name
		for range 3 {
			w.newKey()
		}
		sp.list = append(sp.list, w)
	}
	lasting := &space{Workspace: policy.Workspace{Name: lastingSpace, Weight: 4}, first: lastingSpace}
	for range 3 {
		lasting.newKey()
	}
	sp.list = append(sp.list, lasting)
	return sp
}

// spacesSchedule returns the faults of workspaces of a run. Each kind comes once in as many faults as
// there are kinds, in random order.
func spacesSchedule(seed uint64, d time.Duration) []event {
	r := rand.New(rand.NewPCG(seed, streamSpaces))
	kinds := []string{"workspace burst", "key replaced", "quota lowered", "workspace renamed", "workspace removed", "queue public", "revocation strict"}
	var out []event
	for at := firstFault; at < d; at += minGap + time.Duration(r.Float64()*2*float64(spaceGap)) {
		k := len(out) % len(kinds)
		if k == 0 {
			r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		}
		length := time.Second + time.Duration(r.Float64()*float64(spaceMost))
		out = append(out, event{kinds[k], at, min(length, d-at), r.IntN(1 << 16), r.Float64()})
	}
	return out
}

// update changes the workspaces, and returns them with a function that is to be called after they
// have been written.
func (sp *spaces) update(change func(list []*space)) (list []policy.Workspace, written func()) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if change != nil {
		change(sp.list)
	}
	now := time.Now()
	v := quotas{now, map[string]hosts.Resources{}}
	configured := map[string]bool{}
	for _, w := range sp.list {
		if w.absent() {
			continue
		}
		out := w.Workspace
		out.Keys = slices.Clone(w.Keys)
		list = append(list, out)
		v.limits[w.Name] = w.Quota
		for _, k := range w.Keys {
			configured[k] = true
			if sp.keys[k] == nil {
				sp.keys[k] = &keyLife{workspace: w.first, initial: len(sp.versions) == 0, denied: map[string]bool{}}
			}
		}
	}
	for k, life := range sp.keys {
		if !configured[k] && life.removing.IsZero() {
			life.removing = now
		}
	}
	sp.keptQuotas(v)
	sp.versions = append(sp.versions, v)
	return list, sp.written
}

// written records the time of a configuration's write.
func (sp *spaces) written() {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	now := time.Now()
	sp.versions[len(sp.versions)-1].at = now
	if sp.open.changed.IsZero() {
		sp.open.changed = now
	}
	for _, life := range sp.keys {
		if life.added.IsZero() {
			life.added = now
		}
		if !life.removing.IsZero() && life.removed.IsZero() {
			life.removed = now
		}
	}
}

// assign gives a job its workspace, unless it has one.
func (sp *spaces) assign(l *load) {
	if l.LongRunning() || l.length >= longRun {
		l.space = lastingSpace
	}
	if l.space != "" {
		return
	}
	n, _ := strconv.ParseUint(l.ID, 16, 64) // all IDs are hexadecimal
	sp.mu.Lock()
	defer sp.mu.Unlock()
	others := uint64(len(sp.list) - 1)
	for i := range others {
		w := sp.list[(n+i)%others]
		if l.space = w.first; !w.absent() {
			return
		}
	}
}

// valid returns one of the keys of a workspace that all entries must know. If there is none, as the
// workspace was removed or is just back, it returns one that it had or has.
func (sp *spaces) valid(first string, pick int) string {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	w := sp.space(first)
	keys := w.settledKeys(sp.keys)
	if len(keys) == 0 {
		keys = w.Keys
	}
	if len(keys) == 0 {
		keys = w.formerKeys
	}
	return keys[pick%len(keys)]
}

// settledKeys returns the keys that all entries must know.
func (w *space) settledKeys(lives map[string]*keyLife) []string {
	return slices.DeleteFunc(slices.Clone(w.Keys), func(k string) bool {
		life := lives[k]
		return !life.initial && (life.added.IsZero() || time.Since(life.added) <= applyLimit)
	})
}

// validKey returns a key that all entries must know; "" without workspaces.
func (s *Soak) validKey(pick int) string {
	if s.spaces == nil {
		return ""
	}
	return s.spaces.anyValid(pick)
}

// anyValid returns a key of some workspace that all entries must know; lastingSpace always has one.
func (sp *spaces) anyValid(pick int) string {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	for i := range sp.list {
		if keys := sp.list[(pick+i)%len(sp.list)].settledKeys(sp.keys); len(keys) > 0 {
			return keys[pick%len(keys)]
		}
	}
	return ""
}

// key returns a key of the caller's workspace.
func (c *client) key() string {
	if c.soak.spaces == nil {
		return ""
	}
	return c.soak.spaces.valid(c.load.space, c.rand.IntN(1<<16))
}

// checkKey checks the answer of an entry to a call on a queue that was sent with a key.
func (s *Soak) checkKey(address, queue, key string, begun time.Time, word site.Word) {
	if s.spaces == nil || word == site.NoAnswer || queue == openQueue && !s.checkOpen(address, begun, word) {
		return
	}
	s.spaces.mu.Lock()
	var life keyLife
	known := s.spaces.keys[key]
	if known != nil {
		life = *known
	}
	s.spaces.mu.Unlock()
	switch {
	case known == nil:
		s.check("KEYS", word != site.Yes, "a call with a key that no configuration has had is answered with success by %s", s.entryAt(address))
	case word == site.Denied:
		late := !life.added.IsZero() && begun.Sub(life.added) > applyLimit && life.removing.IsZero()
		if late && !s.spaces.reportDenied(key, address) {
			return
		}
		s.check("KEYS", !late, "%s is denied by %s, %s after its configuration", key, s.entryAt(address), begun.Sub(life.added))
	case word == site.Yes && !life.removed.IsZero() && begun.Sub(life.removed) > applyLimit:
		text := fmt.Sprintf("%s is accepted by %s, %s after it was removed", key, s.entryAt(address), begun.Sub(life.removed))
		strict := begun.Sub(life.removed) > site.RevokeTime && s.isStrict(address, begun)
		if !strict && !s.checks.reachesStore() {
			s.checks.excuse("KEYS " + text)
			return
		}
		s.check("KEYS", false, "%s, strict: %v", text, strict)
	default:
		s.check("KEYS", true, "")
	}
}

// reportDenied tells whether a late denial of a key by an entry is the first one: an entry that has
// an old configuration denies each call.
func (sp *spaces) reportDenied(key, address string) bool {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	first := !sp.keys[key].denied[address]
	sp.keys[key].denied[address] = true
	return first
}

// entryAt returns the name of the entry with an address for callers.
func (s *Soak) entryAt(address string) string {
	for _, en := range s.entries {
		if en.Callers == address {
			return en.Name
		}
	}
	return address
}

// checkKeys calls an entry with wrong, removed and valid keys, until the context ends.
func (s *Soak) checkKeys(ctx context.Context, en *entry) {
	if s.spaces == nil {
		return
	}
	for n := 0; ctx.Err() == nil; wait(ctx, keyPeriod) {
		for _, key := range s.spaces.probes(n) {
			begun := time.Now()
			s.checkKey(en.Callers, "soak", key, begun, s.caller.Pending(ctx, en.Callers, key, "soak"))
		}
		n++
		const wrong = "wrong"
		if l := s.openJob(n); l != nil {
			begun := time.Now()
			s.checkKey(en.Callers, l.Queue, wrong, begun, s.caller.Cancel(ctx, en.Callers, wrong, l))
		}
		begun := time.Now()
		s.checkKey(en.Callers, openQueue, "", begun, s.caller.Pending(ctx, en.Callers, "", openQueue))
	}
}

// openJob returns a job that is accepted and has not ended, and whose queue is never public; nil if
// there is none.
func (s *Soak) openJob(pick int) *steps.Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*steps.Job
	for _, l := range s.loads {
		if l.status == accepted && l.Queue != openQueue {
			list = append(list, &l.Job)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[pick%len(list)]
}

// probes returns the newest key of a workspace and one that it no longer has, if there is one.
func (sp *spaces) probes(pick int) []string {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	w := sp.list[pick%len(sp.list)]
	var out []string
	if !w.absent() {
		out = append(out, w.Keys[len(w.Keys)-1])
	}
	var last string
	for k, life := range sp.keys {
		if life.workspace == w.first && !life.removed.IsZero() && (last == "" || life.removed.After(sp.keys[last].removed)) {
			last = k
		}
	}
	if last != "" {
		out = append(out, last)
	}
	return out
}

// checkQuota returns how a start breaks a quota, or "". The highest quota counts of those that
// may have been in force when the last of the workspace's starts was sent. The worker set is locked.
func (s *Soak) checkQuota(workspace string, running, demand hosts.Resources, sent time.Time) string {
	s.check("QUOTA", true, "")
	if (running == hosts.Resources{}) {
		return "" // a subtask may be larger than the whole quota
	}
	s.spaces.mu.Lock()
	defer s.spaces.mu.Unlock()
	need := hosts.Resources{CPU: running.CPU + demand.CPU, Mem: running.Mem + demand.Mem}
	most := s.spaces.most(workspace, sent, applyLimit)
	if need.CPU <= most.CPU && need.Mem <= most.Mem {
		return ""
	}
	text := fmt.Sprintf("workspace %s has %v running, the start needs %v, the quota is %v", workspace, running, demand, most)
	most = s.spaces.most(workspace, sent, applyLimit+chargeLimit)
	if need.CPU <= most.CPU && need.Mem <= most.Mem {
		return text + ", and fits " + replacedQuota
	}
	return text
}

// most returns the highest quota of a workspace in the configurations that were the newest one
// within the window before a time, or after it.
func (sp *spaces) most(workspace string, sent time.Time, window time.Duration) hosts.Resources {
	var out hosts.Resources
	for i, v := range sp.versions {
		if i+1 < len(sp.versions) && sent.Sub(sp.versions[i+1].at) > window {
			continue
		}
		q := v.limits[workspace]
		if q.CPU == 0 {
			q.CPU = math.MaxInt
		}
		if q.Mem == 0 {
			q.Mem = math.MaxInt
		}
		out.CPU, out.Mem = max(out.CPU, q.CPU), max(out.Mem, q.Mem)
	}
	return out
}

// burst hands in 4 to 8 times the usual jobs of a workspace.
func burst(ctx context.Context, s *Soak, e event) bool {
	w := s.spaces.list[e.Pick%len(s.spaces.list)].first
	r := rand.New(rand.NewPCG(uint64(e.Pick), streamSpaces))
	ctx, done := context.WithTimeout(ctx, e.For)
	defer done()
	rate := s.opt.Rate / float64(len(s.spaces.list)) * (4 + 4*e.Size)
	for ctx.Err() == nil {
		if s.openJobsOf(w) < spaceOpen {
			l := newLoad(r, time.Now())
			l.space = w
			s.handIn(l)
		}
		wait(ctx, time.Duration(r.ExpFloat64()/rate*float64(time.Second)))
	}
	return true
}

// openJobsOf returns the number of open jobs of a workspace.
func (s *Soak) openJobsOf(workspace string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.loads {
		if l.space == workspace && (l.status == sent || l.status == accepted) {
			n++
		}
	}
	return n
}

// replaceKey removes the oldest key of a workspace and adds one, if it has another one that all
// entries know.
func replaceKey(_ context.Context, s *Soak, e event) bool {
	done := false
	s.configure(func(list []*space) {
		w := list[e.Pick%len(list)]
		if len(w.settledKeys(s.spaces.keys)) < 2 {
			return
		}
		w.Keys = slices.Delete(w.Keys, 0, 1)
		w.newKey()
		done = true
	})
	return done
}

// lowerQuota halves a workspace's quota of what it has in use, and raises it again.
func lowerQuota(ctx context.Context, s *Soak, e event) bool {
	s.spaces.mu.Lock()
	name := s.spaces.list[e.Pick%len(s.spaces.list)].Name
	s.spaces.mu.Unlock()
	use := s.workers.Use(name)
	done := false
	set := func(change func(w *space)) {
		s.configure(func(list []*space) { change(list[e.Pick%len(list)]) })
	}
	set(func(w *space) {
		if done = !w.lowered && !w.absent() && w.first != lastingSpace; done {
			w.lowered, w.Quota.CPU = true, max(use.CPU/2, leastQuota)
		}
	})
	if !done {
		return false
	}
	wait(ctx, e.For)
	set(func(w *space) { w.lowered, w.Quota = false, w.usual })
	return true
}
