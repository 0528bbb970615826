package main

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// promises are what the soak checks, in the order of the report.
var promises = []struct{ name, text string }{
	{"KNOWN", "an accepted job is known at every entry"},
	{"ENDS", "an accepted job ends; one that lasts is at work"},
	{"STATE", "a state that is shown is true and stays"},
	{"REFUSED", "a refused hand-in never runs"},
	{"TWICE", "nothing runs twice at once, or after its noted end"},
	{"ORDER", "steps and times are kept"},
	{"LIMIT", "no worker is over its capacity"},
	{"BUDGET", "no start after the last attempt"},
	{"ROUTE", "no more subtasks on a worker than the step allows"},
	{"UNASKED", "nothing starts that was not handed in, or was cancelled"},
	{"DRAIN", "nothing starts on a worker that leaves"},
	{"ONE", "orders for a machine have one sender for each token"},
	{"MIXED", "a wave is completed when it is shown so, and in the end"},
	{"CONFIG", "a configuration is in force in time, and never back"},
	{"KEYS", "calls with a wrong or removed key fail, and those with a valid one don't"},
	{"QUOTA", "no start brings a workspace above its quota"},
	{"RECOVER", "hand-ins are accepted soon after the last fault"},
	{"MEMORY", "a process stays within its memory"},
	{"EXIT", "a process ends when told to, in time, and never by itself"},
	{"SOAK", "the soak itself works"},
}

// checkedAtStart are the promises that the workers check at each start.
var checkedAtStart = []string{"TWICE", "ORDER", "LIMIT", "BUDGET", "ROUTE", "UNASKED", "DRAIN"}

// contact is how long there must have been no fault for the promises that hold for
// entries in touch.
const contact = 3 * time.Second

// needsCalm tells whether the promise that a violation is of holds for entries in touch
// only: one that is cut off can't know of a cancel, or of a worker that leaves.
func needsCalm(violation string) bool {
	return strings.HasPrefix(violation, "DRAIN") || strings.HasSuffix(violation, replacedQuota) ||
		strings.HasSuffix(violation, "after its cancellation")
}

// Violation is a promise that was broken.
type Violation struct {
	Promise string        `json:"promise"`
	At      time.Duration `json:"at_ns"` // since the soak's start
	Text    string        `json:"text"`
}

// checks counts checks, violations and faults, and knows whether there is a fault now.
type checks struct {
	log         *log.Logger
	onViolation func(promise string)

	mu         sync.Mutex
	begun      time.Time
	active     int       // faults
	harsh      int       // those of them that are not gentle
	lastFault  time.Time // its end
	lastHarsh  time.Time // the same for those that are not gentle
	cut        int       // faults that may keep entries from the store
	lastCut    time.Time // the end of the last one
	unanswered []time.Time
	stalled    time.Duration // for which nothing ran here, in all
	slowest    time.Duration // from the end of a fault to a hand-in that was accepted
	counts     map[string]int
	violations []Violation
	read       int // violations of the workers that were read
	excused    int
	faults     map[string]int
	skipped    int
	lost       map[string]int // calls that pool splits lost, by pool and group of entries
}

func newChecks(logger *log.Logger) *checks {
	return &checks{log: logger, begun: time.Now(), counts: map[string]int{}, faults: map[string]int{}, lost: map[string]int{}, onViolation: func(string) {}}
}

// check counts a check of a promise, which is broken unless it holds.
func (s *Soak) check(promise string, holds bool, format string, args ...any) {
	s.checks.check(promise, holds, format, args...)
}

func (c *checks) check(promise string, holds bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[promise]++
	if holds {
		return
	}
	v := Violation{promise, time.Since(c.begun), fmt.Sprintf(format, args...)}
	c.violations = append(c.violations, v)
	c.log.Error().Str("promise", promise).Msg(v.Text)
	c.onViolation(promise)
}

// disturb records the begin of a fault, and returns the function that records its end.
// A gentle one leaves all entries in touch, one of workers leaves them in touch with the store.
func (c *checks) disturb(kind string) func() {
	gentle := faults[kind].gentle
	reaches := gentle || strings.HasPrefix(kind, "worker")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active++
	if !gentle {
		c.harsh++
	}
	if !reaches {
		c.cut++
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.active--
		c.lastFault = time.Now()
		if !gentle {
			c.harsh--
			c.lastHarsh = c.lastFault
		}
		if !reaches {
			c.cut--
			c.lastCut = c.lastFault
		}
		c.unanswered = append(c.unanswered, c.lastFault)
	}
}

const (
	// stallTick is how often the soak looks for stalls of the machine.
	stallTick = 20 * time.Millisecond
	// minStall is the shortest stall that counts: those of a busy machine without one are
	// some milliseconds long.
	minStall = 100 * time.Millisecond
)

// watchStalls measures for how long nothing ran on the machine, until the context ends.
// For the promises that have a time, a stall counts as a fault of all entries.
func (c *checks) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		wait(ctx, stallTick)
		now := time.Now()
		if late := now.Sub(last) - stallTick; late > minStall {
			c.mu.Lock()
			c.stalled += late
			c.lastHarsh, c.lastCut = now, now
			c.mu.Unlock()
			c.log.Info().Dur("for", late).Msg("machine stalled")
		}
		last = now
	}
}

// stallTime returns for how long nothing ran on the machine so far.
func (c *checks) stallTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled
}

// isCalm tells whether all entries have been in touch for the time contact.
func (c *checks) isCalm() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.harsh == 0 && time.Since(c.lastHarsh) > contact
}

// reachesStore tells whether all entries have reached the store for the time contact.
func (c *checks) reachesStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut == 0 && time.Since(c.lastCut) > contact
}

// excuse counts a violation that doesn't count because of a fault.
func (c *checks) excuse(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.excused++
	c.log.Info().Msg("excused: " + text)
}

// awaitEnd waits until there is no fault, and returns the end of the last one.
func (c *checks) awaitEnd(ctx context.Context) time.Time {
	for {
		c.mu.Lock()
		active, last := c.active, c.lastFault
		c.mu.Unlock()
		if active == 0 || ctx.Err() != nil {
			return last
		}
		wait(ctx, 20*time.Millisecond)
	}
}

// accepted records that a hand-in that was sent at a time was accepted.
func (c *checks) accepted(sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.unanswered[:0]
	for _, end := range c.unanswered {
		if sent.Before(end) {
			left = append(left, end)
			continue
		}
		c.slowest = max(c.slowest, time.Since(end))
	}
	c.unanswered = left
}

func (c *checks) countFault(kind string, caused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if caused {
		c.faults[kind]++
	} else {
		c.skipped++
	}
}

func (c *checks) countLost(by string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[by]++
}

// violationsPeriod is how often the violations that the workers found are read.
const violationsPeriod = 50 * time.Millisecond

// readViolations adds the violations that the workers have found since the last call.
func (s *Soak) readViolations() {
	calm, all := s.checks.isCalm(), s.workers.Violations()
	s.checks.mu.Lock()
	fresh := all[s.checks.read:]
	s.checks.read = len(all)
	s.checks.mu.Unlock()
	for _, text := range fresh {
		if needsCalm(text) && !calm {
			s.checks.excuse(text)
			continue
		}
		name, rest, _ := strings.Cut(text, " ")
		s.check(name, false, "%s", rest)
	}
}

// report returns the counts so far.
func (s *Soak) report() Report {
	s.mu.Lock()
	r := Report{Seed: s.opt.Seed, Entries: s.opt.Entries, Workers: s.opt.Workers, Jobs: map[string]int{}}
	for _, l := range s.loads {
		r.Jobs[l.status.String()]++
	}
	s.mu.Unlock()
	r.Starts, r.Orders, r.Throttled = s.workers.Starts(), s.site.Orders(), s.site.Throttled()
	s.checks.mu.Lock()
	defer s.checks.mu.Unlock()
	c := s.checks
	r.Took, r.Faults, r.Skipped, r.Excused, r.Stalled = time.Since(c.begun), maps.Clone(c.faults), c.skipped, c.excused, c.stalled
	r.SlowestRecovery, r.Checks, r.Lost = c.slowest, maps.Clone(c.counts), maps.Clone(c.lost)
	r.Violations = append([]Violation{}, c.violations...)
	for _, name := range checkedAtStart {
		r.Checks[name] += r.Starts
	}
	r.Checks["ONE"] += r.Orders
	return r
}
