package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/hosts"
)

func (f *fakeFleet) hide(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hidden = name
}

func (f *fakeFleet) stateOf(name string) hosts.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.Name == name {
			return h.State
		}
	}
	return ""
}

// LIMIT: the list of hosts lacks one for a moment that is down for a wave. No other one takes
// its turn.
func TestMissingHostIsStillDown(t *testing.T) {
	withFleet(t, func(ctx context.Context, f *fakeFleet) {
		f.maxDown = 1
		go f.runOwner(ctx, 0)
		f.startController(ctx, "e-1", 0, oneWave(1, "m-0", "m-1"))
		for f.stateOf("m-0") != hosts.Maintenance {
			time.Sleep(100 * time.Millisecond)
		}
		f.hide("m-0")
		time.Sleep(500 * time.Millisecond)
		f.hide("")
		time.Sleep(12 * time.Second)
		require.Empty(t, f.faults)
		require.Equal(t, "true", f.waveStatus("1"))
	})
}

// MIXED: the list of hosts lacks the last one of a wave for a moment. The wave is not completed
// without it.
func TestMissingHostIsNotLeftOut(t *testing.T) {
	withFleet(t, func(ctx context.Context, f *fakeFleet) {
		f.maxDown, f.busy = 1, true
		go f.runOwner(ctx, 0)
		f.startController(ctx, "e-1", 0, oneWave(1, "m-0"))
		time.Sleep(time.Second)
		f.hide("m-0")
		time.Sleep(500 * time.Millisecond)
		f.hide("")
		time.Sleep(time.Second)
		require.Equal(t, "false", f.waveStatus("1"))
		f.mu.Lock()
		f.busy = false
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		require.Equal(t, "true", f.waveStatus("1"))
		require.NotEmpty(t, f.received)
	})
}
