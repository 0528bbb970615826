package fakes

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotpaddle/table"
)

// Default rate limits of the platform's key-value service, in calls per second.
const (
	DefaultWrites = 300
	DefaultReads  = 2000
)

// Kinds of fault that the platform can inject.
const (
	FaultDown     = "down"     // answer 503 without carrying out the call
	FaultThrottle = "throttle" // answer 429 without carrying out the call
	FaultSlow     = "slow"     // wait for Delay, then carry out the call
	FaultLate     = "late"     // carry out the call, then answer after Delay, as a lagging watch does
	FaultCut      = "cut"      // close the connection without carrying out the call
	FaultDrop     = "drop"     // carry out the call, then close the connection
	FaultLag      = "lag"      // answer with the host list as it was Delay ago
)

var faultKinds = []string{
	FaultDown, FaultThrottle, FaultSlow, FaultLate, FaultCut, FaultDrop, FaultLag,
}

// Fault is one fault that the platform injects, until it is cleared or has
// applied to Count calls.
type Fault struct {
	Kind string `json:"kind"`
	// Class limits the fault to calls of one class (get, put, delete, list, watch,
	// lease, hosts, reboot) or of one group (read, write).
	Class string `json:"class"`
	// Prefix limits the fault to calls on keys with this prefix.
	Prefix string         `json:"prefix"`
	Delay  table.Duration `json:"delay"`
	// Count is the number of calls that the fault applies to; 0 means all.
	Count int `json:"count"`
}

// call has the properties of a request that faults and rate limits depend on.
type call struct {
	class, group, key string
}

// classify returns the class, the group and the key or prefix of a request.
func classify(r *http.Request) call {
	c := call{group: "write"}
	if r.Method == http.MethodGet {
		c.group = "read"
	}
	dir, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case dir == "kv":
		c.class, c.key = strings.ToLower(r.Method), rest
	case dir == "hosts" && rest != "":
		c.class, c.key = "reboot", rest
	default:
		c.class, c.key = dir, r.URL.Query().Get("prefix")
	}
	return c
}

// matches tells whether the fault applies to a call. A fault on keys applies to a
// list or watch if the two prefixes overlap.
func (f *Fault) matches(c call) bool {
	if f.Class != "" && f.Class != c.class && f.Class != c.group {
		return false
	}
	if c.class == "list" || c.class == "watch" {
		return strings.HasPrefix(c.key, f.Prefix) || strings.HasPrefix(f.Prefix, c.key)
	}
	return strings.HasPrefix(c.key, f.Prefix)
}

// injector has the active faults and the rate limits, and counts calls.
type injector struct {
	mu          sync.Mutex
	active      []*Fault
	limits      map[string]int // calls per second by group
	windowStart int64          // Unix time, in seconds, that windowCalls is for
	windowCalls map[string]int // calls within windowStart by group
	seen        Seen
}

// Seen counts calls as GET /seen reports them.
type Seen struct {
	// Reads and Writes count the calls that were carried out; a watch counts once,
	// however long it waits.
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Refused counts the calls that exceeded the rate limits.
	Refused int64 `json:"refused"`
	// Peak is the largest number of calls received within one second, by group.
	Peak map[string]int `json:"peak"`
	// Classes counts the calls that were carried out by class, Faults the calls that
	// a fault applied to by kind of fault.
	Classes map[string]int64 `json:"classes"`
	Faults  map[string]int64 `json:"faults"`
	// Reboots lists the hosts of the reboot orders in order of arrival; an order that
	// repeats an earlier ID is left out.
	Reboots []string `json:"reboots"`
}

func newInjector() *injector {
	return &injector{
		limits:      map[string]int{"read": DefaultReads, "write": DefaultWrites},
		windowCalls: map[string]int{},
		seen: Seen{
			Peak: map[string]int{}, Classes: map[string]int64{}, Faults: map[string]int64{},
		},
	}
}

// admit counts a call and returns the faults that apply to it, or false if it
// exceeds the rate limit of its group.
func (f *injector) admit(c call, now time.Time) ([]Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := now.Unix(); s != f.windowStart {
		f.windowStart = s
		clear(f.windowCalls)
	}
	f.windowCalls[c.group]++
	f.seen.Peak[c.group] = max(f.seen.Peak[c.group], f.windowCalls[c.group])
	if f.windowCalls[c.group] > f.limits[c.group] {
		f.seen.Refused++
		return nil, false
	}
	matched := f.matchActive(c)
	if slices.ContainsFunc(matched, func(f Fault) bool { return f.refuses() }) {
		return matched, true
	}
	f.seen.Classes[c.class]++
	if c.group == "read" {
		f.seen.Reads++
	} else {
		f.seen.Writes++
	}
	return matched, true
}

// refuses tells whether the fault keeps a call from being carried out.
func (f *Fault) refuses() bool {
	return f.Kind == FaultDown || f.Kind == FaultThrottle || f.Kind == FaultCut
}

// matchActive returns the active faults that apply to a call, counts the call for
// each of them, and removes the faults whose Count is reached; f.mu is held.
func (f *injector) matchActive(c call) []Fault {
	var matched []Fault
	for _, x := range f.active {
		if !x.matches(c) {
			continue
		}
		matched = append(matched, *x)
		f.seen.Faults[x.Kind]++
		if x.Count > 0 {
			x.Count--
			if x.Count == 0 {
				x.Count = -1
			}
		}
	}
	f.active = slices.DeleteFunc(f.active, func(x *Fault) bool { return x.Count < 0 })
	return matched
}

func (f *injector) recordReboot(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen.Reboots = append(f.seen.Reboots, host)
}

func (f *injector) counts() Seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.seen
	s.Peak, s.Classes, s.Faults = maps.Clone(s.Peak), maps.Clone(s.Classes), maps.Clone(s.Faults)
	s.Reboots = slices.Clone(s.Reboots)
	return s
}

// SetFaults replaces the active faults.
func (p *Platform) SetFaults(set ...Fault) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.active = nil
	for _, x := range set {
		p.faults.active = append(p.faults.active, &x)
	}
}

// SetRates sets the rate limits in calls per second; calls above them are answered
// with 429.
func (p *Platform) SetRates(writes, reads int) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.limits["write"], p.faults.limits["read"] = writes, reads
}

// ResetPeak sets the peak numbers of calls per second back to 0.
func (p *Platform) ResetPeak() {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	clear(p.faults.seen.Peak)
}

// Seen returns the counts since the start.
func (p *Platform) Seen() Seen { return p.faults.counts() }

// serve serves a call, with the faults that apply to it.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request, matched []Fault) {
	var answerDelay time.Duration
	var drop bool
	for _, f := range matched {
		switch f.Kind {
		case FaultDown:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case FaultThrottle:
			http.Error(w, "rate exceeded", http.StatusTooManyRequests)
			return
		case FaultCut:
			panic(http.ErrAbortHandler)
		case FaultSlow:
			pause(r, f.Delay.Std())
		case FaultLate:
			answerDelay += f.Delay.Std()
		case FaultDrop:
			drop = true
		}
	}
	if answerDelay == 0 && !drop {
		p.serviceMux.ServeHTTP(w, r)
		return
	}
	held := &heldAnswer{header: http.Header{}, status: http.StatusOK}
	p.serviceMux.ServeHTTP(held, r)
	pause(r, answerDelay)
	if drop {
		panic(http.ErrAbortHandler)
	}
	held.send(w)
}

type lagKey struct{}

// withLag stores the delay of a FaultLag in the context of a call.
func withLag(ctx context.Context, matched []Fault) context.Context {
	for _, f := range matched {
		if f.Kind == FaultLag {
			ctx = context.WithValue(ctx, lagKey{}, f.Delay.Std())
		}
	}
	return ctx
}

// lagOf returns the delay that withLag stored, or 0.
func lagOf(ctx context.Context) time.Duration {
	d, _ := ctx.Value(lagKey{}).(time.Duration)
	return d
}

// pause waits for d, or until the request is cancelled.
func pause(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// heldAnswer buffers an answer until send.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (h *heldAnswer) Header() http.Header { return h.header }

func (h *heldAnswer) WriteHeader(status int) { h.status = status }

func (h *heldAnswer) Write(b []byte) (int, error) {
	h.body = append(h.body, b...)
	return len(b), nil
}

func (h *heldAnswer) send(w http.ResponseWriter) {
	maps.Copy(w.Header(), h.header)
	w.WriteHeader(h.status)
	_, _ = w.Write(h.body)
}
