package front

import (
	"bytes"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

var errCut = errors.New("cut")

func TestAnswer(t *testing.T) {
	whole := strings.Repeat("0123456789", bufferSize/5)
	for _, tc := range []struct {
		name string
		body func() io.Reader
		want string
		err  error // returned by newResponseStream before the first byte, by the copy after it
	}{
		{"empty", func() io.Reader { return strings.NewReader("") }, "", nil},
		{"one byte", func() io.Reader { return strings.NewReader("x") }, "x", nil},
		{"long", func() io.Reader { return strings.NewReader(whole) }, whole, nil},
		{"byte by byte", func() io.Reader { return iotest.OneByteReader(strings.NewReader("bytes")) }, "bytes", nil},
		{"end with the data", func() io.Reader { return iotest.DataErrReader(strings.NewReader(whole)) }, whole, nil},
		{"cut at once", func() io.Reader { return iotest.ErrReader(errCut) }, "", errCut},
		{"cut after a byte", func() io.Reader { return io.MultiReader(strings.NewReader("x"), iotest.ErrReader(errCut)) }, "x", errCut},
		{"cut late", func() io.Reader { return io.MultiReader(strings.NewReader(whole), iotest.ErrReader(errCut)) }, whole, errCut},
		{"cut with the data", func() io.Reader {
			return iotest.DataErrReader(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(errCut)))
		}, "x", errCut},
	} {
		for _, read := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				a, err := newResponseStream(io.NopCloser(tc.body()), -1)
				if tc.want == "" && tc.err != nil {
					require.ErrorIs(t, err, tc.err)
					return
				}
				require.NoError(t, err)
				defer a.Close()
				rec := httptest.NewRecorder()
				if read {
					_, err = io.Copy(rec.Body, struct{ io.Reader }{a})
				} else {
					_, err = io.Copy(rec, a)
				}
				require.ErrorIs(t, err, tc.err)
				require.True(t, bytes.Equal([]byte(tc.want), rec.Body.Bytes()))
			})
		}
	}
}

func FuzzParseDue(f *testing.F) {
	for _, s := range []string{
		"", "5m", "-1h", "1e9h", "2026-12-04T06:00:00Z", "2026-12-04T06:00:00+12:00", "9999-12-31T23:59:59Z",
		"0000-01-01T00:00:00Z", "2562047h47m16.854775807s", "tomorrow", "5", "\x00",
	} {
		f.Add(s)
	}
	now := time.Unix(1e9, 0).UTC()
	f.Fuzz(func(t *testing.T, s string) {
		at, err := parseDue(s, now)
		if err != nil {
			return
		}
		again, err := parseDue(at.Format(time.RFC3339Nano), now)
		if y := at.UTC().Year(); y < 0 || y > 9999 {
			return
		}
		require.NoError(t, err, "%q read as %v", s, at)
		require.True(t, again.Equal(at), "%q read as %v, then as %v", s, at, again)
	})
}
