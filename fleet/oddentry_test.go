package fleet_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fleet"
	"shallotpaddle/hosts"
	"shallotpaddle/owner"
)

// lines is a log that can be read while it is written.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lines) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), part)
}

// A digest that can't be decoded was logged in every round. A host whose entry is odd for
// some seconds must not count as gone, or its wave would be reported as completed.
func TestOddHostAndDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		f.maxDown, f.logs = 1, &lines{}
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(5 * time.Second) // lets calls under way end
		defer cancel()
		good := f.hosts[1]
		f.hosts[1] = hosts.Host{Name: good.Name, State: hosts.Unknown, Fault: "odd"}
		f.kv.Put(owner.DigestKey("off"), []byte(`{"want":1e400}`))
		go f.runOwner(ctx, 0)
		f.startController(ctx, "e-1", 0, oneWave(1, "m-0", "m-1"))
		time.Sleep(10 * time.Second)
		require.Equal(t, "false", f.waveStatus("1"), "a host is left")
		require.Equal(t, 1, f.logs.count("entry of a host cannot be used"))
		require.Equal(t, 1, f.logs.count("pool digest cannot be decoded"))
		f.mu.Lock()
		f.hosts[1] = good
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		require.Equal(t, "true", f.waveStatus("1"))
		require.Equal(t, 1, f.logs.count("entry is no longer malformed"))
		require.Empty(t, f.faults)
	})
}

// A plan that can't be read is no proof that an earlier controller has sent no orders: the
// next one sent its own at once, for tasks that it had read in part.
func TestOddPlan(t *testing.T) {
	for name, value := range map[string]string{
		"partly read": `{"next":5,"Tasks":[{"kind":"move","id":4,"host":"m-0","from":"a","to":"off","ordered":true}],"done":7}`,
		"empty":       "", "invalid UTF-8": "\xff", "nested": strings.Repeat("[", 20_000), "1e400": `{"next":1e400}`, "next -1": `{"next":-1}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t)
				f.maxDown, f.logs = 1, &lines{}
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(5 * time.Second) // lets calls under way end
				defer cancel()
				f.kv.Put(fleet.PlanKey, []byte(value))
				begun := time.Now()
				f.startController(ctx, "e-1", quiet, oneWave(1, "m-0", "m-1"))
				time.Sleep(time.Second) // the plan is written anew
				go f.runOwner(ctx, 0)
				time.Sleep(20 * time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				require.Equal(t, "true", f.waveStatus("1"))
				require.Empty(t, f.faults)
				require.GreaterOrEqual(t, f.received[0].at.Sub(begun), quiet)
				for _, o := range f.received {
					require.NotEqual(t, "off", o.Pool, "nobody asked for the move")
				}
				require.Positive(t, f.readPlan().NextID)
				require.Equal(t, 1, f.logs.count("fleet plan cannot be decoded"))
			})
		})
	}
}
