package cmds

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotpaddle/gen/fleet"
	"shallotpaddle/note"
)

func TestDemoCounts(t *testing.T) {
	tests := []struct {
		name   string
		answer http.HandlerFunc
		want   demoCounts
	}{
		{"answered", func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }, demoCounts{answered: 1}},
		{"not run", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, demoCounts{notRun: 1}},
		{"unknown", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGatewayTimeout) }, demoCounts{unknown: 1}},
		{"connection aborted", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, demoCounts{unknown: 1}},
		{"body of another request", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "other") }, demoCounts{wrong: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(tt.answer)
			defer s.Close()
			l := &loadGenerator{client: s.Client(), addrs: []string{s.Listener.Addr().String()}}
			l.send(queueLoad{queue: "logs", customer: "nasese", kind: "nap-entry", runTime: time.Millisecond})
			require.Equal(t, tt.want, l.counts)
		})
	}
}

func TestDemoWaveObserves(t *testing.T) {
	state := func(out int, reasons ...string) *fleet.FleetState {
		s := &fleet.FleetState{Pools: []*fleet.PoolState{{Name: "photos", Out: out, Budget: 2}}}
		for i, r := range reasons {
			s.Hosts = append(s.Hosts, &fleet.HostState{Name: string(rune('a' + i)), Pool: "photos", Reason: r})
		}
		return s
	}
	w, seen := waveReport{pool: "photos"}, map[string]bool{}
	for _, s := range []*fleet.FleetState{
		state(0, "in-service", "in-service"), state(1, "operator", "in-service"),
		state(2, "operator", "operator"), state(0, "in-service", "in-service"),
	} {
		w.observe(s, seen)
	}
	require.Equal(t, waveReport{pool: "photos", drainedHosts: 2, maxOut: 2, budget: 2}, w)
	require.True(t, w.noneOut(state(0)))
	require.False(t, w.noneOut(state(1)))
}

func TestDemoNotes(t *testing.T) {
	for _, u := range demoUsers {
		n, err := note.Parse(u.name, []byte(u.note))
		require.NoError(t, err)
		conf, err := (&note.ConfigDoc{}).Accept(n, time.Unix(0, 0))
		require.NoError(t, err)
		hosts := 0
		for _, p := range conf.Config.Pools {
			hosts += p.Size
		}
		require.Equal(t, demoHosts, hosts)
	}
}

// lockedBuffer is a buffer that both demo fleets may write to at the same time.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// TestDemo runs the whole demo and checks the printed counts, but not the
// durations, which depend on the machine.
func TestDemo(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	errs := &lockedBuffer{}
	e := &env{stdout: &out, stderr: errs, getenv: func(string) string { return "" }, poll: pollInterval, format: formatText}
	require.NoError(t, e.runDemo(t.Context(), io.Discard), "%s\n%s", errs, &out)
	for _, u := range demoUsers {
		_, part, ok := strings.Cut(out.String(), "== "+u.name+"\n")
		require.True(t, ok, out.String())
		require.Regexp(t, `^work: [1-9]\d* answered, \d+ not run, 0 unknown, 0 wrong answers\n`, part)
		require.Contains(t, part, fmt.Sprintf("jobs: %d submitted, followed to their end and fetched\n", demoJobs))
		require.Regexp(t, `wave: 4 hosts of `+u.wavePool+` drained and rebooted in \S+, at most [12] out at once, budget 2, `, part)
		require.Contains(t, part, "burn at ")
		require.Contains(t, errs.String(), u.name+": revision 1 in force on 2 of 2 entries")
	}
}

func TestDemoJobs(t *testing.T) {
	for _, c := range []struct {
		name, state, result string
		status              int
		want                error
	}{
		{"done", "done", "run=1ms;job 0 of nasese", http.StatusAccepted, nil},
		{"failed", "failed", "", http.StatusAccepted, errDemo},
		{"unknown", "unknown", "", http.StatusAccepted, errDemo},
		{"wrong result", "done", "other", http.StatusAccepted, errDemo},
		{"submission unknown", "", "", http.StatusGatewayTimeout, errDemo},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.Method == http.MethodPost:
					w.WriteHeader(c.status)
					_, _ = io.WriteString(w, `{"id":"e1-a-1"}`)
				case strings.HasSuffix(r.URL.Path, "/result"):
					_, _ = io.WriteString(w, c.result)
				default:
					_, _ = fmt.Fprintf(w, `{"state":%q}`, c.state)
				}
			}))
			defer s.Close()
			j := &jobClient{client: s.Client(), addrs: []string{s.Listener.Addr().String()}}
			d := queueLoad{queue: "logs", customer: "nasese", kind: "nap-entry", runTime: time.Millisecond}
			body := "run=1ms;job 0 of nasese"
			id, err := j.submit(t.Context(), j.entryURL(0), d, body)
			if err == nil {
				err = j.awaitResult(t.Context(), j.entryURL(0), id, body)
			}
			require.ErrorIs(t, err, c.want)
		})
	}
}
