package agent

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/fakes/site"
	"shallotpaddle/fleet"
	"shallotpaddle/hosts"
	"shallotpaddle/owner"
	"shallotpaddle/platform"
)

// logLines collects the lines of a log.
type logLines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// count returns the number of lines with all parts.
func (l *logLines) count(parts ...string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for line := range strings.Lines(l.b.String()) {
		all := true
		for _, p := range parts {
			all = all && strings.Contains(line, p)
		}
		if all {
			n++
		}
	}
	return n
}

// siteAgent is an agent on the stand-in of the platform's store.
type siteAgent struct {
	*Agent
	kv      *fakes.KV
	site    *site.Site
	workers *fakes.WorkerSet
	logs    *logLines
}

func newSiteAgent(t *testing.T, twists site.Twists) *siteAgent {
	r := &siteAgent{kv: fakes.NewKV(), workers: fakes.NewWorkerSet(site.MaxLease), logs: &logLines{}}
	r.site = site.New(r.kv, r.workers, site.Machines{}, twists)
	store, machines := httptest.NewServer(r.site.StoreHandler()), httptest.NewServer(r.site.FleetHandler())
	for _, s := range []*httptest.Server{store, machines} {
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	}
	set := &platform.Settings{
		Name: "e", Centre: "z1", CallersAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", Cores: 1, MaxFiles: 1024,
		StoreAddress: strings.TrimPrefix(store.URL, "http://"), FleetAddress: strings.TrimPrefix(machines.URL, "http://"),
		Bounds: platform.Bounds{
			Heartbeat: site.Heartbeat, MaxLease: site.MaxLease, StopTime: 200 * time.Millisecond, DrainNotice: 2 * time.Second,
			GracePeriod: 600 * time.Millisecond, StatusRetention: time.Minute, MinStoreLease: time.Second,
		},
	}
	r.Agent = New(set, "", quartz.NewReal(), &log.Logger{Writer: log.IOWriter{Writer: r.logs}})
	return r
}

// registrationOf returns a registration, with more fields.
func registrationOf(pool, address, more string) []byte {
	return []byte(`{"Service":"` + pool + `","Address":"` + address + `","State":"ready","Capacity":{"Cpu":1000},"born":1782150927776` + more + `}`)
}

var goodRegistration = registrationOf("p", "10.0.0.1:80", "")

// oddValues are values of an entry that name no worker, no wave, no configuration and no plan.
var oddValues = map[string]string{
	"nested 20,000 deep": strings.Repeat("[", 20_000), "nested 200,000 deep": `{"a":` + strings.Repeat("[", 200_000),
	"1e400":      `{"born":1e400,"Wave":1e400,"Version":1e400,"next":1e400}`,
	"past int64": `{"born":9223372036854775808,"Wave":9223372036854775808,"Version":9223372036854775808,"next":9223372036854775808}`,
	"empty":      ``, "another type": `[7]`, "invalid UTF-8": "\xff\xfe\x00", "number": `1e300`,
}

// Guard: the workers of a list hold if one entry of it is odd, at any place of a page, and
// are followed on.
func TestOddRegistrationAmongGoodOnes(t *testing.T) {
	odd := map[string][]byte{
		"port 99999": registrationOf("p", "10.0.0.1:99999", ""), "largest born": registrationOf("p", "10.0.0.1:80", `,"born":9223372036854775807`),
	}
	for name, v := range oddValues {
		odd[name] = []byte(v)
	}
	const n = 1002 // over three pages
	r := newSiteAgent(t, site.Twists{})
	key := func(i int) string { return fmt.Sprintf("%si-%04d", platform.WorkerPrefix, i) }
	for i := range n {
		r.kv.Put(key(i), goodRegistration)
	}
	for name, v := range odd {
		for _, at := range []int{0, 1, 250, 499, 500, 999, 1000, n - 1} {
			r.kv.Put(key(at), v)
			list, err := r.listWorkers(t.Context())
			require.NoError(t, err, name)
			require.Len(t, list.workers["p"], n-1, "%s at %d", name, at)
			next := (at + 1) % n
			r.kv.Put(key(next), registrationOf("p", "10.0.0.2:80", ""))
			list, err = r.listWorkers(t.Context())
			require.NoError(t, err, name)
			require.Contains(t, addresses(list.workers["p"]), "10.0.0.2:80", "%s at %d: the others are followed", name, at)
			r.kv.Put(key(at), goodRegistration)
			r.kv.Put(key(next), goodRegistration)
			list, err = r.listWorkers(t.Context())
			require.NoError(t, err, name)
			require.Len(t, list.workers["p"], n, "%s at %d: it is used again", name, at)
		}
	}
}

func addresses(list []hosts.Worker) []string {
	out := make([]string, 0, len(list))
	for i := range list {
		out = append(out, list[i].Address)
	}
	return out
}

// A malformed registration was logged at each reading: six times a second, for ever.
func TestOddRegistrationIsLoggedOnce(t *testing.T) {
	r := newSiteAgent(t, site.Twists{})
	const key = platform.WorkerPrefix + "i-1"
	read := func() {
		for range 20 {
			_, err := r.listWorkers(t.Context())
			require.NoError(t, err)
		}
	}
	rev := r.kv.Put(key, []byte(`{"Service":7}`))
	read()
	require.Equal(t, 1, r.logs.count("worker registration cannot be decoded"))
	require.Equal(t, 1, r.logs.count("worker registration cannot be decoded", key, fmt.Sprint(rev), "Service"))
	r.kv.Put(key, []byte(`{"Service":7,"Sequence":1}`))
	read()
	require.Equal(t, 1, r.logs.count("worker registration cannot be decoded"), "it is written at each heartbeat")
	r.kv.Put(key, []byte(`{"Service":"p","Address":7}`))
	read()
	require.Equal(t, 2, r.logs.count("worker registration cannot be decoded", key))
	r.kv.Put(key, goodRegistration)
	read()
	require.Equal(t, 1, r.logs.count("worker registration is no longer malformed", key, `"registered":true`))
	r.kv.Put(key, []byte(`{}`))
	read()
	r.kv.Delete(key)
	read()
	require.Equal(t, 1, r.logs.count("worker registration is no longer malformed", key, `"registered":false`))
	require.Equal(t, 5, r.logs.count(""))
}

// Guard: the watches of the operators' keys and of the fleet plan go on after an odd value,
// and keep what is in force.
func TestOddOperatorKeysAreSkipped(t *testing.T) {
	r := newSiteAgent(t, site.Twists{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r.elector = r.newElector(ctx)
	go r.elector.Run(ctx)
	go r.watchOperatorKeys(ctx)
	followed := func(version int64, waves int, why string) {
		t.Helper()
		require.Eventually(t, func() bool {
			v := r.version.Load()
			return v != nil && v.Number == version && len(r.requestedWaves()) == waves
		}, 5*time.Second, 5*time.Millisecond, why)
	}
	version, waves := int64(1), 1
	r.kv.Put("op/wave/0", []byte(`{"Wave":0}`))
	r.site.PutConfig(version, 3, 0)
	followed(version, waves, "at first")
	for name, v := range oddValues {
		r.kv.Put("op/config", []byte(v))
		r.kv.Put("op/wave/1000", []byte(v))
		r.kv.Put("op/wave/0", []byte(v))
		r.kv.Put("op/else", []byte(v))
		version, waves = version+1, waves+1
		r.site.PutConfig(version, 3, 0)
		r.kv.Put(fmt.Sprintf("op/wave/%d", waves), fmt.Appendf(nil, `{"Wave":%d,"Machines":["m"],"MaxCount":1}`, waves))
		followed(version, waves, name)
	}
	// One listing has them as well.
	r.kv.Put("op/config", []byte(oddValues["empty"]))
	fresh := newSiteAgent(t, site.Twists{})
	fresh.store, fresh.elector = r.store, r.elector
	go fresh.watchOperatorKeys(ctx)
	require.Eventually(t, func() bool { return len(fresh.requestedWaves()) == waves-1 }, 5*time.Second, 5*time.Millisecond)
	require.Nil(t, fresh.version.Load())
	r.site.PutConfig(version+1, 3, 0)
	require.Eventually(t, func() bool { v := fresh.version.Load(); return v != nil && v.Number == version+1 }, 5*time.Second, 5*time.Millisecond)
}

// A fleet plan that can't be decoded kept each pool that changes its owner without one.
func TestOddPlan(t *testing.T) {
	r := newSiteAgent(t, site.Twists{})
	for name, v := range oddValues {
		r.kv.Put(fleet.PlanKey, []byte(v))
		plan, err := r.readPoolPlan(t.Context(), "p")
		require.NoError(t, err, name)
		require.Equal(t, owner.PoolPlan{}, plan, name)
	}
	require.Equal(t, len(oddValues), r.logs.count("fleet plan cannot be decoded"))
	r.kv.Put(fleet.PlanKey, []byte(`{"next":2,"Tasks":[{"id":1,"from":"p","worker":"w"}],"Extra":`+strings.Repeat("[", 9000)+strings.Repeat("]", 9000)+`}`))
	plan, err := r.readPoolPlan(t.Context(), "p")
	require.NoError(t, err)
	require.Equal(t, map[string]int64{"w": 1}, plan.Release)
}
