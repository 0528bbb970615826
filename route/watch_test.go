package route

import (
	"context"
	"fmt"
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

// watched is a dispatch whose worker is scripted, and a router whose ticks are called by
// the test.
type watched struct {
	*answerWatch
	clock *quartz.Mock
	ctx   context.Context
	// reply answers each poll.
	reply func(w http.ResponseWriter, r *http.Request)
}

func newWatched(t *testing.T) *watched {
	b := &watched{clock: quartz.NewMock(t).WithLogger(quartz.NoOpLogger)}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.reply(w, r) }))
	t.Cleanup(srv.Close)
	client := endpt.New(4)
	t.Cleanup(client.Close)
	r := New(b.clock, client, func(Record) {})
	ctx, cancel := context.WithCancelCause(context.Background())
	b.ctx = ctx
	b.answerWatch = r.watch(&slotRequest{host: HostView{Addr: strings.TrimPrefix(srv.URL, "http://")}}, "t", cancel)
	t.Cleanup(b.stop)
	r.suspension.Beat()
	return b
}

// pass lets time pass, with the beats of a process that runs.
func (b *watched) pass(d time.Duration) {
	for ; d > 0; d -= grantInterval {
		b.clock.Advance(min(d, grantInterval))
		b.router.suspension.Beat()
	}
}

// The entry is held up in each poll, so that each fails, while the worker runs the task. It
// must not be given up; once the entry runs again and the worker is silent, it must.
func TestHeldUpEntryWaitsOn(t *testing.T) {
	b := newWatched(t)
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	b.reply = func(w http.ResponseWriter, r *http.Request) {
		b.clock.Advance(2 * time.Second) // without a beat
		fail(w, r)
	}
	for range 3 * maxUnansweredPolls {
		b.pass(defaultPollInterval)
		require.True(t, b.beginPoll())
		b.poll()
		require.NoError(t, context.Cause(b.ctx))
	}
	b.reply = fail
	for range maxUnansweredPolls {
		require.NoError(t, context.Cause(b.ctx))
		b.pass(defaultPollInterval)
		require.True(t, b.beginPoll())
		b.poll()
	}
	require.ErrorIs(t, context.Cause(b.ctx), errNoReply)
}

// The worker ended the task. The entry is held up while the answer lies in its socket: before
// the second reply and in it. The answer must get the time of an entry that runs.
func TestAnswerArrivesDuringHoldUp(t *testing.T) {
	b := newWatched(t)
	done := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"state":"done"}`)) }
	b.reply = done
	b.pass(defaultPollInterval)
	require.True(t, b.beginPoll())
	b.poll()
	b.clock.Advance(8 * time.Second) // without a beat
	require.True(t, b.beginPoll())
	b.poll()
	require.NoError(t, context.Cause(b.ctx), "the first reply was before the hold-up")
	b.pass(defaultPollInterval)
	b.reply = func(w http.ResponseWriter, r *http.Request) {
		b.clock.Advance(time.Second)
		done(w, r)
	}
	require.True(t, b.beginPoll())
	b.poll()
	require.NoError(t, context.Cause(b.ctx), "held up in the poll")
	b.reply = done
	for range maxEndedPolls {
		require.NoError(t, context.Cause(b.ctx))
		b.pass(defaultPollInterval)
		require.True(t, b.beginPoll())
		b.poll()
	}
	require.ErrorIs(t, context.Cause(b.ctx), errTaskEnded)
}

// The worker's replies come late, and say that the task has ended. The answer, which is on
// its way in another connection, must have an interval from the first of them to arrive: a
// reply that is as late as the interval is long made the next poll due at once.
func TestAnswerHasAnIntervalAfterTheEnd(t *testing.T) {
	b := newWatched(t)
	b.reply = func(w http.ResponseWriter, _ *http.Request) {
		b.pass(defaultPollInterval)
		_, _ = w.Write([]byte(`{"state":"done"}`))
	}
	b.pass(defaultPollInterval)
	require.True(t, b.beginPoll())
	b.poll()
	require.False(t, b.beginPoll())
	b.pass(defaultPollInterval - time.Millisecond)
	require.False(t, b.beginPoll())
	b.pass(time.Millisecond)
	require.True(t, b.beginPoll())
	b.poll()
	require.ErrorIs(t, context.Cause(b.ctx), errTaskEnded)
}

// Polls that waited for the entry's connection to a worker that answers others don't make
// it silent.
func TestBusyWorkerIsNotSilent(t *testing.T) {
	b := newWatched(t)
	for range 3 * maxUnansweredPolls {
		b.countPoll("", fmt.Errorf("state: %w", endpt.ErrBusy), false)
	}
	require.NoError(t, context.Cause(b.ctx))
}
