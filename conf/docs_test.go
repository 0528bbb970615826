package conf

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/table"
)

// Every key of the settings must have a row on the settings page.
func TestSettingsPage(t *testing.T) {
	b, err := os.ReadFile("../docs/settings.md")
	require.NoError(t, err)
	for _, key := range keys("", reflect.TypeFor[Doc]()) {
		for _, l := range []string{"callers", "operators", "peers"} {
			key = strings.Replace(key, "listen."+l+".", "listen.LISTENER.", 1)
		}
		require.Contains(t, string(b), "| `"+key+"` |")
	}
}

func keys(path string, typ reflect.Type) []string {
	switch {
	case typ.Kind() == reflect.Slice && typ.Elem().Kind() == reflect.Struct:
		return keys(path+"[]", typ.Elem())
	case typ.Kind() != reflect.Struct || typ == reflect.TypeFor[table.Duration]():
		return []string{path}
	}
	var out []string
	for i := range typ.NumField() {
		f := typ.Field(i)
		out = append(out, keys(strings.TrimPrefix(path+"."+f.Tag.Get("yaml"), "."), f.Type)...)
	}
	return out
}
