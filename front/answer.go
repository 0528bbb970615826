package front

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// bufferSize is the most bytes of an answer held at once.
const bufferSize = 64 << 10

var bufferPool = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// responseStream streams a worker's responseStream to the caller.
type responseStream struct {
	body   io.ReadCloser
	length int64 // -1 when unknown
	buf    *[bufferSize]byte
	// unread has the bytes read and not yet passed on, err what follows them.
	unread  []byte
	readErr error
}

// newResponseStream reads the first bytes of an answer, so that one that is cut before
// them is told as such. The error is that of the read.
func newResponseStream(body io.ReadCloser, length int64) (*responseStream, error) {
	a := &responseStream{body: body, length: length, buf: bufferPool.Get().(*[bufferSize]byte)}
	for len(a.unread) == 0 && a.readErr == nil {
		a.fill()
	}
	if len(a.unread) == 0 && !errors.Is(a.readErr, io.EOF) {
		err := a.readErr
		_ = a.Close()
		return nil, err
	}
	return a, nil
}

func (a *responseStream) fill() {
	n, err := a.body.Read(a.buf[:])
	a.unread, a.readErr = a.buf[:n], err
}

// Read reads the answer.
func (a *responseStream) Read(p []byte) (int, error) {
	if len(a.unread) == 0 && a.readErr == nil {
		a.fill()
	}
	n := copy(p, a.unread)
	a.unread = a.unread[n:]
	if len(a.unread) == 0 {
		return n, a.readErr
	}
	return n, nil
}

// WriteTo writes the answer, each part as it comes.
func (a *responseStream) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for {
		n, err := w.Write(a.unread)
		total += int64(n)
		switch {
		case err != nil:
			return total, err
		case errors.Is(a.readErr, io.EOF):
			return total, nil
		case a.readErr != nil:
			return total, a.readErr
		case total != a.length:
			flushResponse(w)
		}
		a.fill()
	}
}

func flushResponse(w io.Writer) {
	if rw, ok := w.(http.ResponseWriter); ok {
		_ = http.NewResponseController(rw).Flush()
	}
}

// Close ends the answer.
func (a *responseStream) Close() error {
	if a.buf != nil {
		bufferPool.Put(a.buf)
		a.buf, a.unread, a.readErr = nil, nil, io.ErrClosedPipe
	}
	return a.body.Close()
}
