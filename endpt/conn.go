package endpt

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// errSealed is returned by a write on a connection after seal.
var errSealed = errors.New("connection is sealed")

// conn counts the bytes passed to the network. A failed request during which the
// count did not change was certainly not sent.
type conn struct {
	net.Conn
	mu        sync.Mutex
	sentBytes int64
	sealed    bool
}

// Write counts the bytes before it writes them, so that every byte that may have
// been sent is counted.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.sentBytes += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// buffers is the pool of buffers that bodies are copied through and kept in.
var buffers = sync.Pool{New: func() any { return new([ReplayLimit]byte) }}

// ReadFrom copies from r to the connection through a buffer of the pool.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	buf := buffers.Get().(*[ReplayLimit]byte)
	defer buffers.Put(buf)
	return io.CopyBuffer(struct{ io.Writer }{c}, struct{ io.Reader }{r}, buf[:])
}

// sent returns the number of bytes passed to the network.
func (c *conn) sent() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentBytes
}

// seal makes further writes fail and returns the number of bytes passed to the
// network before.
func (c *conn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.sentBytes
}

func dialer(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc}, nil
	}
}
