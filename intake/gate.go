package intake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"
)

// Gate bounds what the clients of a process make it hold. It is safe for concurrent use.
type Gate struct {
	limits Limits
	clock  quartz.Clock
	log    *log.Logger
	work   *semaphore.Weighted

	mu      sync.Mutex
	ledger  *Ledger
	waiters int
	room    chan struct{} // closed and replaced when room becomes free while there are waiters
	lines   [causes]line

	counters [causes]metrics.Counter
}

// line is the log line of a cause.
type line struct {
	count int // since the last line
	at    time.Time
}

// New returns a gate that registers its metrics.
func New(limits Limits, clock quartz.Clock, logger *log.Logger, registry metrics.Registry) *Gate {
	g := &Gate{
		limits: limits, clock: clock, log: logger, work: semaphore.NewWeighted(limits.WorkBytes),
		ledger: NewLedger(limits.BodyBytes), room: make(chan struct{}),
	}
	for c := range causes {
		kind := "closed"
		if c.refuses() {
			kind = "refused"
		}
		g.counters[c] = metrics.NewRegisteredCounter("intake."+kind+"."+c.String(), registry)
	}
	gauge := func(name string, of func() int64) {
		_ = registry.Register("intake."+name, metrics.NewFunctionalGauge(of)) // the name is not in use
	}
	gauge("bytes", func() int64 { n, _, _ := g.held(); return n })
	gauge("conns", func() int64 { _, n, _ := g.held(); return int64(n) })
	gauge("pending", func() int64 { _, _, n := g.held(); return int64(n) })
	return g
}

// refuses reports whether the cause is one of a refusal.
func (c Cause) refuses() bool { return c >= Full }

func (g *Gate) held() (bytes int64, conns, pending int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Held()
}

// Listen listens at an address with small receive buffers: bytes that the kernel has received
// count as memory of the process.
func (g *Gate) Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, g.limits.SocketBytes)
		})
		return errors.Join(err, set)
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("intake: %w", err)
	}
	return l, nil
}

// Bounds are those of one listener.
type Bounds struct {
	// Conns bounds the connections, Pending those without a complete request, Requests the requests
	// in progress that Enter counts, 0 for no bound.
	Conns, Pending, Requests int
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// WriteTimeout is how long a client may leave an answer unread, up to writeMargin longer.
	WriteTimeout time.Duration
}

// Callers sets up the server and the listener of the callers.
func (g *Gate) Callers(s *http.Server, l net.Listener) net.Listener {
	return g.Attach(s, l, Bounds{g.limits.Conns, g.limits.Pending, g.limits.Requests, g.limits.HeaderBytes, writeTimeout})
}

// Probes sets up the server and the listener of probes or metrics.
func (g *Gate) Probes(s *http.Server, l net.Listener) net.Listener {
	return g.Attach(s, l, Bounds{g.limits.ProbeConns, g.limits.ProbeConns, 0, g.limits.HeaderBytes, writeTimeout})
}

// Attach sets up a server and its listener.
func (g *Gate) Attach(s *http.Server, l net.Listener, b Bounds) net.Listener {
	s.MaxHeaderBytes = b.HeaderBytes
	s.ConnState = g.connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return g.listener(l, b, true)
}

// Peers sets up a listener whose connections are used with Calls.
func (g *Gate) Peers(l net.Listener, b Bounds) net.Listener { return g.listener(l, b, false) }

func (g *Gate) listener(l net.Listener, b Bounds, http bool) net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &listener{l, g, g.ledger.NewGroup(b.Conns, b.Pending, b.Requests), b.WriteTimeout, http}
}

// Enter counts a request in progress. The returned function must be called at its end. It returns false
// if there are too many.
func (g *Gate) Enter(ctx context.Context) (leave func(), ok bool) {
	c := connOf(ctx)
	if g == nil || c == nil {
		return func() {}, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	group := c.client.group
	if !g.ledger.Enter(group) {
		g.note(Busy)
		return nil, false
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.ledger.Exit(group)
	}, true
}

type connKey struct{}

// connOf returns the connection of a request, nil if it came in through no gate.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// connState follows the phases of a connection.
func (g *Gate) connState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateActive: // the header has arrived
		g.ledger.Complete(c.client)
		c.inHeader = false
	case http.StateIdle:
		g.ledger.Finish(c.client)
		c.inHeader, c.header, c.lines = true, 0, 0
		g.wake()
	}
}

// wake tells waiters that room has become free. The mutex is held.
func (g *Gate) wake() {
	if g.waiters > 0 {
		close(g.room)
		g.room = make(chan struct{})
	}
}

// note counts a cause, and logs it at most once a second. The mutex is held.
func (g *Gate) note(c Cause) {
	g.counters[c].Inc(1)
	l := &g.lines[c]
	l.count++
	now := g.clock.Now()
	if now.Sub(l.at) < time.Second {
		return
	}
	held, conns, pending := g.ledger.Held()
	text := "connections closed for others"
	if c.refuses() {
		text = "requests or connections refused for lack of room"
	}
	g.log.Warn().Str("cause", c.String()).Int("count", l.count).Int64("bytes", held).Int("conns", conns).Int("pending", pending).Msg(text)
	l.count, l.at = 0, now
}

// listener accepts connections within the bounds of its group.
type listener struct {
	net.Listener
	gate         *Gate
	group        *Group
	writeTimeout time.Duration
	http         bool
}

// Accept returns the next connection for which there is room. It never waits for room: connections
// that are not accepted hold what the kernel receives for them.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, gate: l.gate, inHeader: l.http, writeTimeout: l.writeTimeout}
		if victim, ok := l.gate.admit(l.group, c); victim != nil {
			victim.abort()
			// The goroutine of the closed connection releases its memory and descriptor.
			runtime.Gosched()
		} else if !ok {
			c.abort()
			continue
		}
		return c, nil
	}
}

// admit adds a connection, and returns one to close for it if there has to be. It returns false
// if there is no room.
func (g *Gate) admit(group *Group, c *conn) (victim *conn, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	client, v, cause := g.ledger.Admit(group, g.clock.Now())
	if client == nil {
		g.note(cause)
		return nil, false
	}
	c.client = client
	client.conn = c
	if v == nil {
		return nil, true
	}
	g.note(cause)
	return v.conn, true
}

// conn is a connection that is counted.
type conn struct {
	net.Conn
	gate   *Gate
	client *Client
	// inHeader is true while a header is awaited or read, of which header bytes and a number of
	// lines have come. These fields are guarded by the gate's mutex.
	inHeader      bool
	header, lines int
	closed        sync.Once
	writeTimeout  time.Duration
	deadlineSet   time.Time // of the last change of the deadline of writes
}

// Read counts the bytes of headers.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.gate.readHeader(c, b[:n]) {
		c.abort()
		return 0, ErrNoRoom
	}
	return n, err
}

const (
	// freeHeader and freeLines are the parts of a header that are not charged: ordinary headers are
	// shorter. The first read may have up to freeHeader bytes of the body as well.
	freeHeader = 4 << 10
	freeLines  = 64
	// headerFactor is how many times the length of a header it takes in memory at most. A field of
	// four bytes becomes a string header, in lists that grow by copying.
	headerFactor = 16
	// lineBytes is what each line takes: net/textproto makes a map for as many fields as the first
	// read has lines. A trial with 1,000 lines of four bytes took 137 KB.
	lineBytes = 160
)

// headerEnd ends a header, but for the carriage return of its last line.
var headerEnd = []byte("\n\r\n")

// readHeader counts what was read if it is part of a header, and reports whether it fits.
func (g *Gate) readHeader(c *conn, b []byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.inHeader {
		return true
	}
	if !bytes.Contains(b, headerEnd) { // else it is complete before long
		g.ledger.Begin(c.client)
	}
	n, lines := len(b), bytes.Count(b, headerEnd[:1])
	c.header += n
	c.lines += lines
	over := int64(max(min(c.header-freeHeader, n), 0)*headerFactor + max(min(c.lines-freeLines, lines), 0)*lineBytes)
	if over == 0 {
		return true
	}
	victim, ok := g.ledger.ChargeHeader(c.client, over)
	if victim != nil {
		g.note(Silent)
		victim.conn.abort()
	}
	if !ok {
		g.note(Header)
	}
	return ok
}

const (
	// writeTimeout is how long a client of node may leave an answer unread, up to writeMargin longer.
	writeTimeout = 5 * time.Second
	// writeMargin is how long the deadline of a connection's writes stays as it is, since each
	// change costs a timer.
	writeMargin = time.Second
)

// Write bounds the time for which an answer is left unread. The server writes from one goroutine at
// a time.
func (c *conn) Write(b []byte) (int, error) {
	if now := time.Now(); now.Sub(c.deadlineSet) > writeMargin {
		if err := c.SetWriteDeadline(now.Add(c.writeTimeout + writeMargin)); err != nil {
			return 0, err
		}
		c.deadlineSet = now
	}
	return c.Conn.Write(b)
}

// CloseWrite closes the direction to the client: the server does so before it closes a connection
// with unread bytes.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases what it holds.
func (c *conn) Close() error {
	c.closed.Do(func() {
		c.gate.mu.Lock()
		defer c.gate.mu.Unlock()
		c.gate.ledger.Leave(c.client)
		c.gate.wake()
	})
	return c.Conn.Close()
}

// abort closes the connection at once. Its room is released when the server closes it.
func (c *conn) abort() { _ = c.Conn.Close() }
