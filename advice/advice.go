// Package advice shares an entry's access to the advisor among the pools that it leads.
//
// The advisor handles the questions of an entry one at a time. A question that is sent while
// another one is under way waits there, and the wait counts against the tickets that it
// returns, as nothing tells when they were issued. So an entry sends one question at a time,
// and a pool chooses what to ask when its turn has come. The package does no I/O.
package advice

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/coder/quartz"
)

// Urgency tells how soon a pool needs an answer. A higher one goes first.
type Urgency int

// Urgencies.
const (
	None  Urgency = iota // nothing to ask
	Early                // about a step that could not start yet
	Ready                // about a step that could start
)

// Outcome tells how a turn has ended.
type Outcome int

// Outcomes of a turn.
const (
	Unused   Outcome = iota // no question, or one that was withdrawn
	Answered                // the advisor answered
	Failed                  // the advisor refused the question or did not answer in time
)

// Pause before the next turn after a question that failed. It doubles with each further
// failure, up to maxPause.
const (
	minPause = 100 * time.Millisecond
	maxPause = time.Second
)

// Line grants turns, one at a time. It is safe for concurrent use.
type Line struct {
	clock quartz.Clock

	mu        sync.Mutex
	holder    *Seat   // that has the turn; nil if none has
	urgency   Urgency // of the turn
	recalled  bool    // the holder was asked to release the turn
	grantedAt time.Time
	// waiting has the seats that want a turn, by time of arrival. The holder is not among them.
	waiting []*Seat
	// reached is the time charged to the last holder before its turn. A seat that has not wanted
	// a turn for some time goes on from there: it does not make up for that time.
	reached  time.Duration
	failures int // in a row
	// resumeAt is when the pause after a failure ends; resuming tells that a timer runs for it.
	resumeAt time.Time
	resuming bool
}

// New returns a line without seats.
func New(clock quartz.Clock) *Line { return &Line{clock: clock} }

// Seat is the place of one pool in the line.
type Seat struct {
	line    *Line
	granted func()
	recall  func()
	want    Urgency       // None unless the seat waits
	charged time.Duration // of the seat's turns
}

// Join returns a new seat. Granted is called when the seat is granted a turn that Want did not
// grant, and recall when it should release an Early turn, as another seat has a Ready question.
// Both are called in goroutines of their own, recall at most once in a turn.
func (l *Line) Join(granted, recall func()) *Seat {
	return &Seat{line: l, granted: granted, recall: recall}
}

// Want tells what the pool would ask now, and reports whether it has the turn. The turn lasts
// until Release or Next.
func (s *Seat) Want(u Urgency) bool {
	l := s.line
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder == s {
		return true
	}
	l.enter(s, u)
	return l.grant(s)
}

// Next ends the turn and tells what the pool would ask next. It reports whether the pool has the
// next turn as well: pools share the advisor by time, not by turns.
func (s *Seat) Next(o Outcome, u Urgency) bool {
	l := s.line
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder == s {
		l.end(o)
	}
	l.enter(s, u)
	return l.grant(s)
}

// Failures returns the number of questions that have failed in a row.
func (s *Seat) Failures() int {
	s.line.mu.Lock()
	defer s.line.mu.Unlock()
	return s.line.failures
}

// Release ends the turn. It does nothing if the seat doesn't have it.
func (s *Seat) Release(o Outcome) {
	l := s.line
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder != s {
		return
	}
	l.end(o)
	l.grant(nil)
}

// Leave gives up the seat and its turn.
func (s *Seat) Leave() {
	s.Want(None)
	s.Release(Unused)
}

// end ends the turn; mu is held.
func (l *Line) end(o Outcome) {
	now := l.clock.Now()
	l.holder.charged += now.Sub(l.grantedAt)
	l.holder = nil
	switch o {
	case Answered:
		l.failures = 0
	case Failed:
		l.resumeAt = now.Add(min(minPause<<min(l.failures, 4), maxPause))
		l.failures++
	}
}

// enter makes a seat wait for a turn, or takes it out of those that wait; mu is held.
func (l *Line) enter(s *Seat, u Urgency) {
	switch {
	case u == None:
		l.remove(s)
	case s.want == None:
		s.charged = max(s.charged, l.reached)
		l.waiting = append(l.waiting, s)
	}
	s.want = u
	if l.holder != nil && u > l.urgency && !l.recalled {
		l.recalled = true
		go l.holder.recall()
	}
}

// remove takes a seat out of those that wait; mu is held.
func (l *Line) remove(s *Seat) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w *Seat) bool { return w == s })
	s.want = None
}

// grant gives the turn to the next seat, if there is none that has it, and reports whether it is
// the caller's, which is not called back; mu is held.
func (l *Line) grant(caller *Seat) bool {
	if l.holder != nil || len(l.waiting) == 0 {
		return false
	}
	now := l.clock.Now()
	if wait := l.resumeAt.Sub(now); wait > 0 {
		if !l.resuming {
			l.resuming = true
			l.clock.AfterFunc(wait, l.resume)
		}
		return false
	}
	next := slices.MinFunc(l.waiting, func(a, b *Seat) int {
		return cmp.Or(cmp.Compare(b.want, a.want), cmp.Compare(a.charged, b.charged))
	})
	l.holder, l.urgency, l.recalled, l.grantedAt, l.reached = next, next.want, false, now, next.charged
	l.remove(next)
	if next != caller {
		go next.granted()
	}
	return next == caller
}

// resume grants the turn after a pause.
func (l *Line) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resuming = false
	l.grant(nil)
}
