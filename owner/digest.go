package owner

import (
	"encoding/json"
	"math"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/pack"
	"shallotpaddle/shift"
	"shallotpaddle/steps"
)

// digestInterval is the shortest time between two digests that are not urgent.
// Readers may see a digest that is up to two seconds old.
const digestInterval = 300 * time.Millisecond

// Digest is the summary of a pool that its owner stores for the other entries.
type Digest struct {
	// Waiting is the number of jobs of which no run has started, by queue. Scheduled
	// jobs don't count.
	Waiting map[string]int `json:"waiting"`
	// DemandCPU is the CPU that running, waiting and expected work needs, in
	// thousandths of a core.
	DemandCPU int `json:"want"`
	// DeferrableCPU is the CPU that worthless jobs need in addition.
	DeferrableCPU int `json:"late,omitempty"`
	// MinWorkers is the number of workers that long-running work needs at least.
	MinWorkers int `json:"floor"`
	// Hosts has the load of each worker, by worker ID.
	Hosts map[string]HostLoad `json:"hosts"`
	// HadJobs tells that the pool has had jobs that end by themselves.
	HadJobs bool `json:"had,omitempty"`
	// Released has the workers that are empty as the fleet plan asks, with the ID of
	// the plan's task for each.
	Released map[string]int64 `json:"released,omitempty"`
}

// HostLoad is the load of a worker.
type HostLoad struct {
	UsedCPU     int `json:"u,omitempty"` // reserved CPU in thousandths of a core
	LongRunning int `json:"l,omitempty"` // number of long-running subtasks
}

// encodeDigest returns the current digest as JSON, and updates demand on the way.
func (o *Owner) encodeDigest() []byte {
	d := Digest{Waiting: map[string]int{}, Hosts: map[string]HostLoad{}, HadJobs: o.hadJobs, Released: map[string]int64{}}
	now := o.Clock.Now()
	o.updateLargest(now)
	open := make([]shift.OpenJob, 0, len(o.openJobs))
	for _, j := range o.openJobs {
		if !j.progress.Started && j.progress.Job.Repetitions == 0 {
			d.Waiting[j.progress.Job.Queue]++
		}
		w := o.schedulingView(j)
		open = append(open, shift.OpenJob{CPU: o.jobCPU(j, now), Remaining: j.remaining(w.Remaining, now), Late: pack.Late(&w, now), Worthless: pack.Worthless(&w, now)})
	}
	o.spilled.Queues(func(queue string) { d.Waiting[queue]++ })
	d.MinWorkers = o.minWorkers()
	demand := shift.DemandOf(open, o.arrivingCPU(now))
	for _, h := range o.hosts {
		if o.inRoster(h) {
			d.Hosts[h.id] = HostLoad{roundUpCPU(h.used.CPU), h.countLongRunning()}
		}
		if h.releaseTask != 0 && o.isEmpty(h) {
			d.Released[h.id] = h.releaseTask
		}
	}
	o.demand = demand.CPU
	d.DemandCPU, d.DeferrableCPU = roundUpCPU(demand.CPU), roundUpCPU(demand.DeferrableCPU)
	b, err := json.Marshal(d)
	if err != nil {
		o.Log.Error().Err(err).Msg("encoding the digest failed")
	}
	return b
}

// remaining returns the expected time until a job ends, from the length of its
// critical path. Long-running jobs don't end.
func (j *job) remaining(criticalPath time.Duration, now time.Time) time.Duration {
	if j.longRunning {
		return math.MaxInt64
	}
	if j.lastStart.IsZero() {
		return criticalPath
	}
	return criticalPath - now.Sub(j.lastStart)
}

// jobCPU returns the CPU that a job's running and ready subtasks need, in thousandths
// of a core.
func (o *Owner) jobCPU(j *job, now time.Time) int {
	n := 0
	j.progress.Each(func(t *steps.Task) {
		if t.Active() {
			n += o.shareCPU(t.Step)
		}
	})
	j.progress.EachReadyStep(now, func(s, count int) bool {
		n += count * o.shareCPU(&j.progress.Job.Steps[s])
		return true
	})
	return n
}

// shareCPU returns what a subtask takes of a host, as CPU in thousandths of a core.
func (o *Owner) shareCPU(s *steps.Step) int {
	need := hosts.Resources{CPU: s.CPU, Mem: s.Mem, GPU: s.GPU}
	if s.Fills {
		need.CPU = 0
	}
	return shift.ShareCPU(need, o.largest.Resources)
}

// minWorkers returns the number of workers that the long-running subtasks need.
func (o *Owner) minWorkers() int {
	var list []shift.LongRunningStep
	now := o.Clock.Now()
	for _, j := range o.openJobs {
		for i := range j.progress.Job.Steps {
			if s := &j.progress.Job.Steps[i]; s.LongRunning {
				list = append(list, shift.LongRunningStep{
					Count: s.Count, CPU: o.shareCPU(s), MaxPerHost: s.MaxPerWorker, Waiting: j.progress.CountWaiting(i, now),
				})
			}
		}
	}
	if o.largest.CPU == 0 {
		return o.former.digest.MinWorkers // no worker has answered yet
	}
	return shift.MinHosts(list, o.largest.CPU)
}

// digestCPUStep is the resolution of the digest's CPU figures, in thousandths of a
// core: smaller changes cause no write.
const digestCPUStep = 4000

func roundUpCPU(cpu int) int { return (cpu + digestCPUStep - 1) / digestCPUStep * digestCPUStep }

// urgentRise is the rise in demand that makes a digest urgent, in thousandths of
// a core: the capacity of two hosts of 32 cores.
const urgentRise = 64_000

// urgentDigestInterval is the shortest time between a digest and an urgent one for
// a rise in demand.
const urgentDigestInterval = 80 * time.Millisecond

// updateDigest queues the digest for writing if it has changed.
func (o *Owner) updateDigest(now time.Time) {
	since := now.Sub(o.digestCheckedAt)
	if o.digest.queued || since < urgentDigestInterval && !o.digestDue {
		return
	}
	if since < digestInterval && !o.digestDue && o.demand-o.publishedDemand < urgentRise {
		return
	}
	o.digestDue = false
	o.digestCheckedAt = now
	perSecond := 0.0
	for _, f := range o.inflows {
		perSecond += f.PerSecond(now)
	}
	o.jobsPerSecond.Store(math.Float64bits(perSecond))
	if s := string(o.encodeDigest()); s != o.publishedDigest {
		o.publishedDigest = s
		o.publishedDemand = o.demand
		if o.hadJobs {
			o.keepUp.demand.Store(int64(max(o.demand, 1)))
		}
		o.Log.Info().Str("pool", o.Pool).Int("want", o.demand).Int("inflow", o.arrivingCPU(now)).Int("jobs", len(o.openJobs)).
			Int("hosts", len(o.hosts)).Int("used", o.used()).Msg("demand published")
		o.markChanged(o.digest)
		// Hosts for a peak are asked for by it: behind hundreds of records it would be seconds late.
		o.writeFirst(o.digest)
	}
}

// used returns the CPU reserved on all workers, in thousandths of a core.
func (o *Owner) used() int {
	n := 0
	for _, h := range o.hosts {
		n += h.used.CPU
	}
	return n
}
