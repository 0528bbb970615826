// Package site serves fakes.KV and fakes.WorkerSet over HTTP as the users' platform
// does, so that the program can run against them in processes of its own. It translates
// and checks nothing itself; the function fields of Twists falsify what the program is
// told, so that a test can show that a checker notices.
package site

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"shallotpaddle/fakes"
	"shallotpaddle/hosts"
	"shallotpaddle/plat"
	"shallotpaddle/platform"
	"shallotpaddle/policy"
	"shallotpaddle/runs"
)

// Twists falsify what the program is told. A nil field changes nothing.
type Twists struct {
	// End changes an end in a report.
	End func(runs.End) runs.End
	// Worker changes a registration.
	Worker func(hosts.Worker) hosts.Worker
	// LosePut tells whether a write of a key is acknowledged and lost.
	LosePut func(key string) bool
	// HideItem tells whether an item is left out of lists and watches.
	HideItem func(plat.Item) bool
	// CopyStart returns the worker that starts a run as well, or "".
	CopyStart func(worker string, s runs.Start) string
	// SkipStop tells whether an order to stop a run is answered and not carried out.
	SkipStop func(runs.Task) bool
	// Sender changes the holder and the token of an order on a machine.
	Sender func(holder string, fence int64) (string, int64)
	// SkipOrder tells whether an order on a machine is answered and not carried out.
	SkipOrder func(machine string) bool
	// Settings changes the lines of an entry's settings.
	Settings func(lines []string) []string
}

// Host is the host name of all routes.
const Host = "soak.example"

// MemoryMb is the memory of an entry, in MB.
const MemoryMb = 128

// Pools are the pools by queue, of the queues that every configuration has.
var Pools = map[string]string{"soak": "soakers", "bake": "bakers"}

// prefix returns the path under which a queue's jobs are handed in.
func prefix(queue string) string { return "/" + queue + "/" }

// Times of the platform, as the settings state them.
const (
	Heartbeat   = 500 * time.Millisecond // of workers
	GracePeriod = 6 * time.Second        // from SIGTERM to SIGKILL
	MaxLease    = 10 * time.Second       // of a worker
	RevokeTime  = 5 * time.Second        // from the removal of a key to its last success at a strict entry
	// silentBeats is the number of heartbeats after which a silent worker's entry is removed.
	silentBeats = 3
)

// Site is a store, a set of workers and a fleet service.
type Site struct {
	kv      *fakes.KV
	workers *fakes.WorkerSet
	twists  Twists

	hooks Machines
	path  func(worker string, fence int64) Path // see SetPaths; nil if all are open

	writes, reads *rate.Limiter // of calls to the store
	throttled     atomic.Int64

	mu       sync.Mutex
	lastBeat map[string]time.Time // by worker ID, of those that are registered
	sequence int64
	machines map[string]*machine
	waves    map[string]*wave // by number
	public   map[string]bool  // queues, by name
	orders   int              // number of orders on machines that were carried out
}

// New returns a site.
func New(kv *fakes.KV, workers *fakes.WorkerSet, hooks Machines, twists Twists) *Site {
	return &Site{
		kv: kv, workers: workers, twists: twists, hooks: hooks, lastBeat: map[string]time.Time{},
		machines: map[string]*machine{}, waves: map[string]*wave{}, public: map[string]bool{}, writes: newLimiter(writesPerS), reads: newLimiter(readsPerS),
	}
}

// ExtraQueue returns the name of a queue that configurations with more than n extra ones
// have.
func ExtraQueue(n int) string { return fmt.Sprintf("extra%d", n) }

// SetPublic sets whether a queue is public in the configurations that are written from now on.
func (s *Site) SetPublic(queue string, public bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.public[queue] = public
}

// PutConfig writes the operator's configuration, with a number of extra queues. Calls need the key
// of a workspace if there are workspaces.
func (s *Site) PutConfig(version int64, maxAttempts, extra int, spaces ...policy.Workspace) {
	pools := maps.Clone(Pools)
	for n := range extra {
		pools[ExtraQueue(n)] = Pools["soak"]
	}
	var routes, services []any
	s.mu.Lock()
	public := maps.Clone(s.public)
	s.mu.Unlock()
	for _, queue := range slices.Sorted(maps.Keys(pools)) {
		route := map[string]any{
			"Name": queue, "Host": Host, "Prefix": prefix(queue), "Service": pools[queue], "MaxAttempts": maxAttempts,
			"SlackFactor": 3, "TargetDurationMs": 1000,
		}
		if public[queue] {
			route["Public"] = true
		}
		routes = append(routes, route)
	}
	for _, pool := range slices.Sorted(maps.Values(Pools)) {
		services = append(services, map[string]any{"Name": pool})
	}
	config := map[string]any{
		"Version": version, "Routes": routes, "Services": services, "Limits": map[string]any{"MaxBodyBytes": 1 << 20},
	}
	var tenants []any
	for _, w := range spaces {
		tenants = append(tenants, map[string]any{"Name": w.Name, "ApiKeys": w.Keys, "Weight": w.Weight, "MaxCount": capacity(w.Quota)})
	}
	if tenants != nil {
		config["Tenants"] = tenants
	}
	b, _ := json.Marshal(config) // encoding plain values can't fail
	s.kv.Put(platform.OperatorPrefix+"config", b)
}

// Beat writes the entries of the workers that are up, and removes those of workers that
// have been silent. reach tells whether a worker reaches the store.
func (s *Site) Beat(reach func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sequence++
	for _, w := range s.workers.Registered() {
		if !reach(w.ID) {
			continue
		}
		s.lastBeat[w.ID] = now
		b, _ := json.Marshal(s.Registration(w)) // encoding plain values can't fail
		s.kv.Put(platform.WorkerPrefix+w.ID, b)
	}
	for id, at := range s.lastBeat {
		if now.Sub(at) > silentBeats*Heartbeat {
			s.kv.Delete(platform.WorkerPrefix + id)
			delete(s.lastBeat, id)
		}
	}
}

type capacity struct {
	CPU int `json:"Cpu"`
	Mem int `json:"MemMb"`
	GPU int `json:"Gpu"`
}

// Registration returns the fields of a worker's entry.
func (s *Site) Registration(w hosts.Worker) map[string]any {
	if s.twists.Worker != nil {
		w = s.twists.Worker(w)
	}
	state := "ready"
	if w.Draining {
		state = "draining"
	}
	return map[string]any{
		"Service": w.Pool, "Address": w.Address, "Zone": w.Centre, "State": state, "Sequence": s.sequence,
		"RemainingMs": w.DrainLeft.Milliseconds(), "Capacity": capacity(w.Capacity), "Labels": w.Labels,
		"Machine": w.Host, "born": w.StartedMs,
	}
}

// Entry is what the settings say of one entry.
type Entry struct {
	Name, Centre       string
	Callers, Readiness string // addresses are IP:port, as the next
	Store, Fleet       string
	// Strict is the setting Bounds.StrictRevocation.
	Strict bool
	// Reloads is a count that changes with each reload of the settings.
	Reloads int
}

// Settings returns the settings file of an entry.
func (s *Site) Settings(e *Entry) string {
	lines := []string{
		"NodeName=" + e.Name, "Zone=" + e.Centre, "ListenAddrs.Frontend=" + e.Callers, "ListenAddrs.Readiness=" + e.Readiness,
		"platform.Address=" + e.Store, "Cloud.Address=" + e.Fleet, "Limits.MaxFds=4100", fmt.Sprintf("Limits.RamMb=%d", MemoryMb),
		fmt.Sprintf("HeartbeatMs=%d", Heartbeat.Milliseconds()), fmt.Sprintf("Bounds.GraceS=%g", GracePeriod.Seconds()),
		fmt.Sprintf("Bounds.HoldMaxMs=%d", MaxLease.Milliseconds()), "Bounds.StopMs=200", "Bounds.DrainMs=2000",
		fmt.Sprintf("Bounds.MigrationS=%g", moveTime.Seconds()), fmt.Sprintf("Bounds.MaintenanceS=%g", maintenanceTime.Seconds()),
		fmt.Sprintf("Bounds.status_s=%d", 120+e.Reloads),
	}
	if e.Strict {
		lines = append(lines, "Bounds.StrictRevocation=true", fmt.Sprintf("Bounds.RevokeMs=%d", RevokeTime.Milliseconds()))
	}
	if s.twists.Settings != nil {
		lines = s.twists.Settings(lines)
	}
	return strings.Join(lines, "\n") + "\n"
}

// reply answers with v as JSON.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have gone
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

// decode decodes the body of a call, or answers 400.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// firstN returns the first n elements.
func firstN[T any](list []T, n int) []T { return slices.Clip(list[:min(n, len(list))]) }
