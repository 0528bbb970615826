package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"shallotpaddle/intake"
)

var (
	// ErrUnreachable is returned when a peer can't be reached or does not answer;
	// it may have carried out the call.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrRemote is returned when the peer answered with an error.
	ErrRemote = errors.New("peer answered with an error")
	// ErrMethod is returned by a handler for an unknown method.
	ErrMethod = errors.New("no such method")
	// ErrTooLong is returned for a message that is longer than allowed.
	ErrTooLong = errors.New("message is too long")
)

const (
	dialTimeout = time.Second
	// MaxInboundConns bounds the number of connections accepted from peers.
	MaxInboundConns = 512
	// maxReply bounds the messages on connections that the node has opened: the replies of peers, which
	// may have all documents. It only keeps a faulty peer from taking all memory.
	maxReply = 256 << 20
)

// Handler serves one call from a peer; it returns the result of the call.
type Handler func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Node calls peers by address and serves their calls.
type Node struct {
	handler Handler
	limits  Limits

	mu       sync.Mutex                // guards outbound, inbound and closed
	outbound map[string]*jsonrpc2.Conn // by address
	inbound  map[*jsonrpc2.Conn]struct{}
	closed   bool

	sent, received atomic.Int64 // bytes
}

// Limits bound the messages of peers that call the node; 0 stands for no bound.
type Limits struct {
	// MaxBytes bounds a message.
	MaxBytes int64
	// StallTimeout bounds the pauses within a message.
	StallTimeout time.Duration
}

// New returns a node that serves peers' calls with handler.
func New(handler Handler, limits Limits) *Node {
	return &Node{handler: handler, limits: limits, outbound: map[string]*jsonrpc2.Conn{}, inbound: map[*jsonrpc2.Conn]struct{}{}}
}

// Bytes returns the numbers of bytes sent to and received from peers.
func (n *Node) Bytes() (sent, received int64) { return n.sent.Load(), n.received.Load() }

// Serve accepts peers' connections on ln until ctx ends, when it closes ln and
// returns nil. If accepting fails before, it returns the error.
func (n *Node) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		c, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}
		n.accept(ctx, c)
	}
}

func (n *Node) accept(ctx context.Context, c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.inbound) >= MaxInboundConns {
		_ = c.Close()
		return
	}
	rc := n.newConn(ctx, c, n.limits)
	n.inbound[rc] = struct{}{}
	go func() {
		<-rc.DisconnectNotify()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.inbound, rc)
	}()
}

func (n *Node) newConn(ctx context.Context, c net.Conn, limits Limits) *jsonrpc2.Conn {
	s := newStream(ctx, &countedConn{Conn: c, node: n}, intake.CallsOf(c), limits)
	s.handler = jsonrpc2.HandlerWithError(n.serve).SuppressErrClosed()
	return jsonrpc2.NewConn(ctx, s, s, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
}

func (n *Node) serve(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	return n.handler(ctx, r.Method, params)
}

// Call calls a method of the peer at addr and decodes its result. The error is
// ErrUnreachable or ErrRemote.
func (n *Node) Call(ctx context.Context, addr, method string, params, result any) error {
	c, err := n.dial(ctx, addr)
	if err != nil {
		return fmt.Errorf("%s at %s: %w: %w", method, addr, ErrUnreachable, err)
	}
	err = c.Call(ctx, method, params, result)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return fmt.Errorf("%s at %s: %w: %s", method, addr, ErrRemote, remote.Message)
	default:
		n.closeOutbound(addr, c)
		return fmt.Errorf("%s at %s: %w: %w", method, addr, ErrUnreachable, err)
	}
}

func (n *Node) dial(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	n.mu.Lock()
	c := n.outbound[addr]
	n.mu.Unlock()
	if c != nil {
		return c, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.outbound[addr]; c != nil || n.closed {
		_ = nc.Close()
		if c == nil {
			return nil, net.ErrClosed
		}
		return c, nil
	}
	c = n.newConn(context.WithoutCancel(ctx), nc, Limits{MaxBytes: maxReply})
	n.outbound[addr] = c
	go func() {
		<-c.DisconnectNotify()
		n.closeOutbound(addr, c)
	}()
	return c, nil
}

func (n *Node) closeOutbound(addr string, c *jsonrpc2.Conn) {
	n.mu.Lock()
	if n.outbound[addr] == c {
		delete(n.outbound, addr)
	}
	n.mu.Unlock()
	_ = c.Close()
}

// Close closes all connections; no new ones are opened or accepted after it.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	all := make([]*jsonrpc2.Conn, 0, len(n.outbound)+len(n.inbound))
	for _, c := range n.outbound {
		all = append(all, c)
	}
	for c := range n.inbound {
		all = append(all, c)
	}
	n.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
}

// countedConn is a connection that adds its bytes to the node's counts.
type countedConn struct {
	net.Conn
	node *Node
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.node.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.node.sent.Add(int64(n))
	return n, err
}
