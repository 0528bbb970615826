package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"shallotpaddle/conf"
)

// bodyAwareWriter lets a 2xx response stream while the request's body is still
// arriving. The connection is closed after such a response, since the rest of the
// body must not be parsed as another request. Before any other response the
// server itself would read the rest of the body, for as long as the caller takes
// to send it: the connection is closed after such a response too, unless the body
// is short.
type bodyAwareWriter struct {
	http.ResponseWriter
	body *trackedBody
	// wroteHeader is set once the response's final status has been written.
	wroteHeader bool
}

// newBodyAwareWriter returns a response writer and a copy of the request for a
// handler. The request is copied because the server inspects the body of its own
// request, which must stay as it is.
func newBodyAwareWriter(w http.ResponseWriter, r *http.Request, limits conf.Listener) (*bodyAwareWriter, *http.Request) {
	body := &trackedBody{
		ReadCloser: http.MaxBytesReader(w, r.Body, int64(limits.MaxBodyBytes)), stallTimeout: limits.StallTimeout.Std(),
		setReadDeadline: http.NewResponseController(w).SetReadDeadline, short: r.ContentLength >= 0 && r.ContentLength <= shortBodyBytes,
	}
	body.atEOF.Store(r.ContentLength == 0)
	if r.ContentLength != 0 {
		body.extendDeadline() // also covers a body that only the server reads
	}
	r = r.WithContext(r.Context())
	r.Body = body
	return &bodyAwareWriter{ResponseWriter: w, body: body}, r
}

// WriteHeader writes the status and the header of the response.
func (w *bodyAwareWriter) WriteHeader(status int) {
	if !w.wroteHeader && status >= http.StatusOK {
		w.wroteHeader = true
		w.handleUnreadBody(status)
	}
	w.ResponseWriter.WriteHeader(status)
}

// shortBodyBytes is the length up to which a body has usually arrived together
// with its header: the server's first read takes in as much.
const shortBodyBytes = 4 << 10

// handleUnreadBody decides what happens to a body that has not been read to its
// end: the connection is closed after a 2xx response or a long body, and only a 2xx
// response streams while the body is arriving.
func (w *bodyAwareWriter) handleUnreadBody(status int) {
	if w.body.atEOF.Load() {
		return
	}
	success := status < http.StatusMultipleChoices
	if success || !w.body.short {
		w.Header().Set("Connection", "close")
	}
	if success {
		_ = http.NewResponseController(w.ResponseWriter).EnableFullDuplex()
	}
}

// Write writes a part of the response.
func (w *bodyAwareWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// ReadFrom copies the response from a reader.
func (w *bodyAwareWriter) ReadFrom(src io.Reader) (int64, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return io.Copy(w.ResponseWriter, src)
}

// Unwrap returns the server's response writer, for http.ResponseController.
func (w *bodyAwareWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// trackedBody is a request's body that records whether it has been read to its
// end, and whose reads fail when no bytes arrive for stallTimeout.
type trackedBody struct {
	io.ReadCloser
	atEOF atomic.Bool
	// short is set when the declared length is at most shortBodyBytes.
	short        bool
	stallTimeout time.Duration // 0 means no limit

	mu sync.Mutex
	// setReadDeadline is that of the connection, nil once the handler has returned.
	// From then on the server interrupts reads by the deadline: a later one, set by a
	// read that is still under way in another goroutine, would leave the server and
	// the caller waiting for each other.
	setReadDeadline func(time.Time) error
}

// extendDeadline gives the next bytes stallTimeout to arrive.
func (b *trackedBody) extendDeadline() { b.setDeadline(time.Now().Add(b.stallTimeout)) }

// setDeadline sets the connection's read deadline, unless there is no limit or the
// handler has returned.
func (b *trackedBody) setDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stallTimeout > 0 && b.setReadDeadline != nil {
		_ = b.setReadDeadline(t) // the error is ignored: only real connections have deadlines
	}
}

// detach leaves the connection's read deadline to the server.
func (b *trackedBody) detach() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setReadDeadline = nil
}

// Read reads the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.atEOF.Load() {
		b.extendDeadline()
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.atEOF.Swap(true) {
		b.setDeadline(time.Time{}) // the server keeps reading to detect that the caller disconnects
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%w: nothing for %v", errStalled, b.stallTimeout)
	}
	return n, err
}

// errStalled is returned when no bytes of a body arrive within the stall timeout.
var errStalled = errors.New("request's body stalled")
