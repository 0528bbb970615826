package proof

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
)

// load is a set of concurrent callers. They pick entries at random and skip those
// that are not ready, as a load balancer does.
type load struct {
	f           *fleet
	stop        chan struct{}
	wg          sync.WaitGroup
	ready       []atomic.Bool // by index of the entry
	mu          sync.Mutex
	results     []result
	wrongBodies int // answers whose body differs from the request's
}

// loadSpec describes the requests of a load.
type loadSpec struct {
	kind  string
	run   time.Duration // time that the worker spends on a task
	size  int           // random bytes of a body
	pause time.Duration // wait of a caller before each request
}

// startLoad starts n callers, which send requests until finish is called.
func (f *fleet) startLoad(n int, spec loadSpec) *load {
	l := &load{f: f, stop: make(chan struct{}), ready: make([]atomic.Bool, len(f.entries))}
	for i := range f.entries {
		l.ready[i].Store(true)
	}
	l.wg.Add(n + 1)
	go l.pollReadiness()
	for i := range n {
		go l.runCaller(uint64(i), spec)
	}
	return l
}

// pollReadiness polls the entries' readiness, as the platform's load balancer does.
func (l *load) pollReadiness() {
	defer l.wg.Done()
	for l.sleep(50 * time.Millisecond) {
		for i, e := range l.f.entries {
			l.ready[i].Store(l.f.getStatus(e, "/readyz") == 200)
		}
	}
}

// sleep waits for d; it returns false if the load is stopped meanwhile.
func (l *load) sleep(d time.Duration) bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// runCaller sends requests until the load is stopped. seed selects the entries and
// the bodies.
func (l *load) runCaller(seed uint64, spec loadSpec) {
	defer l.wg.Done()
	rng := rand.New(rand.NewPCG(seed, 7))
	for l.sleep(spec.pause) {
		e := l.f.entries[rng.IntN(len(l.f.entries))]
		for i := range l.f.entries {
			if l.f.entries[i] == e && !l.ready[i].Load() {
				e = nil
			}
		}
		if e == nil {
			continue
		}
		body := append([]byte("run="+spec.run.String()+";"), make([]byte, spec.size)...)
		for i := len(body) - spec.size; i+8 <= len(body); i += 8 {
			binary.LittleEndian.PutUint64(body[i:], rng.Uint64())
		}
		got := l.f.call(e, spec.kind, body)
		if got.err != nil && strings.Contains(got.err.Error(), "connection refused") {
			continue // a load balancer would try another entry
		}
		l.mu.Lock()
		l.results = append(l.results, got)
		if got.outcome == "answered" && got.status == 200 && !bytes.Equal(got.body, body) {
			l.wrongBodies++
		}
		l.mu.Unlock()
	}
}

// finish stops the callers, waits for the answers to their last requests and
// returns all results.
func (l *load) finish() []result {
	close(l.stop)
	l.wg.Wait()
	return l.results
}

// countOutcome returns the number of results with an outcome.
func countOutcome(all []result, outcome string) int {
	n := 0
	for i := range all {
		if all[i].outcome == outcome {
			n++
		}
	}
	return n
}

// checkResults compares the callers' results with the tasks that the workers
// recorded, and returns the number of requests that were started. Unless idempotent
// is set, a request that started must have started exactly once.
func checkResults(t *testing.T, l *load, tasks []fakes.Record, idempotent bool) int {
	t.Helper()
	require.Zero(t, l.wrongBodies, "answers whose body differs from the request's")
	starts := map[string]int{}
	for _, r := range tasks {
		id, _, _ := strings.Cut(r.ID, ".")
		starts[id]++
	}
	for i := range l.results {
		a := &l.results[i]
		switch a.outcome {
		case "not-run":
			require.Zero(t, starts[a.id], "outcome not-run, but started: %s %s", a.id, a.body)
		case "answered":
			require.Positive(t, starts[a.id], "outcome answered, but never started: %s", a.id)
		}
	}
	if !idempotent {
		for id, n := range starts {
			require.Equal(t, 1, n, "non-idempotent request started %d times: %s", n, id)
		}
	}
	return len(starts)
}

// cutTasks returns the tasks that were cut off before they were done. With causes
// it returns only those with one of these causes.
func cutTasks(tasks []fakes.Record, causes ...string) []fakes.Record {
	var out []fakes.Record
	for _, r := range tasks {
		if r.Cut != "" && (len(causes) == 0 || slices.Contains(causes, r.Cut)) {
			out = append(out, r)
		}
	}
	return out
}
