package cmds

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	"shallotpaddle/gen/fleet"
	"shallotpaddle/gen/http/fleet/client"
)

// callTimeout bounds one HTTP request to an entry, its response included.
const callTimeout = 15 * time.Second

// maxResponseBytes is the largest response body read from an entry.
const maxResponseBytes = 64 << 20

// api is a client of the operators' API of one entry.
type api struct {
	*fleet.Client
	token    *string // value of the Authorization header; nil when there is no token
	recorder *recorder
}

// recorder is an HTTP client that keeps the body of the last response, so that
// commands can print it as JSON.
type recorder struct {
	client   *http.Client
	lastBody []byte
}

// Do sends one request, reads the whole response and keeps its body.
func (r *recorder) Do(req *http.Request) (*http.Response, error) {
	if req.Method == http.MethodPost {
		req.Header.Set("Content-Type", "application/yaml")
	}
	res, err := r.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if r.lastBody, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes)); err != nil {
		return nil, err
	}
	res.Body = io.NopCloser(bytes.NewReader(r.lastBody))
	return res, nil
}

func newAPI(entry, token string) (*api, error) {
	u, err := url.Parse(entry)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("%w: -entry %q is not http://HOST:PORT", ErrUsage, entry)
	}
	rec := &recorder{client: &http.Client{Timeout: callTimeout}}
	c := client.NewClient(u.Scheme, u.Host, rec, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	a := &api{
		Client: fleet.NewClient(c.Apply(), c.Notes(), c.Status(), c.Show(), c.Drain(),
			c.Undrain(), c.Explain(), c.Burn(), c.Metrics()),
		recorder: rec,
	}
	if token != "" {
		bearer := "Bearer " + token
		a.token = &bearer
	}
	return a, nil
}

// call sends one API call to the entries in turn until one gives a conclusive
// result, and returns the response body. The call must be idempotent. Once an
// entry may have carried it out, another entry that could not doesn't prove that
// nothing was changed: the error stays ErrUnknown.
func (e *env) call(ctx context.Context, f func(context.Context, *api) error) ([]byte, error) {
	token, err := e.token()
	if err != nil {
		return nil, err
	}
	var lastErr error
	for entry := range strings.SplitSeq(e.entryURLs, ",") {
		a, err := newAPI(strings.TrimSuffix(strings.TrimSpace(entry), "/"), token)
		if err != nil {
			return nil, err
		}
		err = classifyError(entry, f(ctx, a))
		if conclusive(err) {
			return a.recorder.lastBody, err
		}
		if !errors.Is(lastErr, ErrUnknown) {
			lastErr = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, lastErr
}

// conclusive reports whether a call's result is final, so that no other entry
// needs to be asked.
func conclusive(err error) bool {
	return err == nil || !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrNotAccepted)
}

// classifyError wraps an error of the generated client in the matching error of
// this package. A call that failed to connect was not accepted; any other failure of
// the transport leaves the outcome unknown.
func classifyError(entry string, err error) error {
	if err == nil {
		return nil
	}
	var refusal *fleet.Refusal
	if errors.As(err, &refusal) {
		return refusalError(refusal)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	return fmt.Errorf("%w: entry %s: %w", ErrUnknown, entry, err)
}

// refusalError maps a refusal of the API to an error of this package by its name.
func refusalError(r *fleet.Refusal) error {
	switch r.Name {
	case "invalid":
		return fmt.Errorf("%w: %s", ErrInvalid, r.Message)
	case "conflict":
		return fmt.Errorf("%w: %s", ErrConflict, r.Message)
	case "not_accepted":
		return fmt.Errorf("%w: %s", ErrNotAccepted, r.Message)
	case "unknown":
		return fmt.Errorf("%w: %s", ErrUnknown, r.Message)
	}
	return fmt.Errorf("%s: %s", strings.ReplaceAll(r.Name, "_", " "), r.Message)
}

// query makes a read-only call. ErrUnknown and ErrNotAccepted say nothing about a
// call that changes nothing, so they become a plain error.
func (e *env) query(ctx context.Context, f func(context.Context, *api) error) ([]byte, error) {
	body, err := e.call(ctx, f)
	for _, inconclusive := range []error{ErrUnknown, ErrNotAccepted} {
		if errors.Is(err, inconclusive) {
			cause := strings.TrimPrefix(err.Error(), inconclusive.Error()+": ")
			return nil, fmt.Errorf("no entry answered: %s", cause)
		}
	}
	return body, err
}
