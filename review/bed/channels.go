package bed

import (
	"net"
	"sync"
	"sync/atomic"
)

// channels is a listener whose open connections can go silent for good, while new ones work.
type channels struct {
	net.Listener

	mu   sync.Mutex
	open []*channel
}

// channel is a connection that may be silent: nothing passes in either direction, and neither
// end is told.
type channel struct {
	net.Conn
	silent atomic.Bool
}

// Accept returns the next connection.
func (c *channels) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ch := &channel{Conn: conn}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = append(c.open, ch)
	return ch, nil
}

// Read reads from the connection, or waits for its end if it is silent.
func (c *channel) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection, or drops the bytes if it is silent.
func (c *channel) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// silence makes all open connections silent, and returns their number.
func (c *channels) silence() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.open)
	for _, ch := range c.open {
		ch.silent.Store(true)
	}
	c.open = nil
	return n
}

// SilenceChannels makes the open connections of an entry to the store silent for good. New ones work.
func (b *Bed) SilenceChannels(entry int) {
	n := b.Entries[entry].channels.silence()
	b.Rec.Add("trouble: %d connections of %s to the store, of which some may have been closed, go silent; new ones work", n, b.Entries[entry].Name)
}
