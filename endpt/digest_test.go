package endpt

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestDigest(t *testing.T) {
	sum := func(s string) uint64 {
		b := NewBody(iotest.OneByteReader(strings.NewReader(s)), int64(len(s)))
		d, err := b.Digest()
		require.NoError(t, err)
		r, err := b.newReader()
		require.NoError(t, err, "the body can still be read")
		got, err := io.ReadAll(r)
		require.NoError(t, err)
		require.Equal(t, s, string(got))
		return d
	}
	long := strings.Repeat("x", ReplayLimit+10)
	require.Equal(t, sum("note 1"), sum("note 1"))
	require.NotEqual(t, sum("note 1"), sum("note 2"))
	require.NotEqual(t, sum(""), sum("x"))
	require.Equal(t, sum(long), sum(long))
	_, err := NewBody(iotest.ErrReader(io.ErrUnexpectedEOF), 5).Digest()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
