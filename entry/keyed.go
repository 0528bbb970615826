package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotpaddle/endpt"
	"shallotpaddle/once"
	"shallotpaddle/route"
)

// ErrRunning is returned for a request whose key is that of a request still
// running.
var ErrRunning = errors.New("a request with this key is running")

const (
	// claimTimeout bounds the recording of a claim, settleTimeout that of its end.
	claimTimeout  = 5 * time.Second
	settleTimeout = 30 * time.Second
)

// claimCall is a step of a claim, forwarded to the entry that writes the claim's
// shard. A claim records that the request with an Idempotency-Key is dispatched.
type claimCall struct {
	Step    string       `json:"step"` // claim, settle or release
	Request once.Request `json:"request"`
	Result  *once.Result `json:"result,omitempty"`
}

// Steps of a claim: it is recorded before dispatch, then settled with the answer,
// or released if the request has certainly not run.
const (
	stepClaim   = "claim"
	stepSettle  = "settle"
	stepRelease = "release"
)

// requestWithKey runs a request with an Idempotency-Key header. A resubmission
// through any entry is answered from the claim and not dispatched again.
func (e *Entry) requestWithKey(ctx context.Context, w route.Work, body *endpt.Body, header string) (*route.Answer, error) {
	key, err := once.ParseKey(header)
	if err != nil {
		return nil, fmt.Errorf("%w: header Idempotency-Key: %w", route.ErrInvalid, err)
	}
	if err := e.router.Check(w); err != nil {
		return nil, err
	}
	digest, err := body.Digest()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", route.ErrNotRun, err)
	}
	r := once.Request{
		Customer: w.Customer, Key: key, Token: e.claims.Token(), Holder: e.jobs.Ledger(),
		Digest: xxhash.Sum64String(fmt.Sprintf("%q %q %q %016x", w.Queue, w.Customer, w.Kind, digest)),
	}
	if r.Holder == "" {
		return nil, fmt.Errorf("%w: %w", route.ErrNotRun, errNoLedger)
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := e.claim(call, claimCall{Step: stepClaim, Request: r})
	switch {
	case errors.Is(err, once.ErrMismatch):
		return nil, fmt.Errorf("%w: key %q", ErrMismatch, key)
	case err != nil:
		// The claim may have been recorded. Nothing was dispatched, so release it.
		go e.recordClaimEnd(claimCall{Step: stepRelease, Request: r})
		return nil, fmt.Errorf("%w: %w", route.ErrNotRun, err)
	}
	return e.answerClaimed(ctx, w, body, r, answer)
}

var errNoLedger = errors.New("store of claims is not open")

// answerClaimed runs the request if its claim is new, and answers from the state
// of the claim otherwise.
func (e *Entry) answerClaimed(ctx context.Context, w route.Work, body *endpt.Body, r once.Request, answer once.Answer) (*route.Answer, error) {
	switch answer.State {
	case once.New:
		return e.runClaimed(ctx, w, body, r)
	case once.Answered:
		return storedAnswer(answer.Result)
	case once.Running:
		return nil, fmt.Errorf("%w: %q", ErrRunning, r.Key)
	default:
		return nil, fmt.Errorf("%w: the entry that ran the request is gone", route.ErrUnknown)
	}
}

// storedAnswer returns the answer that an earlier run of the request left in its
// claim.
func storedAnswer(res *once.Result) (*route.Answer, error) {
	if res == nil || res.Dropped {
		return nil, fmt.Errorf("%w: the request may have run; its answer is not kept", route.ErrUnknown)
	}
	return &route.Answer{
		Status: res.Status, Type: res.Type, Length: int64(len(res.Body)),
		Body: io.NopCloser(strings.NewReader(string(res.Body))),
	}, nil
}

// runClaimed runs a request whose claim is new, and records the outcome in the
// claim.
func (e *Entry) runClaimed(ctx context.Context, w route.Work, body *endpt.Body, r once.Request) (*route.Answer, error) {
	a, err := e.router.Do(ctx, w, body)
	switch {
	case errors.Is(err, route.ErrUnknown):
		// Settle the claim without an answer: a resubmission is told that the request
		// may have run.
		go e.recordClaimEnd(claimCall{Step: stepSettle, Request: r, Result: &once.Result{Dropped: true}})
		return nil, err
	case err != nil:
		go e.recordClaimEnd(claimCall{Step: stepRelease, Request: r})
		return nil, err
	}
	a.Body = &recordingBody{ReadCloser: a.Body, entry: e, request: r, result: once.Result{Status: a.Status, Type: a.Type}}
	return a, nil
}

// recordingBody copies an answer of up to once.MaxResult bytes while the caller
// reads it, and settles the claim at the end. A longer or incomplete answer is
// settled without its body.
type recordingBody struct {
	io.ReadCloser
	entry   *Entry
	request once.Request
	result  once.Result
	settled bool
}

// Read implements io.Reader.
func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if len(b.result.Body)+n > once.MaxResult {
		b.result.Body, b.result.Dropped = nil, true
	}
	if !b.result.Dropped {
		b.result.Body = append(b.result.Body, p[:n]...)
	}
	if err != nil {
		b.settle(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer. It settles the claim if the answer was not read to
// its end.
func (b *recordingBody) Close() error {
	b.settle(false)
	return b.ReadCloser.Close()
}

func (b *recordingBody) settle(complete bool) {
	if b.settled {
		return
	}
	b.settled = true
	if !complete {
		b.result.Body, b.result.Dropped = nil, true
	}
	go b.entry.recordClaimEnd(claimCall{Step: stepSettle, Request: b.request, Result: &b.result})
}

// recordClaimEnd settles or releases a claim. If it fails, the claim stays as
// running until a sweep marks it as lost.
func (e *Entry) recordClaimEnd(c claimCall) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if _, err := e.claim(ctx, c); err != nil {
		e.log.Warn().Str("step", c.Step).Err(err).Msg("could not record end of idempotency claim")
	}
}

// claim carries out a step of a claim at the entry that writes the claim's shard,
// or here when that entry can't be called. Two writers of a shard cause extra work
// but no inconsistency.
func (e *Entry) claim(ctx context.Context, c claimCall) (once.Answer, error) {
	shard := once.Shard(c.Request.Customer, c.Request.Key, e.claims.Shards())
	s := e.status.Load()
	owner := once.Owner(shard, s.Live)
	for i := range s.Entries {
		if m := &s.Entries[i]; m.Name == owner && owner != e.Name() {
			var out claimReply
			if err := e.node.Call(ctx, m.Addr, methodClaim, c, &out); err == nil {
				return out.answer()
			}
		}
	}
	return e.claimLocally(ctx, c)
}

// claimReply is the answer to a claimCall of another entry.
type claimReply struct {
	Answer once.Answer `json:"answer"`
	// Fault is empty, mismatch or failed.
	Fault string `json:"fault,omitempty"`
	Text  string `json:"text,omitempty"`
}

const (
	faultMismatch = "mismatch"
	faultFailed   = "failed"
)

var errClaim = errors.New("claim failed")

func (r *claimReply) answer() (once.Answer, error) {
	switch r.Fault {
	case "":
		return r.Answer, nil
	case faultMismatch:
		return r.Answer, once.ErrMismatch
	default:
		return r.Answer, fmt.Errorf("%w: %s", errClaim, r.Text)
	}
}

func (e *Entry) claimLocally(ctx context.Context, c claimCall) (once.Answer, error) {
	switch c.Step {
	case stepSettle:
		return once.Answer{}, e.claims.Settle(ctx, c.Request, c.Result)
	case stepRelease:
		return once.Answer{}, e.claims.Release(ctx, c.Request)
	default:
		return e.claims.Claim(ctx, c.Request)
	}
}

func (e *Entry) serveClaim(ctx context.Context, params json.RawMessage) (any, error) {
	var c claimCall
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, fmt.Errorf("claim: %w", err)
	}
	a, err := e.claimLocally(ctx, c)
	out := claimReply{Answer: a}
	switch {
	case errors.Is(err, once.ErrMismatch):
		out.Fault = faultMismatch
	case err != nil:
		out.Fault, out.Text = faultFailed, err.Error()
	}
	return out, nil
}

// sweepClaims periodically drops old claims, and marks as lost the running claims
// of processes that have ended, until ctx ends.
func (e *Entry) sweepClaims(ctx context.Context) error {
	return e.clock.TickerFunc(ctx, sweepInterval, func() error {
		live := e.status.Load().Live
		e.claims.Sweep(func(shard int) bool { return once.Owner(shard, live) == e.Name() })
		e.claims.MarkLost(e.holderGone)
		return nil
	}).Wait()
}

// sweepInterval is the interval at which claims are swept.
const sweepInterval = 5 * time.Second

// holderGone tells whether the process that holds a claim, named by its job ledger,
// appears to have ended and can no longer settle the claim.
func (e *Entry) holderGone(ledger string) bool {
	if once.EntryOf(ledger) == e.Name() {
		return !strings.HasPrefix(ledger, once.LogName(e.Name(), e.bootID))
	}
	return e.ledgerGone(ledger)
}
