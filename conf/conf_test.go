package conf

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const good = `self: {name: e1, dc: suva, address: 127.0.0.1:7400}
listen:
  callers: {address: 127.0.0.1:7080}
  operators: {address: 127.0.0.1:7090}
  peers: {address: 127.0.0.1:7400}
platform: {url: http://127.0.0.1:7000}
auth:
  operators:
    - {name: litia, token: sixteen-bytes-or-more}
`

func TestParse(t *testing.T) {
	s, err := Parse("e.yaml", []byte(good))
	require.NoError(t, err)
	require.Equal(t, "e1", s.Self().Name)
	require.Equal(t, DefaultBodyBytes, s.Listen().Callers.MaxBodyBytes)
	require.Equal(t, time.Second, s.Peers().HeartbeatInterval.Std())
	require.Equal(t, DefaultTickInterval, s.Limits().TickInterval.Std())
	name, ok := s.Auth().OperatorByToken("sixteen-bytes-or-more")
	require.True(t, ok)
	require.Equal(t, "litia", name)
	_, ok = s.Auth().OperatorByToken("sixteen-bytes-or-less")
	require.False(t, ok)
	err = s.Fault("listen.callers.address", errors.New("in use"))
	require.EqualError(t, err, "e.yaml:3:13: listen.callers.address: in use")
}

func TestFindHash(t *testing.T) {
	// The SHA-256 of "abc", from FIPS 180-2.
	a := Auth{Operators: []Operator{{Name: "dale", TokenHash: "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}}}
	name, ok := a.OperatorByToken("abc")
	require.True(t, ok)
	require.Equal(t, "dale", name)
	_, ok = a.OperatorByToken("")
	require.False(t, ok)
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown key", "dc: suva", "zone: suva", []string{
			`e.yaml:1:1: self.dc: "" is not a name of at most 63 lower case letters, digits and dashes`,
			"e.yaml:1:18: self.zone: unknown key",
		}},
		{"wrong type", "{address: 127.0.0.1:7080}", "{address: 127.0.0.1:7080, conns: many}", []string{
			`e.yaml:3:38: listen.callers.conns: want a whole number, not "many"`,
		}},
		{"quoted number", "{address: 127.0.0.1:7080}", `{address: 127.0.0.1:7080, conns: "5"}`, []string{
			`e.yaml:3:38: listen.callers.conns: want a whole number, not "5"`,
		}},
		{"out of range", "{url: http://127.0.0.1:7000}", "{url: http://127.0.0.1:7000, writes: 0, ttl: 1s}", []string{
			"e.yaml:6:1: platform.timeout: 2s is not below platform.ttl, 1s",
			"e.yaml:6:40: platform.writes: 0 is not between 1 and 100000 a second",
		}},
		{"duration", "{url: http://127.0.0.1:7000}", "{url: http://127.0.0.1:7000, ttl: 5}", []string{
			`e.yaml:6:40: platform.ttl: duration "5": time: missing unit in duration "5"`,
		}},
		{"section of another type", "platform: {url: http://127.0.0.1:7000}", "platform: 5", []string{
			"e.yaml:6:1: platform: want a mapping of keys",
		}},
		{"host name instead of an IP", "127.0.0.1:7090", "localhost:7090", []string{
			`e.yaml:4:15: listen.operators.address: "localhost:7090" is not IP:port`,
		}},
		{"address of another host", "127.0.0.1:7090", "192.0.2.1:7090", []string{
			"e.yaml:4:15: listen.operators.address: can't listen on 192.0.2.1: the address is not one of this host",
		}},
		{"same address twice", "127.0.0.1:7090", "127.0.0.1:7080", []string{
			"e.yaml:4:15: listen.operators.address: 127.0.0.1:7080 is the address of listen.callers",
		}},
		{"repeated key", "platform:", "self: {name: e2}\nplatform:", []string{
			`e.yaml:6:1: mapping key "self" already defined at [1:1]`,
		}},
		{"short token", "sixteen-bytes-or-more", "short", []string{
			"e.yaml:9:21: auth.operators[0].token: has 5 bytes, want at least 16",
		}},
		{"no credential", ", token: sixteen-bytes-or-more", "", []string{
			"e.yaml:9:7: auth.operators[0]: want either token or hash",
		}},
		{"anchor", "dc: suva", "dc: &a suva", []string{
			"e.yaml:1:18: self.dc: anchors, aliases and tags are not supported",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(good, tt.old, tt.new, 1)
			require.NotEqual(t, good, text)
			_, err := Parse("e.yaml", []byte(text))
			require.ErrorIs(t, err, ErrInvalid)
			require.Equal(t, strings.Join(tt.want, "\n"), err.Error())
		})
	}
}

func TestSyntaxIsOneFault(t *testing.T) {
	_, err := Parse("e.yaml", []byte("self: {name: e1\nlisten: ]"))
	require.ErrorIs(t, err, ErrInvalid)
	require.NotContains(t, err.Error(), "\n")
	require.Contains(t, err.Error(), "e.yaml:")
}

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*/entry.yaml")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, f := range files {
		require.Empty(t, Check(f), f)
	}
}

func TestMissingFile(t *testing.T) {
	require.Len(t, Check("no-such-file.yaml"), 1)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("self: *a\n"))
	f.Add([]byte("- 1\n---\n? {a: b}\n: c\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f.yaml", text)
		require.Equal(t, err != nil, s == nil)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
		}
	})
}
