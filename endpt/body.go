package endpt

import (
	"errors"
	"io"
	"sync"
)

// ReplayLimit is the number of bytes from the start of a body that are kept in
// memory so that another dispatch can send them again.
const ReplayLimit = 64 << 10

// minPooledLength is the length in bytes from which a body's first bytes are
// kept in a buffer of the pool.
const minPooledLength = 4 << 10

var (
	// errReaderReplaced is returned by a reader that was closed or replaced by
	// that of a later dispatch.
	errReaderReplaced = errors.New("dispatch has ended")
	// errNotReplayable is returned for a body that can't be read from its start
	// any more.
	errNotReplayable = errors.New("body has been read")
)

// Body is a request's body that several dispatches may read one after another,
// as long as no more than ReplayLimit bytes have been read.
type Body struct {
	source io.Reader
	length int64

	mu sync.Mutex
	// current is the only reader that may start a read; an older one may still be
	// within a read of source.
	current *bodyReader
	// reading is true while a read of source is in progress; idle is signalled
	// when it ends, when the current reader is closed and by Release.
	reading bool
	idle    sync.Cond
	// replayBuf holds the first bytes read from source, at most ReplayLimit.
	replayBuf []byte
	// unreplayable is true once bytes past replayBuf may have been read from
	// source, which are not kept, and after Release.
	unreplayable bool
	// err is the error that source returned last, io.EOF at its end.
	err error
	// pooledBuf is the array of the pool that replayBuf uses, if any.
	pooledBuf *[ReplayLimit]byte
}

// NewBody returns a body read from source. Its length in bytes is -1 when unknown.
func NewBody(source io.Reader, length int64) *Body {
	b := &Body{source: source, length: length}
	b.idle.L = &b.mu
	switch {
	case length >= minPooledLength:
		b.pooledBuf = buffers.Get().(*[ReplayLimit]byte)
		b.replayBuf = b.pooledBuf[:0]
	case length > 0:
		b.replayBuf = make([]byte, 0, length)
	}
	return b
}

// Release ends the reader of the last dispatch and frees the bytes kept. The
// body can't be read any more.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current, b.replayBuf, b.unreplayable = nil, nil, true
	b.idle.Broadcast()
	if b.pooledBuf != nil {
		buffers.Put(b.pooledBuf)
		b.pooledBuf = nil
	}
}

// Length returns the body's length in bytes, or -1 when unknown.
func (b *Body) Length() int64 { return b.length }

// Replayable tells whether another dispatch can still read the whole body.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replayable()
}

func (b *Body) replayable() bool {
	return !b.unreplayable && (b.err == nil || errors.Is(b.err, io.EOF))
}

// newReader ends the readers of earlier dispatches and returns a reader of the
// whole body, or errNotReplayable.
func (b *Body) newReader() (*bodyReader, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.replayable() {
		return nil, errNotReplayable
	}
	b.current = &bodyReader{body: b}
	return b.current, nil
}

type bodyReader struct {
	body *Body
	pos  int // number of bytes read from replayBuf
}

// Read reads from the kept bytes first. It waits for a read of the source that
// an earlier dispatch has begun, whose bytes are kept as well.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.current == r && b.reading && r.pos == len(b.replayBuf) {
		b.idle.Wait()
	}
	switch {
	case b.current != r:
		return 0, errReaderReplaced
	case r.pos < len(b.replayBuf):
		n := copy(p, b.replayBuf[r.pos:])
		r.pos += n
		return n, nil
	case b.err != nil:
		return 0, b.err
	default:
		return r.readSource(p)
	}
}

// readSource reads from the source. It releases b.mu during the read.
func (r *bodyReader) readSource(p []byte) (int, error) {
	b := r.body
	unreplayable, keep := b.unreplayable, len(b.replayBuf) < ReplayLimit
	if keep {
		p = p[:min(len(p), ReplayLimit-len(b.replayBuf))]
	}
	b.unreplayable, b.reading = !keep, true
	b.mu.Unlock()
	n, err := b.source.Read(p)
	b.mu.Lock()
	b.reading = false
	b.idle.Broadcast()
	b.err = err
	switch {
	case keep && b.unreplayable: // the body was released during the read
	case keep:
		b.replayBuf = append(b.replayBuf, p[:n]...)
		r.pos += n
	default:
		b.unreplayable = unreplayable || n > 0
	}
	return n, err
}

// Close ends the reader: later reads return errReaderReplaced.
func (r *bodyReader) Close() error {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == r {
		b.current = nil
		b.idle.Broadcast()
	}
	return nil
}
