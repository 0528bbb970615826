package fair

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"strings"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/shift"
	"shallotpaddle/steps"
)

// Kind is the resource of which a subtask takes the largest part of a worker: subtasks of
// different kinds don't wait for each other, as far as the other resources go.
type Kind uint8

// Kinds of subtasks.
const (
	CPU Kind = iota
	Mem
	GPU
)

// Kinds is the number of kinds.
const Kinds = 3

// Room is an amount of resources in a document.
type Room struct {
	CPU int `json:"cpu,omitempty"`
	Mem int `json:"mem,omitempty"`
	GPU int `json:"gpu,omitempty"`
}

func (r Room) resources() hosts.Resources { return hosts.Resources{CPU: r.CPU, Mem: r.Mem, GPU: r.GPU} }

// Load is the load of a full pool, as its owner publishes it. One without rows is of a pool that
// is not full.
type Load struct {
	// At is when it was measured, in Unix milliseconds of the owner's clock.
	At int64 `json:"at"`
	// Host is the largest worker, and Room the most that is free of each resource on any worker.
	Host Room `json:"host"`
	Room Room `json:"room"`
	// Rate is the work that the pool does in a second, by Kind.
	Rate []float64 `json:"rate,omitempty"`
	// Rows are ordered by kind, size and rank.
	Rows []Row `json:"rows,omitempty"`
	// Spent are the workspaces that have used up their entitlement.
	Spent []string `json:"spent,omitempty"`
}

// Row has the waits of jobs of one rank whose subtasks are of one kind, and of a size or a larger
// one. Work of larger subtasks is not in it: smaller ones are started in room that these leave.
type Row struct {
	Kind Kind `json:"kind"`
	// Size is what a subtask takes of a host, as CPU; see shift.ShareCPU.
	Size int `json:"size"`
	Rank int `json:"rank"`
	// Entitled and Excess are the least waits of a job within the entitlement of its workspace and
	// of an excess job, and End that of a job of a later rank, in milliseconds.
	Entitled int64 `json:"entitled,omitempty"`
	Excess   int64 `json:"excess,omitempty"`
	End      int64 `json:"end,omitempty"`
	// Spaces has the workspaces whose own jobs make the waits longer.
	Spaces map[string]SpaceWaits `json:"spaces,omitempty"`
}

// SpaceWaits are the least waits of a workspace's jobs within its entitlement and of its excess jobs.
type SpaceWaits struct {
	Entitled Wait `json:"entitled,omitzero"`
	Excess   Wait `json:"excess,omitzero"`
	// Quota and Beyond are the same as far as they follow from the workspace's quota, also where
	// the pool has room.
	Quota  Wait `json:"quota,omitzero"`
	Beyond Wait `json:"beyond,omitzero"`
}

// longest returns the longest wait.
func (s *SpaceWaits) longest() int64 {
	return max(s.Entitled.Late, s.Excess.Late, s.Quota.Late, s.Beyond.Late)
}

// Wait is how long a job waits, in milliseconds, if it can be on time then, and if it can't: late
// jobs come after those that can.
type Wait struct {
	Soon int64 `json:"soon,omitempty"`
	Late int64 `json:"late,omitempty"`
}

// Waiting is a job that waits.
type Waiting struct {
	Workspace    string
	Rank         int
	Excess, Late bool
	// Remaining is the expected time of the longest chain of unfinished steps. Useful is for how
	// much longer a result is worth anything.
	Remaining, Useful time.Duration
	Parts             []Part
}

// Part is the work of a step that nobody has begun.
type Part struct {
	Kind Kind
	Size int
	// Work is what can begin now, and Later what can begin when other steps have ended, in
	// thousandths of a core of the largest worker times seconds.
	Work, Later float64
}

// PartOf returns the kind and size of a step's subtasks, and the work of n of them that take a time
// each. It returns false for steps that don't wait for others of their size: those that
// take only what is left, or run on certain workers only.
func PartOf(s *steps.Step, n int, each time.Duration, host hosts.Resources) (Part, bool) {
	if s.Fills || s.LongRunning || s.Label != "" || n <= 0 {
		return Part{}, false
	}
	need := hosts.Resources{CPU: s.CPU, Mem: s.Mem, GPU: s.GPU}
	size := shift.ShareCPU(need, host)
	if size <= 0 {
		return Part{}, false
	}
	kind := CPU
	switch {
	case size == s.CPU:
	case size == shift.ShareCPU(hosts.Resources{Mem: s.Mem}, host):
		kind = Mem
	default:
		kind = GPU
	}
	return Part{Kind: kind, Size: size, Work: float64(n) * float64(size) * each.Seconds()}, true
}

// Pool is what Measure needs to know of a pool.
type Pool struct {
	Now time.Time
	// Host is the largest worker, Free the most that is free of each resource on any worker, and
	// Total the resources that jobs which end can use in all.
	Host, Free, Total hosts.Resources
	// Done is the work that was done in a second lately, by Kind.
	Done [Kinds]float64
	// Quota returns the quota of a workspace, 0 in a resource for none.
	Quota func(workspace string) hosts.Resources
}

// rate returns the most work that may be done in a second. What was measured counts only if it is
// more than the pool's capacity: then work is less than expected.
func (p *Pool) rate(k Kind) float64 { return max(ofKind(p.Total, k, p.Host), p.Done[k]) }

// ofKind returns what r has of the resource of a kind, as CPU of the largest worker.
func ofKind(r hosts.Resources, k Kind, host hosts.Resources) float64 {
	scaled := func(v, of int) float64 {
		if of <= 0 {
			return 0
		}
		return float64(v) * float64(host.CPU) / float64(of)
	}
	switch k {
	case CPU:
		return float64(r.CPU)
	case Mem:
		return scaled(r.Mem, host.Mem)
	default:
		return scaled(r.GPU, host.GPU)
	}
}

const (
	// maxSizes is the largest number of sizes of one kind in a Load, maxRanks that of ranks with rows
	// of one size, and maxSpaces that of workspaces in a row. They bound the document, which each entry
	// reads every second: the smallest has a link of 10 Mbit/s.
	maxSizes, maxRanks, maxSpaces = 4, 8, 32
	// minOwnWait is by how much a workspace's own jobs must make a wait longer to be in a row.
	minOwnWait = time.Second
	// waitStep is the resolution of waits.
	waitStep = 100 * time.Millisecond
)

// Measure returns the load of a pool from its waiting jobs in the order of service. Its waits are
// the least ones: they leave out jobs of the same rank that are worth nothing any more, those that
// are yet to come, work that is under way, larger subtasks, and later steps that may begin later still.
func Measure(ordered []Waiting, p *Pool) Load {
	l := Load{At: p.Now.UnixMilli(), Host: Room(p.Host), Room: Room(p.Free)}
	for k := range Kind(Kinds) {
		l.Rate = append(l.Rate, math.Round(p.rate(k)))
		if p.rate(k) <= 0 {
			continue
		}
		for _, size := range sizes(ordered, k) {
			l.Rows = append(l.Rows, measureRows(ordered, p, k, size)...)
		}
	}
	return l
}

// Longest returns the longest wait in a load.
func (l *Load) Longest() time.Duration {
	var ms int64
	for i := range l.Rows {
		ms = max(ms, l.Rows[i].End)
		for _, s := range l.Rows[i].Spaces {
			ms = max(ms, s.longest())
		}
	}
	return time.Duration(ms) * time.Millisecond
}

// sizes returns sizes of waiting subtasks of a kind which divide their work into equal parts, the
// largest included.
func sizes(ordered []Waiting, k Kind) []int {
	work, all := map[int]float64{}, 0.0
	for i := range ordered {
		for _, part := range ordered[i].Parts {
			if part.Kind == k {
				work[part.Size] += part.Work + part.Later
				all += part.Work + part.Later
			}
		}
	}
	list := make([]int, 0, len(work))
	for size := range work {
		list = append(list, size)
	}
	slices.Sort(list)
	if len(list) <= maxSizes {
		return list
	}
	var out []int
	sum := 0.0
	for i, size := range list {
		sum += work[size]
		if sum >= all*float64(len(out)+1)/maxSizes || i == len(list)-1 {
			out = append(out, size)
		}
	}
	return out
}

// lane is the walk over the jobs of one kind up to a size, in the order of service.
type lane struct {
	pool  *Pool
	kind  Kind
	work  float64            // before the current job
	own   map[string]float64 // the same, by workspace
	later laterWork
	waits map[string]*SpaceWaits
	row   Row
	seen  bool // row has a rank
	rows  []Row
}

func measureRows(ordered []Waiting, p *Pool, k Kind, size int) []Row {
	w := &lane{pool: p, kind: k, own: map[string]float64{}}
	for i := range ordered {
		work, after := 0.0, 0.0
		for _, part := range ordered[i].Parts {
			if part.Kind == k && part.Size <= size {
				work += part.Work
				after += part.Later
			}
		}
		if work+after > 0 {
			w.add(&ordered[i], work, after, size)
		}
	}
	w.endRow()
	return keptRanks(w.rows)
}

// keptRanks returns at most maxRanks of the rows of a size, which divide the work into equal parts,
// the last one included. Jobs of a rank without a row wait at least as long as the row before tells.
func keptRanks(rows []Row) []Row {
	if len(rows) <= maxRanks {
		return rows
	}
	var out []Row
	last := len(rows) - 1
	for i := range rows {
		if i == last || len(out) < maxRanks-1 && rows[i].End*maxRanks >= rows[last].End*int64(len(out)+1) {
			out = append(out, rows[i])
		}
	}
	return out
}

// add takes a job into account. In its rank, one that is worth nothing any more comes last.
func (w *lane) add(j *Waiting, work, after float64, size int) {
	begins := w.poolWait()
	if !w.seen || w.row.Rank != j.Rank {
		w.endRow()
		w.seen, w.waits = true, map[string]*SpaceWaits{}
		w.row = Row{Kind: w.kind, Size: size, Rank: j.Rank, Entitled: w.ms(w.poolWait()), Excess: w.ms(w.poolWait())}
	}
	w.work += work
	w.own[j.Workspace] += work
	w.addLater()
	if after > 0 {
		heap.Push(&w.later, laterPart{begins + j.Remaining, j.Workspace, after})
	}
	if j.Remaining > j.Useful {
		return
	}
	// A new job of the workspace comes after this one, unless only the new one can be on time.
	s := w.waits[j.Workspace]
	if s == nil {
		s = &SpaceWaits{}
		w.waits[j.Workspace] = s
	}
	pool, quota := &s.Entitled, &s.Quota
	if j.Excess {
		pool, quota = &s.Excess, &s.Beyond
	} else {
		w.row.Excess = w.ms(w.poolWait())
	}
	pool.raise(w.ms(w.poolWait()), j.Late)
	quota.raise(w.ms(w.quotaWait(j.Workspace, size)), j.Late)
}

// raise makes a wait at least as long as that after a waiting job.
func (w *Wait) raise(ms int64, late bool) {
	w.Late = max(w.Late, ms)
	if !late {
		w.Soon = max(w.Soon, ms)
	}
}

// addLater takes the later steps into account of those jobs before that can have ended by now: a long
// chain of steps takes little room at a time.
func (w *lane) addLater() {
	for len(w.later) > 0 && w.later[0].at <= w.poolWait() {
		p := heap.Pop(&w.later).(laterPart)
		w.work += p.work
		w.own[p.workspace] += p.work
	}
}

// laterPart is the work of a job's later steps, and when the job ends at the earliest.
type laterPart struct {
	at        time.Duration
	workspace string
	work      float64
}

// laterWork is a heap of later parts, the one whose job ends first on top.
type laterWork []laterPart

func (l laterWork) Len() int           { return len(l) }
func (l laterWork) Less(i, j int) bool { return l[i].at < l[j].at }
func (l laterWork) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *laterWork) Push(x any)        { *l = append(*l, x.(laterPart)) }

// Pop removes the last part.
func (l *laterWork) Pop() any {
	n := len(*l) - 1
	x := (*l)[n]
	*l = (*l)[:n]
	return x
}

// endRow adds the row of a rank.
func (w *lane) endRow() {
	if !w.seen {
		return
	}
	w.row.End = w.ms(w.poolWait())
	w.row.Spaces = w.longestWaits()
	w.rows = append(w.rows, w.row)
}

// longestWaits returns the workspaces whose own jobs make the waits of the row longer, at most
// maxSpaces of them.
func (w *lane) longestWaits() map[string]SpaceWaits {
	var names []string
	for name, s := range w.waits {
		if max(s.Entitled.Late-w.row.Entitled, s.Excess.Late-w.row.Excess, s.Quota.Late, s.Beyond.Late) >= minOwnWait.Milliseconds() {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(w.waits[b].longest(), w.waits[a].longest()), strings.Compare(a, b))
	})
	out := map[string]SpaceWaits{}
	for _, name := range names[:min(len(names), maxSpaces)] {
		out[name] = *w.waits[name]
	}
	return out
}

// poolWait returns how long the pool needs for the work so far.
func (w *lane) poolWait() time.Duration { return drain(w.work, w.pool.rate(w.kind)) }

// quotaWait returns how long a workspace needs for its own work so far if it uses all of its quota
// in this pool. One subtask may run that is larger than the quota.
func (w *lane) quotaWait(workspace string, size int) time.Duration {
	quota := ofKind(w.pool.Quota(workspace), w.kind, w.pool.Host)
	if quota <= 0 {
		return 0
	}
	return drain(w.own[workspace], max(quota, float64(size)))
}

// longestDrain bounds the time that work takes.
const longestDrain = 24 * time.Hour

func drain(work, rate float64) time.Duration {
	if s := work / rate; s < longestDrain.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return longestDrain
}

func (w *lane) ms(d time.Duration) int64 { return d.Truncate(waitStep).Milliseconds() }
