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

// ErrRunning is returned for a keyed request that a resubmission found running.
var ErrRunning = errors.New("a request with this key is running")

const (
	// claimTimeout bounds the record of a claim, settleTime that of its outcome.
	claimTimeout  = 5 * time.Second
	settleTimeout = 30 * time.Second
)

// claimCall is a step of a claim, passed on to the entry that writes its shard.
type claimCall struct {
	Step    string       `json:"step"` // claim, settle or release
	Request once.Request `json:"request"`
	Result  *once.Result `json:"result,omitempty"`
}

// Steps of a claim.
const (
	stepClaim   = "claim"
	stepSettle  = "settle"
	stepRelease = "release"
)

// requestWithKey runs a request under an Idempotency-Key: a resubmission through any
// entry is answered from the claim and never runs a second time.
func (e *Entry) requestWithKey(ctx context.Context, w route.Work, body *endpt.Body, header string) (*route.Answer, error) {
	key, err := once.ParseKey(header)
	if err != nil {
		return nil, fmt.Errorf("%w: header Idempotency-Key: %w", route.ErrInvalid, err)
	}
	if err := e.router.Check(w); err != nil {
		return nil, err
	}
	sum, err := body.Digest()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", route.ErrNotRun, err)
	}
	r := once.Request{
		Customer: w.Customer, Key: key, Token: e.claims.Token(), Holder: e.jobs.Ledger(),
		Digest: xxhash.Sum64String(fmt.Sprintf("%q %q %q %016x", w.Queue, w.Customer, w.Kind, sum)),
	}
	if r.Holder == "" {
		return nil, fmt.Errorf("%w: %w", route.ErrNotRun, errNoLedger)
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	said, err := e.claim(call, claimCall{Step: stepClaim, Request: r})
	switch {
	case errors.Is(err, once.ErrMismatch):
		return nil, fmt.Errorf("%w: key %q", ErrMismatch, key)
	case err != nil:
		// The claim may stand; it is given back, and nothing was dispatched.
		go e.recordClaimEnd(claimCall{Step: stepRelease, Request: r})
		return nil, fmt.Errorf("%w: %w", route.ErrNotRun, err)
	}
	return e.answerClaimed(ctx, w, body, r, said)
}

var errNoLedger = errors.New("store of claims is not open")

// answerClaimed goes by the word on a claim.
func (e *Entry) answerClaimed(ctx context.Context, w route.Work, body *endpt.Body, r once.Request, said once.Answer) (*route.Answer, error) {
	switch said.Word {
	case once.New:
		return e.runClaimed(ctx, w, body, r)
	case once.Answered:
		return storedAnswer(said.Result)
	case once.Running:
		return nil, fmt.Errorf("%w: %q", ErrRunning, r.Key)
	default:
		return nil, fmt.Errorf("%w: the entry that ran the request is gone", route.ErrUnknown)
	}
}

// storedAnswer returns the answer of an earlier run.
func storedAnswer(res *once.Result) (*route.Answer, error) {
	if res == nil || res.Dropped {
		return nil, fmt.Errorf("%w: the request may have run; its answer is not kept", route.ErrUnknown)
	}
	return &route.Answer{
		Status: res.Status, Type: res.Type, Length: int64(len(res.Body)),
		Body: io.NopCloser(strings.NewReader(string(res.Body))),
	}, nil
}

// runClaimed runs a request whose claim is new, and records what became of it.
func (e *Entry) runClaimed(ctx context.Context, w route.Work, body *endpt.Body, r once.Request) (*route.Answer, error) {
	a, err := e.router.Do(ctx, w, body)
	switch {
	case errors.Is(err, route.ErrUnknown):
		// The claim stays: a resubmission learns that the request may have run.
		go e.recordClaimEnd(claimCall{Step: stepSettle, Request: r, Result: &once.Result{Dropped: true}})
		return nil, err
	case err != nil:
		go e.recordClaimEnd(claimCall{Step: stepRelease, Request: r})
		return nil, err
	}
	a.Body = &recordingBody{ReadCloser: a.Body, entry: e, request: r, result: once.Result{Status: a.Status, Type: a.Type}}
	return a, nil
}

// recordingBody keeps a small answer while it streams and settles its claim.
type recordingBody struct {
	io.ReadCloser
	entry   *Entry
	request once.Request
	result  once.Result
	settled bool
}

// Read reads the answer.
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

// Close ends the answer.
func (b *recordingBody) Close() error {
	b.settle(false)
	return b.ReadCloser.Close()
}

func (b *recordingBody) settle(whole bool) {
	if b.settled {
		return
	}
	b.settled = true
	if !whole {
		b.result.Body, b.result.Dropped = nil, true
	}
	go b.entry.recordClaimEnd(claimCall{Step: stepSettle, Request: b.request, Result: &b.result})
}

// recordClaimEnd records the end of a claim; a failure leaves it to be marked as lost.
func (e *Entry) recordClaimEnd(c claimCall) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if _, err := e.claim(ctx, c); err != nil {
		e.log.Warn().Str("step", c.Step).Err(err).Msg("claim not recorded")
	}
}

// claim takes a step at the entry that writes the claim's shard, or here when
// that entry can't be called: two writers cost work, they break nothing.
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

// claimReply is the answer to a claimCall between entries.
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

// sweepClaims drops old claims and marks those of entries that are gone, until
// ctx ends.
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

// holderGone tells whether the holder of a claim can no longer settle it.
func (e *Entry) holderGone(ledger string) bool {
	if once.EntryOf(ledger) == e.Name() {
		return !strings.HasPrefix(ledger, once.LogName(e.Name(), e.bootID))
	}
	return e.ledgerGone(ledger)
}
