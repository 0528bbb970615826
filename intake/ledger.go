package intake

import (
	"container/list"
	"time"
)

// phase is what a connection is doing.
type phase uint8

const (
	waiting   phase = iota // for a complete header
	receiving              // a body
	serving                // a request that has arrived completely
	idle                   // between two requests
	gone
)

// Client is one connection.
type Client struct {
	group *Group
	phase phase
	place *list.Element // in a list of its group; nil while receiving or serving

	conn *conn // nil in tests of decisions

	held int64 // bytes charged
	cut  bool  // it is being closed, and what it holds will be released

	// Of a body: when it began and when bytes last came, its declared length, negative if
	// unknown, and what has come. held back: the body isn't read, as there is no room for more.
	begun, last time.Time
	want, got   int64
	heldBack    bool
	paused      time.Time // since when it is held back by Pause

	calls int // of a connection with calls: those that are not answered yet
}

// Group are the connections of one listener.
type Group struct {
	conns, pending, requests int // bounds; 0 requests for none

	total, receiving, busy int
	waiting, idle          *list.List // of *Client, by the time since which they wait or are idle
}

// Ledger has all connections and the room that they take. It does no I/O; callers serialize the
// calls.
type Ledger struct {
	limit, largeLimit int64
	used, releasing   int64
	bodies            map[*Client]struct{}
	groups            []*Group
}

// NewLedger returns a ledger with room for a number of bytes.
func NewLedger(limit int64) *Ledger {
	return &Ledger{limit: limit, largeLimit: limit - limit/smallShare, bodies: map[*Client]struct{}{}}
}

// NewGroup adds a listener with a bound of its connections, of those without a complete request, and
// of requests in progress, 0 for none.
func (l *Ledger) NewGroup(conns, pending, requests int) *Group {
	g := &Group{conns: conns, pending: pending, requests: requests, waiting: list.New(), idle: list.New()}
	l.groups = append(l.groups, g)
	return g
}

// Admit adds a connection. At a bound it returns a connection to close for it, with the cause; if
// there is none, the new one is nil and has to be closed. Load pattern: a crowd of connections that
// send nothing, or only parts of a request. An ordinary caller sends its request at once, so the
// connections that have waited longest are closed first.
func (l *Ledger) Admit(g *Group, now time.Time) (c, victim *Client, cause Cause) {
	if g.total >= g.conns || g.waiting.Len()+g.receiving >= g.pending {
		if victim, cause = l.leastWorthy(g, now); victim == nil {
			return nil, nil, Full
		}
		l.abandon(victim)
	}
	c = &Client{group: g}
	g.total++
	c.place = g.waiting.PushBack(c)
	return c, victim, cause
}

func (l *Ledger) leastWorthy(g *Group, now time.Time) (*Client, Cause) {
	if e := g.waiting.Front(); e != nil {
		return e.Value.(*Client), Silent
	}
	if e := g.idle.Front(); e != nil && g.total >= g.conns {
		return e.Value.(*Client), Idle
	}
	return l.slowest(g, now), Slow
}

// abandon takes a connection that is being closed out of the bounds of its group. What it holds is
// released by Leave.
func (l *Ledger) abandon(c *Client) {
	c.cut = true
	l.releasing += c.held
	l.move(c, gone)
	c.group.total--
}

// move changes the phase of a connection.
func (l *Ledger) move(c *Client, to phase) {
	g := c.group
	switch c.phase {
	case waiting:
		g.waiting.Remove(c.place)
	case idle:
		g.idle.Remove(c.place)
	case receiving:
		g.receiving--
		delete(l.bodies, c)
	}
	c.phase, c.place = to, nil
	switch to {
	case waiting:
		c.place = g.waiting.PushBack(c)
	case idle:
		c.place = g.idle.PushBack(c)
	case receiving:
		g.receiving++
		l.bodies[c] = struct{}{}
	}
}

// Begin notes that a connection that was idle sends a request.
func (l *Ledger) Begin(c *Client) {
	if c.phase == idle {
		l.move(c, waiting)
	}
}

// Complete notes that a request's header or its whole body has arrived.
func (l *Ledger) Complete(c *Client) {
	if c.phase != serving && c.phase != gone {
		l.move(c, serving)
	}
}

// Receive notes that a request's body is awaited; want is negative if its length is not declared.
func (l *Ledger) Receive(c *Client, want int64, now time.Time) {
	if c.phase == serving {
		c.want, c.got, c.begun, c.last, c.heldBack = want, 0, now, now, false
		l.move(c, receiving)
	}
}

// Progress notes that bytes of a body have come.
func (l *Ledger) Progress(c *Client, n int64, now time.Time) {
	c.got += n
	c.last = now
}

// Finish notes that a request was answered, and releases what it held.
func (l *Ledger) Finish(c *Client) {
	if c.phase != gone {
		l.Release(c)
		l.move(c, idle)
	}
}

// Leave removes a connection that has ended.
func (l *Ledger) Leave(c *Client) {
	l.Release(c)
	if c.phase != gone {
		l.move(c, gone)
		c.group.total--
	}
}

// Need returns how much room n more bytes of a connection take. No request takes more than there is
// for large bodies: one that is longer is served when there is no other.
func (l *Ledger) Need(c *Client, n int64) int64 { return min(n, max(l.largeLimit-c.held, 0)) }

// Charge takes room for n bytes of a connection, and reports whether it fits. Small bodies get room
// that others don't.
func (l *Ledger) Charge(c *Client, n int64, small bool) bool {
	n = l.Need(c, n)
	if c.cut || l.used+n > l.bound(small) {
		return false
	}
	l.used += n
	c.held += n
	return true
}

// ChargeHeader takes room for n bytes of a header. If there is none, it returns a connection to
// close for it: of those whose long headers are not complete, the one that has waited longest. The
// room counts at once, as the connection that is closed holds it only until its goroutine has run.
// It reports false if there is no other one. Load pattern: a crowd of long headers that never end,
// beside ordinary requests whose headers come at once.
func (l *Ledger) ChargeHeader(c *Client, n int64) (victim *Client, ok bool) {
	if c.cut {
		return nil, false
	}
	if l.Charge(c, n, false) {
		return nil, true
	}
	n = l.Need(c, n)
	for e := c.group.waiting.Front(); e != nil; e = e.Next() {
		if v := e.Value.(*Client); v != c && v.held > 0 {
			l.abandon(v)
			l.used += n
			c.held += n
			return v, true
		}
	}
	return nil, false
}

func (l *Ledger) bound(small bool) int64 {
	if small {
		return l.limit
	}
	return l.largeLimit
}

// Release returns all room that a connection holds.
func (l *Ledger) Release(c *Client) { l.ReleasePart(c, c.held) }

// ReleasePart returns n bytes of the room that a connection holds, or all if it holds less.
func (l *Ledger) ReleasePart(c *Client, n int64) {
	n = min(n, c.held)
	l.used -= n
	if c.cut {
		l.releasing -= n
	}
	c.held -= n
}

// Enter counts a request in progress, and reports whether it may go on. Load pattern: a crowd of
// complete requests that wait, for a worker or the store, and would take all connections. With fewer
// requests than connections, further ones and probes are answered.
func (l *Ledger) Enter(g *Group) bool {
	if g.requests > 0 && g.busy >= g.requests {
		return false
	}
	g.busy++
	return true
}

// Exit ends a request that Enter has counted.
func (l *Ledger) Exit(g *Group) { g.busy-- }

// Pause notes that a body is not being read, so that it doesn't count as silent or slow.
func (l *Ledger) Pause(c *Client, now time.Time) { c.heldBack, c.paused = true, now }

// Resume notes that a body is read again. Its times are those for which the client was waited for.
func (l *Ledger) Resume(c *Client, now time.Time) {
	if c.heldBack {
		d := now.Sub(c.paused)
		c.begun, c.last, c.heldBack = c.begun.Add(d), c.last.Add(d), false
	}
}

// BeginCall notes that the bytes of a call have begun on a connection with calls, of which several may
// be unanswered.
func (l *Ledger) BeginCall(c *Client, want int64, now time.Time) {
	l.Begin(c)
	l.Complete(c)
	l.Receive(c, want, now)
}

// RoomForCall reports whether a connection may take n bytes for another call. Without unanswered calls
// it may always: a message that is longer than all room is served when there is no other.
func (l *Ledger) RoomForCall(c *Client, n int64) bool { return c.calls == 0 || l.Need(c, n) == n }

// AddCall notes that a call has arrived completely.
func (l *Ledger) AddCall(c *Client) {
	l.Complete(c)
	c.calls++
}

// EndCall notes that a call was answered, and releases its n bytes. The connection is idle if that was
// the last one.
func (l *Ledger) EndCall(c *Client, n int64) {
	c.calls--
	l.ReleasePart(c, n)
	if c.calls == 0 && c.phase == serving {
		l.move(c, idle)
	}
}

// MakeRoom returns a connection to close so that n bytes fit, or nil if none has to be closed, as
// enough is about to be released, or none may be. Load pattern: a crowd of large bodies that stop
// short of their end, or that come a few bytes at a time.
func (l *Ledger) MakeRoom(n int64, small bool, now time.Time) *Client {
	if l.used-l.releasing+n <= l.bound(small) {
		return nil
	}
	c := l.slowest(nil, now)
	if c != nil {
		l.abandon(c)
	}
	return c
}

// slowest returns the body of a group, nil for any, with the slowest progress that may be closed:
// of those that stall the one that has longest, else the one that comes most slowly of those below
// the least rate. It returns nil if there is none.
func (l *Ledger) slowest(g *Group, now time.Time) *Client {
	var stalled, slow *Client
	slowRate := float64(minRate)
	for c := range l.bodies {
		if c.heldBack || g != nil && c.group != g {
			continue
		}
		if now.Sub(c.last) >= stallTime {
			if stalled == nil || c.last.Before(stalled.last) {
				stalled = c
			}
			continue
		}
		age := now.Sub(c.begun)
		if age < rateTime || c.nearlyComplete() {
			continue
		}
		if r := float64(c.got) / age.Seconds(); r < slowRate {
			slow, slowRate = c, r
		}
	}
	if stalled != nil {
		return stalled
	}
	return slow
}

// nearlyComplete reports whether little of a body of known length is missing.
func (c *Client) nearlyComplete() bool { return c.want >= 0 && c.want-c.got <= c.want/nearlyShare }

// Held returns the bytes and connections that are held, and the connections without a complete
// request.
func (l *Ledger) Held() (bytes int64, conns, pending int) {
	for _, g := range l.groups {
		conns += g.total
		pending += g.waiting.Len() + g.receiving
	}
	return l.used, conns, pending
}
