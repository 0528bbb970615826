package owner

import (
	"cmp"
	"slices"
	"time"

	"shallotpaddle/fair"
	"shallotpaddle/hosts"
	"shallotpaddle/pack"
	"shallotpaddle/policy"
	"shallotpaddle/steps"
)

// poolShares has what the workspaces have had of the pool.
type poolShares struct {
	*fair.Shares
	// used is what they used at the last scheduling pass, and capacity what the workers had.
	used     map[string]hosts.Resources
	capacity hosts.Resources
	done     [fair.Kinds]*fair.Meter
}

// sharesInForce returns the configuration if it has workspaces, else nil.
func (o *Owner) sharesInForce() *policy.Version {
	if o.Policy == nil {
		return nil
	}
	if v := o.Policy(); v != nil && v.KeysRequired {
		return v
	}
	return nil
}

// updateShares records what the workspaces use of the pool, and which of the jobs that were added
// since the last call are beyond their entitlements.
func (o *Owner) updateShares(now time.Time) {
	v := o.sharesInForce()
	if v == nil {
		o.dropShares()
		return
	}
	if o.shares == nil {
		o.shares = &poolShares{Shares: fair.NewShares(o.Bounds.QuotaWindow)}
		for k := range o.shares.done {
			o.shares.done[k] = fair.NewMeter(o.Bounds.QuotaWindow)
		}
	}
	if o.load == nil {
		o.load = newPoolLoad(o.Pool)
	}
	o.shares.Configure(v.Workspaces())
	o.countJobs(now)
	o.chargeWorkspaces(now)
	o.shares.Forget(now)
}

// dropShares restores the order of jobs without workspaces.
func (o *Owner) dropShares() {
	if o.shares == nil {
		return
	}
	o.shares = nil
	for _, j := range o.openJobs {
		j.excess, j.counted = false, false
	}
}

// countJobs compares new jobs with the entitlements of their workspaces, by time of acceptance: at
// a takeover, all open ones.
func (o *Owner) countJobs(now time.Time) {
	var added []*job
	for _, j := range o.openJobs {
		if !j.counted {
			j.counted = true
			added = append(added, j)
		}
	}
	slices.SortStableFunc(added, func(a, b *job) int {
		return cmp.Compare(a.progress.Job.Accepted, b.progress.Job.Accepted)
	})
	for _, j := range added {
		if j.longRunning {
			continue
		}
		accepted := time.UnixMilli(j.progress.Job.Accepted)
		if accepted.After(now) {
			accepted = now // by the clock of the entry that accepted it
		}
		if j.excess = o.shares.Excess(j.progress.Job.Workspace, accepted); j.excess {
			o.Stats.Excess.Inc(1)
			o.Log.Debug().Str("job", j.id()).Str("pool", o.Pool).Str("workspace", j.progress.Job.Workspace).Msg("job beyond the entitlement")
		}
	}
}

// chargeWorkspaces records which part of the pool each workspace uses.
func (o *Owner) chargeWorkspaces(now time.Time) {
	used := map[string]hosts.Resources{}
	for _, h := range o.hosts {
		for _, p := range h.runs {
			space := p.job.progress.Job.Workspace
			used[space] = plus(used[space], reserved(p.task.Step))
		}
	}
	for space := range o.shares.used {
		if _, ok := used[space]; !ok {
			o.shares.Charge(space, 0, now)
		}
	}
	o.shares.used, o.shares.capacity = used, o.capacity()
	for space, r := range used {
		o.shares.Charge(space, largestPart(r, o.shares.capacity), now)
	}
}

// capacity returns the sum of the capacities of the workers that have answered.
func (o *Owner) capacity() hosts.Resources {
	var sum hosts.Resources
	others := o.secondLargest()
	for _, h := range o.hosts {
		if h.listed && h.answered {
			sum = plus(sum, soundCapacity(h.worker.Capacity, others))
		}
	}
	return sum
}

// reserved returns what a run of a step takes of its worker. The CPU of a filling run is not
// reserved.
func reserved(s *steps.Step) hosts.Resources {
	r := hosts.Resources{CPU: s.CPU, Mem: s.Mem, GPU: s.GPU}
	if s.Fills {
		r.CPU = 0
	}
	return r
}

func plus(a, b hosts.Resources) hosts.Resources {
	return hosts.Resources{CPU: a.CPU + b.CPU, Mem: a.Mem + b.Mem, GPU: a.GPU + b.GPU}
}

// largestPart returns the largest of the parts that r is of a pool's CPU, memory and GPUs.
func largestPart(r, pool hosts.Resources) float64 {
	part := func(v, of int) float64 {
		if of <= 0 {
			return 0
		}
		return float64(v) / float64(of)
	}
	return max(part(r.CPU, pool.CPU), part(r.Mem, pool.Mem), part(r.GPU, pool.GPU))
}

// sortByShares sorts waiting jobs in the order of service, the indexes of which are those of
// openJobs. A job counts what those of its workspace before it will take: otherwise one workspace
// would get all the room that a pass finds.
func (o *Owner) sortByShares(list []pack.WaitingJob, now time.Time) {
	sortJobs := func() {
		slices.SortStableFunc(list, func(a, b pack.WaitingJob) int { return pack.Compare(&a, &b, now) })
	}
	o.updateShares(now)
	o.beginStarve(list, now)
	if o.shares == nil {
		sortJobs()
		return
	}
	for i := range list {
		list[i].Excess = o.openJobs[list[i].Index].excess
	}
	sortJobs()
	ahead := map[string]float64{}
	for i := range list {
		j := o.openJobs[list[i].Index]
		space := j.progress.Job.Workspace
		share, known := ahead[space]
		if !known {
			share = o.shares.Share(space, now)
		}
		list[i].Share = share
		ahead[space] = share + o.shares.Increase(space, o.readyPart(j, now))
	}
	sortJobs()
}

// readyPart returns the largest part of the pool's CPU, memory or GPU that a job's ready subtasks
// need, 1 at most.
func (o *Owner) readyPart(j *job, now time.Time) float64 {
	var sum hosts.Resources
	part := 0.0
	j.progress.EachReadyStep(now, func(s, n int) bool {
		r := reserved(&j.progress.Job.Steps[s])
		sum = plus(sum, hosts.Resources{CPU: n * r.CPU, Mem: n * r.Mem, GPU: n * r.GPU})
		part = largestPart(sum, o.shares.capacity)
		return part < 1
	})
	return min(part, 1)
}
