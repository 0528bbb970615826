package endpt_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"shallotpaddle/endpt"
	"shallotpaddle/fakes"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const mib = 1 << 20

// outcome names the result of a dispatch in one word. An answer is "whole" if its
// body equals the given one.
func outcome(a *endpt.Answer, err error, body []byte) string {
	for _, w := range []struct {
		name string
		err  error
	}{
		{"full", endpt.ErrFull},
		{"leaving", endpt.ErrLeaving},
		{"duplicate", endpt.ErrDuplicate},
		{"unreachable", endpt.ErrDial},
		{"not-run", endpt.ErrNotRun},
		{"foreign", endpt.ErrForeign},
		{"unknown", endpt.ErrUnknown},
	} {
		if errors.Is(err, w.err) {
			return w.name
		}
	}
	if err != nil {
		return "untyped: " + err.Error()
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	switch {
	case err != nil:
		return "broken"
	case a.Status != http.StatusOK:
		return fmt.Sprint(a.Status)
	case len(got) == 0 && len(body) > 0:
		return "empty"
	case !bytes.Equal(got, body):
		return "wrong"
	default:
		return "whole"
	}
}

func payload(n int) []byte { return bytes.Repeat([]byte("0123456789abcdef"), n/16+1)[:n] }

func task(id string, r io.Reader, n int64) endpt.Task {
	return endpt.Task{ID: id, Pool: "p", Queue: "q", Kind: "k", Slots: 1, Body: endpt.NewBody(r, n)}
}

func TestStandIn(t *testing.T) {
	c := endpt.New(4)
	defer c.Close()
	for _, tc := range []struct {
		name string
		set  func(*fakes.Worker)
		ids  []string
		want []string
	}{
		{"answered", func(*fakes.Worker) {}, []string{"a", "b"}, []string{"whole", "whole"}},
		{"id seen before", func(*fakes.Worker) {}, []string{"a", "a"}, []string{"whole", "duplicate"}},
		{"leaving", func(w *fakes.Worker) { w.SetLeaving(true) }, []string{"a"}, []string{"leaving"}},
		{"full", func(w *fakes.Worker) { w.SetSlots(0) }, []string{"a"}, []string{"full"}},
		{"answers with an error", func(w *fakes.Worker) { w.SetBroken(true) }, []string{"a"}, []string{"500"}},
	} {
		for _, size := range []int{0, 1, endpt.ReplayLimit, 8 * mib} {
			for _, length := range []int64{int64(size), -1} {
				t.Run(fmt.Sprintf("%s/%d of %d", tc.name, size, length), func(t *testing.T) {
					w := fakes.NewWorker("w")
					tc.set(w)
					srv := httptest.NewServer(w)
					defer srv.Close()
					for i, id := range tc.ids {
						a, err := c.Run(context.Background(), addr(srv), task(id, bytes.NewReader(payload(size)), length))
						got := outcome(a, err, payload(size))
						if size > endpt.ReplayLimit && tc.want[i] == "500" {
							// The worker closes the connection before it has read the body.
							require.Contains(t, []string{"500", "broken", "unknown"}, got)
							continue
						}
						require.Equal(t, tc.want[i], got)
					}
				})
			}
		}
	}
}

func addr(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

const ok = "HTTP/1.1 200 OK\r\n"

// TestRogue dispatches to workers that break the protocol, several times in turn
// over one client. A request whose outcome is "not run" must not have been
// received by the worker, unless the worker itself refused it.
func TestRogue(t *testing.T) {
	for _, tc := range []struct {
		name  string
		serve func(*workerConn)
		want  string // outcomes of the dispatches in turn; alternatives are joined by |
		size  int
	}{
		{"own answer", func(l *workerConn) { l.answer(l.readTask(), "x") }, "whole", 0},
		{"answer of another task", func(l *workerConn) { l.readTask(); l.answer("t9", "x") }, "foreign", 0},
		{"answer without a task", func(l *workerConn) { l.readTask(); l.send(ok + "Content-Length: 1\r\n\r\nx") }, "foreign", 0},
		{"answer doubled", func(l *workerConn) {
			id := l.readTask()
			l.answer(id, "x")
			l.readTask()
			l.answer(id, "x")
		}, "whole foreign", 0},
		{"answer doubled at once", func(l *workerConn) { id := l.readTask(); l.answer(id, "x"); l.answer(id, "x") }, "whole whole|foreign|unknown", 0},
		{"answers off by one", func(l *workerConn) {
			late := "t9"
			for id := l.readTask(); id != ""; id = l.readTask() {
				if l.first {
					id, late = late, id
				}
				l.send(ok + "Task: " + id + "\r\nContent-Length: 0\r\n\r\n")
			}
		}, "foreign empty empty", 0},
		{"refusal doubled", func(l *workerConn) {
			for id := l.readTask(); id != ""; id = l.readTask() {
				if l.first {
					l.refuse(id, "full")
				} else {
					l.answer(id, "x")
				}
			}
		}, "full whole", 0},
		{"no length", func(l *workerConn) { l.send(ok + "Task: " + l.readTask() + "\r\nConnection: close\r\n\r\nx") }, "unknown", 0},
		{"old protocol", func(l *workerConn) { l.send("HTTP/1.0 200 OK\r\nTask: " + l.readTask() + "\r\n\r\nx") }, "unknown", 0},
		{"short body", func(l *workerConn) { l.send(ok + "Task: " + l.readTask() + "\r\nContent-Length: 9\r\n\r\nx") }, "broken", 0},
		{"no terminator", func(l *workerConn) {
			l.send(ok + "Task: " + l.readTask() + "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		}, "broken", 0},
		{"chunk cut", func(l *workerConn) {
			l.send(ok + "Task: " + l.readTask() + "\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nx")
		}, "broken", 0},
		{"not HTTP", func(l *workerConn) { l.readTask(); l.send("whole?\r\n\r\n") }, "unknown", 0},
		{"switched protocols", func(l *workerConn) {
			l.send("HTTP/1.1 101 Switching Protocols\r\nTask: " + l.readTask() + "\r\nContent-Length: 0\r\n\r\n")
		}, "unknown", 0},
		{"redirect to another address", func(l *workerConn) {
			l.send("HTTP/1.1 307 Temporary Redirect\r\nLocation: /run\r\nTask: " + l.readTask() + "\r\nContent-Length: 0\r\n\r\n")
		}, "307", 0},
		{"redirect without a task", func(l *workerConn) {
			l.readTask()
			l.send("HTTP/1.1 302 Found\r\nLocation: /run\r\nContent-Length: 0\r\n\r\n")
		}, "foreign", 0},
		{"refused as full", func(l *workerConn) { l.refuse(l.readTask(), "full") }, "full", 0},
		{"refused as leaving", func(l *workerConn) { l.refuse(l.readTask(), "leaving") }, "leaving", 0},
		{"refused as duplicate", func(l *workerConn) { l.refuse(l.readTask(), "duplicate") }, "duplicate", 0},
		{"refused for an unknown reason", func(l *workerConn) { l.refuse(l.readTask(), "tired") }, "unknown", 0},
		{"refusal of another task", func(l *workerConn) { l.readTask(); l.refuse("t9", "full") }, "foreign", 0},
		{"refusal without a task", func(l *workerConn) {
			l.readTask()
			l.send(unavailable + "Refused: full\r\nContent-Length: 0\r\n\r\n")
		}, "foreign", 0},
		{"refusal cut in its head", func(l *workerConn) { l.send(unavailable + "Task: " + l.readTask() + "\r\nRefused: full\r\n") }, "unknown", 0},
		{"refusal cut in its body", func(l *workerConn) {
			l.send(unavailable + "Task: " + l.readTask() + "\r\nRefused: full\r\nContent-Length: 9\r\n\r\n")
		}, "full", 0},
		{"refusal with status 200", func(l *workerConn) {
			l.send(ok + "Task: " + l.readTask() + "\r\nRefused: full\r\nContent-Length: 1\r\n\r\nx")
		}, "whole", 0},
		{"refused before a long body", func(l *workerConn) { l.refuse(l.readTask(), "full") }, "full", 8 * mib},
		{"reset at once", func(l *workerConn) { l.reset() }, "unknown|not-run|unreachable", 1},
		{"closed unread", func(l *workerConn) { _ = l.Close() }, "unknown|not-run|unreachable", mib},
		{"cut in the head", func(l *workerConn) { l.read(9) }, "unknown", 0},
		{"cut after the head", func(l *workerConn) { l.readTask() }, "unknown", mib},
		{"cut in the body", func(l *workerConn) { l.readTask(); l.send(proceed); l.read(mib / 2) }, "unknown", mib},
		{"cut after the body", func(l *workerConn) { l.readTask(); l.send(proceed); l.read(mib) }, "unknown", mib},
		{"proceed ignored", func(l *workerConn) { id := l.readTask(); l.read(endpt.ReplayLimit + 1); l.answer(id, "x") }, "whole", endpt.ReplayLimit + 1},
		{"proceed twice", func(l *workerConn) { id := l.readTask(); l.send(proceed + proceed); l.read(mib); l.answer(id, "x") }, "whole", mib},
		{"answered before the body", func(l *workerConn) { id := l.readTask(); l.send(proceed); l.answer(id, "x") }, "whole|unknown", 8 * mib},
		{"closed when idle", func(l *workerConn) { l.answer(l.readTask(), "x") }, "whole whole|unknown|not-run|unreachable", 0},
		{"closed as it is reused", func(l *workerConn) { l.answer(l.readTask(), "x"); l.readTask() }, "whole unknown", 0},
		{"reset as it is reused", func(l *workerConn) { l.answer(l.readTask(), "x"); l.read(1); l.reset() }, "whole unknown", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newRogue(t, tc.serve)
			c := endpt.New(4)
			var notRun []string
			repeat := tc.name == "refusal doubled"
			for i, want := range strings.Fields(tc.want) {
				id := fmt.Sprintf("t%d", i)
				if repeat {
					id = "t0"
				}
				tk := task(id, bytes.NewReader(payload(tc.size)), int64(tc.size))
				tk.Repeated = repeat && i > 0
				a, err := c.Run(t.Context(), s.addr, tk)
				got := outcome(a, err, []byte("x"))
				require.Contains(t, strings.Split(want, "|"), got, "dispatch %d: %v", i, err)
				if got == "full" || got == "leaving" {
					require.True(t, tk.Body.Replayable(), "a refused body can be sent again")
				}
				if got == "not-run" || got == "unreachable" {
					notRun = append(notRun, id)
				}
			}
			c.Close()
			s.stop()
			for _, id := range notRun {
				require.NotContains(t, s.receivedByTask(), id, "reported as not run, but received")
			}
			for id, n := range s.receivedByTask() {
				require.True(t, n == 1 || repeat, "%s was sent %d times", id, n)
			}
		})
	}
}

func TestUnreachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	c := endpt.New(1)
	for _, size := range []int{0, 1, mib} {
		a, err := c.Run(t.Context(), ln.Addr().String(), task("a", bytes.NewReader(payload(size)), int64(size)))
		require.Equal(t, "unreachable", outcome(a, err, nil))
	}
}

// TestCancel cancels dispatches at different moments: before, while and after the
// request is written.
func TestCancel(t *testing.T) {
	s := newRogue(t, (*workerConn).ignore)
	c := endpt.New(8)
	counts := map[string]int{}
	for i := range 300 {
		id := fmt.Sprintf("t%d", i)
		ctx, cancel := context.WithCancel(t.Context())
		switch i % 3 {
		case 0:
			cancel()
		case 1:
			stop := time.AfterFunc(time.Duration(i)*time.Microsecond, cancel)
			defer stop.Stop()
		case 2:
			s.callOnReceive(id, cancel)
		}
		size := i % 2 * 3000
		a, err := c.Run(ctx, s.addr, task(id, iotest.OneByteReader(bytes.NewReader(payload(size))), int64(size)))
		got := outcome(a, err, nil)
		counts[got]++
		if i%3 == 2 {
			require.Equal(t, "unknown", got)
		}
		if got == "not-run" || got == "unreachable" {
			defer func() { require.NotContains(t, s.receivedByTask(), id, "reported as not run, but received") }()
		}
		cancel()
	}
	c.Close()
	s.stop()
	require.GreaterOrEqual(t, counts["not-run"], 100)
	require.Equal(t, 300, counts["not-run"]+counts["unknown"], "%v", counts)
}

// TestCallerFails dispatches bodies whose source fails after some bytes.
func TestCallerFails(t *testing.T) {
	for _, after := range []int{0, 1, 20000, 100000} {
		for _, length := range []int64{-1, 200000} {
			w := fakes.NewWorker("w")
			srv := httptest.NewServer(w)
			c := endpt.New(1)
			src := io.MultiReader(bytes.NewReader(payload(after)), iotest.ErrReader(io.ErrUnexpectedEOF))
			tk := task("a", src, length)
			a, err := c.Run(t.Context(), addr(srv), tk)
			got := outcome(a, err, nil)
			require.Contains(t, []string{"unknown", "not-run", "broken"}, got, "%d of %d: %v", after, length, err)
			require.False(t, tk.Body.Replayable(), "the source can't be read again")
			c.Close()
			srv.Close()
			if got == "not-run" {
				require.Empty(t, w.StartedTasks())
			}
		}
	}
}
