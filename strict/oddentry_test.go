package strict_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/strict"
)

// Guard: a deeply nested document is an error, and doesn't end the process.
func TestDeeplyNestedDocument(t *testing.T) {
	const depth = 20_000
	for name, src := range map[string]string{
		"open": "a: " + strings.Repeat("[", depth), "closed": "a: " + strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"mappings": "a: " + strings.Repeat("{a: ", depth), "items": strings.Repeat("- ", depth),
	} {
		var out struct {
			A string `yaml:"a"`
		}
		require.ErrorIs(t, strict.Decode("f", []byte(src), &out).Err(), strict.ErrInvalid, name)
	}
}
