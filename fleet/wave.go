package fleet

import (
	"slices"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/shift"
)

// emptyingTime is the assumed time to empty a host.
const emptyingTime = 2 * time.Second

// waveEndMargin is the time that is kept free at the end of a wave.
const waveEndMargin = 5 * time.Second

// urgentTime is how long before the latest begin of a host's maintenance its remaining
// subtasks are stopped. One in thirty runs several times as long as others: a host may
// be emptied 15 s after it was released.
const urgentTime = 3 * time.Second

// waveAgeInterval is the longest time between two writings of the plan while a wave is
// open: the next controller misses as much of the age of the wave.
const waveAgeInterval = time.Second

// maxLongRunningEmptied is the most hosts with long-running work that are emptied
// at once in a pool.
const maxLongRunningEmptied = 1

// planMaintenance plans the maintenance of hosts for the requested waves and
// lists the workers whose hosts are still to be maintained.
func (c *Controller) planMaintenance(now time.Time) {
	limits := c.maintenanceLimits()
	var due []string
	for _, w := range c.Waves() {
		if c.plan.CompletedWaves[w.Number] {
			delete(c.requestedAt, w.Number)
			continue
		}
		w.FirstSeen = c.noteRequested(&w)
		if !c.reportedWaves[w.Number] {
			c.reportedWaves[w.Number] = true
			c.statusPuts = append(c.statusPuts, c.WaveStatus(w.Wave, false))
			c.planChanged = true
		}
		due = append(due, c.planWave(&w, limits, now)...)
	}
	if len(c.requestedAt) > 0 && now.Sub(c.savedAt) >= waveAgeInterval {
		c.planChanged = true
	}
	slices.Sort(due)
	if !slices.Equal(due, c.plan.DueWorkers) {
		c.plan.DueWorkers = due
		c.planChanged = true
	}
}

// noteRequested returns when a wave was requested at the latest: when this entry first saw it,
// or earlier by the plan of an earlier controller. An entry that the store didn't serve may
// have seen the wave many seconds after its request, and would end it as much too late.
func (c *Controller) noteRequested(w *Wave) time.Time {
	at, ok := c.requestedAt[w.Number]
	if !ok || w.FirstSeen.Before(at) {
		at = w.FirstSeen
		c.requestedAt[w.Number] = at
	}
	return at
}

// waveAges returns the ages of the open waves in milliseconds, by number.
func (c *Controller) waveAges(now time.Time) map[string]int64 {
	out := make(map[string]int64, len(c.requestedAt))
	for number, at := range c.requestedAt {
		out[number] = now.Sub(at).Milliseconds()
	}
	return out
}

// maintenanceLimits returns how many hosts maintenance may take from each pool
// now, by pool.
func (c *Controller) maintenanceLimits() map[string]*shift.MaintenanceLimit {
	pools, cpu := c.poolStates()
	out := make(map[string]*shift.MaintenanceLimit, len(pools))
	for name, p := range pools {
		out[name] = &shift.MaintenanceLimit{
			Spare: len(p.Hosts) - p.MinHosts, Idle: len(p.Hosts) - shift.HostsWanted(p, cpu), LongRunning: maxLongRunningEmptied,
		}
	}
	for i := range c.hosts {
		h := &c.hosts[i]
		if l := out[h.Pool]; l != nil && c.hasTask(h.Name) && c.hostLoad(h).LongRunning > 0 {
			l.LongRunning--
		}
	}
	return out
}

// planWave plans the maintenance of the next hosts of a wave and returns the
// workers of the hosts that are still to be maintained. It reports the wave as
// completed when none are left.
func (c *Controller) planWave(w *Wave, limits map[string]*shift.MaintenanceLimit, now time.Time) []string {
	active := 0
	for _, t := range c.plan.Tasks {
		if t.Wave == w.Number {
			active++
		}
	}
	remaining := w.Within - now.Sub(w.FirstSeen)
	if remaining < waveEndMargin+c.MinDowntime+emptyingTime {
		active += c.maintainMoving(w, w.MaxDown-active)
	}
	if remaining < c.MinDowntime+urgentTime {
		c.markUrgent(w)
	}
	due, left := c.dueHosts(w)
	if left == 0 && active == 0 {
		c.plan.CompletedWaves[w.Number] = true
		c.statusPuts = append(c.statusPuts, c.WaveStatus(w.Wave, true))
		c.planChanged = true
		c.Log.Info().Str("wave", w.Number).Msg("maintenance wave completed")
		return nil
	}
	for _, d := range shift.NextMaintenance(due, w.MaxDown-active, c.minActive(w, left, now)-active, limits) {
		h := c.findHost(d.Name)
		c.addTask(Task{Kind: Maintain, Host: d.Name, Worker: h.Worker, From: h.Pool, Wave: w.Number})
	}
	var workers []string
	for _, d := range due {
		if h := c.findHost(d.Name); h.Worker != "" {
			workers = append(workers, h.Worker)
		}
	}
	return workers
}

// maintainMoving replaces at most n moves by the maintenance of their hosts, for hosts of
// a wave that are still being emptied for a move. It returns the number of those.
//
// A host that moved first could be maintained only once the new worker was up: hosts on
// which one subtask ran for long after a peak were maintained after the end of the wave.
func (c *Controller) maintainMoving(w *Wave, n int) int {
	replaced := 0
	for i := range c.plan.Tasks {
		t := &c.plan.Tasks[i]
		if replaced >= n || t.Kind != Move || t.Ordered || !slices.Contains(w.Hosts, t.Host) || slices.Contains(c.plan.MaintainedByWave[w.Number], t.Host) {
			continue
		}
		t.Kind, t.To, t.Wave = Maintain, "", w.Number
		replaced++
		c.planChanged = true
		c.Log.Info().Str("host", t.Host).Str("pool", t.From).Int64("task", t.ID).Str("wave", w.Number).Msg("host is maintained in place of its move")
	}
	return replaced
}

// markUrgent marks the tasks of a wave whose hosts are still being emptied.
func (c *Controller) markUrgent(w *Wave) {
	for i := range c.plan.Tasks {
		t := &c.plan.Tasks[i]
		if t.Wave == w.Number && !t.Ordered && !t.Urgent {
			t.Urgent, c.planChanged = true, true
			c.Log.Info().Str("host", t.Host).Str("pool", t.From).Int64("task", t.ID).Str("wave", w.Number).Msg("host maintenance is urgent")
		}
	}
}

// dueHosts returns the hosts of a wave whose maintenance can be planned now, and
// the number of hosts whose maintenance has not begun.
func (c *Controller) dueHosts(w *Wave) ([]shift.DueHost, int) {
	var due []shift.DueHost
	left := 0
	for _, name := range w.Hosts {
		h := c.findHost(name)
		if h == nil || slices.Contains(c.plan.MaintainedByWave[w.Number], name) {
			continue
		}
		left++
		if c.hasTask(name) || h.State != hosts.Up {
			continue
		}
		l := c.hostLoad(h)
		p, ok := c.Policy().Pool(h.Pool)
		due = append(due, shift.DueHost{
			Host: shift.Host{Name: name, CPU: h.Capacity.CPU, Used: l.UsedCPU, LongRunning: l.LongRunning},
			Pool: h.Pool, OnStandby: ok && p.Standby || h.Worker == "",
		})
	}
	return due, left
}

// minActive returns how many hosts of a wave must be under way at once to finish
// the wave in time.
func (c *Controller) minActive(w *Wave, left int, now time.Time) int {
	remaining := w.Within - waveEndMargin - now.Sub(w.FirstSeen)
	perHost := c.MinDowntime + emptyingTime
	rounds := int(remaining / perHost)
	if rounds < 1 {
		return left
	}
	return (left + rounds - 1) / rounds
}
