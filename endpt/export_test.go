package endpt

import (
	"context"
	"io"
	"net"
	"net/http"
)

// Reader returns a reader of the body for one dispatch.
func (b *Body) Reader() (io.ReadCloser, error) { return b.newReader() }

// Check checks a worker's answer to the task with the given id.
func (c *Client) Check(res *http.Response, id string) (*Answer, error) { return c.checkAnswer(res, id) }

// SetControlDial replaces the dialer of control calls.
func (c *Client) SetControlDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.control.transport().DialContext = dial
}
