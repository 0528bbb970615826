package proof

import (
	"bytes"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWorkerLost reboots workers without an order of the entries, or makes them
// unreachable, while tasks run. A request that is not idempotent gets the outcome
// unknown or not-run, as it was; an idempotent one is retried on another worker.
func TestWorkerLost(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		kind    string
		disturb func(f *fleet, host string)
	}{
		{"reboot, not idempotent", "incident", (*fleet).rebootHost},
		{"reboot, idempotent", "digest", (*fleet).rebootHost},
		{"unreachable, not idempotent", "incident", (*fleet).cutLink},
		{"unreachable, idempotent", "digest", (*fleet).cutLink},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 8)
			l := f.startLoad(24, loadSpec{kind: c.kind, run: 200 * time.Millisecond, size: 100})
			for _, host := range []string{"w00", "w01"} {
				eventually(t, 10*time.Second, "a task started on "+host, func() bool { return f.lastTaskStart(host) > 0 })
				c.disturb(f, host)
				<-time.After(time.Second)
			}
			all := l.finish()
			checkResults(t, l, f.startedTasks(), c.kind == "digest")
			t.Logf("%d requests: %d answered, %d not run, %d unknown, %d broken", len(all),
				countOutcome(all, "answered"), countOutcome(all, "not-run"), countOutcome(all, "unknown"), countOutcome(all, "broken"))
			require.Greater(t, countOutcome(all, "answered"), len(all)*9/10)
			if c.kind == "digest" {
				require.Zero(t, countOutcome(all, "unknown"), "idempotent requests within the retry budget")
			}
		})
	}
}

// rebootHost reboots a worker without an order of the platform.
func (f *fleet) rebootHost(host string) {
	f.sendJSON(http.MethodPost, f.workerAddrs[host], "/fault", map[string]any{"reboot": true})
}

// TestPausedStream pauses an entry while large answers stream through it. After it
// is resumed, every answer is complete and belongs to its request.
func TestPausedStream(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 8)
	got := make([]result, 6)
	bodies := make([][]byte, len(got))
	var wg sync.WaitGroup
	for i := range got {
		bodies[i] = bytes.Repeat([]byte{byte('a' + i)}, 8<<20)
		wg.Go(func() { got[i] = f.call(f.entries[0], "incident", bodies[i]) })
	}
	<-time.After(5 * time.Millisecond)
	f.entries[0].proc.signal(syscall.SIGSTOP)
	<-time.After(3 * time.Second)
	f.entries[0].proc.signal(syscall.SIGCONT)
	wg.Wait()
	for i := range got {
		require.Equal(t, "answered", got[i].outcome, "%v", got[i].err)
		require.True(t, bytes.Equal(bodies[i], got[i].body))
	}
}
