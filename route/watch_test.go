package route

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"

	"shallotpaddle/endpt"
)

// A scripted worker is polled about a task whose answer does not arrive. The
// dispatch is cancelled only after enough replies that the task does not run,
// or enough failed polls.
func TestWatch(t *testing.T) {
	for _, c := range []struct {
		name      string
		replies   string // to each poll: r running, d done, n no such task, x failure
		cancelled bool
	}{
		{"running", "rrrrrrrrrr", false},
		{"ended once, then running", "drdrdr", false},
		{"ended", "rrdd", true},
		{"unknown to the worker", "nn", true},
		{"no reply for a while", "xxxxxr", false},
		{"no reply", "xxxxxx", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			round := 0
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				switch c.replies[round] {
				case 'r':
					_, _ = w.Write([]byte(`{"state":"running"}`))
				case 'd':
					_, _ = w.Write([]byte(`{"state":"done"}`))
				case 'n':
					w.WriteHeader(http.StatusNotFound)
				default:
					w.WriteHeader(http.StatusInternalServerError)
				}
			}))
			defer srv.Close()
			clock := quartz.NewMock(t)
			client := endpt.New(4)
			defer client.Close()
			r := New(clock, client, func(Record) {})
			ctx, cancel := context.WithCancelCause(context.Background())
			w := r.watch(&slotRequest{host: HostView{Addr: strings.TrimPrefix(srv.URL, "http://")}}, "t", cancel)
			require.False(t, w.beginPoll(), "a poll is due only after the interval")
			clock.Advance(defaultPollInterval)
			for round < len(c.replies) && ctx.Err() == nil {
				require.True(t, w.beginPoll())
				w.poll()
				round++
				require.False(t, w.beginPoll(), "the next poll is due after the interval")
				clock.Advance(defaultPollInterval)
			}
			require.Equal(t, c.cancelled, ctx.Err() != nil, "%v", context.Cause(ctx))
			require.Equal(t, len(c.replies), round)
			w.setWaiting(false)
			clock.Advance(time.Minute)
			require.False(t, w.beginPoll(), "no poll is due while the caller is not reading")
			w.stop()
			require.Empty(t, r.watches)
		})
	}
}

// TestSilentWorkerIsGivenUpInTime lets a worker fail all polls. The dispatch must be
// cancelled after six intervals and the checks between them: callers wait that long.
func TestSilentWorkerIsGivenUpInTime(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	defer srv.Close()
	clock := quartz.NewMock(t)
	client := endpt.New(4)
	defer client.Close()
	r := New(clock, client, func(Record) {})
	ctx, cancel := context.WithCancelCause(context.Background())
	w := r.watch(&slotRequest{host: HostView{Addr: strings.TrimPrefix(srv.URL, "http://")}}, "t", cancel)
	defer w.stop()
	begun := clock.Now()
	for ctx.Err() == nil && clock.Since(begun) < time.Minute {
		clock.Advance(watchTick)
		if w.beginPoll() {
			w.poll()
		}
	}
	require.ErrorIs(t, context.Cause(ctx), errNoReply)
	require.LessOrEqual(t, clock.Since(begun), maxUnansweredPolls*(defaultPollInterval+watchTick))
}
