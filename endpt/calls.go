package endpt

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

// States of a task that a worker reports.
const (
	StateRunning = "running"
	StateDone    = "done"
	StateFailed  = "failed"
)

// Usage is a worker's usage report. It may be older than the answer by the lag
// that the worker states in it.
type Usage struct {
	Boot  string         `json:"boot"`
	Slots int            `json:"slots"`
	Busy  int            `json:"busy"`
	Pools map[string]int `json:"pools"`
	// Open is false on a worker that refuses new tasks because it is leaving.
	Open bool `json:"open"`
}

// Usage returns the worker's usage report.
func (c *Client) Usage(ctx context.Context, addr string) (Usage, error) {
	var u Usage
	err := c.call(ctx, http.MethodGet, addr, "/usage", &u)
	return u, err
}

// State returns the state of a task and the worker's boot id, or ErrNoTask.
func (c *Client) State(ctx context.Context, addr, id string) (state, boot string, err error) {
	var out struct {
		State string `json:"state"`
		Boot  string `json:"boot"`
	}
	err = c.call(ctx, http.MethodGet, addr, "/tasks/"+url.PathEscape(id), &out)
	return out.State, out.Boot, err
}

// Result returns the answer of a task that is done, truncated to limit bytes.
func (c *Client) Result(ctx context.Context, addr, id string, limit int64) ([]byte, error) {
	res, err := c.do(ctx, http.MethodGet, addr, "/tasks/"+url.PathEscape(id)+"/result")
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	return io.ReadAll(io.LimitReader(res.Body, limit))
}

// Renew extends the lease of a task to ttl from now.
func (c *Client) Renew(ctx context.Context, addr, id string, ttl time.Duration) error {
	return c.call(ctx, http.MethodPut, addr, "/tasks/"+url.PathEscape(id)+"/lease?ttl="+ttl.String(), nil)
}

// Stop stops a task.
func (c *Client) Stop(ctx context.Context, addr, id string) error {
	return c.call(ctx, http.MethodPost, addr, "/tasks/"+url.PathEscape(id)+"/stop", nil)
}

func (c *Client) call(ctx context.Context, method, addr, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w := wait{begun: time.Now()}
	err := c.exchange(httptrace.WithClientTrace(ctx, w.trace()), method, addr, path, out)
	if err == nil || errors.Is(err, ErrNoTask) {
		c.heard.add(addr, time.Now())
		return err
	}
	if ctx.Err() != nil && w.forConnection(time.Now()) && c.heard.since(addr, w.begun) {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return err
}

// wait is the time of one control call.
type wait struct {
	begun time.Time
	sent  atomic.Int64 // Unix nanoseconds when it got the connection; 0 before
}

func (w *wait) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { w.sent.Store(time.Now().UnixNano()) }}
}

// forConnection tells whether the call had the connection for less than half of its time.
func (w *wait) forConnection(now time.Time) bool {
	sent := w.sent.Load()
	return sent == 0 || now.UnixNano()-sent < int64(now.Sub(w.begun)/2)
}

// repliesKept is how long a reply is remembered, which is longer than any control call takes.
const repliesKept = time.Minute

// replies has the time of each worker's last reply to a control call, by address.
type replies struct {
	mu       sync.Mutex
	last     map[string]time.Time
	prunedAt time.Time
}

// add records a reply, and forgets the old ones of others from time to time.
func (r *replies) add(addr string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[addr] = now
	if now.Sub(r.prunedAt) < repliesKept {
		return
	}
	r.prunedAt = now
	maps.DeleteFunc(r.last, func(_ string, at time.Time) bool { return now.Sub(at) >= repliesKept })
}

// since reports whether a worker has replied after a time.
func (r *replies) since(addr string, t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last[addr].After(t)
}

func (c *Client) exchange(ctx context.Context, method, addr, path string, out any) error {
	res, err := c.do(ctx, method, addr, path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxControlBody))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, addr, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	res, err := c.control.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	if res.StatusCode < http.StatusMultipleChoices {
		return res, nil
	}
	_ = res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("%s %s: %w", method, path, ErrNoTask)
	}
	return nil, fmt.Errorf("%s %s: %s", method, path, res.Status)
}
