package owner

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
	"shallotpaddle/plat"
	"shallotpaddle/policy"
	"shallotpaddle/quota"
	"shallotpaddle/steps"
)

// quotaState is what the owner keeps besides the ledger of grants.
type quotaState struct {
	ledger   *quota.Ledger
	version  *policy.Version // that the ledger has
	listing  bool            // a list of the documents is under way
	listNext time.Time       // when they may be listed again
	// countedAt is when the use was last counted, and writeNext when grants may be written again.
	countedAt, writeNext time.Time
	failures             int // failed writes in a row, conflicts not counted
	// free and total are the resources of the candidates in this pass, free and altogether.
	free, total hosts.Resources
	// waitLogged is when the log last said that a workspace waits.
	waitLogged map[string]time.Time
}

const (
	// quotaApplyTime is within which an operator's write is in force at every entry.
	quotaApplyTime = 3 * time.Second
	// quotaInterval is how often grants are compared with the use outside scheduling passes.
	quotaInterval = 50 * time.Millisecond
	// quotaLogInterval is the shortest time between two log lines on a workspace that waits.
	quotaLogInterval = 10 * time.Second
)

// Messages on quotas to the loop.
type (
	quotaItems  struct{ items []plat.Item }
	quotaListed struct {
		items []plat.Item
		rev   int64
		begun time.Time
		err   error
	}
	quotaWritten struct {
		rev   int64
		items []plat.Item
		begun time.Duration // when it was sent, by SinceBoot
		err   error
	}
)

// SetQuotas gives the owner changed documents of quotas.
func (o *Owner) SetQuotas(items []plat.Item) { o.post(quotaItems{items}) }

// goneAfter is how long after a pool has left the configuration nothing of it can be running: its
// owner may go on by its workers' evidence, and its last order may be late.
func (o *Owner) goneAfter() time.Duration {
	return quotaApplyTime + formerWait + maxOrderDelay + o.longestLease()
}

// updatePolicy gives the ledger the configuration in force, and lists the documents if needed.
func (o *Owner) updatePolicy(now time.Time) {
	q := &o.quotas
	if o.Policy != nil {
		if v := o.Policy(); v != q.version {
			q.version = v
			maps.DeleteFunc(q.waitLogged, func(_ string, at time.Time) bool { return now.Sub(at) >= quotaLogInterval })
			q.ledger.SetPolicy(v, now)
			o.passNeeded = true
		}
	}
	if q.listing || now.Before(q.listNext) || !q.ledger.NeedsList(now) {
		return
	}
	q.listing = true
	go func() {
		items, rev, err := o.Store.List(o.ctx, quota.Prefix)
		o.post(quotaListed{items, rev, now, err})
	}()
}

// handleQuota handles a message on quotas.
func (o *Owner) handleQuota(m any) {
	q, now := &o.quotas, o.Clock.Now()
	switch m := m.(type) {
	case quotaItems:
		for _, it := range m.items {
			o.noteQuotaDocument(q.ledger.Apply(it, now))
			o.passNeeded = o.passNeeded || q.ledger.Concerns(it.Key)
		}
	case quotaListed:
		q.listing, q.listNext = false, now.Add(storeRetryDelay)
		if m.err != nil {
			o.Log.Warn().Str("pool", o.Pool).Err(m.err).Msg("reading the grants of workspaces failed; retrying")
			return
		}
		proven := o.Proven()
		o.noteQuotaDocument(q.ledger.Listed(m.items, m.rev, proven, m.begun, now))
		o.passNeeded = true
		o.Log.Info().Str("pool", o.Pool).Int("documents", len(m.items)).Bool("proven", proven).Int64("rev", m.rev).Msg("grants of workspaces read")
	case quotaWritten:
		o.handleQuotaWritten(m, now)
	}
}

func (o *Owner) noteQuotaDocument(err error) {
	if err != nil {
		o.Log.Error().Str("pool", o.Pool).Err(err).Msg("grants of a workspace are not readable")
	}
}

func (o *Owner) handleQuotaWritten(m quotaWritten, now time.Time) {
	q := &o.quotas
	o.passNeeded = true
	switch {
	case m.err == nil:
		q.failures = 0
		o.noteProof(m.begun)
		q.ledger.Confirmed(m.rev, now)
	case errors.Is(m.err, plat.ErrConflict):
		o.Stats.QuotaConflicts.Inc(1)
		i := slices.IndexFunc(m.items, func(it plat.Item) bool { return it.Key == o.ElectionKey })
		if i < 0 || m.items[i].Rev != o.Fence {
			o.depose("the store has another owner")
			return
		}
		o.noteQuotaDocument(q.ledger.Rejected(m.items, now))
	default:
		o.Stats.QuotaUnanswered.Inc(1)
		if q.failures++; q.failures == 1 {
			o.Log.Warn().Str("pool", o.Pool).Err(m.err).Msg("write of grants failed; retrying")
		}
		q.ledger.Unanswered()
		q.writeNext = now.Add(commitRetryDelay)
	}
}

// beginQuotaPass counts what runs and begins to count what waits for quota.
func (o *Owner) beginQuotaPass(cands []pack.Worker, now time.Time) {
	q := &o.quotas
	if !q.ledger.Active() {
		return
	}
	o.countQuotaUse(now)
	q.ledger.BeginPass(now)
	q.free, q.total = hosts.Resources{}, hosts.Resources{}
	for i := range cands {
		q.free, q.total = plus(q.free, cands[i].Free), plus(q.total, cands[i].Capacity)
	}
}

// countQuotaUse counts each run that a worker may have: those that are placed, and starts
// without an answer that may still be carried out.
func (o *Owner) countQuotaUse(now time.Time) {
	o.quotas.countedAt = now
	l := o.quotas.ledger
	l.BeginCount(!o.takeoverDone, o.unreadCapacity())
	for _, h := range o.hosts {
		for _, p := range h.runs {
			o.useQuota(p.job, p.task)
		}
	}
	for id, list := range o.unanswered {
		h := o.hosts[id]
		for _, u := range list {
			if h != nil {
				if p := h.runs[u.task.ID]; p != nil && p.run == u.run {
					continue
				}
			}
			// A blocked start may have been carried out before: its run is then being stopped.
			if j := o.jobs[u.task.ID.Job]; j != nil && u.mayRunUntil().After(now) && (!u.blocked || u.task.HeldUntil.After(now)) {
				o.useQuota(j, u.task)
			}
		}
	}
}

// unreadCapacity returns the capacity of the workers that may have runs of an earlier owner and
// have not answered, or of whose answer runs are not known yet. It is unlimited while one is not registered.
func (o *Owner) unreadCapacity() hosts.Resources {
	all := hosts.Resources{CPU: math.MaxInt, Mem: math.MaxInt, GPU: math.MaxInt}
	sum := hosts.Resources{}
	if !o.workersKnown {
		return all
	}
	for _, h := range o.hosts {
		switch {
		case h.answered && !h.awaitsJobs, !h.answered && !o.mayHaveEarlierRuns(h):
		case h.worker.Capacity == hosts.Resources{}:
			return all
		default:
			sum = plus(sum, h.worker.Capacity)
		}
	}
	return sum
}

func resourcesOf(s *steps.Step) hosts.Resources {
	return hosts.Resources{CPU: s.CPU, Mem: s.Mem, GPU: s.GPU}
}

func (o *Owner) useQuota(j *job, t *steps.Task) {
	if w := j.progress.Job.Workspace; w != "" && o.quotas.ledger.Active() {
		o.quotas.ledger.Use(w, resourcesOf(t.Step))
	}
}

// fitsQuota reports whether the quota of a job's workspace allows a start.
func (o *Owner) fitsQuota(j *job, t *steps.Task, demand hosts.Resources, gang bool, now time.Time) bool {
	w := j.progress.Job.Workspace
	switch {
	case w == "":
		return true
	case o.turnOf(j, t) != nil:
		return o.quotas.ledger.FitsFirst(w, demand, gang, now)
	default:
		return o.quotas.ledger.Fits(w, demand, gang, now)
	}
}

// mayWantQuota reports whether a subtask that waits for quota could start with more of it, beside
// what waits already, or has waited for too long.
func (o *Owner) mayWantQuota(j *job, t *steps.Task, d *pack.Demand) bool {
	if o.turnOf(j, t) != nil {
		return true
	}
	w, room := plus(o.quotas.ledger.Wanted(j.progress.Job.Workspace), d.Resources), o.quotas.free
	if d.Fills {
		room.CPU = o.quotas.total.CPU
	}
	return w.CPU <= room.CPU && w.Mem <= room.Mem && w.GPU <= room.GPU
}

// wantQuota notes that a start waits for quota.
func (o *Owner) wantQuota(j *job, demand hosts.Resources, gang bool) {
	q, w, now := &o.quotas, j.progress.Job.Workspace, o.Clock.Now()
	possible := q.ledger.Want(w, demand, gang)
	if now.Sub(q.waitLogged[w]) < quotaLogInterval {
		return
	}
	if q.waitLogged == nil {
		q.waitLogged = map[string]time.Time{}
	}
	q.waitLogged[w] = now
	o.Stats.QuotaWaits.Inc(1)
	o.Log.Info().Str("pool", o.Pool).Str("workspace", w).Str("job", j.id()).Bool("possible", possible).Int("cpu", demand.CPU).Int("mem", demand.Mem).
		Int("gpu", demand.GPU).Msg("start waits for the quota of its workspace")
}

// takeQuota reports whether the quota of a job's workspace allows starts that only make sense
// together, and notes that they wait if not.
func (o *Owner) takeQuota(j *job, first *steps.Task, now time.Time, demands ...*pack.Demand) bool {
	w := j.progress.Job.Workspace
	if w == "" || !o.quotas.ledger.Active() {
		return true
	}
	sum, gang := sumOf(demands), len(demands) > 1
	if o.fitsQuota(j, first, sum, gang, now) {
		return true
	}
	if !o.noteNoQuota(j, first, sum, gang) {
		o.wantQuota(j, sum, gang)
	}
	return false
}

// writeQuotas writes the grants that are to change.
func (o *Owner) writeQuotas(now time.Time) {
	q := &o.quotas
	if !q.ledger.Active() || now.Before(q.writeNext) {
		return
	}
	if !q.countedAt.Equal(now) {
		if now.Sub(q.countedAt) < quotaInterval {
			return
		}
		o.countQuotaUse(now)
	}
	writes := q.ledger.Next(now)
	if len(writes) == 0 {
		return
	}
	t := plat.Txn{Expect: []plat.Condition{{Key: o.ElectionKey, Rev: o.Fence}}}
	for _, w := range writes {
		t.Expect = append(t.Expect, plat.Condition{Key: w.Key, Rev: w.Rev})
		if w.Remove {
			t.Remove = append(t.Remove, w.Key)
		} else {
			t.Puts = append(t.Puts, plat.Put{Key: w.Key, Value: w.Value})
		}
	}
	o.Stats.QuotaWrites.Inc(1)
	begun := o.roundAt
	go func() {
		rev, items, err := o.Store.Commit(o.ctx, t)
		o.post(quotaWritten{rev, items, begun, err})
	}()
}
