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
	body.idle.L = &body.mu
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

	// setReadDeadline sets the connection's read deadline.
	setReadDeadline func(time.Time) error

	mu sync.Mutex
	// detached is set once the handler has ended, reading while a read is under way;
	// idle is signalled when it ends.
	detached, reading bool
	idle              sync.Cond
}

// extendDeadline gives the next bytes stallTimeout to arrive.
func (b *trackedBody) extendDeadline() {
	if b.stallTimeout > 0 {
		_ = b.setReadDeadline(time.Now().Add(b.stallTimeout)) // the error is ignored: only real connections have deadlines
	}
}

// detach ends reads of the body when the handler has ended: it interrupts a read that
// is under way in another goroutine, such as that of the client of the workers, and
// waits for its end. Otherwise the read might come to the body's end just when the
// server ends the request, and server and caller would wait for each other.
func (b *trackedBody) detach() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detached = true
	if !b.reading || b.setReadDeadline(time.Unix(1, 0)) != nil {
		return
	}
	for b.reading {
		b.idle.Wait()
	}
	// The deadline stays, so that the server doesn't wait for the rest of the body. It
	// sets another one before it reads the next request.
}

// beginRead reports whether a read may begin, and gives it its deadline.
func (b *trackedBody) beginRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.detached {
		return false
	}
	b.reading = true
	if !b.atEOF.Load() {
		b.extendDeadline()
	}
	return true
}

// endRead notes the end of a read.
func (b *trackedBody) endRead(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.idle.Broadcast()
	if errors.Is(err, io.EOF) && !b.atEOF.Swap(true) && b.stallTimeout > 0 && !b.detached {
		_ = b.setReadDeadline(time.Time{}) // the server keeps reading to detect that the caller disconnects
	}
}

// Read reads the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.beginRead() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.ReadCloser.Read(p)
	b.endRead(err)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%w: nothing for %v", errStalled, b.stallTimeout)
	}
	return n, err
}

// errStalled is returned when no bytes of a body arrive within the stall timeout.
var errStalled = errors.New("request's body stalled")
