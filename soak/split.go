package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"shallotpaddle/elect"
	"shallotpaddle/fakes/site"
	"shallotpaddle/plat"
)

// Pool splits follow each other, with a pause of at most splitPause between two.
const (
	minSplit   = 5 * time.Second
	maxSplit   = 20 * time.Second
	splitPause = 6 * time.Second
)

// splitSchedule returns the pool splits of a run.
func splitSchedule(seed uint64, d time.Duration) []event {
	r := rand.New(rand.NewPCG(seed, streamSplit))
	pause := func() time.Duration { return time.Duration(r.Float64() * float64(splitPause)) }
	var out []event
	for at := firstFault + pause()/2; at < d; at += pause() {
		length := min(minSplit+time.Duration(r.Float64()*float64(maxSplit-minSplit)), d-at)
		out = append(out, event{"pool split", at, length, r.IntN(1 << 16), r.Float64()})
		at += length
	}
	return out
}

// splitPlan is the manner of a pool split.
type splitPlan struct {
	pool      int       // whose owner decides on the links to the store
	byCentre  bool      // one group has a data centre, the other one the rest
	centre    int       // that data centre
	both      bool      // one worker of each pool is reached by both groups
	nobodys   bool      // a third of the workers of each pool is reached by no group
	cutOwner  bool      // the owner's group is cut from the store
	cutOthers bool      // so is the other group
	silent    bool      // the links to the store are silent, else closed
	path      site.Path // of calls from one group to the other
}

// drawSplit draws the manner of a split.
func drawSplit(r *rand.Rand) splitPlan {
	p := splitPlan{
		pool: r.IntN(len(site.Pools)), byCentre: r.IntN(2) == 0, centre: r.IntN(centres), both: r.IntN(4) == 0, nobodys: r.IntN(5) == 0,
		silent: r.IntN(2) == 0, path: []site.Path{site.Silent, site.Silent, site.Silent, site.Reset, site.Refused}[r.IntN(5)],
	}
	n := r.IntN(10)
	p.cutOwner, p.cutOthers = n < 8, n < 2
	return p
}

// split is a split that lasts.
type split struct {
	splitPlan
	group  map[string]int  // 0 or 1, by entry
	groups map[string]bits // that reach a worker, by its ID
}

// bits has a bit for each group of entries.
type bits uint8

const bothGroups bits = 0b11

// reachedBy returns the groups that reach a worker. One that has joined since has one of them.
func (p *split) reachedBy(worker string) bits {
	if b, ok := p.groups[worker]; ok {
		return b
	}
	return 1 << (worker[len(worker)-1] & 1)
}

// newSplit puts the entries and the workers of each pool into groups.
func (s *Soak) newSplit(plan splitPlan, r *rand.Rand) *split {
	p := &split{splitPlan: plan, group: map[string]int{}, groups: map[string]bits{}}
	side := func(i int, centre string) int {
		if plan.byCentre && centre == centreName(plan.centre) || !plan.byCentre && i%2 == 1 {
			return 1
		}
		return 0
	}
	for i, n := range r.Perm(len(s.entries)) {
		en := s.entries[n]
		p.group[en.Name] = side(i, en.Centre)
	}
	s.mu.Lock()
	list := slices.Clone(s.pool)
	s.mu.Unlock()
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	byPool := map[string]int{} // workers seen
	for _, w := range list {
		i := byPool[w.Pool]
		byPool[w.Pool]++
		switch b := bits(1) << side(i, w.Centre); {
		case plan.both && i == 0:
			p.groups[w.ID] = bothGroups
		case plan.nobodys && i%3 == 2:
			p.groups[w.ID] = 0
		default:
			p.groups[w.ID] = b
		}
	}
	return p
}

// sender is the entry that holds a fencing token, and its pool.
type sender struct{ pool, entry string }

// recordSender remembers the holder of a fencing token.
func (s *Soak) recordSender(it plat.Item) {
	pool, ok := strings.CutPrefix(it.Key, elect.Key(""))
	var v struct{ Node string }
	if ok && json.Unmarshal(it.Value, &v) == nil {
		s.senders.Store(it.Rev, sender{pool, v.Node})
	}
}

// path returns the path of calls to a worker with a fencing token.
func (s *Soak) path(worker string, fence int64) site.Path {
	p := s.split.Load()
	v, ok := s.senders.Load(fence)
	if p == nil || !ok {
		return site.Open
	}
	from := v.(sender)
	group := p.group[from.entry]
	if p.reachedBy(worker)>>group&1 == 1 {
		return site.Open
	}
	s.checks.countLost(fmt.Sprintf("%s group %d", from.pool, group))
	return p.path
}

// owner returns the entry that the store has as a pool's leader, or "".
func (s *Soak) owner(pool string) string {
	it, ok := s.kv.Peek(elect.Key(pool))
	if v, known := s.senders.Load(it.Rev); ok && known {
		return v.(sender).entry
	}
	return ""
}

// splitPools splits the entries and the workers of each pool into two groups. Two splits
// exclude each other.
func splitPools(ctx context.Context, s *Soak, e event) bool {
	r := rand.New(rand.NewPCG(uint64(e.Pick), streamSplit))
	plan := drawSplit(r)
	p := s.newSplit(plan, r)
	if !s.split.CompareAndSwap(nil, p) {
		return false
	}
	defer s.split.Store(nil)
	pool := slices.Sorted(maps.Values(site.Pools))[plan.pool]
	owner := s.owner(pool)
	s.checks.log.Info().Str("pool", pool).Str("owner", owner).Str("plan", fmt.Sprintf("%+v", plan)).
		Str("entries", fmt.Sprint(p.group)).Str("workers", fmt.Sprint(p.groups)).Msg("pools split")
	for _, en := range s.entries {
		withOwner := p.group[en.Name] == p.group[owner]
		if withOwner && plan.cutOwner || !withOwner && plan.cutOthers {
			defer en.store.away(plan.silent)()
		}
	}
	wait(ctx, e.For)
	s.checks.log.Info().Str("owner", s.owner(pool)).Msg("pools joined")
	return true
}

// away makes a link carry nothing, and returns the function that undoes that.
func (l *link) away(silent bool) func() {
	if !silent {
		l.cut()
		return l.join
	}
	up := l.toxic("timeout", "upstream", 1, `{"timeout":0}`)
	down := l.toxic("timeout", "downstream", 1, `{"timeout":0}`)
	return func() {
		up()
		down()
	}
}
