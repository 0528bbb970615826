package owner

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"shallotpaddle/plat"
	"shallotpaddle/runs"
	"shallotpaddle/shift"
	"shallotpaddle/spill"
	"shallotpaddle/steps"
)

// job is one accepted job of the pool. Its doc is the stored record of the job's
// progress.
type job struct {
	doc
	progress *steps.Progress
	// acceptedInTerm is true if the job was accepted after the election, so that no
	// earlier owner can have started any of it.
	acceptedInTerm bool
	// activeTasks is the number of subtasks that have room reserved on a worker.
	activeTasks int
	lastStart   time.Time // of a run of the job
	endedAt     time.Time // when this owner learned that the job has ended
	// endedRev is the revision of a record, read at the takeover, that the job has ended; 0 without one.
	endedRev int64
	// longRunning is true if the job's subtasks run until the job is cancelled.
	longRunning bool
	// restartVersion is the version of the record that lists all void runs and those under
	// which workers crashed. Their subtasks don't start again before it is stored.
	restartVersion int
	// criticalPath is the greatest length of the job's critical path so far.
	criticalPath time.Duration
	// excess tells that the job is beyond the entitlement of its workspace, and counted that it
	// was compared with it.
	excess, counted bool
	class           int // see pack.Class, in the last scheduling pass
	// need is the memory that the job takes. The job has been held since
	// heldAt, and was put back as often as turn tells.
	need   spill.Need
	heldAt time.Time
	turn   int
	// advice has the advisor's answers, by step.
	advice map[runs.Step]*stepAdvice
}

func (j *job) id() string { return j.progress.Job.ID }

// restore loads the state of the pool and returns the revision from which to
// watch its jobs. It retries until it succeeds or the context ends.
func (o *Owner) restore(ctx context.Context) (int64, error) {
	for {
		rev, err := o.loadState(ctx)
		if err == nil {
			o.Log.Info().Str("pool", o.Pool).Int64("fence", o.Fence).Int("term", o.Term).
				Int("jobs", len(o.openJobs)).Int("hosts", len(o.hosts)).Dur("took", o.Clock.Since(o.startedAt)).Msg("owner took over the pool")
			return rev, nil
		}
		o.Log.Warn().Str("pool", o.Pool).Err(err).Msg("reading the state of the pool failed; retrying")
		o.sleep(ctx, storeRetryDelay)
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
}

func (o *Owner) loadState(ctx context.Context) (int64, error) {
	states, _, err := o.Store.List(ctx, statePrefix(o.Pool))
	if err != nil {
		return 0, err
	}
	if err := o.readRoster(ctx); err != nil {
		return 0, err
	}
	if err := o.readVoters(ctx); err != nil {
		return 0, err
	}
	plan, err := o.ReadPlan(ctx)
	if err != nil {
		return 0, err
	}
	o.applyFleetPlan(plan)
	byKey := make(map[string]plat.Item, len(states))
	for _, it := range states {
		byKey[it.Key] = it
	}
	o.recorded = byKey
	rev, err := o.eachJobPage(ctx, func(items []plat.Item) {
		for _, it := range items {
			o.handleItem(it, false)
		}
	})
	o.recorded = nil
	if err != nil {
		return 0, err
	}
	for id := range o.cancelRequests {
		o.cancelJob(id)
	}
	return rev, nil
}

// runsPerTerm is the number of run numbers of a subtask in each term. It is more
// than one owner can use, so that a later owner's numbers are always higher.
const runsPerTerm = 1000

// restoreJob restores the recorded progress of a job. Its subtasks don't start
// until the takeover is done: an earlier owner's runs may be active on any worker.
func (o *Owner) restoreJob(j *job, state plat.Item) {
	if state.Key != "" {
		j.rev = state.Rev
		var r steps.Record
		if err := json.Unmarshal(state.Value, &r); err != nil {
			o.Log.Error().Str("job", j.id()).Err(err).Msg("recorded progress of the job is not readable")
		} else {
			j.progress.Restore(r)
			o.delayRestarts(j)
			o.restoreDoubts(j)
		}
	}
	if j.progress.Outcome != steps.Open {
		o.closeJob(j)
		j.endedRev = state.Rev
	}
}

// handleItem adds a job or applies a cancellation that an entry has written.
// watched is false while the state is loaded: cancellations are then applied at
// the end, after the recorded progress.
func (o *Owner) handleItem(it plat.Item, watched bool) {
	id, cancel := splitKey(o.Pool, it.Key)
	if r, ok := o.removed[id]; it.Deleted || ok && it.Rev <= r.rev {
		return // only owners remove jobs
	}
	if cancel {
		r, known := o.cancelRequests[id]
		if !known {
			r.since = o.Clock.Now()
		}
		r.rev = max(r.rev, it.Rev)
		o.cancelRequests[id] = r
		if watched {
			o.cancelJob(id)
		}
		return
	}
	if o.jobs[id] != nil {
		return
	}
	doc, err := decodeJob(id, it.Value)
	if err != nil {
		o.Log.Error().Str("job", id).Err(err).Msg("stored job is not readable")
		return
	}
	_, recorded := o.recorded[StateKey(o.Pool, id)]
	o.holdOrLeave(doc, len(it.Value), it.Rev > o.Fence && (watched || o.Proven()), recorded)
	if _, early := o.cancelRequests[id]; early && watched {
		o.cancelJob(id)
	}
}

// addJob adds a job to the open ones. fresh is true if the job was accepted after
// the election, and certainly before any later one.
func (o *Owner) addJob(doc *steps.Job, fresh bool) *job {
	j := o.newJob(doc, fresh)
	if fresh && doc.Repetitions == 0 && !j.longRunning {
		o.recordInflow(j)
	}
	return j
}

// newJob does the same without counting the job as one that has just arrived.
func (o *Owner) newJob(doc *steps.Job, fresh bool) *job {
	j := &job{progress: steps.NewProgress(doc), acceptedInTerm: fresh, longRunning: doc.LongRunning(), heldAt: o.Clock.Now()}
	j.key = StateKey(o.Pool, doc.ID)
	j.encode = func() []byte {
		b, err := json.Marshal(j.progress.Record())
		if err != nil {
			o.Log.Error().Str("job", doc.ID).Err(err).Msg("encoding the progress of the job failed")
		}
		return b
	}
	o.jobs[doc.ID] = j
	at, _ := slices.BinarySearchFunc(o.openJobs, j, compareJobs)
	o.openJobs = slices.Insert(o.openJobs, at, j)
	o.Stats.Jobs.Inc(1)
	o.passNeeded = true
	o.hadJobs = o.hadJobs || !j.longRunning
	o.Log.Info().Str("job", doc.ID).Str("pool", o.Pool).Str("queue", doc.Queue).Int("steps", len(doc.Steps)).
		Bool("fresh", fresh).Int64("ageMs", o.Clock.Now().UnixMilli()-doc.Accepted).Msg("job added")
	return j
}

// recordInflow adds a job to the measured inflow of its queue, and to the demand.
func (o *Owner) recordInflow(j *job) {
	work := 0.0
	for i := range j.progress.Job.Steps {
		s := &j.progress.Job.Steps[i]
		work += float64(s.Count*o.shareCPU(s)) * o.expectedRunTime(j, s).Seconds()
	}
	now, queue := o.Clock.Now(), j.progress.Job.Queue
	f := o.inflows[queue]
	if f == nil {
		f = &shift.Inflow{}
		o.inflows[queue] = f
	}
	age := max(time.Duration(now.UnixMilli()-j.progress.Job.Accepted)*time.Millisecond, 0)
	f.Add(now.Add(-age), shift.WorkWithinHorizon(work, o.schedulingView(j).Remaining))
	o.demand = max(o.demand+o.jobCPU(j, now), o.arrivingCPU(now))
}

// arrivingCPU returns the CPU, in thousandths of a core, of the jobs that are
// expected to arrive within shift.Horizon.
func (o *Owner) arrivingCPU(now time.Time) int {
	n := 0
	for _, f := range o.inflows {
		n += f.ForecastCPU(now, shift.Horizon)
	}
	return n
}

// compareJobs orders jobs by rank, then by time of acceptance, then by ID.
func compareJobs(a, b *job) int {
	x, y := a.progress.Job, b.progress.Job
	switch {
	case x.Rank != y.Rank:
		return x.Rank - y.Rank
	case x.Accepted != y.Accepted:
		return int(x.Accepted - y.Accepted)
	case x.ID < y.ID:
		return -1
	case x.ID > y.ID:
		return 1
	default:
		return 0
	}
}

// cancelJob ends an open job that its caller has cancelled.
func (o *Owner) cancelJob(id string) {
	j := o.jobs[id]
	if j == nil {
		o.spilled.Want(id) // its record must be written
		return
	}
	if j.progress.Outcome != steps.Open {
		return
	}
	o.Stats.Cancels.Inc(1)
	j.progress.Outcome = steps.Cancelled
	o.Log.Info().Str("job", id).Str("pool", o.Pool).Int("active", j.activeTasks).Msg("job cancelled")
	o.finishJob(j)
}

// finishJob records the end of a job and stops its remaining runs.
func (o *Owner) finishJob(j *job) {
	o.markChanged(&j.doc)
	o.writeFirst(&j.doc)
	j.progress.Each(func(t *steps.Task) { o.stopTask(t) })
	o.closeJob(j)
	o.passNeeded = true
}

// writeFirst moves a document to the head of the write queue: a caller waits for it, or
// nobody could learn later what it says.
func (o *Owner) writeFirst(d *doc) {
	q := o.writer.queue
	if i := slices.Index(q, d); i > 0 {
		copy(q[1:i+1], q[:i])
		q[0] = d
	}
}

// closeJob removes a job from the open ones.
func (o *Owner) closeJob(j *job) {
	j.endedAt = o.Clock.Now()
	if i := slices.Index(o.openJobs, j); i >= 0 {
		o.openJobs = slices.Delete(o.openJobs, i, i+1)
	}
	o.release(j)
}

// handleEnd records the end of a run that a worker has reported.
func (o *Owner) handleEnd(h *host, e runs.End) {
	o.Stats.Ends.Inc(1)
	if e.Outcome == runs.Failed {
		o.Stats.EndsFailed.Inc(1)
	}
	j := o.jobs[e.Task.Job]
	if j == nil {
		h.unacked = append(h.unacked, pendingAck{number: e.Number})
		return
	}
	t := j.progress.Task(e.Task)
	if t == nil {
		h.unacked = append(h.unacked, pendingAck{number: e.Number})
		return
	}
	if p := h.runs[e.Task]; p != nil && p.run == e.Run {
		if e.Outcome == runs.Done && e.Checkpoint == "" {
			o.noteWorkDone(j, t.Step, o.Clock.Now())
			o.recordRunTime(p, o.Clock.Now())
		}
		if p.startInFlight() {
			o.recordUnanswered(h, p) // a try that is under way may start the run again
		}
		o.freeRoom(h, p)
	}
	if !t.Step.LongRunning {
		o.recordHealth(h, e.Outcome, o.Clock.Now())
	}
	outcomeBefore := j.progress.Outcome
	t.Run = max(t.Run, e.Run)
	if e.Outcome == runs.Failed {
		t.AvoidWorker = h.id
	}
	o.retractCrash(j, t, e.Run)
	j.progress.RecordEnd(t, e.Run, e.Outcome, e.Checkpoint)
	o.Log.Info().Str("job", j.id()).Str("task", e.Task.String()).Int("run", e.Run).Str("host", h.id).
		Str("how", string(e.Outcome)).Int("fails", len(t.FailedRuns)).Int64("number", e.Number).Msg("run ended")
	o.passNeeded = true
	if e.Outcome == runs.Done || e.Outcome == runs.Failed || e.Checkpoint != "" {
		o.markChanged(&j.doc)
	}
	h.unacked = append(h.unacked, pendingAck{number: e.Number, job: j, task: t, version: j.version, notBefore: lateStartUntil(t, e)})
	o.digestDue = o.digestDue || h.releaseTask != 0
	if t.Phase == steps.Finished {
		o.stopTask(t)
	}
	if outcomeBefore == steps.Open && j.progress.Outcome != steps.Open {
		o.logJobEnd(j)
		o.finishJob(j)
	}
}

func (o *Owner) logJobEnd(j *job) {
	o.Log.Info().Str("job", j.id()).Str("pool", o.Pool).Str("state", string(j.progress.Outcome)).
		Int64("ageMs", o.Clock.Now().UnixMilli()-j.progress.Job.Accepted).Msg("job ended")
}

// removal is the revision of the store at which a job was removed, and when that was heard of.
type removal struct {
	rev int64
	at  time.Time
}

// removalMemory is for how long removed jobs are remembered: longer than a list of all jobs takes
// that was begun before the removal and still has them.
const removalMemory = time.Minute

// noteRemoved drops jobs that have been removed from the store, and remembers the removal.
func (o *Owner) noteRemoved(m commitResult) {
	for _, id := range m.removed {
		if j := o.jobs[id]; j != nil {
			o.spilled.Free(j.need)
		}
		delete(o.jobs, id)
		delete(o.cancelRequests, id)
		o.removed[id] = removal{m.rev, o.Clock.Now()}
	}
}

// forgetRemoved drops the removals that no list can miss any more.
func (o *Owner) forgetRemoved(now time.Time) {
	maps.DeleteFunc(o.removed, func(_ string, r removal) bool { return now.Sub(r.at) > removalMemory })
}

// removalDelay is how long an ended job is kept beyond Bounds.StatusRetention.
const removalDelay = 10 * time.Second

// maxRemovals is the largest number of jobs in one removal: each has four keys.
const maxRemovals = 7

// removeEndedJobs removes jobs that ended long ago from the store and from memory, and
// cancellations that were stored after their jobs had been removed.
func (o *Owner) removeEndedJobs(now time.Time) {
	if o.writer.inFlight > 0 || o.writer.removing || len(o.writer.queue) > 0 || now.Before(o.writer.notBefore) {
		return
	}
	t := plat.Txn{Expect: []plat.Condition{{Key: o.ElectionKey, Rev: o.Fence}}}
	keep := o.endedKept()
	var removed []string
	for id, j := range o.jobs {
		if j.endedAt.IsZero() || !j.due.IsZero() || j.activeTasks > 0 || now.Sub(j.endedAt) < keep && !o.writtenBefore(j.endedRev, now) {
			continue
		}
		removed = append(removed, id)
		t.Remove = append(t.Remove, JobKey(o.Pool, id), j.key, CancelKey(o.Pool, id), FormerCancelKey(o.Pool, id))
		if len(removed) >= maxRemovals {
			break
		}
	}
	for id, r := range o.cancelRequests {
		if len(removed) >= maxRemovals {
			break
		}
		if o.jobs[id] == nil && !o.spilled.Waits(id) && !o.spilled.More() && (now.Sub(r.since) >= keep || o.writtenBefore(r.rev, now)) {
			removed = append(removed, id)
			t.Remove = append(t.Remove, CancelKey(o.Pool, id), FormerCancelKey(o.Pool, id))
		}
	}
	if len(removed) == 0 {
		return
	}
	o.writer.removing = true
	go func() {
		rev, items, err := o.Store.Commit(o.ctx, t)
		o.post(commitResult{removed: removed, rev: rev, items: items, err: err})
	}()
}
