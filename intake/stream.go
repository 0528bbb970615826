package intake

import (
	"errors"
	"io"
	"net/http"
)

// Stream returns the body of a request whose handler passes it on while it arrives, and keeps at most
// hold bytes for it. Room is taken by the declared length, and released with the answer. The error is
// ErrNoRoom.
func (g *Gate) Stream(r *http.Request, hold int64) (io.ReadCloser, error) {
	c := connOf(r.Context())
	if g == nil || c == nil {
		return r.Body, nil
	}
	n := hold
	if r.ContentLength >= 0 {
		n = min(n, r.ContentLength)
	}
	if !g.receive(r.Context(), c.client, r.ContentLength, n) {
		return nil, ErrNoRoom
	}
	g.pause(c.client)
	return &stream{r.Body, g, c.client}, nil
}

// stream is a body that is passed on. While it isn't read, its client isn't waited for.
type stream struct {
	io.ReadCloser
	gate   *Gate
	client *Client
}

// Read reads the body.
func (s *stream) Read(p []byte) (int, error) {
	s.gate.resume(s.client)
	n, err := s.ReadCloser.Read(p)
	s.gate.progress(s.client, int64(n))
	if errors.Is(err, io.EOF) {
		s.gate.complete(s.client)
	} else {
		s.gate.pause(s.client)
	}
	return n, err
}

func (g *Gate) pause(c *Client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Pause(c, g.clock.Now())
}

func (g *Gate) resume(c *Client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Resume(c, g.clock.Now())
}
