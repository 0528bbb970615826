package agent

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes/site"
	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/platform"
	"shallotpaddle/runs"
	"shallotpaddle/steps"
)

// A registration that named another pool for two seconds made the owner of that pool stop
// the runs on the worker as unknown and the worker's own owner give up its pool.
func TestRegistrationNamesAnotherPool(t *testing.T) {
	var odd atomic.Bool
	r := newSiteAgent(t, site.Twists{Worker: func(w hosts.Worker) hosts.Worker {
		if odd.Load() {
			w.Pool = site.Pools["bake"]
		}
		return w
	}})
	r.workers.DecideRun = func(runs.Task, int) (time.Duration, runs.Outcome) { return 4 * time.Second, runs.Done }
	worker := httptest.NewServer(r.site.WorkerHandler("w0"))
	t.Cleanup(func() { worker.CloseClientConnections(); worker.Close() })
	r.workers.Join(hosts.Worker{
		ID: "w0", Pool: site.Pools["soak"], Address: strings.TrimPrefix(worker.URL, "http://"), Capacity: hosts.Resources{CPU: 8000, Mem: 8000}, Host: "m0",
	})
	r.site.PutConfig(1, 3, 0)
	stop, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(stop) }()
	defer func() { cancel(); require.NoError(t, <-done) }()
	beat := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			r.site.Beat(func(string) bool { return true })
		}
	}
	for r.ownerCount() < len(site.Pools) {
		beat(100 * time.Millisecond)
	}
	beat(3 * time.Second) // the workers are read a few times
	j := &steps.Job{ID: "5c0e7a21d94b36f8", Steps: []steps.Step{{Count: 1, CPU: 1000, EstimateMs: 4000}}}
	r.workers.AddJob(j)
	q, ok := r.version.Load().Match("soak.example", "/soak/")
	require.True(t, ok)
	require.Equal(t, platform.Done, r.jobAPI.submit(t.Context(), q, j).Outcome)
	beat(time.Second)
	odd.Store(true)
	beat(2 * time.Second)
	odd.Store(false)
	beat(4 * time.Second)
	for _, message := range []string{"stopping it", "deposed", "leadership lost"} {
		require.Zero(t, r.logs.count(message), message)
	}
	require.Equal(t, 1, r.logs.count("starting run", j.ID))
	require.Equal(t, 1, r.logs.count("run ended", j.ID, `"how":"done"`))
	require.Equal(t, 1, r.logs.count("ignoring a worker registration that names another pool"))
	require.Equal(t, 1, r.logs.count("names the pool of the worker again"))
	require.Empty(t, r.workers.Violations())
}

// reading reads registrations of workers, by ID, and returns the IDs of each pool's.
func reading(r *registrations, now time.Time, pools map[string]string) map[string][]string {
	return readingWith(r, now, pools, nil)
}

// readingWith does the same with the pools that have had the workers.
func readingWith(r *registrations, now time.Time, pools map[string]string, former map[string][]string) map[string][]string {
	var items []plat.Item
	for id, pool := range pools {
		items = append(items, plat.Item{Key: platform.WorkerPrefix + id, Value: registrationOf(pool, "10.0.0.1:80", "")})
	}
	out := map[string][]string{}
	read, err := r.byPool(items, now, func() (map[string][]string, error) { return former, nil })
	if err != nil {
		panic(err) // the rosters are always there
	}
	for pool, list := range read.workers {
		for i := range list {
			out[pool] = append(out[pool], list[i].ID)
		}
	}
	return out
}

const beat = 1500 * time.Millisecond

func TestWorkerStaysInItsPool(t *testing.T) {
	lines := &logLines{}
	r := newRegistrations(&log.Logger{Writer: log.IOWriter{Writer: lines}}, beat)
	now := time.Now()
	next := func(pool string, n int) (out map[string][]string) {
		for range n {
			now = now.Add(workersPeriod)
			out = reading(r, now, map[string]string{"i-1": pool})
		}
		return out
	}
	in := func(pool string) map[string][]string { return map[string][]string{pool: {"i-1"}} }
	require.Equal(t, in("p"), next("p", 20))
	require.Empty(t, next("q", 20), "neither pool may use it")
	require.Equal(t, in("p"), next("p", 1), "it goes on")
	require.Equal(t, 2, lines.count(""), "a line for each change")
	require.Empty(t, next("q", 1))
	require.Empty(t, next("s", 1))
	require.Empty(t, next("q", 1))
	require.Equal(t, in("p"), next("p", 1))
	require.Equal(t, 6, lines.count(""))
	require.Empty(t, reading(r, now, nil))
	require.Equal(t, in("q"), next("q", 1), "another life under the ID")
}

// ROUTE: a worker whose registration could not be used counted as gone.
func TestUnusableRegistrationKeepsWorker(t *testing.T) {
	r, now := newRegistrations(&log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, beat), time.Now()
	reading(r, now, map[string]string{"i-1": "p"})
	for name, value := range map[string][]byte{"another pool": registrationOf("q", "10.0.0.1:80", ""), "malformed": []byte("{")} {
		read, err := r.byPool([]plat.Item{{Key: platform.WorkerPrefix + "i-1", Value: value}}, now, nil)
		require.NoError(t, err)
		require.Empty(t, read.workers, name)
		require.Equal(t, map[string][]string{"p": {"i-1"}}, read.unreadable, name)
	}
}

// ROUTE: an entry that had just been elected read the registration of a worker for the first time
// as that named another pool, and both owners used the worker.
func TestFirstReadingNamesAnotherPool(t *testing.T) {
	now := time.Now()
	fresh := func() *registrations {
		return newRegistrations(&log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, beat)
	}
	in := func(pool string) map[string][]string { return map[string][]string{pool: {"i-1"}} }
	odd, right := map[string]string{"i-1": "q"}, map[string]string{"i-1": "p"}
	r := fresh()
	require.Empty(t, readingWith(r, now, odd, map[string][]string{"i-1": {"p"}}))
	require.Equal(t, in("p"), readingWith(r, now, right, nil))
	require.Equal(t, in("q"), readingWith(fresh(), now, odd, map[string][]string{"i-2": {"p"}}), "a worker that no pool has had")
	require.Equal(t, in("q"), readingWith(fresh(), now, odd, map[string][]string{"i-1": {"p", "q"}}), "pools that contradict each other")
	r = fresh()
	_, err := r.byPool([]plat.Item{{Key: platform.WorkerPrefix + "i-1", Value: registrationOf("q", "10.0.0.1:80", "")}}, now,
		func() (map[string][]string, error) { return nil, plat.ErrUnknown })
	require.ErrorIs(t, err, plat.ErrUnknown, "the workers are read again")
	require.Empty(t, readingWith(r, now, odd, map[string][]string{"i-1": {"p"}}))
}

// A worker whose pool was wrong when it was first read would not be used again.
func TestFirstPoolWasWrong(t *testing.T) {
	r := newRegistrations(&log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, beat)
	now := time.Now()
	require.Len(t, reading(r, now, map[string]string{"i-1": "q"}), 1)
	for at := time.Duration(0); at < settleBeats*beat; at += workersPeriod {
		require.Empty(t, reading(r, now.Add(at), map[string]string{"i-1": "p"}), at)
	}
	require.Equal(t, map[string][]string{"p": {"i-1"}}, reading(r, now.Add(settleBeats*beat), map[string]string{"i-1": "p"}))
	require.Empty(t, reading(r, now.Add(settleBeats*beat), map[string]string{"i-1": "q"}))
}

// The pools of workers that are long gone used up the memory.
func TestPoolsAreForgotten(t *testing.T) {
	r := newRegistrations(&log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, beat)
	for i := range 100 {
		reading(r, time.Now(), map[string]string{fmt.Sprintf("i-%d", i): "p", fmt.Sprintf("k-%d", i): "q"})
		require.Len(t, r.pools, 2)
	}
}
