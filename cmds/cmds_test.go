package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	goahttp "goa.design/goa/v3/http"
	"goa.design/goa/v3/security"

	"shallotpaddle/burn"
	"shallotpaddle/gen/fleet"
	"shallotpaddle/gen/http/fleet/server"
	"shallotpaddle/note"
)

const token = "sixteen-bytes-or-more"

// fakeFleet is a stand-in for an entry behind the generated server.
type fakeFleet struct {
	mu          sync.Mutex
	conf        note.ConfigDoc
	failWith    *fleet.Refusal // refusal of every call, unless nil
	statusCalls int            // status calls so far
	// forceAtCall and effectAtCall are the numbers of the status calls from which
	// a revision is in force and has its full effect; 0 means never.
	forceAtCall, effectAtCall int
	calls                     []string
}

func refusal(name, message string) *fleet.Refusal {
	return &fleet.Refusal{Name: name, Message: message, Outcome: "not-run"}
}

func (f *fakeFleet) recordCall(call string) error {
	f.calls = append(f.calls, call)
	if f.failWith != nil {
		return f.failWith
	}
	return nil
}

func (f *fakeFleet) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	if key != token {
		return ctx, refusal("unauthorized", "want a credential")
	}
	return ctx, nil
}

func (f *fakeFleet) Apply(_ context.Context, p *fleet.ApplyPayload, body io.ReadCloser) (*fleet.Accepted, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.recordCall("apply"); err != nil {
		return nil, err
	}
	text, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	n, err := note.Parse("", text)
	if err != nil {
		return nil, refusal("invalid", err.Error())
	}
	next, err := f.conf.Accept(n, time.Unix(0, 0))
	switch {
	case errors.Is(err, note.ErrConflict):
		return nil, refusal("conflict", err.Error())
	case err != nil:
		return nil, refusal("invalid", strings.ReplaceAll(err.Error(), "n.yaml:", ""))
	}
	a, _ := next.Find(n.ID)
	if !p.Dry {
		f.conf = next
	}
	return &fleet.Accepted{Rev: a.Rev, Note: a.ID, Lines: a.Lines}, nil
}

func (f *fakeFleet) Notes(context.Context, *fleet.NotesPayload) (*fleet.NotesResult, error) {
	op := "litia"
	return &fleet.NotesResult{Notes: []*fleet.Accepted{{Rev: 7, Note: "n", Operator: &op, Lines: []string{"one", "two"}}}}, f.recordCall("notes")
}

func (f *fakeFleet) Status(_ context.Context, p *fleet.StatusPayload) (*fleet.Status2, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statusCalls++
	out := &fleet.Status2{Rev: p.Rev, Pending: []string{"host suva-1 drains"}}
	out.Entries = &struct{ Total, Force int }{Total: 3, Force: 1}
	out.Times = &struct{ Force, Effect *string }{}
	if f.forceAtCall > 0 && f.statusCalls >= f.forceAtCall {
		took := "800ms"
		out.Entries.Force, out.Times.Force = 3, &took
	}
	out.Effect = f.effectAtCall > 0 && f.statusCalls >= f.effectAtCall
	return out, f.recordCall("status")
}

func (f *fakeFleet) Show(context.Context, *fleet.ShowPayload) (*fleet.FleetState, error) {
	return &fleet.FleetState{
		Rev:   7,
		Pools: []*fleet.PoolState{{Name: "diary", Hosts: 2, Out: 1, Budget: 1, Slots: 8, Owner: "e1"}},
		Hosts: []*fleet.HostState{
			{Name: "suva-1", Pool: "diary", Reason: "maintenance", Phase: "draining", Healthy: true, Slots: 8},
			{Name: "suva-2", Pool: "diary", Reason: "in-service", Phase: "none", Healthy: true, Slots: 8},
		},
		Entries: []*fleet.EntryState{{Name: "e1", Dc: "suva", Rev: 7, Age: "1s"}},
	}, f.recordCall("show")
}

func (f *fakeFleet) Drain(_ context.Context, p *fleet.DrainPayload) error {
	return f.recordCall("drain " + p.Host)
}

func (f *fakeFleet) Undrain(_ context.Context, p *fleet.UndrainPayload) error {
	return f.recordCall("undrain " + p.Host)
}

func (f *fakeFleet) Explain(_ context.Context, p *fleet.ExplainPayload) (*fleet.ExplainResult, error) {
	return &fleet.ExplainResult{Events: []*fleet.Event{
		{Time: "t", Entry: "e1", What: "permit", Cause: "host is due for maintenance", Figure: 1, Limit: 2},
	}}, f.recordCall("explain " + p.Kind + " " + p.Name)
}

func (f *fakeFleet) Burn(context.Context, *fleet.BurnPayload) (any, error) {
	return burn.Merge(), f.recordCall("burn")
}

func (f *fakeFleet) Metrics(context.Context, *fleet.MetricsPayload) (any, error) {
	return map[string]any{}, f.recordCall("metrics")
}

// startServer serves f and returns its base URL.
func startServer(t *testing.T, f *fakeFleet) string {
	t.Helper()
	mux := goahttp.NewMuxer()
	srv := server.New(fleet.NewEndpoints(f), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	server.Mount(mux, srv)
	ts := httptest.NewServer(mux)
	t.Cleanup(ts.Close)
	return ts.URL
}

type result struct {
	status   int
	out, err string
}

func invoke(entries string, args ...string) result {
	var out, errs bytes.Buffer
	getenv := func(name string) string {
		return map[string]string{tokenVar: token, entryVar: entries}[name]
	}
	e := &env{stdout: &out, stderr: &errs, getenv: getenv, poll: time.Millisecond}
	return result{run(context.Background(), e, args), out.String(), errs.String()}
}

const firstNote = `note: first
against: 0
added:
  pools: [{name: diary, size: 12, budget: 2}]
  queues: [{name: naps, pool: diary, target: 1s, objective: 0.999}]
`

func writeNote(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "n.yaml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestCommands(t *testing.T) {
	tests := []struct {
		args string
		call string
		want []string
	}{
		{"fleet", "show", []string{"diary  2      1    1", "suva-1", "suva-2", "e1"}},
		{"fleet -out", "show", []string{"maintenance  draining"}},
		{"note list", "notes", []string{"7    n     litia", "two"}},
		{"note status -rev 7", "status", []string{"revision 7 in force on 1 of 3 entries, pending: host suva-1 drains"}},
		{"drain suva-1", "drain suva-1", []string{"suva-1 drains"}},
		{"drain -undo suva-1", "undrain suva-1", []string{"suva-1 goes back"}},
		{"explain host suva-1", "explain host suva-1", []string{"permit", "host is due for maintenance"}},
		{"burn", "burn", []string{"QUEUE", "BUFFER COST"}},
		{"burn -html", "burn", []string{"<!DOCTYPE html>"}},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			f := &fakeFleet{}
			url := startServer(t, f)
			got := invoke(url, strings.Fields(tt.args)...)
			require.Equal(t, ExitOK, got.status, got.err)
			require.Equal(t, []string{tt.call}, f.calls)
			for _, want := range tt.want {
				require.Contains(t, got.out, want)
			}
			if tt.args == "fleet -out" {
				require.NotContains(t, got.out, "suva-2")
			}
			if tt.args == "burn -html" {
				return
			}
			got = invoke(url, append(strings.Fields(tt.args)[:1:1], append([]string{"-o", "json"}, strings.Fields(tt.args)[1:]...)...)...)
			require.Equal(t, ExitOK, got.status, got.err)
			require.True(t, json.Valid([]byte(got.out)), got.out)
		})
	}
}

func TestExitStatus(t *testing.T) {
	tests := []struct {
		name string
		want int
	}{
		{"unauthorized", ExitFailure},
		{"not_found", ExitFailure},
		{"invalid", ExitUsage},
		{"conflict", ExitConflict},
		{"not_accepted", ExitNotAccepted},
		{"unknown", ExitUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			url := startServer(t, &fakeFleet{failWith: refusal(tt.name, "why it is so")})
			got := invoke(url, "drain", "suva-1")
			require.Equal(t, tt.want, got.status)
			require.Contains(t, got.err, "why it is so")
			require.Empty(t, got.out)
			got = invoke(url, "-o", "json", "drain", "suva-1")
			require.Contains(t, got.err, `"error":`)
		})
	}
}

func TestUsage(t *testing.T) {
	for _, args := range []string{
		"", "nonsense", "drain", "drain a b", "explain host", "explain pony x", "note", "note nonsense",
		"fleet -o xml", "fleet -nonsense", "-entry ftp://x fleet", "-token-file /nonexistent fleet",
		"note apply -wait long x.yaml", "note check /nonexistent", "config check /nonexistent", "config",
	} {
		got := invoke("http://127.0.0.1:1", strings.Fields(args)...)
		require.Equal(t, ExitUsage, got.status, args)
		require.Empty(t, got.out, args)
	}
}

func TestUnauthorized(t *testing.T) {
	url := startServer(t, &fakeFleet{})
	file := writeNote(t, "wrong-token")
	got := invoke(url, "-token-file", file, "fleet")
	require.Equal(t, ExitFailure, got.status)
	require.Equal(t, "unauthorized: want a credential\n", got.err)
}

func TestNoteCheck(t *testing.T) {
	f := &fakeFleet{}
	url := startServer(t, f)
	got := invoke(url, "note", "check", writeNote(t, firstNote))
	require.Equal(t, ExitOK, got.status, got.err)
	require.Contains(t, got.out, "added pool diary: size 12, budget 2\n")
	require.Zero(t, f.conf.Config.Rev)

	file := writeNote(t, "note: n\nagainst: 0\nadd: 1\nadded: {customers: [{name: a, rank: x}]}\n")
	got = invoke("http://127.0.0.1:1", "note", "check", file)
	require.Equal(t, ExitUsage, got.status)
	require.Equal(t, file+":3:1: add: unknown key\n"+file+":4:31: added.customers[0].rank: want a whole number, not \"x\"\n", got.err)

	file = writeNote(t, "note: n\nagainst: 0\nwithdrawn: {pools: [x]}\n")
	got = invoke(url, "note", "check", file)
	require.Equal(t, ExitUsage, got.status)
	require.Equal(t, file+":3:21: withdrawn.pools[0]: unknown pool \"x\"\n", got.err)
}

func TestNoteApply(t *testing.T) {
	tests := []struct {
		name          string
		force, effect int
		args          []string
		status        int
		want          string
	}{
		{"whole", 2, 4, nil, ExitOK, "revision 1 in force on 3 of 3 entries after 800ms, full effect\n"},
		{"force only", 2, 0, []string{"-wait", "force"}, ExitOK, "in force on 3 of 3"},
		{"none", 0, 0, []string{"-wait", "none"}, ExitOK, "accepted as revision 1\n"},
		{"never in force", 0, 0, []string{"-force-timeout", "100ms"}, ExitTimeout, "timed out waiting after 100ms: revision 1 in force on 1 of 3 entries"},
		{"no effect", 1, 0, []string{"-effect-timeout", "100ms"}, ExitTimeout, "pending: host suva-1 drains"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeFleet{forceAtCall: tt.force, effectAtCall: tt.effect}
			args := append(append([]string{"note", "apply"}, tt.args...), writeNote(t, firstNote))
			got := invoke(startServer(t, f), args...)
			require.Equal(t, tt.status, got.status, got.err)
			require.True(t, strings.HasPrefix(got.err, "note first accepted as revision 1\n"), got.err)
			require.Contains(t, got.err, tt.want)
			require.Contains(t, got.out, "added queue naps: pool diary")
		})
	}
}

func TestNoteConflict(t *testing.T) {
	f := &fakeFleet{effectAtCall: 1, forceAtCall: 1}
	url := startServer(t, f)
	require.Equal(t, ExitOK, invoke(url, "note", "apply", writeNote(t, firstNote)).status)
	require.Equal(t, ExitOK, invoke(url, "note", "apply", writeNote(t, firstNote)).status, "sent twice")
	require.EqualValues(t, 1, f.conf.Config.Rev)
	got := invoke(url, "note", "apply", writeNote(t, strings.Replace(firstNote, "first", "other", 1)))
	require.Equal(t, ExitConflict, got.status)
	require.Contains(t, got.err, "added pool diary")
}

// After an entry that is down, refuses, or breaks the connection after accepting
// a note, the command must try the next one. Its exit status must take all
// attempts into account: a later refusal must not turn an unknown outcome into
// "not accepted".
func TestEntriesInTurn(t *testing.T) {
	breakConnection := func(f *fakeFleet) http.HandlerFunc {
		return func(_ http.ResponseWriter, r *http.Request) {
			if f != nil {
				text, _ := io.ReadAll(r.Body)
				n, _ := note.Parse("", text)
				f.mu.Lock()
				f.conf, _ = f.conf.Accept(n, time.Unix(0, 0))
				f.mu.Unlock()
			}
			panic(http.ErrAbortHandler)
		}
	}
	serve := func(h http.HandlerFunc) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return s.URL
	}
	const unreachable = "http://127.0.0.1:1"
	tests := []struct {
		name    string
		entries func(f *fakeFleet) []string
		status  int
		rev     int64
	}{
		{"first is down", func(f *fakeFleet) []string { return []string{unreachable, startServer(t, f)} }, ExitOK, 1},
		{"answer lost after the write", func(f *fakeFleet) []string { return []string{serve(breakConnection(f)), startServer(t, f)} }, ExitOK, 1},
		{"all down", func(*fakeFleet) []string { return []string{unreachable, unreachable} }, ExitNotAccepted, 0},
		{"lost, then down", func(*fakeFleet) []string { return []string{serve(breakConnection(nil)), unreachable} }, ExitUnknown, 0},
		{"lost, then refused", func(*fakeFleet) []string {
			return []string{serve(breakConnection(nil)), startServer(t, &fakeFleet{failWith: refusal("not_accepted", "store down")})}
		}, ExitUnknown, 0},
		{"refused, then accepted", func(f *fakeFleet) []string {
			return []string{startServer(t, &fakeFleet{failWith: refusal("not_accepted", "store down")}), startServer(t, f)}
		}, ExitOK, 1},
		{"refused by all", func(*fakeFleet) []string {
			u := startServer(t, &fakeFleet{failWith: refusal("not_accepted", "store down")})
			return []string{u, u}
		}, ExitNotAccepted, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeFleet{forceAtCall: 1, effectAtCall: 1}
			got := invoke(strings.Join(tt.entries(f), ","), "note", "apply", "-wait", "none", writeNote(t, firstNote))
			require.Equal(t, tt.status, got.status, got.err)
			require.Equal(t, tt.rev, f.conf.Config.Rev)
		})
	}
}

func TestConfigCheck(t *testing.T) {
	got := invoke("", "config", "check", "../examples/naidu/entry.yaml")
	require.Equal(t, ExitOK, got.status, got.err)
	file := writeNote(t, "self: {name: e1, dc: suva, address: 127.0.0.1:1, zone: x}\n")
	got = invoke("", "config", "check", file)
	require.Equal(t, ExitUsage, got.status)
	require.Contains(t, got.err, file+":1:50: self.zone: unknown key\n")
}

func TestVersion(t *testing.T) {
	got := invoke("", "version", "-o", "json")
	require.Equal(t, ExitOK, got.status, got.err)
	require.Contains(t, got.out, `"go":"go1.`)
}
