// Package note reads release notes, checks them against the configuration in
// force, and makes the next configuration.
//
// A release note is YAML. It lists what is added, changed and withdrawn:
//
//	note: 2031-04-02-budget     # unique id; the same note sent twice is one note
//	against: 7                  # revision that the note was written against
//	operator: litia             # optional; else the name of the credential
//	added:
//	  queues: [{name: naps, pool: diary, target: 2s, objective: 0.999}]
//	changed:
//	  pools: [{name: diary, budget: 3}]   # fields not given keep their value
//	withdrawn:
//	  jobs: [old-report]
package note

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"shallotpaddle/strict"
	"shallotpaddle/table"
)

var (
	// ErrInvalid is returned for a note that can't be accepted as it stands.
	ErrInvalid = strict.ErrInvalid
	// ErrConflict is returned for a note against another revision than the one
	// in force, and for a note id that was used for another note.
	ErrConflict = errors.New("note conflicts with an accepted one")
)

// Note is one release note; Parse makes it.
type Note struct {
	// ID is unique among the notes of a fleet and follows table.ValidName.
	ID string `yaml:"note"`
	// Against is the revision that the note was written against.
	Against int64 `yaml:"against"`
	// Operator is who sends the note.
	Operator  string `yaml:"operator"`
	Added     Rows   `yaml:"added"`
	Changed   Rows   `yaml:"changed"`
	Withdrawn Names  `yaml:"withdrawn"`

	// digest identifies the text of the note.
	digest string
	// doc places faults, and knows which fields of a changed row are given.
	doc *strict.Doc
}

// Rows are declarations of each kind.
type Rows struct {
	Pools     []table.PoolSpec     `yaml:"pools"`
	Queues    []table.QueueSpec    `yaml:"queues"`
	Customers []table.CustomerSpec `yaml:"customers"`
	Jobs      []table.JobSpec      `yaml:"jobs"`
}

// Names are names of each kind.
type Names struct {
	Pools     []string `yaml:"pools"`
	Queues    []string `yaml:"queues"`
	Customers []string `yaml:"customers"`
	Jobs      []string `yaml:"jobs"`
}

func (r *Rows) count() int {
	return len(r.Pools) + len(r.Queues) + len(r.Customers) + len(r.Jobs)
}

func (n *Names) count() int {
	return len(n.Pools) + len(n.Queues) + len(n.Customers) + len(n.Jobs)
}

// Parse reads a note from the text of a file. The file's name is used in
// messages only and may be empty. The error lists every fault, one a line, with
// line and column; it matches ErrInvalid.
func Parse(file string, text []byte) (*Note, error) {
	n := &Note{}
	n.doc = strict.Decode(file, text, n)
	sum := sha256.Sum256(text)
	n.digest = hex.EncodeToString(sum[:])
	n.check()
	if err := n.doc.Err(); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Note) check() {
	if !table.ValidName(n.ID) {
		n.doc.AddError("note", "%q is not a name of at most %d lower case letters, digits and dashes", n.ID, table.MaxName)
	}
	if !n.doc.Has("against") {
		n.doc.AddError("against", "missing, want the revision in force")
	}
	if n.Against < 0 {
		n.doc.AddError("against", "%d is below 0", n.Against)
	}
	if n.Operator != "" && !table.ValidName(n.Operator) {
		n.doc.AddError("operator", "%q is not a name of at most %d lower case letters, digits and dashes", n.Operator, table.MaxName)
	}
	if n.Added.count()+n.Changed.count()+n.Withdrawn.count() == 0 {
		n.doc.AddError("", "adds, changes and withdraws nothing")
	}
}

// SetOperator records the operator whose credential sent the note; a note that names
// another one is ErrInvalid.
func (n *Note) SetOperator(operator string) error {
	if n.Operator != "" && n.Operator != operator {
		err := fmt.Errorf("the note names %s, the credential is %s's", n.Operator, operator)
		return n.doc.ErrorAt("operator", err)
	}
	n.Operator = operator
	return nil
}
