package note

import (
	"reflect"
	"strconv"
	"strings"

	"shallotpaddle/strict"
	"shallotpaddle/table"
)

// Kinds of rows, as they stand in messages.
const (
	kindPool     = "pool"
	kindQueue    = "queue"
	kindCustomer = "customer"
	kindJob      = "job"
)

// applier collects the faults of applying one note.
type applier struct {
	doc *strict.Doc
	// touched holds the path in the note of every row that it adds or changes, and
	// withdrawn that of every row that it withdraws.
	touched, withdrawn map[rowKey]string
}

type rowKey struct{ kind, name string }

// Apply returns the configuration that follows c when n is accepted, with its
// revision one above c's. It leaves c as it is. The error lists every fault
// with its place in the note, one a line; it matches ErrInvalid. Apply does not
// look at the revision that the note was written against.
func Apply(c *table.Config, n *Note) (*table.Config, error) {
	e := &applier{
		doc:     strict.Decode("", nil, &Note{}),
		touched: map[rowKey]string{}, withdrawn: map[rowKey]string{},
	}
	if n.doc != nil {
		e.doc = n.doc.Clone()
	}
	out := c.Clone()
	out.Rev++
	a, ch, w := &n.Added, &n.Changed, &n.Withdrawn
	out.Pools = applyRows(e, kindPool, out.Pools, a.Pools, ch.Pools, w.Pools, poolName)
	out.Queues = applyRows(e, kindQueue, out.Queues, a.Queues, ch.Queues, w.Queues, queueName)
	out.Customers = applyRows(e, kindCustomer, out.Customers, a.Customers, ch.Customers, w.Customers, customerName)
	out.Jobs = applyRows(e, kindJob, out.Jobs, a.Jobs, ch.Jobs, w.Jobs, jobName)
	out.SortByName()
	e.check(out)
	if err := e.doc.Err(); err != nil {
		return nil, err
	}
	return out, nil
}

func poolName(p *table.PoolSpec) string         { return p.Name }
func queueName(q *table.QueueSpec) string       { return q.Name }
func customerName(c *table.CustomerSpec) string { return c.Name }
func jobName(j *table.JobSpec) string           { return j.Name }

// applyRows edits the rows of one kind: withdrawals, then changes, then additions.
func applyRows[T any](e *applier, kind string, rows, added, changed []T, withdrawn []string, name func(*T) string) []T {
	known := make(map[string]bool, len(rows))
	for i := range rows {
		known[name(&rows[i])] = true
	}
	for i, s := range withdrawn {
		e.withdraw(kind, s, known[s], rowPath("withdrawn", kind, i))
	}
	kept := make([]T, 0, len(rows)+len(added))
	for i := range rows {
		if _, ok := e.withdrawn[rowKey{kind, name(&rows[i])}]; !ok {
			kept = append(kept, rows[i])
		}
	}
	for i := range changed {
		e.change(kind, name(&changed[i]), known, rowPath("changed", kind, i))
		for k := range kept {
			if name(&kept[k]) == name(&changed[i]) {
				patch(e.doc, rowPath("changed", kind, i), &kept[k], &changed[i])
			}
		}
	}
	for i := range added {
		if e.add(kind, name(&added[i]), known[name(&added[i])], rowPath("added", kind, i)) {
			kept = append(kept, added[i])
		}
	}
	return kept
}

func rowPath(list, kind string, i int) string {
	return list + "." + kind + "s[" + strconv.Itoa(i) + "]"
}

func (e *applier) withdraw(kind, name string, known bool, at string) {
	r := rowKey{kind, name}
	switch {
	case !known:
		e.doc.AddError(at, "unknown %s %q", kind, name)
	case e.withdrawn[r] != "":
		e.doc.AddError(at, "%s %s is withdrawn twice", kind, name)
	default:
		e.withdrawn[r] = at
	}
}

func (e *applier) change(kind, name string, known map[string]bool, at string) {
	r := rowKey{kind, name}
	switch {
	case !known[name]:
		e.doc.AddError(at, "unknown %s %q", kind, name)
	case e.withdrawn[r] != "":
		e.doc.AddError(at, "%s %s is withdrawn by the same note", kind, name)
	case e.touched[r] != "":
		e.doc.AddError(at, "%s %s is changed twice", kind, name)
	default:
		e.touched[r] = at
	}
}

func (e *applier) add(kind, name string, known bool, at string) bool {
	r := rowKey{kind, name}
	switch {
	case !table.ValidName(name):
		e.doc.AddError(at+".name", "%q is not a name of at most %d lower case letters, digits and dashes", name, table.MaxName)
	case e.withdrawn[r] != "":
		e.doc.AddError(at, "%s %s is withdrawn by the same note", kind, name)
	case known:
		e.doc.AddError(at, "%s %s exists already; list it under changed", kind, name)
	case e.touched[r] != "":
		e.doc.AddError(at, "%s %s is added twice", kind, name)
	default:
		e.touched[r] = at
		return true
	}
	return false
}

// patch copies the fields that the document gives at path from src to dst.
func patch[T any](doc *strict.Doc, at string, dst, src *T) {
	to, from := reflect.ValueOf(dst).Elem(), reflect.ValueOf(src).Elem()
	for i := range to.NumField() {
		if doc.Has(at + "." + yamlTag(to.Type().Field(i))) {
			to.Field(i).Set(from.Field(i))
		}
	}
}

func yamlTag(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
