package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"shallotpaddle/conf"
	"shallotpaddle/peers"
	"shallotpaddle/table"
)

const testSettings = `
self: {name: e1, dc: suva, address: "127.0.0.1:7003"}
listen:
  callers: {address: "127.0.0.1:7000"}
  operators: {address: "127.0.0.1:7001"}
  peers: {address: "127.0.0.1:7002"}
platform: {url: "http://127.0.0.1:7004"}
auth: {operators: [{name: test, token: test-operator-token-0001}]}
`

// harness is an entry whose loop is called step by step.
type harness struct {
	*loop
	t     *testing.T
	clock *quartz.Mock
}

func newHarness(t *testing.T) *harness {
	settings, err := conf.Parse("test", []byte(testSettings))
	require.NoError(t, err)
	clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
	e := New(settings, clock, &log.Logger{Level: log.PanicLevel}, metrics.NewRegistry())
	return &harness{loop: e.loop, t: t, clock: clock}
}

// setPool puts the pool p with the given hosts in force, and a peer with contact to the
// store.
func (h *harness) setPool(hosts ...string) {
	h.tables.SetConfig(&table.Config{
		Rev: 1, Pools: []table.PoolSpec{{Name: "p", Size: max(1, len(hosts))}},
		Queues: []table.QueueSpec{{Name: "q", Pool: "p"}}, Customers: []table.CustomerSpec{{Name: "c", Rank: 1}},
		Jobs: []table.JobSpec{{Name: "once", Queue: "q"}},
	})
	for _, name := range hosts {
		id := h.tables.Upsert(name, "suva", "r1", "127.0.0.1:7005")
		h.tables.SetListing(id, table.Live)
		h.tables.SetPlacement(id, h.tables.PoolByName("p"), table.None)
	}
	h.tables.Reindex()
	h.publishWithPeer()
}

func (h *harness) publishWithPeer() {
	h.members.RecordHeartbeat(peers.Heartbeat{From: "e2", StoreReachable: true}, h.clock.Now(), 0, nil)
	h.publish()
}

// applyProbes applies results of probes.
func (h *harness) applyProbes(all ...probe) {
	probeResults{hosts: all}.apply(h.loop)
	h.publishWithPeer()
}

// An entry that starts has no result of a probe yet, however late that comes. It must not
// say that it is ready, as load balancers would send it work that it can't dispatch.
func TestUnprobedEntryIsNotReady(t *testing.T) {
	h := newHarness(t)
	h.setPool("a", "b")
	require.False(t, h.entry.Status().Ready)
	require.Equal(t, unreadyNoProbes, h.entry.Status().UnreadyReason)
	require.True(t, h.entry.router.View().Serving, "what arrives nevertheless may wait")
	require.True(t, h.entry.router.View().Pools["p"].Unprobed)

	h.applyProbes(probe{host: "a"})
	require.False(t, h.entry.Status().Ready, "b may answer")
	h.applyProbes(probe{host: "b", ok: true})
	require.True(t, h.entry.Status().Ready)
	require.False(t, h.entry.router.View().Pools["p"].Unprobed)
}

// All workers of a pool are down: the entry has asked them, and serves its other pools.
func TestEntryWithDeadWorkersIsReady(t *testing.T) {
	h := newHarness(t)
	h.setPool("a")
	h.applyProbes(probe{host: "a"})
	require.True(t, h.entry.Status().Ready)
	require.False(t, h.entry.router.View().Pools["p"].Unprobed)
}

// A pool gets a host that no entry has probed yet. If this made the entries unready, the
// load balancer would take all of them out at once.
func TestEntryStaysReadyWithNewHosts(t *testing.T) {
	h := newHarness(t)
	h.setPool("a")
	h.applyProbes(probe{host: "a"})
	h.setPool("a", "b")
	require.True(t, h.entry.Status().Ready)
	require.True(t, h.entry.router.View().Pools["p"].Unprobed)
	h.clock.Advance(time.Second)
	h.applyProbes(probe{host: "b"})
	require.False(t, h.entry.router.View().Pools["p"].Unprobed)
}

// probeAgain probes a host and applies the result; before each answer of the worker, the
// process is held up for heldUp.
func (h *harness) probeAgain(host string, status int, heldUp time.Duration) {
	h.entry.router.Suspension().Beat()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h.clock.Advance(heldUp)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"boot":"b","slots":8,"open":true}`))
	}))
	defer srv.Close()
	defer h.entry.endpoints.Close()
	all := []probe{{host: host, addr: strings.TrimPrefix(srv.URL, "http://"), lastProbed: h.lastProbed[host]}}
	h.lastProbed[host] = h.clock.Now()
	h.entry.probeAll(h.t.Context(), all)
	(<-h.entry.messages).apply(h.loop)
	h.publishWithPeer()
}

// The process is held up in a round of probes, so that they fail. The workers are fine: they
// must not lose their work, and are asked again first.
func TestHeldUpEntryKeepsWorkers(t *testing.T) {
	h := newHarness(t)
	h.setPool("a")
	first := h.clock.Now()
	h.probeAgain("a", http.StatusServiceUnavailable, 2*time.Second)
	require.True(t, h.tables.Host(0).AwaitsProbe(), "no result")
	require.Zero(t, h.lastProbed["a"])
	require.False(t, h.entry.Status().Ready)

	h.probeAgain("a", http.StatusOK, 2*time.Second)
	require.True(t, h.tables.Host(0).Healthy(), "an answer counts, however late")
	h.clock.Advance(time.Second)
	h.probeAgain("a", http.StatusServiceUnavailable, 2*time.Second)
	require.True(t, h.tables.Host(0).Healthy())
	require.Len(t, h.entry.router.View().Pools["p"].Hosts, 1)
	require.Less(t, h.lastProbed["a"].Sub(first), 3*time.Second, "the time of the probe before")

	h.probeAgain("a", http.StatusServiceUnavailable, 0)
	require.False(t, h.tables.Host(0).Healthy(), "the process ran, the worker didn't answer")
}
