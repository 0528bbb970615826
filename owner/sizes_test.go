package owner_test

import (
	"reflect"
	"strings"
)

// sizesOf returns the total number of elements of each map, slice and channel buffer that a value
// of this project's packages holds, by type and field: fields that nobody has listed count too.
// Nothing else may use the value meanwhile.
func sizesOf(v any) map[string]int {
	w := sizeWalker{sizes: map[string]int{}, seen: map[uintptr]bool{}}
	w.walk("", reflect.ValueOf(v))
	return w.sizes
}

type sizeWalker struct {
	sizes map[string]int
	seen  map[uintptr]bool // pointers that have been followed
}

// outside are the types at which a walk ends: what several owners of an entry share, and the tests.
var outside = map[string]bool{"owner.Params": true, "elect.Params": true, "advice.Line": true, "steps.Job": true, "steps.Step": true}

func (w *sizeWalker) walk(name string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || w.seen[v.Pointer()] {
			return
		}
		w.seen[v.Pointer()] = true
		w.walk(name, v.Elem())
	case reflect.Interface:
		w.walk(name, v.Elem())
	case reflect.Struct:
		w.walkStruct(v)
	case reflect.Map:
		w.sizes[name] += v.Len()
		for it := v.MapRange(); it.Next(); {
			w.walk(name+" key", it.Key())
			w.walk(name+" value", it.Value())
		}
	case reflect.Slice:
		w.sizes[name] += v.Len()
		fallthrough
	case reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		for i := range v.Len() {
			w.walk(name+" element", v.Index(i))
		}
	case reflect.Chan:
		w.sizes[name] += v.Len()
	}
}

func (w *sizeWalker) walkStruct(v reflect.Value) {
	t := v.Type()
	if !strings.HasPrefix(t.PkgPath(), "shallotpaddle/") || outside[t.String()] {
		return
	}
	for i := range t.NumField() {
		w.walk(t.String()+"."+t.Field(i).Name, v.Field(i))
	}
}
