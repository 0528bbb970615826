package steps

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxTrialCrashes is the number of crashes on trial from which on a subtask doesn't start
	// again: nothing else can have caused them, and two are not chance. There is one more
	// before them.
	maxTrialCrashes = 2
	// maxCrashes is the same number for all crashes, and trials whose end no owner has seen.
	// Users allow five starts, and a crash that an owner saw as it was lost is not counted.
	maxCrashes = 4
	// MinProof is the shortest time for which a run must work to show that its subtask
	// doesn't crash workers at its start.
	MinProof = 100 * time.Millisecond
	// maxTrial is the longest ProofTime of a subtask that is on trial after one crash. A
	// run that had worked for longer is a less likely cause than those that had just
	// started.
	maxTrial = 3 * MinProof
	// maxCrashWork is the time from which on a run that is known to have worked for it is no
	// cause of its worker's crash.
	maxCrashWork = 500 * time.Millisecond
	// maxCrashAge is the age from which on a run is no cause of the crash either, although
	// its worker may have been silent since: silence goes unnoticed for less.
	maxCrashAge = 2 * time.Second
	// maxListed is the largest number of runs that are listed.
	maxListed = 8
	// minRest and maxRest limit how long a host must have been up, without the subtask, before
	// one that has crashed it starts there again.
	minRest = time.Second
	maxRest = 8 * time.Second
	// minTrialDelay and maxTrialDelay limit the delay before a subtask that ends by itself starts
	// again although it has more crashes than it takes to give it up.
	minTrialDelay = 2 * time.Second
	maxTrialDelay = 30 * time.Second
	// Delay before a long-running subtask that may crash its workers starts again. It doubles
	// with each crash after the second, up to maxRestartDelay: users expect it at work again
	// within 6 s.
	minRestartDelay = 250 * time.Millisecond
	maxRestartDelay = 4 * time.Second
	// deadlyHosts is the number of hosts that crashed under a subtask, one after the other,
	// from which on the delay is deadlyRestartDelay.
	deadlyHosts        = 6
	deadlyRestartDelay = 30 * time.Second
)

// Crash is a run under which a worker crashed, or was given up.
type Crash struct {
	// Run is 0 if it was not announced, and may not have been started.
	Run int `json:"run"`
	// Host is where it ran, empty if unknown.
	Host string `json:"on,omitempty"`
	// AgeMs is how long the run had worked, at most, in milliseconds.
	AgeMs int64 `json:"ms,omitempty"`
	// Open tells that the run was announced, and that no owner has seen more of it.
	Open bool `json:"open,omitempty"`
	// Lost tells that the owner that announced the run was lost, and a worker with it.
	Lost bool `json:"lost,omitempty"`
	// Trial tells that nothing else was started on the worker meanwhile.
	Trial bool `json:"trial,omitempty"`
	// Rested tells that the host had crashed under the subtask before, and had been up without it
	// for RestOn since.
	Rested bool `json:"rested,omitempty"`
	// Excused tells that hosts crashed by themselves then, so that the crash proves nothing.
	Excused bool `json:"excused,omitempty"`
}

// proof returns the time for which a run must work to show that its subtask did not
// cause the crash. One that did would have crashed this worker as well.
func (c *Crash) proof() time.Duration { return time.Duration(c.AgeMs)*time.Millisecond + MinProof }

// RecordCrash records that a worker on a host crashed, or was given up, under a run that had
// worked for at least ranFor and at most age, unless that is too long for it to be the cause.
// It reports whether that was news.
func (t *Task) RecordCrash(run int, host string, ranFor, age time.Duration) bool {
	if t.Phase == Finished || ranFor > maxCrashWork || age > maxCrashAge {
		return false
	}
	c := Crash{Run: run, Host: host, AgeMs: age.Milliseconds()}
	i := t.crashIndex(run)
	if i < 0 {
		t.list(c)
		return true
	}
	if !t.Crashes[i].Open {
		return false
	}
	c.Trial = t.Crashes[i].Trial
	t.Crashes[i] = c
	return true
}

// Announce records a run before it is started, on trial or not, if there are crashes
// already, and reports whether that was news: if its owner is lost while the worker
// crashes, the next one can't learn that the run had started.
func (t *Task) Announce(run int, trial bool) bool {
	if len(t.Crashes) == 0 || t.crashIndex(run) >= 0 {
		return false
	}
	t.list(Crash{Run: run, Open: true, Trial: trial})
	return true
}

// list lists a run. If there are too many, it takes the place of the first one whose host is
// listed again, or of the first one.
func (t *Task) list(c Crash) {
	if len(t.Crashes) >= maxListed {
		again := slices.IndexFunc(t.Crashes, func(old Crash) bool {
			n := 0
			for _, other := range t.Crashes {
				if other.Host == old.Host {
					n++
				}
			}
			return n > 1
		})
		at := max(again, 0)
		t.Crashes = slices.Delete(t.Crashes, at, at+1)
	}
	t.Crashes = append(t.Crashes, c)
}

// lostCrash stands for a run that a lost owner may have started without announcing it.
var lostCrash = Crash{Open: true}

// RecordLoss records that a worker and its owner were lost, which may have started the
// subtask there. The run that it announced last counts as a crash; those before it were
// judged by the owner that announced it. If none was announced, the runs from now on are.
// RecordLoss reports whether that was news.
func (t *Task) RecordLoss() bool {
	if len(t.Crashes) == 0 {
		t.Crashes = []Crash{lostCrash}
		return true
	}
	c := &t.Crashes[len(t.Crashes)-1]
	if !c.Open || c.Lost || c.Run == 0 {
		return false
	}
	c.Lost = true
	return true
}

// Announced tells whether a run was announced.
func (t *Task) Announced(run int) bool {
	i := t.crashIndex(run)
	return i >= 0 && t.Crashes[i].Open
}

// MayHaveCrashed tells whether a worker is recorded to have crashed under a run.
func (t *Task) MayHaveCrashed(run int) bool {
	i := t.crashIndex(run)
	return i >= 0 && !t.Crashes[i].Open
}

// CrashesSeen returns the number of workers that are recorded to have crashed under the subtask.
func (t *Task) CrashesSeen() int {
	n := 0
	for _, c := range t.Crashes {
		if !c.Open {
			n++
		}
	}
	return n
}

// RecordRest records that the host of a run that crashed had rested before.
func (t *Task) RecordRest(run int) { t.Crashes[t.crashIndex(run)].Rested = true }

// Excuse records that the crash under a run proves nothing, and reports whether that was news.
func (t *Task) Excuse(run int) bool {
	i := t.crashIndex(run)
	if i < 0 || t.Crashes[i].Open || t.Crashes[i].Excused {
		return false
	}
	t.Crashes[i].Excused = true
	return true
}

// ExcuseLast does the same for the last crash that is not excused yet.
func (t *Task) ExcuseLast() bool {
	for _, c := range slices.Backward(t.Crashes) {
		if t.Excuse(c.Run) {
			return true
		}
	}
	return false
}

func (t *Task) crashIndex(run int) int {
	return slices.IndexFunc(t.Crashes, func(c Crash) bool { return c.Run == run })
}

// RetractCrash records that no worker crashed under a run, and reports whether one was
// taken to have done so.
func (t *Task) RetractCrash(run int) bool {
	return t.removeCrashes(func(c Crash) bool { return c.Run == run })
}

// RecordWork records that a run has worked for a time, and removes the crashes that the
// subtask did not cause, then. It reports whether there were any.
func (t *Task) RecordWork(ranFor time.Duration) bool {
	return t.removeCrashes(func(c Crash) bool { return ranFor >= c.proof() })
}

func (t *Task) removeCrashes(remove func(Crash) bool) bool {
	before := len(t.Crashes)
	t.Crashes = slices.DeleteFunc(t.Crashes, remove)
	return len(t.Crashes) < before
}

// ProofTime returns the time after which a run has shown that the subtask has caused none
// of the crashes, and causes none at its start.
func (t *Task) ProofTime() time.Duration {
	most := MinProof
	for i := range t.Crashes {
		most = max(most, t.Crashes[i].proof())
	}
	return most
}

// Suspect tells whether the subtask may have crashed a worker, so that nothing else may
// start beside it until its run has worked for ProofTime.
func (t *Task) Suspect() bool {
	seen, lost := 0, 0
	for _, c := range t.Crashes {
		switch {
		case c.Trial:
			return true
		case !c.Open:
			seen++
		case c.Lost:
			lost++
		}
	}
	return seen+lost > 1 || seen == 1 && t.ProofTime() <= maxTrial
}

// CrashesWorkers tells whether the subtask is taken to crash each worker that starts it. Several
// crashes of one host count as one, as the host may be the cause, but for those after a rest: a host
// that stays up without the subtask, each time for longer, and crashes soon after each start is not.
func (t *Task) CrashesWorkers() bool {
	all := 0
	crashed, trials := map[string]bool{}, map[string]bool{}
	for i, c := range t.Crashes {
		if c.Excused || c.Open && !c.Lost {
			continue // proves nothing, or is announced and not known to have been lost
		}
		host := c.hostOr(i)
		if t.Step.LongRunning || c.Rested || !crashed[host] {
			all++
		}
		crashed[host] = true
		if c.Trial && !c.Open {
			trials[host] = true
		}
	}
	return all >= maxCrashes || len(trials) >= maxTrialCrashes
}

// GivenUp tells whether the subtask is not started again. Long-running ones are restarted
// however they end, after RestartDelay.
func (t *Task) GivenUp() bool { return !t.Step.LongRunning && t.CrashesWorkers() }

// Restricted tells whether the subtask may start only while no other such subtask of the pool is
// on trial: it is taken to crash each worker that starts it, and is not given up.
func (t *Task) Restricted() bool { return t.Step.LongRunning && t.CrashesWorkers() }

// RestartDelay returns how long after a crash the subtask starts again at the earliest.
func (t *Task) RestartDelay() time.Duration {
	if !t.Step.LongRunning {
		return t.trialDelay()
	}
	crashes := 0
	hosts := map[string]bool{}
	for _, c := range t.Crashes {
		if c.Open && !c.Lost {
			continue
		}
		crashes++
		if c.Host != "" {
			hosts[c.Host] = true
		}
	}
	switch {
	case crashes < 2:
		return 0
	case len(hosts) >= deadlyHosts:
		return deadlyRestartDelay
	default:
		return min(minRestartDelay<<(crashes-2), maxRestartDelay)
	}
}

// trialDelay is RestartDelay of a subtask that ends by itself. It counts what proves nothing as
// well: users allow few starts if the subtask is the cause after all.
func (t *Task) trialDelay() time.Duration {
	more := -1 - maxTrialCrashes
	for _, c := range t.Crashes {
		if !c.Open || c.Lost {
			more++
		}
	}
	if more < 0 {
		return 0
	}
	return min(minTrialDelay<<more, maxTrialDelay)
}

// RestOn returns how long a host must have been up before the subtask starts there: each crash of
// the host asks for a longer time. If it crashes again meanwhile, the subtask is not the cause.
func (t *Task) RestOn(host string) time.Duration {
	if t.Step.LongRunning || host == "" {
		return 0
	}
	rest := time.Duration(0)
	for _, c := range t.Crashes {
		if c.Host == host {
			rest = min(max(minRest, 2*rest), maxRest)
		}
	}
	return rest
}

// CrashedOn reports whether a host has crashed under the subtask.
func (t *Task) CrashedOn(host string) bool {
	return slices.ContainsFunc(t.Crashes, func(c Crash) bool { return c.Host == host && host != "" })
}

// hostOr returns the host, or a name that no other has if it is unknown.
func (c *Crash) hostOr(i int) string {
	if c.Host == "" {
		return fmt.Sprint("unknown ", i)
	}
	return c.Host
}

// Fail ends the job as failed because of a subtask that can't be done.
func (p *Progress) Fail() {
	if p.Outcome == Open {
		p.Outcome = Failed
	}
}

// RecordLosses calls RecordLoss for each subtask that can start, which restarts after its
// RestartDelay then, and returns for how many that was news.
func (p *Progress) RecordLosses(now time.Time) int {
	news := 0
	p.eachReadyGroup(now, func(k, s int) bool {
		g, count := &p.occurrence(k).groups[s], p.Job.Steps[s].Count
		if n := g.fresh(count); n > 0 && !g.lost {
			g.lost = true
			news += n
		}
		g.each(func(t *Task) bool {
			if t.Phase == Waiting && t.RecordLoss() {
				t.RestartAt = now.Add(t.RestartDelay())
				news++
			}
			return true
		})
		return true
	})
	return news
}
