package fleet

import (
	"slices"
	"time"

	"shallotpaddle/hosts"
	"shallotpaddle/shift"
)

// emptyTime is how long it takes to empty a host.
const emptyTime = 2 * time.Second

// waveMargin is kept free at the end of a wave.
const waveMargin = 5 * time.Second

// lastingAtOnce is the number of hosts with lasting work that are emptied at
// once in a pool.
const lastingAtOnce = 1

// maintain plans the hosts that waves ask for.
func (s *Steward) maintain(now time.Time) {
	limits := s.limits()
	var due []string
	for _, w := range s.Waves() {
		if s.plan.Over[w.Number] {
			continue
		}
		if !s.reported[w.Number] {
			s.reported[w.Number] = true
			s.puts = append(s.puts, s.Status(w.Wave, false))
			s.dirty = true
		}
		due = append(due, s.maintainWave(&w, limits, now)...)
	}
	slices.Sort(due)
	if !slices.Equal(due, s.plan.Due) {
		s.plan.Due = due
		s.dirty = true
	}
}

// limits returns what the maintenance may take from each pool now.
func (s *Steward) limits() map[string]*shift.MaintenanceLimit {
	pools, cpu := s.pools()
	out := make(map[string]*shift.MaintenanceLimit, len(pools))
	for name, p := range pools {
		out[name] = &shift.MaintenanceLimit{
			Spare: len(p.Hosts) - p.MinHosts, Idle: len(p.Hosts) - shift.HostsNeeded(p, cpu), LongRunning: lastingAtOnce,
		}
	}
	for i := range s.hosts {
		h := &s.hosts[i]
		if l := out[h.Pool]; l != nil && s.busy(h.Name) && s.load(h).Lasting > 0 {
			l.LongRunning--
		}
	}
	return out
}

// maintainWave plans the next hosts of a wave and returns the workers whose
// maintenance is still to come.
func (s *Steward) maintainWave(w *Wave, limits map[string]*shift.MaintenanceLimit, now time.Time) []string {
	active := 0
	for _, t := range s.plan.Tasks {
		if t.Wave == w.Number {
			active++
		}
	}
	due, left := s.due(w)
	if left == 0 && active == 0 {
		s.plan.Over[w.Number] = true
		s.puts = append(s.puts, s.Status(w.Wave, true))
		s.dirty = true
		s.Log.Info().Str("wave", w.Number).Msg("wave completed")
		return nil
	}
	for _, d := range shift.NextMaintenance(due, w.MaxDown-active, s.pace(w, left, now)-active, limits) {
		h := s.find(d.Name)
		s.add(Task{Kind: Maintain, Host: d.Name, Worker: h.Worker, From: h.Pool, Wave: w.Number})
	}
	var workers []string
	for _, d := range due {
		if h := s.find(d.Name); h.Worker != "" {
			workers = append(workers, h.Worker)
		}
	}
	return workers
}

// due returns the hosts of a wave that can be maintained now, and how many are
// left in all.
func (s *Steward) due(w *Wave) ([]shift.DueHost, int) {
	var due []shift.DueHost
	left := 0
	for _, name := range w.Hosts {
		h := s.find(name)
		if h == nil || slices.Contains(s.plan.Done[w.Number], name) {
			continue
		}
		left++
		if s.busy(name) || h.State != hosts.Up {
			continue
		}
		l := s.load(h)
		p, ok := s.Policy().Pool(h.Pool)
		due = append(due, shift.DueHost{
			Host: shift.Host{Name: name, CPU: h.Capacity.CPU, Used: l.UsedCPU, LongRunning: l.Lasting},
			Pool: h.Pool, OnStandby: ok && p.Standby || h.Worker == "",
		})
	}
	return due, left
}

// pace returns how many hosts must be under way to be in time.
func (s *Steward) pace(w *Wave, left int, now time.Time) int {
	rest := w.Within - waveMargin - now.Sub(w.Seen)
	each := s.Down + emptyTime
	rounds := int(rest / each)
	if rounds < 1 {
		return left
	}
	return (left + rounds - 1) / rounds
}
