package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// callTimeout is the time after which a call counts as lost; the wait of a watch is
// added to it.
const callTimeout = 2 * time.Second

// Client is an HTTP client of the platform. It is safe for concurrent use and does
// not retry.
type Client struct {
	cachedHosts atomic.Pointer[taggedHosts]
	base        string
	http        *http.Client
	timeout     time.Duration
	guard       *guard // nil for a client of New
}

// New returns a client without rate limits and breaker for the platform at base, such
// as "http://127.0.0.1:7000".
func New(base string) *Client {
	tr := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return &Client{base: base, http: &http.Client{Transport: tr}, timeout: callTimeout}
}

// SetTimeout sets the time after which a call counts as lost. It must be called before
// the first call.
func (c *Client) SetTimeout(d time.Duration) { c.timeout = d }

// SetTransport replaces the HTTP transport. It must be called before the first call.
func (c *Client) SetTransport(rt http.RoundTripper) { c.http.Transport = rt }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the value of a key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	res, body, err := c.call(ctx, http.MethodGet, "/kv/"+key, nil)
	if err != nil {
		return Item{}, fmt.Errorf("get %s: %w", key, err)
	}
	rev, err := strconv.ParseInt(res.Header.Get("Rev"), 10, 64)
	if err != nil {
		return Item{}, fmt.Errorf("get %s: revision: %w", key, err)
	}
	return Item{Key: key, Value: body, Rev: rev}, nil
}

// Put sets a key if its revision is prev, where 0 stands for a key that does
// not exist, and returns the new revision. With a lease the key is deleted when
// the lease ends. It returns ErrConflict, ErrUnknown, ErrUnavailable or
// ErrTooLarge.
func (c *Client) Put(ctx context.Context, key string, value []byte, prev int64, lease string) (int64, error) {
	if len(value) > MaxValue {
		return 0, fmt.Errorf("put %s: %d bytes: %w", key, len(value), ErrTooLarge)
	}
	q := url.Values{"prev": {strconv.FormatInt(prev, 10)}}
	if lease != "" {
		q.Set("lease", lease)
	}
	_, body, err := c.call(ctx, http.MethodPut, "/kv/"+key+"?"+q.Encode(), value)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	var out struct {
		Rev int64 `json:"rev"`
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return 0, fmt.Errorf("put %s: %w: %w", key, ErrUnknown, err)
	}
	return out.Rev, nil
}

// Delete removes a key if its revision is prev.
func (c *Client) Delete(ctx context.Context, key string, prev int64) error {
	_, _, err := c.call(ctx, http.MethodDelete, fmt.Sprintf("/kv/%s?prev=%d", key, prev), nil)
	if err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// List returns the keys under a prefix and the store's revision.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	return c.items(ctx, "/list?prefix="+url.QueryEscape(prefix), 0)
}

// Watch returns the keys under a prefix that changed after a store revision,
// and the revision to continue from. It waits for a change for at most wait and
// returns no items if there is none.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	path := fmt.Sprintf("/watch?prefix=%s&after=%d&wait=%s", url.QueryEscape(prefix), after, wait)
	return c.items(ctx, path, wait)
}

func (c *Client) items(ctx context.Context, path string, wait time.Duration) ([]Item, int64, error) {
	_, body, err := c.callWait(ctx, http.MethodGet, path, nil, wait)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	var out struct {
		Rev   int64  `json:"rev"`
		Items []Item `json:"items"`
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	return out.Items, out.Rev, nil
}

// Grant opens a lease that ends after ttl unless it is renewed.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	_, body, err := c.call(ctx, http.MethodPost, "/lease?ttl="+ttl.String(), nil)
	if err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	var out struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	return out.ID, nil
}

// Renew extends a lease by its TTL. It returns ErrNotFound if the lease has ended.
func (c *Client) Renew(ctx context.Context, lease string) error {
	if _, _, err := c.call(ctx, http.MethodPut, "/lease/"+lease, nil); err != nil {
		return fmt.Errorf("renew lease %s: %w", lease, err)
	}
	return nil
}

// Revoke ends a lease and deletes the keys under it.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	if _, _, err := c.call(ctx, http.MethodDelete, "/lease/"+lease, nil); err != nil {
		return fmt.Errorf("revoke lease %s: %w", lease, err)
	}
	return nil
}

// Hosts returns the platform's list of hosts, which lags behind. The caller must not
// modify it. An unchanged list is not transferred again.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	known := c.cachedHosts.Load()
	res, body, err := c.call(ctx, http.MethodGet, hostsPath, nil)
	if err != nil {
		return nil, fmt.Errorf("hosts: %w", err)
	}
	if res.StatusCode == http.StatusNotModified && known != nil {
		return known.hosts, nil
	}
	var out struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, fmt.Errorf("hosts: %w", err)
	}
	if tag := res.Header.Get("Etag"); tag != "" {
		c.cachedHosts.Store(&taggedHosts{etag: tag, hosts: out.Hosts})
	}
	return out.Hosts, nil
}

const hostsPath = "/hosts"

// taggedHosts is the list of hosts as last read, with its ETag.
type taggedHosts struct {
	etag  string
	hosts []Host
}

// Reboot orders the reboot of a host. Orders with the same op are one order.
func (c *Client) Reboot(ctx context.Context, host, op string) error {
	path := "/hosts/" + url.PathEscape(host) + "/reboot?op=" + url.QueryEscape(op)
	if _, _, err := c.call(ctx, http.MethodPost, path, nil); err != nil {
		return fmt.Errorf("reboot %s: %w", host, err)
	}
	return nil
}

// call sends a request and returns the response and its body if the status is 2xx
// or 304. It returns ErrUnknown for a failed call that may have reached the platform
// and ErrUnavailable for one that did not.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (*http.Response, []byte, error) {
	return c.callWait(ctx, method, path, body, 0)
}

// callWait is like call for a request that the platform may take wait to answer.
func (c *Client) callWait(ctx context.Context, method, path string, body []byte, wait time.Duration) (*http.Response, []byte, error) {
	g := c.guard
	if g == nil {
		return c.send(ctx, method, path, body, wait)
	}
	if err := g.beforeCall(ctx, method != http.MethodGet, wait > 0); err != nil {
		return nil, nil, err
	}
	start := g.clock.Now()
	res, b, err := c.send(ctx, method, path, body, wait)
	g.afterCall(ctx, err, g.clock.Since(start), wait > 0)
	return res, b, err
}

func (c *Client) send(ctx context.Context, method, path string, body []byte, wait time.Duration) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, nonRewindable(body))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if body != nil {
		req.ContentLength = int64(len(body))
	}
	if known := c.cachedHosts.Load(); known != nil && path == hostsPath {
		req.Header.Set("If-None-Match", known.etag)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, nil, transportError(connected.Load(), err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, nil, transportError(true, err)
	}
	return res, b, statusError(res)
}

// nonRewindable returns a reader that the transport can't rewind, so that it doesn't
// send a request twice.
func nonRewindable(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

func transportError(sent bool, err error) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func statusError(res *http.Response) error {
	switch {
	case res.StatusCode < 300, res.StatusCode == http.StatusNotModified:
		return nil
	case res.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case res.StatusCode == http.StatusConflict:
		return ErrConflict
	case res.StatusCode == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case res.StatusCode == http.StatusGone:
		return ErrCompacted
	case res.StatusCode == http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrUnavailable, ErrThrottled)
	case res.StatusCode == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s", ErrUnavailable, res.Status)
	case res.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("%w: %s", ErrUnknown, res.Status)
	default:
		return errors.New(res.Status)
	}
}
