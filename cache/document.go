package cache

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
)

const (
	// maxOps is the number of operation ids that a document keeps.
	maxOps = 32
	// maxPlainSize is the size in bytes above which a stored value is compressed.
	maxPlainSize = 1 << 10
	// maxDecompressed bounds the size of a decompressed value, in bytes.
	maxDecompressed = 16 << 20
)

// ErrMalformed is returned for a value that can't be decoded as a document.
var ErrMalformed = errors.New("malformed document")

var gzipMagic = []byte{0x1f, 0x8b}

// Doc is one document. It is immutable.
type Doc struct {
	key string
	// rev is 1 for the first accepted update and grows by one with each; 0
	// means that the document does not exist.
	rev int64
	// ops are the ids of the last updates, oldest first, at most maxOps.
	ops []string
	// body is compact JSON; null marks a deleted document.
	body json.RawMessage
	// storeRev is the service's revision of a registration, 0 for other documents.
	storeRev int64
}

type envelope struct {
	Key  string          `json:"key,omitempty"`
	Rev  int64           `json:"rev"`
	Ops  []string        `json:"ops,omitempty"`
	Body json.RawMessage `json:"body"`
}

// Key returns the document's key.
func (d Doc) Key() string { return d.key }

// Rev returns the document's revision.
func (d Doc) Rev() int64 { return d.rev }

// Body returns the content; the caller must not change it.
func (d Doc) Body() json.RawMessage { return d.body }

// HasOp tells whether one of the last 32 updates had the id op.
func (d Doc) HasOp(op string) bool { return slices.Contains(d.ops, op) }

// Deleted tells whether the document's last update deleted it.
func (d Doc) Deleted() bool { return d.rev == 0 || bytes.Equal(d.body, []byte("null")) }

// isSameUpdate tells whether two documents with the same key and revision are the
// result of the same update.
func (d Doc) isSameUpdate(o Doc) bool {
	return slices.Equal(d.ops, o.ops) && bytes.Equal(d.body, o.body)
}

// descendsFrom tells whether d can be the result of later updates to held, as far
// as the operation ids that d keeps reach back.
func (d Doc) descendsFrom(held Doc) bool {
	at := len(d.ops) - 1 - int(min(d.rev-held.rev, maxOps))
	if at < 0 || len(held.ops) == 0 {
		return d.rev > held.rev
	}
	return d.rev > held.rev && d.ops[at] == held.ops[len(held.ops)-1]
}

// withUpdate returns the document after one more update.
func (d Doc) withUpdate(op string, body json.RawMessage) (Doc, error) {
	compact, err := json.Marshal(body)
	if err != nil {
		return Doc{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	kept := d.ops[max(0, len(d.ops)+1-maxOps):]
	ops := append(slices.Clone(kept), op)
	return Doc{key: d.key, rev: d.rev + 1, ops: ops, body: compact}, nil
}

// MarshalJSON encodes the document with its key, the form that entries exchange.
func (d Doc) MarshalJSON() ([]byte, error) {
	return json.Marshal(envelope{Key: d.key, Rev: d.rev, Ops: d.ops, Body: d.body})
}

// UnmarshalJSON decodes the form that MarshalJSON writes. The error is
// ErrMalformed.
func (d *Doc) UnmarshalJSON(b []byte) error {
	var e envelope
	if err := json.Unmarshal(b, &e); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	doc, err := e.doc()
	*d = doc
	return err
}

func (e envelope) doc() (Doc, error) {
	if e.Key == "" || e.Rev < 1 || len(e.Ops) > maxOps {
		return Doc{}, fmt.Errorf("key %q, revision %d: %w", e.Key, e.Rev, ErrMalformed)
	}
	body := e.Body
	if body == nil {
		body = json.RawMessage("null")
	}
	return Doc{key: e.Key, rev: e.Rev, ops: e.Ops, body: body}, nil
}

// Encode returns the value to store under the document's key, compressed when it
// is larger than 1 KiB.
func (d Doc) Encode() ([]byte, error) {
	b, err := json.Marshal(envelope{Rev: d.rev, Ops: d.ops, Body: d.body})
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", d.key, ErrMalformed, err)
	}
	if len(b) <= maxPlainSize {
		return b, nil
	}
	return compress(b), nil
}

// Decode decodes a value stored under key. The error is ErrMalformed.
func Decode(key string, value []byte) (Doc, error) {
	if bytes.HasPrefix(value, gzipMagic) {
		plain, err := decompress(value)
		if err != nil {
			return Doc{}, fmt.Errorf("%s: %w: %w", key, ErrMalformed, err)
		}
		value = plain
	}
	var e envelope
	if err := json.Unmarshal(value, &e); err != nil {
		return Doc{}, fmt.Errorf("%s: %w: %w", key, ErrMalformed, err)
	}
	e.Key = key
	return e.doc()
}

var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

func compress(b []byte) []byte {
	var out bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&out)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(b)
	_ = w.Close()
	return out.Bytes()
}

func decompress(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxDecompressed))
}
