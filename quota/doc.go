package quota

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
)

// Prefix is the prefix of the keys of all documents.
const Prefix = "quota/"

// Key returns the key of a workspace's document. Bytes of the name other than ASCII letters,
// digits, "-" and "_" stand as "." and two hexadecimal digits.
func Key(workspace string) string {
	var b strings.Builder
	b.WriteString(Prefix)
	for i := range len(workspace) {
		c := workspace[i]
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' {
			b.WriteByte(c)
			continue
		}
		fmt.Fprintf(&b, ".%02x", c)
	}
	return b.String()
}

// document is the stored account of a workspace.
type document struct {
	Workspace string `json:"space"`
	// Quota is that of the configuration with the number Version: the last one known, if the
	// workspace is no longer in the configuration.
	Quota   amount          `json:"quota"`
	Version int64           `json:"ver"`
	Writer  string          `json:"by"` // pool of the last writer
	Pools   map[string]part `json:"pools,omitempty"`
}

// part is what a document has for one pool.
type part struct {
	Grant amount `json:"grant,omitzero"`
	// Waits is what the pool could use beyond the grant.
	Waits amount `json:"waits,omitzero"`
	// Alone tells that the pool waits with a subtask that is larger than the quota.
	Alone bool `json:"alone,omitempty"`
	// First is since when the pool waits with a subtask that starves, in Unix milliseconds, until its
	// grant covers that; 0 for none. Other pools start nothing meanwhile.
	First int64 `json:"first,omitempty"`
	// Beat changes while the pool goes on waiting.
	Beat int `json:"beat,omitempty"`
}

func (p part) waiting() bool { return p.Alone || p.First > 0 || !p.Waits.none() }

func (p part) none() bool { return p.Grant.none() && !p.waiting() }

var errName = errors.New("document is not that of the key")

func decode(key string, value []byte) (*document, error) {
	var d document
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	if d.Workspace == "" || Key(d.Workspace) != key {
		return nil, errName
	}
	return &d, nil
}

// with returns a copy of a document, which may be nil, with the part of one pool replaced.
func (d *document) with(pool string, p part) *document {
	out := document{Writer: pool, Pools: map[string]part{}}
	if d != nil {
		out.Workspace, out.Quota, out.Version = d.Workspace, d.Quota, d.Version
		maps.Copy(out.Pools, d.Pools)
	}
	delete(out.Pools, pool)
	if !p.none() {
		out.Pools[pool] = p
	}
	return &out
}
