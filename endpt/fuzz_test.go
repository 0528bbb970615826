package endpt_test

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotpaddle/endpt"
)

// FuzzAnswer checks arbitrary answers of a worker to task t0.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		ok + "Task: t0\r\nContent-Length: 1\r\n\r\nx",
		ok + "Task: t0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		ok + "Task: t0\r\n\r\nx",
		ok + "Task: t0\r\nTask: t1\r\nContent-Length: 0\r\n\r\n",
		unavailable + "Task: t0\r\nRefused: full\r\nContent-Length: 0\r\n\r\n",
		unavailable + "Task: t1\r\nRefused: full\r\nContent-Length: 0\r\n\r\n",
		unavailable + "Task: t0\r\nRefused: Full\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTask: t0\r\n\r\nx",
		"HTTP/1.1 101 Switching Protocols\r\nTask: t0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\ntask: t0\r\n\r\n",
		"",
	} {
		f.Add(s)
	}
	req, err := http.NewRequest(http.MethodPost, "http://127.0.0.1/run", http.NoBody)
	require.NoError(f, err)
	c := endpt.New(1)
	f.Fuzz(func(t *testing.T, s string) {
		res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(s)), req)
		if err != nil {
			return
		}
		own := res.Header.Get("Task") == "t0"
		refused := res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Refused") != ""
		a, err := c.Check(res, "t0")
		switch {
		case err == nil:
			require.True(t, own && !refused && a.Status >= http.StatusOK)
			require.True(t, a.Length >= 0 || len(res.TransferEncoding) > 0, "a truncated body can be noticed")
		case errors.Is(err, endpt.ErrNotRun), errors.Is(err, endpt.ErrDuplicate):
			require.True(t, own && refused)
		default:
			require.ErrorIs(t, err, endpt.ErrUnknown)
		}
	})
}
