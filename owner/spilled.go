package owner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"shallotpaddle/plat"
	"shallotpaddle/spill"
	"shallotpaddle/steps"
)

const (
	// maxLoads is the number of jobs that are read from the store at once.
	maxLoads = 4
	// listInterval is the shortest time between two lists of all jobs for those that are not known.
	listInterval = 10 * time.Second
	// idleTurn is how long a job is held that doesn't begin while others of its class wait for room,
	// and idlePart the part of such jobs that are put back at once: no worker may fit them.
	idleTurn = 10 * time.Second
	idlePart = 4
)

var errNoJob = errors.New("the store does not have the job")

// spilledJobs are the jobs that are left in the store, and what is known of them.
type spilledJobs struct {
	*spill.Jobs
	loading  int // reads under way
	counted  int // jobs that wait, in the metric
	listing  bool
	listedAt time.Time
	// reported has the workers, by job ID, that have reported runs or ends of a job before it was
	// loaded. It doesn't start before each has reported again.
	reported map[string]map[*host]bool
	// heldAt is when a job of each class was last loaded.
	heldAt   map[spill.Class]time.Time
	loggedAt time.Time
}

// jobLoaded is the result of reading a job that was left in the store.
type jobLoaded struct {
	job  spill.Job
	item plat.Item
	err  error
}

// jobsListed tells that all jobs have been listed again.
type jobsListed struct{ err error }

// decodeJob decodes a stored job.
func decodeJob(id string, value []byte) (*steps.Job, error) {
	var doc steps.Job
	if err := json.Unmarshal(value, &doc); err != nil {
		return nil, err
	}
	if err := doc.Check(); err != nil {
		return nil, err
	}
	if doc.ID != id {
		return nil, errID
	}
	return &doc, nil
}

// holdOrLeave adds a job that was read, or leaves it in the store if there is no room for it. One of
// which an earlier owner has recorded anything is added in any case: workers may have its runs.
func (o *Owner) holdOrLeave(doc *steps.Job, length int, fresh, recorded bool) {
	need := spill.NeedOf(doc, length)
	if o.spilled.Waits(doc.ID) {
		return
	}
	if o.spilled.Hold(need, recorded) {
		j := o.addJob(doc, fresh)
		j.need = need
		if o.recorded != nil {
			o.restoreJob(j, o.recorded[j.key])
		}
		return
	}
	o.spilled.Leave(spill.Job{
		ID: doc.ID, Queue: doc.Queue, Need: need, Rank: doc.Rank, Accepted: doc.Accepted, Scheduled: doc.Repetitions > 0, Fresh: fresh,
	})
	o.countSpilled()
	o.hadJobs = o.hadJobs || !doc.LongRunning()
	if now := o.Clock.Now(); now.Sub(o.spilled.loggedAt) >= time.Second {
		o.spilled.loggedAt = now
		o.Log.Info().Str("job", doc.ID).Str("pool", o.Pool).Str("queue", doc.Queue).Int("bytes", need.Bytes).Int("waiting", o.spilled.Waiting()).Msg("no room for the job in memory; it waits in the store")
	}
}

// loadSpilled reads jobs from the store for which there is room.
func (o *Owner) loadSpilled(now time.Time) {
	if o.spilled.Waiting() > 0 {
		o.putBackIdle(now)
	}
	for _, j := range o.spilled.Next(maxLoads-o.spilled.loading, now) {
		o.spilled.loading++
		go func() {
			m := jobLoaded{job: j, err: errNoJob}
			key := JobKey(o.Pool, j.ID)
			items, _, err := o.Store.List(o.ctx, key)
			if err != nil {
				m.err = err
			}
			for _, it := range items {
				if it.Key == key && !it.Deleted {
					m.item, m.err = it, nil
				}
			}
			o.post(m)
		}()
	}
	if o.spilled.ListDue() && !o.spilled.listing && now.Sub(o.spilled.listedAt) >= listInterval {
		o.spilled.listing, o.spilled.listedAt = true, now
		o.spilled.Listing()
		go func() {
			_, err := o.eachJobPage(o.ctx, o.postItems)
			o.post(jobsListed{err})
		}()
	}
}

// countSpilled updates the metric of the jobs that wait.
func (o *Owner) countSpilled() {
	o.Stats.Spilled.Inc(int64(o.spilled.Waiting() - o.spilled.counted))
	o.spilled.counted = o.spilled.Waiting()
}

// forgetSpilled gives the room of all jobs back as the owner ends.
func (o *Owner) forgetSpilled() {
	o.spilled.FreeAll()
	o.Stats.Spilled.Dec(int64(o.spilled.counted))
}

// handleListed handles the end of a list of all jobs.
func (o *Owner) handleListed(m jobsListed) {
	o.spilled.listing = false
	if m.err != nil {
		o.spilled.ListFailed()
	}
	o.Log.Info().Str("pool", o.Pool).Int("waiting", o.spilled.Waiting()).Bool("more", o.spilled.More()).Err(m.err).Msg("jobs that wait in the store listed again")
}

// handleLoaded adds a job that was left in the store.
func (o *Owner) handleLoaded(m jobLoaded) {
	o.spilled.loading--
	id := m.job.ID
	var doc *steps.Job
	err := m.err
	if err == nil {
		doc, err = decodeJob(id, m.item.Value)
	}
	if m.err != nil && !errors.Is(m.err, errNoJob) {
		o.spilled.Failed(id, o.Clock.Now().Add(storeRetryDelay))
		return
	}
	o.spilled.Loaded(id)
	o.spilled.Free(m.job.Need)
	o.countSpilled()
	if err != nil {
		delete(o.spilled.reported, id)
		o.removed[id] = removal{m.item.Rev, o.Clock.Now()}
		o.Log.Error().Str("job", id).Str("pool", o.Pool).Err(err).Msg("job that was left in the store is not readable")
		return
	}
	j := o.newJob(doc, m.job.Fresh)
	j.need, j.turn = spill.NeedOf(doc, len(m.item.Value)), m.job.Turn
	o.spilled.Hold(j.need, true)
	o.spilled.heldAt[j.need.Class] = j.heldAt
	if o.lossesRecorded && !j.acceptedInTerm {
		o.recordLossesOf(j, j.heldAt)
	}
	if _, cancelled := o.cancelRequests[id]; cancelled {
		o.cancelJob(id)
	}
}

// putBackIdle puts jobs back that have not begun for long, while others wait for their room. One that is
// first in line while smaller subtasks are started stays, as its wait would begin anew.
func (o *Owner) putBackIdle(now time.Time) {
	for _, c := range spill.Classes {
		if !o.spilled.Crowded(c) || now.Sub(o.spilled.heldAt[c]) < idleTurn {
			continue
		}
		var idle []*job
		for _, j := range o.openJobs {
			if j.need.Class == c && now.Sub(j.heldAt) >= idleTurn && j.neverBegun() && len(o.spilled.reported[j.id()]) == 0 && !o.starve.waitsFor(j) {
				idle = append(idle, j)
			}
		}
		slices.SortStableFunc(idle, func(a, b *job) int { return a.heldAt.Compare(b.heldAt) })
		for _, j := range idle[:(len(idle)+idlePart-1)/idlePart] {
			o.putBack(j)
		}
		o.spilled.heldAt[c] = now
	}
}

// neverBegun reports whether nothing of a job was ever recorded or started.
func (j *job) neverBegun() bool {
	return j.rev == 0 && j.version == 0 && j.due.IsZero() && j.activeTasks == 0 && j.progress.Untouched()
}

// putBack leaves a job in the store that was held.
func (o *Owner) putBack(j *job) {
	doc := j.progress.Job
	o.openJobs = slices.DeleteFunc(o.openJobs, func(other *job) bool { return other == j })
	delete(o.jobs, doc.ID)
	o.spilled.Free(j.need)
	o.spilled.Leave(spill.Job{
		ID: doc.ID, Queue: doc.Queue, Need: j.need, Rank: doc.Rank, Accepted: doc.Accepted, Scheduled: doc.Repetitions > 0, Fresh: j.acceptedInTerm, Turn: j.turn + 1,
	})
	o.Log.Info().Str("job", doc.ID).Str("pool", o.Pool).Dur("held", o.Clock.Since(j.heldAt)).Msg("job has not begun; it waits in the store for its next turn")
}

// release gives the room of a job back that has ended, but for what it takes until it is removed. Once it
// has no run any more, its texts are dropped.
func (o *Owner) release(j *job) {
	states := 0
	j.progress.Each(func(*steps.Task) { states++ })
	o.spilled.Free(j.need)
	j.need.Bytes = spill.EndedBytes(j.progress.Job, states)
	o.spilled.Hold(j.need, true)
	if j.activeTasks == 0 {
		j.progress.Job.Trim()
	}
}

// awaitSpilled reports whether a worker has reported a run, or the end of one, of a job that is left in
// the store. The job is loaded, and the worker asked again; until then it keeps the run and its end.
func (o *Owner) awaitSpilled(h *host, id string) bool {
	if o.jobs[id] != nil {
		return false
	}
	if _, removed := o.removed[id]; removed || !o.spilled.Want(id) {
		return false
	}
	if o.spilled.reported[id] == nil {
		o.spilled.reported[id] = map[*host]bool{}
	}
	o.spilled.reported[id][h] = true
	h.awaitsJobs = true
	o.passNeeded = true
	return true
}

// noteReported records that a worker has reported, by a poll that was sent at a time, whatever it has
// of jobs that had been loaded by then.
func (o *Owner) noteReported(h *host, sent time.Time) {
	for id, from := range o.spilled.reported {
		j := o.jobs[id]
		if j == nil || !sent.After(j.heldAt) {
			continue
		}
		delete(from, h)
		for other := range from {
			if o.hosts[other.id] != other {
				delete(from, other) // its runs are over
			}
		}
		if len(from) == 0 {
			delete(o.spilled.reported, id)
			o.passNeeded = true
		}
	}
}

// eachJobPage calls f for each page of the pool's jobs and cancellations, and returns the revision to
// watch from. Not all of them may fit in memory.
func (o *Owner) eachJobPage(ctx context.Context, f func([]plat.Item)) (int64, error) {
	if o.Store.Pages != nil {
		return o.Store.Pages(ctx, JobPrefix(o.Pool), f)
	}
	items, rev, err := o.Store.List(ctx, JobPrefix(o.Pool))
	if err == nil {
		f(items)
	}
	return rev, err
}

// postItems posts items that were read by a goroutine that may wait, and returns once the loop has
// handled them.
func (o *Owner) postItems(items []plat.Item) {
	if len(items) == 0 {
		return
	}
	o.awaitProof(o.ctx)
	handled := make(chan struct{})
	o.post(itemsWritten{items, handled})
	select {
	case <-handled:
	case <-o.done:
	}
}
