package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"shallotpaddle/conf"
)

// bodyAwareWriter lets a good answer stream while the request's body still arrives. The
// connection ends with such an answer, since what is left of the body must not
// be taken for another request. Before any other answer the server itself would
// read what is left of the body, for as long as the caller takes to send it: such
// an answer ends the connection too unless the body is short.
type bodyAwareWriter struct {
	http.ResponseWriter
	body *trackedBody
	// wroteHeader tells that the answer's status has been written.
	wroteHeader bool
}

// newBodyAwareWriter returns the response and a copy of the request for a handler. The
// server looks at its own request's body, which stays as it is.
func newBodyAwareWriter(w http.ResponseWriter, r *http.Request, limits conf.Listener) (*bodyAwareWriter, *http.Request) {
	body := &trackedBody{
		ReadCloser: http.MaxBytesReader(w, r.Body, int64(limits.MaxBodyBytes)), stallTimeout: limits.StallTimeout.Std(),
		setReadDeadline: http.NewResponseController(w).SetReadDeadline, short: r.ContentLength >= 0 && r.ContentLength <= shortBodyBytes,
	}
	body.atEOF.Store(r.ContentLength == 0)
	if r.ContentLength != 0 {
		body.extendDeadline() // also for a body that only the server reads
	}
	r = r.WithContext(r.Context())
	r.Body = body
	return &bodyAwareWriter{ResponseWriter: w, body: body}, r
}

// WriteHeader begins the answer.
func (d *bodyAwareWriter) WriteHeader(status int) {
	if !d.wroteHeader && status >= http.StatusOK {
		d.wroteHeader = true
		d.handleUnreadBody(status)
	}
	d.ResponseWriter.WriteHeader(status)
}

// shortBodyBytes is the length in bytes up to which a body has arrived with its header
// as a rule: the server's first read takes in as much.
const shortBodyBytes = 4 << 10

// handleUnreadBody ends the connection with the answer if the body is still arriving.
func (d *bodyAwareWriter) handleUnreadBody(status int) {
	if d.body.atEOF.Load() {
		return
	}
	good := status < http.StatusMultipleChoices
	if good || !d.body.short {
		d.Header().Set("Connection", "close")
	}
	if good {
		_ = http.NewResponseController(d.ResponseWriter).EnableFullDuplex()
	}
}

// Write writes a part of the answer.
func (d *bodyAwareWriter) Write(p []byte) (int, error) {
	if !d.wroteHeader {
		d.WriteHeader(http.StatusOK)
	}
	return d.ResponseWriter.Write(p)
}

// ReadFrom writes the answer from a reader.
func (d *bodyAwareWriter) ReadFrom(src io.Reader) (int64, error) {
	if !d.wroteHeader {
		d.WriteHeader(http.StatusOK)
	}
	return io.Copy(d.ResponseWriter, src)
}

// Unwrap returns the server's response, for http.ResponseController.
func (d *bodyAwareWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }

// trackedBody is a request's body that remembers whether it has been read to
// its end, and that fails when nothing arrives for a while.
type trackedBody struct {
	io.ReadCloser
	atEOF atomic.Bool
	// short tells that the body is declared to be no longer than shortBody.
	short           bool
	stallTimeout    time.Duration
	setReadDeadline func(time.Time) error // of the connection's reads
}

// extendDeadline bounds the wait for the next bytes.
func (b *trackedBody) extendDeadline() {
	if b.stallTimeout > 0 {
		_ = b.setReadDeadline(time.Now().Add(b.stallTimeout)) // only connections have deadlines
	}
}

// Read reads the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.atEOF.Load() {
		b.extendDeadline()
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.atEOF.Swap(true) && b.stallTimeout > 0 {
		_ = b.setReadDeadline(time.Time{}) // the server goes on reading to notice a caller that leaves
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%w: nothing for %v", errStalled, b.stallTimeout)
	}
	return n, err
}

// errStalled is returned for a body that makes no progress.
var errStalled = errors.New("request's body stalled")
