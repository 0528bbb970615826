package owner

import (
	"errors"
	"time"

	"shallotpaddle/plat"
)

// doc is one key that the owner writes.
type doc struct {
	key    string
	encode func() []byte
	// rev is the key's revision as last known; 0 if it doesn't exist.
	rev int64
	// version counts the changes of the content; stored is the newest one that
	// the store has acknowledged, never above version.
	version, stored int
	queued          bool
}

// writer holds what is to be written.
type writer struct {
	queue     []*doc // changed, oldest first
	busy      bool   // a write is under way
	notBefore time.Time
	failures  int // writes in a row
}

const (
	// maxDocs is the most keys of one write: each takes a condition and a
	// change of the 32 that a write may have, beside the election's condition.
	maxDocs = 15
	// flushInterval is the shortest pause between two writes of one pool; ends that
	// come close together share one.
	flushInterval = 15 * time.Millisecond
	// commitRetryDelay is the pause after a write that was refused or not answered.
	commitRetryDelay = 100 * time.Millisecond
)

// commitResult is the word on a write.
type commitResult struct {
	docs     []*doc
	versions []int
	rev      int64
	items    []plat.Item
	err      error
	took     time.Duration
}

// markChanged marks a document as changed.
func (o *Owner) markChanged(d *doc) {
	d.version++
	if !d.queued {
		d.queued = true
		o.writer.queue = append(o.writer.queue, d)
	}
}

// flush writes what has changed, one write at a time.
func (o *Owner) flush(now time.Time) {
	w := &o.writer
	if w.busy || len(w.queue) == 0 || now.Before(w.notBefore) {
		return
	}
	n := min(len(w.queue), maxDocs)
	m := commitResult{docs: w.queue[:n:n]}
	w.queue = append([]*doc(nil), w.queue[n:]...)
	t := plat.Txn{Expect: []plat.Condition{{Key: o.ElectionKey, Rev: o.Fence}}}
	for _, d := range m.docs {
		d.queued = false
		m.versions = append(m.versions, d.version)
		t.Expect = append(t.Expect, plat.Condition{Key: d.key, Rev: d.rev})
		t.Puts = append(t.Puts, plat.Put{Key: d.key, Value: d.encode()})
	}
	w.busy = true
	w.notBefore = now.Add(flushInterval)
	o.Stats.Commits.Inc(1)
	go func() {
		m.rev, m.items, m.err = o.Store.Commit(o.ctx, t)
		m.took = o.Clock.Since(now)
		o.post(m)
	}()
}

// handleCommitted takes in the word on a write. Without one, the write may still
// land: the condition on each key's revision keeps it from undoing a newer one.
func (o *Owner) handleCommitted(m commitResult) {
	o.writer.busy = false
	o.Stats.Commit.Update(m.took.Microseconds())
	if m.err == nil {
		o.writer.failures = 0
		for i, d := range m.docs {
			d.rev = m.rev
			d.stored = max(d.stored, m.versions[i])
		}
		o.ackStoredEnds()
		return
	}
	o.Stats.CommitsFailed.Inc(1)
	if errors.Is(m.err, plat.ErrConflict) {
		o.adoptRevisions(m.items)
	} else {
		o.writer.failures++
		o.writer.notBefore = o.Clock.Now().Add(commitRetryDelay)
		if o.writer.failures == 1 {
			o.Log.Warn().Str("pool", o.Pool).Int("docs", len(m.docs)).Err(m.err).Msg("write failed")
		}
	}
	for _, d := range m.docs {
		if !d.queued {
			d.queued = true
			o.writer.queue = append(o.writer.queue, d)
		}
	}
}

// adoptRevisions takes in the keys as they are after a write was refused: an
// earlier write without an answer has landed, or another owner was elected.
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

// docs returns every document of the owner.
func (o *Owner) docs() []*doc {
	out := []*doc{o.roster, o.digest}
	for _, j := range o.jobs {
		out = append(out, &j.doc)
	}
	return out
}
