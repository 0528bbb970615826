package steps

import (
	"slices"
	"time"
)

// Doubt is a run that a worker may have, or may still start, although no owner has heard of it
// since it was ordered.
type Doubt struct {
	Run     int    `json:"run"`
	Worker  string `json:"on"`
	Address string `json:"at"`
	// Born is the start of the incarnation for which the run was ordered, in Unix milliseconds.
	Born int64 `json:"born,omitempty"`
	// LeftMs is for how long, from the moment when it was stored, the run may be at work, and
	// ComesMs for how long its start may be carried out, in milliseconds. A LeftMs of 0 marks a
	// doubt that doesn't hold the subtask back: the run is known, has ended or is refused by its
	// worker, and only a copy of its start may be carried out, by a later incarnation.
	LeftMs  int64 `json:"ms"`
	ComesMs int64 `json:"comes,omitempty"`
}

// OnlyCopy reports whether nothing but a copy of the run's start is in doubt.
func (d *Doubt) OnlyCopy() bool { return d.LeftMs == 0 }

// AddDoubt records a run in doubt, in place of what was known of it, and reports whether that
// was news.
func (t *Task) AddDoubt(d Doubt) bool {
	i := t.doubtIndex(d.Worker, d.Run)
	if i < 0 {
		t.Doubts = append(t.Doubts, d)
		return true
	}
	if t.Doubts[i].LeftMs >= d.LeftMs {
		return false
	}
	t.Doubts[i] = d
	return true
}

// DropDoubt removes a run that is in doubt no more, and reports whether it was.
func (t *Task) DropDoubt(worker string, run int) bool {
	i := t.doubtIndex(worker, run)
	if i >= 0 {
		t.Doubts = slices.Delete(t.Doubts, i, i+1)
	}
	return i >= 0
}

// LeaveCopy records that of a run in doubt only a copy of the start may be carried out, for the given
// time at most, and reports whether that was news.
func (t *Task) LeaveCopy(worker string, run int, comes time.Duration) bool {
	i := t.doubtIndex(worker, run)
	if i < 0 || t.Doubts[i].OnlyCopy() {
		return false
	}
	t.Doubts[i].LeftMs, t.Doubts[i].ComesMs = 0, comes.Milliseconds()
	return true
}

// copiesInDoubt returns what is in doubt once the job has ended: nothing holds the subtask back then,
// but an end that has not been acknowledged yet waits for copies of the starts.
func (t *Task) copiesInDoubt() []Doubt {
	if t.Step.LongRunning {
		return nil
	}
	var out []Doubt
	for _, d := range t.Doubts {
		if d.ComesMs > 0 {
			d.LeftMs = 0
			out = append(out, d)
		}
	}
	return out
}

func (t *Task) doubtIndex(worker string, run int) int {
	return slices.IndexFunc(t.Doubts, func(d Doubt) bool { return d.Worker == worker && d.Run == run })
}

// ShortenDoubt records for how long a run that is in doubt may be at work now, and reports whether
// that is at least step less than recorded.
func (t *Task) ShortenDoubt(worker string, run int, left, step time.Duration) bool {
	i := t.doubtIndex(worker, run)
	if i < 0 || t.Doubts[i].OnlyCopy() || time.Duration(t.Doubts[i].LeftMs)*time.Millisecond-left < step {
		return false
	}
	d := &t.Doubts[i]
	d.LeftMs, d.ComesMs = left.Milliseconds(), max(d.ComesMs+left.Milliseconds()-d.LeftMs, 0)
	return true
}
