// Package strict decodes YAML documents into structs and accepts only what it
// fully understands: an unknown or repeated key, a value of another type, an anchor
// or a second document is an error. All errors of a document are reported at once,
// with their positions.
package strict

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxNesting is the deepest nesting of a document, in levels of brackets and
// indentation.
const MaxNesting = 32

// Doc holds the positions of the fields of a decoded document and the errors found
// in it.
type Doc struct {
	file string // name of the document, for messages
	// positions maps the path of each key and list item to its position.
	positions map[string]token.Position
	errs      Errors
	// failed is the set of paths whose value did not decode; unparsed is true if the
	// document as a whole did not parse.
	failed   map[string]bool
	unparsed bool
}

// Decode decodes a YAML document into out, a pointer to a struct. The name file is
// used in messages only. Fields that the document does not set keep their value.
// Errors are in the returned Doc, which is never nil.
func Decode(file string, src []byte, out any) *Doc {
	d := &Doc{file: file, positions: map[string]token.Position{}, failed: map[string]bool{}}
	body, ok := d.parse(src)
	d.unparsed = !ok
	if ok && body != nil {
		d.decodeNode("", body, reflect.ValueOf(out).Elem())
	}
	return d
}

// Err returns the errors of the document as one error that matches ErrInvalid, or
// nil if there are none.
func (d *Doc) Err() error { return d.errs.Err() }

// Errors returns the errors of the document, ordered by position.
func (d *Doc) Errors() Errors { return d.errs }

// AddError adds an error of the field at path, such as pools[2].budget. If the
// document does not set the field, the position is that of the nearest enclosing
// field that it sets. For a field that did not decode, which has an error already,
// AddError does nothing.
func (d *Doc) AddError(path, format string, args ...any) {
	if !d.unparsed && d.isDecoded(path) {
		d.add(path, format, args...)
	}
}

// isDecoded tells whether the field at path and all fields that enclose it decoded.
func (d *Doc) isDecoded(path string) bool {
	for ; path != ""; path = parentPath(path) {
		if d.failed[path] {
			return false
		}
	}
	return !d.failed[""]
}

func parentPath(path string) string { return path[:max(strings.LastIndexAny(path, ".["), 0)] }

// reject adds an error of a value that does not decode.
func (d *Doc) reject(path, format string, args ...any) {
	d.failed[path] = true
	d.add(path, format, args...)
}

func (d *Doc) add(path, format string, args ...any) {
	pos := d.position(path)
	d.errs = append(d.errs, &Error{
		File: d.file, Line: pos.Line, Col: pos.Column, Key: path, Msg: fmt.Sprintf(format, args...),
	})
	slices.SortStableFunc(d.errs, func(a, b *Error) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Col - b.Col
	})
}

// Clone returns a copy. Errors added to the copy are not added to d.
func (d *Doc) Clone() *Doc {
	c := *d
	c.errs = slices.Clone(d.errs)
	return &c
}

// Has tells whether the document sets the field at path.
func (d *Doc) Has(path string) bool {
	_, ok := d.positions[path]
	return ok
}

// ErrorAt returns err as an Error at the position of the field at path. It is not
// added to the errors of d.
func (d *Doc) ErrorAt(path string, err error) error {
	pos := d.position(path)
	return &Error{File: d.file, Line: pos.Line, Col: pos.Column, Key: path, Msg: err.Error()}
}

// position returns the position of the field at path or, if the document does not
// set it, of the nearest enclosing field.
func (d *Doc) position(path string) token.Position {
	for {
		if pos, ok := d.positions[path]; ok || path == "" {
			return pos
		}
		path = parentPath(path)
	}
}

func (d *Doc) parse(src []byte) (ast.Node, bool) {
	if maxNesting(src) > MaxNesting {
		d.reject("", "nested deeper than %d levels", MaxNesting)
		return nil, false
	}
	f, err := parser.ParseBytes(src, 0)
	if err != nil {
		d.addSyntaxError(err)
		return nil, false
	}
	if len(f.Docs) > 1 {
		d.reject("", "holds %d documents, want 1", len(f.Docs))
		return nil, false
	}
	if len(f.Docs) == 0 {
		return nil, true
	}
	return f.Docs[0].Body, true
}

// maxNesting returns an upper bound of the nesting of brackets and indentation. It
// is checked before parsing, because the parser recurses once per level.
func maxNesting(src []byte) int {
	deepest, brackets := 0, 0
	for line := range strings.Lines(string(src)) {
		text := strings.TrimLeft(line, " -")
		indent := (len(line) - len(text) + 1) / 2
		for _, c := range text {
			switch c {
			case '[', '{':
				brackets++
			case ']', '}':
				brackets = max(brackets-1, 0)
			}
			deepest = max(deepest, brackets+indent)
		}
	}
	return deepest
}

func (d *Doc) addSyntaxError(err error) {
	var syntaxErr interface {
		GetToken() *token.Token
		GetMessage() string
	}
	if !errors.As(err, &syntaxErr) || syntaxErr.GetToken() == nil {
		d.reject("", "%v", err)
		return
	}
	pos := syntaxErr.GetToken().Position
	d.errs = append(d.errs, &Error{File: d.file, Line: pos.Line, Col: pos.Column, Msg: syntaxErr.GetMessage()})
}

func (d *Doc) recordPosition(path string, n ast.Node) {
	// The token of a block mapping is the colon of its first pair.
	if m, ok := n.(*ast.MappingNode); ok && !m.IsFlowStyle && len(m.Values) > 0 {
		n = m.Values[0].Key
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		d.positions[path] = *t.Position
	}
}

// decodeNode decodes n into out and adds an error if it does not fit.
func (d *Doc) decodeNode(path string, n ast.Node, out reflect.Value) {
	switch n.(type) {
	case *ast.NullNode:
		d.decodeNull(path, out)
		return
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.reject(path, "anchors, aliases and tags are not supported")
		return
	}
	if u, ok := out.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, n, u)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.decodeMapping(path, n, out)
	case reflect.Slice:
		d.decodeSequence(path, n, out)
	default:
		d.decodeScalar(path, n, out)
	}
}

// decodeNull accepts a null value for a section or list and rejects it for a
// scalar.
func (d *Doc) decodeNull(path string, out reflect.Value) {
	if k := out.Kind(); k != reflect.Struct && k != reflect.Slice {
		d.reject(path, "has no value")
	}
}

func (d *Doc) decodeText(path string, n ast.Node, u encoding.TextUnmarshaler) {
	s, ok := scalarText(n)
	if !ok {
		d.reject(path, "want text")
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		d.reject(path, "%v", err)
	}
}

// pairs returns the key-value pairs of a mapping.
func pairs(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func (d *Doc) decodeMapping(path string, n ast.Node, out reflect.Value) {
	kvs, ok := pairs(n)
	if !ok {
		d.reject(path, "want a mapping of keys")
		return
	}
	seen := map[string]bool{}
	for _, kv := range kvs {
		key, _ := scalarText(kv.Key)
		sub := joinPath(path, key)
		d.recordPosition(sub, kv.Key)
		field, ok := fieldByKey(out, key)
		switch {
		case !ok:
			d.add(sub, "unknown key")
		case seen[key]:
			d.add(sub, "key given twice")
		default:
			d.decodeNode(sub, kv.Value, field)
		}
		seen[key] = true
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// fieldByKey returns the field of the struct v whose yaml tag is key.
func fieldByKey(v reflect.Value, key string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name == key && name != "" {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (d *Doc) decodeSequence(path string, n ast.Node, out reflect.Value) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.reject(path, "want a list")
		return
	}
	list := reflect.MakeSlice(out.Type(), len(seq.Values), len(seq.Values))
	for i, v := range seq.Values {
		sub := path + "[" + strconv.Itoa(i) + "]"
		d.recordPosition(sub, v)
		d.decodeNode(sub, v, list.Index(i))
	}
	out.Set(list)
}

func (d *Doc) decodeScalar(path string, n ast.Node, out reflect.Value) {
	s, ok := scalarText(n)
	if !ok {
		d.reject(path, "want %s", typeName(out.Kind()))
		return
	}
	if !kindMatches(n, out.Kind()) || !setScalar(out, s) {
		d.reject(path, "want %s, not %q", typeName(out.Kind()), s)
	}
}

// scalarText returns the source text of a scalar node.
func scalarText(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode:
		return n.Token.Value, true
	case *ast.FloatNode:
		return n.Token.Value, true
	case *ast.BoolNode:
		return n.Token.Value, true
	}
	return "", false
}

// kindMatches tells whether a scalar node may be decoded into a field of kind k.
func kindMatches(n ast.Node, k reflect.Kind) bool {
	switch n.(type) {
	case *ast.IntegerNode:
		return k == reflect.Int || k == reflect.Int64 || k == reflect.Float64
	case *ast.FloatNode:
		return k == reflect.Float64
	case *ast.BoolNode:
		return k == reflect.Bool
	}
	return k == reflect.String
}

// setScalar parses s into out and tells whether it is valid.
func setScalar(out reflect.Value, s string) bool {
	switch out.Kind() {
	case reflect.String:
		out.SetString(s)
		return true
	case reflect.Bool:
		v, err := strconv.ParseBool(s)
		out.SetBool(v)
		return err == nil
	case reflect.Int, reflect.Int64:
		v, err := strconv.ParseInt(s, 0, 64)
		out.SetInt(v)
		return err == nil
	case reflect.Float64:
		v, err := strconv.ParseFloat(s, 64)
		out.SetFloat(v)
		return err == nil
	}
	return false
}

func typeName(k reflect.Kind) string {
	switch k {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	}
	return "text"
}
