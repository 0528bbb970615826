package share

import (
	"math/rand/v2"
	"time"
)

// Host is a worker of a pool with the slots that work may use.
type Host struct {
	Name  string
	Slots int
}

const (
	// FullBackoff is the time for which a host is passed over after a refusal; it
	// doubles with each further refusal in a row up to MaxFullBackoff.
	FullBackoff = 100 * time.Millisecond
	// MaxFullBackoff is the longest time for which a host is passed over.
	MaxFullBackoff = 1600 * time.Millisecond
	// ReserveFor is the time for which a host takes no smaller tasks, so that one
	// with more slots comes to fit.
	ReserveFor = 30 * time.Second
)

// Picker chooses hosts for one pool at one entry. It is not safe for
// concurrent use.
type Picker struct {
	rng   *rand.Rand
	hosts []place
	index map[string]int

	// print is the fingerprint of the hosts as given to SetHosts, which are the
	// first of hosts; those after them are gone.
	print uint64
	until time.Time // end of the grants; without any, all hosts may be chosen

	// held and waiting are as last reported; now is reused.
	held    []uint16
	now     []uint16
	waiting [RankBands]uint16

	big     int       // slots of the task that a host is held for, or 0
	bigHost int       // index of that host
	bigEnd  time.Time // when it is let go
}

// place is a host as one entry sees it.
type place struct {
	Host
	mine   int           // slots of tasks that this entry started and that still run
	others int           // slots in use by other entries, as last reported
	full   time.Time     // passed over until then, after a refusal
	shun   time.Time     // passed over until then, for another cause
	again  time.Duration // time for which the next refusal passes it over
	grant  uint16        // slots granted, those in use included
	gone   bool          // no longer in the pool; kept while tasks run
}

// load returns the slots known to be in use.
func (p *place) load() int { return p.mine + p.others }

// NewPicker returns a holder without hosts; seed decides its random choices.
func NewPicker(seed uint64) *Picker {
	return &Picker{rng: rand.New(rand.NewPCG(seed, seed)), index: map[string]int{}}
}

// SetHosts replaces the pool's hosts; tasks in flight stay counted. Another
// list ends the grants, the same list changes nothing.
func (h *Picker) SetHosts(hosts []Host) {
	if h.same(hosts) {
		return
	}
	old := h.hosts
	h.print, h.until, h.big = fingerprint(hosts), time.Time{}, 0
	h.held, h.now = make([]uint16, len(hosts)), make([]uint16, len(hosts))
	h.hosts = make([]place, 0, len(hosts))
	clear(h.index)
	for _, n := range hosts {
		h.index[n.Name] = len(h.hosts)
		h.hosts = append(h.hosts, place{Host: n})
	}
	for _, o := range old {
		i, ok := h.index[o.Name]
		switch {
		case ok:
			o.Host = h.hosts[i].Host
			o.gone, o.grant = false, 0
			h.hosts[i] = o
		case o.mine > 0:
			o.gone = true
			h.index[o.Name] = len(h.hosts)
			h.hosts = append(h.hosts, o)
		}
	}
}

// same tells whether the pool has just these hosts.
func (h *Picker) same(hosts []Host) bool {
	if len(hosts) != len(h.held) || len(hosts) == 0 {
		return false
	}
	for i := range hosts {
		if h.hosts[i].Host != hosts[i] {
			return false
		}
	}
	return true
}

// Exclude passes a host over until a time, whatever it answers, and keeps its
// grants and the tasks in flight.
func (h *Picker) Exclude(host string, until time.Time) {
	if i, ok := h.index[host]; ok {
		h.hosts[i].shun = until
	}
}

// Observe records the slots in use on a host as the host reports them, all
// entries together.
func (h *Picker) Observe(host string, busy int) {
	if i, ok := h.index[host]; ok {
		h.hosts[i].others = max(busy-h.hosts[i].mine, 0)
	}
}

// Take chooses a host with n free slots and counts them as in use; ok is false
// when this entry knows of none. For a task of several slots a host is then
// held until it fits, for ReserveFor at most.
func (h *Picker) Take(now time.Time, n int) (host string, ok bool) {
	i := h.choose(now, n)
	if i < 0 {
		h.hold(now, n)
		return "", false
	}
	if n == h.big {
		h.big = 0
	}
	h.hosts[i].mine += n
	return h.hosts[i].Name, true
}

// choose returns the less loaded of two random hosts that fit, or -1.
func (h *Picker) choose(now time.Time, n int) int {
	a := h.random(now, n)
	if a < 0 {
		return -1
	}
	b := h.random(now, n)
	if h.hosts[b].load() < h.hosts[a].load() {
		return b
	}
	return a
}

// random returns the first host that fits from a random one on, or -1.
func (h *Picker) random(now time.Time, n int) int {
	if len(h.hosts) == 0 {
		return -1
	}
	from := h.rng.IntN(len(h.hosts))
	for k := range h.hosts {
		i := (from + k) % len(h.hosts)
		if h.fits(&h.hosts[i], now, n) {
			return i
		}
	}
	return -1
}

// hold keeps the least loaded host free of smaller tasks.
func (h *Picker) hold(now time.Time, n int) {
	if n <= 1 || (h.big > 0 && now.Before(h.bigEnd)) {
		return
	}
	best := -1
	for i := range h.hosts {
		p := &h.hosts[i]
		if !p.gone && p.Slots >= n && (best < 0 || p.load() < h.hosts[best].load()) {
			best = i
		}
	}
	if best >= 0 {
		h.big, h.bigHost, h.bigEnd = n, best, now.Add(ReserveFor)
	}
}

func (h *Picker) fits(p *place, now time.Time, n int) bool {
	if p.gone || now.Before(p.full) || now.Before(p.shun) {
		return false
	}
	if h.big > n && p == &h.hosts[h.bigHost] && now.Before(h.bigEnd) {
		return false
	}
	return n <= h.room(p, now)
}

// room returns the slots of a host that this entry may still take.
func (h *Picker) room(p *place, now time.Time) int {
	room := p.Slots - p.load()
	if h.HasGrants(now) {
		room = min(room, int(p.grant)-p.mine)
	}
	return room
}

// HasGrants tells whether grants of a steward are in force.
func (h *Picker) HasGrants(now time.Time) bool { return now.Before(h.until) }

// AppendReport appends a message for Allocator.ApplyReport that tells the slots wanted by
// waiting work and those in use. It holds the changes since the last message,
// or everything if full.
func (h *Picker) AppendReport(b []byte, waiting *[RankBands]int, full bool) []byte {
	if full {
		clear(h.held)
		clear(h.waiting[:])
	}
	var want [RankBands]uint16
	for i, n := range waiting {
		want[i] = uint16(min(n, 0xffff))
	}
	for i := range h.now {
		h.now[i] = uint16(h.hosts[i].mine)
	}
	b = header(b, h.print, full)
	b = appendDelta(b, want[:], h.waiting[:])
	return appendDelta(b, h.now, h.held)
}

// ApplyGrants takes in a message of Allocator.Grants; its grants are in force for
// GrantTTL from now on. It returns ErrMessage or ErrOtherHosts.
func (h *Picker) ApplyGrants(msg []byte, now time.Time) error {
	full, rest, err := readHeader(msg, h.print)
	if err != nil {
		return err
	}
	for i := range h.now {
		h.now[i] = h.hosts[i].grant
	}
	if full {
		clear(h.now)
	}
	if _, err = readDelta(rest, h.now); err != nil {
		return err
	}
	for i := range h.now {
		h.hosts[i].grant = h.now[i]
	}
	h.until = now.Add(GrantTTL)
	return nil
}

// Release returns n slots of a host whose task has ended.
func (h *Picker) Release(host string, n int) {
	if i, ok := h.index[host]; ok {
		p := &h.hosts[i]
		p.mine = max(p.mine-n, 0)
		p.full, p.again = time.Time{}, 0
	}
}

// Refused returns n slots of a host that refused a task as full, and passes
// the host over for a while.
func (h *Picker) Refused(now time.Time, host string, n int) {
	i, ok := h.index[host]
	if !ok {
		return
	}
	p := &h.hosts[i]
	p.mine = max(p.mine-n, 0)
	p.again = min(max(2*p.again, FullBackoff), MaxFullBackoff)
	p.full = now.Add(p.again)
}

// NextChoice returns the earliest time after now at which a host that is passed over
// may be chosen again; zero when there is none.
func (h *Picker) NextChoice(now time.Time) time.Time {
	var next time.Time
	for i := range h.hosts {
		p := &h.hosts[i]
		f := p.full
		if p.shun.After(f) {
			f = p.shun
		}
		if f.After(now) && (next.IsZero() || f.Before(next)) {
			next = f
		}
	}
	return next
}

// Free returns the number of slots that this entry believes to be free.
func (h *Picker) Free(now time.Time) int {
	free := 0
	for i := range h.hosts {
		if p := &h.hosts[i]; h.fits(p, now, 1) {
			free += h.room(p, now)
		}
	}
	return free
}
