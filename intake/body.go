package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// pieceBytes is the size of the pieces in which large bodies are kept until they have arrived.
const pieceBytes = 16 << 10

// pieces are reused, so that bodies that never arrive leave no garbage.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// workFactor is how many times the length of a body its handling takes in memory at most, from
// decoding to the answer: decoded, encoded for the store, and encoded again in a write that may be
// sent twice.
const workFactor = 16

// roomTime is how long a request waits for room: longer than it takes to notice a body that
// stalls.
const roomTime = 2 * stallTime

// Read reads the body of a request, of at most limit bytes. The returned function must be called
// when the request has been handled. Errors are ErrTooLong, ErrNoRoom, or those of the connection.
func (g *Gate) Read(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), error) {
	if r.ContentLength > limit {
		return nil, nil, ErrTooLong
	}
	c := connOf(r.Context())
	if g == nil || c == nil {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		return b, func() {}, tooLong(err)
	}
	body := &body{gate: g, client: c.client, src: http.MaxBytesReader(w, r.Body, limit), want: r.ContentLength}
	return body.read(ctx)
}

func tooLong(err error) error {
	var e *http.MaxBytesError
	if errors.As(err, &e) {
		return ErrTooLong
	}
	return err
}

// body is a body that is being received.
type body struct {
	gate   *Gate
	client *Client
	src    io.Reader
	want   int64 // declared length; negative if unknown

	list [][]byte // pieces; only the last one is not full
	size int64
}

func (b *body) read(ctx context.Context) ([]byte, func(), error) {
	first := int64(SmallBody)
	if b.want >= 0 {
		first = b.want
	}
	if !b.gate.receive(ctx, b.client, b.want, first) {
		return nil, nil, ErrNoRoom
	}
	if b.want >= 0 && b.want <= SmallBody {
		small := make([]byte, b.want)
		_, err := io.ReadFull(counted{b}, small)
		if err != nil {
			return nil, nil, err
		}
		b.gate.complete(b.client)
		return small, func() {}, nil
	}
	defer b.recycle()
	if err := b.fill(ctx); err != nil {
		return nil, nil, tooLong(err)
	}
	b.gate.complete(b.client)
	if b.size <= SmallBody {
		return b.join(), func() {}, nil
	}
	weight := min(b.size*workFactor, b.gate.limits.WorkBytes)
	if b.gate.work.Acquire(ctx, weight) != nil {
		b.gate.refuse(Work)
		return nil, nil, ErrNoRoom
	}
	return b.join(), func() { b.gate.work.Release(weight) }, nil
}

// fill reads the whole body into pieces.
func (b *body) fill(ctx context.Context) error {
	var last []byte // room left in the last piece
	for {
		if len(last) == 0 {
			if b.want < 0 && b.size > 0 && !b.gate.more(ctx, b.client) {
				return ErrNoRoom
			}
			last = b.newPiece()
			b.list = append(b.list, last)
		}
		n, err := b.src.Read(last)
		last = last[n:]
		b.size += int64(n)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		b.gate.progress(b.client, int64(n))
	}
}

// newPiece returns an empty piece. The first one of a body of unknown length is as long as a small
// body.
func (b *body) newPiece() []byte {
	if b.want < 0 && b.size == 0 {
		return make([]byte, SmallBody)
	}
	return pieces.Get().(*[pieceBytes]byte)[:]
}

// join returns the body in one piece.
func (b *body) join() []byte {
	out := make([]byte, 0, b.size)
	for _, p := range b.list {
		out = append(out, p[:min(b.size-int64(len(out)), int64(len(p)))]...)
	}
	return out
}

// recycle gives the pieces back.
func (b *body) recycle() {
	for _, p := range b.list {
		if len(p) == pieceBytes {
			pieces.Put((*[pieceBytes]byte)(p))
		}
	}
	b.list = nil
}

// receive notes that a body is awaited, and takes room for its first n bytes.
func (g *Gate) receive(ctx context.Context, c *Client, want, n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Receive(c, want, g.clock.Now())
	return g.charge(ctx, c, n, n <= SmallBody)
}

// progress notes that n bytes of a body have come.
func (g *Gate) progress(c *Client, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Progress(c, n, g.clock.Now())
}

// more takes room for another piece of a body.
func (g *Gate) more(ctx context.Context, c *Client) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.charge(ctx, c, pieceBytes, false)
}

func (g *Gate) complete(c *Client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Complete(c)
}

func (g *Gate) refuse(c Cause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.note(c)
}

// charge takes room for n bytes of a body. If there is none, it closes the bodies that may be, and
// waits until they are. The mutex is held, and released while it waits.
func (g *Gate) charge(ctx context.Context, c *Client, n int64, small bool) bool {
	if g.ledger.Charge(c, n, small) {
		return true
	}
	n = g.ledger.Need(c, n)
	c.heldBack = true
	g.waiters++
	defer func() { c.heldBack, c.last = false, g.clock.Now(); g.waiters-- }()
	end := g.clock.NewTimer(roomTime)
	defer end.Stop()
	for !g.ledger.Charge(c, n, small) {
		if victim := g.ledger.MakeRoom(n, small, g.clock.Now()); victim != nil {
			g.note(Slow)
			victim.conn.abort()
			continue
		}
		if c.cut || !g.await(ctx, end.C) {
			g.note(Body)
			return false
		}
	}
	return true
}

// pollTime is how often a request that waits for room looks for bodies that stall.
const pollTime = 50 * time.Millisecond

// await waits until room becomes free, or for pollTime. It returns false if the time is over. The
// mutex is held, and released meanwhile.
func (g *Gate) await(ctx context.Context, end <-chan time.Time) bool {
	room := g.room
	poll := g.clock.NewTimer(pollTime)
	defer poll.Stop()
	g.mu.Unlock()
	defer g.mu.Lock()
	select {
	case <-room:
	case <-poll.C:
	case <-end:
		return false
	case <-ctx.Done():
		return false
	}
	return true
}

// counted notes the progress of a body as it is read.
type counted struct{ *body }

func (c counted) Read(p []byte) (int, error) {
	n, err := c.src.Read(p)
	if n > 0 {
		c.gate.progress(c.client, int64(n))
	}
	return n, err
}
