package front

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// bufferSize is the most bytes of a response that are buffered.
const bufferSize = 64 << 10

var bufferPool = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// responseStream streams a worker's response to the caller.
type responseStream struct {
	body   io.ReadCloser
	length int64 // -1 when unknown
	buf    *[bufferSize]byte
	// unread has the bytes that were read from body and not yet passed on;
	// readErr is the error, or io.EOF, that follows them.
	unread  []byte
	readErr error
}

// newResponseStream reads the first bytes of a response, so that a response that
// breaks off before them is still reported as an error. The error is that of the
// read.
func newResponseStream(body io.ReadCloser, length int64) (*responseStream, error) {
	s := &responseStream{body: body, length: length, buf: bufferPool.Get().(*[bufferSize]byte)}
	for len(s.unread) == 0 && s.readErr == nil {
		s.fill()
	}
	if len(s.unread) == 0 && !errors.Is(s.readErr, io.EOF) {
		err := s.readErr
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// fill reads the next bytes of the body into the buffer.
func (s *responseStream) fill() {
	n, err := s.body.Read(s.buf[:])
	s.unread, s.readErr = s.buf[:n], err
}

// Read reads the response.
func (s *responseStream) Read(p []byte) (int, error) {
	if len(s.unread) == 0 && s.readErr == nil {
		s.fill()
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	if len(s.unread) == 0 {
		return n, s.readErr
	}
	return n, nil
}

// WriteTo writes the response and flushes each part as it arrives.
func (s *responseStream) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for {
		n, err := w.Write(s.unread)
		total += int64(n)
		switch {
		case err != nil:
			return total, err
		case errors.Is(s.readErr, io.EOF):
			return total, nil
		case s.readErr != nil:
			return total, s.readErr
		case total != s.length:
			flushResponse(w)
		}
		s.fill()
	}
}

func flushResponse(w io.Writer) {
	if rw, ok := w.(http.ResponseWriter); ok {
		_ = http.NewResponseController(rw).Flush()
	}
}

// Close returns the buffer to the pool and closes the body.
func (s *responseStream) Close() error {
	if s.buf != nil {
		bufferPool.Put(s.buf)
		s.buf, s.unread, s.readErr = nil, nil, io.ErrClosedPipe
	}
	return s.body.Close()
}
