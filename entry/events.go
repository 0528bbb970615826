package entry

import (
	"sync"
	"time"
)

// maxEvents is the number of decisions kept for Explain.
const maxEvents = 4096

// Event is one decision of an entry with the reason for it.
type Event struct {
	Time  time.Time `json:"time"`
	Entry string    `json:"entry"`
	// Kind and Name say what the decision concerns: a host, pool or job.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// What is the change decided on, with its outcome if it was refused or failed.
	What  string `json:"what"`
	Cause string `json:"cause"`
	// Figure is the measured value that the decision rests on, Limit the bound that
	// it was compared with.
	Figure, Limit float64 `json:",omitempty"`
}

// ring is a ring buffer of the last maxEvents decisions.
type ring struct {
	mu   sync.Mutex
	buf  []Event
	next int // index of the oldest event once the buffer is full
}

func newRing() *ring { return &ring{} }

func (r *ring) add(ev Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.buf) < maxEvents {
		r.buf = append(r.buf, ev)
		return
	}
	r.buf[r.next] = ev
	r.next = (r.next + 1) % maxEvents
}

// find returns the decisions about one host, pool or job, oldest first.
func (r *ring) find(kind, name string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.buf {
		ev := r.buf[(r.next+i)%len(r.buf)]
		if ev.Kind == kind && ev.Name == name {
			out = append(out, ev)
		}
	}
	return out
}

// recordDecision logs a decision and keeps it for Explain.
func (e *Entry) recordDecision(ev Event) {
	ev = e.stamp(ev)
	e.events.add(ev)
	e.log.Info().Str("entry", ev.Entry).Str(ev.Kind, ev.Name).Str("what", ev.What).
		Str("cause", ev.Cause).Float64("figure", ev.Figure).Float64("limit", ev.Limit).Msg("decision")
}

// stamp sets the time of an event and this entry as its origin.
func (e *Entry) stamp(ev Event) Event {
	ev.Time, ev.Entry = e.clock.Now(), e.Name()
	return ev
}
