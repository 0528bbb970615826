package place

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

var (
	// ErrMoved is returned when the host's pool, epoch or mark is not the one
	// that the caller expects.
	ErrMoved = errors.New("host has moved")
	// ErrPlaced is returned by Assign for a host that is in another pool.
	ErrPlaced = errors.New("host already has a pool")
	// ErrNoHost is returned for a host that the document does not have.
	ErrNoHost = errors.New("unknown host")
	// ErrOldConfig is returned when the caller's configuration is older than the
	// one that the host was placed by, and so does not show that the pool was
	// withdrawn.
	ErrOldConfig = errors.New("configuration too old")
	// ErrSamePool is returned for a move of a host to its own pool.
	ErrSamePool = errors.New("host is in that pool already")
)

// Record is the placement of one host.
type Record struct {
	// Pool is the one pool that the host belongs to; empty when it has none.
	Pool string `json:"pool,omitempty"`
	// MoveTarget is the pool that the host is being moved to; empty when no move is
	// under way.
	MoveTarget string `json:"next,omitempty"`
	// OpID is the id of the last move.
	OpID string `json:"op,omitempty"`
	// MarkRev is the document's revision that marked the host. An entry that has
	// acknowledged this revision or a later one knows of the mark.
	MarkRev int64 `json:"mark,omitempty"`
	// Epoch is the document's revision at which the host joined or left its pool
	// or its last move was cancelled.
	Epoch int64 `json:"epoch"`
	// ConfigRev is the configuration revision by which Pool and MoveTarget were
	// chosen. If an older configuration lacks one of them, that does not mean that
	// it was withdrawn.
	ConfigRev int64 `json:"conf,omitempty"`
	// MaintainedAt is the end of the last maintenance, or the time of the first
	// placement of a host without one.
	MaintainedAt time.Time `json:"done,omitzero"`
}

// Doc is the placement document of one data centre.
type Doc struct {
	// Rev grows by one with each change.
	Rev   int64             `json:"rev"`
	Hosts map[string]Record `json:"hosts,omitempty"`
}

// Decode reads a document. An empty body is a document without hosts.
func Decode(body []byte) (*Doc, error) {
	d := &Doc{}
	if len(body) > 0 {
		if err := json.Unmarshal(body, d); err != nil {
			return nil, fmt.Errorf("placement document: %w", err)
		}
	}
	if d.Hosts == nil {
		d.Hosts = map[string]Record{}
	}
	return d, nil
}

// Encode writes the document; equal documents have equal bodies.
func (d *Doc) Encode() ([]byte, error) {
	body, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("placement document: %w", err)
	}
	return body, nil
}

// Apply decodes a body, applies a rule and encodes the result. It returns the
// rule's error with the body unchanged.
func Apply(body []byte, rule func(*Doc) error) ([]byte, error) {
	d, err := Decode(body)
	if err != nil {
		return body, err
	}
	if err := rule(d); err != nil {
		return body, err
	}
	return d.Encode()
}

// Assign puts a host without a pool into one. It returns ErrPlaced when the host
// is in another pool; repeating an assignment is no error.
func (d *Doc) Assign(host, pool string, configRev int64, now time.Time) error {
	r := d.Hosts[host]
	if r.Pool == pool && pool != "" {
		return nil
	}
	if r.Pool != "" {
		return fmt.Errorf("%s is in %s: %w", host, r.Pool, ErrPlaced)
	}
	d.Rev++
	r.Pool, r.MoveTarget, r.Epoch, r.ConfigRev = pool, "", d.Rev, max(r.ConfigRev, configRev)
	if r.MaintainedAt.IsZero() {
		r.MaintainedAt = now
	}
	d.Hosts[host] = r
	return nil
}

// StartMove starts a move of a host that is in pool from at the given epoch to pool
// to. It returns ErrMoved when the host is in another pool, has another epoch, or
// was marked by another operation, and ErrSamePool when from and to are equal.
func (d *Doc) StartMove(host, from, to, opID string, epoch, configRev int64) error {
	r, err := d.find(host)
	switch {
	case err != nil:
		return err
	case from == to:
		return fmt.Errorf("%s: %w", host, ErrSamePool)
	case r.Pool != from || r.Epoch != epoch:
		return fmt.Errorf("%s is in %s at %d, not %s at %d: %w", host, r.Pool, r.Epoch, from, epoch, ErrMoved)
	case r.MoveTarget == to && r.OpID == opID:
		return nil
	case r.MoveTarget != "":
		return fmt.Errorf("%s: marked for %s by %s: %w", host, r.MoveTarget, r.OpID, ErrMoved)
	}
	d.Rev++
	r.MoveTarget, r.OpID, r.MarkRev, r.ConfigRev = to, opID, d.Rev, max(r.ConfigRev, configRev)
	d.Hosts[host] = r
	return nil
}

// CompleteMove completes the move that the operation started. It returns ErrMoved
// when the host is not marked by that operation.
func (d *Doc) CompleteMove(host, from, to, opID string) error {
	r, err := d.find(host)
	switch {
	case err != nil:
		return err
	case r.Pool == to && r.MoveTarget == "" && r.OpID == opID:
		return nil
	case r.Pool != from || r.MoveTarget != to || r.OpID != opID:
		return fmt.Errorf("%s: not marked from %s to %s by %s: %w", host, from, to, opID, ErrMoved)
	}
	d.Rev++
	r.Pool, r.MoveTarget, r.MarkRev, r.Epoch = to, "", 0, d.Rev
	d.Hosts[host] = r
	return nil
}

// CancelMove cancels every move of the host that is based on the epoch, whether it
// was started or not: a later StartMove at that epoch is refused. It returns
// ErrMoved when the host is no longer in pool from.
func (d *Doc) CancelMove(host, from string, epoch int64) error {
	r, err := d.find(host)
	switch {
	case err != nil:
		return err
	case r.Pool != from:
		return fmt.Errorf("%s is in %s, not %s: %w", host, r.Pool, from, ErrMoved)
	case r.Epoch > epoch:
		return nil
	}
	d.Rev++
	r.MoveTarget, r.MarkRev, r.Epoch = "", 0, d.Rev
	d.Hosts[host] = r
	return nil
}

// RecordMaintenance records the end of a host's maintenance. A time that is not
// after the recorded one changes nothing.
func (d *Doc) RecordMaintenance(host string, at time.Time) error {
	r, err := d.find(host)
	if err != nil {
		return err
	}
	if !at.After(r.MaintainedAt) {
		return nil
	}
	d.Rev++
	r.MaintainedAt = at
	d.Hosts[host] = r
	return nil
}

// Unassign takes a host out of a pool that no longer exists and cancels any
// move of it. The host's departure must have been recorded in the pool's outage
// document first, with permit.Doc.Depart. It returns ErrMoved when the host is
// in another pool or at another epoch, and ErrOldConfig when the caller's
// configuration is older than the one that the host was placed by.
func (d *Doc) Unassign(host, pool string, epoch, configRev int64) error {
	r, err := d.find(host)
	switch {
	case err != nil:
		return err
	case r.Pool == "":
		return nil
	case r.Pool != pool || r.Epoch != epoch:
		return fmt.Errorf("%s is in %s at %d, not %s at %d: %w", host, r.Pool, r.Epoch, pool, epoch, ErrMoved)
	case configRev < r.ConfigRev:
		return fmt.Errorf("%s: revision %d, placed by %d: %w", host, configRev, r.ConfigRev, ErrOldConfig)
	}
	d.Rev++
	r.Pool, r.MoveTarget, r.MarkRev, r.Epoch = "", "", 0, d.Rev
	d.Hosts[host] = r
	return nil
}

// Remove deletes the record of a host that the platform no longer has. If the
// host comes back, its epoch is later than any that it had.
func (d *Doc) Remove(host string) {
	if _, ok := d.Hosts[host]; !ok {
		return
	}
	d.Rev++
	delete(d.Hosts, host)
}

func (d *Doc) find(host string) (Record, error) {
	r, ok := d.Hosts[host]
	if !ok {
		return Record{}, fmt.Errorf("%s: %w", host, ErrNoHost)
	}
	return r, nil
}
