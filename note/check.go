package note

import (
	"strings"
	"time"

	"shallotpaddle/table"
)

// Limits of declarations.
const (
	// MaxHosts is the most hosts that a pool may declare.
	MaxHosts = 10000
	// MaxRank is the last rank.
	MaxRank = 10000
	// MaxDepth is the most items that a queue may hold.
	MaxDepth = 1000000
	// MaxAttempts is the most dispatches of one job.
	MaxAttempts = 100
	// MaxDuration is the longest target or run time.
	MaxDuration = 7 * 24 * time.Hour
	// MaxPeriod is the longest period of maintenance.
	MaxPeriod = 366 * 24 * time.Hour
	// MinOutage is the shortest planned outage of one host that a wave is
	// reckoned with.
	MinOutage = 10 * time.Minute
)

// check reports faults of the rows that the note touches, and of rows whose
// references it breaks.
func (e *applier) check(c *table.Config) {
	for i := range c.Pools {
		if at := e.touched[rowKey{kindPool, c.Pools[i].Name}]; at != "" {
			e.checkPool(at, &c.Pools[i])
		}
	}
	for i := range c.Queues {
		if at := e.touched[rowKey{kindQueue, c.Queues[i].Name}]; at != "" {
			e.checkQueue(at, &c.Queues[i])
		}
	}
	for i := range c.Customers {
		if at := e.touched[rowKey{kindCustomer, c.Customers[i].Name}]; at != "" {
			e.checkCustomer(at, &c.Customers[i])
		}
	}
	for i := range c.Jobs {
		if at := e.touched[rowKey{kindJob, c.Jobs[i].Name}]; at != "" {
			e.checkJob(at, &c.Jobs[i])
		}
	}
	e.checkReferences(c)
}

func (e *applier) checkRange(key string, v, low, high int) {
	if v < low || v > high {
		e.doc.AddError(key, "%d is not between %d and %d", v, low, high)
	}
}

func (e *applier) checkDuration(key string, v table.Duration, low, high time.Duration) {
	if v.Std() < low || v.Std() > high {
		e.doc.AddError(key, "%s is not between %s and %s", formatDuration(v.Std()), formatDuration(low), formatDuration(high))
	}
}

func (e *applier) checkPool(at string, p *table.PoolSpec) {
	e.checkRange(at+".size", p.Size, 1, MaxHosts)
	if p.Max != 0 {
		e.checkRange(at+".max", p.Max, max(p.Size, 1), MaxHosts)
	}
	if p.Budget < 0 || p.Budget >= max(p.Size, 1) {
		e.doc.AddError(at+".budget", "%d is not between 0 and %d, one below the pool's size", p.Budget, max(p.Size-1, 0))
	}
	if p.Reserve < 0 || p.Reserve > p.Budget {
		e.doc.AddError(at+".reserve", "%d is not between 0 and the budget, %d", p.Reserve, p.Budget)
	}
	e.checkDuration(at+".period", p.Period, 0, MaxPeriod)
	e.checkMaintenance(at, p)
}

// checkMaintenance reports a budget with which no wave can maintain each host once within
// the period.
func (e *applier) checkMaintenance(at string, p *table.PoolSpec) {
	if p.Period <= 0 {
		return
	}
	share := p.Budget - p.Reserve
	if share < 1 {
		e.doc.AddError(at+".budget", "%d less reserve %d leaves no host for maintenance, want at least 1", p.Budget, p.Reserve)
		return
	}
	hosts := max(p.Size, p.Max)
	rounds := (hosts + share - 1) / share
	if need := time.Duration(rounds) * MinOutage; need > p.Period.Std() {
		e.doc.AddError(at+".period", "%s is too short: %d hosts, %d at once, take at least %s",
			formatDuration(p.Period.Std()), hosts, share, formatDuration(need))
	}
}

func (e *applier) checkQueue(at string, q *table.QueueSpec) {
	e.checkDuration(at+".target", q.Target, time.Millisecond, MaxDuration)
	// A negated comparison also catches NaN.
	if !(q.Objective > 0 && q.Objective < 1) {
		e.doc.AddError(at+".objective", "%g is not above 0 and below 1", q.Objective)
	}
	e.checkRange(at+".depth", q.Depth, 0, MaxDepth)
	if q.Hours == "" && q.Tz != "" {
		e.doc.AddError(at+".tz", "is of no use without hours")
	}
	if q.Hours == "" {
		return
	}
	if _, err := parseSpan(q.Hours); err != nil {
		e.doc.AddError(at+".hours", "%v", err)
	}
	if _, err := loadZone(q.Tz); err != nil {
		e.doc.AddError(at+".tz", "%v", err)
	}
}

func (e *applier) checkCustomer(at string, c *table.CustomerSpec) {
	e.checkRange(at+".rank", c.Rank, 1, MaxRank)
	if !(c.Quota >= 0 && c.Quota <= 1) {
		e.doc.AddError(at+".quota", "%g is not between 0 and 1", c.Quota)
	}
}

func (e *applier) checkJob(at string, j *table.JobSpec) {
	e.checkRange(at+".rank", j.Rank, 1, MaxRank)
	e.checkDuration(at+".run", j.Run, 0, MaxDuration)
	e.checkRange(at+".attempts", j.Attempts, 0, MaxAttempts)
	switch {
	case j.Slots < 0:
		e.doc.AddError(at+".slots", "%d is below 0", j.Slots)
	case j.Slots > table.WorkerSlots:
		e.doc.AddError(at+".slots", "%d is above the %d slots of any host, so that the job could never run", j.Slots, table.WorkerSlots)
	}
}

// checkReferences reports queues without a pool and jobs without a queue, at the row
// that names them if the note touches it, else at the withdrawal.
func (e *applier) checkReferences(c *table.Config) {
	pools, queues := map[string]bool{}, map[string]bool{}
	for i := range c.Pools {
		pools[c.Pools[i].Name] = true
	}
	left := map[rowKey][]string{}
	for i := range c.Queues {
		q := &c.Queues[i]
		queues[q.Name] = true
		if !pools[q.Pool] {
			e.addMissingReference(left, rowKey{kindQueue, q.Name}, rowKey{kindPool, q.Pool})
		}
	}
	for i := range c.Jobs {
		j := &c.Jobs[i]
		if !queues[j.Queue] {
			e.addMissingReference(left, rowKey{kindJob, j.Name}, rowKey{kindQueue, j.Queue})
		}
	}
	for to, names := range left {
		e.doc.AddError(e.withdrawn[to], "%s %s can't be withdrawn: still used by %s", to.kind, to.name, strings.Join(names, ", "))
	}
}

func (e *applier) addMissingReference(left map[rowKey][]string, from, to rowKey) {
	if at := e.touched[from]; at != "" {
		e.doc.AddError(at+"."+to.kind, "unknown %s %q", to.kind, to.name)
		return
	}
	left[to] = append(left[to], from.kind+" "+from.name)
}
