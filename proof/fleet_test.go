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
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/stretchr/testify/require"

	"shallotpaddle/fakes"
	"shallotpaddle/plat"
)

// firstNoteFormat is the first release note, with format verbs for further lines of
// its pools, queues and jobs.
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

// fleet is a platform, workers and entries, each as a process, connected through
// fault proxies: one from each entry to the platform, one in front of each entry's
// peer address and one in front of each worker.
type fleet struct {
	t            *testing.T
	platformAddr string            // without the proxies
	workers      []plat.Host       // with the proxies' addresses
	workerAddrs  map[string]string // by host, without the proxy
	entries      []*entry
	proxies      map[string]*toxiproxy.Proxy // by link: host, entry>platform or >entry
	client       *http.Client
	begun        time.Time
}

// entry is one entry process, its listening addresses and its settings file.
type entry struct {
	name                                  string
	callersAddr, operatorsAddr, peersAddr string
	settingsFile                          string
	proc                                  *process
}

// onePoolNote is the first release note with the pool photos only.
var onePoolNote = fmt.Sprintf(firstNoteFormat, "", "", "")

// newFleet starts a platform, n entries and w workers with the pool photos. When it
// returns, the first release note is in force and every entry is ready.
func newFleet(t *testing.T, n, w int) *fleet {
	t.Helper()
	return newFleetWith(t, n, w, onePoolNote)
}

// newFleetWith is newFleet with another first release note.
func newFleetWith(t *testing.T, n, w int, note string) *fleet {
	t.Helper()
	takeSlot(t)
	return startFleet(t, n, w, note)
}

// startFleet is newFleetWith without a slot of fleetSlots.
func startFleet(t *testing.T, n, w int, note string) *fleet {
	t.Helper()
	f := &fleet{
		t: t, workerAddrs: map[string]string{}, proxies: map[string]*toxiproxy.Proxy{}, begun: time.Now(),
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

// waitReady waits until every entry reports that it is ready and counts the slots
// of all workers.
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

// close stops the proxies, logs whether they were held up, and prints the entries' logs if
// the test failed.
func (f *fleet) close() {
	for _, p := range f.proxies {
		p.Stop()
	}
	f.t.Log(proxies.since(f.begun))
	if f.t.Failed() {
		for _, e := range f.entries {
			if e.proc != nil {
				f.t.Logf("log of %s:\n%s", e.name, e.proc.log)
			}
		}
	}
}

// addProxy starts a fault proxy in front of upstream and returns the proxy's
// address.
func (f *fleet) addProxy(name, upstream string) string {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = name, "127.0.0.1:0", upstream
	require.NoError(f.t, p.Start())
	f.proxies[name] = p
	return p.Listen
}

// addEntry adds the proxies of a new entry and writes its settings file; it does
// not start the entry.
func (f *fleet) addEntry(name string) *entry {
	e := &entry{name: name, callersAddr: freeAddr(f.t), operatorsAddr: freeAddr(f.t), peersAddr: freeAddr(f.t)}
	platformProxy := f.addProxy(name+">platform", f.platformAddr)
	peerProxy := f.addProxy(">"+name, e.peersAddr)
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
`, name, peerProxy, e.callersAddr, e.operatorsAddr, e.peersAddr, platformProxy, f.peerList(peerProxy), operatorToken)
	e.settingsFile = filepath.Join(f.t.TempDir(), name+".yaml")
	require.NoError(f.t, os.WriteFile(e.settingsFile, []byte(text), 0o600))
	return e
}

// peerList returns the new entry's peer address and those of the entries so far, as
// the items of a YAML list.
func (f *fleet) peerList(newAddr string) string {
	list := []string{`"` + newAddr + `"`}
	for _, e := range f.entries {
		list = append(list, `"`+f.proxies[">"+e.name].Listen+`"`)
	}
	return strings.Join(list, ", ")
}

// startEntry starts an entry and waits until it is live.
func (f *fleet) startEntry(e *entry) {
	e.proc, _ = spawn(f.t, false, "shallotpaddle", "serve", "-c", e.settingsFile)
	eventually(f.t, 10*time.Second, e.name+" is live", func() bool { return f.getStatus(e, "/healthz") == http.StatusOK })
}

// cutLink stops the proxy of a link, which closes its open connections.
func (f *fleet) cutLink(name string) { f.proxies[name].Stop() }

// restoreLink starts the proxy of a link again.
func (f *fleet) restoreLink(name string) { require.NoError(f.t, f.proxies[name].Start()) }

// getStatus returns the status code of a GET at an entry's callers address, 0 if
// the call failed.
func (f *fleet) getStatus(e *entry, path string) int {
	res, err := f.client.Get("http://" + e.callersAddr + path)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// callOperatorAPI makes a call with the operator's token and decodes the answer
// into out unless that is nil. It returns the status code, 0 if the call failed, and
// an error with the body if the code is 300 or above.
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

// applyNote sends a note to entry i until it is accepted.
func (f *fleet) applyNote(i int, text string) {
	f.t.Helper()
	eventually(f.t, 10*time.Second, "note accepted", func() bool {
		code, _ := f.callOperatorAPI(f.entries[i], http.MethodPost, "/v1/notes", text, nil)
		return code == http.StatusOK
	})
}

// fleetResponse is the part of the answer to GET /v1/fleet that the tests use.
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

// fleetState returns the answer of an entry to GET /v1/fleet, empty if the call
// failed.
func (f *fleet) fleetState(e *entry) fleetResponse {
	var s fleetResponse
	_, _ = f.callOperatorAPI(e, http.MethodGet, "/v1/fleet", "", &s)
	return s
}

// result is the outcome of one request as its caller saw it.
type result struct {
	id      string
	outcome string // answered, not-run, unknown, or broken if the call failed or the body was cut short
	status  int
	body    []byte
	err     error
}

// call sends one request to an entry. header holds names and values of further
// headers in turn.
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

// putPlatform sends v as JSON to the platform stand-in.
func (f *fleet) putPlatform(path string, v any) { f.sendJSON(http.MethodPut, f.platformAddr, path, v) }

// sendJSON sends v as JSON to a stand-in, and fails the test unless the status code
// is below 300.
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

// setFaults replaces the faults of the platform stand-in; without arguments it
// clears them.
func (f *fleet) setFaults(set ...fakes.Fault) {
	f.sendJSON(http.MethodPost, f.platformAddr, "/fault", map[string]any{"set": append([]fakes.Fault{}, set...)})
}

// startedTasks returns the records of all tasks that the workers have started.
func (f *fleet) startedTasks() []fakes.Record {
	var all []fakes.Record
	for host := range f.workerAddrs {
		all = append(all, f.startedTasksOn(host)...)
	}
	return all
}

// startedTasksOn returns the records of the tasks that one worker has started.
func (f *fleet) startedTasksOn(host string) []fakes.Record {
	res, err := f.client.Get("http://" + f.workerAddrs[host] + "/seen")
	require.NoError(f.t, err, host)
	defer res.Body.Close()
	var tasks []fakes.Record
	require.NoError(f.t, json.NewDecoder(res.Body).Decode(&tasks))
	return tasks
}
