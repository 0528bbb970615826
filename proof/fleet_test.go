package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/plat"
)

const (
	operatorToken   = "proof-operator-token-0001"
	firstNoteFormat = `
note: first
against: 0
operator: proof
added:
  pools:
    - {name: photos, size: 8, budget: 2, reserve: 1}
%s  queues:
    - {name: digests, pool: photos, target: 5s, objective: 0.99}
%s  customers:
    - {name: parents, rank: 1}
    - {name: office, rank: 2}
  jobs:
    - {name: digest, queue: digests, rank: 1, run: 50ms, idempotent: true}
    - {name: incident, queue: digests, rank: 1, run: 50ms}
%s`
)

// fleet is a platform, workers and entries as processes, with a fault proxy
// between each entry and the platform, each entry and each other entry, and
// before each worker.
type fleet struct {
	t        *testing.T
	platformAddr string // direct address
	workers  []plat.Host
	workerAddrs   map[string]string // host to direct address
	entries  []*entry
	proxies  map[string]*toxiproxy.Proxy
	client   *http.Client
}

// entry is one entry process.
type entry struct {
	name                      string
	callersAddr, operatorsAddr, peersAddr string
	settingsFile                  string
	proc                      *process
}

// onePoolNote is the first release note with the pool photos alone.
var onePoolNote = fmt.Sprintf(firstNoteFormat, "", "", "")

// newFleet starts a platform, n entries and w workers with the pool photos. The
// first release note is in force when it returns.
func newFleet(t *testing.T, n, w int) *fleet {
	t.Helper()
	return newFleetWith(t, n, w, onePoolNote)
}

func newFleetWith(t *testing.T, n, w int, note string) *fleet {
	t.Helper()
	f := &fleet{
		t: t, workerAddrs: map[string]string{}, proxies: map[string]*toxiproxy.Proxy{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableKeepAlives: false}},
	}
	t.Cleanup(f.close)
	_, line := spawn(t, true, "platd")
	f.platformAddr = strings.TrimSpace(line)
	_, line = spawn(t, true, "workd", "-n", fmt.Sprint(w), "-dcs", "suva,nadi,lautoka,labasa", "-rack", "2")
	require.NoError(t, json.Unmarshal([]byte(line), &f.workers))
	for i := range f.workers {
		h := &f.workers[i]
		f.workerAddrs[h.Name] = h.Addr
		h.Addr = f.addProxy(h.Name, h.Addr)
	}
	f.putPlatform("/hosts", map[string]any{"hosts": f.workers})
	for i := range n {
		f.entries = append(f.entries, f.addEntry(fmt.Sprintf("e%d", i+1)))
	}
	for _, e := range f.entries {
		f.startEntry(e)
	}
	f.applyNote(0, note)
	f.waitReady()
	return f
}

// waitReady waits until every entry takes work and knows the pool's hosts.
func (f *fleet) waitReady() {
	for _, e := range f.entries {
		eventually(f.t, 20*time.Second, e.name+" is ready with hosts", func() bool {
			slots := 0
			for _, p := range f.fleetState(e).Pools {
				slots += p.Slots
			}
			return f.getStatus(e, "/readyz") == http.StatusOK && slots >= 8*len(f.workers)
		})
	}
}

func (f *fleet) close() {
	for _, p := range f.proxies {
		p.Stop()
	}
	if f.t.Failed() {
		for _, e := range f.entries {
			if e.proc != nil {
				f.t.Logf("log of %s:\n%s", e.name, e.proc.log)
			}
		}
	}
}

// addProxy puts a fault addProxy before an address and returns the addProxy's.
func (f *fleet) addProxy(name, upstream string) string {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = name, "127.0.0.1:0", upstream
	require.NoError(f.t, p.Start())
	f.proxies[name] = p
	return p.Listen
}

// addEntry prepares an entry and its settings file; it does not start it.
func (f *fleet) addEntry(name string) *entry {
	e := &entry{name: name, callersAddr: freeAddr(f.t), operatorsAddr: freeAddr(f.t), peersAddr: freeAddr(f.t)}
	plat := f.addProxy(name+">platform", f.platformAddr)
	public := f.addProxy(">"+name, e.peersAddr)
	text := fmt.Sprintf(`
self: {name: %s, dc: suva, address: "%s"}
listen:
  callers: {address: "%s"}
  operators: {address: "%s"}
  peers: {address: "%s"}
platform: {url: "http://%s", ttl: 4s, timeout: 1s}
peers: {heartbeat: 200ms, addresses: [%s]}
limits: {drain: 20s, notice: 300ms, watch: 1s}
hosts: {fail: 1s, gone: 1s, return: 1s, probation: 1s}
auth: {operators: [{name: proof, token: %s}]}
`, name, public, e.callersAddr, e.operatorsAddr, e.peersAddr, plat, f.peerList(public), operatorToken)
	e.settingsFile = filepath.Join(f.t.TempDir(), name+".yaml")
	require.NoError(f.t, os.WriteFile(e.settingsFile, []byte(text), 0o600))
	return e
}

// peerList returns the peers' addresses known so far, and a new one.
func (f *fleet) peerList(public string) string {
	list := []string{`"` + public + `"`}
	for _, e := range f.entries {
		list = append(list, `"`+f.proxies[">"+e.name].Listen+`"`)
	}
	return strings.Join(list, ", ")
}

func (f *fleet) startEntry(e *entry) {
	e.proc, _ = spawn(f.t, false, "shallotpaddle", "serve", "-c", e.settingsFile)
	eventually(f.t, 10*time.Second, e.name+" is live", func() bool { return f.getStatus(e, "/healthz") == http.StatusOK })
}

// cutLink breaks a link and its open connections; mend restores it.
func (f *fleet) cutLink(name string) { f.proxies[name].Stop() }

func (f *fleet) restoreLink(name string) { require.NoError(f.t, f.proxies[name].Start()) }

func (f *fleet) getStatus(e *entry, path string) int {
	res, err := f.client.Get("http://" + e.callersAddr + path)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// callOperatorAPI makes an callOperatorAPI's call and decodes its answer.
func (f *fleet) callOperatorAPI(e *entry, method, path, body string, out any) (int, error) {
	req, err := http.NewRequest(method, "http://"+e.operatorsAddr+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := f.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err
	}
	if out != nil && res.StatusCode < 300 {
		return res.StatusCode, json.Unmarshal(b, out)
	}
	if res.StatusCode >= 300 {
		return res.StatusCode, fmt.Errorf("%s", b)
	}
	return res.StatusCode, nil
}

// applyNote has a release note accepted at one entry.
func (f *fleet) applyNote(i int, text string) {
	f.t.Helper()
	eventually(f.t, 10*time.Second, "note accepted", func() bool {
		code, _ := f.callOperatorAPI(f.entries[i], http.MethodPost, "/v1/notes", text, nil)
		return code == http.StatusOK
	})
}

// fleetResponse is the part of GET /v1/fleet that tests use.
type fleetResponse struct {
	Rev   int64
	Pools []struct {
		Name                      string
		Hosts, Out, Budget, Slots int
		Busy, Waiting             int
		Owner                     string
	}
	Hosts []struct {
		Name, Pool, Next, Reason, Phase string
		Healthy                         bool
		Busy                            int
	}
	Entries []struct {
		Name string
		Rev  int64
		Age  string
	}
}

func (f *fleet) fleetState(e *entry) fleetResponse {
	var s fleetResponse
	_, _ = f.callOperatorAPI(e, http.MethodGet, "/v1/fleet", "", &s)
	return s
}

// result is what a caller was result about one request.
type result struct {
	id      string
	outcome string // answered, not-run, unknown, or broken for a stream cut short
	status  int
	body    []byte
	err     error
}

// call makes one request at an entry.
func (f *fleet) call(e *entry, kind string, body []byte, header ...string) result {
	queue := "digests"
	if kind == "nap" {
		queue = "diary"
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callersAddr+"/v1/queues/"+queue+"/requests", bytes.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Customer", "parents")
	req.Header.Set("Kind", kind)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := f.client.Do(req)
	if err != nil {
		return result{outcome: "broken", err: err}
	}
	defer res.Body.Close()
	out := result{id: res.Header.Get("Id"), outcome: res.Header.Get("Outcome"), status: res.StatusCode}
	out.body, out.err = io.ReadAll(res.Body)
	if out.err != nil {
		out.outcome = "broken"
	}
	return out
}

// putPlatform sends JSON to the platform stand-in.
func (f *fleet) putPlatform(path string, v any) { f.sendJSON(http.MethodPut, f.platformAddr, path, v) }

func (f *fleet) sendJSON(method, addr, path string, v any) {
	b, err := json.Marshal(v)
	require.NoError(f.t, err)
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(b))
	require.NoError(f.t, err)
	res, err := f.client.Do(req)
	require.NoError(f.t, err)
	defer res.Body.Close()
	require.Less(f.t, res.StatusCode, 300, path)
}

// setFaults replaces the platform's setFaults; none clears them.
func (f *fleet) setFaults(set ...fakes.Fault) {
	f.sendJSON(http.MethodPost, f.platformAddr, "/fault", map[string]any{"set": append([]fakes.Fault{}, set...)})
}

// startedTasks returns every task that the workers have started.
func (f *fleet) startedTasks() []fakes.Record {
	var mu sync.Mutex
	var all []fakes.Record
	for host, addr := range f.workerAddrs {
		res, err := f.client.Get("http://" + addr + "/seen")
		require.NoError(f.t, err, host)
		var some []fakes.Record
		require.NoError(f.t, json.NewDecoder(res.Body).Decode(&some))
		_ = res.Body.Close()
		mu.Lock()
		all = append(all, some...)
		mu.Unlock()
	}
	return all
}
