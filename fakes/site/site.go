// Package site serves fakes.KV and fakes.WorkerSet over HTTP as the users' platform
// does, so that the program can run against them in processes of its own. It translates
// and checks nothing itself; the function fields of Twists falsify what the program is
// told, so that a test can show that a checker notices.
package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotpaddle/fakes"
	"shallotpaddle/hosts"
	"shallotpaddle/platform"
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
	// HideKey tells whether a key is left out of lists and watches.
	HideKey func(key string) bool
	// CopyStart returns the worker that starts a run as well, or "".
	CopyStart func(worker string, s runs.Start) string
	// Settings changes the lines of an entry's settings.
	Settings func(lines []string) []string
}

// Names of the one route of a Site.
const (
	Queue  = "soak"
	Pool   = "soakers"
	host   = "soak.example"
	prefix = "/soak/"
)

// Times of the platform, as the settings state them.
const (
	Heartbeat   = 500 * time.Millisecond // of workers
	GracePeriod = 6 * time.Second        // from SIGTERM to SIGKILL
	MaxLease    = 10 * time.Second       // of a worker
	// silentBeats is the number of heartbeats after which a silent worker's entry is removed.
	silentBeats = 3
)

// Site is a store, a set of workers and a fleet service.
type Site struct {
	kv      *fakes.KV
	workers *fakes.WorkerSet
	twists  Twists

	mu       sync.Mutex
	lastBeat map[string]time.Time // by worker ID, of those that are registered
	sequence int64
}

// New returns a site.
func New(kv *fakes.KV, workers *fakes.WorkerSet, twists Twists) *Site {
	return &Site{kv: kv, workers: workers, twists: twists, lastBeat: map[string]time.Time{}}
}

// PutConfig writes the operator's configuration.
func (s *Site) PutConfig(version int64, maxAttempts int) {
	c := struct {
		Version  int64
		Routes   []any
		Services []any
		Limits   any
	}{
		Version: version,
		Routes: []any{map[string]any{
			"Name": Queue, "Host": host, "Prefix": prefix, "Service": Pool, "MaxAttempts": maxAttempts,
			"SlackFactor": 3, "TargetDurationMs": 1000,
		}},
		Services: []any{map[string]any{"Name": Pool}},
		Limits:   map[string]any{"MaxBodyBytes": 1 << 20},
	}
	b, _ := json.Marshal(c) // encoding plain values can't fail
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
		s.kv.Put(platform.WorkerPrefix+w.ID, s.encodeWorker(w))
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

func (s *Site) encodeWorker(w hosts.Worker) []byte {
	if s.twists.Worker != nil {
		w = s.twists.Worker(w)
	}
	state := "ready"
	if w.Draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"Service": w.Pool, "Address": w.Address, "Zone": w.Centre, "State": state, "Sequence": s.sequence,
		"RemainingMs": w.DrainLeft.Milliseconds(), "Capacity": capacity(w.Capacity), "Labels": w.Labels,
		"Machine": w.Host, "born": w.StartedMs,
	})
	return b
}

// FleetHandler serves the list of hosts, and refuses orders: the pool has no other to
// exchange hosts with, and there are no waves.
func (s *Site) FleetHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", func(w http.ResponseWriter, _ *http.Request) {
		list := []any{}
		for _, v := range s.workers.Registered() {
			list = append(list, map[string]any{
				"Machine": v.Host, "Pool": v.Pool, "State": hosts.Up, "Zone": v.Centre, "Labels": v.Labels,
				"Capacity": capacity(v.Capacity), "Id": v.ID,
			})
		}
		reply(w, http.StatusOK, map[string]any{"Machines": list})
	})
	mux.HandleFunc("POST /-/", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusConflict, map[string]any{"Reason": "busy"})
	})
	return mux
}

// Entry is what the settings say of one entry.
type Entry struct {
	Name, Callers, Readiness string // addresses are IP:port
	Store, Fleet             string
	// Reloads is a count that changes with each reload of the settings.
	Reloads int
}

// Settings returns the settings file of an entry.
func (s *Site) Settings(e *Entry) string {
	lines := []string{
		"NodeName=" + e.Name, "Zone=z1", "ListenAddrs.Frontend=" + e.Callers, "ListenAddrs.Readiness=" + e.Readiness,
		"platform.Address=" + e.Store, "Cloud.Address=" + e.Fleet, "Limits.MaxFds=4100",
		fmt.Sprintf("HeartbeatMs=%d", Heartbeat.Milliseconds()), fmt.Sprintf("Bounds.GraceS=%g", GracePeriod.Seconds()),
		fmt.Sprintf("Bounds.HoldMaxMs=%d", MaxLease.Milliseconds()), "Bounds.StopMs=200", "Bounds.DrainMs=2000",
		fmt.Sprintf("Bounds.status_s=%d", 120+e.Reloads),
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
