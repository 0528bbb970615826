package share

import (
	"math/rand/v2"
	"time"
)

// Host is a host of a pool with the number of slots that work may use.
type Host struct {
	Name  string
	Slots int
}

const (
	// FullBackoff is how long a host gets no work from an entry after it
	// refused a task as full. It doubles with each further refusal in a row, up
	// to MaxFullBackoff.
	FullBackoff = 100 * time.Millisecond
	// MaxFullBackoff is the maximum of the backoff after refusals.
	MaxFullBackoff = 1600 * time.Millisecond
	// ReserveFor is how long a host is reserved for a task of several slots: it
	// gets no smaller tasks meanwhile, so that enough of its slots become free.
	ReserveFor = 30 * time.Second
)

// Picker picks hosts for the tasks of one pool at one entry and counts the
// slots that they use. It is not safe for concurrent use.
type Picker struct {
	rng *rand.Rand
	// hosts holds the hosts given to SetHosts in the same order, then removed
	// hosts on which tasks still run.
	hosts []hostState
	index map[string]int // into hosts, by name

	hostsHash   uint64    // hash of the list given to SetHosts
	grantsUntil time.Time // expiry of the grants; without grants, any free slot may be used

	lastHeld    []uint16          // slots in use by host, as last reported
	scratch     []uint16          // buffer, one element per host given to SetHosts
	lastWaiting [RankBands]uint16 // slots wanted by rank band, as last reported

	reservedSlots int       // slots of the task that a host is reserved for, or 0
	reservedHost  int       // index of that host
	reservedUntil time.Time // end of the reservation
}

// hostState is a host as one entry knows it.
type hostState struct {
	Host
	own           int           // slots of running tasks that this entry started
	others        int           // slots in use by other entries, as last observed
	fullUntil     time.Time     // end of the backoff after a refusal
	excludedUntil time.Time     // end of the exclusion by Exclude
	backoff       time.Duration // length of the last backoff; 0 after a task has ended
	granted       uint16        // slots granted, including those in use
	removed       bool          // no longer in the pool; kept while tasks run
}

// inUse returns the number of slots known to be in use.
func (h *hostState) inUse() int { return h.own + h.others }

// NewPicker returns a picker without hosts; seed is that of its random choices.
func NewPicker(seed uint64) *Picker {
	return &Picker{rng: rand.New(rand.NewPCG(seed, seed)), index: map[string]int{}}
}

// SetHosts replaces the pool's hosts. Running tasks are still counted. If the
// list differs from the last one, the grants end; otherwise nothing changes.
func (p *Picker) SetHosts(hosts []Host) {
	if p.hasHosts(hosts) {
		return
	}
	oldHosts := p.hosts
	p.hostsHash, p.grantsUntil, p.reservedSlots = hashHosts(hosts), time.Time{}, 0
	p.lastHeld, p.scratch = make([]uint16, len(hosts)), make([]uint16, len(hosts))
	p.hosts = make([]hostState, 0, len(hosts))
	clear(p.index)
	for _, host := range hosts {
		p.index[host.Name] = len(p.hosts)
		p.hosts = append(p.hosts, hostState{Host: host})
	}
	for _, old := range oldHosts {
		i, ok := p.index[old.Name]
		switch {
		case ok:
			old.Host = p.hosts[i].Host
			old.removed, old.granted = false, 0
			p.hosts[i] = old
		case old.own > 0:
			old.removed = true
			p.index[old.Name] = len(p.hosts)
			p.hosts = append(p.hosts, old)
		}
	}
}

// hasHosts reports whether these are the pool's hosts, in the same order and
// with the same slots.
func (p *Picker) hasHosts(hosts []Host) bool {
	if len(hosts) != len(p.lastHeld) || len(hosts) == 0 {
		return false
	}
	for i := range hosts {
		if p.hosts[i].Host != hosts[i] {
			return false
		}
	}
	return true
}

// Exclude keeps a host from being picked until the given time, even if a task
// ends there meanwhile. Its grants and running tasks are not affected.
func (p *Picker) Exclude(host string, until time.Time) {
	if i, ok := p.index[host]; ok {
		p.hosts[i].excludedUntil = until
	}
}

// Observe records the number of slots in use on a host by all entries, as the
// host reports it.
func (p *Picker) Observe(host string, busy int) {
	if i, ok := p.index[host]; ok {
		p.hosts[i].others = max(busy-p.hosts[i].own, 0)
	}
}

// Take picks a host with n free slots and counts them as in use; ok is false if
// no host is known to have them. If so and n > 1, a host is reserved until it
// has them, for ReserveFor at most.
func (p *Picker) Take(now time.Time, n int) (host string, ok bool) {
	i := p.choose(now, n)
	if i < 0 {
		p.reserve(now, n)
		return "", false
	}
	if n == p.reservedSlots {
		p.reservedSlots = 0
	}
	p.hosts[i].own += n
	return p.hosts[i].Name, true
}

// choose returns the index of the less loaded of two random hosts that can take
// a task of n slots, or -1 if none can.
func (p *Picker) choose(now time.Time, n int) int {
	a := p.firstFit(now, n)
	if a < 0 {
		return -1
	}
	b := p.firstFit(now, n)
	if p.hosts[b].inUse() < p.hosts[a].inUse() {
		return b
	}
	return a
}

// firstFit searches from a random index and returns the index of the first host
// that can take a task of n slots, or -1 if none can.
func (p *Picker) firstFit(now time.Time, n int) int {
	if len(p.hosts) == 0 {
		return -1
	}
	start := p.rng.IntN(len(p.hosts))
	for k := range p.hosts {
		i := (start + k) % len(p.hosts)
		if p.fits(&p.hosts[i], now, n) {
			return i
		}
	}
	return -1
}

// reserve reserves the least loaded host that has n slots in all, unless n is 1
// or a reservation is in force.
func (p *Picker) reserve(now time.Time, n int) {
	if n <= 1 || (p.reservedSlots > 0 && now.Before(p.reservedUntil)) {
		return
	}
	best := -1
	for i := range p.hosts {
		h := &p.hosts[i]
		if !h.removed && h.Slots >= n && (best < 0 || h.inUse() < p.hosts[best].inUse()) {
			best = i
		}
	}
	if best >= 0 {
		p.reservedSlots, p.reservedHost, p.reservedUntil = n, best, now.Add(ReserveFor)
	}
}

// fits reports whether a task of n slots may be started on a host now.
func (p *Picker) fits(h *hostState, now time.Time, n int) bool {
	if h.removed || now.Before(h.fullUntil) || now.Before(h.excludedUntil) {
		return false
	}
	if p.reservedSlots > n && h == &p.hosts[p.reservedHost] && now.Before(p.reservedUntil) {
		return false
	}
	return n <= p.freeSlots(h, now)
}

// freeSlots returns the number of free slots that this entry may use on a host.
func (p *Picker) freeSlots(h *hostState, now time.Time) int {
	free := h.Slots - h.inUse()
	if p.HasGrants(now) {
		free = min(free, int(h.granted)-h.own)
	}
	return free
}

// HasGrants reports whether grants of an Allocator are in force.
func (p *Picker) HasGrants(now time.Time) bool { return now.Before(p.grantsUntil) }

// AppendReport appends a message for Allocator.ApplyReport to b. It contains
// the slots wanted by waiting work in each rank band and the slots in use on
// each host: those that changed since the last message, or all if full.
func (p *Picker) AppendReport(b []byte, waiting *[RankBands]int, full bool) []byte {
	if full {
		clear(p.lastHeld)
		clear(p.lastWaiting[:])
	}
	var want [RankBands]uint16
	for i, n := range waiting {
		want[i] = uint16(min(n, 0xffff))
	}
	for i := range p.scratch {
		p.scratch[i] = uint16(p.hosts[i].own)
	}
	b = appendHeader(b, p.hostsHash, full)
	b = appendDelta(b, want[:], p.lastWaiting[:])
	return appendDelta(b, p.scratch, p.lastHeld)
}

// ApplyGrants reads a message of Allocator.Grants, whose grants are in force
// for GrantTTL from now. The error is ErrMessage or ErrOtherHosts.
func (p *Picker) ApplyGrants(msg []byte, now time.Time) error {
	full, rest, err := readHeader(msg, p.hostsHash)
	if err != nil {
		return err
	}
	for i := range p.scratch {
		p.scratch[i] = p.hosts[i].granted
	}
	if full {
		clear(p.scratch)
	}
	if _, err = readDelta(rest, p.scratch); err != nil {
		return err
	}
	for i := range p.scratch {
		p.hosts[i].granted = p.scratch[i]
	}
	p.grantsUntil = now.Add(GrantTTL)
	return nil
}

// Release frees n slots of a host on which a task has ended, and ends its
// backoff.
func (p *Picker) Release(host string, n int) {
	if i, ok := p.index[host]; ok {
		h := &p.hosts[i]
		h.own = max(h.own-n, 0)
		h.fullUntil, h.backoff = time.Time{}, 0
	}
}

// Refused frees n slots of a host that refused a task as full, and starts or
// extends the host's backoff.
func (p *Picker) Refused(now time.Time, host string, n int) {
	i, ok := p.index[host]
	if !ok {
		return
	}
	h := &p.hosts[i]
	h.own = max(h.own-n, 0)
	h.backoff = min(max(2*h.backoff, FullBackoff), MaxFullBackoff)
	h.fullUntil = now.Add(h.backoff)
}

// NextEligible returns the earliest time after now at which a host can be
// picked again because its backoff or exclusion ends; zero if there is none.
func (p *Picker) NextEligible(now time.Time) time.Time {
	var next time.Time
	for i := range p.hosts {
		h := &p.hosts[i]
		until := h.fullUntil
		if h.excludedUntil.After(until) {
			until = h.excludedUntil
		}
		if until.After(now) && (next.IsZero() || until.Before(next)) {
			next = until
		}
	}
	return next
}

// Free returns the number of slots that this entry may use now, as far as it
// knows.
func (p *Picker) Free(now time.Time) int {
	free := 0
	for i := range p.hosts {
		if h := &p.hosts[i]; p.fits(h, now, 1) {
			free += p.freeSlots(h, now)
		}
	}
	return free
}
