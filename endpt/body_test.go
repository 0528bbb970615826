package endpt_test

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/endpt"
	"shallotpaddle/fakes"
)

// TestBodyTurns checks that a dispatch which goes on reading after the next one has
// begun gets an error and takes no bytes from it. The HTTP transport reads on
// like this until it receives a refusal.
func TestBodyTurns(t *testing.T) {
	for _, read := range []int{0, 1, endpt.ReplayLimit - 1, endpt.ReplayLimit} {
		b := endpt.NewBody(bytes.NewReader(payload(3*endpt.ReplayLimit)), -1)
		first, err := b.Reader()
		require.NoError(t, err)
		_, err = io.ReadFull(first, make([]byte, read))
		require.NoError(t, err)
		require.True(t, b.Replayable())
		second, err := b.Reader()
		require.NoError(t, err)
		_, err = first.Read(make([]byte, 99))
		require.Error(t, err, "the reader was replaced")
		got, err := io.ReadAll(second)
		require.NoError(t, err)
		require.True(t, bytes.Equal(payload(3*endpt.ReplayLimit), got), "after %d bytes", read)
		require.False(t, b.Replayable())
		_, err = b.Reader()
		require.Error(t, err)
	}
}

// TestBodyReadInProgress closes the reader of a dispatch during a read of a slow
// source.
func TestBodyReadInProgress(t *testing.T) {
	for _, kept := range []int{0, endpt.ReplayLimit} {
		pr, pw := io.Pipe()
		asked := make(chan struct{}, 9)
		b := endpt.NewBody(io.MultiReader(bytes.NewReader(payload(kept)), readFunc(func(p []byte) (int, error) {
			asked <- struct{}{}
			return pr.Read(p)
		})), -1)
		first, err := b.Reader()
		require.NoError(t, err)
		_, err = io.ReadFull(first, make([]byte, kept))
		require.NoError(t, err)
		ended := make(chan error)
		go func() {
			_, err := first.Read(make([]byte, 99))
			ended <- err
		}()
		<-asked
		require.NoError(t, first.Close(), "does not wait for the source")
		require.Equal(t, kept == 0, b.Replayable(), "bytes past the limit are lost with the dispatch")
		second, err := b.Reader()
		if kept > 0 {
			require.Error(t, err)
			require.NoError(t, pw.Close())
			<-ended
			continue
		}
		require.NoError(t, err)
		go func() {
			_, _ = pw.Write([]byte("late"))
			_ = pw.Close()
		}()
		got, err := io.ReadAll(second)
		require.NoError(t, err)
		require.Equal(t, "late", string(got))
		<-ended
	}
}

type readFunc func([]byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

func TestBodyExactlyAtLimit(t *testing.T) {
	b := endpt.NewBody(iotest.DataErrReader(bytes.NewReader(payload(endpt.ReplayLimit))), -1)
	for range 3 {
		r, err := b.Reader()
		require.NoError(t, err)
		got, err := io.ReadAll(r)
		require.NoError(t, err)
		require.Len(t, got, endpt.ReplayLimit)
	}
}

// TestControlNotHeldUp uses all of a client's connections for tasks. Control calls
// must still pass, and another task must fail at once as not run.
func TestControlNotHeldUp(t *testing.T) {
	w := fakes.NewWorker("w")
	srv := httptest.NewServer(w)
	defer srv.Close()
	c := endpt.New(2)
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan string)
	for _, id := range []string{"a", "b"} {
		go func() {
			body := []byte("run=1h;")
			a, err := c.Run(ctx, addr(srv), task(id, bytes.NewReader(body), int64(len(body))))
			done <- outcome(a, err, nil)
		}()
	}
	require.Eventually(t, func() bool { return len(w.StartedTasks()) == 2 }, 10*time.Second, time.Millisecond)
	u, err := c.Usage(t.Context(), addr(srv))
	require.NoError(t, err)
	require.Equal(t, 2, u.Busy)
	require.NoError(t, c.Renew(t.Context(), addr(srv), "a", time.Hour))
	a, err := c.Run(t.Context(), addr(srv), task("c", nil, 0))
	require.Equal(t, "full", outcome(a, err, nil))
	tk := task("d", nil, 0)
	tk.Repeated = true
	a, err = c.Run(t.Context(), addr(srv), tk)
	require.Equal(t, "whole", outcome(a, err, nil))
	cancel()
	require.Equal(t, []string{"unknown", "unknown"}, []string{<-done, <-done})
	a, err = c.Run(t.Context(), addr(srv), task("e", nil, 0))
	require.Equal(t, "whole", outcome(a, err, nil), "connections are released")
}

// TestBodyRelease releases a body while a dispatch still reads it.
func TestBodyRelease(t *testing.T) {
	for _, length := range []int64{-1, 100, 2 * endpt.ReplayLimit} {
		pr, pw := io.Pipe()
		asked := make(chan struct{}, 1)
		b := endpt.NewBody(readFunc(func(p []byte) (int, error) {
			asked <- struct{}{}
			return pr.Read(p)
		}), length)
		r, err := b.Reader()
		require.NoError(t, err)
		ended := make(chan error)
		go func() {
			_, err := r.Read(make([]byte, 99))
			ended <- err
		}()
		<-asked
		b.Release()
		b.Release()
		_, err = pw.Write([]byte("late"))
		require.NoError(t, err)
		require.NoError(t, <-ended)
		_, err = r.Read(make([]byte, 99))
		require.Error(t, err)
		_, err = b.Reader()
		require.Error(t, err)
		require.False(t, b.Replayable())
	}
	var nilBody *endpt.Body
	nilBody.Release()
}
