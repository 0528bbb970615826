package owner

import (
	"errors"
	"slices"
	"time"

	"shallotpaddle/plat"
)

// doc is a document that the owner writes to the store under one key.
type doc struct {
	key    string
	encode func() []byte
	// rev is the last known revision of the key; 0 if it doesn't exist.
	rev int64
	// version counts the changes of the content; stored is the newest version that
	// the store has acknowledged, at most version.
	version, stored int
	queued          bool // is in writer.queue
	inFlight        bool // a write of it is under way
	// due is when a change by writeLater is queued for writing at the latest; zero if there is none.
	due time.Time
}

// writer holds the documents to be written.
type writer struct {
	queue     []*doc    // changed documents, oldest change first except for writeFirst
	later     []*doc    // changed documents that may wait for another write
	inFlight  int       // number of writes under way, at most maxWrites
	removing  bool      // a removal is under way; nothing is written meanwhile
	notBefore time.Time // of the next write
	failures  int       // failed writes in a row, conflicts not counted
	// startWaits tells that a start is to be written, and promptAt from when on a write of one may be
	// made without the pause after the write before, or beside it.
	startWaits bool
	promptAt   time.Time
}

const (
	// maxDocs is the largest number of documents in one write. A write may have 32
	// conditions and changes in all: each document takes one of each, and the
	// election takes a condition.
	maxDocs = 15
	// maxWrites is the number of writes that may be under way at once. More than one is used only
	// while more documents wait than fit in one write: with one at a time, hundreds of jobs
	// a second wait longer for their records than for their runs.
	maxWrites = 4
	// flushInterval is the shortest time between two writes of one pool: ends that
	// arrive close together share one write.
	flushInterval = 15 * time.Millisecond
	// commitRetryDelay is the pause after a write that failed without a conflict.
	commitRetryDelay = 100 * time.Millisecond
	// promptInterval is the time between two writes that don't wait for the one before, as they tell of
	// a start: an owner that is killed before leaves nothing that tells of it. In a pool with many starts
	// all others share writes: if none waited, there were up to a third more writes.
	promptInterval = 3 * time.Second
	// maxShareWait is for how long a change waits for another write to share. A successor holds a
	// subtask back for longer than its lease if the start is still stored as unanswered.
	maxShareWait = 500 * time.Millisecond
)

// commitResult is the result of a write.
type commitResult struct {
	docs     []*doc
	versions []int    // of docs, as written
	removed  []string // IDs of the jobs whose keys were to be removed
	rev      int64
	items    []plat.Item // the keys in the store, after a conflict
	err      error
	took     time.Duration
	begun    time.Duration // when it was sent, by SinceBoot
}

// markChanged queues a changed document for writing.
func (o *Owner) markChanged(d *doc) {
	d.version++
	d.due = time.Time{}
	if !d.queued {
		d.queued = true
		o.writer.queue = append(o.writer.queue, d)
	}
}

// writeLater has a changed document written with the next write that has room for it, or after
// maxShareWait.
func (o *Owner) writeLater(d *doc) {
	if !d.queued && d.due.IsZero() {
		d.due = o.Clock.Now().Add(maxShareWait)
		o.writer.later = append(o.writer.later, d)
	}
}

// queueLater queues the documents changed by writeLater that can share a write, or are due.
func (o *Owner) queueLater(now time.Time) {
	w := &o.writer
	w.later = slices.DeleteFunc(w.later, func(d *doc) bool {
		if d.due.IsZero() {
			return true // has been queued since
		}
		shares := len(w.queue) > 0 && len(w.queue) < maxDocs
		if !shares && now.Before(d.due) {
			return false
		}
		o.markChanged(d)
		return true
	})
}

// mayPrompt reports whether a start may be written without regard to the write before.
func (w *writer) mayPrompt(now time.Time) bool {
	return w.startWaits && w.failures == 0 && !now.Before(w.promptAt)
}

// flush writes up to maxDocs changed documents. While a write is under way, it does so only if
// that many wait, or for a start.
func (o *Owner) flush(now time.Time) {
	w := &o.writer
	if w.removing || w.inFlight >= maxWrites || now.Before(w.notBefore) && !w.mayPrompt(now) {
		return
	}
	if o.queueLater(now); len(w.queue) == 0 || w.inFlight > 0 && len(w.queue) < maxDocs && !w.mayPrompt(now) {
		return
	}
	docs := w.takeDocs()
	if len(docs) == 0 {
		return
	}
	if w.inFlight > 0 || now.Before(w.notBefore) {
		w.promptAt = now.Add(promptInterval)
	}
	w.startWaits = false
	m := commitResult{docs: docs, begun: o.roundAt}
	t := plat.Txn{Expect: []plat.Condition{{Key: o.ElectionKey, Rev: o.Fence}}}
	for _, d := range m.docs {
		d.queued, d.inFlight = false, true
		m.versions = append(m.versions, d.version)
		t.Expect = append(t.Expect, plat.Condition{Key: d.key, Rev: d.rev})
		t.Puts = append(t.Puts, plat.Put{Key: d.key, Value: d.encode()})
	}
	w.inFlight++
	w.notBefore = now.Add(flushInterval)
	o.Stats.Commits.Inc(1)
	go func() {
		m.rev, m.items, m.err = o.Store.Commit(o.ctx, t)
		m.took = o.Clock.Since(now)
		o.post(m)
	}()
}

// takeDocs removes up to maxDocs documents from the queue. One of which a write is under way stays:
// its revision is not known before that has ended.
func (w *writer) takeDocs() []*doc {
	var docs, rest []*doc
	for i, d := range w.queue {
		if len(docs) == maxDocs {
			rest = append(rest, w.queue[i:]...)
			break
		}
		if d.inFlight {
			rest = append(rest, d)
		} else {
			docs = append(docs, d)
		}
	}
	w.queue = rest
	return docs
}

// handleCommitted handles the result of a write. A failed write is repeated,
// although it may still be applied later: the conditions on the keys' revisions keep
// it from overwriting a newer one.
func (o *Owner) handleCommitted(m commitResult) {
	if len(m.removed) > 0 {
		o.writer.removing = false
	} else {
		o.writer.inFlight--
	}
	for _, d := range m.docs {
		d.inFlight = false
	}
	o.Stats.Commit.Update(m.took.Microseconds())
	if m.err == nil {
		o.writer.failures = 0
		o.noteProof(m.begun)
		o.ages.Note(m.rev, o.Clock.Now())
		o.noteRemoved(m)
		for i, d := range m.docs {
			d.rev = m.rev
			d.stored = max(d.stored, m.versions[i])
			if d == o.voters {
				o.storedVoters(m.versions[i])
			}
		}
		o.ackStoredEnds()
		o.passNeeded = o.passNeeded || o.restartsWait
		return
	}
	o.Stats.CommitsFailed.Inc(1)
	if errors.Is(m.err, plat.ErrConflict) {
		o.adoptRevisions(m.items)
	} else {
		o.writer.failures++
		o.writer.notBefore = o.Clock.Now().Add(commitRetryDelay)
		if o.writer.failures == 1 {
			o.Log.Warn().Str("pool", o.Pool).Int("docs", len(m.docs)).Err(m.err).Msg("write to the store failed; retrying")
		}
	}
	for _, d := range m.docs {
		if !d.queued {
			d.queued = true
			o.writer.queue = append(o.writer.queue, d)
		}
	}
}

// adoptRevisions updates the documents' revisions after a conflict: an earlier write
// without an answer was applied, or another owner has been elected.
func (o *Owner) adoptRevisions(items []plat.Item) {
	revs := make(map[string]int64, len(items))
	for _, it := range items {
		revs[it.Key] = it.Rev
	}
	if revs[o.ElectionKey] != o.Fence {
		o.depose("the store has another owner")
		return
	}
	for _, d := range o.docs() {
		if rev, ok := revs[d.key]; ok {
			d.rev = rev
		}
	}
}

// docs returns all documents of the owner.
func (o *Owner) docs() []*doc {
	out := []*doc{o.roster, o.voters, o.digest, o.agesDoc}
	if o.load != nil {
		out = append(out, &o.load.doc)
	}
	for _, j := range o.jobs {
		out = append(out, &j.doc)
	}
	return out
}
