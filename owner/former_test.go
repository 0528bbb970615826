package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
	"shallotpaddle/runs"
)

// Hundreds of workers are lost at once after a takeover. Telling the token to all their
// addresses must not take the CPU of other calls.
func TestAnnouncementsAreBounded(t *testing.T) {
	r := newRig(t)
	r.Term, r.formerOver = 2, r.clock.Now()
	var calls atomic.Int32
	r.Workers.Renew = func(context.Context, runs.Target, runs.Renew) (runs.Report, error) {
		calls.Add(1)
		<-t.Context().Done()
		return runs.Report{}, nil
	}
	for i := range 10 * maxAnnouncements {
		r.announceTokenAt(newHost(hosts.Worker{ID: fmt.Sprint(i)}))
	}
	require.Eventually(t, func() bool { return calls.Load() == maxAnnouncements }, 10*time.Second, time.Millisecond)
	require.Equal(t, int32(maxAnnouncements), r.announcements.Load())
}
