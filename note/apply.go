package note

import (
	"reflect"
	"strconv"
	"strings"

	"shallotpaddle/strict"
	"shallotpaddle/table"
)

// Kinds of rows, as they are written in messages and, in the plural, in notes.
const (
	kindPool     = "pool"
	kindQueue    = "queue"
	kindCustomer = "customer"
	kindJob      = "job"
)

// applier applies one note and collects its errors.
type applier struct {
	doc *strict.Doc
	// touched maps each row that the note adds or changes to its path in the note,
	// withdrawn each row that it withdraws.
	touched, withdrawn map[rowKey]string
}

type rowKey struct{ kind, name string }

// Apply returns a copy of c with the note applied and the revision increased by
// one. The error lists everything that is invalid, one error per line with its
// position in the note; it matches ErrInvalid. Apply does not check n.Against.
func Apply(c *table.Config, n *Note) (*table.Config, error) {
	a := &applier{
		doc:     strict.Decode("", nil, &Note{}),
		touched: map[rowKey]string{}, withdrawn: map[rowKey]string{},
	}
	if n.doc != nil {
		a.doc = n.doc.Clone()
	}
	out := c.Clone()
	out.Rev++
	added, changed, withdrawn := &n.Added, &n.Changed, &n.Withdrawn
	out.Pools = applyRows(a, kindPool, out.Pools, added.Pools, changed.Pools, withdrawn.Pools, poolName)
	out.Queues = applyRows(a, kindQueue, out.Queues, added.Queues, changed.Queues, withdrawn.Queues, queueName)
	out.Customers = applyRows(a, kindCustomer, out.Customers, added.Customers, changed.Customers, withdrawn.Customers, customerName)
	out.Jobs = applyRows(a, kindJob, out.Jobs, added.Jobs, changed.Jobs, withdrawn.Jobs, jobName)
	out.SortByName()
	a.check(out)
	if err := a.doc.Err(); err != nil {
		return nil, err
	}
	return out, nil
}

func poolName(p *table.PoolSpec) string         { return p.Name }
func queueName(q *table.QueueSpec) string       { return q.Name }
func customerName(c *table.CustomerSpec) string { return c.Name }
func jobName(j *table.JobSpec) string           { return j.Name }

// applyRows applies the note to the rows of one kind: withdrawals, then changes,
// then additions. It returns the resulting rows, not sorted.
func applyRows[T any](a *applier, kind string, rows, added, changed []T, withdrawn []string, name func(*T) string) []T {
	exists := make(map[string]bool, len(rows))
	for i := range rows {
		exists[name(&rows[i])] = true
	}
	for i, s := range withdrawn {
		a.withdraw(kind, s, exists[s], rowPath("withdrawn", kind, i))
	}
	kept := make([]T, 0, len(rows)+len(added))
	for i := range rows {
		if _, ok := a.withdrawn[rowKey{kind, name(&rows[i])}]; !ok {
			kept = append(kept, rows[i])
		}
	}
	for i := range changed {
		a.change(kind, name(&changed[i]), exists, rowPath("changed", kind, i))
		for k := range kept {
			if name(&kept[k]) == name(&changed[i]) {
				patch(a.doc, rowPath("changed", kind, i), &kept[k], &changed[i])
			}
		}
	}
	for i := range added {
		if a.add(kind, name(&added[i]), exists[name(&added[i])], rowPath("added", kind, i)) {
			kept = append(kept, added[i])
		}
	}
	return kept
}

func rowPath(list, kind string, i int) string {
	return list + "." + kind + "s[" + strconv.Itoa(i) + "]"
}

func (a *applier) withdraw(kind, name string, exists bool, path string) {
	r := rowKey{kind, name}
	switch {
	case !exists:
		a.doc.AddError(path, "unknown %s %q", kind, name)
	case a.withdrawn[r] != "":
		a.doc.AddError(path, "%s %s is withdrawn twice", kind, name)
	default:
		a.withdrawn[r] = path
	}
}

func (a *applier) change(kind, name string, exists map[string]bool, path string) {
	r := rowKey{kind, name}
	switch {
	case !exists[name]:
		a.doc.AddError(path, "unknown %s %q", kind, name)
	case a.withdrawn[r] != "":
		a.doc.AddError(path, "%s %s is withdrawn by the same note", kind, name)
	case a.touched[r] != "":
		a.doc.AddError(path, "%s %s is changed twice", kind, name)
	default:
		a.touched[r] = path
	}
}

// add records an added row and tells whether it is valid so far.
func (a *applier) add(kind, name string, exists bool, path string) bool {
	r := rowKey{kind, name}
	switch {
	case !table.ValidName(name):
		a.doc.AddError(path+".name", "%q is not a name of at most %d lower case letters, digits and dashes", name, table.MaxName)
	case a.withdrawn[r] != "":
		a.doc.AddError(path, "%s %s is withdrawn by the same note", kind, name)
	case exists:
		a.doc.AddError(path, "%s %s exists already; list it under changed", kind, name)
	case a.touched[r] != "":
		a.doc.AddError(path, "%s %s is added twice", kind, name)
	default:
		a.touched[r] = path
		return true
	}
	return false
}

// patch copies from src to dst the fields that the document sets at path.
func patch[T any](doc *strict.Doc, path string, dst, src *T) {
	to, from := reflect.ValueOf(dst).Elem(), reflect.ValueOf(src).Elem()
	for i := range to.NumField() {
		if doc.Has(path + "." + yamlTag(to.Type().Field(i))) {
			to.Field(i).Set(from.Field(i))
		}
	}
}

func yamlTag(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
