package once

import (
	"encoding/json"
	"fmt"
)

// claim is the use of one key of a customer.
type claim struct {
	Customer string `json:"c,omitempty"`
	Key      string `json:"k,omitempty"`
	Digest   uint64 `json:"d,omitempty"`
	Token    string `json:"t,omitempty"`
	Holder   string `json:"h,omitempty"`
	// At is the Unix time of the claim, in seconds.
	At     int64      `json:"at,omitempty"`
	State  ClaimState `json:"w,omitempty"`
	Result *Result    `json:"r,omitempty"`
}

// claimRecord is one change of a shard's state. Op is one of the constants
// below.
type claimRecord struct {
	Op string `json:"op"`
	claim
}

const (
	opClaim    = "claim"   // claims the key; written only if the key is free
	opSnapshot = "keep"    // full state of a claim, carried forward
	opSettle   = "settle"  // records the answer, if the token matches
	opRelease  = "release" // frees the key if the token matches, unless it is answered
	opExpire   = "expire"  // frees the key if the token matches, after the retention time
	opLost     = "lost"    // marks the holder's running claims as lost
	opOverdue  = "late"    // marks a running claim as lost, if the token matches
)

// shardState is the state that results from a shard's records.
type shardState struct {
	live   *liveSet
	claims map[string]*claim // by scopedKey
}

func (s *shardState) reset() { s.claims = map[string]*claim{} }

func (s *shardState) snapshot(id string) any {
	return claimRecord{Op: opSnapshot, claim: *s.claims[id]}
}

// encodedSize returns the approximate size of the encoded claim, in bytes.
func (c *claim) encodedSize() int {
	const fixed = 90 // field names and numbers
	n := fixed + len(c.Customer) + len(c.Key) + len(c.Token) + len(c.Holder)
	if c.Result != nil {
		n += 40 + len(c.Result.Type) + len(c.Result.Body)*4/3
	}
	return n
}

func (s *shardState) apply(n int64, raw json.RawMessage) error {
	var r claimRecord
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	id := scopedKey(r.Customer, r.Key)
	cl := s.claims[id]
	tokenMatches := cl != nil && cl.Token == r.Token
	switch r.Op {
	case opSnapshot, opClaim:
		s.claims[id] = &r.claim
		s.live.setSnapshot(id, n, r.claim.encodedSize())
	case opSettle:
		if tokenMatches && cl.State != Answered {
			cl.State, cl.Result = Answered, r.Result
			s.live.resize(id, cl.encodedSize())
		}
	case opRelease, opExpire:
		if tokenMatches && (r.Op == opExpire || cl.State != Answered) {
			delete(s.claims, id)
			s.live.remove(id)
		}
	case opOverdue:
		if tokenMatches && cl.State == Running {
			cl.State = Lost
		}
	case opLost:
		s.markLost(r.Holder)
	default:
		return fmt.Errorf("record %q", r.Op)
	}
	return nil
}

// markLost marks a holder's running claims as Lost.
func (s *shardState) markLost(holder string) {
	for _, cl := range s.claims {
		if cl.Holder == holder && cl.State == Running {
			cl.State = Lost
		}
	}
}
