package proof

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
)

// TestStop stops each entry in turn with SIGTERM under load, with the store up and
// down. No request is cut off, and every process exits with code 0.
func TestStop(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		down bool
	}{{"store up", false}, {"store down", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, 8)
			l := f.startLoad(24, loadSpec{kind: "incident", run: 150 * time.Millisecond, size: 4096})
			for _, e := range f.entries {
				if c.down {
					f.setFaults(fakes.Fault{Kind: fakes.FaultDown})
				}
				e.proc.signal(syscall.SIGTERM)
				require.Zero(t, e.proc.wait(t, 25*time.Second), e.proc.log.String())
				f.setFaults()
				f.startEntry(e)
				f.waitReady()
			}
			all := l.finish()
			logUnclear(t, all)
			logCut(t, f)
			tasks := f.startedTasks()
			require.Empty(t, cutTasks(tasks))
			require.Positive(t, checkResults(t, l, tasks, false))
			require.Zero(t, countOutcome(all, "broken"), "of %d", len(all))
			require.Zero(t, countOutcome(all, "unknown"), "of %d", len(all))
			t.Logf("%d requests: %d answered, %d not run", len(all), countOutcome(all, "answered"), countOutcome(all, "not-run"))
		})
	}
}

// TestStopHeldUp holds each entry up for 2 s right after its SIGTERM, so that the time for
// which it reports itself unready passes unheard. The load balancer must hear of the stop
// all the same: no request is refused or cut off.
func TestStopHeldUp(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 8)
	l := f.startLoad(24, loadSpec{kind: "incident", run: 150 * time.Millisecond, size: 4096})
	for _, e := range f.entries {
		e.proc.signal(syscall.SIGTERM)
		eventually(t, 10*time.Second, e.name+" stops", func() bool { return strings.Contains(e.proc.log.String(), "event=stopping") })
		e.proc.signal(syscall.SIGSTOP)
		<-time.After(2 * time.Second)
		e.proc.signal(syscall.SIGCONT)
		require.Zero(t, e.proc.wait(t, 25*time.Second), e.proc.log.String())
		f.startEntry(e)
		f.waitReady()
	}
	all := l.finish()
	logUnclear(t, all)
	require.Empty(t, cutTasks(f.startedTasks()))
	require.Positive(t, checkResults(t, l, f.startedTasks(), false))
	t.Logf("%d requests: %d answered, %d not run", len(all), countOutcome(all, "answered"), countOutcome(all, "not-run"))
	require.Equal(t, len(all), countOutcome(all, "answered"))
}
