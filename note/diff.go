package note

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"shallotpaddle/table"
)

// RowDiff describes how one row differs between two configurations.
type RowDiff struct {
	Op   string `json:"op"`   // added, changed or withdrawn
	Kind string `json:"kind"` // pool, queue, customer or job
	Name string `json:"name"`
	// Fields are the fields that differ. An added row has those that are not zero,
	// a withdrawn row none.
	Fields []FieldDiff `json:"fields,omitempty"`
}

// FieldDiff describes one field that differs. In an added row Old is the zero
// value.
type FieldDiff struct {
	Name string `json:"name"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new"`
}

// String returns the difference in the form that is shown to operators, such as
// "changed pool diary: budget 2 -> 3".
func (d RowDiff) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", d.Op, d.Kind, d.Name)
	for i, f := range d.Fields {
		b.WriteString(separator(i))
		b.WriteString(f.Name + " ")
		if d.Op == opChanged {
			b.WriteString(f.Old + " -> ")
		}
		b.WriteString(f.New)
	}
	return b.String()
}

func separator(i int) string {
	if i == 0 {
		return ": "
	}
	return ", "
}

const (
	opAdded     = "added"
	opChanged   = "changed"
	opWithdrawn = "withdrawn"
)

// Diff returns the rows that differ between two configurations, ordered by kind
// (pools, queues, customers, jobs) and name.
func Diff(from, to *table.Config) []RowDiff {
	var out []RowDiff
	out = diffRows(out, kindPool, from.Pools, to.Pools, poolName)
	out = diffRows(out, kindQueue, from.Queues, to.Queues, queueName)
	out = diffRows(out, kindCustomer, from.Customers, to.Customers, customerName)
	return diffRows(out, kindJob, from.Jobs, to.Jobs, jobName)
}

// Strings returns the differences as text, as RowDiff.String does.
func Strings(diffs []RowDiff) []string {
	out := make([]string, len(diffs))
	for i, d := range diffs {
		out[i] = d.String()
	}
	return out
}

// diffRows appends the differences between two lists of rows of one kind, which
// must be sorted by name.
func diffRows[T any](out []RowDiff, kind string, from, to []T, name func(*T) string) []RowDiff {
	var zero T
	i, k := 0, 0
	for i < len(from) || k < len(to) {
		switch {
		case k == len(to) || (i < len(from) && name(&from[i]) < name(&to[k])):
			out = append(out, RowDiff{Op: opWithdrawn, Kind: kind, Name: name(&from[i])})
			i++
		case i == len(from) || name(&from[i]) > name(&to[k]):
			out = append(out, RowDiff{Op: opAdded, Kind: kind, Name: name(&to[k]), Fields: diffFields(&zero, &to[k])})
			k++
		default:
			if f := diffFields(&from[i], &to[k]); len(f) > 0 {
				out = append(out, RowDiff{Op: opChanged, Kind: kind, Name: name(&to[k]), Fields: f})
			}
			i++
			k++
		}
	}
	return out
}

func diffFields[T any](from, to *T) []FieldDiff {
	a, b := reflect.ValueOf(from).Elem(), reflect.ValueOf(to).Elem()
	var out []FieldDiff
	for i := range a.NumField() {
		key := yamlTag(a.Type().Field(i))
		if key == "name" || a.Field(i).Equal(b.Field(i)) {
			continue
		}
		out = append(out, FieldDiff{Name: key, Old: formatValue(a.Field(i)), New: formatValue(b.Field(i))})
	}
	return out
}

func formatValue(v reflect.Value) string {
	if d, ok := v.Interface().(table.Duration); ok {
		return formatDuration(d.Std())
	}
	if v.Kind() == reflect.String && v.Len() == 0 {
		return `""`
	}
	return fmt.Sprint(v.Interface())
}

// formatDuration formats a duration without trailing zero units: "1h", not
// "1h0m0s".
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
