package note

import (
	"strings"
	"time"

	"shallotpaddle/table"
)

// Limits of the declarations in a note.
const (
	// MaxHosts is the largest size and the largest max of a pool, in hosts.
	MaxHosts = 10000
	// MaxRank is the highest rank number; ranks begin at 1.
	MaxRank = 10000
	// MaxDepth is the largest depth of a queue, in requests and jobs.
	MaxDepth = 1000000
	// MaxAttempts is the most attempts that a job kind may declare.
	MaxAttempts = 100
	// MaxDuration is the longest target of a queue and the longest run time of a
	// job kind.
	MaxDuration = 7 * 24 * time.Hour
	// MaxPeriod is the longest maintenance period of a pool.
	MaxPeriod = 366 * 24 * time.Hour
	// MinOutage is the time that the check of a pool's maintenance period allows
	// for the planned outage of one host.
	MinOutage = 10 * time.Minute
)

// check checks the rows that the note adds or changes, and the references between
// all rows of the new configuration.
func (a *applier) check(c *table.Config) {
	for i := range c.Pools {
		if path := a.touched[rowKey{kindPool, c.Pools[i].Name}]; path != "" {
			a.checkPool(path, &c.Pools[i])
		}
	}
	for i := range c.Queues {
		if path := a.touched[rowKey{kindQueue, c.Queues[i].Name}]; path != "" {
			a.checkQueue(path, &c.Queues[i])
		}
	}
	for i := range c.Customers {
		if path := a.touched[rowKey{kindCustomer, c.Customers[i].Name}]; path != "" {
			a.checkCustomer(path, &c.Customers[i])
		}
	}
	for i := range c.Jobs {
		if path := a.touched[rowKey{kindJob, c.Jobs[i].Name}]; path != "" {
			a.checkJob(path, &c.Jobs[i])
		}
	}
	a.checkReferences(c)
}

func (a *applier) checkRange(path string, v, low, high int) {
	if v < low || v > high {
		a.doc.AddError(path, "%d is not between %d and %d", v, low, high)
	}
}

func (a *applier) checkDuration(path string, v table.Duration, low, high time.Duration) {
	if v.Std() < low || v.Std() > high {
		a.doc.AddError(path, "%s is not between %s and %s", formatDuration(v.Std()), formatDuration(low), formatDuration(high))
	}
}

func (a *applier) checkPool(path string, p *table.PoolSpec) {
	a.checkRange(path+".size", p.Size, 1, MaxHosts)
	if p.Max != 0 {
		a.checkRange(path+".max", p.Max, max(p.Size, 1), MaxHosts)
	}
	if p.Budget < 0 || p.Budget >= max(p.Size, 1) {
		a.doc.AddError(path+".budget", "%d is not between 0 and %d, one below the pool's size", p.Budget, max(p.Size-1, 0))
	}
	if p.Reserve < 0 || p.Reserve > p.Budget {
		a.doc.AddError(path+".reserve", "%d is not between 0 and the budget, %d", p.Reserve, p.Budget)
	}
	a.checkDuration(path+".period", p.Period, 0, MaxPeriod)
	a.checkMaintenance(path, p)
}

// checkMaintenance reports an availability budget or a period that is too small to
// maintain each host of the pool once within the period.
func (a *applier) checkMaintenance(path string, p *table.PoolSpec) {
	if p.Period <= 0 {
		return
	}
	atOnce := p.Budget - p.Reserve
	if atOnce < 1 {
		a.doc.AddError(path+".budget", "%d less reserve %d leaves no host for maintenance, want at least 1", p.Budget, p.Reserve)
		return
	}
	hosts := max(p.Size, p.Max)
	rounds := (hosts + atOnce - 1) / atOnce
	if need := time.Duration(rounds) * MinOutage; need > p.Period.Std() {
		a.doc.AddError(path+".period", "%s is too short: %d hosts, %d at once, take at least %s",
			formatDuration(p.Period.Std()), hosts, atOnce, formatDuration(need))
	}
}

func (a *applier) checkQueue(path string, q *table.QueueSpec) {
	a.checkDuration(path+".target", q.Target, time.Millisecond, MaxDuration)
	// A negated comparison also catches NaN.
	if !(q.Objective > 0 && q.Objective < 1) {
		a.doc.AddError(path+".objective", "%g is not above 0 and below 1", q.Objective)
	}
	a.checkRange(path+".depth", q.Depth, 0, MaxDepth)
	if q.Hours == "" && q.Tz != "" {
		a.doc.AddError(path+".tz", "is of no use without hours")
	}
	if q.Hours == "" {
		return
	}
	if _, err := parseSpan(q.Hours); err != nil {
		a.doc.AddError(path+".hours", "%v", err)
	}
	if _, err := loadZone(q.Tz); err != nil {
		a.doc.AddError(path+".tz", "%v", err)
	}
}

func (a *applier) checkCustomer(path string, c *table.CustomerSpec) {
	a.checkRange(path+".rank", c.Rank, 1, MaxRank)
	if !(c.Quota >= 0 && c.Quota <= 1) {
		a.doc.AddError(path+".quota", "%g is not between 0 and 1", c.Quota)
	}
}

func (a *applier) checkJob(path string, j *table.JobSpec) {
	a.checkRange(path+".rank", j.Rank, 1, MaxRank)
	a.checkDuration(path+".run", j.Run, 0, MaxDuration)
	a.checkRange(path+".attempts", j.Attempts, 0, MaxAttempts)
	switch {
	case j.Slots < 0:
		a.doc.AddError(path+".slots", "%d is below 0", j.Slots)
	case j.Slots > table.WorkerSlots:
		a.doc.AddError(path+".slots", "%d is above the %d slots of any host, so that the job could never run", j.Slots, table.WorkerSlots)
	}
}

// checkReferences reports queues whose pool and jobs whose queue does not exist. The
// error is placed at the queue or job if the note adds or changes it, otherwise at
// the withdrawal of what it refers to.
func (a *applier) checkReferences(c *table.Config) {
	pools, queues := map[string]bool{}, map[string]bool{}
	for i := range c.Pools {
		pools[c.Pools[i].Name] = true
	}
	users := map[rowKey][]string{} // of withdrawn rows
	for i := range c.Queues {
		q := &c.Queues[i]
		queues[q.Name] = true
		if !pools[q.Pool] {
			a.addMissingReference(users, rowKey{kindQueue, q.Name}, rowKey{kindPool, q.Pool})
		}
	}
	for i := range c.Jobs {
		j := &c.Jobs[i]
		if !queues[j.Queue] {
			a.addMissingReference(users, rowKey{kindJob, j.Name}, rowKey{kindQueue, j.Queue})
		}
	}
	for to, names := range users {
		a.doc.AddError(a.withdrawn[to], "%s %s can't be withdrawn: still used by %s", to.kind, to.name, strings.Join(names, ", "))
	}
}

// addMissingReference reports that from refers to the row to, which does not exist,
// or adds from to the users of to if the note does not add or change from.
func (a *applier) addMissingReference(users map[rowKey][]string, from, to rowKey) {
	if path := a.touched[from]; path != "" {
		a.doc.AddError(path+"."+to.kind, "unknown %s %q", to.kind, to.name)
		return
	}
	users[to] = append(users[to], from.kind+" "+from.name)
}
