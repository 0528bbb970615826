// Package note parses release notes, which change the configuration, checks them
// against the configuration in force and applies them.
//
// A release note is a YAML document. It lists what is added, changed and withdrawn:
//
//	note: 2031-04-02-budget     # unique id; sending a note again has no effect
//	against: 7                  # configuration revision that the note is based on
//	operator: litia             # optional; defaults to the credential's operator
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
	// ErrInvalid is matched by the errors of a note that is malformed or does not
	// fit the configuration.
	ErrInvalid = strict.ErrInvalid
	// ErrConflict is matched by the errors of a note against another revision than
	// the one in force and of a note whose id was used for another note.
	ErrConflict = errors.New("note conflicts with an accepted one")
)

// Note is one release note. It is made by Parse.
type Note struct {
	// ID is unique among the notes of a fleet; table.ValidName holds for it.
	ID string `yaml:"note"`
	// Against is the configuration revision that the note is based on.
	Against int64 `yaml:"against"`
	// Operator is the name of the operator who sends the note.
	Operator  string `yaml:"operator"`
	Added     Rows   `yaml:"added"`
	Changed   Rows   `yaml:"changed"`
	Withdrawn Names  `yaml:"withdrawn"`

	// digest is the SHA-256 of the note's text, in hexadecimal.
	digest string
	// doc holds the positions of the fields, for errors, and tells which fields of
	// a changed row are set.
	doc *strict.Doc
}

// Rows are the declarations of a note, by kind.
type Rows struct {
	Pools     []table.PoolSpec     `yaml:"pools"`
	Queues    []table.QueueSpec    `yaml:"queues"`
	Customers []table.CustomerSpec `yaml:"customers"`
	Jobs      []table.JobSpec      `yaml:"jobs"`
}

// Names are the names of rows, by kind.
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

// Parse parses a note and checks what can be checked without a configuration. The
// file's name is used in messages only and may be empty. The error lists everything
// that is invalid, one error per line, with line and column; it matches ErrInvalid.
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

// SetOperator sets the operator to the one whose credential sent the note. If the
// note names another operator, the error matches ErrInvalid.
func (n *Note) SetOperator(operator string) error {
	if n.Operator != "" && n.Operator != operator {
		err := fmt.Errorf("the note names %s, the credential is %s's", n.Operator, operator)
		return n.doc.ErrorAt("operator", err)
	}
	n.Operator = operator
	return nil
}
