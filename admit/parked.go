package admit

import "time"

// Cause is the reason why work is parked, that is, not retried any more.
type Cause uint8

// Causes for which work is parked.
const (
	TooLarge         Cause = iota // needs more slots than any host has
	RepeatedFailures              // failed on ParkAfterHosts distinct hosts on which other work succeeds
	AttemptsUsed                  // no attempts left
)

var causeNames = [...]string{"too-large", "failing", "attempts"}

// String returns the name of the cause in logs and documents.
func (c Cause) String() string { return causeNames[c] }

// ParkAfterHosts is the number of distinct hosts on which work fails before the
// work itself, not the hosts, is considered faulty.
const ParkAfterHosts = 3

// ParkedWork is one entry of the registry.
type ParkedWork struct {
	ID    string
	Queue string
	Cause Cause
	Since time.Time
	// Hosts are the hosts on which the work failed; unused elements are empty.
	Hosts [ParkAfterHosts]string
}

// Parked is the registry of work that is not retried any more. It also counts
// the failures of work that still is. Both are bounded: when they are full, the
// oldest entry is dropped for a new one. It is not safe for concurrent use.
type Parked struct {
	capacity     int
	ring         []ParkedWork            // oldest at next once the ring is full
	next         int                     // index of the next entry to overwrite
	failures     map[string]*failedHosts // by id of work that is still retried
	failureOrder []string                // ids in order of first failure; some may no longer be in failures
	dropped      int64                   // entries overwritten since NewParked
}

// failedHosts holds the distinct hosts on which a piece of work failed.
type failedHosts struct {
	hosts [ParkAfterHosts]string
	count int
}

// NewParked returns a registry of at most capacity entries.
func NewParked(capacity int) *Parked {
	return &Parked{capacity: capacity, failures: map[string]*failedHosts{}}
}

// RecordFailure counts a failure of work on a host and returns true if the work
// is parked now. If suspect, the host fails other work too, and the failure is
// ignored.
func (p *Parked) RecordFailure(now time.Time, id, queue, host string, suspect bool) bool {
	if suspect {
		return false
	}
	f := p.failures[id]
	if f == nil {
		f = &failedHosts{}
		p.trackFailures(id, f)
	}
	for _, h := range f.hosts[:f.count] {
		if h == host {
			return false
		}
	}
	f.hosts[f.count] = host
	f.count++
	if f.count < ParkAfterHosts {
		return false
	}
	p.add(ParkedWork{ID: id, Queue: queue, Cause: RepeatedFailures, Since: now, Hosts: f.hosts})
	return true
}

// trackFailures starts to count the failures of a piece of work, and drops the
// oldest counts beyond the capacity.
func (p *Parked) trackFailures(id string, f *failedHosts) {
	p.failures[id] = f
	p.failureOrder = append(p.failureOrder, id)
	for len(p.failures) > p.capacity || len(p.failureOrder) > 2*p.capacity {
		delete(p.failures, p.failureOrder[0])
		p.failureOrder = p.failureOrder[1:]
	}
}

// ClearFailures drops the failures counted for work that has ended.
func (p *Parked) ClearFailures(id string) { delete(p.failures, id) }

// Park adds work that is not retried any more.
func (p *Parked) Park(now time.Time, id, queue string, cause Cause) {
	p.add(ParkedWork{ID: id, Queue: queue, Cause: cause, Since: now})
}

func (p *Parked) add(w ParkedWork) {
	delete(p.failures, w.ID)
	if len(p.ring) < p.capacity {
		p.ring = append(p.ring, w)
		return
	}
	p.ring[p.next] = w
	p.next = (p.next + 1) % p.capacity
	p.dropped++
}

// Len returns the number of entries.
func (p *Parked) Len() int { return len(p.ring) }

// Dropped returns the number of entries dropped for newer ones since NewParked.
func (p *Parked) Dropped() int64 { return p.dropped }

// Find returns the entry of a piece of work, and whether there is one.
func (p *Parked) Find(id string) (ParkedWork, bool) {
	for _, w := range p.ring {
		if w.ID == id {
			return w, true
		}
	}
	return ParkedWork{}, false
}

// All returns a copy of the entries, oldest first.
func (p *Parked) All() []ParkedWork {
	all := make([]ParkedWork, 0, len(p.ring))
	all = append(all, p.ring[p.next:]...)
	return append(all, p.ring[:p.next]...)
}
