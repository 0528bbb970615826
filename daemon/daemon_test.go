package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/stretchr/testify/require"
)

// A stopping process is held up while it reports itself unready: nobody hears that. The
// time must begin anew, or callers meet a closed listener.
func TestNoticeAfterHoldUp(t *testing.T) {
	const delay = 300 * time.Millisecond
	for _, c := range []struct {
		name   string
		heldUp time.Duration
		after  int // steps before the hold-up
		steps  int
	}{
		{"none", 0, 0, noticeSteps},
		{"short", delay - 1, 0, noticeSteps},
		{"at the begin", delay, 0, 1 + noticeSteps},
		{"in the last step", time.Hour, noticeSteps - 1, 2 * noticeSteps},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
			d := &Daemon{clock: clock}
			timers, looks := clock.Trap().NewTimer(), clock.Trap().Since()
			defer timers.Close()
			defer looks.Close()
			done := make(chan struct{})
			go func() {
				defer close(done)
				d.notice(t.Context(), delay)
			}()
			for i := range c.steps {
				timers.MustWait(t.Context()).MustRelease(t.Context())
				clock.Advance(delay / noticeSteps).MustWait(t.Context())
				look := looks.MustWait(t.Context())
				if i == c.after {
					clock.Advance(c.heldUp)
				}
				look.MustRelease(t.Context())
			}
			<-done
		})
	}
}

// Without a delay, and when the stop is forced, nothing is waited for.
func TestNoticeEnds(t *testing.T) {
	d := &Daemon{clock: quartz.NewMock(t)}
	d.notice(t.Context(), 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d.notice(ctx, time.Hour)
	require.Error(t, ctx.Err())
}
