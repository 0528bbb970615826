package owner

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"shallotpaddle/fair"
	"shallotpaddle/hosts"
	"shallotpaddle/pack"
	"shallotpaddle/steps"
)

// LoadPrefix is the prefix of the keys of all pools' loads.
const LoadPrefix = "load/"

// LoadKey returns the key of a pool's load.
func LoadKey(pool string) string { return LoadPrefix + pool }

const (
	// loadInterval is the shortest time between two measurements of the load.
	loadInterval = 300 * time.Millisecond
	// loadRefresh is how often a load is published that hasn't changed much: entries ignore one
	// that is 2 s old.
	loadRefresh = time.Second
	// fullWait is the longest wait from which a pool counts as full, once it has been so long for
	// growTime: hosts that are asked for at the begin of a peak arrive within about two seconds, and
	// until the pool has stopped to grow its waits are too long.
	fullWait = time.Second
	growTime = 2500 * time.Millisecond
	// grownPart is the part of its capacity by which a pool must grow to count as growing.
	grownPart = 20
	// minLoadChange and loadChangePart are by how much a wait must change to be published at
	// once: by a time, and by a part of itself.
	minLoadChange  = time.Second
	loadChangePart = 4
	// roomChangePart is the part of the largest worker by which what is free must grow for that.
	roomChangePart = 8
)

// poolLoad is the load of the pool as entries hear of it.
type poolLoad struct {
	doc
	measuredAt  time.Time
	publishedAt time.Time
	published   fair.Load
	// fullSince is since when the wait has been fullWait or more, zero if it isn't, and grownAt when
	// the pool last grew, beyond the capacity in thousandths of a core.
	fullSince, grownAt time.Time
	capacity           int
}

// noteCapacity notes the capacity of the pool, and whether it has grown.
func (l *poolLoad) noteCapacity(cpu int, now time.Time) {
	if cpu-l.capacity > l.capacity/grownPart {
		l.grownAt = now
		l.capacity = cpu
	}
	l.capacity = min(l.capacity, cpu)
}

// full reports whether the pool has been full, and has not grown, for growTime.
func (l *poolLoad) full(longest time.Duration, now time.Time) bool {
	if longest < fullWait {
		l.fullSince = time.Time{}
		return false
	}
	if l.fullSince.IsZero() {
		l.fullSince = now
	}
	return now.Sub(later(l.fullSince, l.grownAt)) >= growTime
}

func newPoolLoad(pool string) *poolLoad {
	l := &poolLoad{}
	l.doc = doc{key: LoadKey(pool), encode: l.encodeLoad}
	return l
}

func (l *poolLoad) encodeLoad() []byte {
	b, err := json.Marshal(&l.published)
	if err != nil {
		return []byte("{}") // the figures are all finite
	}
	return b
}

// updateLoad publishes the load of the pool while it is full, and once that it no longer is.
func (o *Owner) updateLoad(now time.Time) {
	// What is free is known right after a pass: room of runs that have ended since is still to be
	// given to jobs that wait.
	l := o.load
	if o.shares == nil || !o.takeoverDone || !o.lastPass.Equal(now) || now.Sub(l.measuredAt) < loadInterval {
		return
	}
	l.measuredAt = now
	load := o.measureLoad(now)
	if o.shares == nil {
		return // a configuration without workspaces has come since the scheduling pass
	}
	l.noteCapacity(o.shares.capacity.CPU, now)
	full, wasFull := l.full(load.Longest(), now), len(l.published.Rows) > 0
	switch {
	case !full && !wasFull:
		return
	case !full:
		load = fair.Load{At: load.At}
	case wasFull && now.Sub(l.publishedAt) < loadRefresh && !changedMuch(&l.published, &load):
		return
	}
	if full != wasFull {
		o.Log.Info().Str("pool", o.Pool).Bool("full", full).Dur("longest", load.Longest()).Int("jobs", len(o.openJobs)).
			Int("spent", len(load.Spent)).Msg("load of the pool published")
	}
	l.published, l.publishedAt = load, now
	o.Stats.Loads.Inc(1)
	o.markChanged(&l.doc)
}

// changedMuch reports whether two loads differ so much that entries should know.
func changedMuch(a, b *fair.Load) bool {
	if len(a.Rows) != len(b.Rows) || !slices.Equal(a.Spent, b.Spent) || roomGrew(a, b) {
		return true
	}
	changed := func(x, y int64) bool {
		return math.Abs(float64(x-y)) >= float64(max(minLoadChange.Milliseconds(), x/loadChangePart))
	}
	for i := range a.Rows {
		x, y := &a.Rows[i], &b.Rows[i]
		if x.Kind != y.Kind || x.Size != y.Size || x.Rank != y.Rank || changed(x.Entitled, y.Entitled) || changed(x.Excess, y.Excess) || changed(x.End, y.End) {
			return true
		}
	}
	return changed(a.Longest().Milliseconds(), b.Longest().Milliseconds())
}

// roomGrew reports whether much more is free on a worker in the later of two loads.
func roomGrew(a, b *fair.Load) bool {
	grew := func(x, y, host int) bool { return y-x > host/roomChangePart }
	return grew(a.Room.CPU, b.Room.CPU, b.Host.CPU) || grew(a.Room.Mem, b.Room.Mem, b.Host.Mem) || grew(a.Room.GPU, b.Room.GPU, b.Host.GPU)
}

// measureLoad returns the load of the pool.
func (o *Owner) measureLoad(now time.Time) fair.Load {
	p, shares := o.poolToMeasure(now), o.shares
	ordered := o.jobsInOrder(now)
	waiting := make([]fair.Waiting, 0, len(ordered))
	spent := map[string]bool{}
	for _, j := range ordered {
		space := j.progress.Job.Workspace
		if space != "" && !spent[space] && shares.Spent(space, now) {
			spent[space] = true
		}
		if w, ok := o.waitingWork(j, p.Host, now); ok {
			waiting = append(waiting, w)
		}
	}
	load := fair.Measure(waiting, p)
	load.Spent = slices.Sorted(maps.Keys(spent))
	return load
}

// poolToMeasure returns the pool's resources as fair.Measure takes them.
func (o *Owner) poolToMeasure(now time.Time) *fair.Pool {
	p := &fair.Pool{Now: now, Host: o.largest.Resources, Total: o.shares.capacity, Quota: o.quotaOf}
	for _, h := range o.hosts {
		for _, r := range h.runs {
			if r.task.Step.LongRunning {
				used := reserved(r.task.Step)
				p.Total = hosts.Resources{CPU: p.Total.CPU - used.CPU, Mem: p.Total.Mem - used.Mem, GPU: p.Total.GPU - used.GPU}
			}
		}
		if h.usable(now, o.roster.stored) {
			c := h.worker.Capacity
			p.Free = hosts.Resources{CPU: max(p.Free.CPU, c.CPU-h.used.CPU), Mem: max(p.Free.Mem, c.Mem-h.used.Mem), GPU: max(p.Free.GPU, c.GPU-h.used.GPU)}
		}
	}
	for k := range p.Done {
		p.Done[k] = o.shares.done[k].PerSecond(now)
	}
	return p
}

// quotaOf returns the quota of a workspace.
func (o *Owner) quotaOf(space string) hosts.Resources {
	if v := o.sharesInForce(); v != nil {
		if w, ok := v.Workspace(space); ok {
			return w.Quota
		}
	}
	return hosts.Resources{}
}

// waitingWork returns the work of a job that nobody has begun, and false if it doesn't certainly keep
// others from starting: scheduled jobs, those that wait for the advisor, and those of a queue of
// which too few runs have ended, as declared run times may be several times too long.
func (o *Owner) waitingWork(j *job, host hosts.Resources, now time.Time) (fair.Waiting, bool) {
	doc := j.progress.Job
	f := o.forecasts[doc.Queue]
	if doc.Repetitions > 0 || doc.Advisor != nil || j.longRunning || f == nil || !f.Reliable() {
		return fair.Waiting{}, false
	}
	view := o.schedulingView(j)
	w := fair.Waiting{
		Workspace: doc.Workspace, Rank: doc.Rank, Excess: j.excess, Late: pack.Late(&view, now), Remaining: view.Remaining,
		Useful: pack.WorthlessFactor*view.Deadline - now.Sub(view.Accepted),
	}
	ready := make([]int, len(doc.Steps))
	j.progress.EachReadyStep(now, func(i, n int) bool {
		ready[i] += n
		return true
	})
	for i := range doc.Steps {
		s, n := &doc.Steps[i], j.progress.CountWaiting(i, now)
		p, ok := fair.PartOf(s, n, o.expectedRunTime(j, s), host)
		if !ok || s.Gang || s.MaxPerWorker > 0 {
			continue // others pass a gang and subtasks that may not share a worker
		}
		all := p.Work
		p.Work = all * float64(ready[i]) / float64(n)
		p.Later = all - p.Work
		w.Parts = append(w.Parts, p)
	}
	return w, len(w.Parts) > 0
}

// noteWorkDone counts the work of a run that has ended as done.
func (o *Owner) noteWorkDone(j *job, s *steps.Step, now time.Time) {
	if o.shares == nil {
		return
	}
	if p, ok := fair.PartOf(s, 1, o.expectedRunTime(j, s), o.largest.Resources); ok {
		o.shares.done[p.Kind].Add(p.Work, now)
	}
}
