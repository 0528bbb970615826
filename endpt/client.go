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
	// ErrNotRun is returned when it is certain that the task was not started:
	// there was no connection, no byte was sent, or the worker refused it.
	ErrNotRun = errors.New("task was not run")
	// ErrFull is an ErrNotRun: the worker has too few free slots.
	ErrFull = fmt.Errorf("worker is full: %w", ErrNotRun)
	// ErrLeaving is an ErrNotRun: the worker accepts no new tasks.
	ErrLeaving = fmt.Errorf("worker is leaving: %w", ErrNotRun)
	// ErrDial is an ErrNotRun: the worker could not be reached.
	ErrDial = fmt.Errorf("worker is unreachable: %w", ErrNotRun)
	// ErrDuplicate is returned when the worker has seen the task's id before;
	// an earlier dispatch of the same id has run.
	ErrDuplicate = errors.New("task id was started before")
	// ErrUnknown is returned when the task may have run.
	ErrUnknown = errors.New("outcome of task unknown")
	// ErrForeign is an ErrUnknown: the answer names another task.
	ErrForeign = fmt.Errorf("answer of another task: %w", ErrUnknown)
	// ErrBusy is returned for a control call that waited for the connection to the worker
	// for most of its time, while the worker answered others: the worker is not silent.
	ErrBusy = errors.New("worker answers other calls")
	// ErrNoTask is returned for a task that is unknown to the worker.
	ErrNoTask = errors.New("no such task")
)

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
	// continueTimeout is how long a long body waits for the worker's 100 Continue
	// before it is sent without.
	continueTimeout = time.Second
	callTimeout     = 2 * time.Second
	// bufferSize is the size of a connection's read and write buffers, in bytes.
	bufferSize = 32 << 10
	// repeatConns and controlConns are the numbers of connections to each worker
	// for repeated dispatches and for control calls, which must not wait for
	// tasks.
	repeatConns   = 1
	controlConns  = 1
	reservedConns = repeatConns + controlConns
	// maxControlBody bounds the body of an answer to a control call, in bytes.
	maxControlBody = 64 << 10
)

// Task is one dispatch of a task to a worker.
type Task struct {
	ID    string
	Pool  string
	Queue string
	Kind  string
	Slots int
	// Lease is how long the task may run without a renewal, even if its
	// connection breaks; with 0 the task is stopped when its connection ends.
	Lease time.Duration
	// Repeated is true if the same id was dispatched before. The dispatch then
	// uses a new connection, on which no late answer to an earlier one can arrive.
	Repeated bool
	Body     *Body
}

// Answer is a worker's answer. Its body ends with io.EOF only if it is complete.
type Answer struct {
	Status int
	Type   string
	// Length is -1 when unknown.
	Length int64
	Body   io.ReadCloser
}

// Client calls workers. It is safe for concurrent use and never repeats a
// dispatch by itself.
type Client struct {
	tasks, repeats, control limitedClient
	foreign                 atomic.Int64
	heard                   replies
}

// limitedClient is an HTTP client with a limit of dispatches in flight to each
// worker.
type limitedClient struct {
	http    *http.Client
	limiter *limiter
}

// New returns a client with at most conns connections to each worker for tasks
// dispatched the first time, and reservedConns more.
func New(conns int) *Client {
	c := &Client{tasks: newLimitedClient(conns), repeats: newLimitedClient(repeatConns), control: newLimitedClient(controlConns)}
	c.heard.last = map[string]time.Time{}
	c.repeats.transport().DisableKeepAlives = true
	return c
}

func newLimitedClient(conns int) limitedClient {
	tr := &http.Transport{
		DialContext:           dialer(dialTimeout),
		MaxConnsPerHost:       conns,
		MaxIdleConnsPerHost:   conns,
		IdleConnTimeout:       idleTimeout,
		ExpectContinueTimeout: continueTimeout,
		DisableCompression:    true,
		WriteBufferSize:       bufferSize,
		ReadBufferSize:        bufferSize,
	}
	// Following a worker's redirect could run the task twice.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return limitedClient{http: &http.Client{Transport: tr, CheckRedirect: noRedirect}, limiter: newLimiter(conns)}
}

func (l limitedClient) transport() *http.Transport { return l.http.Transport.(*http.Transport) }

// Close closes idle connections.
func (c *Client) Close() {
	for _, l := range []limitedClient{c.tasks, c.repeats, c.control} {
		l.http.CloseIdleConnections()
	}
}

// Foreign returns the number of answers dropped because they named another
// task.
func (c *Client) Foreign() int64 { return c.foreign.Load() }

// Run dispatches a task once. Without an error the caller must close the
// answer's body. The error is an ErrNotRun, ErrDuplicate or ErrUnknown.
func (c *Client) Run(ctx context.Context, addr string, t Task) (*Answer, error) {
	l := c.tasks
	if t.Repeated {
		l = c.repeats
	}
	if !l.limiter.acquire(addr) {
		return nil, fmt.Errorf("no connection to it is free: %w", ErrFull)
	}
	a, err := c.dispatch(ctx, l, addr, t)
	if err != nil {
		l.limiter.release(addr)
		return nil, err
	}
	a.Body = &answerBody{ReadCloser: a.Body, done: func() { l.limiter.release(addr) }}
	return a, nil
}

// answerBody calls done when it is closed the first time.
type answerBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close closes the answer's body.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.done)
	return err
}

func (c *Client) dispatch(ctx context.Context, l limitedClient, addr string, t Task) (*Answer, error) {
	var usedConn atomic.Pointer[conn]
	var sentBefore atomic.Int64 // bytes sent on usedConn before this request
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if cc, ok := i.Conn.(*conn); ok {
			sentBefore.Store(cc.sent())
			usedConn.Store(cc)
		}
	}}
	req, err := runRequest(httptrace.WithClientTrace(ctx, trace), addr, t)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	res, err := l.http.Do(req)
	cc := usedConn.Load()
	switch {
	case err == nil:
		a, err := c.checkAnswer(res, t.ID)
		if errors.Is(err, ErrUnknown) {
			// Later answers on this connection may belong to other tasks, too.
			_ = cc.Close()
		}
		return a, err
	case cc == nil && ctx.Err() != nil:
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	case cc == nil:
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	case cc.seal() == sentBefore.Load():
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
	body, err := t.Body.newReader()
	if err != nil {
		return nil, err
	}
	req.Body, req.ContentLength = body, t.Body.Length()
	if req.ContentLength < 0 || req.ContentLength > ReplayLimit {
		h.Set("Expect", "100-continue")
		// On a connection that is kept alive, the transport sends the body even
		// after a refusal, and then it could not be sent again.
		req.Close = true
	}
	return req, nil
}

// checkAnswer checks that an answer names its task and has a length or chunks, by
// which a truncated body is noticed. It turns refusals into errors.
func (c *Client) checkAnswer(res *http.Response, id string) (*Answer, error) {
	if got := res.Header.Get("Task"); got != id {
		c.foreign.Add(1)
		_ = res.Body.Close()
		return nil, fmt.Errorf("%w: got %q", ErrForeign, got)
	}
	if why := res.Header.Get("Refused"); why != "" && res.StatusCode == http.StatusServiceUnavailable {
		_ = res.Body.Close()
		return nil, refusalError(why)
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

func refusalError(why string) error {
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

// ConnsPerEntry returns the number of connections to one worker that each of
// the given number of entries may use for tasks. It is at least 1; with more than
// WorkerConns/(reservedConns+1) entries the connections that a worker accepts may
// not suffice.
func ConnsPerEntry(entries int) int { return max(1, table.WorkerConns/max(1, entries)-reservedConns) }
