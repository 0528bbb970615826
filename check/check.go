// Package check finds faults of a configuration before it is sent to the store, and
// tells what it changes of the version in force. It is pure, and no finding has a key.
package check

import (
	"fmt"
	"net"
	"strings"
)

// Severity tells what a finding is worth.
type Severity string

// Severities. A note tells of something that needs no correction.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
	Note    Severity = "note"
)

// Finding is one fault or difference.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place names a queue, a pool or a workspace, or a line, or both.
	Place string `json:"place"`
	Text  string `json:"text"`
}

// Number is a number as it was written.
type Number struct {
	Value   float64
	Written bool
}

// Draft is a configuration as it was written: nothing is clamped or left out.
type Draft struct {
	Line    int // of the version's number, or 1
	Version int64
	Queues  []Queue
	Pools   []Pool
	// KeysRequired tells that the list of workspaces is there.
	KeysRequired bool
	Workspaces   []Workspace
	Limits       *Limits
	// Faults are what didn't decode.
	Faults []Finding
}

// Queue is a queue of a draft.
type Queue struct {
	Line                     int
	Name, Host, Prefix, Pool string
	Public                   bool
	Rank                     int
	Target, Attempts, Slack  Number // Target is in ms
}

// Pool is a pool of a draft.
type Pool struct {
	Line    int
	Name    string
	Standby bool
}

// Workspace is a workspace of a draft.
type Workspace struct {
	Line   int
	Name   string
	Keys   []string
	Weight Number
	// Quota for CPU in thousandths of a core, memory in MiB and GPUs. 0 is no limit.
	CPU, Mem, GPU Number
}

// Limits are the limits of requests of a draft.
type Limits struct {
	Line      int
	BodyBytes Number
}

// oneCore is the demand of a subtask of one core, in thousandths.
const oneCore = 1000

// report collects findings.
type report struct{ list []Finding }

func (r *report) add(s Severity, place, format string, args ...any) {
	r.list = append(r.list, Finding{s, place, fmt.Sprintf(format, args...)})
}

// Line returns the place of something without a name.
func Line(n int) string { return fmt.Sprintf("line %d", max(n, 1)) }

// place returns the place of something that may have a name.
func place(kind, name string, line int) string {
	if name == "" {
		return Line(line)
	}
	return fmt.Sprintf("%s %q, %s", kind, name, Line(line))
}

func (q *Queue) place() string     { return place("queue", q.Name, q.Line) }
func (p *Pool) place() string      { return place("pool", p.Name, p.Line) }
func (w *Workspace) place() string { return place("workspace", w.Name, w.Line) }

// Check returns the findings of a configuration by itself.
func (d *Draft) Check() []Finding {
	r := &report{list: append([]Finding(nil), d.Faults...)}
	if d.Version <= 0 {
		r.add(Warning, Line(d.Line), "the version number is missing or not above 0")
	}
	d.checkQueues(r)
	d.checkPools(r)
	d.checkWorkspaces(r)
	if l := d.Limits; l != nil {
		positive(r, Line(l.Line), "limit of a body's bytes", l.BodyBytes, "the default limit applies")
	}
	return r.list
}

// names reports missing and repeated names.
type names map[string]bool

func (n names) check(r *report, kind, name, place string) {
	switch {
	case name == "":
		r.add(Error, place, "a %s without a name", kind)
	case n[name]:
		r.add(Error, place, "an earlier %s has the same name", kind)
	}
	n[name] = true
}

func (d *Draft) checkQueues(r *report) {
	pools := make(map[string]bool, len(d.Pools))
	for i := range d.Pools {
		pools[d.Pools[i].Name] = true
	}
	type match struct{ host, prefix string }
	first := make(map[match]*Queue, len(d.Queues))
	seen := names{}
	for i := range d.Queues {
		q := &d.Queues[i]
		seen.check(r, "queue", q.Name, q.place())
		if q.Pool == "" || !pools[q.Pool] {
			r.add(Error, q.place(), "there is no pool %q: its jobs are accepted and never start", q.Pool)
		}
		if !strings.HasPrefix(q.Prefix, "/") || !strings.HasSuffix(q.Prefix, "/") {
			r.add(Error, q.place(), "prefix %q does not begin and end with /", q.Prefix)
		}
		if _, _, err := net.SplitHostPort(q.Host); err == nil {
			r.add(Warning, q.place(), "never matches: host %q has a port, and that of a request is ignored", q.Host)
		}
		host := strings.ToLower(q.Host)
		earlier := first[match{host, q.Prefix}]
		if earlier == nil {
			// Of two queues with the same prefix the first is chosen, also if it is for any host.
			earlier = first[match{"", q.Prefix}]
		}
		if earlier != nil {
			r.add(Warning, q.place(), "never matches: %s has the same host, or any, and the same prefix", earlier.place())
		} else {
			first[match{host, q.Prefix}] = q
		}
		positive(r, q.place(), "target", q.Target, "only the slack factor is left as a deadline")
		effect := "a subtask may fail without limit"
		if q.Attempts.Value < 0 {
			effect = "a negative limit has no defined effect"
		}
		positive(r, q.place(), "limit of attempts", q.Attempts, effect)
		if q.Slack.Value < 0 {
			r.add(Warning, q.place(), "the slack factor is %v: it counts as 0", q.Slack.Value)
		}
	}
}

// positive reports a number that is missing, 0 or negative.
func positive(r *report, place, what string, n Number, effect string) {
	switch {
	case !n.Written:
		r.add(Warning, place, "the %s is missing: %s", what, effect)
	case n.Value <= 0:
		r.add(Warning, place, "the %s is %v: %s", what, n.Value, effect)
	}
}

func (d *Draft) checkPools(r *report) {
	used := make(map[string]bool, len(d.Pools))
	for i := range d.Queues {
		used[d.Queues[i].Pool] = true
	}
	seen := names{}
	for i := range d.Pools {
		p := &d.Pools[i]
		seen.check(r, "pool", p.Name, p.place())
		switch {
		case !used[p.Name] && !p.Standby:
			r.add(Note, p.place(), "no queue uses it, and it is not on standby")
		case used[p.Name] && p.Standby:
			r.add(Warning, p.place(), "a queue uses it, and it is on standby: no host is on for its jobs")
		}
	}
}

func (d *Draft) checkWorkspaces(r *report) {
	owners := map[string]*Workspace{}
	seen := names{}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		seen.check(r, "workspace", w.Name, w.place())
		keys, empty := 0, 0
		shared := map[*Workspace]int{} // keys of earlier workspaces
		order := []*Workspace{}
		for _, k := range w.Keys {
			if k == "" {
				empty++
				continue
			}
			keys++
			if o := owners[k]; o == nil {
				owners[k] = w
			} else if o != w {
				if shared[o]++; shared[o] == 1 {
					order = append(order, o)
				}
			}
		}
		if keys == 0 {
			r.add(Error, w.place(), "it has no key: nobody can submit jobs of it")
		}
		if empty > 0 {
			r.add(Warning, w.place(), "%d of its keys are empty and match no call", empty)
		}
		for _, o := range order {
			r.add(Error, w.place(), "%d of its keys are also those of %s, to which they belong", shared[o], o.place())
		}
		positive(r, w.place(), "weight", w.Weight, "its jobs are never excess, and share as those of a workspace with the mean weight")
		w.checkQuota(r)
	}
}

func (w *Workspace) checkQuota(r *report) {
	for _, q := range w.quota() {
		switch {
		case q.Value < 0:
			r.add(Warning, w.place(), "the quota of %s is %v: it counts as no limit", q.name, q.Value)
		case q.Value > 0 && q.Value < 1:
			r.add(Warning, w.place(), "the quota of %s is %v: below 1 it counts as no limit", q.name, q.Value)
		}
	}
	if w.CPU.Value >= 1 && w.CPU.Value < oneCore {
		r.add(Warning, w.place(), "no subtask of one core fits into the CPU quota of %v thousandths: larger ones run one at a time", w.CPU.Value)
	}
}

// resource is a quota with the resource's name.
type resource struct {
	name string
	Number
}

func (w *Workspace) quota() [3]resource {
	return [3]resource{{"CPU", w.CPU}, {"memory", w.Mem}, {"GPU", w.GPU}}
}
