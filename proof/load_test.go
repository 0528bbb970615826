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

// load is callers at work through a balancer that uses ready entries only.
type load struct {
	f     *fleet
	stop  chan struct{}
	wg    sync.WaitGroup
	ready []atomic.Bool
	mu    sync.Mutex
	results   []result
	wrongBodies int // answers with another body than the request's
}

// loadSpec describes the requests of a load.
type loadSpec struct {
	kind  string
	run   time.Duration
	size  int
	pause time.Duration
}

// startLoad starts n callers.
func (f *fleet) startLoad(n int, w loadSpec) *load {
	l := &load{f: f, stop: make(chan struct{}), ready: make([]atomic.Bool, len(f.entries))}
	for i := range f.entries {
		l.ready[i].Store(true)
	}
	l.wg.Add(n + 1)
	go l.pollReadiness()
	for i := range n {
		go l.runCaller(uint64(i), w)
	}
	return l
}

// pollReadiness follows the entries' readiness, as the platform's balancer does.
func (l *load) pollReadiness() {
	defer l.wg.Done()
	for l.sleep(50 * time.Millisecond) {
		for i, e := range l.f.entries {
			l.ready[i].Store(l.f.getStatus(e, "/readyz") == 200)
		}
	}
}

func (l *load) sleep(d time.Duration) bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (l *load) runCaller(seed uint64, w loadSpec) {
	defer l.wg.Done()
	rng := rand.New(rand.NewPCG(seed, 7))
	for l.sleep(w.pause) {
		e := l.f.entries[rng.IntN(len(l.f.entries))]
		for i := range l.f.entries {
			if l.f.entries[i] == e && !l.ready[i].Load() {
				e = nil
			}
		}
		if e == nil {
			continue
		}
		body := append([]byte("run="+w.run.String()+";"), make([]byte, w.size)...)
		for i := len(body) - w.size; i+8 <= len(body); i += 8 {
			binary.LittleEndian.PutUint64(body[i:], rng.Uint64())
		}
		got := l.f.call(e, w.kind, body)
		if got.err != nil && strings.Contains(got.err.Error(), "connection refused") {
			continue // the balancer tries another entry
		}
		l.mu.Lock()
		l.results = append(l.results, got)
		if got.outcome == "answered" && got.status == 200 && !bytes.Equal(got.body, body) {
			l.wrongBodies++
		}
		l.mu.Unlock()
	}
}

// finish stops the callers once their last requests are answered.
func (l *load) finish() []result {
	close(l.stop)
	l.wg.Wait()
	return l.results
}

// countOutcome returns how many were told an outcome.
func countOutcome(all []result, outcome string) int {
	n := 0
	for i := range all {
		if all[i].outcome == outcome {
			n++
		}
	}
	return n
}

// checkResults compares what callers were told with what the workers saw. It returns
// the number of requests that were started.
func checkResults(t *testing.T, l *load, seen []fakes.Record, idempotent bool) int {
	t.Helper()
	require.Zero(t, l.wrongBodies, "answers that are not the request's own")
	starts := map[string]int{}
	for _, r := range seen {
		id, _, _ := strings.Cut(r.ID, ".")
		starts[id]++
	}
	for i := range l.results {
		a := &l.results[i]
		switch a.outcome {
		case "not-run":
			require.Zero(t, starts[a.id], "told not run, but started: %s %s", a.id, a.body)
		case "answered":
			require.Positive(t, starts[a.id], "answered, but never started: %s", a.id)
		}
	}
	if !idempotent {
		for id, n := range starts {
			require.Equal(t, 1, n, "non-idempotent request started %d times: %s", n, id)
		}
	}
	return len(starts)
}

// cutTasks returns the tasks that did not come to their own end; with causes
// given, only those cut off by one of them.
func cutTasks(seen []fakes.Record, causes ...string) []fakes.Record {
	var out []fakes.Record
	for _, r := range seen {
		if r.Cut != "" && (len(causes) == 0 || slices.Contains(causes, r.Cut)) {
			out = append(out, r)
		}
	}
	return out
}
