package once

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"

	"shallotpaddle/plat"
)

const (
	claimPrefix = "claim/" // + shard count + "-" + shard + "/" + slot
	// DefaultShards is the number of logs that the claims are spread over.
	DefaultShards = 16
	// ClaimLostAfter is how long a claim may be running before it is marked as
	// Lost.
	ClaimLostAfter = time.Hour
	// answerShare is the share of MaxLiveBytes up to which a shard stores
	// answers. Above it, a claim records only that its request was answered.
	answerShare = 0.75
)

// ClaimLimits are the limits of one shard: 4 MiB of live state, 32 MiB in the
// store.
var ClaimLimits = Limits{MaxSlots: 128, SpareSlots: 32, MaxLiveBytes: 4 << 20}

// ClaimState is the state of a keyed request.
type ClaimState string

// States of a claim.
const (
	New      ClaimState = "new"      // the caller of Claim may dispatch, once
	Running  ClaimState = "running"  // another attempt has claimed the key and has not ended
	Answered ClaimState = "answered" // the answer is recorded
	Lost     ClaimState = "unknown"  // the holder is gone or overdue; the request may have run
)

// Request is a request with an Idempotency-Key that is about to be dispatched.
type Request struct {
	Customer string
	Key      string // as returned by ParseKey
	// Digest distinguishes requests that use the same key.
	Digest uint64
	// Token is unique to this attempt and comes from Claims.Token. Claim may be
	// called again with the same token, through any entry, until the token is
	// released.
	Token string
	// Holder is the log name of the entry that will dispatch the request.
	Holder string
}

// Answer is the state of a keyed request and, if it is stored, its result.
type Answer struct {
	State ClaimState `json:"Word"`
	// Result is set when State is Answered; it may be nil.
	Result *Result
}

// Claims holds the claims of Idempotency-Key values. It is safe for concurrent
// use.
type Claims struct {
	writer string
	clock  quartz.Clock
	shards []*shard
	seq    atomic.Int64
}

// shard is one log of claims.
type shard struct {
	log   *Log
	state *shardState
	// openMu is held while the log is loaded from the store.
	openMu sync.Mutex
}

// NewClaims returns the claims in count shards. All entries must use the same
// count; writer must be unique to the process's incarnation.
func NewClaims(store Store, clock quartz.Clock, writer string, count int) *Claims {
	c := &Claims{writer: writer, clock: clock}
	for i := range count {
		prefix := claimPrefix + strconv.Itoa(count) + "-" + strconv.Itoa(i)
		log := newLog(store, clock, prefix, writer, ClaimLimits)
		state := &shardState{live: &log.live}
		state.reset()
		log.apply, log.reset, log.snapshotOf = state.apply, state.reset, state.snapshot
		c.shards = append(c.shards, &shard{log: log, state: state})
	}
	return c
}

// Token returns a token for one attempt of one request.
func (c *Claims) Token() string { return c.writer + "." + strconv.FormatInt(c.seq.Add(1), 36) }

// SetInterval sets the shortest time between two commits of a shard.
func (c *Claims) SetInterval(d time.Duration) {
	for _, s := range c.shards {
		s.log.SetInterval(d)
	}
}

// Run commits records of all shards until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range c.shards {
		wg.Go(func() { s.log.run(ctx) })
	}
	wg.Wait()
}

// Shards returns the number of shards.
func (c *Claims) Shards() int { return len(c.shards) }

// Commits returns the number of segments that this process has written.
func (c *Claims) Commits() int64 {
	var n int64
	for _, s := range c.shards {
		n += s.log.Commits()
	}
	return n
}

func (c *Claims) shardFor(customer, key string) *shard {
	return c.shards[Shard(customer, key, len(c.shards))]
}

// open loads the shard's log, or creates it if there is none.
func (s *shard) open(ctx context.Context) error {
	s.openMu.Lock()
	defer s.openMu.Unlock()
	s.log.mu.Lock()
	loaded := s.log.loaded
	s.log.mu.Unlock()
	if loaded {
		return nil
	}
	s.log.writeMu.Lock()
	defer s.log.writeMu.Unlock()
	err := s.log.load(ctx)
	if errors.Is(err, plat.ErrNotFound) {
		err = s.log.create(ctx)
	}
	if err != nil {
		return asUnavailable(err)
	}
	return nil
}

// lookup returns the state of a key according to the log as read so far; ok is
// false if the key is not claimed there.
func (s *shard) lookup(r *Request) (a Answer, ok bool, err error) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	cl := s.state.claims[scopedKey(r.Customer, r.Key)]
	if cl == nil {
		return Answer{}, false, nil
	}
	if cl.Digest != r.Digest {
		return Answer{}, true, ErrMismatch
	}
	if cl.Token == r.Token && cl.State == Running {
		return Answer{State: New}, true, nil
	}
	return Answer{State: cl.State, Result: cl.Result}, true, nil
}

// Claim records that a request is about to be dispatched. If it returns New,
// the caller may dispatch the request once and must then call Settle or
// Release. After an error the request must not be dispatched unless a repeated
// call with the same token returns New; a caller that gives up must release the
// token.
func (c *Claims) Claim(ctx context.Context, r Request) (Answer, error) {
	if err := CheckKey(r.Key); err != nil {
		return Answer{}, err
	}
	if len(r.Customer) > maxText || len(r.Token) > maxText || len(r.Holder) > maxText {
		return Answer{}, fmt.Errorf("%w: name above %d bytes", ErrTooLarge, maxText)
	}
	s := c.shardFor(r.Customer, r.Key)
	if err := s.open(ctx); err != nil {
		return Answer{}, err
	}
	if a, ok, err := s.lookupCurrent(ctx, &r); ok || err != nil {
		return a, err
	}
	rec := claimRecord{Op: opClaim, claim: claim{
		Customer: r.Customer, Key: r.Key, Digest: r.Digest,
		Token: r.Token, Holder: r.Holder, At: c.clock.Now().Unix(), State: Running,
	}}
	if err := s.log.checkCapacity(rec.encodedSize(), 1); err != nil {
		return Answer{}, err
	}
	if err := s.log.append(ctx, rec, appendOptions{unlessLive: scopedKey(r.Customer, r.Key)}); err != nil {
		return Answer{}, fmt.Errorf("claim: %w", err)
	}
	a, ok, err := s.lookup(&r)
	if !ok {
		return Answer{}, fmt.Errorf("%w: claim released meanwhile", ErrBusy)
	}
	return a, err
}

// lookupCurrent returns the state of a claimed key after reading the segments
// that other entries have added. A key that is not claimed in the log as read
// so far is returned at once as such.
func (s *shard) lookupCurrent(ctx context.Context, r *Request) (Answer, bool, error) {
	if a, ok, err := s.lookup(r); !ok {
		return a, ok, err
	}
	if err := s.log.catchUp(ctx); err != nil {
		return Answer{}, false, err
	}
	return s.lookup(r)
}

// Settle records the answer of a claimed request. It retries while the store
// refuses the write; plat.ErrUnknown means that the record was not yet durable
// when ctx ended. A body that cannot be stored is left out and the result
// marked as Dropped.
func (c *Claims) Settle(ctx context.Context, r Request, res *Result) error {
	s := c.shardFor(r.Customer, r.Key)
	if res != nil {
		res = res.bounded(s.log.checkCapacity(len(res.Body)*4/3, answerShare) == nil)
	}
	return s.appendEnd(ctx, claimRecord{Op: opSettle, claim: claim{
		Customer: r.Customer, Key: r.Key, Token: r.Token, Result: res,
	}})
}

// Release withdraws a claim whose request is proved not to have run and will
// not be dispatched with this token. The key can then be claimed again.
func (c *Claims) Release(ctx context.Context, r Request) error {
	s := c.shardFor(r.Customer, r.Key)
	return s.appendEnd(ctx, claimRecord{Op: opRelease, claim: claim{
		Customer: r.Customer, Key: r.Key, Token: r.Token,
	}})
}

// appendEnd appends the record that settles or releases a claim, and retries
// while the store refuses it.
func (s *shard) appendEnd(ctx context.Context, rec claimRecord) error {
	if err := s.open(ctx); err != nil {
		return err
	}
	if err := s.log.append(ctx, rec, appendOptions{retryRefused: true}); err != nil {
		return fmt.Errorf("%s: %w", rec.Op, err)
	}
	return nil
}

// MarkLost marks as Lost the running claims whose holder is gone, in the shards
// that this process has open. gone is called with a holder's log name.
func (c *Claims) MarkLost(gone func(holder string) bool) {
	for _, s := range c.shards {
		holders := map[string]bool{}
		s.forEach(func(cl *claim) {
			if cl.State == Running && gone(cl.Holder) {
				holders[cl.Holder] = true
			}
		})
		for h := range holders {
			s.log.appendAsync(claimRecord{Op: opLost, claim: claim{Holder: h}})
		}
	}
}

// HeldBy returns the running claims of a holder in the shards that this process
// has open, so that the holder can release those it does not know.
func (c *Claims) HeldBy(holder string) []Request {
	var out []Request
	for _, s := range c.shards {
		s.forEach(func(cl *claim) {
			if cl.State == Running && cl.Holder == holder {
				out = append(out, Request{Customer: cl.Customer, Key: cl.Key, Digest: cl.Digest, Token: cl.Token, Holder: holder})
			}
		})
	}
	return out
}

// Sweep removes the claims older than Retention that are not running from the
// shards for which owned returns true. There it also marks as Lost the claims
// that have been running for ClaimLostAfter; their holders may still settle
// them. It returns the number of claims removed or marked.
func (c *Claims) Sweep(owned func(shard int) bool) int {
	now := c.clock.Now()
	expireBefore, lostBefore := now.Add(-Retention).Unix(), now.Add(-ClaimLostAfter).Unix()
	n := 0
	for i, s := range c.shards {
		if !owned(i) {
			continue
		}
		var old []claimRecord
		s.forEach(func(cl *claim) {
			op := opExpire
			switch {
			case cl.State == Running && cl.At < lostBefore:
				op = opOverdue
			case cl.State == Running || cl.At >= expireBefore:
				return
			}
			old = append(old, claimRecord{Op: op, claim: claim{Customer: cl.Customer, Key: cl.Key, Token: cl.Token}})
		})
		for _, r := range old {
			s.log.appendAsync(r)
		}
		n += len(old)
	}
	return n
}

func (s *shard) forEach(f func(*claim)) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	for _, cl := range s.state.claims {
		f(cl)
	}
}

// Live returns the number of claims in the open shards and the size of their
// state in bytes.
func (c *Claims) Live() (claims, bytes int) {
	for _, s := range c.shards {
		s.log.mu.Lock()
		claims += len(s.state.claims)
		bytes += s.log.live.bytes
		s.log.mu.Unlock()
	}
	return claims, bytes
}
