package endpt_test

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	unavailable = "HTTP/1.1 503 Service Unavailable\r\n"
	proceed     = "HTTP/1.1 100 Continue\r\n\r\n"
)

// rogue is a worker that runs a script on each connection, which may break the
// protocol.
type rogue struct {
	addr string
	ln   net.Listener
	wg   sync.WaitGroup

	mu        sync.Mutex
	received  map[string]int    // number of request heads received, by task id
	onReceive map[string]func() // called when the request head of a task id is received
}

func newRogue(t *testing.T, serve func(*workerConn)) *rogue {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rogue{addr: ln.Addr().String(), ln: ln, received: map[string]int{}, onReceive: map[string]func(){}}
	t.Cleanup(s.stop)
	s.wg.Go(func() {
		for first := true; ; first = false {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() {
				defer c.Close()
				serve(&workerConn{Conn: c, r: bufio.NewReader(c), rogue: s, first: first})
			})
		}
	})
	return s
}

// stop closes the listener and waits until every connection has ended.
func (s *rogue) stop() {
	_ = s.ln.Close()
	s.wg.Wait()
}

func (s *rogue) receivedByTask() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.received)
}

func (s *rogue) callOnReceive(id string, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onReceive[id] = f
}

// workerConn is one connection to a rogue.
type workerConn struct {
	net.Conn
	r     *bufio.Reader
	rogue *rogue
	first bool // this is the first connection to the rogue
}

// readTask reads a request's head and returns its task id, or "" when no further
// request comes.
func (l *workerConn) readTask() string {
	req, err := http.ReadRequest(l.r)
	if err != nil {
		return ""
	}
	id := req.Header.Get("Task")
	l.rogue.mu.Lock()
	l.rogue.received[id]++
	f := l.rogue.onReceive[id]
	l.rogue.mu.Unlock()
	if f != nil {
		f()
	}
	return id
}

// ignore reads requests and answers none.
func (l *workerConn) ignore() {
	for id := l.readTask(); id != ""; {
		id = l.readTask()
	}
}

func (l *workerConn) read(n int64) { _, _ = io.CopyN(io.Discard, l.r, n) }

func (l *workerConn) send(s string) { _, _ = l.Write([]byte(s)) }

func (l *workerConn) answer(id, body string) {
	l.send(ok + "Task: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

func (l *workerConn) refuse(id, why string) {
	l.send(unavailable + "Task: " + id + "\r\nRefused: " + why + "\r\nContent-Length: 0\r\n\r\n")
}

// reset ends the connection with a reset.
func (l *workerConn) reset() {
	_ = l.Conn.(*net.TCPConn).SetLinger(0)
	_ = l.Close()
}
