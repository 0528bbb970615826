package place

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

var (
	// ErrMoved is returned when the host is not where, or not at the epoch
	// that, the caller believes.
	ErrMoved = errors.New("host has moved")
	// ErrPlaced is returned by Assign for a host that has a pool.
	ErrPlaced = errors.New("host already has a pool")
	// ErrNoHost is returned for a host that the document does not have.
	ErrNoHost = errors.New("unknown host")
	// ErrOldConfig is returned when the caller's configuration is too old to tell
	// that a pool was withdrawn.
	ErrOldConfig = errors.New("configuration too old")
	// ErrSamePool is returned for a move of a host to its own pool.
	ErrSamePool = errors.New("host is in that pool already")
)

// Record is the placement of one host.
type Record struct {
	// Pool is the one pool that the host belongs to; empty when it has none.
	Pool string `json:"pool,omitempty"`
	// Next is the pool that a move leads to; empty when none is under way.
	Next string `json:"next,omitempty"`
	// OpID is the id of the last move.
	OpID string `json:"op,omitempty"`
	// MarkRev is the document's revision that set Next; entries acknowledge
	// revisions at or past it.
	MarkRev int64 `json:"mark,omitempty"`
	// Epoch is the document's revision at which the host joined its pool or
	// its last move was called off.
	Epoch int64 `json:"epoch"`
	// ConfigRev is the configuration revision by which Pool and Next were chosen. A
	// configuration before it does not tell that they were withdrawn.
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

// Decode reads a document; an empty body is a document without hosts.
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

// Assign gives a host without a pool one. Repeating it is no error; another pool is ErrPlaced.
func (d *Doc) Assign(host, pool string, conf int64, now time.Time) error {
	e := d.Hosts[host]
	if e.Pool == pool && pool != "" {
		return nil
	}
	if e.Pool != "" {
		return fmt.Errorf("%s is in %s: %w", host, e.Pool, ErrPlaced)
	}
	d.Rev++
	e.Pool, e.Next, e.Epoch, e.ConfigRev = pool, "", d.Rev, max(e.ConfigRev, conf)
	if e.MaintainedAt.IsZero() {
		e.MaintainedAt = now
	}
	d.Hosts[host] = e
	return nil
}

// Mark starts a move of a host that is in from at the epoch. It returns
// ErrMoved when the host is elsewhere, was marked by another operation, or has
// a later epoch.
func (d *Doc) Mark(host, from, to, op string, epoch, conf int64) error {
	e, err := d.find(host)
	switch {
	case err != nil:
		return err
	case from == to:
		return fmt.Errorf("%s: %w", host, ErrSamePool)
	case e.Pool != from || e.Epoch != epoch:
		return fmt.Errorf("%s is in %s at %d, not %s at %d: %w", host, e.Pool, e.Epoch, from, epoch, ErrMoved)
	case e.Next == to && e.OpID == op:
		return nil
	case e.Next != "":
		return fmt.Errorf("%s: marked for %s by %s: %w", host, e.Next, e.OpID, ErrMoved)
	}
	d.Rev++
	e.Next, e.OpID, e.MarkRev, e.ConfigRev = to, op, d.Rev, max(e.ConfigRev, conf)
	d.Hosts[host] = e
	return nil
}

// Transfer completes the move that op marked. It returns ErrMoved when the
// mark is not op's.
func (d *Doc) Transfer(host, from, to, op string) error {
	e, err := d.find(host)
	switch {
	case err != nil:
		return err
	case e.Pool == to && e.Next == "" && e.OpID == op:
		return nil
	case e.Pool != from || e.Next != to || e.OpID != op:
		return fmt.Errorf("%s: not marked from %s to %s by %s: %w", host, from, to, op, ErrMoved)
	}
	d.Rev++
	e.Pool, e.Next, e.MarkRev, e.Epoch = to, "", 0, d.Rev
	d.Hosts[host] = e
	return nil
}

// Unmark gives up every move of the host that rests on the epoch, marked or
// still to be marked. It returns ErrMoved when the host has been transferred
// since.
func (d *Doc) Unmark(host, from string, epoch int64) error {
	e, err := d.find(host)
	switch {
	case err != nil:
		return err
	case e.Pool != from:
		return fmt.Errorf("%s is in %s, not %s: %w", host, e.Pool, from, ErrMoved)
	case e.Epoch > epoch:
		return nil
	}
	d.Rev++
	e.Next, e.MarkRev, e.Epoch = "", 0, d.Rev
	d.Hosts[host] = e
	return nil
}

// RecordMaintenance records the end of a host's maintenance; an earlier time than the
// recorded one changes nothing.
func (d *Doc) RecordMaintenance(host string, at time.Time) error {
	e, err := d.find(host)
	if err != nil {
		return err
	}
	if !at.After(e.MaintainedAt) {
		return nil
	}
	d.Rev++
	e.MaintainedAt = at
	d.Hosts[host] = e
	return nil
}

// Unassign takes a host out of a pool that no longer exists and calls off any
// move of it. The pool's outage document must have refused the host first, with
// permit.Doc.Depart. It returns ErrMoved when the host is elsewhere or at a
// later epoch, and ErrConf when the caller's configuration is older than the
// one that the host was placed by.
func (d *Doc) Unassign(host, pool string, epoch, conf int64) error {
	e, err := d.find(host)
	switch {
	case err != nil:
		return err
	case e.Pool == "":
		return nil
	case e.Pool != pool || e.Epoch != epoch:
		return fmt.Errorf("%s is in %s at %d, not %s at %d: %w", host, e.Pool, e.Epoch, pool, epoch, ErrMoved)
	case conf < e.ConfigRev:
		return fmt.Errorf("%s: revision %d, placed by %d: %w", host, conf, e.ConfigRev, ErrOldConfig)
	}
	d.Rev++
	e.Pool, e.Next, e.MarkRev, e.Epoch = "", "", 0, d.Rev
	d.Hosts[host] = e
	return nil
}

// Remove forgets a host that the platform no longer has. If it returns, its
// epoch is later than any before.
func (d *Doc) Remove(host string) {
	if _, ok := d.Hosts[host]; !ok {
		return
	}
	d.Rev++
	delete(d.Hosts, host)
}

func (d *Doc) find(host string) (Record, error) {
	e, ok := d.Hosts[host]
	if !ok {
		return Record{}, fmt.Errorf("%s: %w", host, ErrNoHost)
	}
	return e, nil
}
