package admit

import "time"

// Cause tells why work is parked.
type Cause uint8

// Causes of parking.
const (
	TooLarge         Cause = iota // takes more slots than any host has
	RepeatedFailures              // failed on ParkAfterHosts distinct hosts that run other work well
	AttemptsUsed                  // used up its attempts
)

var causeNames = [...]string{"too-large", "failing", "attempts"}

// String returns the cause in the form used by logs and documents.
func (c Cause) String() string { return causeNames[c] }

// ParkAfterHosts is the number of distinct hosts on which work fails before it is
// taken to be at fault itself.
const ParkAfterHosts = 3

// ParkedWork is one line of the parked registry.
type ParkedWork struct {
	ID    string
	Queue string
	Cause Cause
	Since time.Time
	// Hosts are those on which the work failed; empty entries are unused.
	Hosts [ParkAfterHosts]string
}

// Parked records work that is not tried again, and counts failures of work
// that still is. Both are bounded; the oldest line makes room for a new one.
type Parked struct {
	limit   int
	ring    []ParkedWork      // oldest at next once the ring is full
	next    int               // where the next line goes
	failed  map[string]*fails // work that failed and is still tried
	order   []string          // ids in failed by age; ids already dropped may remain
	dropped int64             // lines overwritten since New
}

type fails struct {
	hosts [ParkAfterHosts]string
	n     int // distinct hosts so far
}

// NewParked returns a registry of at most limit lines.
func NewParked(limit int) *Parked {
	return &Parked{limit: limit, failed: map[string]*fails{}}
}

// RecordFailure counts a failure of work on a host; suspect tells that the host fails
// other work too, and such a failure does not count. It returns true when the
// work has been parked.
func (p *Parked) RecordFailure(now time.Time, id, queue, host string, suspect bool) bool {
	if suspect {
		return false
	}
	f := p.failed[id]
	if f == nil {
		f = &fails{}
		p.remember(id, f)
	}
	for _, h := range f.hosts[:f.n] {
		if h == host {
			return false
		}
	}
	f.hosts[f.n] = host
	f.n++
	if f.n < ParkAfterHosts {
		return false
	}
	p.add(ParkedWork{ID: id, Queue: queue, Cause: RepeatedFailures, Since: now, Hosts: f.hosts})
	return true
}

// remember adds a line to the failures; the oldest is forgotten at the limit.
func (p *Parked) remember(id string, f *fails) {
	p.failed[id] = f
	p.order = append(p.order, id)
	for len(p.failed) > p.limit || len(p.order) > 2*p.limit {
		delete(p.failed, p.order[0])
		p.order = p.order[1:]
	}
}

// ClearFailures drops the failures counted for work that has ended.
func (p *Parked) ClearFailures(id string) { delete(p.failed, id) }

// Park records work that is not tried again.
func (p *Parked) Park(now time.Time, id, queue string, cause Cause) {
	p.add(ParkedWork{ID: id, Queue: queue, Cause: cause, Since: now})
}

func (p *Parked) add(e ParkedWork) {
	delete(p.failed, e.ID)
	if len(p.ring) < p.limit {
		p.ring = append(p.ring, e)
		return
	}
	p.ring[p.next] = e
	p.next = (p.next + 1) % p.limit
	p.dropped++
}

// Len returns the number of lines.
func (p *Parked) Len() int { return len(p.ring) }

// Dropped returns the number of lines that made room for others since New.
func (p *Parked) Dropped() int64 { return p.dropped }

// Find returns the line of some work.
func (p *Parked) Find(id string) (ParkedWork, bool) {
	for _, e := range p.ring {
		if e.ID == id {
			return e, true
		}
	}
	return ParkedWork{}, false
}

// All returns a copy of the lines, oldest first.
func (p *Parked) All() []ParkedWork {
	out := make([]ParkedWork, 0, len(p.ring))
	out = append(out, p.ring[p.next:]...)
	return append(out, p.ring[:p.next]...)
}
