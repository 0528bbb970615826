package peers

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"shallotpaddle/intake"
)

// stream reads and writes messages on one connection: the length as a varint, then JSON. It bounds what
// the other end can make the process hold: room is taken for a message before it is read, and for a call
// until it is answered. It is also the handler of the connection's calls.
type stream struct {
	conn    net.Conn
	in      *bufio.Reader
	calls   intake.Calls
	limits  Limits
	handler jsonrpc2.Handler
	ctx     context.Context // of the connection

	// room is what the message takes that was read last, until it is known to be a call. It is
	// used by the goroutine that reads.
	room   int64
	unused bool

	mu  sync.Mutex // guards out
	out *bufio.Writer
}

func newStream(ctx context.Context, c net.Conn, calls intake.Calls, limits Limits) *stream {
	return &stream{conn: c, in: bufio.NewReader(c), calls: calls, limits: limits, ctx: ctx, out: bufio.NewWriter(c)}
}

// WriteObject writes a message.
func (s *stream) WriteObject(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := (jsonrpc2.VarintObjectCodec{}).WriteObject(s.out, v); err != nil {
		return err
	}
	return s.out.Flush()
}

// pieceBytes is the size of the pieces in which a message is read.
const pieceBytes = 16 << 10

// ReadObject reads the next message.
func (s *stream) ReadObject(v any) error {
	s.endMessage()
	n, err := binary.ReadUvarint(s.in)
	if err != nil {
		return err
	}
	if s.limits.MaxBytes > 0 && n > uint64(s.limits.MaxBytes) {
		return fmt.Errorf("%w: %d bytes, limit %d", ErrTooLong, n, s.limits.MaxBytes)
	}
	room, ok := s.calls.Begin(s.ctx, int64(n))
	if !ok {
		return intake.ErrNoRoom
	}
	b, err := s.readMessage(int(n))
	if err != nil {
		return err
	}
	s.calls.Arrived()
	s.room, s.unused = room, true
	return json.Unmarshal(b, v)
}

// readMessage reads a message of n bytes. Memory is taken as they arrive.
func (s *stream) readMessage(n int) ([]byte, error) {
	defer s.setDeadline(time.Time{})
	b := make([]byte, 0, min(n, pieceBytes))
	for len(b) < n {
		if s.limits.StallTimeout > 0 && s.in.Buffered() == 0 {
			s.setDeadline(time.Now().Add(s.limits.StallTimeout))
		}
		if len(b) == cap(b) {
			b = append(make([]byte, 0, min(n, 4*cap(b))), b...)
		}
		got, err := s.in.Read(b[len(b):min(cap(b), len(b)+pieceBytes)])
		b = b[:len(b)+got]
		s.calls.Progress(int64(got))
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (s *stream) setDeadline(t time.Time) {
	if s.limits.StallTimeout > 0 {
		_ = s.conn.SetReadDeadline(t) // a connection that has ended has no deadline
	}
}

// endMessage releases the room of the last message, if that was no call.
func (s *stream) endMessage() {
	if s.unused {
		s.unused = false
		s.calls.End(s.room)
	}
}

// Handle serves a call in a goroutine of its own. It is called by the goroutine that has read the call,
// before it reads the next message.
func (s *stream) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	room := s.room
	s.unused = false
	go func() {
		defer s.calls.End(room)
		size := 0
		if r.Params != nil {
			size = len(*r.Params)
		}
		done, ok := s.calls.Work(ctx, int64(size))
		if !ok {
			return // the connection has ended
		}
		defer done()
		s.handler.Handle(ctx, c, r)
	}()
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
