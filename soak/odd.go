package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/platform"
)

// oddGap is the mean pause between the begins of two odd entries, oddMost how long one lasts
// at most, and oddPeriod how often it is written: its worker writes its own entry meanwhile.
const (
	oddGap    = 800 * time.Millisecond
	oddMost   = 3 * time.Second
	oddPeriod = 50 * time.Millisecond
)

// oddField is a field of a worker's entry as another writer may leave it, as JSON. other is a
// worker of another pool.
type oddField struct {
	field string
	value func(other *worker) string
}

var oddFields = []oddField{
	{"born", func(*worker) string { return fmt.Sprint(time.Now().Add(time.Hour).UnixMilli()) }},
	{"born", func(*worker) string { return fmt.Sprint(math.MaxInt64) }},
	{"born", func(*worker) string { return "-1" }},
	{"born", func(*worker) string { return "1e400" }},
	{"born", func(*worker) string { return `"x"` }},
	{"Address", func(other *worker) string { return strconv.Quote(other.Address) }},
	{"Address", func(*worker) string { return `"127.0.0.1:99999"` }},
	{"Address", func(*worker) string { return `"127.0.0.1:x\nA: b"` }},
	{"Service", func(other *worker) string { return strconv.Quote(other.Pool) }},
	{"Service", func(*worker) string { return `"nobody's"` }},
	{"State", func(*worker) string { return `"odd"` }},
	{"RemainingMs", func(*worker) string { return "1e300" }},
	{"Labels", func(*worker) string { return nested(20_000) }},
	{"Extra", func(*worker) string { return nested(9_000) }},
}

// nested returns a value that is nested so deep.
func nested(deep int) string { return strings.Repeat("[", deep) + strings.Repeat("]", deep) }

// oddSchedule returns the odd entries of a run.
func oddSchedule(seed uint64, d time.Duration) []event {
	r := rand.New(rand.NewPCG(seed, streamOdd))
	var out []event
	for at := firstFault; at < d; at += minGap + time.Duration(r.Float64()*2*float64(oddGap)) {
		length := 200*time.Millisecond + time.Duration(r.Float64()*float64(oddMost))
		out = append(out, event{"entry odd", at, min(length, d-at), r.IntN(1 << 16), r.Float64()})
	}
	return out
}

// oddEntry makes the entry of a worker odd, or adds an odd copy of it under an ID that no worker
// has.
func oddEntry(ctx context.Context, s *Soak, e event) bool {
	w, other := s.worker(e.Pick), s.worker(e.Pick+1)
	for i := 2; other.Pool == w.Pool && i < s.opt.Workers; i++ {
		other = s.worker(e.Pick + i)
	}
	to, odd := platform.WorkerPrefix+w.ID, oddFields[e.Pick/8%len(oddFields)]
	if e.Size < 0.3 {
		to = platform.WorkerPrefix + "nobody"
		defer s.kv.Delete(to)
	}
	ctx, done := context.WithTimeout(ctx, e.For)
	defer done()
	every(ctx, oddPeriod, func() {
		list := s.workers.Registered()
		i := slices.IndexFunc(list, func(r hosts.Worker) bool { return r.ID == w.ID })
		if i < 0 {
			return
		}
		fields := s.site.Registration(list[i])
		delete(fields, odd.field)
		b, _ := json.Marshal(fields) // encoding plain values can't fail
		s.kv.Put(to, fmt.Appendf(b[:len(b)-1], `,%q:%s}`, odd.field, odd.value(other)))
	})
	return true
}
