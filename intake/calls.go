package intake

import (
	"context"
	"net"
)

// callBytes is what a call takes besides its message: its goroutine, and what the handler holds.
const callBytes = 8 << 10

// Calls counts the calls that come in on one connection. One goroutine at a time may call Begin,
// Progress and Arrived. All methods do nothing if there is no gate.
type Calls struct {
	gate   *Gate
	client *Client
}

// CallsOf returns the calls of a connection that was accepted by a listener of Peers; other connections
// have no bounds.
func CallsOf(nc net.Conn) Calls {
	c, ok := nc.(*conn)
	if !ok {
		return Calls{}
	}
	return Calls{c.gate, c.client}
}

// Begin takes room for a call with a message of n bytes, which has not been read. It returns the room
// that End releases, and false if there is none.
func (c Calls) Begin(ctx context.Context, n int64) (room int64, ok bool) {
	g := c.gate
	if g == nil {
		return 0, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.BeginCall(c.client, n, g.clock.Now())
	if !g.awaitCalls(ctx, c.client, n+callBytes) {
		g.note(Body)
		return 0, false
	}
	room = g.ledger.Need(c.client, n+callBytes)
	return room, g.charge(ctx, c.client, room, n <= SmallBody)
}

// awaitCalls waits until a connection may take n bytes for another call. The mutex is held, and released
// while it waits.
func (g *Gate) awaitCalls(ctx context.Context, c *Client, n int64) bool {
	if g.ledger.RoomForCall(c, n) {
		return true
	}
	g.ledger.Pause(c, g.clock.Now())
	defer func() { g.ledger.Resume(c, g.clock.Now()) }()
	g.waiters++
	defer func() { g.waiters-- }()
	end := g.clock.NewTimer(roomTime)
	defer end.Stop()
	for !g.ledger.RoomForCall(c, n) {
		if c.cut || !g.await(ctx, end.C) {
			return false
		}
	}
	return true
}

// Progress notes that n bytes of the message have come.
func (c Calls) Progress(n int64) {
	if c.gate != nil {
		c.gate.progress(c.client, n)
	}
}

// Arrived notes that the message has come completely.
func (c Calls) Arrived() {
	if g := c.gate; g != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.ledger.AddCall(c.client)
	}
}

// Work waits until a message of n bytes may be decoded and handled. The returned function must be called
// at the end. It returns false if ctx ends before.
func (c Calls) Work(ctx context.Context, n int64) (release func(), ok bool) {
	g := c.gate
	if g == nil || n <= SmallBody {
		return func() {}, true
	}
	weight := min(n*workFactor, g.limits.WorkBytes)
	if g.work.Acquire(ctx, weight) != nil {
		g.refuse(Work)
		return nil, false
	}
	return func() { g.work.Release(weight) }, true
}

// End notes that a call that has arrived was answered.
func (c Calls) End(room int64) {
	if g := c.gate; g != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.ledger.EndCall(c.client, room)
		g.wake()
	}
}
