package note

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"shallotpaddle/table"
)

// RowDiff tells how one row of the configuration differs.
type RowDiff struct {
	Op   string `json:"op"`   // added, changed or withdrawn
	Kind string `json:"kind"` // pool, queue, customer or job
	Name string `json:"name"`
	// Fields are the fields that differ; for an added row those that are set,
	// for a withdrawn one none.
	Fields []FieldDiff `json:"fields,omitempty"`
}

// FieldDiff is one differing field. Old is empty in an added row.
type FieldDiff struct {
	Name string `json:"name"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new"`
}

// String returns the line for people, such as
// "changed pool diary: budget 2 -> 3".
func (l RowDiff) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Op, l.Kind, l.Name)
	for i, f := range l.Fields {
		b.WriteString(separator(i))
		b.WriteString(f.Name + " ")
		if l.Op == opChanged {
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

// Diff returns the rows that differ between two configurations: pools, queues,
// customers, jobs, each by name.
func Diff(from, to *table.Config) []RowDiff {
	var out []RowDiff
	out = diffRows(out, kindPool, from.Pools, to.Pools, poolName)
	out = diffRows(out, kindQueue, from.Queues, to.Queues, queueName)
	out = diffRows(out, kindCustomer, from.Customers, to.Customers, customerName)
	return diffRows(out, kindJob, from.Jobs, to.Jobs, jobName)
}

// Strings returns the lines for people.
func Strings(lines []RowDiff) []string {
	out := make([]string, len(lines))
	for i, l := range lines {
		out[i] = l.String()
	}
	return out
}

// diffRows merges two lists that are sorted by name.
func diffRows[T any](out []RowDiff, kind string, from, to []T, name func(*T) string) []RowDiff {
	var none T
	i, k := 0, 0
	for i < len(from) || k < len(to) {
		switch {
		case k == len(to) || (i < len(from) && name(&from[i]) < name(&to[k])):
			out = append(out, RowDiff{Op: opWithdrawn, Kind: kind, Name: name(&from[i])})
			i++
		case i == len(from) || name(&from[i]) > name(&to[k]):
			out = append(out, RowDiff{Op: opAdded, Kind: kind, Name: name(&to[k]), Fields: diffFields(&none, &to[k])})
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

// formatDuration writes a duration without its trailing zero parts.
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
