package strict

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is matched by every error of this package.
var ErrInvalid = errors.New("invalid document")

// Error is one error at one position of a document.
type Error struct {
	// File is the name of the document; it may be empty.
	File string
	// Line and Col count from 1. Both are 0 if the position is not known.
	Line, Col int
	// Key is the path of the field, such as pools[2].budget; it is empty for an
	// error of the whole document.
	Key string
	Msg string
}

// Error returns the error as one line: "file:line:col: key: message".
func (e *Error) Error() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(e.File + ":")
	}
	if e.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", e.Line, e.Col)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	b.WriteString(strings.ReplaceAll(e.Msg, "\n", " "))
	return b.String()
}

// Is makes errors.Is match ErrInvalid.
func (e *Error) Is(target error) bool { return target == ErrInvalid }

// Errors are the errors of one document.
type Errors []*Error

// Error returns the errors, one per line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is match ErrInvalid.
func (es Errors) Is(target error) bool { return target == ErrInvalid }

// Err returns the errors as one error, or nil if there are none.
func (es Errors) Err() error {
	if len(es) == 0 {
		return nil
	}
	return es
}
