package endpt

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"shallotpaddle/table"
)

var (
	// ErrNotRun is returned with proof that the task was not started: no
	// connection, no byte sent, or the worker's refusal.
	ErrNotRun = errors.New("task was not run")
	// ErrFull is an ErrNotRun: the worker has too few free slots.
	ErrFull = fmt.Errorf("worker is full: %w", ErrNotRun)
	// ErrLeaving is an ErrNotRun: the worker takes no new tasks.
	ErrLeaving = fmt.Errorf("worker is leaving: %w", ErrNotRun)
	// ErrDial is an ErrNotRun: the worker could not be reached.
	ErrDial = fmt.Errorf("worker is unreachable: %w", ErrNotRun)
	// ErrDuplicate is returned when the worker has seen the task's id before;
	// an earlier dispatch of the same id has run.
	ErrDuplicate = errors.New("task id was started before")
	// ErrUnknown is returned when the task may have run.
	ErrUnknown = errors.New("outcome of task unknown")
	// ErrForeign is an ErrUnknown: the answer belongs to another task.
	ErrForeign = fmt.Errorf("answer of another task: %w", ErrUnknown)
	// ErrNoTask is returned for a task that the worker does not know.
	ErrNoTask = errors.New("no such task")
)

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
	// continueWait is how long a long body is held back for the worker's word.
	continueWait = time.Second
	callTimeout  = 2 * time.Second
	// bufferSize is the size of a connection's buffers, in bytes.
	bufferSize = 32 << 10
	// freshConns and controlConns are the connections to each worker for tasks
	// dispatched again and for control calls, which must not wait for tasks.
	freshConns    = 1
	controlConns  = 1
	reservedConns = freshConns + controlConns
	// maxUsage bounds the body of a usage report, in bytes.
	maxUsage = 64 << 10
)

// Task is one dispatch to a worker.
type Task struct {
	ID    string
	Pool  string
	Queue string
	Kind  string
	Slots int
	// Lease is how long the task may run without a renewal, whatever becomes of
	// the connection; 0 ties the task to its connection.
	Lease time.Duration
	// Repeated tells that the same id was dispatched before. It keeps late copies of
	// earlier answers away from the new one.
	Repeated bool
	Body     *Body
}

// Answer is a worker's answer. Its body ends with io.EOF only if it is whole.
type Answer struct {
	Status int
	Type   string
	// Length is -1 when unknown.
	Length int64
	Body   io.ReadCloser
}

// Client calls workers. It is safe for concurrent use and never dispatches a
// task twice.
type Client struct {
	pooled, fresh, control lane
	foreign                atomic.Int64
}

// lane is a set of connections to workers.
type lane struct {
	http *http.Client
	gate *gate
}

// New returns a client with at most conns connections to each worker for tasks,
// and reservedConns besides.
func New(conns int) *Client {
	c := &Client{pooled: newLane(conns), fresh: newLane(freshConns), control: newLane(controlConns)}
	c.fresh.transport().DisableKeepAlives = true
	return c
}

func newLane(conns int) lane {
	tr := &http.Transport{
		DialContext:           dialer(dialTimeout),
		MaxConnsPerHost:       conns,
		MaxIdleConnsPerHost:   conns,
		IdleConnTimeout:       idleTimeout,
		ExpectContinueTimeout: continueWait,
		DisableCompression:    true,
		WriteBufferSize:       bufferSize,
		ReadBufferSize:        bufferSize,
	}
	// A worker that sends a task on to another address would have it run twice.
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return lane{http: &http.Client{Transport: tr, CheckRedirect: stay}, gate: newGate(conns)}
}

func (l lane) transport() *http.Transport { return l.http.Transport.(*http.Transport) }

// Close closes idle connections.
func (c *Client) Close() {
	for _, l := range []lane{c.pooled, c.fresh, c.control} {
		l.http.CloseIdleConnections()
	}
}

// Foreign returns the number of answers dropped because they belonged to
// another task.
func (c *Client) Foreign() int64 { return c.foreign.Load() }

// Run dispatches a task once. Without an error the caller must close the
// answer's body. The error is an ErrNotRun, ErrDuplicate or ErrUnknown.
func (c *Client) Run(ctx context.Context, addr string, t Task) (*Answer, error) {
	l := c.pooled
	if t.Repeated {
		l = c.fresh
	}
	if !l.gate.take(addr) {
		return nil, fmt.Errorf("no connection to it is free: %w", ErrFull)
	}
	a, err := c.dispatch(ctx, l, addr, t)
	if err != nil {
		l.gate.give(addr)
		return nil, err
	}
	a.Body = &answerBody{ReadCloser: a.Body, done: func() { l.gate.give(addr) }}
	return a, nil
}

// answerBody calls done once when it is closed.
type answerBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close ends the answer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.done)
	return err
}

func (c *Client) dispatch(ctx context.Context, l lane, addr string, t Task) (*Answer, error) {
	var used atomic.Pointer[conn]
	var mark atomic.Int64
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if cc, ok := i.Conn.(*conn); ok {
			mark.Store(cc.sent())
			used.Store(cc)
		}
	}}
	req, err := runRequest(httptrace.WithClientTrace(ctx, trace), addr, t)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	res, err := l.http.Do(req)
	cc := used.Load()
	switch {
	case err == nil:
		a, err := c.answer(res, t.ID)
		if errors.Is(err, ErrUnknown) {
			// What comes next on this connection may be another task's as well.
			_ = cc.Close()
		}
		return a, err
	case cc == nil && ctx.Err() != nil:
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	case cc == nil:
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	case cc.seal() == mark.Load():
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	default:
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
}

func runRequest(ctx context.Context, addr string, t Task) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/run", http.NoBody)
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set("Task", t.ID)
	h.Set("Pool", t.Pool)
	h.Set("Queue", t.Queue)
	h.Set("Kind", t.Kind)
	h.Set("Slots", strconv.Itoa(max(1, t.Slots)))
	if t.Lease > 0 {
		h.Set("Lease", t.Lease.String())
	}
	if t.Body == nil || t.Body.Length() == 0 {
		return req, nil
	}
	body, err := t.Body.reader()
	if err != nil {
		return nil, err
	}
	req.Body, req.ContentLength = body, t.Body.Length()
	if req.ContentLength < 0 || req.ContentLength > ReplayLimit {
		h.Set("Expect", "100-continue")
		// On a connection that is kept, the transport sends the body even after a
		// refusal, and it could not be sent again.
		req.Close = true
	}
	return req, nil
}

// answer checks that an answer is the task's own and can be told whole from
// cut short.
func (c *Client) answer(res *http.Response, id string) (*Answer, error) {
	if got := res.Header.Get("Task"); got != id {
		c.foreign.Add(1)
		_ = res.Body.Close()
		return nil, fmt.Errorf("%w: got %q", ErrForeign, got)
	}
	if why := res.Header.Get("Refused"); why != "" && res.StatusCode == http.StatusServiceUnavailable {
		_ = res.Body.Close()
		return nil, refusal(why)
	}
	if res.StatusCode < http.StatusOK {
		_ = res.Body.Close()
		return nil, fmt.Errorf("%w: status %d", ErrUnknown, res.StatusCode)
	}
	chunked := len(res.TransferEncoding) > 0
	if res.ContentLength < 0 && !chunked {
		_ = res.Body.Close()
		return nil, fmt.Errorf("%w: answer has no length", ErrUnknown)
	}
	return &Answer{
		Status: res.StatusCode, Type: res.Header.Get("Content-Type"),
		Length: res.ContentLength, Body: res.Body,
	}, nil
}

func refusal(why string) error {
	switch why {
	case "full":
		return ErrFull
	case "leaving":
		return ErrLeaving
	case "duplicate":
		return ErrDuplicate
	default:
		return fmt.Errorf("refused as %q: %w", why, ErrUnknown)
	}
}

// ConnsPerEntry returns the connections to a worker that each of n entries may use for
// tasks. A worker has enough of them for up to WorkerConns/(reservedConns+1)
// entries.
func ConnsPerEntry(n int) int { return max(1, table.WorkerConns/max(1, n)-reservedConns) }
